#include "Overload/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace chestnuthead::overload {

namespace {

constexpr std::size_t max_requests = 256;
/// Bytes of the bodies of waiting requests. A small gateway has 160 MB in total.
constexpr std::size_t max_bytes = 8'388'608;

/// Place of a request in the order; the smallest goes first.
using order_key = std::tuple<bool, request_group, double, steady_time, std::uint64_t>;

order_key key_of(const demand& demand, const waiting_request& request) {
  const bool starved = is_starved(demand, request.group) || is_starved(demand, request.customer);
  const auto customer = demand.customers.find(request.customer);
  const double share = customer == demand.customers.end() ? 0.0 : served_share(customer->second);
  return {!starved, request.group, share, request.due_at, request.ticket};
}

std::vector<order_key> keys_of(const wait_queue& queue, const demand& demand) {
  std::vector<order_key> keys;
  keys.reserve(queue.waiting.size());
  for (const waiting_request& request : queue.waiting) {
    keys.push_back(key_of(demand, request));
  }
  return keys;
}

}  // namespace

std::chrono::milliseconds longest_wait(std::chrono::milliseconds objective) {
  constexpr int part = 8;
  return objective / part;
}

queue_bounds bounds_of(double completion_rate, std::chrono::milliseconds wait) {
  const double reached = completion_rate * std::chrono::duration<double>{wait}.count();
  const auto requests = static_cast<std::size_t>(
      std::clamp(std::floor(reached), 1.0, static_cast<double>(max_requests)));
  return {requests, max_bytes};
}

queue_change enqueue(wait_queue& queue, const demand& demand, const waiting_request& request,
                     const queue_bounds& bounds) {
  queue.waiting.push_back(request);
  queue.bytes += request.bytes;
  queue_change change;
  while (queue.waiting.size() > bounds.requests || queue.bytes > bounds.bytes) {
    const std::vector<order_key> keys = keys_of(queue, demand);
    const auto last = std::max_element(keys.begin(), keys.end()) - keys.begin();
    const std::uint64_t ticket = queue.waiting[static_cast<std::size_t>(last)].ticket;
    remove_request(queue, ticket);
    if (ticket == request.ticket) {
      return change;
    }
    change.displaced.push_back(ticket);
  }
  change.accepted = true;
  return change;
}

const waiting_request* next_request(const wait_queue& queue, const demand& demand) {
  if (queue.waiting.empty()) {
    return nullptr;
  }
  const std::vector<order_key> keys = keys_of(queue, demand);
  const auto first = std::min_element(keys.begin(), keys.end()) - keys.begin();
  return &queue.waiting[static_cast<std::size_t>(first)];
}

void remove_request(wait_queue& queue, std::uint64_t ticket) {
  const auto place =
      std::find_if(queue.waiting.begin(), queue.waiting.end(),
                   [ticket](const waiting_request& one) { return one.ticket == ticket; });
  if (place != queue.waiting.end()) {
    queue.bytes -= place->bytes;
    queue.waiting.erase(place);
  }
}

std::vector<std::uint64_t> expired_requests(const wait_queue& queue, steady_time now) {
  std::vector<std::uint64_t> expired;
  for (const waiting_request& request : queue.waiting) {
    if (now >= request.wait_until) {
      expired.push_back(request.ticket);
    }
  }
  return expired;
}

}  // namespace chestnuthead::overload
