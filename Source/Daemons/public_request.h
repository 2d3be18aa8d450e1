#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "chestnuthead/error_kind.h"

#include "Daemons/exchange.h"

namespace chestnuthead {

/// Bodies above this are refused whatever their pool allows.
inline constexpr std::size_t body_limit_bytes = 16U << 20U;

/// A caller's HTTP request, read whole.
struct caller_request {
  std::string method;
  /// Path with its query.
  std::string uri;
  std::string content_type;
  std::string body;
  /// The value of a header, empty if absent.
  std::function<std::string(const char* name)> header;
};

/// Why a request is refused before it reaches the core.
struct request_fault {
  error_kind kind = error_kind::malformed_request;
  std::string message;
};

/// Turns a request into an exchange. `fresh_name` is used for ids and keys that
/// the caller did not give.
std::variant<std::shared_ptr<exchange>, request_fault> read_request(caller_request request,
                                                                    const std::string& fresh_name);

/// True for the paths that lead to endpoints.
bool is_endpoint_path(const std::string& uri);

/// The body of an error answer.
std::string format_error(error_kind kind, const std::string& message, run_state ran,
                         std::chrono::milliseconds retry_after);

/// Whole seconds for Retry-After, rounded up.
std::int64_t retry_after_seconds(std::chrono::milliseconds retry_after);

}  // namespace chestnuthead
