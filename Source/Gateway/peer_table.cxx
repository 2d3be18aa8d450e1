#include "Gateway/peer_table.h"

#include <algorithm>
#include <unordered_map>

#include "Base/hashing.h"
#include "Gateway/incarnation_proof.h"

namespace chestnuthead::gateway {

namespace {

/// Shortest time between two messages to a peer.
constexpr std::chrono::milliseconds min_message_interval{200};
/// Part of the interval per gateway, so that one gateway receives at most about 65 messages
/// per second.
constexpr std::chrono::milliseconds interval_per_gateway{15};
/// Lower bound of the age at which a message expires.
constexpr std::chrono::milliseconds min_message_lifetime{1'500};

/// Gateways that send placements to a newcomer. One would do, as each has received most of
/// the placements, but messages may be lost.
constexpr std::size_t initial_placement_senders = 2;
/// A gateway that started less than this before the newcomer has few placements itself, for
/// example after many gateways were killed at once.
constexpr std::uint64_t min_head_start_ms = 3'000;

bool is_older(std::uint64_t start, const peer_message& newcomer) {
  return start + min_head_start_ms < newcomer.start;
}

bool is_newer(const peer_message& message, const peer_message& known) {
  return message.start > known.start ||
         (message.start == known.start && message.sequence > known.sequence);
}

bool is_gone(const peer_table& table, const peer& row, std::chrono::milliseconds entry_lifetime,
             steady_time now) {
  const steady_time list_as_of = table.list_confirmed_at.value_or(now);
  const steady_time listed_at = std::max(row.listed_at, table.list_confirmed_since);
  const bool recently_listed = row.listed && list_as_of - listed_at < entry_lifetime;
  const bool recently_received = now - row.received_at < peer_lifetime && !row.message.leaving;
  return !recently_listed && !recently_received;
}

/// Number of peers with recent messages for which `may` is true that come before this gateway
/// in the key's rendezvous order.
template <class May>
std::size_t count_before(const peer_table& table, const node_id& self, std::uint64_t key,
                         steady_time now, May may) {
  const std::uint64_t own = rendezvous_weight(key, hash_text(self.value));
  const std::chrono::milliseconds lifetime = peer_message_lifetime(table);
  const auto before = std::count_if(table.rows.begin(), table.rows.end(), [&](const auto& entry) {
    const auto& [name, row] = entry;
    return now - row.received_at < lifetime && may(row) &&
           rendezvous_weight(key, hash_text(name.value)) > own;
  });
  return static_cast<std::size_t>(before);
}

}  // namespace

void list_peer(peer_table& table, const node_id& name, const std::string& address,
               steady_time now) {
  peer& row = table.rows[name];
  row.address = address;
  row.listed = true;
  row.listed_at = now;
}

void unlist_peer(peer_table& table, const node_id& name) {
  const auto place = table.rows.find(name);
  if (place != table.rows.end()) {
    place->second.listed = false;
  }
}

bool record_peer_message(peer_table& table, const peer_message& message, steady_time now) {
  peer& row = table.rows[message.sender];
  if (!is_newer(message, row.message)) {
    return false;
  }
  row.message = message;
  row.received_at = now;
  return true;
}

std::chrono::milliseconds entry_renewal_interval(std::uint32_t gateways) {
  constexpr std::chrono::milliseconds shortest{12'000};
  constexpr std::uint32_t gateways_at_shortest = 64;
  return shortest * std::max(1U, gateways / gateways_at_shortest);
}

void note_list_confirmed(peer_table& table, steady_time now) {
  // Gateways confirm the list every 4 s at least while the store answers.
  constexpr std::chrono::seconds interruption{8};
  if (!table.list_confirmed_at || now - *table.list_confirmed_at >= interruption) {
    table.list_confirmed_since = now;
  }
  table.list_confirmed_at = now;
}

std::uint32_t count_gateways(peer_table& table, steady_time now) {
  const auto gateways = static_cast<std::uint32_t>(table.rows.size()) + 1;
  const std::chrono::milliseconds entry_lifetime = std::max<std::chrono::milliseconds>(
      peer_lifetime, entry_renewal_interval(gateways) + entry_renewal_margin);
  std::erase_if(table.rows, [&](const auto& entry) {
    return is_gone(table, entry.second, entry_lifetime, now);
  });
  return static_cast<std::uint32_t>(table.rows.size()) + 1;
}

std::uint64_t newest_configuration(const peer_table& table, steady_time now) {
  const std::chrono::milliseconds lifetime = peer_message_lifetime(table);
  std::uint64_t newest = 0;
  for (const auto& [name, row] : table.rows) {
    if (now - row.received_at < lifetime) {
      newest = std::max(newest, row.message.configuration);
    }
  }
  return newest;
}

void apply_peer_loads(const peer_table& table, endpoint_table& endpoints, steady_time now) {
  std::unordered_map<std::uint64_t, double> totals;
  const std::chrono::milliseconds lifetime = peer_message_lifetime(table);
  for (const auto& [name, row] : table.rows) {
    if (now - row.received_at < lifetime) {
      for (const peer_load& load : row.message.loads) {
        totals[load.endpoint] += load.in_flight;
      }
    }
  }
  for (auto& [name, row] : endpoints.rows) {
    const auto place = totals.find(row.hash);
    row.peers_in_flight = place == totals.end() ? 0.0 : place->second;
  }
}

peer_message own_peer_message(const endpoint_table& endpoints, steady_time now) {
  peer_message message;
  message.leaving_endpoints = leaving_reports(endpoints, now);
  message.checks = check_reports(endpoints, now);
  message.unvouched.emplace();
  for (const auto& [name, row] : endpoints.rows) {
    if (row.in_flight > 0) {
      message.loads.push_back({row.hash, row.in_flight});
      if (!can_vouch_for(row, now)) {
        message.unvouched->push_back(row.hash);
      }
    }
    if (row.listed && row.record.lost) {
      message.unreachable.push_back(row.hash);
    }
  }
  return message;
}

bool sends_initial_placements(const peer_table& table, const node_id& self, std::uint64_t own_start,
                              const peer_message& newcomer, steady_time now) {
  if (!is_older(own_start, newcomer)) {
    return false;
  }
  const std::uint64_t key = hash_text(newcomer.sender.value);
  const std::size_t before = count_before(table, self, key, now, [&newcomer](const peer& row) {
    return is_older(row.message.start, newcomer) && row.message.sender != newcomer.sender;
  });
  return before < initial_placement_senders;
}

bool is_designated_checker(const peer_table& table, const node_id& self, std::uint64_t endpoint,
                           steady_time now) {
  return rank_among_peers(table, self, endpoint, now) < designated_checkers;
}

std::uint32_t rank_among_peers(const peer_table& table, const node_id& self, std::uint64_t key,
                               steady_time now) {
  const auto any = [](const peer&) { return true; };
  return static_cast<std::uint32_t>(count_before(table, self, key, now, any));
}

std::chrono::milliseconds peer_message_interval(std::uint32_t gateways) {
  return std::max<std::chrono::milliseconds>(interval_per_gateway * gateways, min_message_interval);
}

std::chrono::milliseconds peer_message_lifetime(const peer_table& table) {
  const auto gateways = static_cast<std::uint32_t>(table.rows.size()) + 1;
  constexpr int messages = 2;
  constexpr std::chrono::milliseconds network_delay{100};
  return std::max(min_message_lifetime, messages * peer_message_interval(gateways) + network_delay);
}

bool is_urgent(const peer_message& message, const peer_message& before) {
  const auto is_new = [](const auto& list, const auto& known) {
    return std::any_of(list.begin(), list.end(), [&known](const auto& entry) {
      return std::find(known.begin(), known.end(), entry) == known.end();
    });
  };
  const auto count_bad = [](const std::vector<rollout_report>& reports) {
    return std::count_if(reports.begin(), reports.end(),
                         [](const rollout_report& report) { return report.found_bad; });
  };
  const auto is_known_check = [&before](const check_report& report) {
    return std::any_of(
        before.checks.begin(), before.checks.end(),
        [&report](const check_report& known) { return known.endpoint == report.endpoint; });
  };
  const bool has_new_checks =
      !std::all_of(message.checks.begin(), message.checks.end(), is_known_check);
  return has_new_checks || count_bad(message.rollouts) > count_bad(before.rollouts) ||
         is_new(message.unreachable, before.unreachable) ||
         is_new(message.crashes, before.crashes) || has_new_reports(message.parts, before.parts) ||
         is_new(message.leaving_endpoints, before.leaving_endpoints);
}

}  // namespace chestnuthead::gateway
