#include "Traffic/exchange.h"

#include <chrono>
#include <utility>
#include <variant>

#include "Gateway/incarnation_proof.h"
#include "Gateway/resumption.h"
#include "Traffic/endpoint_choice.h"
#include "Traffic/endpoint_notices.h"

namespace chestnuthead::traffic {

namespace {

using gateway::attempt_end;
using gateway::attempt_result;
using gateway::next_step;
using std::chrono::milliseconds;

}  // namespace

exchange::exchange(traffic_context& shared, answer_sink& answers, gateway::caller_request received,
                   std::string received_body)
    : record(shared, std::move(received), std::move(received_body)),
      stream(this->record),
      answer(this->record, answers) {
  ++this->record.context.state.requests_in_flight;
}

exchange::~exchange() {
  leave_queue(this->record);
  --this->record.context.state.requests_in_flight;
}

void exchange::start() {
  const gateway::caller_request& request = this->record.request;
  const steady_time now = this->record.arrived_at;
  gateway::admission_result result =
      admit(this->record.context.state, request, this->record.context.random, now);
  if (const auto* refused = std::get_if<gateway::refusal>(&result)) {
    this->answer.refuse(*refused);
    return;
  }
  this->record.admitted = std::move(std::get<gateway::admission>(result));
  this->record.fingerprint = fingerprint_of(request, this->record.body);
  this->record.prefix = affinity_of(request);
  this->record.shorter_prefixes = gateway::shorter_prefixes(request);
  if (is_refused(this->record.context.state.suspects, this->record.fingerprint, now)) {
    this->answer.answer_error(error_kind::request_refused_after_crashes,
                              gateway::suspicion_lifetime);
    return;
  }
  if (this->stream.is_resumption()) {
    this->resume_stream(now);
  } else {
    this->send_first_time();
  }
}

void exchange::send_first_time() {
  gateway::gateway_state& state = this->record.context.state;
  count_request(state.resend_budgets[this->record.admitted->taken_pool->name], state.resends,
                this->record.arrived_at);
  if (may_be_hedged(*this->record.admitted->taken_route)) {
    count_repeatable(state.tries, this->record.admitted->taken_pool->name);
  }
  if (this->stream.is_resumption()) {
    // A stream that has begun goes on also while the pool is short of capacity.
    this->send_to_endpoint();
    return;
  }
  const steady_time now = this->record.context.time.now();
  const room_choice choice = find_room(this->record, *this, now);
  switch (choice.step) {
    case room_step::send:
      this->send_to_endpoint();
      return;
    case room_step::wait:
      this->record.phase = request_phase::awaits_room;
      return;
    case room_step::refuse:
      this->answer.refuse(refuse_overloaded(this->record, choice.reason, now));
      return;
  }
}

void exchange::on_room() {
  this->send_to_endpoint();
}

void exchange::on_no_room(overload_reason reason) {
  this->answer.refuse(refuse_overloaded(this->record, reason, this->record.context.time.now()));
}

void exchange::resume_stream(steady_time now) {
  switch (this->stream.find_origin(now)) {
    case gateway::resumption_step::send:
      this->send_first_time();
      return;
    case gateway::resumption_step::wait:
      this->record.phase = request_phase::awaits_origin;
      return;
    case gateway::resumption_step::refuse:
      this->answer.answer_error(error_kind::stream_not_resumable, {});
      return;
  }
}

bool exchange::is_at_endpoint() const {
  return this->present != nullptr && this->present->in_progress();
}

endpoint_attempt& exchange::begin_attempt(const gateway::placement& chosen, steady_time now) {
  if (this->present != nullptr) {
    // The earlier attempt may be in the callback that led here.
    this->record.context.loop.dispose(std::move(this->present));
  }
  this->hedging.due_known = false;
  this->present =
      std::make_unique<endpoint_attempt>(this->record, this->stream, *this, chosen, now);
  return *this->present;
}

bool exchange::open_call(const gateway::placement& chosen, steady_time now) {
  endpoint_link* link = connect_to(this->record, *chosen.row);
  endpoint_attempt& begun = this->begin_attempt(chosen, now);
  if (link == nullptr) {
    begun.end("no_connection");
    return false;
  }
  return begun.start(chosen, *link, now);
}

void exchange::send_to_endpoint() {
  this->record.phase = request_phase::at_endpoint;
  const steady_time now = this->record.context.time.now();
  detect_interruption(this->record.context, now);
  if (this->end_with_refused_part(now)) {
    return;
  }
  update_hints(this->record, now);
  if (this->use_standby(now)) {
    return;
  }
  while (true) {
    const gateway::placement_choice choice = choose(this->record, now);
    if (const auto* none = std::get_if<gateway::no_choice>(&choice)) {
      this->end_without_endpoint(*none, now);
      return;
    }
    const auto& chosen = std::get<gateway::placement>(choice);
    const gateway::pool& pool = *this->record.admitted->taken_pool;
    const bool lacked_proof = lacks_proof(*chosen.row, pool);
    this->record.hints.tried.push_back(chosen.row->listing.name);
    if (this->open_call(chosen, now)) {
      return;
    }
    if (!lacked_proof && lacks_proof(*chosen.row, pool)) {
      // All its connections have ended just now. It is tried again once it has answered a check.
      this->record.hints.tried.pop_back();
    }
  }
}

void exchange::end_without_endpoint(gateway::no_choice why, steady_time now) {
  const traffic_context& context = this->record.context;
  if (this->may_await_proof(now)) {
    this->record.phase = request_phase::awaits_proof;
    return;
  }
  this->record.not_resent = gateway::resend_obstacle::no_endpoint;
  if (this->record.history.answer_begun) {
    this->wait_or_cut(now);
  } else if (this->record.history.executions > 0) {
    this->answer.answer_error(error_kind::retries_exhausted, {});
  } else {
    this->answer.refuse(refuse_without_endpoint(this->record, why, context.random, now));
  }
}

bool exchange::may_await_proof(steady_time now) const {
  return this->record.history.sends == 0 &&
         now - this->record.arrived_at < gateway::longest_proof_wait &&
         expects_proof(this->record.context.state, *this->record.admitted->taken_pool, now);
}

bool exchange::use_standby(steady_time now) {
  drop_failed_standby(this->record);
  if (this->record.standby == nullptr) {
    return false;
  }
  gateway::endpoint* row = standby_endpoint(this->record, now);
  const std::unique_ptr<standby_link> used = std::move(this->record.standby);
  if (row == nullptr) {
    return false;
  }
  const gateway::placement chosen{row, used->reason, used->load_bound};
  this->record.hints.tried.push_back(used->endpoint);
  return this->begin_attempt(chosen, now).start(chosen, *used->take(), now);
}

bool exchange::move_to_another(attempt_result result, steady_time now) {
  std::unique_ptr<standby_link>& standby = this->record.standby;
  const bool from_load = !this->present->is_endpoint_quiet(now);
  if (find_obstacle(this->record, from_load, now) != gateway::resend_obstacle::none) {
    standby.reset();
    return false;
  }
  drop_failed_standby(this->record);
  if (standby == nullptr && now >= this->record.next_search_at) {
    prepare_standby(this->record, now);
  }
  if (standby == nullptr || !standby->is_open()) {
    return false;
  }
  if (standby_endpoint(this->record, now) == nullptr) {
    standby.reset();
    return false;
  }
  this->abandon_call(*this->present, result, attempt_end::unknown);
  return true;
}

void exchange::wait_or_cut(steady_time now) {
  if (!this->stream.wait_for_endpoint(now)) {
    this->answer.cut("cut");
  }
}

void exchange::continue_unread(steady_time now) {
  this->record.not_resent = find_obstacle(this->record, false, now);
  const bool awaits_budget = this->record.not_resent == gateway::resend_obstacle::no_budget;
  const bool may_go_on = this->record.not_resent == gateway::resend_obstacle::none || awaits_budget;
  if (!may_go_on || now >= this->record.admitted->answer_by) {
    this->answer.cut("cut");
  } else if (awaits_budget || this->answer.caller_lags()) {
    this->record.phase = request_phase::awaits_caller;
  } else {
    this->send_to_endpoint();
  }
}

void exchange::end_wait(steady_time now) {
  if (now < this->record.next_search_at) {
    return;
  }
  this->record.not_resent = find_obstacle(this->record, false, now);
  if (this->record.not_resent == gateway::resend_obstacle::none) {
    this->send_to_endpoint();
  } else {
    this->wait_or_cut(now);
  }
}

void exchange::continue_after(const endpoint_attempt& last, attempt_end end, bool from_load) {
  if (end == attempt_end::not_executed) {
    --this->record.history.executions;
  }
  if (this->leave_to_other(last)) {
    return;
  }
  const steady_time now = this->record.context.time.now();
  this->record.not_resent = find_obstacle(this->record, from_load, now);
  switch (after_attempt(this->record.not_resent, this->record.history, end)) {
    case next_step::try_another:
      this->send_to_endpoint();
      return;
    case next_step::pass_error:
      this->answer.pass_on("endpoint_error", last.answer(), last.buffered());
      return;
    case next_step::refuse:
      this->answer.refuse(refuse_without_endpoint(
          gateway::no_choice::all_full,
          std::chrono::duration_cast<milliseconds>(this->record.admitted->deadline - now),
          this->record.context.random));
      return;
    case next_step::report_failure:
      this->answer.answer_error(error_kind::endpoint_failed, {});
      return;
    case next_step::cut:
      this->wait_or_cut(now);
      return;
  }
}

bool exchange::end_with_refused_part(steady_time now) {
  gateway::crashing_parts& parts = this->record.context.state.parts;
  this->record.refused_part = gateway::refused_part(parts, this->record.request.prompt, now);
  if (!this->record.refused_part) {
    return false;
  }
  note_refused_request(parts, *this->record.refused_part, now);
  this->record.context.metrics.count("chestnuthead_requests_with_refused_part_total",
                                     pool_label(this->record));
  if (this->record.history.answer_begun) {
    this->answer.cut("cut");
  } else if (this->record.history.executions > 0) {
    this->answer.answer_error(error_kind::endpoint_failed, {});
  } else {
    this->answer.answer_error(error_kind::request_refused_after_crashes,
                              time_until_retry(parts, *this->record.refused_part, now));
  }
  return true;
}

bool exchange::withdraw_with_refused_part(steady_time now) {
  const bool all_answered =
      this->present->is_answered() && (this->hedge == nullptr || this->hedge->is_answered());
  if (all_answered ||
      !gateway::refused_part(this->record.context.state.parts, this->record.request.prompt, now)) {
    return false;
  }
  if (this->hedge != nullptr && this->present->is_answered()) {
    this->drop_hedge("withdrawn");
    return false;
  }
  if (this->hedge != nullptr && this->hedge->is_answered()) {
    std::swap(this->present, this->hedge);
    this->drop_hedge("withdrawn");
    this->record.deciding_attempt = this->present->index();
    return false;
  }
  this->drop_hedge("withdrawn");
  this->present->withdraw("withdrawn");
  return this->end_with_refused_part(now);
}

void exchange::tick(steady_time now) {
  switch (this->record.phase) {
    case request_phase::awaits_origin:
      this->resume_stream(now);
      return;
    case request_phase::awaits_proof:
      this->send_to_endpoint();
      return;
    case request_phase::awaits_endpoint:
      this->end_wait(now);
      return;
    case request_phase::awaits_caller:
      this->continue_unread(now);
      return;
    case request_phase::at_endpoint:
      this->check_attempt(now);
      return;
    case request_phase::arrived:
    case request_phase::awaits_room:
    case request_phase::ended:
      return;
  }
}

void exchange::check_attempt(steady_time now) {
  if (!this->is_at_endpoint() || this->withdraw_with_refused_part(now)) {
    return;
  }
  if (now >= this->record.admitted->answer_by) {
    this->time_out();
    return;
  }
  endpoint_attempt& attempt = *this->present;
  const bool caller_lags = this->answer.caller_lags();
  if (attempt.is_open()) {
    attempt.pause(caller_lags);
  }
  if (caller_lags) {
    // Nothing is read from the endpoint until the caller has caught up.
    attempt.note_progress(now);
  }
  if (this->hedge != nullptr) {
    if (this->hedge->is_open()) {
      this->hedge->pause(caller_lags);
    }
    if (caller_lags) {
      this->hedge->note_progress(now);
    }
  } else if (!caller_lags) {
    this->hedge_if_due(now);
  }
  const milliseconds limit =
      silence_limit(*this->record.admitted->taken_route, !this->record.request.prompt.empty(),
                    this->record.history.answer_begun);
  const steady_time silent_since = attempt.progress_at();
  if (now - silent_since <= limit || !this->are_both_silent(limit, now)) {
    this->record.standby.reset();
    return;
  }
  const bool is_silent = now - silent_since >= gateway::min_silence;
  const attempt_result result = is_silent ? attempt_result::silent : attempt_result::slow;
  // While a connection to another endpoint is being opened, the present one is not reported: its
  // result follows as soon as the request moves.
  if (!this->move_to_another(result, now) && is_silent && this->record.standby == nullptr) {
    attempt.report_long_wait(now);
  }
}

void exchange::time_out() {
  if (this->hedge != nullptr) {
    const steady_time now = this->record.context.time.now();
    if (!this->hedge->is_answered() && now - this->hedge->sent_at() >= gateway::min_silence) {
      this->hedge->abandon(attempt_result::silent);
      this->record.context.loop.dispose(std::move(this->hedge));
    } else {
      this->drop_hedge(this->hedge->is_answered() ? "answering" : "waiting");
    }
  }
  const bool silent = !this->present->is_answered();
  this->present->abandon(silent ? attempt_result::silent : attempt_result::answered);
  if (this->record.history.answer_begun) {
    this->answer.cut("timeout");
    return;
  }
  this->answer.answer_error(error_kind::deadline_exceeded, {});
}

void exchange::end_at_stop() {
  if (this->record.phase == request_phase::ended || this->record.history.answer_begun) {
    return;
  }
  leave_queue(this->record);
  if (this->is_at_endpoint()) {
    this->drop_hedge("stopped");
    this->present->withdraw("stopped");
  }
  if (this->record.history.executions > 0) {
    this->answer.answer_error(error_kind::outcome_unknown, {});
  } else {
    this->answer.refuse(refuse_at_stop(this->record.context.state, this->record.context.random));
  }
}

void exchange::caller_left() {
  if (this->record.phase == request_phase::ended) {
    return;
  }
  leave_queue(this->record);
  if (this->is_at_endpoint()) {
    if (this->hedge != nullptr) {
      this->drop_hedge(this->hedge->is_answered() ? "answering" : "waiting");
    }
    this->present->cancel(this->present->is_answered() ? "answering" : "waiting");
  }
  this->answer.drop();
}

}  // namespace chestnuthead::traffic
