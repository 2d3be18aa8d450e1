// Handles hedged requests: two attempts of one request in progress at the same time.

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "Gateway/extra_tries.h"
#include "Traffic/endpoint_choice.h"
#include "Traffic/exchange.h"

namespace chestnuthead::traffic {

namespace {

using gateway::attempt_result;
using gateway::hedge_obstacle;

/// Time between two checks whether a hedged request that is due has become possible.
constexpr std::chrono::milliseconds hedge_check_interval{100};

gateway::request_kind kind_of(const request_record& record) {
  return {record.admitted->taken_route->name, record.admitted->taken_pool->name};
}

hedge_obstacle find_hedge_obstacle(const request_record& record, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  const gateway::pool& pool = *record.admitted->taken_pool;
  const auto budget = state.resend_budgets.find(pool.name);
  if (budget == state.resend_budgets.end()) {
    return hedge_obstacle::budget_low;
  }
  gateway::hedge_candidate candidate{*record.admitted->taken_route, pool.name, record.history};
  candidate.is_resumption = record.request.last_event.has_value();
  candidate.stopping = state.stopping;
  candidate.pool_short = is_pool_short(record, now);
  return obstacle_to_hedge(state.tries, candidate,
                           {budget->second, state.resends, state.fleet.gateways}, now);
}

void count_hedged(const request_record& record, const std::string& what,
                  const std::string& labels = {}) {
  record.context.metrics.count("chestnuthead_hedged_requests_" + what + "_total",
                               pool_label(record) + labels);
}

}  // namespace

void exchange::learn_wait(const endpoint_attempt& from, steady_time now) {
  gateway::extra_tries& tries = this->record.context.state.tries;
  if (tries.share > 0.0 && from.was_first() && may_be_hedged(*this->record.admitted->taken_route) &&
      !this->record.request.last_event) {
    record_wait(tries, kind_of(this->record), now - from.sent_at(), now);
  }
}

bool exchange::is_hedge_due(steady_time now) {
  const gateway::extra_tries& tries = this->record.context.state.tries;
  const gateway::route& taken = *this->record.admitted->taken_route;
  if (tries.share <= 0.0 || this->hedging.used || this->record.history.answer_begun ||
      this->record.standby != nullptr || !may_be_hedged(taken)) {
    return false;
  }
  if (!this->hedging.due_known) {
    this->hedging.due_known = true;
    this->hedging.due_at =
        hedge_due(tries, kind_of(this->record),
                  {this->record.arrived_at, this->present->sent_at(), taken.latency_objective});
  }
  return this->hedging.due_at && now >= *this->hedging.due_at && now >= this->hedging.next_check_at;
}

void exchange::hedge_if_due(steady_time now) {
  if (this->hedge != nullptr || !this->is_hedge_due(now)) {
    return;
  }
  this->hedging.next_check_at = now + hedge_check_interval;
  hedge_obstacle obstacle = find_hedge_obstacle(this->record, now);
  if (obstacle == hedge_obstacle::none) {
    const std::optional<gateway::placement> chosen = choose_for_hedge(this->record, now);
    endpoint_link* link = chosen ? connect_to(this->record, *chosen->row) : nullptr;
    if (link != nullptr) {
      this->begin_hedge(*chosen, *link, now);
      return;
    }
    obstacle = hedge_obstacle::no_endpoint;
  }
  if (!this->hedging.obstacle_counted) {
    this->hedging.obstacle_counted = true;
    count_hedged(this->record, "not_allowed", ",reason=\"" + std::string(name_of(obstacle)) + "\"");
  }
}

void exchange::begin_hedge(const gateway::placement& chosen, endpoint_link& link, steady_time now) {
  // From now on each attempt keeps its own bytes until a whole event shows which one answers.
  this->present->buffer(this->stream.events().partial);
  this->stream.restart();
  this->hedging.used = true;
  this->record.hints.tried.push_back(chosen.row->listing.name);
  count_hedge(this->record.context.state.tries, this->record.admitted->taken_pool->name);
  count_hedged(this->record, "started");
  this->hedge = std::make_unique<endpoint_attempt>(this->record, this->stream, *this, chosen, now);
  this->hedge->mark_hedged();
  this->record.deciding_attempt = this->present->index();
  if (!this->hedge->start(chosen, link, now)) {
    this->return_token();
    this->record.context.loop.dispose(std::move(this->hedge));
  }
}

void exchange::return_token() {
  return_hedge(this->record.context.state.tries, this->record.admitted->taken_pool->name);
}

void exchange::settle_on(const endpoint_attempt& winner) {
  if (this->hedge == nullptr) {
    return;
  }
  const bool hedge_won = &winner == this->hedge.get();
  count_hedged(this->record, hedge_won ? "won" : "lost");
  if (hedge_won) {
    std::swap(this->present, this->hedge);
    this->learn_wait(*this->hedge, this->record.context.time.now());
  }
  this->drop_hedge("lost");
  this->record.deciding_attempt = winner.index();
  this->keep_head();
}

void exchange::drop_hedge(std::string_view result) {
  if (this->hedge == nullptr) {
    return;
  }
  if (!this->hedge->is_open() && this->hedge->was_hedged()) {
    this->return_token();
  }
  this->hedge->withdraw(result);
  this->record.context.loop.dispose(std::move(this->hedge));
}

void exchange::keep_head() {
  if (this->present->is_forwarding()) {
    this->stream.begin_answer(this->present->answer());
  }
}

bool exchange::leave_to_other(const endpoint_attempt& ended) {
  if (this->hedge == nullptr) {
    return false;
  }
  if (&ended == this->present.get()) {
    std::swap(this->present, this->hedge);
  }
  this->record.context.loop.dispose(std::move(this->hedge));
  this->record.deciding_attempt = this->present->index();
  this->keep_head();
  return true;
}

void exchange::receive_bytes(endpoint_attempt& from, std::string_view bytes) {
  if (this->hedge == nullptr && from.buffered().empty()) {
    this->forward_bytes(from, bytes);
    return;
  }
  from.buffer(bytes);
  if (this->hedge != nullptr) {
    switch (this->stream.first_part(from.buffered())) {
      case answer_part::incomplete:
        return;
      case answer_part::invalid:
        this->abandon_answer(from);
        return;
      case answer_part::whole:
        this->settle_on(from);
        break;
    }
  }
  this->forward_bytes(from, from.take_buffered());
}

void exchange::report_silence(endpoint_attempt& attempt, std::chrono::milliseconds limit,
                              steady_time now) {
  const auto silence = now - attempt.progress_at();
  if (silence > limit && silence >= gateway::min_silence) {
    attempt.report_long_wait(now);
  }
}

bool exchange::are_both_silent(std::chrono::milliseconds limit, steady_time now) {
  if (this->hedge == nullptr) {
    return true;
  }
  report_silence(*this->present, limit, now);
  report_silence(*this->hedge, limit, now);
  return now - this->hedge->progress_at() > limit;
}

}  // namespace chestnuthead::traffic
