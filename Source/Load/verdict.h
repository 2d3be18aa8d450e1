#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "Load/exchange.h"
#include "Load/load_options.h"
#include "Load/session.h"

/// What a caller makes of one answer.
namespace chestnuthead {

enum class verdict_kind : std::uint8_t {
  /// Whole and its own.
  good,
  /// Ended as if whole, but with other content.
  wrong,
  /// Ended as if whole, but with less content.
  incomplete,
  /// Cut short so that the caller sees it.
  cut,
  /// An error of the closed list, or any other error status.
  error,
  /// No status came back.
  no_reply,
};

struct verdict {
  verdict_kind kind = verdict_kind::good;
  /// Name of the error's kind, and whether the call ran: "ran", "not run" or
  /// "unknown".
  std::string error;
  std::string ran;
  /// True if the answer says when to come back.
  bool may_come_back = false;
  std::chrono::milliseconds retry_after{0};
  /// Endpoint that gave the answer, if the answer names it.
  std::string endpoint;
  std::uint32_t cached_tokens = 0;
};

/// The call of the caller's present turn.
exchange_request make_call(const session& caller, const load_options& options);

/// Checks the answer to that call.
verdict judge(const session& caller, const load_options& options, const exchange_reply& reply);

}  // namespace chestnuthead
