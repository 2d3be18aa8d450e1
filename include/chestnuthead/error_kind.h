#pragma once

#include <cstdint>
#include <string_view>

/// The closed list of error kinds and the answer that callers receive for each.
namespace chestnuthead {

/// Whether a request was executed at its endpoint, as far as this can be proved.
enum class run_state : std::uint8_t {
  /// The request was passed to the endpoint.
  ran,
  /// The request was not passed to the endpoint and never will be.
  not_run,
  /// Neither of the two can be proved.
  unknown,
};

/// All reasons for which a request may fail.
enum class error_kind : std::uint8_t {
  malformed_request,
  missing_header,
  unknown_customer,
  unknown_pool,
  body_too_large,
  not_ready,
  no_endpoint,
  overloaded,
  customer_over_share,
  deadline_exceeded,
  retries_exhausted,
  request_refused_after_crashes,
  endpoint_failed,
  answer_incomplete,
  outcome_unknown,
  ledger_unavailable,
  key_reused,
  key_closed,
  key_in_progress,
  stopping,
  caller_gone,
  unknown_key,
  unknown_route,
  header_too_large,
  stream_not_resumable,
  router_full,
};

/// Number of entries in `error_kind`.
inline constexpr int error_kind_count = 26;

/// The answer that a caller receives for one error kind.
struct error_answer {
  error_kind kind;
  /// Status code of the HTTP answer.
  int http_status;
  /// Name of the kind in the answer's body, in lower case with underscores.
  std::string_view name;
  /// Message for people, one sentence.
  std::string_view sentence;
  /// True if the same request may succeed later, in which case the answer states when
  /// to retry.
  bool retry_after;
};

/// Returns the answer for `kind`.
const error_answer& answer_for(error_kind kind);

/// "ran", "not run" or "unknown".
std::string_view name_of(run_state state);

}  // namespace chestnuthead
