#include "Measure/payment_callers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Measure/fleet.h"

namespace chestnuthead {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Delay of a retry if the answer has no retry-after time.
constexpr milliseconds payment_retry_delay{500};

}  // namespace

payment_callers::payment_callers(event_queue& events, random_source& numbers,
                                 const payment_parameters& plan, request_sender sender)
    : queue(events), random(numbers), parameters(plan), send(std::move(sender)) {}

void payment_callers::begin(steady_time last_call) {
  this->end = last_call;
  this->next_call();
}

void payment_callers::next_call() {
  if (this->queue.now() >= this->end) {
    return;
  }
  const idempotency_key key{"key-" + std::to_string(++this->counts.keys)};
  this->send_call(key, this->random.next(), this->parameters.max_retries);
  constexpr double microseconds_per_second = 1e6;
  const double mean = microseconds_per_second / this->parameters.calls_per_second;
  const double gap = -mean * std::log1p(-next_unit(this->random));
  this->queue.after(microseconds{std::llround(gap)}, [this] { this->next_call(); });
}

void payment_callers::send_call(const idempotency_key& key, std::uint64_t fingerprint,
                                std::uint32_t retries_left) {
  planned_request request;
  request.facts.request = request_id{"payment-" + std::to_string(++this->requests)};
  request.facts.customer = customer_id{"customer-0"};
  request.facts.pool = pool_id{service_pool_name};
  request.facts.importance = request_class::quick_check;
  request.facts.rule = execution_rule::at_most_once;
  request.facts.key = key;
  request.facts.fingerprint = fingerprint;
  request.method = "POST";
  request.path = "/orders/pay";
  ++this->counts.open;
  const request_facts facts = request.facts;
  this->send(request, [this, facts, retries_left](const request_outcome& outcome) {
    this->answered(facts, outcome, retries_left);
  });
}

void payment_callers::answered(const request_facts& facts, const request_outcome& outcome,
                               std::uint32_t retries_left) {
  --this->counts.open;
  if (outcome.answered) {
    ++this->counts.answered;
    this->counts.answered_without_execution += this->executions.contains(facts.key) ? 0 : 1;
    return;
  }
  if (outcome.ran == run_state::not_run) {
    ++this->counts.reported_not_run;
    this->not_run.insert(facts.request);
    this->counts.false_not_run += this->executed.contains(facts.request) ? 1 : 0;
  } else {
    ++this->counts.reported_unknown;
  }
  if (retries_left == 0) {
    return;
  }
  const milliseconds pause = std::max(outcome.retry_after, payment_retry_delay);
  this->queue.after(pause, [this, facts, retries_left] {
    this->send_call(facts.key, facts.fingerprint, retries_left - 1);
  });
}

void payment_callers::record_execution(const request_facts& facts) {
  if (facts.rule != execution_rule::at_most_once) {
    return;
  }
  ++this->counts.executions;
  this->executed.insert(facts.request);
  this->counts.duplicates += ++this->executions[facts.key] > 1 ? 1 : 0;
  this->counts.false_not_run += this->not_run.contains(facts.request) ? 1 : 0;
}

payment_findings payment_callers::findings() const {
  return this->counts;
}

}  // namespace chestnuthead
