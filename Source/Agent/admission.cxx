#include "Agent/admission.h"

#include <algorithm>
#include <cmath>

#include "Agent/suspect_isolation.h"
#include "Agent/wait_queue.h"

namespace chestnuthead {

namespace {

/// Retry delay sent to routers while the endpoint is down or the configuration is
/// not confirmed.
constexpr std::chrono::milliseconds come_back_when_not_ready{1'000};
/// Attempts that wait for the table may take up the limit divided by this, so that a
/// slow table does not block requests that don't need it.
constexpr std::uint32_t table_wait_divisor = 2;

using verdict = std::optional<refusal>;

verdict refused(refusal_kind why, std::chrono::milliseconds retry_after = {}) {
  return refusal{why, retry_after};
}

std::optional<std::uint32_t> bound_at(const agent_state& state, double load_multiple) {
  const auto mean = adjusted_mean(state.pool, in_flight(state));
  if (own_pool(state).kind != pool_kind::model_engine || !mean) {
    return std::nullopt;
  }
  return bound_by_mean(load_multiple, *mean, state.pool.endpoints);
}

verdict refused_by_service(const agent_state& state, const attempt_offered& offer,
                           steady_time now) {
  if (state.switches.honour_taken_out && is_leaving(state)) {
    return refused(refusal_kind::out_of_service);
  }
  // Reported even while the endpoint is down, so that a router that offers the same
  // content for another caller learns of the crash before gossip reaches it.
  if (suspected_here(state.suspects, offer.facts.fingerprint, now)) {
    return refused(refusal_kind::crashed_here);
  }
  if (!configuration_confirmed(*state.control) || !state.endpoint_up) {
    return refused(refusal_kind::not_ready, come_back_when_not_ready);
  }
  if (offer.facts.pool != state.settings.pool) {
    return refused(refusal_kind::stale_router);
  }
  return std::nullopt;
}

verdict refused_by_content(const agent_state& state, const attempt_offered& offer,
                           steady_time now) {
  if (refused_after_crashes(state, offer.facts.fingerprint, now)) {
    return refused(refusal_kind::crashes);
  }
  if (offer.time_left <= std::chrono::milliseconds{0}) {
    return refused(refusal_kind::deadline);
  }
  if (offer.terms.only_if_resident && resident_tokens(state.resident, offer.facts.chat) == 0) {
    return refused(refusal_kind::not_resident);
  }
  return std::nullopt;
}

verdict refused_by_load(const agent_state& state) {
  const std::uint32_t load = in_flight(state);
  const pool_configuration& pool = own_pool(state);
  const auto retry_after = expected_time_to_free_slot(state.rate, slots_held(state.attempts));
  const std::uint32_t warm = state.switches.start_cold ? state.warm.limit : pool.warm_limit;
  if (load >= warm) {
    const bool is_cold = warm < pool.warm_limit;
    return refused(is_cold ? refusal_kind::cold : refusal_kind::full, retry_after);
  }
  const auto bound = admission_bound(state);
  if (state.switches.bound_by_mean && bound && load >= *bound) {
    return refused(refusal_kind::above_mean, retry_after);
  }
  return std::nullopt;
}

verdict refused_by_queue(const agent_state& state, const attempt_offered& offer) {
  const pool_configuration& pool = own_pool(state);
  const std::uint32_t limit = load_limit(state);
  const std::uint32_t busy = slots_held(state.attempts);
  const auto retry_after = expected_time_to_free_slot(state.rate, busy);
  if (state.switches.share_fairly && over_share(state.attempts, configuration_of(state),
                                                offer.facts.customer, limit, pool.concurrency)) {
    return refused(refusal_kind::customer_over_share, retry_after);
  }
  if (offer.facts.rule == execution_rule::at_most_once &&
      waiting_for_table(state) >= std::max(1U, limit / table_wait_divisor)) {
    return refused(refusal_kind::full, retry_after);
  }
  const std::uint32_t ahead = queued_ahead(state.attempts, offer.facts.importance);
  const auto wait = expected_wait(state.rate, ahead, busy, pool.concurrency);
  if (wait > offer.time_left) {
    return refused(refusal_kind::deadline, std::min(wait, come_back_at_most));
  }
  return std::nullopt;
}

}  // namespace

std::uint32_t bound_by_mean(double load_multiple, double mean, std::uint32_t endpoints) {
  const double next_mean = mean + 1.0 / std::max(endpoints, 1U);
  return static_cast<std::uint32_t>(std::ceil(load_multiple * std::max(next_mean, 1.0)));
}

std::optional<std::uint32_t> guaranteed_bound(const agent_state& state) {
  return bound_at(state, own_pool(state).load_multiple);
}

std::optional<std::uint32_t> admission_bound(const agent_state& state) {
  const double above_one = own_pool(state).load_multiple - 1.0;
  return bound_at(state, 1.0 + admission_share_of_multiple * above_one);
}

std::uint32_t load_limit(const agent_state& state) {
  return std::min(state.warm.limit, admission_bound(state).value_or(state.warm.limit));
}

bool is_leaving(const agent_state& state) {
  const agent_settings& self = state.settings;
  return state.stopping || listed_as_leaving(*state.control) ||
         is_taken_out(configuration_of(state), self.endpoint, self.failure_domain);
}

std::uint32_t waiting_for_table(const agent_state& state) {
  return static_cast<std::uint32_t>(
      std::count_if(state.attempts.rows.begin(), state.attempts.rows.end(), [](const auto& entry) {
        const attempt_row& row = entry.second;
        const bool queued = row.phase == attempt_phase::queued &&
                            row.offer.facts.rule == execution_rule::at_most_once;
        return queued || row.phase == attempt_phase::claiming ||
               row.phase == attempt_phase::recording;
      }));
}

std::optional<refusal> reason_to_refuse(const agent_state& state, const attempt_offered& offer,
                                        steady_time now) {
  if (auto why = refused_by_service(state, offer, now)) {
    return why;
  }
  if (auto why = refused_by_content(state, offer, now)) {
    return why;
  }
  if (auto why = refused_by_load(state)) {
    return why;
  }
  return refused_by_queue(state, offer);
}

}  // namespace chestnuthead
