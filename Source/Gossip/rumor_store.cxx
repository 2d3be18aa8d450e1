#include "Gossip/rumor_store.h"

#include <algorithm>

#include "Gossip/message_size.h"

namespace chestnuthead {

namespace {

// A duplicate from a peer shows that the rumor has already spread.
constexpr std::uint32_t sends_lost_by_duplicate = 2;

rumor_name name_of(const rumor& update) {
  return {update.origin, update.sequence, update.subject};
}

/// Sets how often a rumor will still be forwarded and keeps `active` in order.
void set_sends_left(rumor_store& store, stored_rumor& stored, const rumor_name& name,
                    std::uint32_t sends) {
  store.active.erase({stored.sends_left, name});
  stored.sends_left = sends;
  if (sends > 0) {
    store.active.insert({sends, name});
  }
}

void evict_oldest_rumor(rumor_store& store) {
  const rumor_name name = store.by_time.begin()->second;
  store.by_time.erase(store.by_time.begin());
  set_sends_left(store, store.rumors.at(name), name, 0);
  store.rumors.erase(name);
}

std::chrono::milliseconds age_at(const stored_rumor& stored, steady_time now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - stored.originated_at);
}

}  // namespace

bool contains_rumor(const rumor_store& store, const rumor& update) {
  return store.rumors.count(name_of(update)) > 0;
}

bool store_rumor(rumor_store& store, const rumor& update, std::uint32_t sends, steady_time now) {
  const rumor_name name = name_of(update);
  const auto known = store.rumors.find(name);
  if (known != store.rumors.end()) {
    stored_rumor& stored = known->second;
    set_sends_left(store, stored, name,
                   stored.sends_left - std::min(stored.sends_left, sends_lost_by_duplicate));
    return false;
  }
  if (update.age > rumor_spread_age) {
    return false;
  }
  const steady_time originated_at = now - update.age;
  stored_rumor& stored = store.rumors[name];
  stored = stored_rumor{update, originated_at, 0};
  store.by_time.insert({originated_at, name});
  set_sends_left(store, stored, name, sends);
  if (store.rumors.size() > rumor_limit) {
    evict_oldest_rumor(store);
  }
  return true;
}

std::vector<rumor> take_rumors_to_send(rumor_store& store, std::size_t byte_limit,
                                       steady_time now) {
  std::vector<rumor> chosen;
  std::vector<rumor_name> names;
  std::size_t bytes = 0;
  for (const auto& [sends_left, name] : store.active) {
    const stored_rumor& stored = store.rumors.at(name);
    bytes += encoded_size(stored.update);
    if (bytes > byte_limit) {
      break;
    }
    names.push_back(name);
    chosen.push_back(stored.update);
    chosen.back().age = age_at(stored, now);
  }
  for (const rumor_name& name : names) {
    stored_rumor& stored = store.rumors.at(name);
    set_sends_left(store, stored, name, stored.sends_left - 1);
  }
  return chosen;
}

void expire_rumors(rumor_store& store, steady_time now) {
  while (!store.by_time.empty() && now - store.by_time.begin()->first > rumor_retention) {
    evict_oldest_rumor(store);
  }
  // Ordered by age, so that the search ends at the first rumor that still spreads.
  for (const auto& [originated_at, name] : store.by_time) {
    if (now - originated_at <= rumor_spread_age) {
      break;
    }
    set_sends_left(store, store.rumors.at(name), name, 0);
  }
}

}  // namespace chestnuthead
