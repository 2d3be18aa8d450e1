#include "Agent/crash_suspects.h"

namespace chestnuthead {

bool suspected_here(const crash_suspects& suspects, std::uint64_t fingerprint, steady_time now) {
  const auto row = suspects.until.find(fingerprint);
  return row != suspects.until.end() && row->second > now;
}

std::vector<std::uint64_t> whom_to_accuse(const std::set<std::uint64_t>& running,
                                          const std::set<std::uint64_t>& suspected_before) {
  // Suspects are run one at a time, so one that ran now is far more likely to
  // be the cause than what ran beside it for the first time.
  const auto& accused = suspected_before.empty() ? running : suspected_before;
  return {accused.begin(), accused.end()};
}

void note_accused(crash_suspects& suspects, const std::vector<std::uint64_t>& accused,
                  steady_time until) {
  for (const std::uint64_t fingerprint : accused) {
    suspects.until[fingerprint] = until;
  }
}

void clear_suspect(crash_suspects& suspects, std::uint64_t fingerprint) {
  suspects.until.erase(fingerprint);
}

void forget_old_suspects(crash_suspects& suspects, steady_time now) {
  std::erase_if(suspects.until, [now](const auto& row) { return row.second <= now; });
}

}  // namespace chestnuthead
