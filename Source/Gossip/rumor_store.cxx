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

/// Sets how often a rumor is still passed on, and keeps the order of sending.
void set_sends_left(rumor_store& store, stored_rumor& stored, const rumor_name& name,
                    std::uint32_t sends) {
  store.active.erase({stored.sends_left, name});
  stored.sends_left = sends;
  if (sends > 0) {
    store.active.insert({sends, name});
  }
}

void forget_oldest(rumor_store& store) {
  const rumor_name name = store.by_time.begin()->second;
  store.by_time.erase(store.by_time.begin());
  set_sends_left(store, store.rumors.at(name), name, 0);
  store.rumors.erase(name);
}

std::chrono::milliseconds age_at(const stored_rumor& stored, steady_time now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - stored.said_at);
}

}  // namespace

bool knows_rumor(const rumor_store& store, const rumor& news) {
  return store.rumors.count(name_of(news)) > 0;
}

bool store_rumor(rumor_store& store, const rumor& news, std::uint32_t sends, steady_time now) {
  const rumor_name name = name_of(news);
  const auto known = store.rumors.find(name);
  if (known != store.rumors.end()) {
    stored_rumor& stored = known->second;
    set_sends_left(store, stored, name,
                   stored.sends_left - std::min(stored.sends_left, sends_lost_by_duplicate));
    return false;
  }
  if (news.age > rumor_spread_age) {
    return false;
  }
  const steady_time said_at = now - news.age;
  stored_rumor& stored = store.rumors[name];
  stored = stored_rumor{news, said_at, 0};
  store.by_time.insert({said_at, name});
  set_sends_left(store, stored, name, sends);
  if (store.rumors.size() > rumor_limit) {
    forget_oldest(store);
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
    bytes += encoded_size(stored.news);
    if (bytes > byte_limit) {
      break;
    }
    names.push_back(name);
    chosen.push_back(stored.news);
    chosen.back().age = age_at(stored, now);
  }
  for (const rumor_name& name : names) {
    stored_rumor& stored = store.rumors.at(name);
    set_sends_left(store, stored, name, stored.sends_left - 1);
  }
  return chosen;
}

void expire_rumors(rumor_store& store, steady_time now) {
  while (!store.by_time.empty() && now - store.by_time.begin()->first > rumor_memory) {
    forget_oldest(store);
  }
  // Oldest first, so that the first young one ends the search.
  for (const auto& [said_at, name] : store.by_time) {
    if (now - said_at <= rumor_spread_age) {
      break;
    }
    set_sends_left(store, store.rumors.at(name), name, 0);
  }
}

}  // namespace chestnuthead
