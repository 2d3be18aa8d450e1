#include "Gateway/crash_suspects.h"

#include <algorithm>

#include "Base/hashing.h"

namespace chestnuthead::gateway {

std::uint64_t fingerprint_of(const caller_request& request, std::string_view body) {
  std::uint64_t hash = hash_text(request.method);
  hash = hash_text(request.host, hash);
  hash = hash_text(request.target, hash);
  hash = hash_text(request.key, hash);
  for (const prompt_part& part : request.prompt) {
    hash = rendezvous_weight(hash, part.id);
  }
  return hash_text(body, hash);
}

void record_crash(crash_suspects& table, const crash_report& report, steady_time now) {
  if (table.rows.size() >= max_suspects && !table.rows.contains(report.request)) {
    return;
  }
  table.rows[report.request].endpoints.try_emplace(report.endpoint, now);
}

bool is_refused(const crash_suspects& table, std::uint64_t fingerprint, steady_time now) {
  const auto place = table.rows.find(fingerprint);
  if (place == table.rows.end()) {
    return false;
  }
  const auto& endpoints = place->second.endpoints;
  const auto recent = std::count_if(endpoints.begin(), endpoints.end(), [now](const auto& entry) {
    return now - entry.second < suspicion_lifetime;
  });
  return static_cast<std::size_t>(recent) >= crashes_allowed;
}

std::vector<crash_report> recent_crashes(const crash_suspects& table, steady_time now) {
  std::vector<crash_report> reports;
  for (const auto& [request, row] : table.rows) {
    for (const auto& [endpoint, when] : row.endpoints) {
      if (now - when < suspicion_report_time) {
        reports.push_back({request, endpoint});
      }
    }
  }
  return reports;
}

void drop_expired(crash_suspects& table, steady_time now) {
  for (auto& [request, row] : table.rows) {
    std::erase_if(row.endpoints,
                  [now](const auto& entry) { return now - entry.second >= suspicion_lifetime; });
  }
  std::erase_if(table.rows, [](const auto& entry) { return entry.second.endpoints.empty(); });
}

}  // namespace chestnuthead::gateway
