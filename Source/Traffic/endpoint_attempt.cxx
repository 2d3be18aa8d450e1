#include "Traffic/endpoint_attempt.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "Base/hashing.h"
#include "Traffic/caller_answer.h"
#include "Traffic/crashing_part_review.h"
#include "Traffic/endpoint_choice.h"
#include "Traffic/endpoint_log.h"
#include "Traffic/endpoint_notices.h"
#include "Traffic/rollout_results.h"

namespace chestnuthead::traffic {

using gateway::attempt_result;
using std::chrono::milliseconds;

endpoint_attempt::endpoint_attempt(request_record& shared, const answer_stream& answer_so_far,
                                   attempt_listener& receiver, const gateway::placement& chosen,
                                   steady_time now)
    : record(shared),
      stream(answer_so_far),
      listener(receiver),
      number(shared.attempts.size()),
      counted_buffer(shared.context.state.memory, overload::memory_use::buffered_answer) {
  const gateway::endpoint& row = *chosen.row;
  attempt_record entry;
  entry.endpoint = row.listing.name;
  entry.reason = chosen.reason;
  entry.load = load_of(row);
  entry.load_bound = chosen.load_bound;
  entry.holders = this->record.hints.holders.size();
  entry.events_before = this->stream.events().events;
  entry.version_choice = this->record.version_choice;
  entry.tokens_to_read =
      tokens_to_read(this->record.request, chosen.reason == gateway::choice_reason::holds_prefix);
  entry.began_at = now;
  this->record.attempts.push_back(std::move(entry));
  this->record.deciding_attempt = this->number;
}

bool endpoint_attempt::start(const gateway::placement& chosen, endpoint_link& link,
                             steady_time now) {
  gateway::endpoint& row = *chosen.row;
  gateway::gateway_state& state = this->record.context.state;
  if (has_reported_leaving(state.endpoints, incarnation_of(row), now)) {
    this->refuse_leaving(row, link);
    return false;
  }
  const gateway::pool& pool = *this->record.admitted->taken_pool;
  this->call.link = &link;
  this->call.endpoint = row.listing.name;
  this->call.incarnation = incarnation_of(row);
  this->call.version = row.listing.version;
  this->call.sent_at = now;
  this->call.first = this->record.history.sends == 0;
  this->call.progress_at = now;
  this->report_cold_request(row, now);
  log_restored_use(this->record.context, row, this->record.request.id,
                   std::string(name_of(chosen.reason)));
  begin_request(row, now);
  this->count_start(row, now);
  count_send(state.rollouts, row, *this->record.admitted->taken_route, now);
  if (this->record.history.sends > 0) {
    this->record.context.metrics.count("chestnuthead_resends_total", pool_label(this->record));
    count_resend(state.resend_budgets[pool.name], state.resends, now);
  }
  ++this->record.history.sends;
  ++this->record.history.executions;
  if (chosen.reason != gateway::choice_reason::holds_prefix) {
    find_shorter_holders(this->record, now);
  }
  if (!this->record.request.prompt.empty()) {
    record_own_placement(state.holders, {this->record.prefix, row.hash}, now);
    for (const std::uint64_t shorter : this->record.shorter_prefixes) {
      record_own_shorter_prefix(state.holders, {shorter, row.hash}, now);
    }
  }
  link.start(
      {this->encode_call(row, now), this->record.request.id, this->record.request.method == "HEAD"},
      *this);
  return true;
}

void endpoint_attempt::refuse_leaving(const gateway::endpoint& row, endpoint_link& link) {
  link.abandon();
  this->end("leaving");
  this->record.context.metrics.count("chestnuthead_leaving_endpoints_refused_total",
                                     pool_label(this->record));
  this->record.context.log.write(
      log_level::warning, "leaving_endpoint_refused",
      {{"endpoint", row.listing.name.value},
       {"started", row.listing.started},
       {"request", this->record.request.id},
       {"chosen_by", std::string(name_of(this->record.attempts[this->number].reason))}});
}

void endpoint_attempt::report_cold_request(const gateway::endpoint& row, steady_time now) const {
  if (!is_cold(row, now)) {
    return;
  }
  traffic_context& context = this->record.context;
  context.metrics.count("chestnuthead_cold_requests_total", pool_label(this->record));
  std::vector<log_field> fields{
      {"endpoint", row.listing.name.value},
      {"request", this->record.request.id},
      {"cold_ms", milliseconds_between(now, row.cold_until)},
      {"gateways", std::int64_t{context.state.fleet.gateways}},
      {"chosen_by", std::string(name_of(this->record.attempts[this->number].reason))},
      {"sends", std::int64_t{this->record.history.sends}}};
  if (row.pacing.sent_at) {
    fields.push_back({"since_previous_ms", milliseconds_between(*row.pacing.sent_at, now)});
  }
  context.log.write(log_level::info, "cold_endpoint_used", std::move(fields));
}

std::string endpoint_attempt::encode_call(const gateway::endpoint& row, steady_time now) const {
  const gateway::caller_request& request = this->record.request;
  const std::string& body = this->record.body;
  const auto left =
      std::chrono::duration_cast<milliseconds>(this->record.admitted->answer_by - now);
  const gateway::endpoint* source =
      prefix_source(endpoints_of(this->record.context.state.endpoints, row.listing.pool), row,
                    this->record.hints, now);
  std::string bytes = this->record.context.dialect.encode_request(
      {request, row.listing.name, this->record.admitted->holder, left,
       this->stream.events().last_event,
       source == nullptr ? std::string() : source->listing.address,
       this->call.is_counted ? std::optional(this->record.admitted->priority) : std::nullopt});
  if (!body.empty() || request.method == "POST" || request.method == "PUT") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += body;
  return bytes;
}

gateway::endpoint* endpoint_attempt::find_row() const {
  return find_endpoint(this->record.context.state.endpoints, this->call.endpoint);
}

void endpoint_attempt::end(std::string_view result) {
  attempt_record& row = this->entry();
  row.ended_at = this->record.context.time.now();
  row.result = result;
  row.status = this->call.answer.status;
  row.events = this->stream.events().events;
}

void endpoint_attempt::end_call(std::string_view result) {
  this->call.link = nullptr;
  this->end(result);
  this->count_end();
  if (gateway::endpoint* row = this->find_row()) {
    end_request(*row);
  }
}

void endpoint_attempt::close(attempt_result result) {
  this->end_call(name_of(result));
  gateway::endpoint* row = this->find_row();
  if (row == nullptr) {
    return;
  }
  const bool executed = !this->call.answer.not_executed && !this->call.answer.wrong_endpoint;
  if (executed) {
    count_rollout_result(this->record.context.state.rollouts, *row,
                         *this->record.admitted->taken_route, this->entry(), result);
  }
  note_health(this->record, *row, result);
}

void endpoint_attempt::abandon(attempt_result result) {
  this->call.link->abandon();
  this->close(result);
}

void endpoint_attempt::cancel(std::string_view result) {
  this->call.link->abandon();
  this->end_call(result);
}

void endpoint_attempt::end_unread() {
  this->end_call("unread");
  std::erase(this->record.hints.tried, this->call.endpoint);
}

void endpoint_attempt::withdraw(std::string_view result) {
  if (!this->call.link->is_open()) {
    --this->record.history.executions;
  }
  this->cancel(result);
}

void endpoint_attempt::report_long_wait(steady_time now) {
  gateway::endpoint* row = this->find_row();
  if (this->call.long_wait_reported || row == nullptr || is_ejected(*row, now) ||
      (is_pool_short(this->record, now) && !this->is_endpoint_quiet(now))) {
    return;
  }
  this->call.long_wait_reported = true;
  note_long_wait(*row, endpoints_of(this->record.context.state.endpoints, row->listing.pool), now);
  this->record.context.log.write(
      log_level::info, "endpoint_doubted",
      {{"endpoint", row->listing.name.value},
       {"request", this->record.request.id},
       {"waited_ms", milliseconds_between(this->call.progress_at, now)}});
}

void endpoint_attempt::count_start(gateway::endpoint& row, steady_time now) {
  overload::control_state& overload = this->record.context.state.overload;
  const gateway::pool& pool = *this->record.admitted->taken_pool;
  overload::pool_control* control = obtain_control(overload, pool.name, pool.engine);
  if (control == nullptr) {
    return;
  }
  const gateway::caller_request& request = this->record.request;
  this->call.is_counted = true;
  this->call.tokens = request.prompt_tokens + request.answer_tokens;
  row.tokens_in_flight += this->call.tokens;
  overload::note_start(control->capacity, this->call.tokens);
  if (this->record.history.sends == 0) {
    note_served(control->senders, this->record.admitted->holder, this->record.group, now);
  }
}

void endpoint_attempt::count_end() {
  if (!std::exchange(this->call.is_counted, false)) {
    return;
  }
  const steady_time now = this->record.context.time.now();
  if (gateway::endpoint* row = this->find_row()) {
    row->tokens_in_flight = std::max(0.0, row->tokens_in_flight - this->call.tokens);
  }
  overload::pool_control& control =
      this->record.context.state.overload.pools[this->record.admitted->taken_pool->name];
  overload::note_end(control.capacity, now - this->entry().began_at, now);
}

void endpoint_attempt::note_sign(overload::capacity_sign sign, steady_time now) {
  const gateway::endpoint* row = this->find_row();
  if (this->call.is_counted && row != nullptr) {
    overload::pool_control& control = this->record.context.state.overload.pools[row->listing.pool];
    overload::note_sign(control.capacity, row->hash, sign, now);
  }
}

void endpoint_attempt::note_first_answer(steady_time now) {
  const milliseconds objective = this->record.admitted->taken_route->latency_objective;
  const bool late =
      objective.count() > 0 && now - this->entry().began_at >
                                   overload::late_share * std::chrono::duration<double>(objective);
  this->note_sign(late ? overload::capacity_sign::late : overload::capacity_sign::in_time, now);
}

void endpoint_attempt::note_rejected() {
  const gateway::endpoint_answer& answer = this->call.answer;
  if (answer.not_executed && !answer.wrong_endpoint && !answer.leaving) {
    this->note_sign(overload::capacity_sign::rejected, this->record.context.time.now());
  }
}

bool endpoint_attempt::is_endpoint_quiet(steady_time now) const {
  const gateway::endpoint* row = this->find_row();
  return row != nullptr &&
         is_quieter_than_pool(
             *row, endpoints_of(this->record.context.state.endpoints, row->listing.pool), now);
}

void endpoint_attempt::suspect_crash() {
  const gateway::endpoint* row = this->find_row();
  // A retired version's endpoints are stopped with requests in flight.
  if (row != nullptr && !is_retired(this->record.context.state.rollouts, *row)) {
    record_crash(this->record.context.state.suspects, {this->record.fingerprint, row->hash},
                 this->record.context.time.now());
    this->suspect_parts(*row);
  }
}

void endpoint_attempt::suspect_parts(const gateway::endpoint& row) {
  const steady_time now = this->record.context.time.now();
  const std::optional<steady_time> began_at = this->entry().first_bytes_at;
  if (began_at && now - *began_at > gateway::crash_onset) {
    clear_parts(this->record);
    return;
  }
  record_part_crash(this->record.context.state.parts, {row.hash, hash_text(row.listing.pool.value)},
                    this->record.request.prompt, now);
  review_crashing_parts(this->record.context, this->record.request.id, now);
}

void endpoint_attempt::note_misplaced() {
  if (gateway::endpoint* row = this->find_row()) {
    row->misplaced = true;
  }
}

void endpoint_attempt::pause(bool paused) {
  this->call.link->pause(paused);
}

void endpoint_attempt::note_forwarding(steady_time now) {
  this->call.progress_at = now;
  attempt_record& row = this->entry();
  if (!row.first_bytes_at && this->record.admitted->taken_route->streams) {
    this->note_first_answer(now);
  }
  if (gateway::endpoint* endpoint = this->call.is_counted ? this->find_row() : nullptr) {
    endpoint->heard_at = now;
  }
  row.first_bytes_at = row.first_bytes_at.value_or(now);
  row.last_bytes_at = now;
}

std::size_t endpoint_attempt::buffer(std::string_view bytes) {
  this->call.buffered.append(bytes);
  this->counted_buffer.set(overload::heap_bytes(this->call.buffered));
  return this->call.buffered.size();
}

std::string endpoint_attempt::take_buffered() {
  this->counted_buffer.set(0);
  return std::exchange(this->call.buffered, {});
}

void endpoint_attempt::on_answer(gateway::endpoint_answer& answer, const http_head& head) {
  this->call.answered = true;
  this->call.progress_at = this->record.context.time.now();
  this->call.answer = std::move(answer);
  handle_endpoint_notices(this->record.context, this->call.endpoint, this->call.incarnation,
                          this->call.answer, this->record.request.id);
  if (is_success(this->call.answer.status) && !this->record.admitted->taken_route->streams) {
    this->note_first_answer(this->call.progress_at);
  }
  this->listener.on_answer(*this, head);
}

void endpoint_attempt::on_answer_body(std::string_view bytes) {
  if (!this->record.admitted->taken_route->streams) {
    this->call.progress_at = this->record.context.time.now();
  }
  this->listener.on_answer_body(*this, bytes);
}

void endpoint_attempt::on_answer_end() {
  this->listener.on_answer_end(*this);
}

void endpoint_attempt::on_call_failed(call_failure failure) {
  this->listener.on_attempt_failed(*this, failure);
}

}  // namespace chestnuthead::traffic
