#include "Ledger/ledger_simulation.h"

#include <algorithm>
#include <utility>

#include "Ledger/ledger_state.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{50};
constexpr milliseconds table_timeout{200};
constexpr milliseconds active_time{4'000};
constexpr milliseconds settling_time{80'000};
constexpr milliseconds time_allowed{1'500};

const pool_id orders{"kit-orders"};

std::string answer_of(const attempt_id& attempt) {
  return "answer of " + attempt.value;
}

}  // namespace

struct ledger_simulation::agent {
  ledger_ptr agent_ledger;
  std::uint64_t incarnation = 0;
  steady_time frozen_until{};
  std::set<attempt_id> waiting;
};

struct ledger_simulation::request {
  request_id id;
  idempotency_key key;
};

ledger_simulation::ledger_simulation(const ledger_faults& plan)
    : faults(plan), random(plan.seed), key_sealer(make_sealer()) {
  for (int index = 0; index < plan.agents; ++index) {
    auto fresh = std::make_unique<agent>();
    fresh->agent_ledger = make_ledger(node_id{"agent-" + std::to_string(index)});
    this->agents.push_back(std::move(fresh));
  }
}

ledger_simulation::~ledger_simulation() = default;

void ledger_simulation::schedule(milliseconds delay, std::function<void()> action) {
  this->events[{this->now + delay, ++this->next_event}] = std::move(action);
}

// Delivers to an agent: later if it is frozen, never if it was replaced.
void ledger_simulation::deliver_to_agent(std::size_t index, std::uint64_t incarnation,
                                         std::function<void()> action) {
  agent& target = *this->agents.at(index);
  if (target.incarnation != incarnation) {
    return;
  }
  if (target.frozen_until <= this->now) {
    action();
    return;
  }
  const auto delay = std::chrono::ceil<milliseconds>(target.frozen_until - this->now);
  this->schedule(delay, [this, index, incarnation, action = std::move(action)] {
    this->deliver_to_agent(index, incarnation, action);
  });
}

bool ledger_simulation::chance(int percent) {
  return !this->faults_disabled &&
         next_below(this->random, 100) < static_cast<std::uint64_t>(percent);
}

milliseconds ledger_simulation::some_time(int most_ms) {
  return milliseconds{next_below(this->random, static_cast<std::uint64_t>(most_ms)) + 1};
}

void ledger_simulation::call_table(const table_call& ask,
                                   const std::function<void(table_reply)>& reply) {
  const table_request call = ask.request;
  if (this->chance(this->faults.refused)) {
    this->schedule(this->some_time(5), [reply] { reply(table_failure::refused); });
    return;
  }
  const auto no_answer = [this, reply] {
    this->schedule(table_timeout, [reply] { reply(table_failure::no_answer); });
  };
  if (this->chance(this->faults.lost_before)) {
    no_answer();
    return;
  }
  if (this->chance(this->faults.lost_after)) {
    this->schedule(this->some_time(10), [this, call] { this->table.apply(call); });
    no_answer();
    return;
  }
  if (this->chance(this->faults.applied_late)) {
    this->schedule(table_timeout + this->some_time(2'000),
                   [this, call] { this->table.apply(call); });
    no_answer();
    return;
  }
  this->schedule(this->some_time(10), [this, call, reply] {
    const table_reply result = this->table.apply(call);
    this->schedule(this->some_time(10), [reply, result] { reply(result); });
  });
}

void ledger_simulation::process_output(std::size_t index, const ledger_output& output) {
  const std::uint64_t incarnation = this->agents.at(index)->incarnation;
  for (const table_call& ask : output.table_calls) {
    const std::uint64_t ticket = ask.ticket;
    this->call_table(ask, [this, index, incarnation, ticket](const table_reply& reply) {
      this->deliver_to_agent(index, incarnation, [this, index, ticket, reply] {
        ledger& agent_ledger = *this->agents.at(index)->agent_ledger;
        this->process_output(index, apply_ledger_reply(agent_ledger, ticket, reply, this->now));
      });
    });
  }
  for (const ledger_decision& decision : output.decisions) {
    this->handle_decision(index, decision);
  }
}

void ledger_simulation::handle_decision(std::size_t index, const ledger_decision& decision) {
  agent& decider = *this->agents.at(index);
  if (std::holds_alternative<result_settled>(decision)) {
    return;
  }
  const attempt_id attempt = std::visit([](const auto& any) { return any.attempt; }, decision);
  decider.waiting.erase(attempt);
  if (++this->decisions[attempt] > 1) {
    ++this->findings.decided_twice;
  }
  const request& asked = this->requests.at(this->request_of.at(attempt));
  if (const auto* stored = std::get_if<claim_has_answer>(&decision)) {
    ++this->findings.answers_replayed;
    const auto& ran = this->executed[asked.key.value];
    const bool known = std::any_of(ran.begin(), ran.end(), [&](const attempt_id& done) {
      return answer_of(done) == stored->stored_answer;
    });
    this->findings.false_answers += known ? 0 : 1;
  }
  if (!std::holds_alternative<claim_granted>(decision)) {
    return;
  }
  const std::uint64_t incarnation = decider.incarnation;
  this->schedule(this->some_time(20), [this, index, incarnation, attempt] {
    this->deliver_to_agent(index, incarnation,
                           [this, index, attempt] { this->execute(index, attempt); });
  });
}

// The agent passes the call to its service, or fails to reach it.
void ledger_simulation::execute(std::size_t index, const attempt_id& attempt) {
  ledger& agent_ledger = *this->agents.at(index)->agent_ledger;
  if (this->chance(10)) {
    this->process_output(index, release(agent_ledger, attempt, this->now));
    return;
  }
  const request& asked = this->requests.at(this->request_of.at(attempt));
  auto& ran = this->executed[asked.key.value];
  ran.push_back(attempt);
  ++this->findings.executions;
  this->findings.duplicate_executions += ran.size() > 1 ? 1 : 0;
  this->findings.false_not_run += this->not_run.contains(asked.id) ? 1 : 0;
  const std::uint64_t incarnation = this->agents.at(index)->incarnation;
  const bool fails = this->chance(10);
  this->schedule(this->some_time(100), [this, index, incarnation, attempt, fails] {
    this->deliver_to_agent(index, incarnation, [this, index, attempt, fails] {
      ledger& running = *this->agents.at(index)->agent_ledger;
      this->process_output(index,
                           fails ? abandon(running, attempt, this->now)
                                 : record_result(running, attempt, answer_of(attempt), this->now));
    });
  });
}

void ledger_simulation::process_output(const sealer_output& output) {
  for (const table_call& ask : output.table_calls) {
    const std::uint64_t ticket = ask.ticket;
    this->call_table(ask, [this, ticket](const table_reply& reply) {
      this->process_output(apply_seal_reply(*this->key_sealer, ticket, reply, this->now));
    });
  }
  for (const seal_decision& decision : output.decisions) {
    if (decision.outcome != seal_outcome::not_run) {
      continue;
    }
    this->not_run.insert(decision.request);
    ++this->findings.not_run_reports;
    for (const auto& [key, ran] : this->executed) {
      for (const attempt_id& attempt : ran) {
        const request& asked = this->requests.at(this->request_of.at(attempt));
        this->findings.false_not_run += asked.id == decision.request ? 1 : 0;
      }
    }
  }
}

// Sends one attempt of a request to a random agent, as a router or its replica
// would.
void ledger_simulation::dispatch(std::size_t request_index) {
  const request& asked = this->requests.at(request_index);
  const std::size_t index = next_below(this->random, this->agents.size());
  const attempt_id attempt{"attempt-" + std::to_string(++this->attempts)};
  this->request_of[attempt] = request_index;
  const std::uint64_t incarnation = this->agents.at(index)->incarnation;
  claim_request facts{asked.id, attempt, asked.key, orders, 7, this->now + time_allowed};
  this->deliver_to_agent(index, incarnation, [this, index, facts] {
    agent& target = *this->agents.at(index);
    target.waiting.insert(facts.attempt);
    this->process_output(index, claim(*target.agent_ledger, facts, this->now));
  });
}

void ledger_simulation::give_up(std::size_t request_index) {
  const request& asked = this->requests.at(request_index);
  if (!this->faults.seals_enabled) {
    this->process_output(sealer_output{{}, {{asked.id, seal_outcome::not_run, ""}}});
    return;
  }
  this->process_output(seal(*this->key_sealer, asked.id, asked.key, orders, this->now));
}

void ledger_simulation::inject_agent_faults() {
  for (std::size_t index = 0; index < this->agents.size(); ++index) {
    agent& target = *this->agents.at(index);
    if (this->chance(this->faults.frozen)) {
      target.frozen_until = this->now + this->some_time(3'000);
    }
    if (this->chance(this->faults.killed)) {
      this->findings.claims_overtaken += claims_overtaken(*target.agent_ledger);
      target = agent{make_ledger(node_id{"agent-" + std::to_string(index)}),
                     target.incarnation + 1,
                     this->now,
                     {}};
      target.agent_ledger->claims_enabled = this->faults.claims_enabled;
    }
  }
}

void ledger_simulation::tick_all() {
  for (std::size_t index = 0; index < this->agents.size(); ++index) {
    agent& target = *this->agents.at(index);
    if (target.frozen_until <= this->now) {
      this->process_output(index, ledger_tick(*target.agent_ledger, this->now));
    }
  }
  this->process_output(sealer_tick(*this->key_sealer, this->now));
}

void ledger_simulation::check_at_end() {
  for (const auto& target : this->agents) {
    this->findings.undecided += static_cast<int>(target->waiting.size());
    this->findings.claims_overtaken += claims_overtaken(*target->agent_ledger);
  }
}

ledger_findings ledger_simulation::run() {
  for (const auto& target : this->agents) {
    target->agent_ledger->claims_enabled = this->faults.claims_enabled;
  }
  for (int index = 0; index < this->faults.requests; ++index) {
    const auto key = next_below(this->random, static_cast<std::uint64_t>(this->faults.keys));
    this->requests.push_back({request_id{"request-" + std::to_string(index)},
                              idempotency_key{"key-" + std::to_string(key)}});
    const milliseconds begin = this->some_time(static_cast<int>(active_time.count()));
    const std::uint64_t tries = 1 + next_below(this->random, 3);
    const auto place = static_cast<std::size_t>(index);
    for (std::uint64_t attempt = 0; attempt < tries; ++attempt) {
      this->schedule(begin + this->some_time(400), [this, place] { this->dispatch(place); });
    }
    if (next_below(this->random, 2) == 0) {
      this->schedule(begin + this->some_time(800), [this, place] { this->give_up(place); });
    }
  }
  const steady_time faults_end = this->now + active_time + time_allowed;
  const steady_time end = faults_end + settling_time;
  for (steady_time tick = this->now; tick < end; tick += tick_interval) {
    while (!this->events.empty() && this->events.begin()->first.first <= tick) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key().first;
      event.mapped()();
    }
    this->now = tick;
    this->faults_disabled = tick >= faults_end;
    this->inject_agent_faults();
    this->tick_all();
  }
  this->check_at_end();
  return this->findings;
}

}  // namespace chestnuthead
