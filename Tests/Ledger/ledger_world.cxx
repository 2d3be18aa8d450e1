#include "Ledger/ledger_world.h"

#include <algorithm>
#include <utility>

#include "Ledger/ledger_state.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{50};
constexpr milliseconds table_timeout{200};
constexpr milliseconds playing_time{4'000};
constexpr milliseconds settling_time{80'000};
constexpr milliseconds time_allowed{1'500};

const pool_id orders{"kit-orders"};

std::string answer_of(const attempt_id& attempt) {
  return "answer of " + attempt.value;
}

}  // namespace

struct ledger_world::agent {
  ledger_ptr book;
  std::uint64_t incarnation = 0;
  steady_time frozen_until{};
  std::set<attempt_id> waiting;
};

struct ledger_world::request {
  request_id id;
  idempotency_key key;
};

ledger_world::ledger_world(const ledger_faults& plan)
    : faults(plan), random(plan.seed), seals(make_sealer()) {
  for (int index = 0; index < plan.agents; ++index) {
    auto fresh = std::make_unique<agent>();
    fresh->book = make_ledger(node_id{"agent-" + std::to_string(index)});
    this->agents.push_back(std::move(fresh));
  }
}

ledger_world::~ledger_world() = default;

void ledger_world::at(milliseconds delay, std::function<void()> action) {
  this->events[{this->now + delay, ++this->next_event}] = std::move(action);
}

// Delivers to an agent: later if it is frozen, never if it has been replaced.
void ledger_world::at_agent(std::size_t index, std::uint64_t incarnation,
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
  this->at(delay, [this, index, incarnation, action = std::move(action)] {
    this->at_agent(index, incarnation, action);
  });
}

bool ledger_world::chance(int percent) {
  return !this->calm && next_below(this->random, 100) < static_cast<std::uint64_t>(percent);
}

milliseconds ledger_world::some_time(int most_ms) {
  return milliseconds{next_below(this->random, static_cast<std::uint64_t>(most_ms)) + 1};
}

void ledger_world::call_table(const table_call& ask,
                              const std::function<void(table_reply)>& reply) {
  const table_request call = ask.request;
  if (this->chance(this->faults.refused)) {
    this->at(this->some_time(5), [reply] { reply(table_failure::refused); });
    return;
  }
  const auto no_answer = [this, reply] {
    this->at(table_timeout, [reply] { reply(table_failure::no_answer); });
  };
  if (this->chance(this->faults.lost_before)) {
    no_answer();
    return;
  }
  if (this->chance(this->faults.lost_after)) {
    this->at(this->some_time(10), [this, call] { this->table.apply(call); });
    no_answer();
    return;
  }
  if (this->chance(this->faults.applied_late)) {
    this->at(table_timeout + this->some_time(2'000), [this, call] { this->table.apply(call); });
    no_answer();
    return;
  }
  this->at(this->some_time(10), [this, call, reply] {
    const table_reply result = this->table.apply(call);
    this->at(this->some_time(10), [reply, result] { reply(result); });
  });
}

void ledger_world::carry_out(std::size_t index, const ledger_output& output) {
  const std::uint64_t incarnation = this->agents.at(index)->incarnation;
  for (const table_call& ask : output.table_calls) {
    const std::uint64_t ticket = ask.ticket;
    this->call_table(ask, [this, index, incarnation, ticket](const table_reply& reply) {
      this->at_agent(index, incarnation, [this, index, ticket, reply] {
        ledger& book = *this->agents.at(index)->book;
        this->carry_out(index, take_ledger_reply(book, ticket, reply, this->now));
      });
    });
  }
  for (const ledger_decision& decision : output.decisions) {
    this->take_decision(index, decision);
  }
}

void ledger_world::take_decision(std::size_t index, const ledger_decision& decision) {
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
  this->at(this->some_time(20), [this, index, incarnation, attempt] {
    this->at_agent(index, incarnation, [this, index, attempt] { this->execute(index, attempt); });
  });
}

// The agent gives the call to its service, or finds that it can't.
void ledger_world::execute(std::size_t index, const attempt_id& attempt) {
  ledger& book = *this->agents.at(index)->book;
  if (this->chance(10)) {
    this->carry_out(index, release(book, attempt, this->now));
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
  this->at(this->some_time(100), [this, index, incarnation, attempt, fails] {
    this->at_agent(index, incarnation, [this, index, attempt, fails] {
      ledger& running = *this->agents.at(index)->book;
      this->carry_out(index, fails
                                 ? abandon(running, attempt, this->now)
                                 : record_result(running, attempt, answer_of(attempt), this->now));
    });
  });
}

void ledger_world::carry_out(const sealer_output& output) {
  for (const table_call& ask : output.table_calls) {
    const std::uint64_t ticket = ask.ticket;
    this->call_table(ask, [this, ticket](const table_reply& reply) {
      this->carry_out(take_seal_reply(*this->seals, ticket, reply, this->now));
    });
  }
  for (const seal_decision& decision : output.decisions) {
    if (decision.outcome != seal_outcome::not_run) {
      continue;
    }
    this->not_run.insert(decision.request);
    ++this->findings.told_not_run;
    for (const auto& [key, ran] : this->executed) {
      for (const attempt_id& attempt : ran) {
        const request& asked = this->requests.at(this->request_of.at(attempt));
        this->findings.false_not_run += asked.id == decision.request ? 1 : 0;
      }
    }
  }
}

// Sends one attempt of a request to some agent, as a router or its twin would.
void ledger_world::dispatch(std::size_t request_index) {
  const request& asked = this->requests.at(request_index);
  const std::size_t index = next_below(this->random, this->agents.size());
  const attempt_id attempt{"attempt-" + std::to_string(++this->attempts)};
  this->request_of[attempt] = request_index;
  const std::uint64_t incarnation = this->agents.at(index)->incarnation;
  claim_request facts{asked.id, attempt, asked.key, orders, 7, this->now + time_allowed};
  this->at_agent(index, incarnation, [this, index, facts] {
    agent& target = *this->agents.at(index);
    target.waiting.insert(facts.attempt);
    this->carry_out(index, claim(*target.book, facts, this->now));
  });
}

void ledger_world::give_up(std::size_t request_index) {
  const request& asked = this->requests.at(request_index);
  if (!this->faults.seals_needed) {
    this->carry_out(sealer_output{{}, {{asked.id, seal_outcome::not_run, ""}}});
    return;
  }
  this->carry_out(seal(*this->seals, asked.id, asked.key, orders, this->now));
}

void ledger_world::disturb_agents() {
  for (std::size_t index = 0; index < this->agents.size(); ++index) {
    agent& target = *this->agents.at(index);
    if (this->chance(this->faults.frozen)) {
      target.frozen_until = this->now + this->some_time(3'000);
    }
    if (this->chance(this->faults.killed)) {
      this->findings.claims_overtaken += claims_overtaken(*target.book);
      target = agent{make_ledger(node_id{"agent-" + std::to_string(index)}),
                     target.incarnation + 1,
                     this->now,
                     {}};
      target.book->claims_needed = this->faults.claims_needed;
    }
  }
}

void ledger_world::tick_all() {
  for (std::size_t index = 0; index < this->agents.size(); ++index) {
    agent& target = *this->agents.at(index);
    if (target.frozen_until <= this->now) {
      this->carry_out(index, ledger_tick(*target.book, this->now));
    }
  }
  this->carry_out(sealer_tick(*this->seals, this->now));
}

void ledger_world::check_at_end() {
  for (const auto& target : this->agents) {
    this->findings.undecided += static_cast<int>(target->waiting.size());
    this->findings.claims_overtaken += claims_overtaken(*target->book);
  }
}

ledger_findings ledger_world::run() {
  for (const auto& target : this->agents) {
    target->book->claims_needed = this->faults.claims_needed;
  }
  for (int index = 0; index < this->faults.requests; ++index) {
    const auto key = next_below(this->random, static_cast<std::uint64_t>(this->faults.keys));
    this->requests.push_back({request_id{"request-" + std::to_string(index)},
                              idempotency_key{"key-" + std::to_string(key)}});
    const milliseconds begin = this->some_time(static_cast<int>(playing_time.count()));
    const std::uint64_t tries = 1 + next_below(this->random, 3);
    const auto place = static_cast<std::size_t>(index);
    for (std::uint64_t attempt = 0; attempt < tries; ++attempt) {
      this->at(begin + this->some_time(400), [this, place] { this->dispatch(place); });
    }
    if (next_below(this->random, 2) == 0) {
      this->at(begin + this->some_time(800), [this, place] { this->give_up(place); });
    }
  }
  const steady_time calm_at = this->now + playing_time + time_allowed;
  const steady_time end = calm_at + settling_time;
  for (steady_time tick = this->now; tick < end; tick += tick_interval) {
    while (!this->events.empty() && this->events.begin()->first.first <= tick) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key().first;
      event.mapped()();
    }
    this->now = tick;
    this->calm = tick >= calm_at;
    this->disturb_agents();
    this->tick_all();
  }
  this->check_at_end();
  return this->findings;
}

}  // namespace chestnuthead
