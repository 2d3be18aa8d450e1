#include "Traffic/peer_port.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Gateway/endpoint_health.h"
#include "Gateway/readiness.h"
#include "Traffic/byte_link.h"
#include "Traffic/peer_codec.h"

namespace chestnuthead::traffic {

namespace {

/// Longest message: what UDP carries over IPv4.
constexpr std::size_t longest_message = 65'507;
/// Time between two sweeps of what was not used for long.
constexpr std::chrono::seconds sweep_interval{5};

}  // namespace

peer_port::peer_port(traffic_context& parts, node_id own_name, const std::string& address)
    : context(parts),
      self(std::move(own_name)),
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

void peer_port::send_word(gateway::peer_word word) {
  word.sender = this->self;
  word.start = this->start;
  word.sequence = ++this->sequence;
  const std::string bytes = encode_word(word);
  for (const auto& [name, row] : this->context.state.peers.rows) {
    if (row.address.empty() || bytes.size() > longest_message) {
      continue;
    }
    const Poco::Net::SocketAddress target(row.address);
    // A lost message is made good by the next one.
    ::sendto(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, target.addr(),
             target.length());
  }
}

void peer_port::tick(steady_time now) {
  gateway::gateway_state& state = this->context.state;
  if (now < this->next_at) {
    return;
  }
  const std::uint32_t known = count_gateways(state.peers, now);
  state.fleet.gateways = state.peers_known ? known : std::max(known, gateway::gateways_assumed);
  this->next_at = now + gateway::word_interval(state.fleet.gateways);
  gateway::peer_word word = own_word(state.endpoints, now);
  word.crashes = recent_crashes(state.suspects, now);
  word.current = is_current(state, now);
  word.placements = std::exchange(state.holders.news, {});
  this->send_word(std::move(word));
  forget_old(state.suspects, now);
  if (now >= this->next_sweep_at) {
    this->next_sweep_at = now + sweep_interval;
    forget_unused(state.holders, now);
  }
  apply_peer_loads(state.peers, state.endpoints, now);
}

void peer_port::say_leaving() {
  gateway::peer_word word;
  word.leaving = true;
  this->send_word(std::move(word));
}

void peer_port::hear(const gateway::peer_word& word, steady_time now) {
  gateway::gateway_state& state = this->context.state;
  const auto known = state.peers.rows.find(word.sender);
  const std::vector<std::uint64_t> before = known == state.peers.rows.end()
                                                ? std::vector<std::uint64_t>{}
                                                : known->second.word.unreachable;
  if (word.sender == this->self || !hear_peer(state.peers, word, now)) {
    return;
  }
  for (const gateway::crash_word& crash : word.crashes) {
    suspect(state.suspects, crash, now);
  }
  for (const gateway::prefix_word& placement : word.placements) {
    hear_placement(state.holders, placement, now);
  }
  const std::set<std::uint64_t> doubted_before(before.begin(), before.end());
  const std::set<std::uint64_t> doubted(word.unreachable.begin(), word.unreachable.end());
  for (auto& [name, row] : state.endpoints.rows) {
    if (doubted.contains(row.hash) && !doubted_before.contains(row.hash)) {
      note_doubt(row);
    }
  }
}

void peer_port::on_ready(bool /*readable*/, bool /*writable*/) {
  static thread_local std::array<char, longest_message> buffer;
  // As many as may have come meanwhile, so that the queue does not overflow.
  constexpr int messages_a_round = 64;
  for (int count = 0; count < messages_a_round; ++count) {
    const ssize_t size = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      return;
    }
    const auto word = decode_word({buffer.data(), static_cast<std::size_t>(size)});
    if (word) {
      this->hear(*word, this->context.time.now());
    } else {
      this->context.metrics.count("chestnuthead_peer_messages_unreadable_total");
    }
  }
}

}  // namespace chestnuthead::traffic
