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

/// Upper limit for request bodies in every pool, whatever its configuration.
inline constexpr std::size_t body_limit_bytes = 16U << 20U;

/// A caller's HTTP request, including its complete body.
struct caller_request {
  std::string method;
  /// Path and query.
  std::string uri;
  std::string content_type;
  std::string body;
  /// Returns the value of a header, or an empty string.
  std::function<std::string(const char* name)> header;
};

/// Why a request is rejected before it reaches the core.
struct request_fault {
  error_kind kind = error_kind::malformed_request;
  std::string message;
};

/// Validates a request and converts it into an exchange. `unique_name` is a unique
/// name from which the request id and idempotency key are made if the caller sent
/// none.
std::variant<std::shared_ptr<exchange>, request_fault> read_request(caller_request request,
                                                                    const std::string& unique_name);

/// True for paths whose requests are forwarded to endpoints.
bool is_endpoint_path(const std::string& uri);

/// Formats the JSON body of an error response.
std::string format_error(error_kind kind, const std::string& message, run_state ran,
                         std::chrono::milliseconds retry_after);

/// Converts to whole seconds for Retry-After, rounded up.
std::int64_t retry_after_seconds(std::chrono::milliseconds retry_after);

}  // namespace chestnuthead
