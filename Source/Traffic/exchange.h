#pragma once

#include <chrono>
#include <cstdint>
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
#include "Traffic/endpoint_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/request_story.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Where the answer to one request goes.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  /// A whole answer. `headers` are lines "Name: value\r\n".
  virtual void send_whole(int status, std::string_view headers, std::string_view body) = 0;
  /// An answer whose length is not known yet, with its first bytes.
  virtual void begin_stream(int status, std::string_view headers, std::string_view first) = 0;
  virtual void send_more(std::string_view bytes) = 0;
  virtual void end_stream() = 0;
  /// Closes the connection, so that the caller sees an incomplete answer.
  virtual void cut() = 0;
  /// Bytes that the caller has not taken yet.
  [[nodiscard]] virtual std::size_t unsent() const = 0;
  /// The exchange is over and is not used any more.
  virtual void exchange_over() = 0;
};

/// One caller's request, from its arrival to the end of its answer.
class exchange : public disposable, public call_listener {
 public:
  exchange(traffic_context& context, answer_sink& sink, gateway::caller_request request,
           std::string body);
  ~exchange() override;
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  /// Admits the request and sends it, or answers it at once.
  void start();
  /// Looks for times that have passed. Call it every few tens of milliseconds.
  void tick(steady_time now);
  /// The caller has gone away: the endpoint is told to stop.
  void caller_left();

  void on_answer(gateway::endpoint_answer& answer, const http_head& head) override;
  void on_answer_body(std::string_view bytes) override;
  void on_answer_end() override;
  void on_call_failed(call_failure failure) override;

 private:
  /// What is known of the call at the present endpoint.
  struct call_state {
    endpoint_link* link = nullptr;
    endpoint_id endpoint;
    /// When the endpoint last sent something of use: the answer's head, bytes of its
    /// body, or a whole event of a stream.
    steady_time progress_at{};
    /// An answer's head has come.
    bool answered = false;
    /// The call has waited so long that its endpoint was doubted.
    bool doubted = false;
    gateway::endpoint_answer answer;
    /// The answer goes to the caller as it comes.
    bool passing = false;
    bool length_known = false;
    /// Body of an answer that is held until it is whole.
    std::string held;
  };

  void send_to_endpoint();
  /// Finds who holds shorter prefixes of the request, for an endpoint that may have to copy
  /// one. Most endpoints hold the shortest, so it is not done for each request.
  void find_shorter_holders(steady_time now);
  /// Time of which the peers' requests are not known.
  [[nodiscard]] std::chrono::duration<double> unknown_time() const;
  /// `gateway::placement_hints::expected_meanwhile` for the request's pool.
  [[nodiscard]] double expected_meanwhile(steady_time now) const;
  [[nodiscard]] bool open_call(const gateway::placement& chosen, steady_time now);
  /// Notes how the latest attempt ended.
  void end_attempt(std::string_view result);
  [[nodiscard]] std::string encode_call(const gateway::endpoint& row, steady_time now) const;
  void close_call(gateway::attempt_result result);
  void suspect_crash();
  void doubt_endpoint(steady_time now);
  void after(gateway::attempt_end end);
  void start_passing();
  void pass_bytes(std::string_view bytes);
  /// Gives up the call at the present endpoint and does what follows.
  void leave_call(gateway::attempt_result result, gateway::attempt_end end);
  /// Gives up an answer that goes on without end or sense before the caller has any of
  /// it.
  void abandon_answer();
  void take_whole_answer();
  void finish_stream();
  void time_out();
  void refuse(const gateway::refusal& why);
  void answer_error(error_kind kind, std::chrono::milliseconds retry_after);
  void conclude(std::string_view outcome, int status);
  /// Failed, repeated and late requests are logged, and a sample of the others.
  [[nodiscard]] bool is_logged(std::string_view outcome, steady_time now) const;
  [[nodiscard]] std::vector<log_field> story(std::string_view outcome, int status,
                                             steady_time now) const;
  /// The pool as a label of metrics.
  [[nodiscard]] std::string pool_label() const;
  [[nodiscard]] bool may_wait_elsewhere() const;

  traffic_context& context;
  answer_sink& sink;
  gateway::caller_request request;
  std::string body;
  std::optional<gateway::admission> taken;
  gateway::attempt_history history;
  gateway::placement_hints hints;
  /// Endpoints chosen up to now, in order.
  std::vector<attempt_record> attempts;
  call_state call;
  gateway::event_splitter events;
  gateway::no_choice last_no_choice = gateway::no_choice::none_in_service;
  /// Headers and status of the answer that is being passed on.
  std::string stream_headers;
  int stream_status = 0;
  steady_time arrived_at{};
  std::uint64_t fingerprint = 0;
  /// `gateway::shorter_prefixes` of the request.
  std::vector<std::uint64_t> shorter_prefixes;
  /// `affinity_of` the request.
  std::uint64_t prefix = 0;
  std::optional<steady_time> first_bytes_at;
  /// When events were passed to the caller last.
  steady_time last_events_at{};
  bool over = false;
};

}  // namespace chestnuthead::traffic
