#include "Traffic/peer_channel.h"

#include <algorithm>
#include <array>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Gateway/peer_message.h"
#include "Gateway/readiness.h"
#include "Gateway/rollout_decision.h"
#include "Traffic/endpoint_log.h"
#include "Traffic/message_mac.h"
#include "Traffic/peer_codec.h"
#include "Traffic/tcp_link.h"

namespace chestnuthead::traffic {

namespace {

/// Longest UDP payload over IPv4.
constexpr std::size_t max_datagram_bytes = 65'507;
/// Most placements sent to a gateway that has just started, in total and in one message.
/// A message takes about 10 KB.
constexpr std::size_t new_peer_placements = 2'048;
constexpr std::size_t placements_per_message = 512;
/// Interval at which entries that were not used for a long time are discarded.
constexpr std::chrono::seconds sweep_interval{5};

/// What a message tells that this gateway did not know before.
struct message_news {
  std::vector<gateway::incarnation_id> leaving;
  /// Endpoints whose health a peer has checked, by `gateway::endpoint::hash`, with what this
  /// gateway knew of their incarnations.
  std::vector<std::pair<std::uint64_t, gateway::incarnation_proof>> checked;
};

message_news find_news(const gateway::endpoint_table& table, const gateway::peer_message& message,
                       steady_time now) {
  message_news news;
  for (const gateway::incarnation_id& report : message.leaving_endpoints) {
    if (!has_reported_leaving(table, report, now)) {
      news.leaving.push_back(report);
    }
  }
  for (const gateway::check_report& check : message.checks) {
    const auto place = table.by_hash.find(check.endpoint);
    if (place != table.by_hash.end()) {
      news.checked.emplace_back(check.endpoint, place->second->proof);
    }
  }
  return news;
}

void log_news(traffic_context& context, const message_news& news) {
  const gateway::endpoint_table& table = context.state.endpoints;
  for (const gateway::incarnation_id& report : news.leaving) {
    const auto place = table.by_hash.find(report.endpoint);
    log_leaving(context, place == table.by_hash.end() ? endpoint_id{} : place->second->listing.name,
                report, "peer", {});
  }
  for (const auto& [endpoint, proof_before] : news.checked) {
    log_if_proven(context, *table.by_hash.at(endpoint), proof_before, "peer");
  }
}

}  // namespace

peer_channel::peer_channel(traffic_context& shared, const std::string& address,
                           table_update_handler handler)
    : context(shared),
      on_table_update(std::move(handler)),
      descriptor(open_bound_socket(address, SOCK_DGRAM)),
      start(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                           shared.time.wall_now().time_since_epoch())
                                           .count())) {
  if (this->descriptor >= 0) {
    this->context.loop.watch(this->descriptor, *this, {true, false});
  }
}

peer_channel::~peer_channel() {
  if (this->descriptor >= 0) {
    this->context.loop.unwatch(this->descriptor);
    ::close(this->descriptor);
  }
}

std::string peer_channel::encode_and_sign(gateway::peer_message message) {
  message.sender = this->context.state.self;
  message.start = this->start;
  message.sequence = ++this->sequence;
  const gateway::fleet_key* key = sending_key(this->context.state.keys, this->context.time.now());
  return key == nullptr ? std::string() : append_mac(*key, encode_peer_message(message));
}

void peer_channel::send_to(const Poco::Net::SocketAddress& target, const std::string& bytes) const {
  if (!bytes.empty() && bytes.size() <= max_datagram_bytes) {
    // A lost message needs no resend: the next one carries the current state.
    ::sendto(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, target.addr(),
             target.length());
  }
}

void peer_channel::send_to_all(gateway::peer_message message) {
  const std::string bytes = this->encode_and_sign(std::move(message));
  for (const auto& [name, row] : this->context.state.peers.rows) {
    if (!row.address.empty()) {
      this->send_to(Poco::Net::SocketAddress(row.address), bytes);
    }
  }
}

gateway::peer_message peer_channel::make_message(steady_time now) const {
  const gateway::gateway_state& state = this->context.state;
  gateway::peer_message message = own_peer_message(state.endpoints, now);
  message.crashes = recent_crashes(state.suspects, now);
  message.parts = recent_part_reports(state.parts, now);
  message.rollouts = rollout_reports(state.rollouts);
  message.current = is_current(state, now);
  message.configuration = state.services == nullptr ? 0 : state.services->version;
  return message;
}

void peer_channel::send_placements(const Poco::Net::SocketAddress& new_peer, steady_time now) {
  const auto placements = recent_placements(this->context.state.holders, new_peer_placements);
  for (std::size_t from = 0; from < placements.size(); from += placements_per_message) {
    const std::size_t to = std::min(placements.size(), from + placements_per_message);
    gateway::peer_message message = this->make_message(now);
    message.placements.assign(placements.begin() + static_cast<std::ptrdiff_t>(from),
                              placements.begin() + static_cast<std::ptrdiff_t>(to));
    this->send_to(new_peer, this->encode_and_sign(std::move(message)));
  }
}

void peer_channel::tick(steady_time now) {
  gateway::gateway_state& state = this->context.state;
  const bool has_updates = !state.table_updates.empty();
  if (now < this->next_at && !has_updates) {
    return;
  }
  const std::uint32_t known = count_gateways(state.peers, now);
  state.fleet.gateways = state.peers_known ? known : std::max(known, gateway::gateways_assumed);
  const std::chrono::milliseconds interval = gateway::peer_message_interval(state.fleet.gateways);
  this->next_at = now + std::min(interval, gateway::urgent_interval);
  apply_peer_loads(state.peers, state.endpoints, now);
  gateway::peer_message message = this->make_message(now);
  if (now < this->next_periodic_at && !has_updates && !is_urgent(message, this->last_sent)) {
    return;
  }
  this->next_periodic_at = now + interval;
  this->last_sent = message;
  message.placements = std::exchange(state.holders.unsent_placements, {});
  message.shorter_prefixes = std::exchange(state.holders.unsent_shorter_placements, {});
  message.tables = std::exchange(state.table_updates, {});
  this->send_to_all(std::move(message));
  drop_expired(state.suspects, now);
  if (now >= this->next_sweep_at) {
    this->next_sweep_at = now + sweep_interval;
    drop_unused(state.holders, now);
  }
}

void peer_channel::send_leaving() {
  gateway::peer_message message;
  message.leaving = true;
  this->send_to_all(std::move(message));
}

void peer_channel::handle_message(gateway::peer_message message,
                                  const Poco::Net::SocketAddress& sender, steady_time now) {
  gateway::gateway_state& state = this->context.state;
  if (message.sender == state.self) {
    return;
  }
  // Table updates carry the store's own time, so they are applied even if this message arrived
  // out of order.
  for (const gateway::table_update& update : std::exchange(message.tables, {})) {
    this->on_table_update(update);
  }
  const auto known = state.peers.rows.find(message.sender);
  const std::uint64_t start_before =
      known == state.peers.rows.end() ? 0 : known->second.message.start;
  const message_news news = find_news(state.endpoints, message, now);
  if (!apply_peer_message(state, message, now)) {
    return;
  }
  log_news(this->context, news);
  if (message.start != start_before &&
      sends_initial_placements(state.peers, state.self, this->start, message, now)) {
    this->send_placements(sender, now);
  }
}

void peer_channel::on_ready(bool /*readable*/, bool /*writable*/) {
  static thread_local std::array<char, max_datagram_bytes> buffer;
  // Reads several datagrams in each round, so that the receive buffer does not overflow.
  constexpr int messages_per_round = 64;
  for (int count = 0; count < messages_per_round; ++count) {
    sockaddr_in from{};
    socklen_t length = sizeof from;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto* address = reinterpret_cast<sockaddr*>(&from);
    const ssize_t size =
        ::recvfrom(this->descriptor, buffer.data(), buffer.size(), 0, address, &length);
    if (size < 0) {
      return;
    }
    const auto verified =
        verify_message(this->context.state.keys, {buffer.data(), static_cast<std::size_t>(size)});
    if (!verified) {
      this->context.metrics.count("chestnuthead_peer_messages_refused_total");
      continue;
    }
    auto message = decode_peer_message(*verified);
    if (message) {
      this->handle_message(std::move(*message), Poco::Net::SocketAddress(address, length),
                           this->context.time.now());
    } else {
      this->context.metrics.count("chestnuthead_peer_messages_unreadable_total");
    }
  }
}

}  // namespace chestnuthead::traffic
