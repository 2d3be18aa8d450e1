#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chestnuthead/ids.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/request.h"

#include "Measure/event_queue.h"

namespace chestnuthead {

/// Behaviour of the callers in a run.
struct workload_parameters {
  /// Number of concurrent chats; each finished chat is replaced by a new one.
  std::uint32_t chats = 1'200;
  std::uint32_t turns_per_chat = 8;
  /// Mean pause between a chat's turns; for one pause in ten the mean is five times
  /// as long.
  std::chrono::milliseconds mean_pause{40'000};
  std::uint32_t customers = 10;
  /// Rate of additional requests without a chat that one customer sends while it
  /// surges.
  double surge_requests_per_second = 0.0;
  std::chrono::seconds surge_begin{0};
  std::chrono::seconds surge_end{0};
};

/// One request of the workload.
struct planned_request {
  request_facts facts;
  /// Method and path of a call to a plain service.
  std::string method;
  std::string path;
  /// Prompt tokens that an endpoint with the chat's whole prefix in its cache does
  /// not need to compute.
  std::uint32_t reusable_tokens = 0;
};

/// Outcome of a request as its caller sees it.
struct request_outcome {
  bool answered = false;
  error_kind error = error_kind::no_endpoint;
  /// Execution state reported to the caller with an error; also "unknown" if the
  /// connection broke.
  run_state ran = run_state::unknown;
  std::chrono::milliseconds retry_after{0};
  std::uint32_t cached_tokens = 0;
  std::chrono::microseconds until_first_byte{0};
};

/// Sends one request into the fleet; the callback is called once.
using request_sender =
    std::function<void(const planned_request&, std::function<void(const request_outcome&)>)>;

/// Called for every request that has ended.
using outcome_listener = std::function<void(const planned_request&, const request_outcome&)>;

/// Callers with chats whose turns are separated by pauses, and one customer that
/// surges.
class workload {
 public:
  workload(event_queue& queue, random_source& random, const workload_parameters& parameters,
           request_sender sender, outcome_listener listener);

  /// Starts all chats, at random times within one mean pause.
  void begin();

 private:
  struct chat {
    chat_id id;
    customer_id customer;
    std::uint32_t turn = 0;
    std::uint32_t history_tokens = 0;
  };

  void begin_chat(std::size_t index);
  void take_turn(std::size_t index, std::uint32_t new_tokens);
  void turn_ended(std::size_t index, const planned_request& request, const request_outcome& outcome,
                  std::uint32_t new_tokens);
  void surge();
  std::chrono::microseconds random_pause();
  std::uint32_t random_tokens(std::uint32_t least, std::uint32_t most);
  request_id next_request_id();

  event_queue& queue;
  random_source& random;
  workload_parameters parameters;
  request_sender send;
  outcome_listener report_outcome;
  std::vector<chat> chats;
  std::uint64_t chats_begun = 0;
  std::uint64_t requests = 0;
};

}  // namespace chestnuthead
