#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"
#include "Traffic/tcp_link.h"

namespace chestnuthead {

/// An endpoint on a loopback port that sends exactly the bytes that a test gives
/// it, on the test's own event loop.
class scripted_endpoint : public traffic::io_watcher {
 public:
  /// One connection from a gateway.
  class connection;

  /// What is done once a request has come whole.
  using script = std::function<void(connection&)>;

  struct request {
    traffic::http_head head;
    std::string body;
  };

  class connection : public traffic::disposable,
                     public traffic::link_listener,
                     public traffic::http_listener {
   public:
    connection(scripted_endpoint& owner, int descriptor);

    void send(std::string_view bytes) {
      this->link.send(bytes);
    }
    /// Closes in order after all bytes.
    void finish() {
      this->link.finish_sending();
    }
    void reset();

    void on_open() override {}
    void on_bytes(std::string_view bytes) override;
    void on_end(traffic::link_end end) override;
    bool on_head(traffic::http_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;

    /// The gateway has ended this connection.
    bool closed = false;
    traffic::link_end end = traffic::link_end::closed;

   private:
    scripted_endpoint& owner;
    traffic::http_reader reader;
    traffic::tcp_link link;
    request present;
  };

  explicit scripted_endpoint(traffic::event_loop& loop);
  ~scripted_endpoint() override;
  scripted_endpoint(const scripted_endpoint&) = delete;
  scripted_endpoint& operator=(const scripted_endpoint&) = delete;

  void on_ready(bool readable, bool writable) override;

  /// IP number and port.
  std::string address;
  /// Scripts for the requests to come; the last one is used again.
  std::deque<script> scripts;
  /// Requests that came whole.
  std::vector<request> requests;
  std::vector<std::unique_ptr<connection>> connections;

 private:
  void serve(connection& caller, request asked);

  traffic::event_loop& loop;
  int descriptor;
};

}  // namespace chestnuthead
