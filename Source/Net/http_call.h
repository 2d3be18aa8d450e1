#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// One HTTP/1.1 call over its own connection, by Poco::Net::HTTPClientSession.
namespace chestnuthead {

struct http_header {
  std::string name;
  std::string value;
};

/// A call to an address of the form "IP:port".
struct http_request {
  std::string address;
  std::string method;
  std::string path;
  std::string content_type;
  std::vector<http_header> headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{1'000};
  /// Longest silence of the peer.
  std::chrono::milliseconds read_timeout{1'000};
};

/// How a call failed.
enum class http_failure : std::uint8_t {
  /// Nothing listens at the address, so no byte was sent.
  port_closed,
  /// No connection for another reason, so no byte was sent.
  not_sent,
  /// The connection was lost, or no whole answer came in time.
  no_answer,
};

/// True if the peer never got a byte of the request.
bool nothing_sent(http_failure failure);

/// Takes in an answer piece by piece.
struct http_reader {
  std::function<void(int status, const std::string& content_type)> head;
  /// False stops the call.
  std::function<bool(std::string_view piece)> piece;
};

struct http_done {};
using http_outcome = std::variant<http_done, http_failure>;

/// Breaks off a running call from another thread.
class http_canceller {
 public:
  http_canceller();
  ~http_canceller();
  http_canceller(const http_canceller&) = delete;
  http_canceller& operator=(const http_canceller&) = delete;

  void cancel();

 private:
  friend http_outcome run_http_call(const http_request& request, const http_reader& reader,
                                    http_canceller* canceller);
  struct open_socket;
  std::unique_ptr<open_socket> socket;
};

/// Carries out a call; blocks. `canceller` may be nullptr.
http_outcome run_http_call(const http_request& request, const http_reader& reader,
                           http_canceller* canceller = nullptr);

/// An answer as a whole.
struct http_answer {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Carries out a call and collects its answer; blocks.
std::variant<http_answer, http_failure> fetch_http(const http_request& request);

}  // namespace chestnuthead
