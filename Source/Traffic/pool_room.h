#pragma once

#include <cstdint>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Gateway/admission.h"
#include "Traffic/request_record.h"
#include "Traffic/traffic_context.h"

/// Overload control of requests on their way to a pool: which of them are sent at once, wait for
/// room or are refused. Requests for pools that are not under control are sent at once.
namespace chestnuthead::traffic {

/// Why an overloaded pool refuses a request.
enum class overload_reason : std::uint8_t {
  /// The pool has no capacity for more requests of this priority or surging customer.
  over_share,
  /// The queue is full of requests that go first.
  queue_full,
  /// More urgent requests have taken its place in the queue.
  displaced,
  /// It has waited for as long as it may.
  waited,
};

std::string_view name_of(overload_reason reason);

/// A request that waits for room in its pool.
class room_waiter {
 public:
  virtual ~room_waiter() = default;

  virtual void on_room() = 0;
  virtual void on_no_room(overload_reason reason) = 0;
};

enum class room_step : std::uint8_t { send, wait, refuse };

struct room_choice {
  room_step step = room_step::send;
  /// Why the request is refused.
  overload_reason reason = overload_reason::over_share;
};

/// Decides on a request that has arrived. If it waits, `waiter` is called later, unless
/// `leave_queue` comes first.
room_choice find_room(request_record& record, room_waiter& waiter, steady_time now);

/// Removes a request from the queue if it waits.
void leave_queue(request_record& record);

/// The refusal of a request by an overloaded pool; counts and logs it.
gateway::refusal refuse_overloaded(const request_record& record, overload_reason reason,
                                   steady_time now);

/// Sends waiting requests for which there is room, and ends the wait of those that have waited for
/// as long as they may. Call it after each round of events.
void serve_waiting(traffic_context& context, steady_time now);

}  // namespace chestnuthead::traffic
