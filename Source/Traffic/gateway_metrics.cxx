#include "Traffic/gateway_metrics.h"

#include <chrono>
#include <string>

#include "Gateway/readiness.h"

namespace chestnuthead::traffic {

namespace {

std::string label_of(const char* name, const std::string& value) {
  return std::string(name) + "=\"" + value + "\"";
}

void set_pools(metrics_registry& metrics, const gateway::gateway_state& state, steady_time now) {
  for (const char* name : {"chestnuthead_pool_in_flight", "chestnuthead_pool_endpoints_in_service",
                           "chestnuthead_pool_resends_left"}) {
    metrics.clear(name);
  }
  for (const auto& [pool, rows] : state.endpoints.by_pool) {
    double in_flight = 0.0;
    double in_service = 0.0;
    for (const gateway::endpoint* row : rows) {
      in_flight += row->in_flight;
      in_service += gateway::in_service(*row, state.fleet, now) ? 1.0 : 0.0;
    }
    const std::string label = label_of("pool", pool.value);
    metrics.set("chestnuthead_pool_in_flight", label, in_flight);
    metrics.set("chestnuthead_pool_endpoints_in_service", label, in_service);
    const auto budget = state.resend_budgets.find(pool);
    if (budget != state.resend_budgets.end()) {
      metrics.set("chestnuthead_pool_resends_left", label,
                  resends_left(budget->second, state.resends, state.fleet.gateways, now));
    }
  }
}

/// Sets the state of the pools under overload control.
void set_overload(metrics_registry& metrics, const overload::control_state& state) {
  for (const char* name :
       {"chestnuthead_pool_limit", "chestnuthead_pool_queued", "chestnuthead_pool_load_ratio"}) {
    metrics.clear(name);
  }
  for (const auto& [pool, control] : state.pools) {
    if (!is_controlled(state, pool)) {
      continue;
    }
    const std::string label = label_of("pool", pool.value);
    if (control.capacity.limit) {
      metrics.set("chestnuthead_pool_limit", label, *control.capacity.limit);
    }
    metrics.set("chestnuthead_pool_queued", label,
                static_cast<double>(control.queue.waiting.size()));
    metrics.set("chestnuthead_pool_load_ratio", label, control.capacity.ratio);
  }
}

/// Sets one series for each known endpoint and drops those of removed endpoints.
void set_endpoints(metrics_registry& metrics, const gateway::gateway_state& state,
                   steady_time now) {
  for (const char* name : {"chestnuthead_endpoint_in_flight", "chestnuthead_endpoint_load",
                           "chestnuthead_endpoint_slots", "chestnuthead_endpoint_in_service"}) {
    metrics.clear(name);
  }
  for (const auto& [name, row] : state.endpoints.rows) {
    const std::string label =
        label_of("pool", row.listing.pool.value) + "," + label_of("endpoint", name.value);
    metrics.set("chestnuthead_endpoint_in_flight", label, row.in_flight);
    metrics.set("chestnuthead_endpoint_load", label, load_of(row));
    metrics.set("chestnuthead_endpoint_slots", label, row.listing.slots);
    metrics.set("chestnuthead_endpoint_in_service", label,
                in_service(row, state.fleet, now) ? 1.0 : 0.0);
  }
}

void set_memory(metrics_registry& metrics, const overload::memory_account& memory) {
  for (std::size_t use = 0; use < overload::memory_use_count; ++use) {
    metrics.set("chestnuthead_memory_held_bytes",
                label_of("use", name_of(static_cast<overload::memory_use>(use))),
                static_cast<double>(memory.held.at(use)));
  }
  metrics.set("chestnuthead_memory_budget_bytes", {}, static_cast<double>(budget_of(memory)));
}

}  // namespace

void set_gauges(metrics_registry& metrics, const gateway::gateway_state& state,
                const endpoint_links& links, steady_time now) {
  metrics.set("chestnuthead_requests_in_flight", {}, static_cast<double>(state.requests_in_flight));
  metrics.set("chestnuthead_gateways", {}, state.fleet.gateways);
  metrics.set("chestnuthead_ready", {}, is_ready(state, now) ? 1.0 : 0.0);
  metrics.set("chestnuthead_configuration_version", {},
              state.services == nullptr ? 0.0 : static_cast<double>(state.services->version));
  metrics.set("chestnuthead_configuration_age_seconds", {},
              std::chrono::duration<double>(now - state.confirmed_at).count());
  metrics.set("chestnuthead_keys_trusted", {}, keys_trusted(state, now) ? 1.0 : 0.0);
  metrics.set("chestnuthead_prefixes_remembered", {},
              static_cast<double>(state.holders.rows.size()));
  metrics.set("chestnuthead_prompt_parts_refused", {},
              static_cast<double>(count_refused(state.parts, now)));
  metrics.set("chestnuthead_endpoint_connections_opened_total", {},
              static_cast<double>(links.opened()));
  set_memory(metrics, state.memory);
  set_pools(metrics, state, now);
  set_overload(metrics, state.overload);
  set_endpoints(metrics, state, now);
}

}  // namespace chestnuthead::traffic
