#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Fakes/scripted_endpoint.h"
#include "soak_proxy.h"
#include "soak_tasks.h"

namespace chestnuthead::soak {

/// One execution of a request by an endpoint.
struct execution {
  std::string endpoint;
  std::string customer;
  steady_time at{};
  /// The endpoint has sent its whole answer.
  bool finished = false;
  /// The answer had neither a length nor chunks.
  bool unframed = false;
  /// The answer ended inside an event.
  bool broken_off = false;
};
/// All executions, by request id.
using execution_log = std::map<std::string, std::vector<execution>>;

/// Number of events in the stream that answers a request.
int event_count(const std::string& request);
/// The event of that stream with this number, from 1.
std::string format_event(const std::string& request, int number);

/// An endpoint behind a fault-injecting proxy that can also fail requests itself.
class soak_endpoint {
 public:
  soak_endpoint(traffic::event_loop& loop, task_queue& tasks, const clock& time,
                execution_log& executions, std::string name, std::uint64_t seed);

  /// Share of requests, from 0 to 1, that are executed and answered with an error.
  double error_answer_share = 0.0;
  /// Share of requests, from 0 to 1, that are executed and whose connection is then reset.
  double lost_answer_share = 0.0;

  /// Called with the request when an answer to a prompt that crashes endpoints has begun. If it
  /// is empty, no prompt crashes the endpoint.
  std::function<void(const std::string&)> on_crash;

  /// Called, if set, when a request has arrived.
  std::function<void()> on_request;

  /// Until this time the endpoint sends nothing, not even answers to health checks.
  steady_time silent_until{};

  /// Answers have neither a length nor chunks and end with their connection. A few streams end
  /// inside an event.
  bool unframed = false;

  /// Version of the endpoint's software, in its row.
  std::string version;
  /// Name of the endpoint's software in the events of writings: two pools differ in software even
  /// if its versions have the same name.
  std::string software;

  /// The endpoint announces in its answers that it is leaving.
  bool leaving = false;

  /// Until this time the endpoint is cold, which its row and its answers to health checks say.
  steady_time cold_until{};

  const std::string name;
  [[nodiscard]] bool is_down() const {
    return this->front_proxy.down;
  }
  fault_proxy& proxy() {
    return this->front_proxy;
  }

 private:
  /// The rest of a stream that is being sent.
  struct event_stream {
    std::string request;
    /// Data of its events.
    std::string data;
    int next = 1;
    int last = 0;
    /// Number of the event in which the stream ends; 0 if it ends after its last event.
    int broken_off_at = 0;
    /// Number of an event that is sent with the number of the next; 0 if there is none.
    int spoilt_at = 0;
    std::chrono::milliseconds gap{};
  };

  void serve(scripted_endpoint::connection& caller);
  void answer(scripted_endpoint::connection& caller, const traffic::http_head& head);
  /// Runs the task at once, or as soon as the endpoint is no longer silent.
  void when_not_silent(std::function<void()> task);
  void answer_stream(scripted_endpoint::connection& caller, const traffic::http_head& head,
                     const std::string& answer_head);
  event_stream make_stream(const traffic::http_head& head);
  void send_events(scripted_endpoint::connection& caller, event_stream stream);
  /// Ends an answer whose body has been sent.
  void finish_answer(scripted_endpoint::connection& caller, const std::string& request);
  /// Head of a successful answer; chunked if it has no length.
  std::string format_head(const std::string& request, const std::string& answer_head,
                          std::optional<std::size_t> length) const;
  std::string frame(const std::string& bytes) const;
  execution& last_run(const std::string& request);

  task_queue& tasks;
  const clock& time;
  execution_log& executions;
  seeded_random random;
  scripted_endpoint server;
  fault_proxy front_proxy;
};

/// How long the endpoint stays cold; zero if it is warm.
std::chrono::milliseconds cold_time_left(const soak_endpoint& endpoint, steady_time now);

}  // namespace chestnuthead::soak
