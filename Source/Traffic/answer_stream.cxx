#include "Traffic/answer_stream.h"

#include <algorithm>
#include <chrono>

#include "Base/hashing.h"
#include "Traffic/endpoint_choice.h"

namespace chestnuthead::traffic {

namespace {

/// How long a stream that has begun waits for an endpoint that can resume it. Callers tolerate
/// pauses of two seconds.
constexpr std::chrono::milliseconds longest_wait_for_endpoint{1'000};

}  // namespace

answer_stream::answer_stream(request_record& shared) : record(shared) {
  this->splitter.last_event = this->record.request.last_event;
}

bool answer_stream::is_resumption() const {
  return this->record.request.last_event && this->record.admitted->taken_route->resumable;
}

gateway::resumption answer_stream::resumption() const {
  gateway::resumption wanted;
  wanted.arrived_at = this->record.arrived_at;
  if (!this->record.request.resumed_id.empty()) {
    wanted.began_as = hash_text(this->record.request.resumed_id);
  }
  return wanted;
}

gateway::resumption_step answer_stream::find_origin(steady_time now) {
  gateway::gateway_state& state = this->record.context.state;
  const gateway::resumption_choice choice =
      choose_resumption(state, *this->record.admitted, this->resumption(),
                        next_unit(this->record.context.random), now);
  this->record.stream_version = choice.version;
  if (choice.step == gateway::resumption_step::send) {
    this->record.admitted->taken_pool = choice.taken_pool;
  } else if (choice.step == gateway::resumption_step::wait) {
    state.streams.records_wanted = true;
    state.streams.endpoints_wanted = state.streams.endpoints_as_of < this->record.arrived_at;
  }
  return choice.step;
}

void answer_stream::note_origin(const std::string& version, steady_time now) {
  this->record.stream_version = this->record.stream_version.value_or(version);
  const gateway::caller_request& request = this->record.request;
  const std::string& began_as = request.last_event ? request.resumed_id : request.id;
  if (this->record.admitted->taken_route->resumable && !began_as.empty()) {
    note_stream(this->record.context.state.streams,
                {hash_text(began_as), *this->record.stream_version,
                 this->record.admitted->taken_pool->name},
                now);
  }
}

void answer_stream::begin_answer(const gateway::endpoint_answer& answer) {
  // A stream that is resumed at another endpoint keeps the head of the first answer.
  if (!this->record.history.answer_begun) {
    this->first_headers = answer.passed_headers;
    this->first_status = answer.status;
  }
}

std::string answer_stream::take_whole(std::string_view bytes) {
  if (!this->record.admitted->taken_route->streams) {
    return std::string(bytes);
  }
  std::string whole;
  split_events(this->splitter, bytes, whole);
  return whole;
}

void answer_stream::drop_partial() {
  this->splitter.partial.clear();
}

void answer_stream::restart() {
  this->splitter = gateway::event_splitter{};
  this->splitter.last_event = this->record.request.last_event;
}

bool answer_stream::wait_for_endpoint(steady_time now) {
  const gateway::resend_obstacle obstacle = this->record.not_resent;
  const bool may_change = obstacle == gateway::resend_obstacle::no_endpoint ||
                          obstacle == gateway::resend_obstacle::no_budget;
  if (!may_change || !this->record.admitted->taken_route->resumable) {
    return false;
  }
  if (!this->wait_until) {
    this->wait_until = std::min(now + longest_wait_for_endpoint, this->record.admitted->answer_by);
    // Endpoints that rejected the request or were silent may be able to take it again.
    this->record.hints.tried.clear();
  }
  delay_search(this->record, now);
  if (now >= *this->wait_until) {
    return false;
  }
  this->record.phase = request_phase::awaits_endpoint;
  return true;
}

}  // namespace chestnuthead::traffic
