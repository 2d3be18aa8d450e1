#include "Net/http_call.h"

#include <array>
#include <exception>
#include <istream>
#include <mutex>
#include <optional>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include "Net/eof_tracking_socket.h"

namespace chestnuthead {

namespace {

/// `fetch_http` stops reading an answer that exceeds this size.
constexpr std::size_t answer_limit_bytes = 64U << 20U;
constexpr std::size_t piece_bytes = 16U << 10U;

Poco::Timespan timespan(std::chrono::milliseconds time) {
  return {std::chrono::duration_cast<std::chrono::microseconds>(time).count()};
}

void send_request(Poco::Net::HTTPClientSession& session, const http_request& request) {
  Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
  head.setHost(request.address);
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
  std::ostream& out = session.sendRequest(head);
  out << request.body;
  out.flush();
}

/// Passes the body to `reader` in pieces. False if the reader stopped the call.
bool read_body(std::istream& in, const http_reader& reader) {
  std::array<char, piece_bytes> buffer{};
  while (in.peek() != std::istream::traits_type::eof()) {
    const std::streamsize size =
        in.readsome(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    if (!reader.piece(std::string_view(buffer.data(), static_cast<std::size_t>(size)))) {
      return false;
    }
  }
  return true;
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
  void close() {
    const std::lock_guard guard(this->lock);
    this->socket.reset();
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
  // `socket` owns `implementation` from here on.
  auto* const implementation = new eof_tracking_socket;
  Poco::Net::StreamSocket socket(implementation);
  try {
    socket.connect(Poco::Net::SocketAddress(request.address), timespan(request.connect_timeout));
    socket.setNoDelay(true);
    // HTTPClientSession does not apply its timeouts to a socket passed to it.
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
  http_outcome outcome = http_failure::no_answer;
  try {
    Poco::Net::HTTPClientSession session(socket);
    send_request(session, request);
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    const bool has_delimited_body =
        response.getChunkedTransferEncoding() || response.hasContentLength();
    // Poco parses a truncated header block without an error, so check for end
    // of file.
    const bool head_complete = !implementation->saw_eof();
    if (head_complete) {
      reader.head(response.getStatus(), response.getContentType());
    }
    if (head_complete && read_body(in, reader) &&
        (!has_delimited_body || !implementation->saw_eof()) && !in.bad()) {
      outcome = http_done{};
    }
  } catch (const std::exception&) {
    // Includes Poco's exceptions. `outcome` remains `no_answer`.
  }
  if (canceller != nullptr) {
    canceller->socket->close();
  }
  return outcome;
}

bool nothing_sent(http_failure failure) {
  return failure != http_failure::no_answer;
}

std::variant<http_answer, http_failure> fetch_http(const http_request& request) {
  http_answer answer;
  bool too_large = false;
  const http_reader reader{[&answer](int status, const std::string& content_type) {
                             answer.status = status;
                             answer.content_type = content_type;
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
