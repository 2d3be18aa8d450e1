#pragma once

#include <chrono>
#include <map>
#include <string>

/// One HTTP exchange of a caller.
namespace chestnuthead {

struct exchange_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string content_type;
  std::string body;
};

struct exchange_reply {
  /// False if no status came back.
  bool answered = false;
  /// True if nothing was sent because no connection could be opened.
  bool never_sent = false;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /// True if the body ended before its announced length.
  bool cut = false;
  std::chrono::microseconds first_byte{0};
  std::chrono::microseconds whole{0};
};

/// Calls `address` (IP number and port) and reads the whole answer.
exchange_reply exchange(const std::string& address, const exchange_request& request,
                        std::chrono::milliseconds timeout);

/// The header of that name, or an empty text.
std::string header_of(const exchange_reply& reply, const std::string& name);

}  // namespace chestnuthead
