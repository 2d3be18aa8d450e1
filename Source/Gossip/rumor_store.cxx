#include "Gossip/rumor_store.h"

#include <algorithm>

#include "Gossip/message_size.h"

namespace chestnuthead {

namespace {

// A peer that passes on what is known here shows that the news has spread.
constexpr std::uint32_t sends_lost_by_duplicate = 2;

rumor_name name_of(const rumor& news) {
  return {news.origin, news.sequence, news.subject};
}

void forget_oldest(rumor_store& store) {
  const auto oldest = store.by_time.begin();
  const rumor_name name = oldest->first.second;
  store.by_time.erase(oldest);
  store.rumors.erase(name);
  store.active.erase(name);
}

void count_duplicate(rumor_store& store, stored_rumor& known, const rumor_name& name) {
  known.sends_left -= std::min(known.sends_left, sends_lost_by_duplicate);
  if (known.sends_left == 0) {
    store.active.erase(name);
  }
}

std::chrono::milliseconds age_at(const stored_rumor& stored, steady_time now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - stored.said_at);
}

}  // namespace

bool store_rumor(rumor_store& store, const rumor& news, std::uint32_t sends, steady_time now) {
  const rumor_name name = name_of(news);
  const auto known = store.rumors.find(name);
  if (known != store.rumors.end()) {
    count_duplicate(store, known->second, name);
    return false;
  }
  if (news.age > rumor_spread_age) {
    return false;
  }
  const steady_time said_at = now - news.age;
  store.rumors[name] = stored_rumor{news, said_at, sends};
  store.by_time[{said_at, name}] = true;
  store.active[name] = true;
  if (store.rumors.size() > rumor_limit) {
    forget_oldest(store);
  }
  return true;
}

std::vector<rumor> take_rumors_to_send(rumor_store& store, std::size_t byte_limit,
                                       steady_time now) {
  std::vector<std::pair<std::uint32_t, rumor_name>> order;
  for (const auto& [name, unused] : store.active) {
    order.emplace_back(store.rumors.at(name).sends_left, name);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& one, const auto& other) { return one.first > other.first; });
  std::vector<rumor> chosen;
  std::size_t bytes = 0;
  for (const auto& [sends_left, name] : order) {
    stored_rumor& stored = store.rumors.at(name);
    bytes += encoded_size(stored.news);
    if (bytes > byte_limit) {
      break;
    }
    chosen.push_back(stored.news);
    chosen.back().age = age_at(stored, now);
    if (--stored.sends_left == 0) {
      store.active.erase(name);
    }
  }
  return chosen;
}

void expire_rumors(rumor_store& store, steady_time now) {
  while (!store.by_time.empty() && now - store.by_time.begin()->first.first > rumor_memory) {
    forget_oldest(store);
  }
  for (auto place = store.active.begin(); place != store.active.end();) {
    const bool old = age_at(store.rumors.at(place->first), now) > rumor_spread_age;
    place = old ? store.active.erase(place) : std::next(place);
  }
}

}  // namespace chestnuthead
