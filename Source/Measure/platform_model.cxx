#include "Measure/platform_model.h"

#include <utility>

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds slow_answer{1'500};
/// After this time a caller of the table treats the answer as lost.
constexpr std::chrono::milliseconds call_timeout{1'000};

}  // namespace

platform_model::platform_model(event_queue& events, random_source& numbers,
                               std::chrono::microseconds link)
    : queue(events), random(numbers), link_time(link) {}

void platform_model::set_condition(table_condition new_condition) {
  this->condition = new_condition;
}

void platform_model::call(const table_request& request,
                          std::function<void(const table_reply&)> done) {
  switch (this->condition) {
    case table_condition::up:
      this->answer_after(this->link_time, request, std::move(done));
      return;
    case table_condition::down:
      this->queue.after(2 * this->link_time, [done] { done(table_failure::refused); });
      return;
    case table_condition::slow:
      // The caller times out before the write takes effect.
      this->queue.after(slow_answer, [this, request] { this->rows.apply(request); });
      this->queue.after(call_timeout, [done] { done(table_failure::no_answer); });
      return;
    case table_condition::losing_answers:
      this->lose_some_answers(request, std::move(done));
      return;
  }
}

void platform_model::answer_after(std::chrono::microseconds delay, const table_request& request,
                                  std::function<void(const table_reply&)> done) {
  this->queue.after(delay, [this, request, done = std::move(done)] {
    const table_reply reply = this->rows.apply(request);
    this->queue.after(this->link_time, [done, reply] { done(reply); });
  });
}

void platform_model::lose_some_answers(const table_request& request,
                                       std::function<void(const table_reply&)> done) {
  constexpr std::uint64_t ways = 4;
  const std::uint64_t way = next_below(this->random, ways);
  if (way >= 2) {
    this->answer_after(this->link_time, request, std::move(done));
    return;
  }
  if (way == 1) {
    this->queue.after(this->link_time, [this, request] { this->rows.apply(request); });
  }
  this->queue.after(call_timeout, [done] { done(table_failure::no_answer); });
}

}  // namespace chestnuthead
