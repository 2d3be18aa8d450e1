#include "Router/retry_budget.h"

#include <algorithm>

namespace chestnuthead::routing {

void earn_retry(retry_budget& budget, double retry_ratio) {
  budget.tokens = std::min(retry_burst, budget.tokens + retry_ratio);
}

bool spend_retry(retry_budget& budget) {
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  return true;
}

}  // namespace chestnuthead::routing
