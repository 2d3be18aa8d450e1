#include "Load/exchange.h"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

namespace chestnuthead {

namespace {

using stopwatch = std::chrono::steady_clock;

std::chrono::microseconds since(stopwatch::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(stopwatch::now() - start);
}

void send(Poco::Net::HTTPClientSession& session, const std::string& address,
          const exchange_request& request) {
  Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
  head.setHost(address);
  for (const auto& [name, value] : request.headers) {
    head.set(name, value);
  }
  if (!request.body.empty()) {
    head.setContentType(request.content_type);
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  }
  session.sendRequest(head) << request.body << std::flush;
}

void read_body(std::istream& stream, stopwatch::time_point start, exchange_reply& reply) {
  std::array<char, 4096> buffer{};
  while (true) {
    // Reads one byte and then whatever is buffered, so that the time to the
    // first byte is measured exactly.
    const int first = stream.get();
    if (first == std::istream::traits_type::eof()) {
      return;
    }
    if (reply.body.empty()) {
      reply.first_byte = since(start);
    }
    reply.body += static_cast<char>(first);
    const std::streamsize more = stream.readsome(buffer.data(), buffer.size());
    reply.body.append(buffer.data(), static_cast<std::size_t>(more));
  }
}

void receive(Poco::Net::HTTPClientSession& session, stopwatch::time_point start,
             exchange_reply& reply) {
  Poco::Net::HTTPResponse head;
  std::istream& stream = session.receiveResponse(head);
  reply.answered = true;
  reply.status = head.getStatus();
  for (const auto& [name, value] : head) {
    reply.headers[Poco::toLower(name)] = value;
  }
  read_body(stream, start, reply);
  if (head.hasContentLength()) {
    reply.cut = static_cast<Poco::Int64>(reply.body.size()) != head.getContentLength64();
  }
}

}  // namespace

exchange_reply exchange(const std::string& address, const exchange_request& request,
                        std::chrono::milliseconds timeout) {
  const stopwatch::time_point start = stopwatch::now();
  exchange_reply reply;
  reply.never_sent = true;
  try {
    const Poco::Timespan limit(std::chrono::microseconds(timeout).count());
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address), limit);
    // The session's timeout settings do not apply to a socket that is already
    // connected.
    socket.setReceiveTimeout(limit);
    socket.setSendTimeout(limit);
    reply.never_sent = false;
    Poco::Net::HTTPClientSession session(socket);
    session.setKeepAlive(false);
    send(session, address, request);
    receive(session, start, reply);
  } catch (const Poco::Exception&) {
    reply.cut = true;
  }
  reply.total_time = since(start);
  return reply;
}

std::string header_of(const exchange_reply& reply, const std::string& name) {
  const auto place = reply.headers.find(Poco::toLower(name));
  return place == reply.headers.end() ? "" : place->second;
}

}  // namespace chestnuthead
