#include "Measure/ledger_measure.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <Poco/JSON/Array.h>

#include "chestnuthead/memory_table.h"
#include "chestnuthead/seeded_random.h"

#include "Ledger/ledger.h"
#include "Measure/event_queue.h"
#include "Measure/figures.h"

namespace chestnuthead {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t default_agents = 40;
constexpr double table_transactions_per_second = 400.0;
constexpr milliseconds table_delay{4};
/// The table refuses a call whose queueing time would be longer.
constexpr milliseconds longest_table_wait{1'000};
constexpr milliseconds service_time{60};
constexpr milliseconds tick_interval{50};
constexpr milliseconds call_deadline{5'000};
constexpr seconds offered_time{20};
constexpr seconds drain_time{10};
constexpr double microseconds_per_second = 1e6;
const std::string stored_answer(400, 'x');

/// A table that executes one transaction at a time.
struct serial_table {
  memory_table rows;
  steady_time free_at{};
  std::uint64_t refused = 0;
};

struct ledger_run_state {
  event_queue queue;
  serial_table table;
  std::vector<ledger_ptr> ledgers;
  std::map<attempt_id, steady_time> claim_started_at;
  std::vector<microseconds> claim_times;
  std::uint64_t offered = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t stored = 0;
  std::uint64_t not_stored_in_time = 0;
};

void apply_output(ledger_run_state& run, std::size_t ledger_index, const ledger_output& output);

void reply_later(ledger_run_state& run, std::size_t ledger_index, std::uint64_t ticket,
                 const table_reply& reply, microseconds delay) {
  run.queue.after(delay, [&run, ledger_index, ticket, reply] {
    apply_output(run, ledger_index,
                 apply_ledger_reply(*run.ledgers[ledger_index], ticket, reply, run.queue.now()));
  });
}

void submit(ledger_run_state& run, std::size_t ledger_index, const table_call& ask) {
  const steady_time now = run.queue.now();
  const steady_time begin = std::max(now, run.table.free_at);
  if (begin - now > longest_table_wait) {
    ++run.table.refused;
    reply_later(run, ledger_index, ask.ticket, table_failure::refused, table_delay);
    return;
  }
  const auto work = microseconds{
      static_cast<std::int64_t>(microseconds_per_second / table_transactions_per_second)};
  run.table.free_at = begin + work;
  const auto wait = std::chrono::duration_cast<microseconds>(run.table.free_at - now);
  reply_later(run, ledger_index, ask.ticket, run.table.rows.apply(ask.request), wait + table_delay);
}

void finish_call(ledger_run_state& run, std::size_t ledger_index, const attempt_id& attempt) {
  run.queue.after(service_time, [&run, ledger_index, attempt] {
    apply_output(
        run, ledger_index,
        record_result(*run.ledgers[ledger_index], attempt, stored_answer, run.queue.now()));
  });
}

void count_decision(ledger_run_state& run, std::size_t ledger_index,
                    const ledger_decision& decision) {
  if (const auto* granted = std::get_if<claim_granted>(&decision)) {
    ++run.granted;
    const auto time = run.queue.now() - run.claim_started_at.at(granted->attempt);
    run.claim_times.push_back(std::chrono::duration_cast<microseconds>(time));
    finish_call(run, ledger_index, granted->attempt);
  } else if (const auto* settled = std::get_if<result_settled>(&decision)) {
    ++(settled->stored ? run.stored : run.not_stored_in_time);
  } else {
    ++run.refused;
  }
}

void apply_output(ledger_run_state& run, std::size_t ledger_index, const ledger_output& output) {
  for (const table_call& ask : output.table_calls) {
    submit(run, ledger_index, ask);
  }
  for (const ledger_decision& decision : output.decisions) {
    count_decision(run, ledger_index, decision);
  }
}

void tick(ledger_run_state& run, std::size_t ledger_index) {
  apply_output(run, ledger_index, ledger_tick(*run.ledgers[ledger_index], run.queue.now()));
  run.queue.after(tick_interval, [&run, ledger_index] { tick(run, ledger_index); });
}

std::size_t add_ledger(ledger_run_state& run) {
  const std::size_t ledger_index = run.ledgers.size();
  run.ledgers.push_back(make_ledger(node_id{"agent-" + std::to_string(ledger_index)}));
  tick(run, ledger_index);
  return ledger_index;
}

void offer_call(ledger_run_state& run, std::size_t ledger_index) {
  const std::string number = std::to_string(++run.offered);
  claim_request request;
  request.request.value = "r" + number;
  request.attempt.value = "a" + number;
  request.key.value = "k" + number;
  request.pool.value = "kit-orders";
  request.deadline = run.queue.now() + call_deadline;
  run.claim_started_at[request.attempt] = run.queue.now();
  apply_output(run, ledger_index, claim(*run.ledgers[ledger_index], request, run.queue.now()));
}

/// Offers calls at a constant mean rate to randomly chosen agents. With policy
/// `one-by-one` each call gets its own ledger, so that no writes can be batched.
void run_rate(ledger_run_state& run, const control_options& options, double rate) {
  seeded_random random(options.seed);
  const bool grouped = options.policy == "ours";
  const std::size_t agents = options.nodes > 0 ? options.nodes : default_agents;
  for (std::size_t ledger_index = 0; grouped && ledger_index < agents; ++ledger_index) {
    add_ledger(run);
  }
  const steady_time end = run.queue.now() + offered_time;
  const double mean_gap = microseconds_per_second / rate;
  while (run.queue.now() < end) {
    const auto gap = microseconds{static_cast<std::int64_t>(2.0 * mean_gap * next_unit(random))};
    run.queue.run_until(run.queue.now() + gap);
    offer_call(run, grouped ? next_below(random, agents) : add_ledger(run));
  }
  run.queue.run_until(end + drain_time);
}

Poco::JSON::Object::Ptr describe(const ledger_run_state& run, double rate) {
  const auto time = static_cast<double>(offered_time.count());
  const auto groups = static_cast<double>(run.table.rows.write_groups());
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("rate_s", rate);
  object->set("offered", run.offered);
  object->set("granted_s", rounded(static_cast<double>(run.granted) / time));
  object->set("refused_or_unknown", run.refused);
  object->set("stored", run.stored);
  object->set("not_stored_in_time", run.not_stored_in_time);
  object->set("claim_p50_ms", rounded(percentile_ms(run.claim_times, 0.5)));
  object->set("claim_p99_ms", rounded(percentile_ms(run.claim_times, 0.99)));
  object->set("transactions", run.table.rows.write_groups());
  object->set("writes_per_transaction",
              rounded(groups > 0 ? static_cast<double>(run.table.rows.writes()) / groups : 0.0));
  object->set("table_refused", run.table.refused);
  return object;
}

}  // namespace

bool is_ledger_policy(const std::string& policy) {
  return policy == "ours" || policy == "one-by-one";
}

Poco::JSON::Object::Ptr measure_ledger(const control_options& options) {
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  for (const double rate : {75.0, 150.0, 300.0, 600.0, 1'200.0}) {
    ledger_run_state run;
    run_rate(run, options, rate);
    rows->add(describe(run, rate));
  }
  Poco::JSON::Object::Ptr line = result_line("ledger", options.policy, options.seed);
  line->set("table_transactions_s", table_transactions_per_second);
  line->set("agents", options.nodes > 0 ? options.nodes : default_agents);
  line->set("rates", rows);
  return line;
}

}  // namespace chestnuthead
