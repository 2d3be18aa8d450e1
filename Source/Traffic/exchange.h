#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Gateway/attempt_rules.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/request.h"
#include "Traffic/answer_sink.h"
#include "Traffic/answer_stream.h"
#include "Traffic/caller_answer.h"
#include "Traffic/endpoint_attempt.h"
#include "Traffic/event_loop.h"
#include "Traffic/pool_room.h"
#include "Traffic/request_record.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// One caller's request, from its arrival to the end of its answer: admission, choice of an
/// endpoint, attempts, retries and the forwarding of the answer. It decides what happens next;
/// an attempt at an endpoint (`endpoint_attempt`), the stream that outlives attempts
/// (`answer_stream`) and the answer to the caller (`caller_answer`) are modules of their own.
class exchange : public disposable, public attempt_listener, public room_waiter {
 public:
  exchange(traffic_context& context, answer_sink& sink, gateway::caller_request request,
           std::string body);
  ~exchange() override;
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  /// Admits the request and sends it to an endpoint, or answers it with an error.
  void start();
  /// Checks the timeouts. Call it every few tens of milliseconds.
  void tick(steady_time now);
  /// The gateway is about to close its connections: answers a request whose answer has not begun
  /// with an error. An answer that has begun goes on.
  void end_at_stop();
  /// The caller has disconnected: cancels the call at the endpoint.
  void caller_left();

  void on_answer(endpoint_attempt& from, const http_head& head) override;
  void on_answer_body(endpoint_attempt& from, std::string_view bytes) override;
  void on_answer_end(endpoint_attempt& from) override;
  void on_attempt_failed(endpoint_attempt& from, call_failure failure) override;

  void on_room() override;
  void on_no_room(overload_reason reason) override;

 private:
  /// Counts the request in its pool's resend budget and sends it, if its pool has room.
  void send_first_time();
  void send_to_endpoint();
  /// Answers a request that no endpoint can take, or lets its stream wait for one.
  void end_without_endpoint(gateway::no_choice why, steady_time now);
  /// Sends a request that goes on with a stream to an endpoint of the pool and version that
  /// began it. Until these are known the request waits; if they stay unknown, or no endpoint
  /// has that version, the request is refused.
  void resume_stream(steady_time now);
  /// An attempt is in progress.
  [[nodiscard]] bool is_at_endpoint() const;
  /// Adds an attempt at the endpoint, which becomes the present one.
  endpoint_attempt& begin_attempt(const gateway::placement& chosen, steady_time now);
  [[nodiscard]] bool open_call(const gateway::placement& chosen, steady_time now);
  /// True if a first attempt should wait for an endpoint to prove its incarnation.
  [[nodiscard]] bool may_await_proof(steady_time now) const;
  /// Sends the request on the standby connection; false if there is none that can be used.
  [[nodiscard]] bool use_standby(steady_time now);
  /// Moves the request to another endpoint if one can take it now. The present call goes on
  /// until then: its endpoint may only be silent.
  [[nodiscard]] bool move_to_another(gateway::attempt_result result, steady_time now);
  /// Ends a request whose prompt has a refused part. Returns true if it has one.
  bool end_with_refused_part(steady_time now);
  /// Does the same for a request that waits for its answer at an endpoint, so that it does not
  /// crash this endpoint too.
  bool withdraw_with_refused_part(steady_time now);
  /// Waits for an endpoint if there is such hope; otherwise cuts the answer that has begun.
  void wait_or_cut(steady_time now);
  /// Goes on with an answer that an endpoint cut off because the caller was slow, as soon as the
  /// caller has caught up; cuts it if it can't be resumed.
  void continue_unread(steady_time now);
  /// Searches for an endpoint again while the request waits for one.
  void end_wait(steady_time now);
  /// Takes the next step after an attempt: a retry, or an answer to the caller.
  void continue_after(const endpoint_attempt& last, gateway::attempt_end end,
                      bool from_load = false);
  void start_forwarding(endpoint_attempt& from);
  void forward_bytes(endpoint_attempt& from, std::string_view bytes);
  /// Cancels the call at its endpoint and decides on the next step.
  void abandon_call(endpoint_attempt& given_up, gateway::attempt_result result,
                    gateway::attempt_end end);
  /// Cancels a call whose answer is endless or invalid, before any of it was forwarded.
  void abandon_answer(endpoint_attempt& given_up);
  void finish_answer(endpoint_attempt& from);
  void finish_stream(endpoint_attempt& from);
  /// Checks the timeouts of the present attempt.
  void check_attempt(steady_time now);
  void time_out();

  // Hedged requests, see docs/design/hedged-requests.md.

  /// Records how long the request has waited for its first endpoint, if `from` is that attempt.
  void learn_wait(const endpoint_attempt& from, steady_time now);
  [[nodiscard]] bool is_hedge_due(steady_time now);
  /// Sends the request to a second endpoint as well if that is due and allowed.
  void hedge_if_due(steady_time now);
  void begin_hedge(const gateway::placement& chosen, endpoint_link& link, steady_time now);
  /// Cancels the other attempt, if there is one, because the answer of `winner` is passed on.
  void settle_on(const endpoint_attempt& winner);
  /// Cancels the second attempt, if there is one. Its endpoint is not at fault.
  void drop_hedge(std::string_view result);
  /// Leaves the request to the other attempt, which is in progress; false if there is none.
  [[nodiscard]] bool leave_to_other(const endpoint_attempt& ended);
  /// Makes the head of the answer of the remaining attempt that of the stream: the other attempt
  /// may have replaced it.
  void keep_head();
  /// Forwards bytes of an answer, or keeps them until they show which of two attempts answers.
  void receive_bytes(endpoint_attempt& from, std::string_view bytes);
  /// Counts a long wait against the endpoint of one of two attempts.
  static void report_silence(endpoint_attempt& attempt, std::chrono::milliseconds limit,
                             steady_time now);
  /// Checks the silence of two attempts; false if one of them is not silent.
  [[nodiscard]] bool are_both_silent(std::chrono::milliseconds limit, steady_time now);
  /// Returns the token of a hedged request of which nothing was sent.
  void return_token();

  /// Whether and when the request may be hedged.
  struct hedging_state {
    /// It was hedged. That is done once at most.
    bool used = false;
    /// `due_at` was determined for the present attempt.
    bool due_known = false;
    std::optional<steady_time> due_at;
    /// Earliest time of the next check whether one that is due is allowed.
    steady_time next_check_at{};
    /// An obstacle was counted in the metrics.
    bool obstacle_counted = false;
  };

  request_record record;
  answer_stream stream;
  caller_answer answer;
  /// The latest attempt; nullptr before the first one.
  std::unique_ptr<endpoint_attempt> present;
  /// A second attempt beside the present one. While it is set, both are in progress and no byte
  /// was forwarded to the caller.
  std::unique_ptr<endpoint_attempt> hedge;
  hedging_state hedging;
};

}  // namespace chestnuthead::traffic
