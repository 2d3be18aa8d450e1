#include "Traffic/peer_port.h"

#include <algorithm>
#include <array>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Gateway/peer_message.h"
#include "Gateway/readiness.h"
#include "Traffic/byte_link.h"
#include "Traffic/message_seal.h"
#include "Traffic/peer_codec.h"

namespace chestnuthead::traffic {

namespace {

/// Longest message: what UDP carries over IPv4.
constexpr std::size_t longest_message = 65'507;
/// Placements that a newcomer is told at most, and in one message: the messages
/// take some 10 KB each.
constexpr std::size_t greeting_placements = 2'048;
constexpr std::size_t placements_a_message = 512;
/// Time between two sweeps of what was not used for long.
constexpr std::chrono::seconds sweep_interval{5};

}  // namespace

peer_port::peer_port(traffic_context& parts, const std::string& address, news_handler news_heard)
    : context(parts),
      on_news(std::move(news_heard)),
      descriptor(open_bound_socket(address, SOCK_DGRAM)),
      start(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                           parts.time.wall_now().time_since_epoch())
                                           .count())) {
  if (this->descriptor >= 0) {
    this->context.loop.watch(this->descriptor, *this, {true, false});
  }
}

peer_port::~peer_port() {
  if (this->descriptor >= 0) {
    this->context.loop.forget(this->descriptor);
    ::close(this->descriptor);
  }
}

std::string peer_port::seal(gateway::peer_message word) {
  word.sender = this->context.state.self;
  word.start = this->start;
  word.sequence = ++this->sequence;
  const gateway::fleet_key* key = sending_key(this->context.state.keys, this->context.time.now());
  return key == nullptr ? std::string() : seal_message(*key, encode_word(word));
}

void peer_port::send_to(const Poco::Net::SocketAddress& target, const std::string& bytes) const {
  if (!bytes.empty() && bytes.size() <= longest_message) {
    // A lost message is made good by the next one.
    ::sendto(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, target.addr(),
             target.length());
  }
}

void peer_port::send_to_all(gateway::peer_message word) {
  const std::string bytes = this->seal(std::move(word));
  for (const auto& [name, row] : this->context.state.peers.rows) {
    if (!row.address.empty()) {
      this->send_to(Poco::Net::SocketAddress(row.address), bytes);
    }
  }
}

gateway::peer_message peer_port::make_word(steady_time now) const {
  const gateway::gateway_state& state = this->context.state;
  gateway::peer_message word = own_peer_message(state.endpoints, now);
  word.crashes = recent_crashes(state.suspects, now);
  word.current = is_current(state, now);
  word.configuration = state.services == nullptr ? 0 : state.services->version;
  return word;
}

void peer_port::greet(const Poco::Net::SocketAddress& newcomer, steady_time now) {
  const auto placements = recent_placements(this->context.state.holders, greeting_placements);
  for (std::size_t from = 0; from < placements.size(); from += placements_a_message) {
    const std::size_t to = std::min(placements.size(), from + placements_a_message);
    gateway::peer_message word = this->make_word(now);
    word.placements.assign(placements.begin() + static_cast<std::ptrdiff_t>(from),
                           placements.begin() + static_cast<std::ptrdiff_t>(to));
    this->send_to(newcomer, this->seal(std::move(word)));
  }
}

void peer_port::tick(steady_time now) {
  gateway::gateway_state& state = this->context.state;
  const bool has_news = !state.table_updates.empty();
  if (now < this->next_at && !has_news) {
    return;
  }
  const std::uint32_t known = count_gateways(state.peers, now);
  state.fleet.gateways = state.peers_known ? known : std::max(known, gateway::gateways_assumed);
  const std::chrono::milliseconds interval = gateway::peer_message_interval(state.fleet.gateways);
  this->next_at = now + std::min(interval, gateway::urgent_interval);
  apply_peer_loads(state.peers, state.endpoints, now);
  gateway::peer_message word = this->make_word(now);
  if (now < this->next_full_at && !has_news && !is_urgent(word, this->told)) {
    return;
  }
  this->next_full_at = now + interval;
  this->told = word;
  word.placements = std::exchange(state.holders.unsent_placements, {});
  word.shorter_prefixes = std::exchange(state.holders.unsent_shorter_placements, {});
  word.tables = std::exchange(state.table_updates, {});
  this->send_to_all(std::move(word));
  drop_expired(state.suspects, now);
  if (now >= this->next_sweep_at) {
    this->next_sweep_at = now + sweep_interval;
    drop_unused(state.holders, now);
  }
}

void peer_port::say_leaving() {
  gateway::peer_message word;
  word.leaving = true;
  this->send_to_all(std::move(word));
}

void peer_port::hear(gateway::peer_message word, const Poco::Net::SocketAddress& sender,
                     steady_time now) {
  gateway::gateway_state& state = this->context.state;
  if (word.sender == state.self) {
    return;
  }
  // Dated by the store's clock, so that news counts also if a later message came first.
  for (const gateway::table_update& news : std::exchange(word.tables, {})) {
    this->on_news(news);
  }
  const auto known = state.peers.rows.find(word.sender);
  const std::uint64_t start_before =
      known == state.peers.rows.end() ? 0 : known->second.message.start;
  if (apply_peer_message(state, word, now) && word.start != start_before &&
      sends_initial_placements(state.peers, state.self, this->start, word, now)) {
    this->greet(sender, now);
  }
}

void peer_port::on_ready(bool /*readable*/, bool /*writable*/) {
  static thread_local std::array<char, longest_message> buffer;
  // As many as may have come meanwhile, so that the queue does not overflow.
  constexpr int messages_a_round = 64;
  for (int count = 0; count < messages_a_round; ++count) {
    sockaddr_in from{};
    socklen_t length = sizeof from;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto* address = reinterpret_cast<sockaddr*>(&from);
    const ssize_t size =
        ::recvfrom(this->descriptor, buffer.data(), buffer.size(), 0, address, &length);
    if (size < 0) {
      return;
    }
    const auto message =
        open_message(this->context.state.keys, {buffer.data(), static_cast<std::size_t>(size)});
    if (!message) {
      this->context.metrics.count("chestnuthead_peer_messages_refused_total");
      continue;
    }
    auto word = decode_word(*message);
    if (word) {
      this->hear(std::move(*word), Poco::Net::SocketAddress(address, length),
                 this->context.time.now());
    } else {
      this->context.metrics.count("chestnuthead_peer_messages_unreadable_total");
    }
  }
}

}  // namespace chestnuthead::traffic
