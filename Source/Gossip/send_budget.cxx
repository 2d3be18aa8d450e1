#include "Gossip/send_budget.h"

#include <algorithm>
#include <chrono>

namespace chestnuthead {

send_budget make_send_budget(double bytes_per_second, double burst_bytes) {
  return {bytes_per_second, burst_bytes, burst_bytes, steady_time{}};
}

bool may_send(send_budget& budget, steady_time now) {
  const std::chrono::duration<double> passed = now - budget.filled_at;
  budget.filled_at = now;
  budget.level =
      std::min(budget.burst_bytes, budget.level + passed.count() * budget.bytes_per_second);
  return budget.level > 0.0;
}

void count_sent(send_budget& budget, std::size_t bytes) {
  budget.level -= static_cast<double>(bytes);
}

}  // namespace chestnuthead
