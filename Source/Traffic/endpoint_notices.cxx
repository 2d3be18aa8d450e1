#include "Traffic/endpoint_notices.h"

#include "Gateway/endpoint_reports.h"

namespace chestnuthead::traffic {

void handle_endpoint_notices(traffic_context& context, gateway::endpoint& row,
                             const gateway::endpoint_answer& answer, const std::string& request) {
  const steady_time now = context.time.now();
  if (apply_answer_headers(row, answer, context.random, now)) {
    context.log.write(log_level::info, "endpoint_leaving",
                      {{"endpoint", row.listing.name.value}, {"request", request}});
  }
  if (answer.pause) {
    const std::string label = "pool=\"" + row.listing.pool.value + "\"";
    context.metrics.count("chestnuthead_endpoint_pauses_total", label);
    context.log.write(log_level::info, "endpoint_paused",
                      {{"endpoint", row.listing.name.value},
                       {"request", request},
                       {"pause_ms", std::int64_t{answer.pause->count()}}});
  }
}

}  // namespace chestnuthead::traffic
