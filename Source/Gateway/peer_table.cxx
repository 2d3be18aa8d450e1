#include "Gateway/peer_table.h"

#include <algorithm>
#include <unordered_map>

#include "Base/hashing.h"

namespace chestnuthead::gateway {

namespace {

/// Shortest time between two messages to a peer.
constexpr std::chrono::milliseconds shortest_interval{200};
/// What each further gateway adds to the interval, so that one gateway hears
/// about 65 messages a second at most.
constexpr std::chrono::milliseconds interval_a_gateway{15};
/// Shortest life of news.
constexpr std::chrono::milliseconds shortest_life{1'500};

/// Gateways that greet a newcomer: messages may be lost, and each gateway has
/// heard most of the placements.
constexpr std::size_t greeters = 2;
/// A gateway that started less than this before the newcomer knows little itself, as
/// when many were killed together.
constexpr std::uint64_t greeter_head_start_ms = 3'000;

bool is_older(std::uint64_t start, const peer_word& newcomer) {
  return start + greeter_head_start_ms < newcomer.start;
}

bool is_newer(const peer_word& word, const peer_word& known) {
  return word.start > known.start || (word.start == known.start && word.sequence > known.sequence);
}

bool is_gone(const peer& row, steady_time now) {
  const bool named_lately = row.listed && now - row.listed_at < peer_life;
  const bool heard_lately = now - row.heard_at < peer_life && !row.word.leaving;
  return !named_lately && !heard_lately;
}

/// True if this gateway is among the first `places` in the key's rendezvous order, of
/// itself and the peers that were heard lately and may take a place.
template <class May>
bool is_among_first(std::size_t places, const peer_table& table, const node_id& self,
                    std::uint64_t key, steady_time now, May may) {
  const std::uint64_t own = rendezvous_weight(key, hash_text(self.value));
  const std::chrono::milliseconds life = word_life(table);
  const auto before = std::count_if(table.rows.begin(), table.rows.end(), [&](const auto& entry) {
    const auto& [name, row] = entry;
    return now - row.heard_at < life && may(row) &&
           rendezvous_weight(key, hash_text(name.value)) > own;
  });
  return static_cast<std::size_t>(before) < places;
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

bool hear_peer(peer_table& table, const peer_word& word, steady_time now) {
  peer& row = table.rows[word.sender];
  if (!is_newer(word, row.word)) {
    return false;
  }
  row.word = word;
  row.heard_at = now;
  return true;
}

std::uint32_t count_gateways(peer_table& table, steady_time now) {
  std::erase_if(table.rows, [now](const auto& entry) { return is_gone(entry.second, now); });
  return static_cast<std::uint32_t>(table.rows.size()) + 1;
}

std::uint64_t newest_configuration(const peer_table& table, steady_time now) {
  const std::chrono::milliseconds life = word_life(table);
  std::uint64_t newest = 0;
  for (const auto& [name, row] : table.rows) {
    if (now - row.heard_at < life) {
      newest = std::max(newest, row.word.configuration);
    }
  }
  return newest;
}

void apply_peer_loads(const peer_table& table, endpoint_table& endpoints, steady_time now) {
  std::unordered_map<std::uint64_t, double> totals;
  const std::chrono::milliseconds life = word_life(table);
  for (const auto& [name, row] : table.rows) {
    if (now - row.heard_at < life) {
      for (const peer_load& load : row.word.loads) {
        totals[load.endpoint] += load.in_flight;
      }
    }
  }
  for (auto& [name, row] : endpoints.rows) {
    const auto place = totals.find(row.hash);
    row.peers_in_flight = place == totals.end() ? 0.0 : place->second;
  }
}

peer_word own_word(const endpoint_table& endpoints, steady_time now) {
  peer_word word;
  word.leaving_endpoints = told_leaving(endpoints, now);
  for (const auto& [name, row] : endpoints.rows) {
    if (row.in_flight > 0) {
      word.loads.push_back({row.hash, row.in_flight});
    }
    if (row.listed && row.record.lost) {
      word.unreachable.push_back(row.hash);
    }
  }
  return word;
}

bool greets(const peer_table& table, const node_id& self, std::uint64_t own_start,
            const peer_word& newcomer, steady_time now) {
  if (!is_older(own_start, newcomer)) {
    return false;
  }
  const std::uint64_t key = hash_text(newcomer.sender.value);
  return is_among_first(greeters, table, self, key, now, [&newcomer](const peer& row) {
    return is_older(row.word.start, newcomer) && row.word.sender != newcomer.sender;
  });
}

bool checks_for_all(const peer_table& table, const node_id& self, std::uint64_t endpoint,
                    steady_time now) {
  return is_among_first(checkers, table, self, endpoint, now, [](const peer&) { return true; });
}

std::chrono::milliseconds word_interval(std::uint32_t gateways) {
  return std::max<std::chrono::milliseconds>(interval_a_gateway * gateways, shortest_interval);
}

std::chrono::milliseconds word_life(const peer_table& table) {
  const auto gateways = static_cast<std::uint32_t>(table.rows.size()) + 1;
  constexpr int messages = 2;
  constexpr std::chrono::milliseconds way{100};
  return std::max(shortest_life, messages * word_interval(gateways) + way);
}

bool is_urgent(const peer_word& word, const peer_word& before) {
  const auto is_new = [](const auto& list, const auto& known) {
    return std::any_of(list.begin(), list.end(), [&known](const auto& entry) {
      return std::find(known.begin(), known.end(), entry) == known.end();
    });
  };
  return is_new(word.unreachable, before.unreachable) || is_new(word.crashes, before.crashes) ||
         is_new(word.leaving_endpoints, before.leaving_endpoints);
}

}  // namespace chestnuthead::gateway
