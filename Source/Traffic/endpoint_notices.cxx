#include "Traffic/endpoint_notices.h"

#include "Gateway/endpoint_reports.h"
#include "Gateway/incarnation_proof.h"
#include "Traffic/attempt_log.h"
#include "Traffic/endpoint_log.h"

namespace chestnuthead::traffic {

namespace {

/// Records that the pool's endpoints report the speed of their VMs. Unreadable reports are logged
/// at most once in a while, as a faulty endpoint sends one with each answer.
void note_load_report(traffic_context& context, const gateway::endpoint& row,
                      const gateway::endpoint_answer& answer, steady_time now) {
  constexpr std::chrono::seconds log_interval{10};
  overload::control_state& overload = context.state.overload;
  if (answer.vm_slowdown) {
    overload.reporting.insert(row.listing.pool);
  }
  if (answer.has_unreadable_load && now >= overload.next_report_log_at) {
    overload.next_report_log_at = now + log_interval;
    context.log.write(log_level::warning, "load_report_unreadable",
                      {{"endpoint", row.listing.name.value}, {"pool", row.listing.pool.value}});
  }
}

}  // namespace

void handle_endpoint_notices(traffic_context& context, const endpoint_id& endpoint,
                             const gateway::incarnation_id& asked,
                             const gateway::endpoint_answer& answer, const std::string& request) {
  const steady_time now = context.time.now();
  const gateway::endpoint* found = find_incarnation(context.state.endpoints, asked);
  const bool was_cold = found != nullptr && is_cold(*found, now);
  if (apply_answer_headers(context.state.endpoints, asked, answer, context.random, now)) {
    log_leaving(context, endpoint, asked, request.empty() ? "check" : "answer", request);
  }
  if (found == nullptr) {
    return;
  }
  const gateway::endpoint& row = *found;
  log_if_turned_cold(context, row, was_cold, "answer");
  note_load_report(context, row, answer, now);
  if (answer.pause) {
    const std::string label = "pool=\"" + row.listing.pool.value + "\"";
    context.metrics.count("chestnuthead_endpoint_pauses_total", label);
    context.log.write(log_level::info, "endpoint_paused",
                      {{"endpoint", row.listing.name.value},
                       {"request", request},
                       {"pause_ms", std::int64_t{answer.pause->count()}}});
  }
}

void detect_interruption(traffic_context& context, steady_time now) {
  const steady_time before = context.state.ran_at;
  if (note_running(context.state, now)) {
    context.log.write(
        log_level::warning, "interrupted",
        {{"elapsed_ms", milliseconds_between(before, now)},
         {"endpoints", static_cast<std::int64_t>(context.state.endpoints.rows.size())}});
  }
}

void handle_contact(traffic_context& context, const endpoint_id& endpoint, contact_change change) {
  gateway::endpoint* row = find_endpoint(context.state.endpoints, endpoint);
  if (row == nullptr) {
    return;
  }
  row->contact_since =
      change == contact_change::begun ? std::optional(context.time.now()) : std::nullopt;
  if (change != contact_change::lost) {
    return;
  }
  const gateway::pool* pool = context.state.services == nullptr
                                  ? nullptr
                                  : find_pool(*context.state.services, row->listing.pool);
  if (pool == nullptr || pool->cold_rate <= 0.0) {
    return;
  }
  doubt_incarnation(*row, gateway::incarnation_doubt::may_have_restarted, context.time.now());
  context.metrics.count("chestnuthead_endpoint_contacts_lost_total",
                        "pool=\"" + row->listing.pool.value + "\"");
  context.log.write(log_level::info, "endpoint_contact_lost", {{"endpoint", endpoint.value}});
}

}  // namespace chestnuthead::traffic
