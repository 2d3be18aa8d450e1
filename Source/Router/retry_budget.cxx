#include "Router/retry_budget.h"

#include <algorithm>

namespace chestnuthead::routing {

void earn_retry(retry_budget& budget, double retry_ratio) {
  budget.earned += retry_ratio;
  budget.tokens = std::min(retry_burst, budget.tokens + retry_ratio);
}

bool spend_retry(retry_budget& budget) {
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  ++budget.spent;
  return true;
}

void force_retry(retry_budget& budget) {
  ++budget.spent;
}

bool overdrawn(const retry_budget& budget) {
  // Tolerates one retry, since the sums are rounded.
  return static_cast<double>(budget.spent) > retry_burst + budget.earned + 1.0;
}

}  // namespace chestnuthead::routing
