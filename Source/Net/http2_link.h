#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "chestnuthead/clock.h"

struct nghttp2_session;

namespace chestnuthead {

/// Callbacks for the streams of an `http2_link`, called from within its `read`
/// and `write`.
class http2_events {
 public:
  virtual ~http2_events() = default;

  /// The headers of a request (on a server) or of an answer (on a client) have
  /// begun to arrive. The second argument is the value of `:path` or `:status`.
  virtual void stream_begun(std::int32_t stream, const std::string& path_or_status) = 0;
  /// A piece of the body. It counts against the stream's flow-control window
  /// until `http2_link::consumed` is called.
  virtual void stream_data(std::int32_t stream, std::string_view bytes) = 0;
  /// The peer has ended its side of the stream (END_STREAM).
  virtual void stream_complete(std::int32_t stream) = 0;
  /// The stream was closed, normally or by a reset. Not called for the open
  /// streams of a connection that is lost.
  virtual void stream_closed(std::int32_t stream) = 0;
  /// `bytes` more of the stream's queued body were passed to nghttp2 for
  /// sending.
  virtual void stream_sent(std::int32_t stream, std::size_t bytes) = 0;
};

/// Keepalive timeouts of a connection.
struct http2_link_limits {
  /// Time without received bytes after which a PING is sent.
  std::chrono::milliseconds ping_after{500};
  /// Time without received bytes after the PING after which the connection
  /// counts as lost.
  std::chrono::milliseconds lost_after{1'500};
};

/// One HTTP/2 connection with prior knowledge (no upgrade, no TLS) over a
/// non-blocking socket. Not thread-safe.
class http2_link {
 public:
  enum class side : std::uint8_t { client, server };

  /// `events` must outlive the link.
  http2_link(const Poco::Net::StreamSocket& socket, side which, http2_events& events,
             const http2_link_limits& limits, steady_time now);
  ~http2_link();
  http2_link(const http2_link&) = delete;
  http2_link& operator=(const http2_link&) = delete;

  [[nodiscard]] int descriptor() const;
  [[nodiscard]] bool wants_write() const;

  /// Reads all bytes that are available. False if the connection failed or was
  /// closed.
  bool read(steady_time now);
  /// Writes as many bytes as the socket accepts. False if the connection
  /// failed.
  bool write();
  /// Sends a PING if nothing was received for `ping_after`. False if nothing
  /// was received for `lost_after` since the PING.
  bool check_silence(steady_time now);

  /// Opens a stream with a POST request. Returns the stream's number, or a
  /// negative number on failure.
  std::int32_t request(const std::string& path, std::string body);
  /// Sends the headers of an answer with status 200; `append` adds the body.
  void respond(std::int32_t stream);
  /// Queues bytes of the stream's body; `last` ends the body.
  void append(std::int32_t stream, std::string_view bytes, bool last);
  /// Resets the stream (RST_STREAM).
  void reset(std::int32_t stream);
  /// Returns `bytes` of credit to the stream's flow-control window.
  void consumed(std::int32_t stream, std::size_t bytes);
  [[nodiscard]] std::uint64_t bytes_sent() const;
  [[nodiscard]] std::uint64_t bytes_received() const;

 private:
  struct outgoing_body {
    std::string bytes;
    std::size_t start = 0;
    bool last = false;
    bool deferred = false;
  };
  struct session_deleter {
    void operator()(nghttp2_session* session) const;
  };
  /// Callbacks registered with nghttp2.
  struct callbacks;

  /// Fills the output buffer from nghttp2. False if there is nothing to send.
  bool fill_output();
  bool flush_output();

  Poco::Net::StreamSocket socket;
  side which;
  http2_events& events;
  http2_link_limits limits;
  std::unique_ptr<nghttp2_session, session_deleter> session;
  std::map<std::int32_t, outgoing_body> bodies;
  std::string output;
  std::size_t output_start = 0;
  steady_time last_received;
  steady_time ping_sent{};
  bool ping_open = false;
  std::uint64_t sent_count = 0;
  std::uint64_t received_count = 0;
};

}  // namespace chestnuthead
