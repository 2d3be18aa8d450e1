#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Traffic/byte_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"

/// Calls to an HTTP service over one kept connection, one at a time.
namespace chestnuthead::traffic {

/// Longest body of a reply that is taken: the store's pages hold a megabyte of values,
/// and the operators' configuration a few.
inline constexpr std::size_t longest_reply_bytes = 16U << 20U;

struct http_call {
  std::string method = "GET";
  /// Path and query.
  std::string target;
  std::string body;
  /// Longest time without a byte of the answer.
  std::chrono::milliseconds silence_limit{1'000};
  /// Longest time until the whole answer, however steadily it comes.
  std::chrono::milliseconds limit{1'000};
  /// Longest body that is read.
  std::size_t most_bytes = longest_reply_bytes;
};

/// How a call ended.
enum class call_outcome : std::uint8_t {
  /// A whole answer came.
  answered,
  /// Nothing of the answer came within the time allowed.
  silent,
  /// The answer began, but stopped coming or took too long.
  unfinished,
  /// The connection could not be opened or broke, or what came was not an answer.
  broken,
  /// The answer is longer than the caller wanted to read.
  too_long,
};

/// The outcome in lower case with underscores.
std::string_view name_of(call_outcome outcome);

struct http_reply {
  call_outcome outcome = call_outcome::broken;
  /// 0 if no whole answer came: the call may or may not have been carried out.
  int status = 0;
  /// Headers of a whole answer.
  http_head head;
  std::string body;
  /// Bytes of the body that came, also of an answer that is not whole.
  std::size_t received_bytes = 0;
  /// When the call was begun.
  steady_time began_at{};
};

class http_client : public link_listener, public http_listener {
 public:
  http_client(event_loop& loop, const clock& time, std::string address);
  ~http_client() override;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Begins a call; `done` hears the result exactly once, never from within
  /// this function. Only one call may be under way.
  void call(const http_call& wanted, std::function<void(http_reply)> done);
  [[nodiscard]] bool busy() const {
    return this->done != nullptr;
  }
  /// Gives up a call that has taken too long.
  void tick();

  void on_open() override {}
  void on_bytes(std::string_view bytes) override;
  void on_end(link_end end) override;
  bool on_head(http_head& head) override;
  void on_body(std::string_view bytes) override;
  void on_message_end() override;

 private:
  /// A connection whose memory must stay until its events are handled.
  struct connection;

  void drop();
  void finish(call_outcome outcome);
  /// Gives up the connection with the call.
  void give_up(call_outcome outcome);

  event_loop& loop;
  const clock& time;
  std::string address;
  std::unique_ptr<connection> present;
  std::function<void(http_reply)> done;
  http_reply reply;
  http_call present_call;
  /// The reply's body is longer than is taken.
  bool too_long = false;
  /// Bytes of the answer have come.
  bool begun = false;
  /// When the latest of them came, or the call was begun.
  steady_time heard_at{};
};

}  // namespace chestnuthead::traffic
