#include "Net/client_link.h"

#include <utility>
#include <variant>

namespace chestnuthead {

namespace {

/// True if the frame belongs to the request and attempt.
bool belongs_to(const attempt_frame& frame, const request_id& request, const attempt_id& attempt) {
  return std::visit(
      [&](const auto& body) { return body.request == request && body.attempt == attempt; }, frame);
}

bool is_last(const attempt_frame& frame) {
  return std::holds_alternative<refused_frame>(frame) || std::holds_alternative<ended_frame>(frame);
}

}  // namespace

client_link::client_link(peer_client& link_owner, const node_id& peer_node,
                         const std::string& peer_address, const Poco::Net::SocketAddress& target,
                         steady_time now)
    : owner(link_owner),
      node(peer_node),
      address(peer_address),
      connect_began(now),
      last_used(now) {
  this->socket.connectNB(target);
  this->socket.setBlocking(false);
  this->socket.setNoDelay(true);
  this->link = std::make_unique<http2_link>(this->socket, http2_link::side::client, *this,
                                            this->owner.limits.link, now);
}

const std::string& client_link::peer_address() const {
  return this->address;
}

int client_link::descriptor() const {
  return this->link->descriptor();
}

bool client_link::wants_read() const {
  return this->connected;
}

bool client_link::wants_write() const {
  return !this->connected || this->link->wants_write();
}

bool client_link::finish_connecting() {
  if (this->socket.impl()->socketError() != 0) {
    return false;
  }
  this->connected = true;
  return true;
}

bool client_link::ready(bool readable, bool writable, steady_time now) {
  if (!this->connected && !this->finish_connecting()) {
    return false;
  }
  if (readable && !this->link->read(now)) {
    return false;
  }
  const bool good = !writable || this->link->write();
  this->count_bytes();
  return good;
}

bool client_link::tick(steady_time now) {
  if (!this->connected) {
    return now - this->connect_began < this->owner.limits.connect_timeout;
  }
  if (!this->attempts.empty() || !this->probes.empty()) {
    this->last_used = now;
    return this->link->check_silence(now);
  }
  this->closed_idle = now - this->last_used >= this->owner.limits.idle_timeout;
  return !this->closed_idle;
}

void client_link::removed() {
  this->owner.remove_link(*this);
  while (!this->attempts.empty()) {
    this->fail_attempt(this->attempts.begin()->first);
  }
  this->probes.clear();
  // Reported last, because the end of an attempt counts as evidence that the
  // node is alive.
  if (!this->closed_idle) {
    this->owner.lost(this->node);
  }
  this->socket.close();
}

void client_link::send_attempt(const attempt_message& message,
                               peer_transport::frame_listener listener) {
  const std::int32_t stream =
      this->link->request(attempt_path, encode_attempt(message, this->owner.hybrid.tick()));
  attempt_exchange exchange{message.facts.request, message.attempt, std::move(listener), {}, 0, 0};
  if (stream < 0) {
    exchange.listener(ended_frame{exchange.request, exchange.attempt, attempt_outcome::lost, {}});
    return;
  }
  this->owner.attempts[message.attempt] =
      std::static_pointer_cast<client_link>(this->owner.links.at(this->address));
  this->streams[message.attempt] = stream;
  this->attempts.emplace(stream, std::move(exchange));
}

void client_link::cancel_attempt(const attempt_id& attempt) {
  const auto place = this->streams.find(attempt);
  if (place == this->streams.end()) {
    return;
  }
  this->link->reset(place->second);
  this->owner.attempts.erase(attempt);
  this->attempts.erase(place->second);
  this->streams.erase(place);
}

void client_link::answer_consumed(const attempt_id& attempt, std::size_t bytes) {
  const auto place = this->streams.find(attempt);
  if (place == this->streams.end()) {
    return;
  }
  attempt_exchange& exchange = this->attempts.at(place->second);
  exchange.outstanding -= std::min(bytes, exchange.outstanding);
  this->release_window(place->second, exchange);
}

void client_link::send_probe(const probe_message& message,
                             peer_transport::probe_listener listener) {
  std::string bytes = encode_probe(message, this->owner.hybrid.tick());
  this->owner.traffic.probe_sent += bytes.size();
  const std::int32_t stream = this->link->request(probe_path, std::move(bytes));
  if (stream > 0) {
    this->probes[stream].listener = std::move(listener);
  }
}

void client_link::send_gossip(const gossip_message& message) {
  std::string bytes = encode_gossip(message, this->owner.hybrid.tick());
  this->owner.traffic.gossip_sent += bytes.size();
  this->last_used = std::chrono::steady_clock::now();
  this->link->request(gossip_path, std::move(bytes));
}

void client_link::stream_begun(std::int32_t /*stream*/, const std::string& /*path_or_status*/) {}

void client_link::stream_data(std::int32_t stream, std::string_view bytes) {
  const auto attempt = this->attempts.find(stream);
  if (attempt != this->attempts.end()) {
    this->attempt_data(stream, attempt->second, bytes);
    return;
  }
  this->link->consumed(stream, bytes.size());
  const auto probe = this->probes.find(stream);
  if (probe != this->probes.end() && probe->second.answer.size() < frame_limit_bytes) {
    probe->second.answer.append(bytes);
  }
}

void client_link::attempt_data(std::int32_t stream, attempt_exchange& exchange,
                               std::string_view bytes) {
  exchange.pending += bytes.size();
  if (!exchange.splitter.feed(bytes)) {
    this->link->reset(stream);
    this->fail_attempt(stream);
    return;
  }
  while (const std::optional<std::string> frame = exchange.splitter.next()) {
    if (!this->handle_attempt_frame(stream, *frame)) {
      return;
    }
  }
  this->release_window(stream, exchange);
}

bool client_link::handle_attempt_frame(std::int32_t stream, const std::string& bytes) {
  attempt_exchange& exchange = this->attempts.at(stream);
  decoded<attempt_frame> result = decode_frame(bytes);
  auto* good = std::get_if<stamped<attempt_frame>>(&result);
  if (good == nullptr) {
    this->link->reset(stream);
    this->fail_attempt(stream);
    return false;
  }
  this->owner.hybrid.merge(good->sent);
  // Ignored here: the answer's assembly checks the frames of an answer again.
  if (!belongs_to(good->message, exchange.request, exchange.attempt)) {
    return true;
  }
  if (is_last(good->message)) {
    this->end_attempt(stream, good->message);
    return false;
  }
  if (const auto* chunk = std::get_if<answer_chunk>(&good->message)) {
    exchange.outstanding += chunk->bytes.size();
  }
  exchange.listener(std::move(good->message));
  return true;
}

void client_link::release_window(std::int32_t stream, attempt_exchange& exchange) {
  if (exchange.pending > exchange.outstanding) {
    this->link->consumed(stream, exchange.pending - exchange.outstanding);
    exchange.pending = exchange.outstanding;
  }
}

void client_link::end_attempt(std::int32_t stream, const attempt_frame& last) {
  const auto place = this->attempts.find(stream);
  if (place == this->attempts.end()) {
    return;
  }
  const attempt_exchange exchange = std::move(place->second);
  this->attempts.erase(place);
  this->streams.erase(exchange.attempt);
  this->owner.attempts.erase(exchange.attempt);
  exchange.listener(last);
}

void client_link::fail_attempt(std::int32_t stream) {
  const auto place = this->attempts.find(stream);
  if (place == this->attempts.end()) {
    return;
  }
  const request_id request = place->second.request;
  const attempt_id attempt = place->second.attempt;
  if (this->connected) {
    this->end_attempt(stream, ended_frame{request, attempt, attempt_outcome::lost, {}});
    return;
  }
  // The connection was never established, so no byte was sent and nothing ran.
  refused_frame refused{request, attempt, refusal_kind::not_ready, {}, {}};
  this->end_attempt(stream, refused);
}

void client_link::stream_complete(std::int32_t stream) {
  const auto probe = this->probes.find(stream);
  if (probe == this->probes.end()) {
    return;
  }
  const probe_exchange exchange = std::move(probe->second);
  this->probes.erase(probe);
  this->owner.traffic.probe_received += exchange.answer.size();
  const decoded<load_report> result = decode_load(exchange.answer);
  if (const auto* good = std::get_if<stamped<load_report>>(&result)) {
    this->owner.hybrid.merge(good->sent);
    exchange.listener(good->message);
  }
}

void client_link::stream_closed(std::int32_t stream) {
  this->fail_attempt(stream);
  this->probes.erase(stream);
}

void client_link::stream_sent(std::int32_t /*stream*/, std::size_t /*bytes*/) {}

void client_link::count_bytes() {
  this->owner.traffic.link_sent += this->link->bytes_sent() - this->counted_sent;
  this->owner.traffic.link_received += this->link->bytes_received() - this->counted_received;
  this->counted_sent = this->link->bytes_sent();
  this->counted_received = this->link->bytes_received();
}

}  // namespace chestnuthead
