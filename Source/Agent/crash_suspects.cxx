#include "Agent/crash_suspects.h"

namespace chestnuthead {

bool suspected_here(const crash_suspects& suspects, std::uint64_t fingerprint, steady_time now) {
  const auto row = suspects.until.find(fingerprint);
  return row != suspects.until.end() && row->second > now;
}

std::vector<std::uint64_t> choose_suspects(const std::set<std::uint64_t>& running,
                                           const std::set<std::uint64_t>& suspected_before) {
  // Suspects run one at a time, so an earlier suspect is far more likely to be the
  // cause than requests that ran beside it for the first time.
  const auto& chosen = suspected_before.empty() ? running : suspected_before;
  return {chosen.begin(), chosen.end()};
}

void add_suspects(crash_suspects& suspects, const std::vector<std::uint64_t>& chosen,
                  steady_time until) {
  for (const std::uint64_t fingerprint : chosen) {
    suspects.until[fingerprint] = until;
  }
}

void clear_suspect(crash_suspects& suspects, std::uint64_t fingerprint) {
  suspects.until.erase(fingerprint);
}

void expire_suspects(crash_suspects& suspects, steady_time now) {
  std::erase_if(suspects.until, [now](const auto& row) { return row.second <= now; });
}

}  // namespace chestnuthead
