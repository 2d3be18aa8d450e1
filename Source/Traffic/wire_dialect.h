#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "chestnuthead/error_kind.h"
#include "chestnuthead/ids.h"

#include "Gateway/request.h"
#include "Traffic/http_reader.h"

/// Encoding of requests and answers in a platform's HTTP headers. The platform's adapter
/// provides the functions; all other code uses the decoded types.
namespace chestnuthead::traffic {

/// A request to be encoded for an endpoint.
struct endpoint_request {
  const gateway::caller_request& request;
  endpoint_id endpoint;
  /// Empty if callers need no API key.
  customer_id customer;
  std::chrono::milliseconds time_left{0};
  /// ID of the last stream event that the caller has received.
  std::optional<std::uint64_t> resume_after;
  /// IP number and port of an endpoint from which the prompt's cached prefix can be copied;
  /// empty if the prefix is to be computed.
  std::string copy_prefix_from;
  /// 0 is the most urgent; not sent to pools without overload control.
  std::optional<int> priority;
};

struct wire_dialect {
  /// Decodes the head of a caller's request.
  std::variant<gateway::caller_request, error_kind> (*decode_request)(const http_head& head) =
      nullptr;
  /// Encodes the start line and headers for the endpoint, without the framing of the body and
  /// the blank line.
  std::string (*encode_request)(const endpoint_request& request) = nullptr;
  /// HTTP status for a request that failed for this reason.
  int (*status_of)(error_kind kind) = nullptr;
  /// Decodes the head of an endpoint's answer.
  gateway::endpoint_answer (*decode_answer)(const http_head& head) = nullptr;
};

}  // namespace chestnuthead::traffic
