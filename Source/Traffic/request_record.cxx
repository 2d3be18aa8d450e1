#include "Traffic/request_record.h"

#include <utility>

#include "Base/hashing.h"

namespace chestnuthead::traffic {

request_record::request_record(traffic_context& shared, gateway::caller_request received,
                               std::string received_body)
    : context(shared),
      request(std::move(received)),
      body(std::move(received_body)),
      arrived_at(shared.time.now()) {}

std::string pool_label(const request_record& record) {
  // Labelled by pool and not by route: operators may configure thousands of routes.
  return "pool=\"" + (record.admitted ? record.admitted->taken_pool->name.value : "none") + "\"";
}

gateway::resend_obstacle find_obstacle(const request_record& record, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  const auto budget = state.resend_budgets.find(record.admitted->taken_pool->name);
  const bool budget_left = budget != state.resend_budgets.end() &&
                           resend_allowed(budget->second, state.resends, state.fleet.gateways, now);
  return obstacle_to_resend(*record.admitted->taken_route, record.history, budget_left);
}

void clear_parts(const request_record& record) {
  record_part_answer(record.context.state.parts, hash_text(record.admitted->taken_pool->name.value),
                     record.request.prompt, record.context.time.now());
}

}  // namespace chestnuthead::traffic
