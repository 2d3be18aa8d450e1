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
constexpr milliseconds default_come_back{500};

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
  this->ask(key, this->random.next(), this->parameters.repeats);
  constexpr double microseconds_per_second = 1e6;
  const double mean = microseconds_per_second / this->parameters.calls_per_second;
  const double gap = -mean * std::log1p(-next_unit(this->random));
  this->queue.after(microseconds{std::llround(gap)}, [this] { this->next_call(); });
}

void payment_callers::ask(const idempotency_key& key, std::uint64_t fingerprint,
                          std::uint32_t repeats_left) {
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
  this->send(request, [this, facts, repeats_left](const request_outcome& outcome) {
    this->answered(facts, outcome, repeats_left);
  });
}

void payment_callers::answered(const request_facts& facts, const request_outcome& outcome,
                               std::uint32_t repeats_left) {
  --this->counts.open;
  if (outcome.answered) {
    ++this->counts.answered;
    this->counts.answered_without_execution += this->executions.contains(facts.key) ? 0 : 1;
    return;
  }
  if (outcome.ran == run_state::not_run) {
    ++this->counts.told_not_run;
    this->not_run.insert(facts.request);
    this->counts.false_not_run += this->executed.contains(facts.request) ? 1 : 0;
  } else {
    ++this->counts.told_unknown;
  }
  if (repeats_left == 0) {
    return;
  }
  const milliseconds pause = std::max(outcome.retry_after, default_come_back);
  this->queue.after(pause, [this, facts, repeats_left] {
    this->ask(facts.key, facts.fingerprint, repeats_left - 1);
  });
}

void payment_callers::note_execution(const request_facts& facts) {
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
