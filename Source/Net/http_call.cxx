#include "Net/http_call.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <mutex>
#include <optional>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <sys/socket.h>

#include "Traffic/http_reader.h"

namespace chestnuthead {

namespace {

/// `fetch_http` stops reading an answer that exceeds this size.
constexpr std::size_t answer_limit_bytes = 64U << 20U;
constexpr std::size_t piece_bytes = 16U << 10U;

Poco::Timespan timespan(std::chrono::milliseconds time) {
  return {std::chrono::duration_cast<std::chrono::microseconds>(time).count()};
}

std::string encode(const http_request& request) {
  Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
  head.setHost(request.address);
  head.setKeepAlive(false);
  for (const http_header& header : request.headers) {
    head.set(header.name, header.value);
  }
  const bool has_body =
      !request.body.empty() || request.method == "POST" || request.method == "PUT";
  if (has_body) {
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  }
  if (!request.content_type.empty()) {
    head.setContentType(request.content_type);
  }
  std::ostringstream out;
  head.write(out);
  out << request.body;
  return out.str();
}

/// Passes the parts of an answer to the callbacks of a call.
class answer_listener : public traffic::http_listener {
 public:
  explicit answer_listener(const http_reader& callbacks) : reader(callbacks) {}

  bool on_head(traffic::http_head& head) override {
    this->reader.head(head);
    return true;
  }
  void on_body(std::string_view bytes) override {
    this->stopped = this->stopped || !this->reader.piece(bytes);
  }
  void on_message_end() override {
    this->complete = true;
  }

  /// A callback has stopped the call.
  bool stopped = false;
  bool complete = false;

 private:
  const http_reader& reader;
};

/// How sending the request, or reading the answer, has ended.
enum class transfer_end : std::uint8_t {
  /// All was transferred, or the peer has closed the connection gracefully.
  done,
  /// No byte was transferred in time.
  timed_out,
  /// The connection has failed. The kernel reports this once; after that, reading shows the same
  /// as a graceful close.
  broken,
};

transfer_end end_for_error() {
  return errno == EAGAIN || errno == EWOULDBLOCK ? transfer_end::timed_out : transfer_end::broken;
}

transfer_end send_all(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
    } else if (errno == EPIPE) {
      // The peer had closed the connection gracefully before it failed.
      return transfer_end::done;
    } else if (errno != EINTR) {
      return end_for_error();
    }
  }
  return transfer_end::done;
}

/// Reads until the answer is complete or invalid, a callback stops the call, or the connection
/// ends.
transfer_end receive(int descriptor, traffic::http_reader& parser, const answer_listener& answer) {
  std::array<char, piece_bytes> buffer{};
  while (!answer.complete && !answer.stopped && parser.fault() == traffic::http_fault::none) {
    const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count == 0) {
      return transfer_end::done;
    }
    if (count < 0 && errno != EINTR) {
      return end_for_error();
    }
    std::string_view rest(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    while (!rest.empty() && !answer.complete && parser.fault() == traffic::http_fault::none) {
      rest.remove_prefix(parser.feed(rest));
    }
  }
  return transfer_end::done;
}

/// Sends the request and reads the answer. True if the answer is complete.
bool transfer(int descriptor, const http_request& request, const http_reader& reader) {
  answer_listener answer(reader);
  traffic::http_reader parser(traffic::http_kind::answer, answer);
  parser.expect_no_body(request.method == "HEAD");
  const transfer_end sent = send_all(descriptor, encode(request));
  const transfer_end received = receive(descriptor, parser, answer);
  if (sent != transfer_end::broken && received == transfer_end::done) {
    parser.feed_end();
  }
  return answer.complete && !answer.stopped;
}

}  // namespace

struct http_canceller::open_socket {
  std::mutex lock;
  std::optional<Poco::Net::StreamSocket> socket;
  bool cancelled = false;

  /// Registers the socket for `cancel`. False if the call was cancelled
  /// earlier.
  bool open(const Poco::Net::StreamSocket& opened) {
    const std::lock_guard guard(this->lock);
    this->socket = opened;
    return !this->cancelled;
  }
  /// False if the call was cancelled.
  bool close() {
    const std::lock_guard guard(this->lock);
    this->socket.reset();
    return !this->cancelled;
  }
  void cancel() {
    const std::lock_guard guard(this->lock);
    this->cancelled = true;
    if (this->socket.has_value()) {
      try {
        this->socket->shutdown();
      } catch (const Poco::Exception&) {
        // The peer closed the connection first; there is nothing to shut down.
      }
    }
  }
};

http_canceller::http_canceller() : socket(std::make_unique<open_socket>()) {}

http_canceller::~http_canceller() = default;

void http_canceller::cancel() {
  this->socket->cancel();
}

http_outcome run_http_call(const http_request& request, const http_reader& reader,
                           http_canceller* canceller) {
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(request.address), timespan(request.connect_timeout));
    socket.setNoDelay(true);
    socket.setSendTimeout(timespan(request.read_timeout));
    socket.setReceiveTimeout(timespan(request.read_timeout));
    if (canceller != nullptr && !canceller->socket->open(socket)) {
      return http_failure::not_sent;
    }
  } catch (const Poco::Net::ConnectionRefusedException&) {
    return http_failure::port_closed;
  } catch (const Poco::Exception&) {
    return http_failure::not_sent;
  }
  bool is_complete = false;
  try {
    is_complete = transfer(socket.impl()->sockfd(), request, reader);
  } catch (const std::exception&) {
    // The answer can't be used.
  }
  // A cancelled call shuts down its socket, which looks like a graceful close by the peer.
  const bool is_cancelled = canceller != nullptr && !canceller->socket->close();
  if (!is_complete || is_cancelled) {
    return http_failure::no_answer;
  }
  return http_done{};
}

std::string content_type_of(const traffic::http_head& head) {
  const std::string* type = find_field(head, "Content-Type");
  return type == nullptr ? std::string() : *type;
}

bool nothing_sent(http_failure failure) {
  return failure != http_failure::no_answer;
}

std::variant<http_answer, http_failure> fetch_http(const http_request& request) {
  http_answer answer;
  bool too_large = false;
  const http_reader reader{[&answer](const traffic::http_head& head) {
                             answer.status = head.status;
                             answer.content_type = content_type_of(head);
                           },
                           [&](std::string_view piece) {
                             too_large = answer.body.size() + piece.size() > answer_limit_bytes;
                             answer.body.append(piece);
                             return !too_large;
                           }};
  const http_outcome outcome = run_http_call(request, reader);
  if (const auto* failure = std::get_if<http_failure>(&outcome)) {
    return *failure;
  }
  return answer;
}

}  // namespace chestnuthead
