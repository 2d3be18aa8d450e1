#include "Traffic/endpoint_choice.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "Gateway/incarnation_proof.h"

namespace chestnuthead::traffic {

namespace {

using gateway::attempt_result;

/// Time between two searches for an endpoint that can take a request under way.
constexpr std::chrono::milliseconds search_interval{100};
/// Share of an endpoint's connection limit that all gateways together use.
constexpr double connections_used = 0.9;

/// How old the information about the requests that peers send can be.
std::chrono::duration<double> load_staleness(const request_record& record) {
  // The peers' loads are up to one message interval old, and the requests that they send until
  // their next message are unknown too.
  return gateway::peer_message_interval(record.context.state.fleet.gateways);
}

/// `gateway::placement_hints::expected_arrivals` for the request's pool.
double expected_arrivals(const request_record& record, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  const auto budget = state.resend_budgets.find(record.admitted->taken_pool->name);
  if (budget == state.resend_budgets.end()) {
    return 0.0;
  }
  return request_rate(budget->second, state.resends, now) * state.fleet.gateways *
         load_staleness(record).count();
}

/// Chooses the versions that the request may be sent to.
void update_scope(request_record& record, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  const gateway::pool& pool = *record.admitted->taken_pool;
  const gateway::scope_request wanted{endpoints_of(state.endpoints, pool.name), pool,
                                      *record.admitted->taken_route, record.prefix,
                                      state.fleet.gateways};
  if (record.stream_version) {
    record.version_choice = gateway::version_choice::settled;
    record.hints.scope =
        scope_of_stream(state.rollouts, wanted, state.rollout_limits, *record.stream_version, now);
    return;
  }
  gateway::chosen_scope versions =
      choose_scope(state.rollouts, wanted, state.rollout_limits, record.context.random, now);
  record.version_choice = versions.choice;
  record.hints.scope = std::move(versions.scope);
}

/// Which connections may carry the request. One that may run only once must not be taken for
/// rejected because of a late copy of an earlier answer: it would be sent again.
link_history wanted_history(const request_record& record) {
  if (record.admitted->taken_route->executions == gateway::execution_limit::idempotent) {
    return link_history::any;
  }
  return record.request.id.empty() ? link_history::none : link_history::identified;
}

}  // namespace

void update_hints(request_record& record, steady_time now) {
  if (record.history.answer_begun || record.history.sends > 0 ||
      find_control(record.context.state.overload, record.admitted->taken_pool->name) == nullptr) {
    // Streams that have begun go on, and resends are bounded by their budget.
    record.hints.limit = {};
  }
  record.hints.expected_arrivals = expected_arrivals(record, now);
  if (!record.request.prompt.empty()) {
    const gateway::prefix_holders& holders = record.context.state.holders;
    record.hints.holders = holders_of(holders, record.prefix, now);
    record.hints.expected_with_prefix =
        use_rate(holders, record.prefix, now) * load_staleness(record).count();
  }
}

void find_shorter_holders(request_record& record, steady_time now) {
  record.hints.shorter_holders.clear();
  for (const std::uint64_t shorter : record.shorter_prefixes) {
    record.hints.shorter_holders.push_back(holders_of(record.context.state.holders, shorter, now));
  }
}

gateway::weighing weigh(request_record& record, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  const gateway::pool& pool = *record.admitted->taken_pool;
  const std::vector<gateway::endpoint*>& endpoints = endpoints_of(state.endpoints, pool.name);
  update_scope(record, now);
  gateway::weighing weighed =
      weigh_endpoints(endpoints, pool, record.request, record.hints, state.fleet, now);
  if (record.version_choice != gateway::version_choice::settled &&
      std::holds_alternative<gateway::no_choice>(weighed)) {
    record.version_choice = gateway::version_choice::settled;
    record.hints.scope = settled_scope(state.rollouts, pool.name);
    weighed = weigh_endpoints(endpoints, pool, record.request, record.hints, state.fleet, now);
  }
  return weighed;
}

gateway::placement_choice choose(request_record& record, steady_time now) {
  return draw_endpoint(weigh(record, now), record.context.random);
}

gateway::refusal refuse_without_endpoint(const request_record& record, gateway::no_choice why,
                                         random_source& random, steady_time now) {
  if (why == gateway::no_choice::all_paused) {
    const gateway::gateway_state& state = record.context.state;
    const gateway::pool& pool = *record.admitted->taken_pool;
    const auto pause = shortest_pause(endpoints_of(state.endpoints, pool.name), state.fleet, now);
    return gateway::refuse_until_pause_ends(pause, random);
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.admitted->deadline - now);
  return gateway::refuse_without_endpoint(why, left, random);
}

std::optional<gateway::placement> choose_for_hedge(request_record& record, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  update_hints(record, now);
  const gateway::placement_choice choice = choose(record, now);
  const auto* chosen = std::get_if<gateway::placement>(&choice);
  if (chosen == nullptr || is_cold(*chosen->row, now) ||
      lacks_proof(*chosen->row, *record.admitted->taken_pool)) {
    return std::nullopt;
  }
  const auto& endpoints = endpoints_of(state.endpoints, record.admitted->taken_pool->name);
  const bool bounded = within_load_bound(*chosen->row, endpoints, record.hints, state.fleet, now);
  return bounded ? std::optional(*chosen) : std::nullopt;
}

endpoint_link* connect_to(const request_record& record, const gateway::endpoint& row) {
  const gateway::pool& pool = *record.admitted->taken_pool;
  const double share = connections_used * pool.max_connections /
                       std::max<std::uint32_t>(record.context.state.fleet.gateways, 1);
  const bool lacked_proof = lacks_proof(row, pool);
  endpoint_link* link = record.context.links.acquire(row.listing.name, row.listing.address,
                                                     static_cast<std::size_t>(std::max(share, 1.0)),
                                                     wanted_history(record));
  if (link != nullptr && !lacked_proof && lacks_proof(row, pool)) {
    // The search for an idle connection has found that all of them have ended.
    link->abandon();
    return nullptr;
  }
  return link;
}

void delay_search(request_record& record, steady_time now) {
  record.next_search_at = now + search_interval;
}

void prepare_standby(request_record& record, steady_time now) {
  delay_search(record, now);
  update_hints(record, now);
  const gateway::placement_choice choice = choose(record, now);
  const auto* chosen = std::get_if<gateway::placement>(&choice);
  if (chosen == nullptr) {
    return;
  }
  endpoint_link* link = connect_to(record, *chosen->row);
  if (link == nullptr) {
    record.hints.tried.push_back(chosen->row->listing.name);
    return;
  }
  record.standby = std::make_unique<standby_link>(*chosen, *link);
}

void drop_failed_standby(request_record& record) {
  if (record.standby == nullptr || !record.standby->has_failed()) {
    return;
  }
  if (record.standby->is_unreachable()) {
    record.hints.tried.push_back(record.standby->endpoint);
    if (gateway::endpoint* row =
            find_endpoint(record.context.state.endpoints, record.standby->endpoint)) {
      note_health(record, *row, attempt_result::unreachable);
    }
  }
  record.standby.reset();
}

gateway::endpoint* standby_endpoint(request_record& record, steady_time now) {
  gateway::endpoint* row = find_endpoint(record.context.state.endpoints, record.standby->endpoint);
  if (row == nullptr || !record.standby->leads_to(*row)) {
    return nullptr;
  }
  update_scope(record, now);
  const bool room = has_room(*row, *record.admitted->taken_pool, record.hints.scope,
                             record.context.state.fleet, now, record.hints.limit);
  return room ? row : nullptr;
}

void note_health(const request_record& record, gateway::endpoint& row, attempt_result result) {
  const traffic_context& context = record.context;
  const steady_time now = context.time.now();
  const std::vector<gateway::endpoint*>& pool =
      endpoints_of(context.state.endpoints, row.listing.pool);
  const bool is_slow = result == attempt_result::slow || result == attempt_result::silent;
  if (is_slow && is_short(context.state.overload, row.listing.pool, now) &&
      !is_quieter_than_pool(row, pool, now)) {
    // Answers are slow because of the load.
    return;
  }
  const double peers = failing_share(pool);
  const bool was_set_aside = is_ejected(row, now);
  note_result(row, result, peers, now);
  if (!is_ejected(row, now)) {
    return;
  }
  if (!was_set_aside || result == attempt_result::silent || result == attempt_result::unreachable) {
    context.links.drop_idle(row.listing.name);
  }
  if (!was_set_aside) {
    context.log.write(log_level::warning, "endpoint_set_aside",
                      {{"endpoint", row.listing.name.value},
                       {"request", record.request.id},
                       {"reason", std::string(name_of(result))}});
  }
}

}  // namespace chestnuthead::traffic
