#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "chestnuthead/ids.h"
#include "chestnuthead/peer_transport.h"

#include "Net/http2_link.h"
#include "Net/io_loop.h"
#include "Net/peer_client.h"
#include "Net/peer_codec.h"

namespace chestnuthead {

/// One client-side HTTP/2 connection of a `peer_client` and its open streams:
/// attempts, probes and gossip messages. Used only on the client's I/O thread.
class client_link : public io_handler, public http2_events {
 public:
  /// Starts a non-blocking connect.
  client_link(peer_client& owner, const node_id& node, const std::string& address,
              const Poco::Net::SocketAddress& target, steady_time now);

  void send_attempt(const attempt_message& message, peer_transport::frame_listener listener);
  void cancel_attempt(const attempt_id& attempt);
  void answer_consumed(const attempt_id& attempt, std::size_t bytes);
  void send_probe(const probe_message& message, peer_transport::probe_listener listener);
  void send_gossip(const gossip_message& message);

  [[nodiscard]] const std::string& peer_address() const;

  [[nodiscard]] int descriptor() const override;
  [[nodiscard]] bool wants_read() const override;
  [[nodiscard]] bool wants_write() const override;
  bool ready(bool readable, bool writable, steady_time now) override;
  bool tick(steady_time now) override;
  void removed() override;

  void stream_begun(std::int32_t stream, const std::string& path_or_status) override;
  void stream_data(std::int32_t stream, std::string_view bytes) override;
  void stream_complete(std::int32_t stream) override;
  void stream_closed(std::int32_t stream) override;
  void stream_sent(std::int32_t stream, std::size_t bytes) override;

 private:
  /// The stream of one attempt. `pending` counts received bytes for which no
  /// WINDOW_UPDATE was sent yet; `outstanding` counts those of them that the
  /// caller has not consumed.
  struct attempt_exchange {
    request_id request;
    attempt_id attempt;
    peer_transport::frame_listener listener;
    frame_splitter splitter;
    std::size_t pending = 0;
    std::size_t outstanding = 0;
  };
  struct probe_exchange {
    peer_transport::probe_listener listener;
    std::string answer;
  };

  bool finish_connecting();
  void attempt_data(std::int32_t stream, attempt_exchange& exchange, std::string_view bytes);
  /// Handles one frame of an answer. False if the frame ended the exchange.
  bool handle_attempt_frame(std::int32_t stream, const std::string& bytes);
  void release_window(std::int32_t stream, attempt_exchange& exchange);
  void end_attempt(std::int32_t stream, const attempt_frame& last);
  void fail_attempt(std::int32_t stream);
  void count_bytes();

  peer_client& owner;
  node_id node;
  std::string address;
  Poco::Net::StreamSocket socket;
  std::unique_ptr<http2_link> link;
  bool connected = false;
  bool closed_idle = false;
  steady_time connect_began;
  steady_time last_used;
  std::map<std::int32_t, attempt_exchange> attempts;
  std::map<attempt_id, std::int32_t> streams;
  std::map<std::int32_t, probe_exchange> probes;
  std::uint64_t counted_sent = 0;
  std::uint64_t counted_received = 0;
};

}  // namespace chestnuthead
