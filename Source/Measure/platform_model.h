#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "chestnuthead/memory_table.h"
#include "chestnuthead/random_source.h"

#include "Measure/event_queue.h"

namespace chestnuthead {

/// Simulated condition of the platform's table service.
enum class table_condition : std::uint8_t {
  up,
  /// Refuses every call.
  down,
  /// Answers after the caller's timeout.
  slow,
  /// Half of the answers are lost, half of those after the write took effect.
  losing_answers,
};

/// The platform's table service on a virtual clock.
class platform_model {
 public:
  platform_model(event_queue& queue, random_source& random, std::chrono::microseconds link_time);

  void set_condition(table_condition condition);

  /// Executes a call; `done` runs when the answer arrives or the call times out.
  void call(const table_request& request, std::function<void(const table_reply&)> done);

  /// The table's rows, for direct access without delays or faults.
  memory_table rows;

 private:
  void answer_after(std::chrono::microseconds delay, const table_request& request,
                    std::function<void(const table_reply&)> done);
  void lose_some_answers(const table_request& request,
                         std::function<void(const table_reply&)> done);

  event_queue& queue;
  random_source& random;
  std::chrono::microseconds link_time;
  table_condition condition = table_condition::up;
};

}  // namespace chestnuthead
