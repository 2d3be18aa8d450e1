#include "Traffic/caller_answer.h"

#include <cstddef>
#include <cstdint>

#include "Traffic/crashing_part_review.h"

namespace chestnuthead::traffic {

namespace {

using std::chrono::milliseconds;

}  // namespace

std::string retry_after_header(milliseconds time) {
  constexpr int milliseconds_a_second = 1'000;
  constexpr std::size_t digits = 3;
  std::string rest = std::to_string(time.count() % milliseconds_a_second);
  rest.insert(0, digits - rest.size(), '0');
  return "Retry-After: " + std::to_string(time.count() / milliseconds_a_second) + "." + rest +
         "\r\n";
}

bool is_success(int status) {
  constexpr int first_success = 200;
  constexpr int last_success = 299;
  return status >= first_success && status <= last_success;
}

caller_answer::caller_answer(request_record& shared, answer_sink& answers)
    : record(shared), sink(answers) {}

void caller_answer::begin_stream(int status, std::string_view headers, std::string_view first,
                                 steady_time now) {
  this->record.history.answer_begun = true;
  this->first_bytes_at = now;
  this->last_events_at = now;
  this->sink.begin_stream(status, headers, first);
  this->record.context.metrics.observe("chestnuthead_first_bytes_seconds", pool_label(this->record),
                                       now - this->record.arrived_at);
}

void caller_answer::send_more(std::string_view bytes, steady_time now) {
  this->record.context.metrics.observe("chestnuthead_event_pause_seconds", pool_label(this->record),
                                       now - this->last_events_at);
  this->last_events_at = now;
  this->sink.send_more(bytes);
}

bool caller_answer::caller_lags() const {
  return this->sink.unsent() > output_limit(this->record.context.state.memory);
}

void caller_answer::end_stream(int status) {
  this->sink.end_stream();
  this->conclude("answered", status);
}

void caller_answer::send_whole(std::string_view outcome, int status, std::string_view headers,
                               std::string_view body) {
  this->sink.send_whole(status, headers, body);
  this->conclude(outcome, status);
}

void caller_answer::pass_on(std::string_view outcome, const gateway::endpoint_answer& answer,
                            std::string_view body) {
  this->send_whole(outcome, answer.status, answer.passed_headers, body);
}

void caller_answer::cut(std::string_view outcome) {
  this->sink.abort_answer();
  this->conclude(outcome, 0);
}

void caller_answer::drop() {
  this->conclude("caller_left", 0);
}

void caller_answer::refuse(const gateway::refusal& why) {
  this->answer_error(why.kind, why.retry_after);
}

void caller_answer::answer_error(error_kind kind, milliseconds retry_after) {
  const error_answer& answer = answer_for(kind);
  std::string headers = "Content-Type: application/json\r\n";
  if (retry_after.count() > 0) {
    headers += retry_after_header(retry_after);
  }
  const std::string text = R"({"error":")" + std::string(answer.name) + R"(","message":")" +
                           std::string(answer.sentence) + "\"}";
  const int status = this->record.context.dialect.status_of(kind);
  this->send_whole(answer.name, status, headers, text);
}

bool caller_answer::is_logged(std::string_view outcome, steady_time now) const {
  // One of this many successful requests is logged, as a sample of normal traffic.
  constexpr std::uint64_t sample = 64;
  if (outcome != "answered" || this->record.history.sends > 1 || !this->record.admitted) {
    return true;
  }
  const steady_time first_at = this->first_bytes_at.value_or(now);
  const bool late =
      first_at - this->record.arrived_at > this->record.admitted->taken_route->latency_objective;
  return late || this->record.fingerprint % sample == 0;
}

std::vector<log_field> caller_answer::summary_fields(std::string_view outcome, int status,
                                                     steady_time now) const {
  const gateway::gateway_state& state = this->record.context.state;
  std::string endpoints;
  for (const endpoint_id& name : this->record.hints.tried) {
    endpoints += endpoints.empty() ? name.value : "," + name.value;
  }
  const auto version = state.services == nullptr
                           ? std::int64_t{0}
                           : static_cast<std::int64_t>(state.services->version);
  std::vector<log_field> fields{
      {"request", this->record.request.id},
      {"outcome", std::string(outcome)},
      {"status", std::int64_t{status}},
      {"elapsed_ms", milliseconds_between(this->record.arrived_at, now)},
      {"configuration_version", version},
      {"configuration_age_ms", milliseconds_between(state.confirmed_at, now)},
      {"gateways", std::int64_t{state.fleet.gateways}}};
  if (this->record.admitted) {
    fields.push_back({"route", this->record.admitted->taken_route->name});
    fields.push_back({"pool", this->record.admitted->taken_pool->name.value});
    fields.push_back({"customer", this->record.admitted->holder.value});
    fields.push_back({"endpoints", endpoints});
    fields.push_back({"sends", std::int64_t{this->record.history.sends}});
    fields.push_back({"executions", std::int64_t{this->record.history.executions}});
  }
  if (!this->record.attempts.empty()) {
    const attempt_record& last = this->record.attempts.at(this->record.deciding_attempt);
    fields.push_back({"chosen_by", std::string(name_of(last.reason))});
    fields.push_back({"endpoint_load", last.load});
    fields.push_back({"load_bound", last.load_bound});
    fields.push_back({"version_choice", std::string(name_of(last.version_choice))});
    fields.push_back({"holders", static_cast<std::int64_t>(last.holders)});
    fields.push_back({"reason", std::string(last.result)});
    fields.push_back({"endpoint_status", std::int64_t{last.status}});
    fields.push_back({"events", static_cast<std::int64_t>(last.events)});
    fields.push_back({"not_resent", std::string(name_of(this->record.not_resent))});
  }
  if (this->record.request.last_event) {
    fields.push_back({"resumes", this->record.request.resumed_id});
  }
  if (this->record.stream_version) {
    fields.push_back({"stream_version", *this->record.stream_version});
  }
  if (this->record.refused_part) {
    fields.push_back({"refused_part", part_text(*this->record.refused_part)});
  }
  if (this->first_bytes_at) {
    fields.push_back(
        {"first_bytes_ms", milliseconds_between(this->record.arrived_at, *this->first_bytes_at)});
  }
  return fields;
}

void caller_answer::conclude(std::string_view outcome, int status) {
  this->record.phase = request_phase::ended;
  this->record.standby.reset();
  const steady_time now = this->record.context.time.now();
  if (outcome == "answered" && is_success(status)) {
    clear_parts(this->record);
  }
  this->record.context.metrics.count(
      "chestnuthead_requests_total",
      pool_label(this->record) + ",outcome=\"" + std::string(outcome) + "\"");
  if (outcome != "answered" && this->record.not_resent != gateway::resend_obstacle::none) {
    this->record.context.metrics.count("chestnuthead_requests_not_resent_total",
                                       pool_label(this->record) + ",obstacle=\"" +
                                           std::string(name_of(this->record.not_resent)) + "\"");
  }
  this->record.context.metrics.observe("chestnuthead_request_seconds", pool_label(this->record),
                                       now - this->record.arrived_at);
  if (this->is_logged(outcome, now)) {
    if (this->record.attempts.size() > 1) {
      log_attempts(this->record.context.log, this->record.request.id, this->record.attempts,
                   this->record.arrived_at);
    }
    this->record.context.log.write(log_level::info, "request_ended",
                                   this->summary_fields(outcome, status, now));
  }
  this->sink.on_exchange_end();
}

}  // namespace chestnuthead::traffic
