#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"
#include "Traffic/tcp_link.h"

namespace chestnuthead::soak {

enum class request_kind : std::uint8_t { chat, guide, payment, lookup, writing };

/// Name of the part of a prompt that crashes endpoints.
inline constexpr std::string_view crashing_part = "crash";

/// A request and the answer that its caller received.
struct soak_request {
  std::string id;
  request_kind kind = request_kind::chat;
  std::string key;
  std::string gateway;
  /// The prompt holds the part that crashes endpoints.
  bool holds_crashing_part = false;
  /// How long the caller waits for the whole answer.
  std::chrono::milliseconds time_left{4'000};
  /// For a writing: the name of the stream, the attempt that brought its first event, empty if
  /// there is none, and the last event that has arrived.
  std::string stream;
  std::string resumed_attempt;
  int last_event = 0;
  steady_time sent_at{};
  steady_time ended_at{};
  /// 0 if no response head was received.
  int status = 0;
  bool complete = false;
  /// The connection could not be opened, so nothing was sent.
  bool refused = false;
  /// Zero if the answer names no time.
  std::chrono::milliseconds retry_after{0};
  std::string signature;
  std::string body;
};

/// A caller that sends one request at a time over a persistent connection until the
/// gateway closes it, and reports the result of each request.
class soak_caller : public traffic::disposable,
                    public traffic::link_listener,
                    public traffic::http_listener {
 public:
  using result_handler = std::function<void(const soak_request&)>;

  soak_caller(traffic::event_loop& loop, const clock& time, std::string gateway,
              const std::string& address, result_handler on_end);

  /// True if the connection is open and no request is in progress.
  [[nodiscard]] bool can_send() const {
    return !this->request_open && !this->closed;
  }
  [[nodiscard]] bool is_closed() const {
    return this->closed;
  }
  void send_request(soak_request request);
  /// Resets the connection. A request in progress is reported.
  void reset();

  const std::string gateway;

  void on_open() override {}
  void on_bytes(std::string_view bytes) override;
  void on_end(traffic::link_end end) override;
  bool on_head(traffic::http_head& head) override;
  void on_body(std::string_view bytes) override;
  void on_message_end() override;

 private:
  void report_result();

  const clock& time;
  result_handler on_finished;
  traffic::http_reader reader;
  traffic::tcp_link link;
  soak_request current;
  bool request_open = false;
  bool closed = false;
};

}  // namespace chestnuthead::soak
