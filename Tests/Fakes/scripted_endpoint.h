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

/// An HTTP endpoint on a loopback port that sends exactly the bytes that a test script gives
/// it, on the event loop of the test.
class scripted_endpoint : public traffic::io_watcher {
 public:
  /// A connection that the endpoint has accepted.
  class connection;

  /// Called when a request has been received completely.
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
    /// Closes the connection gracefully after all queued bytes are sent.
    void finish() {
      this->link.finish_sending();
    }
    void reset();
    /// Bytes that the socket has not accepted yet.
    [[nodiscard]] std::size_t unsent() const {
      return this->link.unsent();
    }

    void on_open() override {}
    void on_bytes(std::string_view bytes) override;
    void on_end(traffic::link_end end) override;
    bool on_head(traffic::http_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;

    /// True once the peer has closed the connection or it has failed.
    bool closed = false;
    traffic::link_end end = traffic::link_end::closed;

   private:
    /// Leaves what follows in the sender's hands, except for a small buffer.
    void stop_reading();

    scripted_endpoint& owner;
    traffic::http_reader reader;
    traffic::tcp_link link;
    request current_request;
  };

  explicit scripted_endpoint(traffic::event_loop& loop);
  ~scripted_endpoint() override;
  scripted_endpoint(const scripted_endpoint&) = delete;
  scripted_endpoint& operator=(const scripted_endpoint&) = delete;

  void on_ready(bool readable, bool writable) override;

  /// Address that the endpoint listens on, as IP:PORT.
  std::string address;
  /// Scripts for the next requests, in order. The last one is used for all further requests.
  std::deque<script> scripts;
  /// If set, called when a request's head has been received, and nothing more is read from its
  /// connection.
  script on_request_head;
  /// Requests that were received completely.
  std::vector<request> requests;
  std::vector<std::unique_ptr<connection>> connections;

 private:
  void serve(connection& caller, request received);

  traffic::event_loop& loop;
  int descriptor;
};

}  // namespace chestnuthead
