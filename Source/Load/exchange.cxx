#include "Load/exchange.h"

#include <string_view>
#include <variant>

#include <Poco/String.h>

#include "Net/http_call.h"

namespace chestnuthead {

namespace {

using stopwatch = std::chrono::steady_clock;

std::chrono::microseconds since(stopwatch::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(stopwatch::now() - start);
}

http_request call_of(const std::string& address, const exchange_request& request,
                     std::chrono::milliseconds timeout) {
  http_request call;
  call.address = address;
  call.method = request.method;
  call.path = request.path;
  for (const auto& [name, value] : request.headers) {
    call.headers.push_back({name, value});
  }
  call.content_type = request.body.empty() ? std::string() : request.content_type;
  call.body = request.body;
  call.connect_timeout = timeout;
  call.read_timeout = timeout;
  return call;
}

}  // namespace

exchange_reply exchange(const std::string& address, const exchange_request& request,
                        std::chrono::milliseconds timeout) {
  const stopwatch::time_point start = stopwatch::now();
  exchange_reply reply;
  const http_reader reader{[&reply](const traffic::http_head& head) {
                             reply.answered = true;
                             reply.status = head.status;
                             for (const auto& [name, value] : head.fields) {
                               reply.headers[Poco::toLower(name)] = value;
                             }
                           },
                           [&reply, start](std::string_view piece) {
                             if (reply.body.empty()) {
                               reply.first_byte = since(start);
                             }
                             reply.body.append(piece);
                             return true;
                           }};
  const http_outcome outcome = run_http_call(call_of(address, request, timeout), reader);
  const auto* failure = std::get_if<http_failure>(&outcome);
  reply.cut = failure != nullptr;
  reply.never_sent = failure != nullptr && nothing_sent(*failure);
  reply.total_time = since(start);
  return reply;
}

std::string header_of(const exchange_reply& reply, const std::string& name) {
  const auto place = reply.headers.find(Poco::toLower(name));
  return place == reply.headers.end() ? "" : place->second;
}

}  // namespace chestnuthead
