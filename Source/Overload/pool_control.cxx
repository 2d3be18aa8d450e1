#include "Overload/pool_control.h"

namespace chestnuthead::overload {

bool is_controlled(const control_state& state, const pool_id& pool) {
  return state.scope == control_scope::all_pools ||
         (state.scope == control_scope::reporting_pools && state.reporting.contains(pool));
}

const pool_control* find_control(const control_state& state, const pool_id& pool) {
  const auto place = state.pools.find(pool);
  return place != state.pools.end() && is_controlled(state, pool) ? &place->second : nullptr;
}

pool_control* obtain_control(control_state& state, const pool_id& pool, bool is_engine) {
  if (!is_controlled(state, pool)) {
    return nullptr;
  }
  const auto [place, is_new] = state.pools.try_emplace(pool);
  if (is_new) {
    place->second.capacity.ratio = initial_ratio(is_engine);
  }
  return &place->second;
}

bool is_short(const control_state& state, const pool_id& pool, steady_time now) {
  const pool_control* control = find_control(state, pool);
  return control != nullptr && is_short(control->capacity, now);
}

void drop_outdated(control_state& state, steady_time now) {
  for (auto& [pool, control] : state.pools) {
    drop_unused_limit(control.capacity, now);
    drop_old_counts(control.senders);
  }
}

}  // namespace chestnuthead::overload
