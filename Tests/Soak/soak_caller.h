#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"
#include "Traffic/tcp_link.h"

namespace chestnuthead::soak {

enum class request_kind : std::uint8_t { chat, guide, payment, lookup };

/// One request as its caller sees it.
struct asked_request {
  std::string id;
  request_kind kind = request_kind::chat;
  std::string key;
  std::string gateway;
  steady_time sent_at{};
  steady_time ended_at{};
  /// 0 if no head of an answer came.
  int status = 0;
  bool whole = false;
  bool has_return_time = false;
  std::string signature;
  std::string body;
};

/// A caller that keeps its connection for as many requests as the gateway lets
/// it, and reports each of them.
class soak_caller : public traffic::disposable,
                    public traffic::link_listener,
                    public traffic::http_listener {
 public:
  using report = std::function<void(const asked_request&)>;

  soak_caller(traffic::event_loop& loop, const clock& time, std::string gateway,
              const std::string& address, report on_end);

  /// True if another request may be sent.
  [[nodiscard]] bool is_free() const {
    return !this->asking && !this->ended;
  }
  [[nodiscard]] bool is_over() const {
    return this->ended;
  }
  void ask(asked_request request);

  void on_open() override {}
  void on_bytes(std::string_view bytes) override;
  void on_end(traffic::link_end end) override;
  bool on_head(traffic::http_head& head) override;
  void on_body(std::string_view bytes) override;
  void on_message_end() override;

 private:
  void finish();

  const clock& time;
  std::string gateway;
  report on_finished;
  traffic::http_reader reader;
  traffic::tcp_link link;
  asked_request present;
  bool asking = false;
  bool ended = false;
};

}  // namespace chestnuthead::soak
