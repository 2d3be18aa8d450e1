#include "Net/http2_link.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <new>
#include <vector>

#include <nghttp2/nghttp2.h>
#include <sys/socket.h>

namespace chestnuthead {

namespace {

/// Flow-control window of a stream: bytes that may be in flight or unconsumed.
constexpr std::int32_t stream_window_bytes = 256 * 1024;
/// Large enough that the connection's window never limits a stream; flow
/// control is per stream.
constexpr std::int32_t link_window_bytes = 1 << 30;
constexpr std::uint32_t streams_limit = 65'536;
constexpr std::size_t read_size_bytes = 64U << 10U;
/// Target size of the output buffer. While it is full, bodies stay in the
/// queues of their streams.
constexpr std::size_t output_target_bytes = 256U << 10U;

nghttp2_nv header(const char* name, const std::string& value) {
  nghttp2_nv entry{};
  // nghttp2 takes non-const pointers but copies the data.
  entry.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name));
  entry.namelen = std::strlen(name);
  entry.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  entry.valuelen = value.size();
  return entry;
}

std::string_view view_of(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

bool would_block() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

struct http2_link::callbacks {
  static http2_link& of(void* user) {
    return *static_cast<http2_link*>(user);
  }

  static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                       const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                       std::size_t value_size, std::uint8_t /*flags*/, void* user) {
    http2_link& link = of(user);
    const std::string_view wanted = link.which == side::server ? ":path" : ":status";
    if (view_of(name, name_size) == wanted) {
      link.events.stream_begun(frame->hd.stream_id, std::string(view_of(value, value_size)));
    }
    return 0;
  }

  static int on_data(nghttp2_session* session, std::uint8_t /*flags*/, std::int32_t stream,
                     const std::uint8_t* bytes, std::size_t size, void* user) {
    nghttp2_session_consume_connection(session, size);
    of(user).events.stream_data(stream, view_of(bytes, size));
    return 0;
  }

  static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    const bool carries_body = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (carries_body && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      of(user).events.stream_complete(frame->hd.stream_id);
    }
    return 0;
  }

  static int on_close(nghttp2_session* /*session*/, std::int32_t stream, std::uint32_t /*error*/,
                      void* user) {
    http2_link& link = of(user);
    link.bodies.erase(stream);
    link.events.stream_closed(stream);
    return 0;
  }

  static ssize_t on_body(nghttp2_session* /*session*/, std::int32_t stream, std::uint8_t* target,
                         std::size_t room, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                         void* user) {
    http2_link& link = of(user);
    const auto place = link.bodies.find(stream);
    if (place == link.bodies.end()) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    outgoing_body& body = place->second;
    const std::size_t size = std::min(room, body.bytes.size() - body.start);
    if (size == 0 && !body.last) {
      body.deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n(body.bytes.data() + body.start, size, target);
    body.start += size;
    if (body.start == body.bytes.size()) {
      body.bytes.clear();
      body.start = 0;
      if (body.last) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
      }
    }
    link.events.stream_sent(stream, size);
    return static_cast<ssize_t>(size);
  }

  static nghttp2_data_provider body_provider() {
    nghttp2_data_provider provider{};
    provider.read_callback = on_body;
    return provider;
  }
};

void http2_link::session_deleter::operator()(nghttp2_session* ended) const {
  nghttp2_session_del(ended);
}

namespace {

struct callbacks_deleter {
  void operator()(nghttp2_session_callbacks* table) const {
    nghttp2_session_callbacks_del(table);
  }
};

struct option_deleter {
  void operator()(nghttp2_option* option) const {
    nghttp2_option_del(option);
  }
};

std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter> new_callbacks() {
  nghttp2_session_callbacks* table = nullptr;
  if (nghttp2_session_callbacks_new(&table) != 0) {
    throw std::bad_alloc();
  }
  return std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter>(table);
}

std::unique_ptr<nghttp2_option, option_deleter> new_options() {
  nghttp2_option* option = nullptr;
  if (nghttp2_option_new(&option) != 0) {
    throw std::bad_alloc();
  }
  nghttp2_option_set_no_auto_window_update(option, 1);
  return std::unique_ptr<nghttp2_option, option_deleter>(option);
}

}  // namespace

http2_link::http2_link(const Poco::Net::StreamSocket& link_socket, side which_side,
                       http2_events& link_events, const http2_link_limits& link_limits,
                       steady_time now)
    : socket(link_socket),
      which(which_side),
      events(link_events),
      limits(link_limits),
      last_received(now) {
  const auto table = new_callbacks();
  nghttp2_session_callbacks_set_on_header_callback(table.get(), callbacks::on_header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table.get(), callbacks::on_data);
  nghttp2_session_callbacks_set_on_frame_recv_callback(table.get(), callbacks::on_frame);
  nghttp2_session_callbacks_set_on_stream_close_callback(table.get(), callbacks::on_close);
  const auto option = new_options();
  nghttp2_session* made = nullptr;
  const int result = this->which == side::server
                         ? nghttp2_session_server_new2(&made, table.get(), this, option.get())
                         : nghttp2_session_client_new2(&made, table.get(), this, option.get());
  if (result != 0) {
    throw std::bad_alloc();
  }
  this->session.reset(made);
  const std::array<nghttp2_settings_entry, 2> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, streams_limit},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window_bytes},
  }};
  nghttp2_submit_settings(made, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(made, NGHTTP2_FLAG_NONE, 0, link_window_bytes);
}

http2_link::~http2_link() = default;

int http2_link::descriptor() const {
  return this->socket.impl()->sockfd();
}

bool http2_link::wants_write() const {
  return this->output_start < this->output.size() ||
         nghttp2_session_want_write(this->session.get()) != 0;
}

bool http2_link::read(steady_time now) {
  std::vector<std::uint8_t> buffer(read_size_bytes);
  while (true) {
    const ssize_t size = recv(this->descriptor(), buffer.data(), buffer.size(), 0);
    if (size < 0) {
      return would_block();
    }
    if (size == 0) {
      return false;
    }
    this->last_received = now;
    this->ping_open = false;
    this->received_count += static_cast<std::uint64_t>(size);
    const ssize_t taken = nghttp2_session_mem_recv(this->session.get(), buffer.data(),
                                                   static_cast<std::size_t>(size));
    if (taken < 0) {
      return false;
    }
    if (static_cast<std::size_t>(size) < buffer.size()) {
      return true;
    }
  }
}

bool http2_link::fill_output() {
  this->output.erase(0, this->output_start);
  this->output_start = 0;
  while (this->output.size() < output_target_bytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(this->session.get(), &bytes);
    if (size <= 0) {
      break;
    }
    this->output.append(view_of(bytes, static_cast<std::size_t>(size)));
  }
  return !this->output.empty();
}

bool http2_link::flush_output() {
  while (this->output_start < this->output.size()) {
    const ssize_t size =
        send(this->descriptor(), this->output.data() + this->output_start,
             this->output.size() - this->output_start, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size < 0) {
      return would_block();
    }
    this->output_start += static_cast<std::size_t>(size);
    this->sent_count += static_cast<std::uint64_t>(size);
  }
  return true;
}

bool http2_link::write() {
  while (this->fill_output()) {
    if (!this->flush_output()) {
      return false;
    }
    if (this->output_start < this->output.size()) {
      break;
    }
  }
  return nghttp2_session_want_read(this->session.get()) != 0;
}

bool http2_link::check_silence(steady_time now) {
  if (this->ping_open) {
    return now - this->ping_sent < this->limits.lost_after;
  }
  if (now - this->last_received >= this->limits.ping_after) {
    nghttp2_submit_ping(this->session.get(), NGHTTP2_FLAG_NONE, nullptr);
    this->ping_open = true;
    this->ping_sent = now;
  }
  return true;
}

std::int32_t http2_link::request(const std::string& path, std::string body) {
  const std::string post = "POST";
  const std::string scheme = "http";
  const std::string authority = "peer";
  const std::array<nghttp2_nv, 4> headers{header(":method", post), header(":scheme", scheme),
                                          header(":authority", authority), header(":path", path)};
  const nghttp2_data_provider provider = callbacks::body_provider();
  const std::int32_t stream = nghttp2_submit_request(this->session.get(), nullptr, headers.data(),
                                                     headers.size(), &provider, nullptr);
  if (stream > 0) {
    this->bodies[stream] = outgoing_body{std::move(body), 0, true, false};
  }
  return stream;
}

void http2_link::respond(std::int32_t stream) {
  const std::string ok = "200";
  const std::array<nghttp2_nv, 1> headers{header(":status", ok)};
  const nghttp2_data_provider provider = callbacks::body_provider();
  this->bodies[stream] = {};
  nghttp2_submit_response(this->session.get(), stream, headers.data(), headers.size(), &provider);
}

void http2_link::append(std::int32_t stream, std::string_view bytes, bool last) {
  const auto place = this->bodies.find(stream);
  if (place == this->bodies.end()) {
    return;
  }
  outgoing_body& body = place->second;
  if (body.start > 0) {
    body.bytes.erase(0, body.start);
    body.start = 0;
  }
  body.bytes.append(bytes);
  body.last = body.last || last;
  if (body.deferred) {
    body.deferred = false;
    nghttp2_session_resume_data(this->session.get(), stream);
  }
}

void http2_link::reset(std::int32_t stream) {
  nghttp2_submit_rst_stream(this->session.get(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
}

void http2_link::consumed(std::int32_t stream, std::size_t bytes) {
  nghttp2_session_consume_stream(this->session.get(), stream, bytes);
}

std::uint64_t http2_link::bytes_sent() const {
  return this->sent_count;
}

std::uint64_t http2_link::bytes_received() const {
  return this->received_count;
}

}  // namespace chestnuthead
