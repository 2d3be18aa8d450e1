#include "Agent/agent_run.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Agent/agent_state.h"
#include "Ledger/ledger_state.h"

namespace chestnuthead {

namespace {

constexpr std::size_t agent_count = 3;
constexpr std::size_t key_count = 25;

}  // namespace

agent_run::agent_run(std::uint64_t seed, const run_options& run) : options(run), random(seed) {
  agent_bench::store(this->table, small_document(run.kind));
  for (std::size_t index = 0; index < agent_count; ++index) {
    agent_process agent;
    agent.bench = std::make_unique<agent_bench>(this->table, "agent-" + std::to_string(index));
    this->agents.push_back(std::move(agent));
    this->kill(index);
  }
}

void agent_run::execute() {
  for (int count = 0; count < this->options.steps; ++count) {
    this->execute_step();
  }
  this->settle();
  this->check_outcomes();
}

void agent_run::execute_step() {
  switch (this->pick(10)) {
    case 0:
    case 1:
    case 2:
    case 3:
      this->offer_new();
      return;
    case 4:
    case 5:
    case 6:
      this->answer_one();
      return;
    case 7:
      this->pick(2) == 0 ? this->offer_again() : this->withdraw_one();
      return;
    case 8:
      this->pass_time();
      return;
    default:
      this->inject_fault();
      return;
  }
}

void agent_run::offer_new() {
  const std::string name = "a" + std::to_string(this->next_attempt++);
  const std::string customer = this->chance(2) ? "school" : "library";
  attempt_offered event = offer(name, customer);
  if (this->chance(2)) {
    event = payment(name, "key-" + std::to_string(this->pick(key_count)));
  }
  event.facts.importance = static_cast<request_class>(this->pick(request_class_count));
  event.facts.chat = chat_id{"chat-" + std::to_string(this->pick(key_count))};
  event.terms.only_if_resident = this->chance(10);
  event.time_left = std::chrono::milliseconds{500 + 100 * this->pick(100)};
  attempt_record outcome;
  outcome.agent = this->pick(agent_count);
  outcome.offer = event;
  this->outcomes[name] = outcome;
  this->send(outcome.agent, event);
}

// Sends a duplicate of an earlier offer.
void agent_run::offer_again() {
  if (this->outcomes.empty()) {
    return;
  }
  const auto place = std::next(this->outcomes.begin(),
                               static_cast<std::ptrdiff_t>(this->pick(this->outcomes.size())));
  if (!place->second.agent_killed) {
    ++this->seen["offered again"];
    this->send(place->second.agent, place->second.offer);
  }
}

void agent_run::withdraw_one() {
  if (this->outcomes.empty()) {
    return;
  }
  const auto place = std::next(this->outcomes.begin(),
                               static_cast<std::ptrdiff_t>(this->pick(this->outcomes.size())));
  ++this->seen["withdrawn"];
  this->send(place->second.agent, attempt_withdrawn{place->second.offer.attempt});
}

void agent_run::answer_one() {
  const std::size_t index = this->pick(agent_count);
  auto& running = this->agents.at(index).at_endpoint;
  if (running.empty()) {
    return;
  }
  const auto place =
      std::next(running.begin(), static_cast<std::ptrdiff_t>(this->pick(running.size())));
  const std::string name = running.extract(place).value();
  if (!this->chance(8)) {
    this->send(index, finished(name));
    return;
  }
  const bool never_sent = this->chance(2);
  if (never_sent) {
    ++this->seen["never sent"];
    const auto& facts = this->outcomes.at(name).offer.facts;
    this->runs_of_key[facts.key.value].erase(name);
  }
  this->send(index, endpoint_failed{attempt_id{name}, false, never_sent});
}

void agent_run::inject_fault() {
  const std::size_t index = this->pick(agent_count);
  switch (this->pick(8)) {
    case 0:
      this->kill(index);
      return;
    case 1:
      this->crash_engine(index);
      return;
    case 2:
      ++this->seen["paused"];
      this->agents.at(index).paused = 1 + static_cast<int>(this->pick(20));
      return;
    case 3:
      this->agents.at(index).bench->apply_orphans();
      return;
    case 4:
      this->toggle_failure_domain_out();
      return;
    case 5:
      ++this->seen["planned stops"];
      this->send(index, agent_stop_requested{});
      return;
    default:
      this->change_table(index);
      return;
  }
}

// The engine keeps running its requests, but their results are lost.
void agent_run::kill(std::size_t index) {
  ++this->seen["killed"];
  agent_process& agent = this->agents.at(index);
  agent.at_endpoint.clear();
  agent.mailbox.clear();
  agent.paused = 0;
  agent.stopped = false;
  for (auto& [name, outcome] : this->outcomes) {
    outcome.agent_killed = outcome.agent_killed || outcome.agent == index;
  }
  agent.bench->restart();
  agent.bench->mode = table_mode::up;
  agent.bench->start();
  agent.bench->state->warm.limit = 8;
  agent.bench->state->ledger->claims_enabled = this->options.claims;
  agent.bench->state->switches.deduplicate_attempts = this->options.deduplication;
  agent.bench->state->switches.drain_before_stop = this->options.drain;
}

void agent_run::crash_engine(std::size_t index) {
  ++this->seen["engine crashed"];
  const std::set<std::string> lost = std::exchange(this->agents.at(index).at_endpoint, {});
  for (const std::string& name : lost) {
    this->send(index, crashed(name));
  }
  this->send(index, endpoint_ready{true});
}

void agent_run::change_table(std::size_t index) {
  agent_bench& bench = *this->agents.at(index).bench;
  constexpr table_mode modes[] = {table_mode::up, table_mode::down, table_mode::answers_lost,
                                  table_mode::held};
  bench.mode = modes[this->pick(std::size(modes))];
  if (bench.mode == table_mode::up && this->agents.at(index).paused == 0) {
    this->process(index, bench.release_table());
  }
}

// Operators take the agents' failure domain out of service or bring it back.
void agent_run::toggle_failure_domain_out() {
  ++this->seen["orders"];
  this->domain_out = !this->domain_out;
  configuration_document document = small_document(this->options.kind);
  if (this->domain_out) {
    document.failure_domains_out = {failure_domain_id{"domain-1"}};
  }
  agent_bench::store(this->table, document);
}

void agent_run::record_stop(std::size_t index) {
  this->agents.at(index).stopped = true;
  for (const auto& [name, outcome] : this->outcomes) {
    if (outcome.agent == index && !outcome.agent_killed && outcome.ended < outcome.accepted) {
      this->fault("cut off by a planned stop", name);
    }
  }
}

void agent_run::pass_time() {
  const std::chrono::milliseconds time{50 * (1 + this->pick(20))};
  for (std::size_t index = 0; index < agent_count; ++index) {
    agent_process& agent = this->agents.at(index);
    if (agent.paused > 0) {
      // Its clock advances, but it handles no events.
      agent.bench->now += time;
      if (--agent.paused == 0) {
        this->resume(index);
      }
      continue;
    }
    this->process(index, agent.bench->pass(time));
    if (agent.stopped) {
      this->kill(index);
    }
  }
}

void agent_run::settle() {
  for (std::size_t index = 0; index < agent_count; ++index) {
    agent_process& agent = this->agents.at(index);
    this->resume(index);
    agent.bench->apply_orphans();
    this->process(index, agent.bench->release_table());
    for (int round = 0; round < 20; ++round) {
      this->process(index, agent.bench->pass(std::chrono::seconds{1}));
      for (const std::string& name : std::exchange(agent.at_endpoint, {})) {
        this->send(index, finished(name));
      }
    }
    if (agent.bench->load() != 0) {
      this->fault("left in flight", std::to_string(agent.bench->load()));
    }
  }
}

void agent_run::check_outcomes() {
  for (const auto& [name, outcome] : this->outcomes) {
    const int answered = outcome.accepted + outcome.refused;
    if (answered > 1 || outcome.ran > 1 || outcome.ended > 1) {
      this->fault("answered, run or ended twice", name);
    }
    if (outcome.refused > 0 && outcome.ran > 0) {
      this->fault("refused attempt ran", name);
    }
    if (!outcome.agent_killed && (answered != 1 || outcome.ended != outcome.accepted)) {
      this->fault("not answered or not ended", name);
    }
  }
  for (const auto& [key, attempts] : this->runs_of_key) {
    this->seen["keys run"] += attempts.empty() ? 0 : 1;
    if (attempts.size() > 1) {
      this->fault("key ran twice", key);
    }
  }
}

void agent_run::send(std::size_t index, const agent_event& event) {
  agent_process& agent = this->agents.at(index);
  if (agent.paused > 0) {
    agent.mailbox.push_back(event);
    return;
  }
  this->process(index, agent.bench->send(event));
}

void agent_run::resume(std::size_t index) {
  agent_process& agent = this->agents.at(index);
  agent.paused = 0;
  for (const agent_event& event : std::exchange(agent.mailbox, {})) {
    this->send(index, event);
  }
}

void agent_run::process(std::size_t index, const actions& list) {
  for (const agent_action& action : list) {
    if (const auto* accepted = std::get_if<accept_attempt>(&action)) {
      ++this->outcomes.at(accepted->attempt.value).accepted;
    } else if (const auto* refused = std::get_if<refuse_attempt>(&action)) {
      ++this->outcomes.at(refused->attempt.value).refused;
    } else if (const auto* run = std::get_if<run_on_endpoint>(&action)) {
      this->record_run(index, *run);
    } else if (const auto* end = std::get_if<end_attempt>(&action)) {
      this->record_end(*end);
    } else if (const auto* stored = std::get_if<answer_from_ledger>(&action)) {
      ++this->seen["stored answers"];
      ++this->outcomes.at(stored->attempt.value).ended;
    } else if (std::holds_alternative<agent_stop_now>(action)) {
      this->record_stop(index);
    } else if (const auto* broken = std::get_if<agent_invariant_broken>(&action)) {
      this->fault(broken->name, broken->detail);
    }
  }
}

void agent_run::record_run(std::size_t index, const run_on_endpoint& action) {
  attempt_record& outcome = this->outcomes.at(action.attempt.value);
  ++outcome.ran;
  this->agents.at(index).at_endpoint.insert(action.attempt.value);
  if (outcome.offer.facts.rule == execution_rule::at_most_once) {
    this->runs_of_key[outcome.offer.facts.key.value].insert(action.attempt.value);
  }
}

void agent_run::record_end(const end_attempt& action) {
  attempt_record& outcome = this->outcomes.at(action.attempt.value);
  ++outcome.ended;
  if (action.outcome == attempt_outcome::outcome_unknown) {
    ++this->seen["unknown outcomes"];
  }
}

void agent_run::fault(const std::string& what, const std::string& where) {
  this->faults.push_back(what + " " + where);
}

std::size_t agent_run::pick(std::size_t bound) {
  return static_cast<std::size_t>(next_below(this->random, bound));
}

bool agent_run::chance(std::uint64_t one_in) {
  return next_below(this->random, one_in) == 0;
}

}  // namespace chestnuthead
