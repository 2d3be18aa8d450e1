#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"

#include "Gateway/request.h"
#include "Traffic/byte_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/exchange.h"
#include "Traffic/http_reader.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

class caller_link;

/// Owns the callers' connections.
class caller_links {
 public:
  virtual ~caller_links() = default;

  virtual void remove(caller_link& link) = 0;
};

/// One caller's connection. It carries one request at a time.
class caller_link : public disposable,
                    public link_listener,
                    public http_listener,
                    public answer_sink {
 public:
  caller_link(traffic_context& context, caller_links& owner, int descriptor);

  /// Looks for times that have passed.
  void tick(steady_time now);
  /// A planned stop: ends the connection once it carries no request.
  void stop_when_idle();
  /// Closes a connection that carries no request.
  void close_if_idle();
  [[nodiscard]] bool busy() const {
    return this->active != nullptr;
  }

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
  void cut() override;
  [[nodiscard]] std::size_t unsent() const override;
  void exchange_over() override;

 private:
  void read_buffered();
  void answer_fault(error_kind kind);
  /// Ends the connection of a caller that left before its request was read.
  void drop_absent_caller();
  void close_in_order();
  void remove();
  [[nodiscard]] bool stays_open() const;
  /// Ends the connection with this answer if the caller's next request is
  /// better off at another gateway.
  void send_away_if_better();
  [[nodiscard]] std::string head_of(int status, std::string_view headers) const;

  traffic_context& context;
  caller_links& owner;
  http_reader reader;
  byte_link link;
  /// Bytes that belong to requests after the present one.
  std::string waiting;
  std::optional<gateway::caller_request> request;
  std::optional<error_kind> refused;
  std::string body;
  std::unique_ptr<exchange> active;
  bool keeps_open = true;
  bool stopping = false;
  bool closing = false;
  bool gone = false;
  steady_time since{};
};

}  // namespace chestnuthead::traffic
