#include "Router/arrivals.h"

#include <chrono>
#include <optional>

#include "Router/dispatch.h"
#include "Router/request_end.h"
#include "Router/seals.h"
#include "Router/service.h"
#include "Router/timeline_records.h"

namespace chestnuthead::routing {

namespace {

std::optional<error_kind> find_fault(const router_state& state, const request_arrived& event,
                                     steady_time now) {
  if (refuses_new_work(state, now)) {
    return error_kind::stopping;
  }
  if (!configuration_confirmed(*state.plane)) {
    return error_kind::not_ready;
  }
  const configuration_document& document = current_configuration(*state.plane);
  if (find_customer(document, event.facts.customer) == nullptr) {
    return error_kind::unknown_customer;
  }
  const pool_configuration* pool = find_pool(document, event.facts.pool);
  if (pool == nullptr) {
    return error_kind::unknown_pool;
  }
  if (event.body_bytes > pool->body_limit_bytes) {
    return error_kind::body_too_large;
  }
  return std::nullopt;
}

// Requests to model engines may always be repeated. For calls of a plain
// service the configuration states which of them may be.
void apply_rule(request_facts& facts, const pool_configuration& pool,
                const request_arrived& event) {
  facts.rule = execution_rule::idempotent;
  if (pool.kind == pool_kind::plain_service) {
    facts.rule = rule_for(pool, event.method, event.path);
  }
  if (facts.rule == execution_rule::idempotent) {
    facts.key = {};
    return;
  }
  // A call without an idempotency key from its caller gets a unique one, so
  // that no retry repeats it.
  if (facts.key.empty()) {
    facts.key = {"request/" + facts.request.value};
  }
}

request_row make_row(const router_state& state, const request_arrived& event, steady_time now) {
  const pool_configuration& pool =
      *find_pool(current_configuration(*state.plane), event.facts.pool);
  request_row row;
  row.facts = event.facts;
  row.model_engine = pool.kind == pool_kind::model_engine;
  apply_rule(row.facts, pool, event);
  const bool has_limit = event.time_allowed.count() > 0;
  row.arrived_at = now;
  row.deadline = now + (has_limit ? event.time_allowed : pool.default_deadline);
  return row;
}

}  // namespace

void handle_request_arrived(router_state& state, const request_arrived& event, steady_time now,
                            router_actions& actions) {
  const request_id& request = event.facts.request;
  if (find_request(state.requests, request) != nullptr) {
    ++state.requests.events_dropped;
    return;
  }
  if (const auto fault = find_fault(state, event, now)) {
    const auto retry_after = retry_after_for(request_row{}, *fault);
    actions.emplace_back(answer_error{request, *fault, run_state::not_run, retry_after});
    return;
  }
  earn_retry(state.retries, current_configuration(*state.plane).policy.retry_ratio);
  request_row& row = state.requests.requests[request];
  row = make_row(state, event, now);
  record_event(row, "request_arrived", {}, "", actions);
  advance(state, row, now, actions);
}

void handle_caller_left(router_state& state, const caller_left& event, router_actions& actions) {
  request_row* row = find_request(state.requests, event.request);
  if (row == nullptr) {
    ++state.requests.events_dropped;
    return;
  }
  cancel_current(state, *row, actions);
  const bool clear = !needs_seal(state, *row) && !may_have_run(state.requests, *row);
  // There is no caller to answer any more, so the run state is not looked up in
  // the table.
  end_with_error(state, *row, error_kind::caller_gone,
                 clear ? run_state::not_run : run_state::unknown, actions);
}

}  // namespace chestnuthead::routing
