#include "Gateway/prefix_holders.h"

#include <algorithm>
#include <numbers>
#include <tuple>
#include <utility>

#include "Base/exponential_decay.h"

namespace chestnuthead::gateway {

namespace {

/// A shorter prefix is told again after this time of an endpoint.
constexpr auto told_again_after = holder_life / 2;

double recent_uses(const prefix_holder& holder, steady_time now) {
  return decayed(holder.recent_uses, holder.used_at, use_half_life, now);
}

}  // namespace

void hear_placement(prefix_holders& table, const prefix_word& word, steady_time now) {
  if (table.rows.size() >= prefixes_kept && !table.rows.contains(word.prefix)) {
    return;
  }
  std::vector<prefix_holder>& holders = table.rows[word.prefix];
  const auto place = std::find_if(
      holders.begin(), holders.end(),
      [&word](const prefix_holder& holder) { return holder.endpoint == word.endpoint; });
  if (place == holders.end()) {
    holders.push_back({word.endpoint, now, 1.0});
  } else {
    place->recent_uses = recent_uses(*place, now) + 1.0;
    place->used_at = now;
  }
}

void note_placement(prefix_holders& table, const prefix_word& word, steady_time now) {
  hear_placement(table, word, now);
  if (table.news.size() < news_kept) {
    table.news.push_back(word);
  }
}

void note_shorter_prefix(prefix_holders& table, const prefix_word& word, steady_time now) {
  const auto place = table.rows.find(word.prefix);
  const bool told =
      place != table.rows.end() && std::any_of(place->second.begin(), place->second.end(),
                                               [&word, now](const prefix_holder& holder) {
                                                 return holder.endpoint == word.endpoint &&
                                                        now - holder.used_at < told_again_after;
                                               });
  if (told) {
    return;
  }
  hear_placement(table, word, now);
  if (table.shorter_news.size() < news_kept) {
    table.shorter_news.push_back(word);
  }
}

void forget_endpoint(prefix_holders& table, std::uint64_t endpoint) {
  for (auto& [prefix, holders] : table.rows) {
    std::erase_if(holders,
                  [endpoint](const prefix_holder& holder) { return holder.endpoint == endpoint; });
  }
}

std::vector<std::uint64_t> holders_of(const prefix_holders& table, std::uint64_t prefix,
                                      steady_time now) {
  const auto place = table.rows.find(prefix);
  if (place == table.rows.end()) {
    return {};
  }
  std::vector<prefix_holder> recent;
  for (const prefix_holder& holder : place->second) {
    if (now - holder.used_at < holder_life) {
      recent.push_back(holder);
    }
  }
  std::sort(recent.begin(), recent.end(), [](const prefix_holder& one, const prefix_holder& other) {
    return one.used_at > other.used_at;
  });
  std::vector<std::uint64_t> endpoints;
  endpoints.reserve(recent.size());
  for (const prefix_holder& holder : recent) {
    endpoints.push_back(holder.endpoint);
  }
  return endpoints;
}

double use_rate(const prefix_holders& table, std::uint64_t prefix, steady_time now) {
  const auto place = table.rows.find(prefix);
  if (place == table.rows.end()) {
    return 0.0;
  }
  double uses = 0.0;
  for (const prefix_holder& holder : place->second) {
    uses += recent_uses(holder, now);
  }
  const std::chrono::duration<double> half_life = use_half_life;
  return uses * std::numbers::ln2 / half_life.count();
}

std::vector<prefix_word> recent_placements(const prefix_holders& table, std::size_t most) {
  std::vector<std::pair<steady_time, prefix_word>> all;
  for (const auto& [prefix, holders] : table.rows) {
    for (const prefix_holder& holder : holders) {
      all.push_back({holder.used_at, {prefix, holder.endpoint}});
    }
  }
  std::sort(all.begin(), all.end(), [](const auto& one, const auto& other) {
    return std::tie(one.first, one.second) > std::tie(other.first, other.second);
  });
  all.resize(std::min(all.size(), most));
  std::vector<prefix_word> words;
  words.reserve(all.size());
  for (const auto& [used_at, word] : all) {
    words.push_back(word);
  }
  return words;
}

void forget_unused(prefix_holders& table, steady_time now) {
  for (auto& [prefix, holders] : table.rows) {
    std::erase_if(holders, [now](const prefix_holder& holder) {
      return now - holder.used_at >= holder_life;
    });
  }
  std::erase_if(table.rows, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace chestnuthead::gateway
