#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"

#include "Gateway/request.h"
#include "Gateway/service_map.h"
#include "Overload/memory_account.h"
#include "Traffic/event_loop.h"
#include "Traffic/exchange.h"
#include "Traffic/http_reader.h"
#include "Traffic/tcp_link.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

class caller_link;

/// Owner of the callers' connections.
class caller_links {
 public:
  virtual ~caller_links() = default;

  virtual void remove(caller_link& link) = 0;
  /// Drops slower requests whose bodies are incomplete until the link may hold `bytes` for the
  /// body of its request. False if that can't be reached.
  virtual bool make_room_for_body(caller_link& link, std::size_t bytes) = 0;
  /// Drops connections with incomplete heads while the unparsed input exceeds its share of the
  /// memory.
  virtual void shed_input() = 0;
};

/// A connection from a caller. Its requests are processed one at a time.
class caller_link : public disposable,
                    public link_listener,
                    public http_listener,
                    public answer_sink {
 public:
  caller_link(traffic_context& context, caller_links& owner, int descriptor);

  /// Checks the timeouts.
  void tick(steady_time now);
  /// For a graceful shutdown: closes the connection after the next answer.
  void stop_when_idle();
  /// Closes the connection unless a request is in progress or lies unread in the socket.
  void close_if_idle();
  /// Ends the request in progress with an error unless its answer has begun.
  void end_request_at_stop();
  [[nodiscard]] bool busy() const {
    return this->active != nullptr;
  }
  /// When the connection became idle, or began to close with all bytes delivered. Not set while
  /// it carries a request.
  [[nodiscard]] std::optional<steady_time> idle_since() const;
  /// An idle connection that can be closed: all was delivered and no request lies unread.
  [[nodiscard]] bool can_be_dropped() const;
  /// A connection whose request's head is incomplete; holds nothing if there is no such head.
  [[nodiscard]] overload::drop_candidate incomplete_head(steady_time now) const;
  /// The same for a request whose body is incomplete.
  [[nodiscard]] overload::drop_candidate incomplete_body(steady_time now) const;
  /// The same for an answer that the caller does not read.
  [[nodiscard]] overload::drop_candidate unread_answer(steady_time now) const;
  /// Bytes counted for the body of the request that is being received.
  [[nodiscard]] std::size_t body_memory() const {
    return this->counted_body.get();
  }
  /// Adds what the connection counts in the account, for a check of the account's sums.
  void add_counted(std::array<std::size_t, overload::memory_use_count>& sums) const;
  /// Refuses a request whose body is incomplete, because the memory does not suffice.
  void refuse_for_memory();
  /// Resets the connection. A request in progress is cancelled, and its caller can tell that the
  /// answer is incomplete.
  void drop(std::string_view reason);

  void on_open() override {}
  void on_bytes(std::string_view bytes) override;
  void on_end(link_end end) override;

  bool on_head(http_head& head) override;
  void on_body(std::string_view bytes) override;
  void on_message_end() override;

  void send_whole(int status, std::string_view headers, std::string_view body) override;
  void begin_stream(int status, std::string_view headers, std::string_view first) override;
  void send_more(std::string_view bytes) override;
  void end_stream() override;
  void abort_answer() override;
  [[nodiscard]] std::size_t unsent() const override;
  void on_exchange_end() override;

 private:
  void read_buffered();
  /// Updates the account, and stops reading where more input would only be kept.
  void limit_input();
  /// Keeps bytes of a body that fit into the memory.
  [[nodiscard]] bool keep_body(std::string_view bytes);
  void release_input();
  void send_error(error_kind kind, std::chrono::milliseconds retry_after = {});
  /// Drops a request whose caller has disconnected before it was read, and its connection.
  void drop_disconnected_caller();
  void close_gracefully();
  /// Removes a connection that is closing once its caller has all bytes and had time to close its
  /// side, or takes no more bytes.
  void tick_closing(steady_time now);
  /// Ends a connection whose next request does not arrive in time.
  void end_reading();
  void remove();
  [[nodiscard]] bool stays_open() const;
  /// Closes the connection after this answer if another gateway can serve the caller's next
  /// request better.
  void close_if_others_better();
  [[nodiscard]] std::string head_of(int status, std::string_view headers);

  traffic_context& context;
  caller_links& owner;
  http_reader reader;
  tcp_link link;
  /// Received bytes that are not parsed yet: pipelined requests after the present one.
  std::string unread;
  std::optional<gateway::caller_request> request;
  std::optional<error_kind> rejection;
  std::string body;
  /// Bytes of the body received so far, and its length if the head states it.
  std::size_t body_received = 0;
  std::optional<std::uint64_t> body_length;
  std::unique_ptr<exchange> active;
  /// Limits of the latest request, as they were when it began to arrive.
  gateway::caller_limits limits;
  bool keeps_open = true;
  /// The latest answer's head states that the connection closes. Otherwise the caller may have
  /// sent its next request, which is answered even if a stop has begun meanwhile.
  bool close_announced = false;
  bool stopping = false;
  bool closing = false;
  bool gone = false;
  /// While the connection is closing, also when the caller last took bytes.
  steady_time phase_started_at{};
  /// `tcp_link::undelivered` at the latest check of a connection that is closing.
  std::size_t undelivered = 0;
  /// Bytes read and dropped since the connection began to close.
  std::size_t drained = 0;
  overload::progress_meter input_progress;
  overload::progress_meter output_progress;
  /// `tcp_link::sent_bytes` at the latest tick.
  std::uint64_t sent_before = 0;
  bool is_send_buffer_bounded = false;
  overload::counted_bytes counted_connection;
  overload::counted_bytes counted_input;
  overload::counted_bytes counted_body;
  /// The body that the exchange keeps for further attempts.
  overload::counted_bytes counted_request;
};

}  // namespace chestnuthead::traffic
