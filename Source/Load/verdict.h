#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "Load/exchange.h"
#include "Load/load_options.h"
#include "Load/session.h"

/// Building of a caller's requests and checking of their answers.
namespace chestnuthead {

enum class verdict_kind : std::uint8_t {
  /// Complete, with the content expected for this request.
  good,
  /// Ended normally, but with different content.
  wrong,
  /// Ended normally, but with content missing at the end.
  incomplete,
  /// Truncated in a way that the caller can detect.
  cut,
  /// A documented error kind, or any other error status.
  error,
  /// No status line was received.
  no_reply,
};

struct verdict {
  verdict_kind kind = verdict_kind::good;
  /// The error kind, and whether the call was executed: "ran", "not run" or
  /// "unknown".
  std::string error;
  std::string ran;
  /// True if the answer has a Retry-After header.
  bool has_retry_after = false;
  std::chrono::milliseconds retry_after{0};
  /// Endpoint that produced the answer, if the answer names it.
  std::string endpoint;
  std::uint32_t cached_tokens = 0;
};

/// Builds the request of the caller's current turn.
exchange_request make_call(const session& caller, const load_options& options);

/// Checks the answer to the request of the caller's current turn.
verdict judge(const session& caller, const load_options& options, const exchange_reply& reply);

}  // namespace chestnuthead
