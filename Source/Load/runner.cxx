#include "Load/runner.h"

#include <condition_variable>
#include <mutex>
#include <queue>
#include <thread>

#include "chestnuthead/seeded_random.h"

#include "Load/exchange.h"
#include "Load/verdict.h"

namespace chestnuthead {

namespace {

using stopwatch = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds initial_retry_delay{50};
constexpr milliseconds max_retry_delay{2000};

// Next step of a caller after an exchange.
enum class next_step : std::uint8_t {
  finished,
  /// Retry the call with the same idempotency key.
  repeat,
  /// Retry the call with a new key, because the previous key ended as "not run".
  repeat_with_new_key,
  /// Stop retrying; the last answer is the outcome.
  give_up,
};

// The next call of a session. The order makes std::priority_queue return the
// earliest call first.
struct due_call {
  stopwatch::time_point when;
  std::uint32_t session = 0;

  bool operator<(const due_call& other) const {
    return this->when > other.when;
  }
};

// State shared by the worker threads; `guard` protects all of it.
struct load_run_state {
  const load_options& options;
  std::vector<session> sessions;
  std::mutex guard;
  std::condition_variable changed;
  std::priority_queue<due_call> due;
  std::size_t unfinished = 0;
  seeded_random balancer;
  tally total;
};

bool has_time_left(const session& caller, const load_options& options) {
  const auto spent = stopwatch::now() - caller.turn_started;
  return spent < milliseconds(options.patience_ms);
}

// An at-most-once call is retried with the same key while its outcome is
// unknown: the key makes the retry safe.
next_step decide_at_most_once_step(const verdict& result) {
  if (result.kind != verdict_kind::error) {
    return next_step::repeat;
  }
  if (result.ran == "not run") {
    return result.has_retry_after ? next_step::repeat_with_new_key : next_step::give_up;
  }
  return result.has_retry_after ? next_step::repeat : next_step::give_up;
}

next_step decide_next_step(const session& caller, const load_options& options,
                           const verdict& result) {
  if (result.kind == verdict_kind::good) {
    return next_step::finished;
  }
  const bool bad = result.kind == verdict_kind::wrong || result.kind == verdict_kind::incomplete;
  if (bad || !has_time_left(caller, options)) {
    return next_step::give_up;
  }
  if (caller.kind == call_kind::at_most_once) {
    return decide_at_most_once_step(result);
  }
  const bool not_retryable =
      result.kind == verdict_kind::error && result.ran != "ran" && result.retry_after.count() == 0;
  return not_retryable ? next_step::give_up : next_step::repeat;
}

milliseconds retry_delay(const session& caller, const verdict& result) {
  if (result.retry_after.count() > 0) {
    return result.retry_after;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(caller.calls, 6);
  return std::min(max_retry_delay, initial_retry_delay * (1 << doublings));
}

void record_key_outcome(tally& total, const session& caller, const load_options& options,
                        const verdict& result) {
  key_record& record = total.keys[session_key(caller, options.seed)];
  record.answered = record.answered || result.kind == verdict_kind::good;
  record.reported_not_run = result.kind == verdict_kind::error && result.ran == "not run";
}

// Counts the outcome of a request whose caller stops retrying.
void count_given_up(tally& total, const session& caller, const verdict& result) {
  const bool error = result.kind == verdict_kind::error;
  if (caller.kind == call_kind::at_most_once && error && result.ran == "not run") {
    ++total.ended_not_run;
  } else if (caller.kind == call_kind::at_most_once && error && result.ran == "unknown") {
    ++total.ended_unknown;
  } else {
    ++total.failed;
    ++total.failed_kinds[error ? result.error : "no_whole_answer"];
  }
}

void schedule(load_run_state& run, const session& caller, milliseconds pause) {
  run.due.push({stopwatch::now() + pause, caller.number});
}

void next_turn(load_run_state& run, session& caller) {
  if (!finish_turn(caller)) {
    --run.unfinished;
    return;
  }
  schedule(run, caller, caller.pauses[caller.turn]);
}

// Records an exchange and schedules the caller's next call.
void handle_reply(load_run_state& run, session& caller, const exchange_reply& reply) {
  const verdict result = judge(caller, run.options, reply);
  add_exchange(run.total, caller, reply, result);
  if (caller.kind == call_kind::at_most_once) {
    record_key_outcome(run.total, caller, run.options, result);
  }
  ++caller.calls;
  const next_step step = decide_next_step(caller, run.options, result);
  if (step == next_step::finished) {
    next_turn(run, caller);
    return;
  }
  if (step == next_step::give_up) {
    count_given_up(run.total, caller, result);
    next_turn(run, caller);
    return;
  }
  caller.keys += step == next_step::repeat_with_new_key ? 1 : 0;
  ++run.total.retries;
  schedule(run, caller, retry_delay(caller, result));
}

// Waits for the next due call. Returns false once all sessions have finished.
bool wait_for_due_call(load_run_state& run, std::unique_lock<std::mutex>& lock, due_call& next) {
  while (run.unfinished > 0) {
    if (run.due.empty()) {
      run.changed.wait(lock);
      continue;
    }
    next = run.due.top();
    if (next.when <= stopwatch::now()) {
      run.due.pop();
      return true;
    }
    run.changed.wait_until(lock, next.when);
  }
  return false;
}

void run_worker(load_run_state& run) {
  std::unique_lock lock(run.guard);
  due_call next;
  while (wait_for_due_call(run, lock, next)) {
    session& caller = run.sessions[next.session];
    // A retry keeps the caller's message at the end; a new turn starts only when
    // there are no messages yet or the last one is the assistant's.
    if (caller.messages.empty() || caller.messages.back().role == "assistant") {
      begin_turn(caller);
      caller.turn_started = stopwatch::now();
      ++run.total.requests;
    }
    const std::vector<std::string>& routers = run.options.routers;
    const std::string address = routers[next_below(run.balancer, routers.size())];
    const exchange_request request = make_call(caller, run.options);
    lock.unlock();
    const exchange_reply reply = exchange(address, request, milliseconds(run.options.patience_ms));
    lock.lock();
    handle_reply(run, caller, reply);
    run.changed.notify_all();
  }
}

}  // namespace

tally run_load(const load_options& options) {
  load_run_state run{options, plan_sessions(options),      {}, {}, {},
                     0,       seeded_random(options.seed), {}};
  run.unfinished = run.sessions.size();
  for (const session& caller : run.sessions) {
    schedule(run, caller, caller.start);
  }
  std::vector<std::thread> workers;
  workers.reserve(options.concurrency);
  for (std::uint64_t count = 0; count < options.concurrency; ++count) {
    workers.emplace_back([&run] { run_worker(run); });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return run.total;
}

}  // namespace chestnuthead
