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

/// Reactions to what happens on the streams of an `http2_link`. Called while
/// the link reads or writes.
class http2_events {
 public:
  virtual ~http2_events() = default;

  /// A request (on a server) or answer (on a client) has begun. `word` is the
  /// path or the status.
  virtual void stream_begun(std::int32_t stream, const std::string& word) = 0;
  /// A piece of the body; it counts against the stream's window until
  /// `http2_link::consumed`.
  virtual void stream_data(std::int32_t stream, std::string_view bytes) = 0;
  /// The peer has sent all of its side.
  virtual void stream_complete(std::int32_t stream) = 0;
  /// The stream is over, in whatever way. Not called for a link that breaks.
  virtual void stream_closed(std::int32_t stream) = 0;
  /// So many more of a stream's queued bytes have been handed on.
  virtual void stream_sent(std::int32_t stream, std::size_t bytes) = 0;
};

/// When a link counts as silent and as lost.
struct http2_link_limits {
  /// Silence after which a ping is sent.
  std::chrono::milliseconds ping_after{500};
  /// Silence after a ping that means that the link is lost.
  std::chrono::milliseconds lost_after{1'500};
};

/// One HTTP/2 connection with prior knowledge over a non-blocking socket. Used
/// by one thread only.
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

  /// Reads what there is. False if the link is broken or closed.
  bool read(steady_time now);
  /// Writes what the socket takes. False if the link is broken.
  bool write();
  /// Sends a ping to a silent peer. False if the peer stayed silent.
  bool check_silence(steady_time now);

  /// Opens a stream; negative if that is not possible.
  std::int32_t request(const std::string& path, std::string body);
  /// Begins an answer with status 200 whose body follows by `append`.
  void respond(std::int32_t stream);
  /// Queues bytes of the stream's body.
  void append(std::int32_t stream, std::string_view bytes, bool last);
  /// Ends the stream at once.
  void reset(std::int32_t stream);
  /// Lets the peer send as many more bytes on the stream.
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
  /// The functions that nghttp2 calls.
  struct callbacks;

  /// False if there is nothing to send.
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
  steady_time last_heard;
  steady_time ping_sent{};
  bool ping_open = false;
  std::uint64_t sent_count = 0;
  std::uint64_t received_count = 0;
};

}  // namespace chestnuthead
