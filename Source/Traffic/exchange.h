#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/ids.h"

#include "Gateway/admission.h"
#include "Gateway/attempt_rules.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/event_stream.h"
#include "Gateway/request.h"
#include "Traffic/attempt_log.h"
#include "Traffic/endpoint_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/standby_link.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Receives the answer to one request and sends it to the caller.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  /// Sends a complete answer. `headers` are lines "Name: value\r\n".
  virtual void send_whole(int status, std::string_view headers, std::string_view body) = 0;
  /// Starts an answer whose length is not known yet, with its first bytes.
  virtual void begin_stream(int status, std::string_view headers, std::string_view first) = 0;
  virtual void send_more(std::string_view bytes) = 0;
  virtual void end_stream() = 0;
  /// Closes the connection, so that the caller detects an incomplete answer.
  virtual void abort_answer() = 0;
  /// Buffered bytes that the caller has not received yet.
  [[nodiscard]] virtual std::size_t unsent() const = 0;
  /// The exchange has ended; the sink may dispose of it.
  virtual void on_exchange_end() = 0;
};

/// One caller's request, from its arrival to the end of its answer: admission, choice of an
/// endpoint, attempts, retries and the forwarding of the answer.
class exchange : public disposable, public call_listener {
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

  void on_answer(gateway::endpoint_answer& answer, const http_head& head) override;
  void on_answer_body(std::string_view bytes) override;
  void on_answer_end() override;
  void on_call_failed(call_failure failure) override;

 private:
  /// State of the call at the present endpoint.
  struct call_state {
    endpoint_link* link = nullptr;
    endpoint_id endpoint;
    /// Software version of the endpoint when the request was sent.
    std::string version;
    /// When the endpoint last made progress: it sent the answer's head, bytes of its body or,
    /// in a stream, a whole event.
    steady_time progress_at{};
    /// The answer's head was received.
    bool answered = false;
    /// The call has waited so long that this was counted against its endpoint.
    bool long_wait_reported = false;
    gateway::endpoint_answer answer;
    /// The answer is forwarded to the caller while it is received.
    bool forwarding = false;
    /// Body of an answer that is buffered until it is complete.
    std::string buffered;
  };

  /// Counts the request in its pool's resend budget and sends it.
  void send_first_time();
  void send_to_endpoint();
  /// True if the request goes on with a stream that has begun.
  [[nodiscard]] bool is_resumption() const;
  [[nodiscard]] gateway::resumption resumption() const;
  /// Sends a request that goes on with a stream to an endpoint of the pool and version that
  /// began it. Until these are known the request waits; if they stay unknown, or no endpoint
  /// has that version, the request is refused.
  void resume_stream(steady_time now);
  /// Records in which pool and at which version the stream began.
  void note_stream_origin(steady_time now);
  /// Finds the endpoints that hold shorter prefixes of the request, from which the chosen
  /// endpoint could copy one. Most endpoints hold the shortest prefix, so this is done only if
  /// the endpoint was not chosen for holding the prefix itself.
  void find_shorter_holders(steady_time now);
  /// How old the information about the requests that peers send can be.
  [[nodiscard]] std::chrono::duration<double> load_staleness() const;
  /// `gateway::placement_hints::expected_arrivals` for the request's pool.
  [[nodiscard]] double expected_arrivals(steady_time now) const;
  /// Chooses the versions that the request may be sent to.
  void update_scope(steady_time now);
  /// Chooses an endpoint among those whose versions the request may be sent to.
  [[nodiscard]] gateway::placement_choice choose(steady_time now);
  /// Updates the placement inputs that change with time.
  void update_hints(steady_time now);
  /// Which connections may carry the request. One that may run only once must not be taken for
  /// rejected because of a late copy of an earlier answer: it would be sent again.
  [[nodiscard]] link_history wanted_history() const;
  /// A connection to the endpoint within this gateway's share of its connections, or nullptr.
  [[nodiscard]] endpoint_link* connect_to(const gateway::endpoint& row);
  /// Adds an attempt at the endpoint, which becomes the present one.
  void begin_attempt(const gateway::placement& chosen, steady_time now);
  [[nodiscard]] bool open_call(const gateway::placement& chosen, steady_time now);
  void start_call(const gateway::placement& chosen, endpoint_link& link, steady_time now);
  /// The endpoint to which the standby connection leads, if it can take the request now.
  [[nodiscard]] gateway::endpoint* standby_endpoint(steady_time now);
  /// Sends the request on the standby connection; false if there is none that can be used.
  [[nodiscard]] bool use_standby(steady_time now);
  /// Moves the request to another endpoint if one can take it now. The present call goes on
  /// until then: its endpoint may only be silent.
  [[nodiscard]] bool move_to_another(gateway::attempt_result result, steady_time now);
  /// Opens a connection to an endpoint that could take the request.
  void prepare_standby(steady_time now);
  void drop_failed_standby();
  /// Records the result of the latest attempt.
  void end_attempt(std::string_view result);
  [[nodiscard]] std::string encode_call(const gateway::endpoint& row, steady_time now) const;
  /// Ends the latest attempt and applies its result to the health of its endpoint.
  void close_call(gateway::attempt_result result);
  /// Applies the result to the endpoint's health, and logs an ejection.
  void note_health(gateway::endpoint& row, gateway::attempt_result result);
  /// Records that the request may have crashed the endpoint.
  void suspect_crash();
  /// Records that one of the prompt's parts may have crashed the endpoint.
  void suspect_parts(const gateway::endpoint& row);
  /// Records that the parts of the prompt did not crash the endpoint.
  void clear_parts();
  /// Ends a request whose prompt has a refused part. Returns true if it has one.
  bool end_with_refused_part(steady_time now);
  /// Does the same for a request that waits for its answer at an endpoint, so that it does not
  /// crash this endpoint too.
  bool withdraw_with_refused_part(steady_time now);
  /// Cancels the call at the present endpoint, which is not at fault.
  void cancel_call(std::string_view result);
  /// Does the same, and no longer counts the call as an execution if nothing of it was sent.
  void withdraw_call(std::string_view result);
  /// Counts a long wait against the endpoint, at most once for each call.
  void report_long_wait(steady_time now);
  /// `gateway::obstacle_to_resend` now.
  [[nodiscard]] gateway::resend_obstacle find_obstacle(steady_time now) const;
  /// Keeps a stream that has begun open without a call if an endpoint may be able to resume it
  /// soon; false if there is no such hope.
  [[nodiscard]] bool wait_for_endpoint(steady_time now);
  /// Waits for an endpoint if there is such hope; otherwise cuts the answer that has begun.
  void wait_or_cut(steady_time now);
  /// Searches for an endpoint again while the request waits for one.
  void end_wait(steady_time now);
  /// Takes the next step after an attempt: a retry, or an answer to the caller.
  void continue_after(gateway::attempt_end end);
  void start_forwarding();
  void forward_bytes(std::string_view bytes);
  /// Cancels the call at the present endpoint and decides on the next step.
  void abandon_call(gateway::attempt_result result, gateway::attempt_end end);
  /// Cancels a call whose answer is endless or invalid, before any of it was forwarded.
  void abandon_answer();
  void finish_answer();
  void finish_stream();
  void time_out();
  void refuse(const gateway::refusal& why);
  void answer_error(error_kind kind, std::chrono::milliseconds retry_after);
  /// Ends the exchange: updates the metrics and writes the log.
  void conclude(std::string_view outcome, int status);
  /// Failed, retried and slow requests are logged, and a sample of the others.
  [[nodiscard]] bool is_logged(std::string_view outcome, steady_time now) const;
  [[nodiscard]] std::vector<log_field> summary_fields(std::string_view outcome, int status,
                                                      steady_time now) const;
  /// The pool as a metric label.
  [[nodiscard]] std::string pool_label() const;

  traffic_context& context;
  answer_sink& sink;
  gateway::caller_request request;
  std::string body;
  std::optional<gateway::admission> admitted;
  gateway::attempt_history history;
  gateway::placement_hints hints;
  gateway::version_choice version_choice = gateway::version_choice::settled;
  /// The version that began the stream, once that is known.
  std::optional<std::string> stream_version;
  /// The request waits until it is known which version began its stream.
  bool awaits_origin = false;
  /// The attempts so far, in order.
  std::vector<attempt_record> attempts;
  call_state call;
  std::unique_ptr<standby_link> standby;
  /// When to search for another endpoint again.
  steady_time next_search_at{};
  /// Until when a stream that has begun waits for an endpoint to resume it.
  std::optional<steady_time> wait_until;
  gateway::event_splitter events;
  gateway::no_choice last_no_choice = gateway::no_choice::none_in_service;
  /// Why the request was not sent to another endpoint after its latest attempt.
  gateway::resend_obstacle not_resent = gateway::resend_obstacle::none;
  /// Headers and status of the answer that is being forwarded.
  std::string stream_headers;
  int stream_status = 0;
  steady_time arrived_at{};
  std::uint64_t fingerprint = 0;
  /// The prompt part because of which the request was ended.
  std::optional<std::uint64_t> refused_part;
  /// `gateway::shorter_prefixes` of the request.
  std::vector<std::uint64_t> shorter_prefixes;
  /// `affinity_of` the request.
  std::uint64_t prefix = 0;
  std::optional<steady_time> first_bytes_at;
  /// When bytes were last forwarded to the caller.
  steady_time last_events_at{};
  bool over = false;
};

}  // namespace chestnuthead::traffic
