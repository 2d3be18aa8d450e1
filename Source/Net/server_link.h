#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/Net/StreamSocket.h>

#include "chestnuthead/peer_transport.h"

#include "Net/http2_link.h"
#include "Net/io_loop.h"
#include "Net/peer_server.h"

namespace chestnuthead {

class server_link;

/// Sends the frames of one attempt's answer back to the peer. Thread-safe.
class server_reply : public attempt_reply {
 public:
  server_reply(peer_server& owner, std::weak_ptr<server_link> link, std::int32_t stream);

  void send(attempt_frame frame) override;
  room_state wait_for_room(std::chrono::milliseconds longest) override;

  /// Called when `bytes` of the queued bytes were passed on for sending.
  void sent(std::size_t bytes);
  /// Called when the stream is closed. Later frames are discarded.
  void close();

 private:
  peer_server& owner;
  std::weak_ptr<server_link> link;
  std::int32_t stream;
  std::mutex lock;
  std::condition_variable changed;
  std::size_t queued = 0;
  bool closed = false;
};

/// One server-side HTTP/2 connection of a `peer_server` and its open streams.
class server_link : public io_handler,
                    public http2_events,
                    public std::enable_shared_from_this<server_link> {
 public:
  server_link(peer_server& owner, const Poco::Net::StreamSocket& socket, steady_time now);

  /// Queues bytes of a stream's answer.
  void append(std::int32_t stream, const std::string& bytes, bool last);

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
  /// One request of the peer. `reply` is set only for attempts.
  struct exchange {
    std::string path;
    std::string body;
    attempt_id attempt;
    std::shared_ptr<server_reply> reply;
    bool ended = false;
  };

  void handle_attempt(std::int32_t stream, exchange& request);
  void handle_probe(std::int32_t stream, const exchange& request);
  void handle_gossip(std::int32_t stream, const exchange& request);
  void end_exchange(const exchange& request);
  void count_bytes();

  peer_server& owner;
  Poco::Net::StreamSocket socket;
  http2_link link;
  std::map<std::int32_t, exchange> exchanges;
  std::uint64_t counted_sent = 0;
  std::uint64_t counted_received = 0;
};

}  // namespace chestnuthead
