#include "Measure/workload.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnuthead {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Delay of a retry if the answer has no retry-after time.
constexpr milliseconds chat_retry_delay{1'000};
constexpr std::uint32_t long_pause_one_in = 10;
constexpr int long_pause_factor = 5;

double exponential(random_source& random, double mean) {
  return -mean * std::log1p(-next_unit(random));
}

// Skewed choice of a customer: the first gets half of the chats, the second half
// of the rest, and so on; the last gets the remainder.
std::uint32_t random_customer(random_source& random, std::uint32_t customers) {
  std::uint32_t customer = 0;
  while (customer + 1 < customers && next_below(random, 2) == 0) {
    ++customer;
  }
  return customer;
}

}  // namespace

workload::workload(event_queue& events, random_source& numbers, const workload_parameters& plan,
                   request_sender sender, outcome_listener listener)
    : queue(events),
      random(numbers),
      parameters(plan),
      send(std::move(sender)),
      report_outcome(std::move(listener)),
      chats(plan.chats) {}

void workload::begin() {
  for (std::size_t index = 0; index < this->chats.size(); ++index) {
    const double delay =
        next_unit(this->random) * static_cast<double>(this->parameters.mean_pause.count());
    this->queue.after(milliseconds{std::llround(delay)},
                      [this, index] { this->begin_chat(index); });
  }
  if (this->parameters.surge_requests_per_second > 0.0) {
    this->queue.after(this->parameters.surge_begin, [this] { this->surge(); });
  }
}

void workload::begin_chat(std::size_t index) {
  chat& fresh = this->chats.at(index);
  fresh = chat{};
  fresh.id = chat_id{"chat-" + std::to_string(++this->chats_begun)};
  const std::uint32_t customer = random_customer(this->random, this->parameters.customers);
  fresh.customer = customer_id{"customer-" + std::to_string(customer)};
  // The first turn includes the text of a long plan or of a lesson.
  this->take_turn(index, this->random_tokens(300, 1'500));
}

void workload::take_turn(std::size_t index, std::uint32_t new_tokens) {
  const chat& now = this->chats.at(index);
  planned_request request;
  request.facts.request = this->next_request_id();
  request.facts.customer = now.customer;
  request.facts.pool = pool_id{"model"};
  request.facts.chat = now.id;
  request.facts.fingerprint = this->random.next();
  request.facts.prompt_tokens = now.history_tokens + new_tokens;
  request.facts.answer_tokens = this->random_tokens(60, 300);
  request.facts.returning = now.turn > 0;
  request.reusable_tokens = now.history_tokens;
  this->send(request, [this, index, request, new_tokens](const request_outcome& outcome) {
    this->turn_ended(index, request, outcome, new_tokens);
  });
}

void workload::turn_ended(std::size_t index, const planned_request& request,
                          const request_outcome& outcome, std::uint32_t new_tokens) {
  this->report_outcome(request, outcome);
  chat& now = this->chats.at(index);
  if (!outcome.answered) {
    const milliseconds pause = std::max(outcome.retry_after, chat_retry_delay);
    this->queue.after(pause, [this, index, new_tokens] { this->take_turn(index, new_tokens); });
    return;
  }
  now.history_tokens = request.facts.prompt_tokens + request.facts.answer_tokens;
  ++now.turn;
  const bool over = now.turn >= this->parameters.turns_per_chat;
  this->queue.after(this->random_pause(), [this, index, over] {
    if (over) {
      this->begin_chat(index);
      return;
    }
    this->take_turn(index, this->random_tokens(30, 200));
  });
}

void workload::surge() {
  const steady_time begin{std::chrono::hours{1}};
  if (this->queue.now() >= begin + this->parameters.surge_end) {
    return;
  }
  planned_request request;
  request.facts.request = this->next_request_id();
  request.facts.customer = customer_id{"customer-0"};
  request.facts.pool = pool_id{"model"};
  request.facts.fingerprint = this->random.next();
  request.facts.prompt_tokens = this->random_tokens(100, 500);
  request.facts.answer_tokens = this->random_tokens(60, 300);
  this->send(request, [this, request](const request_outcome& outcome) {
    this->report_outcome(request, outcome);
  });
  constexpr double microseconds_per_second = 1e6;
  const double gap = microseconds_per_second / this->parameters.surge_requests_per_second;
  this->queue.after(microseconds{std::llround(exponential(this->random, gap))},
                    [this] { this->surge(); });
}

microseconds workload::random_pause() {
  const auto mean = static_cast<double>(microseconds{this->parameters.mean_pause}.count());
  const bool is_long = next_below(this->random, long_pause_one_in) == 0;
  const double factor = is_long ? long_pause_factor : 1;
  return microseconds{std::llround(exponential(this->random, mean) * factor)};
}

std::uint32_t workload::random_tokens(std::uint32_t least, std::uint32_t most) {
  return least + static_cast<std::uint32_t>(next_below(this->random, most - least + 1));
}

request_id workload::next_request_id() {
  return request_id{"request-" + std::to_string(++this->requests)};
}

}  // namespace chestnuthead
