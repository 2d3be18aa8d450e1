#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"
#include "Traffic/tcp_link.h"

/// An HTTP client that makes one call at a time over one persistent connection.
namespace chestnuthead::traffic {

/// Largest reply body that is accepted by default: a page of the store holds about a megabyte
/// of values, and the operators' configuration a few.
inline constexpr std::size_t longest_reply_bytes = 16U << 20U;

struct http_call {
  std::string method = "GET";
  /// Path and query.
  std::string target;
  std::string body;
  /// Timeout for the next byte of the reply.
  std::chrono::milliseconds silence_limit{1'000};
  /// Timeout for the complete reply, even if it makes progress.
  std::chrono::milliseconds limit{1'000};
  /// Largest body that is accepted.
  std::size_t max_reply_bytes = longest_reply_bytes;
};

/// How a call ended.
enum class call_outcome : std::uint8_t {
  /// A complete reply was received.
  answered,
  /// No byte of a reply was received before a timeout.
  silent,
  /// Only a part of the reply was received before a timeout.
  unfinished,
  /// The connection failed, or the received bytes are not a valid reply.
  broken,
  /// The reply's body is larger than `http_call::max_reply_bytes`.
  too_long,
};

/// The outcome as it is written to the log, such as `too_long`.
std::string_view name_of(call_outcome outcome);

struct http_reply {
  call_outcome outcome = call_outcome::broken;
  /// HTTP status. 0 without a complete reply: the call may or may not have been executed.
  int status = 0;
  /// Start line and headers; meaningful only for a complete reply.
  http_head head;
  std::string body;
  /// Body bytes received, also of an incomplete reply.
  std::size_t received_bytes = 0;
  /// When the call was started.
  steady_time began_at{};
};

class http_client : public link_listener, public http_listener {
 public:
  http_client(event_loop& loop, const clock& time, std::string address);
  ~http_client() override;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call. `done` is called exactly once with the result, and never from within this
  /// function. No other call may be in progress.
  void call(const http_call& wanted, std::function<void(http_reply)> done);
  [[nodiscard]] bool busy() const {
    return this->done != nullptr;
  }
  /// Resets the connection and forgets a call that is in progress.
  void cancel();
  /// Ends a call that has timed out or whose connection could not be opened.
  void tick();

  void on_open() override {}
  void on_bytes(std::string_view bytes) override;
  void on_end(link_end end) override;
  bool on_head(http_head& head) override;
  void on_body(std::string_view bytes) override;
  void on_message_end() override;

 private:
  /// The connection; it must not be destroyed before its pending events are handled.
  struct connection;

  void drop();
  void finish(call_outcome outcome);
  /// Resets the connection and ends the call with `outcome`.
  void abort_call(call_outcome outcome);

  event_loop& loop;
  const clock& time;
  std::string address;
  std::unique_ptr<connection> present;
  std::function<void(http_reply)> done;
  http_reply reply;
  http_call present_call;
  /// The reply's body exceeds `http_call::max_reply_bytes`.
  bool too_long = false;
  /// Bytes of the reply were received.
  bool answer_started = false;
  /// When the latest bytes of the reply were received, or when the call was started.
  steady_time last_bytes_at{};
};

}  // namespace chestnuthead::traffic
