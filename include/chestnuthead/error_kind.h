#pragma once

#include <cstdint>
#include <string_view>

/// The closed list of error kinds and the answer that each one gets.
namespace chestnuthead {

/// What is known about the execution of a request at its endpoint.
enum class run_state : std::uint8_t {
  /// The endpoint was given the request.
  ran,
  /// The endpoint was not given the request and never will be.
  not_run,
  /// Neither can be proved.
  unknown,
};

/// Every reason for which a request may fail.
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
};

/// Number of entries in `error_kind`.
inline constexpr int error_kind_count = 24;

/// The answer that a caller gets for one error kind.
struct error_answer {
  error_kind kind;
  /// Status of the HTTP answer.
  int http_status;
  /// Name of the kind in the answer's body, in lower case with underscores.
  std::string_view name;
  /// One plain sentence for people.
  std::string_view sentence;
  /// True if the same request may succeed later, so that the answer says when
  /// to come back.
  bool come_back;
};

/// The row of the table that belongs to `kind`.
const error_answer& answer_for(error_kind kind);

/// "ran", "not run" or "unknown".
std::string_view name_of(run_state state);

}  // namespace chestnuthead
