#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Traffic/http_reader.h"

/// Blocking HTTP/1.1 calls, each over its own connection. Answers are read by
/// `traffic::http_reader`, as those to the gateway are.
namespace chestnuthead {

struct http_header {
  std::string name;
  std::string value;
};

/// A request to `address`, which has the form "IP:port".
struct http_request {
  std::string address;
  std::string method;
  std::string path;
  std::string content_type;
  std::vector<http_header> headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{1'000};
  /// Longest time without a byte from the peer.
  std::chrono::milliseconds read_timeout{1'000};
};

/// How a call failed. The kinds differ in whether the peer may have received
/// the request.
enum class http_failure : std::uint8_t {
  /// The connection was refused: nothing listens at the address. No byte was
  /// sent.
  port_closed,
  /// The connection failed for another reason, or the call was cancelled first.
  /// No byte was sent.
  not_sent,
  /// The connection was lost, or no complete answer arrived in time. The peer
  /// may have received the request.
  no_answer,
};

/// The Content-Type of an answer; empty if it has none.
std::string content_type_of(const traffic::http_head& head);

/// True if no byte of the request was sent to the peer.
bool nothing_sent(http_failure failure);

/// Callbacks that receive an answer while it arrives.
struct http_reader {
  std::function<void(const traffic::http_head& head)> head;
  /// Returns false to stop the call.
  std::function<bool(std::string_view piece)> piece;
};

struct http_done {};
using http_outcome = std::variant<http_done, http_failure>;

/// Cancels a running call from another thread.
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

/// Runs a call and blocks until it ends. `canceller` may be nullptr.
http_outcome run_http_call(const http_request& request, const http_reader& reader,
                           http_canceller* canceller = nullptr);

/// A complete answer.
struct http_answer {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Runs a call, blocks until it ends and returns the complete answer.
std::variant<http_answer, http_failure> fetch_http(const http_request& request);

}  // namespace chestnuthead
