#pragma once

#include <map>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Fakes/scripted_endpoint.h"
#include "soak_proxy.h"
#include "soak_tasks.h"

namespace chestnuthead::soak {

/// What endpoints have executed, by the request's name.
struct execution {
  std::string endpoint;
  std::string customer;
  steady_time at{};
};
using execution_book = std::map<std::string, std::vector<execution>>;

/// Events of the stream that answers a request.
int events_of(const std::string& request);
/// One event of that stream.
std::string event_of(const std::string& request, int number);

/// An endpoint behind a proxy, with faults of its own.
class soak_endpoint {
 public:
  soak_endpoint(traffic::event_loop& loop, task_queue& tasks, const clock& time,
                execution_book& book, std::string name, std::uint64_t seed);

  /// Share of requests that are executed and answered with an error.
  double error_share = 0.0;
  /// Share of requests that are executed and whose answer is lost.
  double lost_share = 0.0;

  /// The endpoint says in its answers that it takes no new work.
  bool leaving = false;

  const std::string name;
  fault_proxy& proxy() {
    return this->way_in;
  }

 private:
  void serve(scripted_endpoint::connection& caller);
  void send_events(scripted_endpoint::connection& caller, const std::string& request, int next);

  task_queue& tasks;
  const clock& time;
  execution_book& book;
  seeded_random random;
  scripted_endpoint port;
  fault_proxy way_in;
};

}  // namespace chestnuthead::soak
