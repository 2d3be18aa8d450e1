#include "Gossip/exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Gossip/message_size.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

/// Base interval between queries to a peer that holds a newer configuration.
constexpr milliseconds query_pause{400};
/// Queries for patches alone before the whole document is requested.
constexpr std::uint32_t queries_before_whole_document = 2;

std::uint64_t version_of(const control_plane& plane) {
  return plane.configuration.document.version;
}

bool shares_pool(const control_plane& plane, const vm_entry& peer) {
  return plane.self.role == vm_role::agent && peer.role == vm_role::agent &&
         peer.pool == plane.self.pool;
}

gossip_message begin_message(const control_plane& plane) {
  gossip_message message;
  message.from = plane.self.node;
  message.configuration_version = version_of(plane);
  return message;
}

void add_rumors_and_loads(control_plane& plane, const vm_entry& peer, gossip_message& message,
                          steady_time now) {
  message.rumors = take_rumors_to_send(plane.rumors, rumor_bytes_per_exchange, now);
  if (shares_pool(plane, peer)) {
    message.loads = choose_loads(plane.loads, now);
  }
}

void send(control_plane& plane, const vm_entry& to, gossip_message message, send_budget& budget,
          control_output& output) {
  const std::size_t bytes = encoded_size(message);
  count_sent(budget, bytes);
  ++plane.counters.messages_sent;
  plane.counters.bytes_sent += bytes;
  plane.counters.load_bytes_sent += encoded_size(message.loads);
  plane.counters.rumor_bytes_sent += encoded_size(message.rumors);
  plane.counters.change_bytes_sent += encoded_size(message.changes);
  output.messages.push_back({to.node, to.address, std::move(message)});
}

/// The newest changes that fit into one push.
std::vector<configuration_change> changes_to_push(const configuration_history& history) {
  std::vector<configuration_change> changes;
  std::size_t bytes = 0;
  for (auto change = history.recent.rbegin(); change != history.recent.rend(); ++change) {
    bytes += change->text.size();
    if (changes.size() == changes_per_push || bytes > change_bytes_per_push) {
      break;
    }
    changes.insert(changes.begin(), *change);
  }
  const bool reaches_current =
      !changes.empty() && changes.back().version == history.document.version;
  if (reaches_current) {
    return changes;
  }
  if (history.document.version > 0 && history.text.size() <= change_bytes_per_push) {
    return {whole_change(history)};
  }
  return {};
}

void push_updates(control_plane& plane, control_output& output, steady_time now) {
  if (plane.pushes_left == 0 || !may_send(plane.push_budget, now)) {
    return;
  }
  --plane.pushes_left;
  const std::size_t fanout = plane.configuration.document.policy.gossip_fanout;
  const auto peers =
      pick_peers(plane.picker, plane.members, plane.self, fanout, *plane.random, now);
  for (const member* peer : peers) {
    gossip_message message = begin_message(plane);
    message.rumors = take_rumors_to_send(plane.rumors, rumor_bytes_per_push, now);
    message.changes = changes_to_push(plane.configuration);
    send(plane, peer->vm, std::move(message), plane.push_budget, output);
  }
}

void query_newer_peer(control_plane& plane, control_output& output, steady_time now) {
  if (!plane.newer || now < plane.newer->next_query || !may_send(plane.exchange_budget, now)) {
    return;
  }
  const member* peer = find_member(plane.members, plane.newer->peer);
  if (peer == nullptr || plane.newer->version <= version_of(plane)) {
    plane.newer.reset();
    return;
  }
  gossip_message message = begin_message(plane);
  message.wants_reply = true;
  message.wants_all = plane.newer->queries >= queries_before_whole_document;
  ++plane.newer->queries;
  plane.newer->next_query = now + query_pause * std::min(plane.newer->queries, 8U);
  send(plane, peer->vm, std::move(message), plane.exchange_budget, output);
}

void exchange_with_one(control_plane& plane, control_output& output, steady_time now) {
  if (now < plane.next_gossip) {
    return;
  }
  const milliseconds interval = plane.configuration.document.policy.gossip_interval;
  const auto jitter = static_cast<std::int64_t>(
      next_below(*plane.random, static_cast<std::uint64_t>(interval.count() / 2 + 1)));
  plane.next_gossip = now + interval * 3 / 4 + milliseconds{jitter};
  if (!may_send(plane.exchange_budget, now)) {
    return;
  }
  const member* peer = pick_peer(plane.picker, plane.members, plane.self, *plane.random, now);
  if (peer == nullptr) {
    return;
  }
  gossip_message message = begin_message(plane);
  message.wants_reply = true;
  if (plane.history_requests_left > 0 && version_of(plane) > 0) {
    --plane.history_requests_left;
    message.wants_all = true;
  }
  add_rumors_and_loads(plane, peer->vm, message, now);
  send(plane, peer->vm, std::move(message), plane.exchange_budget, output);
}

/// The changes that update a peer from its older version to the active one.
std::vector<configuration_change> changes_for(control_plane& plane, const gossip_message& message,
                                              steady_time now) {
  if (message.configuration_version >= version_of(plane)) {
    return {};
  }
  std::vector<configuration_change> changes =
      changes_since(plane.configuration, message.configuration_version);
  const bool sends_whole = changes.empty() && message.wants_all;
  if (sends_whole && may_send(plane.bulk_budget, now)) {
    changes.push_back(whole_change(plane.configuration));
  }
  return changes;
}

}  // namespace

void schedule_push(control_plane& plane) {
  plane.pushes_left = pushes_per_update;
}

void send_due_messages(control_plane& plane, control_output& output, steady_time now) {
  push_updates(plane, output, now);
  query_newer_peer(plane, output, now);
  exchange_with_one(plane, output, now);
}

void answer_peer(control_plane& plane, const gossip_message& message, control_output& output,
                 steady_time now) {
  const member* peer = find_member(plane.members, message.from);
  if (peer == nullptr || !may_send(plane.exchange_budget, now)) {
    return;
  }
  gossip_message answer = begin_message(plane);
  answer.changes = changes_for(plane, message, now);
  if (!message.wants_reply && answer.changes.empty()) {
    return;
  }
  if (message.wants_reply) {
    add_rumors_and_loads(plane, peer->vm, answer, now);
  }
  if (message.wants_all) {
    const auto memory = plane.configuration.document.policy.crash_memory;
    const std::vector<rumor> history = crash_history(plane.crashes, memory, now);
    answer.rumors.insert(answer.rumors.end(), history.begin(), history.end());
  }
  const bool is_bulk = encoded_size(answer.changes) > change_bytes_per_push;
  send(plane, peer->vm, std::move(answer), is_bulk ? plane.bulk_budget : plane.exchange_budget,
       output);
}

void note_newer_peer(control_plane& plane, const node_id& peer, std::uint64_t version) {
  // A node without a configuration waits for its own read of the table.
  if (version_of(plane) == 0 || version <= version_of(plane)) {
    return;
  }
  if (!plane.newer) {
    plane.newer = newer_peer{peer, version, 0, steady_time{}};
    return;
  }
  // The next query goes to the peer that was heard from last, as it is the most
  // likely to be reachable.
  plane.newer->peer = peer;
  plane.newer->version = std::max(plane.newer->version, version);
}

}  // namespace chestnuthead
