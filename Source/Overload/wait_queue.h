#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Overload/demand.h"

/// The order in which requests for an overloaded pool are sent, and which of them wait.
namespace chestnuthead::overload {

/// A request that waits at the gateway until its pool has room.
struct waiting_request {
  /// Number that the caller of these functions chooses.
  std::uint64_t ticket = 0;
  customer_id customer;
  request_group group;
  std::size_t bytes = 0;
  /// Tokens of the prompt and the answer.
  std::uint32_t tokens = 0;
  steady_time arrived_at{};
  /// Latest time at which the request may still be sent.
  steady_time wait_until{};
  /// Latest time at which the answer meets the objective.
  steady_time due_at{};
};

struct wait_queue {
  std::vector<waiting_request> waiting;
  std::size_t bytes = 0;
};

/// Longest time that a request waits: an eighth of its latency objective, so that a refused
/// request can still be answered in time elsewhere.
std::chrono::milliseconds longest_wait(std::chrono::milliseconds objective);

/// Bounds of a queue.
struct queue_bounds {
  std::size_t requests = 0;
  std::size_t bytes = 0;
};

/// The bounds at a completion rate: no more requests than are expected to be sent within the
/// longest wait, but at least one, which takes the room left by the next answer of a small pool.
queue_bounds bounds_of(double completion_rate, std::chrono::milliseconds wait);

/// Result of an attempt to queue a request.
struct queue_change {
  bool accepted = false;
  /// Tickets of less urgent requests that were displaced and must be refused.
  std::vector<std::uint64_t> displaced;
};

/// Adds a request to the queue if there is space within the bounds, or if less urgent requests
/// make space.
queue_change enqueue(wait_queue& queue, const demand& demand, const waiting_request& request,
                     const queue_bounds& bounds);

/// The request to be sent next, or nullptr. More urgent requests go first, except that groups and
/// customers which are served much less often than the best served go before all others; within a
/// group the customer with the smallest share of served requests goes first.
const waiting_request* next_request(const wait_queue& queue, const demand& demand);

/// Removes a request that was sent, was refused or whose caller has gone.
void remove_request(wait_queue& queue, std::uint64_t ticket);

/// Tickets of the requests that have waited for as long as they may.
std::vector<std::uint64_t> expired_requests(const wait_queue& queue, steady_time now);

}  // namespace chestnuthead::overload
