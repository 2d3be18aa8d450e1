#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/endpoint_health.h"
#include "Gateway/placement.h"
#include "Gateway/request.h"
#include "Traffic/answer_stream.h"
#include "Traffic/endpoint_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/request_record.h"

namespace chestnuthead::traffic {

class endpoint_attempt;

/// Receives the events of the attempts of one request.
class attempt_listener {
 public:
  virtual ~attempt_listener() = default;

  virtual void on_answer(endpoint_attempt& from, const http_head& head) = 0;
  virtual void on_answer_body(endpoint_attempt& from, std::string_view bytes) = 0;
  virtual void on_answer_end(endpoint_attempt& from) = 0;
  /// The connection has failed; no further event of this attempt follows.
  virtual void on_attempt_failed(endpoint_attempt& from, call_failure failure) = 0;
};

/// One attempt of a request at one endpoint: its connection, its answer so far, its entry in
/// `request_record::attempts`, and its effect on what is known about the endpoint. It does not
/// decide what happens after it. Dispose of it through the event loop, as it may be in a callback.
class endpoint_attempt : public disposable, public call_listener {
 public:
  /// Adds the attempt to the request's record. `chosen` need not outlive the call.
  endpoint_attempt(request_record& record, const answer_stream& stream, attempt_listener& listener,
                   const gateway::placement& chosen, steady_time now);

  /// Sends the request on `link`. All requests to endpoints are sent here. The attempt may already
  /// have failed when this returns. Returns false, and sends nothing, if the endpoint has reported
  /// that it is leaving.
  bool start(const gateway::placement& chosen, endpoint_link& link, steady_time now);
  /// The request was sent, and its call has neither ended nor been cancelled.
  [[nodiscard]] bool in_progress() const {
    return this->call.link != nullptr;
  }

  /// Its connection is open.
  [[nodiscard]] bool is_open() const {
    return this->call.link->is_open();
  }

  /// Records the result of the attempt.
  void end(std::string_view result);
  /// Ends the attempt and applies its result to the health of its endpoint.
  void close(gateway::attempt_result result);
  /// Cancels the call, and then does the same.
  void abandon(gateway::attempt_result result);
  /// Cancels the call at the endpoint, which is not at fault.
  void cancel(std::string_view result);
  /// Does the same, and no longer counts the call as an execution if nothing of it was sent.
  void withdraw(std::string_view result);

  /// Ends an attempt whose answer was cut off because the gateway did not read it, for which the
  /// endpoint is not at fault.
  void end_unread();

  /// Counts a long wait against the endpoint, at most once for each call.
  void report_long_wait(steady_time now);
  /// Records that the request may have crashed the endpoint.
  void suspect_crash();
  /// Records that the endpoint does not serve the pool that it was chosen for.
  void note_misplaced();

  /// Stops or resumes reading the answer.
  void pause(bool paused);
  void note_progress(steady_time now) {
    this->call.progress_at = now;
  }
  /// Records that bytes of the answer are forwarded to the caller.
  void note_forwarding(steady_time now);
  /// Records that the endpoint rejected the request because it was full.
  void note_rejected();
  /// True if the endpoint is silent while the others of its pool answer.
  [[nodiscard]] bool is_endpoint_quiet(steady_time now) const;
  void start_forwarding() {
    this->call.forwarding = true;
  }
  /// Records that the request was sent here while another attempt was in progress.
  void mark_hedged() {
    this->entry().hedged = true;
  }
  /// Adds bytes to the buffered body of the answer and returns its size.
  std::size_t buffer(std::string_view bytes);
  [[nodiscard]] std::string take_buffered();

  // The fields of `call_state`.
  [[nodiscard]] const gateway::endpoint_answer& answer() const {
    return this->call.answer;
  }
  [[nodiscard]] const std::string& buffered() const {
    return this->call.buffered;
  }
  [[nodiscard]] const std::string& version() const {
    return this->call.version;
  }
  [[nodiscard]] steady_time progress_at() const {
    return this->call.progress_at;
  }
  /// When the request was sent.
  [[nodiscard]] steady_time sent_at() const {
    return this->call.sent_at;
  }
  /// No other attempt of the request was sent before it.
  [[nodiscard]] bool was_first() const {
    return this->call.first;
  }
  [[nodiscard]] bool was_hedged() const {
    return this->record.attempts[this->number].hedged;
  }
  /// Index in `request_record::attempts`.
  [[nodiscard]] std::size_t index() const {
    return this->number;
  }
  [[nodiscard]] bool is_answered() const {
    return this->call.answered;
  }
  [[nodiscard]] bool is_forwarding() const {
    return this->call.forwarding;
  }

  void on_answer(gateway::endpoint_answer& answer, const http_head& head) override;
  void on_answer_body(std::string_view bytes) override;
  void on_answer_end() override;
  void on_call_failed(call_failure failure) override;

 private:
  /// State of the call at the endpoint.
  struct call_state {
    endpoint_link* link = nullptr;
    endpoint_id endpoint;
    /// The endpoint's incarnation when the request was sent.
    gateway::incarnation_id incarnation;
    /// Software version of the endpoint when the request was sent.
    std::string version;
    steady_time sent_at{};
    /// No other attempt of the request was sent before.
    bool first = false;
    /// When the endpoint last made progress: it sent the answer's head, bytes of its body or,
    /// in a stream, a whole event.
    steady_time progress_at{};
    /// The answer's head was received.
    bool answered = false;
    /// The call has waited so long that this was counted against its endpoint.
    bool long_wait_reported = false;
    /// The call is counted in the state of its pool's overload control, with these tokens.
    bool is_counted = false;
    std::uint32_t tokens = 0;
    gateway::endpoint_answer answer;
    /// The answer is forwarded to the caller while it is received.
    bool forwarding = false;
    /// Body of an answer that is buffered until it is complete.
    std::string buffered;
  };

  /// The entry of this attempt in the request's record.
  [[nodiscard]] attempt_record& entry() {
    return this->record.attempts[this->number];
  }
  /// The endpoint's row, or nullptr if the endpoint is no longer known.
  [[nodiscard]] gateway::endpoint* find_row() const;
  [[nodiscard]] std::string encode_call(const gateway::endpoint& row, steady_time now) const;
  /// Gives up a call to an endpoint that is leaving before anything is sent.
  void refuse_leaving(const gateway::endpoint& row, endpoint_link& link);
  /// Counts and logs the request if the endpoint is cold.
  void report_cold_request(const gateway::endpoint& row, steady_time now) const;
  /// Records the result of the call, which no longer counts as in flight.
  void end_call(std::string_view result);
  /// Counts the call in its pool's overload control, and no longer counts it.
  void count_start(gateway::endpoint& row, steady_time now);
  void count_end();
  /// Applies what the result shows about the capacity of the pool.
  void note_sign(overload::capacity_sign sign, steady_time now);
  /// Applies whether the first event or the plain answer came in time.
  void note_first_answer(steady_time now);
  /// Records that one of the prompt's parts may have crashed the endpoint.
  void suspect_parts(const gateway::endpoint& row);

  request_record& record;
  const answer_stream& stream;
  attempt_listener& listener;
  /// Index in `request_record::attempts`.
  std::size_t number;
  call_state call;
  overload::counted_bytes counted_buffer;
};

}  // namespace chestnuthead::traffic
