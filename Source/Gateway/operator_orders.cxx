#include "Gateway/operator_orders.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "Gateway/peer_table.h"

namespace chestnuthead::gateway {

namespace {

void apply_configuration(gateway_state& state, service_map map, orders_effect& effect) {
  state.stored_configuration = map.version;
  if (state.services != nullptr && map.version <= state.services->version) {
    effect.configuration_outdated = map.version < state.services->version;
    return;
  }
  state.services = std::make_shared<const service_map>(std::move(map));
  update_split_pools(state.streams, *state.services);
  effect.configuration_taken = true;
}

/// Marks the domain's endpoints as cold, as they may have cooled down while they were idle.
void mark_domain_cold(gateway_state& state, const failure_domain_id& domain, steady_time now) {
  for (auto& [name, row] : state.endpoints.rows) {
    const pool* found =
        state.services == nullptr ? nullptr : find_pool(*state.services, row.listing.pool);
    if (row.listing.failure_domain == domain && found != nullptr) {
      row.cold_until = std::max(row.cold_until, now + found->warm_up);
    }
  }
}

void apply_domains(gateway_state& state, const store_orders& change, orders_effect& effect,
                   steady_time now) {
  std::set<failure_domain_id> back = change.domains_back;
  if (change.whole && is_settled(state.eras, change.as_of)) {
    std::set_difference(state.fleet.domains_out.begin(), state.fleet.domains_out.end(),
                        change.domains_out.begin(), change.domains_out.end(),
                        std::inserter(back, back.end()));
  }
  for (const failure_domain_id& domain : change.domains_out) {
    if (state.fleet.domains_out.insert(domain).second) {
      effect.domains_out.push_back(domain);
    }
  }
  for (const failure_domain_id& domain : back) {
    if (state.fleet.domains_out.erase(domain) > 0) {
      mark_domain_cold(state, domain, now);
      effect.domains_back.push_back(domain);
    }
  }
}

void apply_rollouts(gateway_state& state, const store_orders& change, orders_effect& effect,
                    steady_time now) {
  // The orders were not among those read before. At the first read it is not known when they
  // were given; the stored record tells.
  const steady_time read_after =
      state.orders_as_of == steady_time{} ? change.as_of : state.orders_as_of;
  std::set<pool_id> ordered;
  for (const rollout_order& order : change.rollouts) {
    ordered.insert(order.pool);
    if (apply_rollout_order(state.rollouts, order, read_after, now)) {
      effect.rollouts.push_back(order);
    }
  }
  for (const pool_id& removed : change.rollouts_removed) {
    remove_rollout_order(state.rollouts, removed);
  }
  if (change.whole && is_settled(state.eras, change.as_of)) {
    for (auto& [pool, row] : state.rollouts.rows) {
      if (!ordered.contains(pool)) {
        row.order.reset();
      }
    }
  }
}

bool has_newest_configuration(const gateway_state& state, steady_time now) {
  const std::uint64_t own = state.services == nullptr ? 0 : state.services->version;
  return state.stored_configuration >= own && newest_configuration(state.peers, now) <= own;
}

}  // namespace

orders_effect apply_orders(gateway_state& state, store_orders change, steady_time now) {
  orders_effect effect;
  if (change.configuration) {
    apply_configuration(state, std::move(*change.configuration), effect);
  }
  apply_domains(state, change, effect, now);
  apply_rollouts(state, change, effect, now);
  state.orders_as_of = std::max(state.orders_as_of, change.as_of);
  accept_versions(state.rollouts, state.orders_as_of);
  if (is_settled(state.eras, change.as_of) && has_newest_configuration(state, now)) {
    state.confirmed_at = std::max(state.confirmed_at, change.as_of);
  }
  return effect;
}

}  // namespace chestnuthead::gateway
