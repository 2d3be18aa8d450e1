// Handles the answers of attempts: forwards them to the caller or decides on the next step.

#include <cstddef>
#include <string>

#include "Traffic/exchange.h"

namespace chestnuthead::traffic {

namespace {

using gateway::attempt_end;
using gateway::attempt_result;

constexpr int first_server_error = 500;

/// Statuses from which the caller may conclude that its request was not executed.
bool promises_no_execution(int status) {
  constexpr int request_timeout = 408;
  constexpr int misdirected = 421;
  constexpr int too_many_requests = 429;
  constexpr int unavailable = 503;
  return status == request_timeout || status == misdirected || status == too_many_requests ||
         status == unavailable;
}

}  // namespace

void exchange::on_answer(endpoint_attempt& from, const http_head& head) {
  if (!is_success(from.answer().status)) {
    return;
  }
  if (!from.answer().is_signed) {
    this->abandon_call(from, attempt_result::broken, attempt_end::unknown);
    return;
  }
  if (this->record.admitted->taken_route->streams ||
      head.length.value_or(0) > answer_limit(this->record.context.state.memory)) {
    this->start_forwarding(from);
  }
}

void exchange::start_forwarding(endpoint_attempt& from) {
  from.start_forwarding();
  this->stream.begin_answer(from.answer());
}

void exchange::on_answer_body(endpoint_attempt& from, std::string_view bytes) {
  if (from.is_forwarding()) {
    this->receive_bytes(from, bytes);
    return;
  }
  if (from.buffer(bytes) <= answer_limit(this->record.context.state.memory)) {
    return;
  }
  if (is_success(from.answer().status)) {
    this->start_forwarding(from);
    this->receive_bytes(from, from.take_buffered());
  } else {
    this->abandon_answer(from);
  }
}

void exchange::abandon_call(endpoint_attempt& given_up, attempt_result result, attempt_end end) {
  this->stream.drop_partial();
  if (result == attempt_result::slow || result == attempt_result::silent) {
    this->learn_wait(given_up, this->record.context.time.now());
  }
  given_up.abandon(result);
  this->continue_after(given_up, end);
}

void exchange::abandon_answer(endpoint_attempt& given_up) {
  const gateway::endpoint_answer& received = given_up.answer();
  const bool not_executed = received.not_executed || received.wrong_endpoint;
  // Events that were parsed but not forwarded must be sent again by the next endpoint.
  this->stream.restart();
  this->abandon_call(given_up, attempt_result::broken,
                     not_executed ? attempt_end::not_executed : attempt_end::unknown);
}

void exchange::forward_bytes(endpoint_attempt& from, std::string_view bytes) {
  const bool answer_begun = this->record.history.answer_begun;
  const std::string whole = this->stream.take_whole(bytes);
  if (!this->stream.is_sound() && !answer_begun) {
    this->abandon_answer(from);
    return;
  }
  if (!this->stream.is_sound()) {
    from.abandon(attempt_result::broken);
    this->answer.cut("events_out_of_order");
    return;
  }
  if (whole.empty()) {
    return;
  }
  const steady_time now = this->record.context.time.now();
  from.note_forwarding(now);
  if (!answer_begun) {
    this->learn_wait(from, now);
    this->stream.note_origin(from.version(), now);
    this->answer.begin_stream(this->stream.status(), this->stream.headers(), whole, now);
  } else {
    this->answer.send_more(whole, now);
  }
  if (this->record.phase != request_phase::ended && from.in_progress()) {
    from.pause(this->answer.caller_lags());
  }
}

void exchange::on_answer_end(endpoint_attempt& from) {
  const gateway::endpoint_answer& received = from.answer();
  if (is_success(received.status)) {
    this->finish_answer(from);
    return;
  }
  if (received.wrong_endpoint) {
    from.note_misplaced();
  }
  if (received.not_executed || received.wrong_endpoint) {
    from.note_rejected();
    from.close(attempt_result::answered);
    this->continue_after(from, attempt_end::not_executed, !received.wrong_endpoint);
    return;
  }
  const bool failed =
      received.status >= first_server_error || promises_no_execution(received.status);
  const bool is_overload = promises_no_execution(received.status) &&
                           is_pool_short(this->record, this->record.context.time.now());
  // An endpoint that asks for a pause is healthy.
  const bool is_fault = failed && !received.pause && !is_overload;
  from.close(is_fault ? attempt_result::error_answer : attempt_result::answered);
  if (promises_no_execution(received.status)) {
    this->continue_after(from, attempt_end::unknown);
  } else if (failed) {
    this->continue_after(from, attempt_end::error_answer);
  } else if (this->record.history.answer_begun) {
    this->answer.cut("cut");
  } else {
    this->settle_on(from);
    this->answer.pass_on("answered", received, from.buffered());
  }
}

void exchange::finish_answer(endpoint_attempt& from) {
  if (from.is_forwarding()) {
    this->finish_stream(from);
    return;
  }
  this->settle_on(from);
  this->learn_wait(from, this->record.context.time.now());
  from.close(attempt_result::answered);
  this->answer.pass_on("answered", from.answer(), from.buffered());
}

void exchange::finish_stream(endpoint_attempt& from) {
  // A stream ends after an event, however its end is framed.
  if (this->stream.ends_inside_event() || !from.buffered().empty()) {
    from.close(attempt_result::broken);
    this->stream.drop_partial();
    this->continue_after(from, attempt_end::unknown);
    return;
  }
  this->settle_on(from);
  from.close(attempt_result::answered);
  if (!this->record.history.answer_begun) {
    this->answer.send_whole("answered", this->stream.status(), this->stream.headers(), {});
  } else {
    this->answer.end_stream(this->stream.status());
  }
}

void exchange::on_attempt_failed(endpoint_attempt& from, call_failure failure) {
  this->stream.drop_partial();
  if (failure == call_failure::cut_while_paused && this->record.history.answer_begun) {
    from.end_unread();
    this->continue_unread(this->record.context.time.now());
    return;
  }
  if (failure == call_failure::broken) {
    from.suspect_crash();
  }
  const bool sent = failure != call_failure::not_sent;
  if (!sent && from.was_hedged()) {
    this->return_token();
  }
  from.close(sent ? attempt_result::broken : attempt_result::unreachable);
  this->continue_after(from, sent ? attempt_end::unknown : attempt_end::not_executed);
}

}  // namespace chestnuthead::traffic
