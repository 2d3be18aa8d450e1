#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Overload/demand.h"
#include "Overload/pool_capacity.h"
#include "Overload/wait_queue.h"

/// The state of overload control of one gateway, by pool.
namespace chestnuthead::overload {

/// The pools that are under overload control.
enum class control_scope : std::uint8_t {
  none,
  /// Pools whose endpoints report the speed of their VMs.
  reporting_pools,
  all_pools,
};

struct pool_control {
  pool_capacity capacity;
  demand senders;
  wait_queue queue;
};

struct control_state {
  control_scope scope = control_scope::none;
  std::set<pool_id> reporting;
  std::map<pool_id, pool_control> pools;
  /// The ticket of the next request that waits.
  std::uint64_t next_ticket = 1;
  /// From when on an unreadable load report is logged again.
  steady_time next_report_log_at{};
};

/// True if the pool is under overload control.
bool is_controlled(const control_state& state, const pool_id& pool);

/// The state of a pool under overload control, or nullptr. The other pools are served as without
/// overload control.
const pool_control* find_control(const control_state& state, const pool_id& pool);

/// Does the same, and begins to control a pool that is to be controlled.
pool_control* obtain_control(control_state& state, const pool_id& pool, bool is_engine);

/// True while the pool is under control and short of capacity.
bool is_short(const control_state& state, const pool_id& pool, steady_time now);

/// Drops limits that are no longer reached and counts of customers that have gone.
void drop_outdated(control_state& state, steady_time now);

}  // namespace chestnuthead::overload
