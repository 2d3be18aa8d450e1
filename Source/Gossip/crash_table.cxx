#include "Gossip/crash_table.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace chestnuthead {

namespace {

std::optional<std::uint64_t> parse_fingerprint(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, problem] = std::from_chars(text.data(), end, number);
  if (problem != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

steady_time latest(const std::map<endpoint_id, crash_record>& records) {
  steady_time newest{};
  for (const auto& [endpoint, record] : records) {
    newest = std::max(newest, record.originated_at);
  }
  return newest;
}

/// Evicts the fingerprint whose latest crash report is the oldest.
void evict_oldest_fingerprint(crash_table& table) {
  const auto oldest = std::min_element(
      table.crashes.begin(), table.crashes.end(),
      [](const auto& one, const auto& other) { return latest(one.second) < latest(other.second); });
  table.crashes.erase(oldest);
}

}  // namespace

bool note_crash(crash_table& table, const rumor& update, steady_time now) {
  const std::optional<std::uint64_t> fingerprint = parse_fingerprint(update.subject);
  if (!fingerprint) {
    return false;
  }
  auto& records = table.crashes[*fingerprint];
  const endpoint_id endpoint{update.detail};
  const steady_time originated_at = now - update.age;
  const auto known = records.find(endpoint);
  if (known != records.end()) {
    known->second.originated_at = std::max(known->second.originated_at, originated_at);
    return false;
  }
  // Endpoints beyond the limit affect no decision, as no policy requires that many.
  const bool is_kept = records.size() < crash_endpoint_limit;
  if (is_kept) {
    records[endpoint] = crash_record{update, originated_at};
  }
  if (table.crashes.size() > crash_fingerprint_limit) {
    evict_oldest_fingerprint(table);
  }
  return is_kept;
}

std::uint32_t count_crashed(const crash_table& table, std::uint64_t fingerprint,
                            std::chrono::seconds memory, steady_time now) {
  const auto place = table.crashes.find(fingerprint);
  if (place == table.crashes.end()) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::count_if(
      place->second.begin(), place->second.end(),
      [memory, now](const auto& entry) { return now - entry.second.originated_at <= memory; }));
}

std::vector<rumor> crash_history(const crash_table& table, std::chrono::seconds memory,
                                 steady_time now) {
  std::vector<rumor> history;
  for (const auto& [fingerprint, records] : table.crashes) {
    for (const auto& [endpoint, record] : records) {
      if (now - record.originated_at <= memory) {
        history.push_back(record.update);
        history.back().age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - record.originated_at);
      }
    }
  }
  std::stable_sort(history.begin(), history.end(),
                   [](const rumor& one, const rumor& other) { return one.age < other.age; });
  history.resize(std::min(history.size(), crash_history_limit));
  return history;
}

void expire_crashes(crash_table& table, std::chrono::seconds memory, steady_time now) {
  for (auto place = table.crashes.begin(); place != table.crashes.end();) {
    std::erase_if(place->second, [memory, now](const auto& entry) {
      return now - entry.second.originated_at > memory;
    });
    place = place->second.empty() ? table.crashes.erase(place) : std::next(place);
  }
}

}  // namespace chestnuthead
