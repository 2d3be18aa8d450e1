#include "Agent/fair_share.h"

#include <algorithm>

namespace chestnuthead {

double cost_of(const request_facts& facts) {
  const double tokens = static_cast<double>(facts.prompt_tokens) + facts.answer_tokens;
  return 1.0 + tokens / tokens_of_one_request;
}

double virtual_start(const fair_share& shares, const customer_id& customer) {
  const auto row = shares.served_until.find(customer);
  if (row == shares.served_until.end()) {
    return shares.virtual_now;
  }
  return std::max(row->second, shares.virtual_now);
}

void charge(fair_share& shares, const customer_id& customer, double weight, double cost) {
  const double start = virtual_start(shares, customer);
  shares.virtual_now = start;
  shares.served_until[customer] = start + cost / weight;
  // A customer whose finish time is not in the virtual future needs no row.
  std::erase_if(shares.served_until,
                [&shares](const auto& row) { return row.second <= shares.virtual_now; });
}

}  // namespace chestnuthead
