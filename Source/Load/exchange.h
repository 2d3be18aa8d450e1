#pragma once

#include <chrono>
#include <map>
#include <string>

/// HTTP client of the load tool's callers: one request and its response.
namespace chestnuthead {

struct exchange_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string content_type;
  std::string body;
};

struct exchange_reply {
  /// False if no valid head was received.
  bool answered = false;
  /// True if nothing was sent because no connection could be opened.
  bool never_sent = false;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /// True if no complete answer was received.
  bool cut = false;
  std::chrono::microseconds first_byte{0};
  std::chrono::microseconds total_time{0};
};

/// Sends the request to `address` (IP address and port) and reads the complete
/// response.
exchange_reply exchange(const std::string& address, const exchange_request& request,
                        std::chrono::milliseconds timeout);

/// Value of the header with that name (case-insensitive), or an empty string.
std::string header_of(const exchange_reply& reply, const std::string& name);

}  // namespace chestnuthead
