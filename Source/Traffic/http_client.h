#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "chestnuthead/clock.h"

#include "Traffic/byte_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"

/// Calls to an HTTP service over one kept connection, one at a time.
namespace chestnuthead::traffic {

struct http_call {
  std::string method = "GET";
  /// Path and query.
  std::string target;
  std::string body;
  /// Longest time until the whole answer.
  std::chrono::milliseconds limit{1'000};
};

struct http_reply {
  /// 0 if no whole answer came: the call may or may not have been carried out.
  int status = 0;
  std::string body;
  /// When the call was begun.
  steady_time began_at{};
};

/// Longest body of a reply that is taken: the store's pages hold a megabyte of values,
/// and the operators' configuration a few.
inline constexpr std::size_t longest_reply_bytes = 16U << 20U;

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
  void finish(int status);

  event_loop& loop;
  const clock& time;
  std::string address;
  std::unique_ptr<connection> present;
  std::function<void(http_reply)> done;
  http_reply reply;
  int status = 0;
  bool keeps_open = true;
  /// The reply's body is longer than is taken.
  bool too_long = false;
  steady_time give_up_at{};
};

}  // namespace chestnuthead::traffic
