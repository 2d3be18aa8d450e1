#include "Net/server_link.h"

#include <utility>
#include <variant>

#include "Net/peer_codec.h"

namespace chestnuthead {

namespace {

/// Backpressure limit: above this many queued bytes of one answer,
/// `wait_for_room` blocks.
constexpr std::size_t queue_limit_bytes = 256U << 10U;

bool is_last(const attempt_frame& frame) {
  return std::holds_alternative<refused_frame>(frame) || std::holds_alternative<ended_frame>(frame);
}

}  // namespace

server_reply::server_reply(peer_server& reply_owner, std::weak_ptr<server_link> reply_link,
                           std::int32_t reply_stream)
    : owner(reply_owner), link(std::move(reply_link)), stream(reply_stream) {}

void server_reply::send(attempt_frame frame) {
  std::string bytes = encode_frame(frame, this->owner.hybrid.tick());
  {
    const std::lock_guard guard(this->lock);
    if (this->closed) {
      return;
    }
    this->queued += bytes.size();
  }
  this->owner.loop.post(
      [to = this->link, number = this->stream, data = std::move(bytes), last = is_last(frame)] {
        if (const auto open = to.lock()) {
          open->append(number, data, last);
        }
      });
}

room_state server_reply::wait_for_room(std::chrono::milliseconds longest) {
  std::unique_lock guard(this->lock);
  const bool woken = this->changed.wait_for(
      guard, longest, [this] { return this->closed || this->queued < queue_limit_bytes; });
  if (this->closed) {
    return room_state::ended;
  }
  return woken ? room_state::ready : room_state::full;
}

void server_reply::sent(std::size_t bytes) {
  const std::lock_guard guard(this->lock);
  this->queued -= std::min(bytes, this->queued);
  this->changed.notify_all();
}

void server_reply::close() {
  const std::lock_guard guard(this->lock);
  this->closed = true;
  this->changed.notify_all();
}

server_link::server_link(peer_server& link_owner, const Poco::Net::StreamSocket& link_socket,
                         steady_time now)
    : owner(link_owner),
      socket(link_socket),
      link(link_socket, http2_link::side::server, *this, link_owner.limits, now) {}

int server_link::descriptor() const {
  return this->link.descriptor();
}

bool server_link::wants_read() const {
  return true;
}

bool server_link::wants_write() const {
  return this->link.wants_write();
}

bool server_link::ready(bool readable, bool writable, steady_time now) {
  if (readable && !this->link.read(now)) {
    return false;
  }
  const bool good = !writable || this->link.write();
  this->count_bytes();
  return good;
}

bool server_link::tick(steady_time now) {
  return this->exchanges.empty() || this->link.check_silence(now);
}

void server_link::removed() {
  // Flushes output that is ready, in case the peer still reads.
  this->link.write();
  for (const auto& [stream, request] : std::exchange(this->exchanges, {})) {
    this->end_exchange(request);
  }
  this->socket.close();
}

void server_link::append(std::int32_t stream, const std::string& bytes, bool last) {
  const auto place = this->exchanges.find(stream);
  if (place == this->exchanges.end()) {
    return;
  }
  place->second.ended = place->second.ended || last;
  this->link.append(stream, bytes, last);
}

void server_link::stream_begun(std::int32_t stream, const std::string& path_or_status) {
  this->exchanges[stream].path = path_or_status;
}

void server_link::stream_data(std::int32_t stream, std::string_view bytes) {
  this->link.consumed(stream, bytes.size());
  const auto place = this->exchanges.find(stream);
  if (place == this->exchanges.end()) {
    return;
  }
  std::string& body = place->second.body;
  if (body.size() + bytes.size() > peer_message_limit_bytes) {
    this->exchanges.erase(place);
    this->link.reset(stream);
    return;
  }
  body.append(bytes);
}

void server_link::stream_complete(std::int32_t stream) {
  const auto place = this->exchanges.find(stream);
  if (place == this->exchanges.end()) {
    return;
  }
  exchange& request = place->second;
  if (request.path == attempt_path) {
    this->handle_attempt(stream, request);
  } else if (request.path == probe_path) {
    this->handle_probe(stream, request);
  } else if (request.path == gossip_path) {
    this->handle_gossip(stream, request);
  } else {
    this->link.reset(stream);
  }
}

void server_link::handle_attempt(std::int32_t stream, exchange& request) {
  decoded<attempt_message> result = decode_attempt(request.body);
  request.body = {};
  auto* good = std::get_if<stamped<attempt_message>>(&result);
  if (good == nullptr) {
    this->link.reset(stream);
    return;
  }
  this->owner.hybrid.merge(good->sent);
  request.attempt = good->message.attempt;
  request.reply = std::make_shared<server_reply>(this->owner, this->weak_from_this(), stream);
  this->link.respond(stream);
  ++this->owner.open_attempts;
  this->owner.service.take_attempt(std::move(good->message), request.reply);
}

void server_link::handle_probe(std::int32_t stream, const exchange& request) {
  decoded<probe_message> result = decode_probe(request.body);
  auto* good = std::get_if<stamped<probe_message>>(&result);
  if (good == nullptr) {
    this->link.reset(stream);
    return;
  }
  this->owner.hybrid.merge(good->sent);
  this->owner.traffic.probe_received += request.body.size();
  this->link.respond(stream);
  this->owner.service.take_probe(
      std::move(good->message),
      [&server = this->owner, weak = this->weak_from_this(), stream](const load_report& load) {
        std::string bytes = encode_load(load, server.hybrid.tick());
        server.traffic.probe_sent += bytes.size();
        server.loop.post([weak, stream, bytes = std::move(bytes)] {
          if (const auto open = weak.lock()) {
            open->append(stream, bytes, true);
          }
        });
      });
}

void server_link::handle_gossip(std::int32_t stream, const exchange& request) {
  decoded<gossip_message> result = decode_gossip(request.body);
  auto* good = std::get_if<stamped<gossip_message>>(&result);
  if (good == nullptr) {
    this->link.reset(stream);
    return;
  }
  this->owner.hybrid.merge(good->sent);
  this->owner.traffic.gossip_received += request.body.size();
  this->link.respond(stream);
  this->link.append(stream, {}, true);
  this->owner.service.take_gossip(std::move(good->message));
}

void server_link::end_exchange(const exchange& request) {
  if (request.reply == nullptr) {
    return;
  }
  --this->owner.open_attempts;
  request.reply->close();
  if (!request.ended) {
    this->owner.service.attempt_withdrawn(request.attempt);
  }
}

void server_link::stream_closed(std::int32_t stream) {
  const auto place = this->exchanges.find(stream);
  if (place == this->exchanges.end()) {
    return;
  }
  const exchange request = std::move(place->second);
  this->exchanges.erase(place);
  this->end_exchange(request);
}

void server_link::stream_sent(std::int32_t stream, std::size_t bytes) {
  const auto place = this->exchanges.find(stream);
  if (place != this->exchanges.end() && place->second.reply != nullptr) {
    place->second.reply->sent(bytes);
  }
}

void server_link::count_bytes() {
  this->owner.traffic.link_sent += this->link.bytes_sent() - this->counted_sent;
  this->owner.traffic.link_received += this->link.bytes_received() - this->counted_received;
  this->counted_sent = this->link.bytes_sent();
  this->counted_received = this->link.bytes_received();
}

}  // namespace chestnuthead
