#include "Agent/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace chestnuthead {

namespace {

/// One in this many places of the queue is reserved for customers below their
/// share.
constexpr std::uint32_t queue_reserve_divisor = 4;
/// Weight assumed for a customer that may arrive while only one is present.
constexpr double weight_of_newcomer = 1.0;

struct customer_use {
  std::uint32_t own = 0;
  std::uint32_t all = 0;
  bool others_wait = false;
  double other_weights = 0.0;
};

customer_use count_use(const attempt_table& table, const configuration_document& document,
                       const customer_id& customer) {
  customer_use use;
  std::set<customer_id> others;
  for (const auto& [attempt, row] : table.rows) {
    ++use.all;
    if (row.offer.facts.customer == customer) {
      ++use.own;
      continue;
    }
    others.insert(row.offer.facts.customer);
    use.others_wait = use.others_wait || row.phase == attempt_phase::queued;
  }
  for (const customer_id& other : others) {
    use.other_weights += weight_of(document, other);
  }
  return use;
}

std::uint32_t places_of_share(std::uint32_t limit, double weight, double other_weights) {
  const double share = limit * weight / (weight + other_weights);
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(share)));
}

}  // namespace

std::int64_t aged_class(const attempt_row& row, steady_time now) {
  const auto waited = std::chrono::duration_cast<std::chrono::seconds>(now - row.admitted_at);
  return static_cast<std::int64_t>(row.offer.facts.importance) - waited / ageing_step;
}

std::optional<attempt_id> next_to_start(const attempt_table& table, const fair_share& shares,
                                        const std::function<bool(const attempt_row&)>& may_start,
                                        steady_time now) {
  const attempt_row* best = nullptr;
  const auto rank = [&shares, now](const attempt_row& row) {
    return std::make_tuple(aged_class(row, now), virtual_start(shares, row.offer.facts.customer),
                           row.sequence);
  };
  for (const auto& [attempt, row] : table.rows) {
    if (row.phase != attempt_phase::queued || !may_start(row)) {
      continue;
    }
    if (best == nullptr || rank(row) < rank(*best)) {
      best = &row;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->offer.attempt);
}

std::uint32_t queued_ahead(const attempt_table& table, request_class importance) {
  return static_cast<std::uint32_t>(
      std::count_if(table.rows.begin(), table.rows.end(), [importance](const auto& entry) {
        return entry.second.phase == attempt_phase::queued &&
               entry.second.offer.facts.importance <= importance;
      }));
}

double weight_of(const configuration_document& document, const customer_id& customer) {
  const customer_configuration* found = find_customer(document, customer);
  return found == nullptr ? 1.0 : found->weight;
}

bool over_share(const attempt_table& table, const configuration_document& document,
                const customer_id& customer, std::uint32_t limit, std::uint32_t slots) {
  const customer_use use = count_use(table, document, customer);
  const double weight = weight_of(document, customer);
  if (use.others_wait && use.own >= places_of_share(limit, weight, use.other_weights)) {
    return true;
  }
  if (limit <= slots) {
    return false;
  }
  const std::uint32_t kept = (limit - slots) / queue_reserve_divisor;
  const double possible_others = std::max(use.other_weights, weight_of_newcomer);
  return use.all + kept >= limit && use.own >= places_of_share(limit, weight, possible_others);
}

}  // namespace chestnuthead
