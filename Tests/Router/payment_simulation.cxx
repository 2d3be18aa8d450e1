#include "Router/payment_simulation.h"

#include <utility>

namespace chestnuthead {

using std::chrono::milliseconds;

payment_simulation::payment_simulation(std::uint64_t seed) : router(0, seed), random(seed) {
  for (const vm_entry& vm : this->router.vms.vms) {
    this->ledgers[vm.node] = make_ledger(vm.node);
  }
  this->router.document.pools[1].default_deadline = milliseconds{3'000};
  this->router.configure();
  this->router.log.clear();
  // From here on the simulation answers the table calls of the router's seals.
  this->router.hold_seals = true;
}

void payment_simulation::schedule(int most_milliseconds, work task) {
  const milliseconds delay{next_below(this->random, most_milliseconds) + 1};
  this->tasks.emplace(this->router.now + delay, std::move(task));
}

void payment_simulation::run_calls(int calls) {
  for (int call = 0; call < calls; ++call) {
    this->submit(call);
    for (std::uint64_t ticks = next_below(this->random, 12); ticks > 0; --ticks) {
      this->advance();
    }
  }
  while (summarise(*this->router.state).requests_in_flight > 0 || !this->tasks.empty()) {
    this->advance();
  }
}

void payment_simulation::submit(int call) {
  // One call in four reuses the key of an earlier one.
  const bool again = call > 0 && next_below(this->random, 4) == 0;
  const std::uint64_t key = again ? next_below(this->random, call) : call;
  this->process_actions(
      this->router.send_payment("r" + std::to_string(call), "k" + std::to_string(key)));
}

void payment_simulation::advance() {
  constexpr milliseconds pace{10};
  const steady_time end = this->router.now + router_tick_interval;
  while (this->router.now < end) {
    this->router.now += pace;
    while (!this->tasks.empty() && this->tasks.begin()->first <= this->router.now) {
      const work task = this->tasks.begin()->second;
      this->tasks.erase(this->tasks.begin());
      task();
    }
  }
  for (auto& [agent, agent_ledger] : this->ledgers) {
    this->process_output(agent, ledger_tick(*agent_ledger, this->router.now));
  }
  this->process_actions(this->router.handle_event(router_tick{}));
}

void payment_simulation::record_final_action(const request_id& request) {
  ++this->final_actions[request];
}

void payment_simulation::process_actions(const std::vector<router_action>& actions) {
  for (const router_action& action : actions) {
    if (const auto* attempt = std::get_if<send_attempt>(&action)) {
      this->send(*attempt);
    } else if (const auto* ask = std::get_if<router_submit_table>(&action)) {
      this->call_table({}, {ask->ticket, ask->request});
    } else if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
      this->schedule(60, [this, order = *cancel] {
        this->process_output(
            order.agent, withdraw(*this->ledgers.at(order.agent), order.attempt, this->router.now));
      });
    } else if (const auto* finish = std::get_if<finish_answer>(&action)) {
      this->record_final_action(finish->request);
      ++this->finished;
    } else if (const auto* answer = std::get_if<answer_error>(&action)) {
      this->record_final_action(answer->request);
      if (answer->ran == run_state::not_run) {
        this->reported_not_run.insert(answer->request);
        ++this->not_run_reports;
      }
      this->unknown_reports += answer->ran == run_state::unknown ? 1 : 0;
    }
  }
}

void payment_simulation::send(const send_attempt& attempt) {
  this->sent[attempt.attempt] = attempt;
  const attempt_ended lost{attempt.facts.request, attempt.attempt, attempt_outcome::lost, 0, {}};
  switch (next_below(this->random, 5)) {
    case 0:
      // The link breaks, and the attempt never arrives.
      this->schedule(200, [this, lost] { this->process_actions(this->router.handle_event(lost)); });
      return;
    case 1:
      // The link breaks, but the attempt still arrives later.
      this->schedule(200, [this, lost] { this->process_actions(this->router.handle_event(lost)); });
      this->schedule(2'000, [this, attempt] { this->deliver_attempt(attempt); });
      return;
    default:
      this->schedule(30, [this, attempt] { this->deliver_attempt(attempt); });
  }
}

void payment_simulation::deliver_attempt(const send_attempt& attempt) {
  const auto& facts = attempt.facts;
  if (next_below(this->random, 8) == 0) {
    this->send_to_router(
        attempt_refused{facts.request, attempt.attempt, refusal_kind::full, {}, {}});
    return;
  }
  const claim_request wanted{facts.request,     attempt.attempt,
                             facts.key,         facts.pool,
                             facts.fingerprint, this->router.now + attempt.time_left};
  this->process_output(attempt.agent,
                       claim(*this->ledgers.at(attempt.agent), wanted, this->router.now));
}

void payment_simulation::process_output(const node_id& agent, const ledger_output& output) {
  for (const table_call& ask : output.table_calls) {
    this->call_table(agent, ask);
  }
  for (const ledger_decision& decision : output.decisions) {
    this->decide(agent, decision);
  }
}

// An empty agent id stands for the router.
void payment_simulation::call_table(const node_id& agent, const table_call& ask) {
  const bool refused = next_below(this->random, 10) == 0;
  const bool answer_lost = next_below(this->random, 10) == 0;
  this->schedule(120, [this, agent, ask, refused, answer_lost] {
    table_reply result = table_failure::refused;
    if (!refused) {
      result = this->router.table.apply(ask.request);
    }
    if (answer_lost) {
      result = table_failure::no_answer;
    }
    this->schedule(120, [this, agent, ask, result] {
      if (agent.empty()) {
        this->process_actions(this->router.handle_event(router_table_replied{ask.ticket, result}));
        return;
      }
      this->process_output(agent, apply_ledger_reply(*this->ledgers.at(agent), ask.ticket, result,
                                                     this->router.now));
    });
  });
}

void payment_simulation::decide(const node_id& agent, const ledger_decision& decision) {
  const attempt_id name = std::visit([](const auto& each) { return each.attempt; }, decision);
  const send_attempt& attempt = this->sent.at(name);
  const request_id& request = attempt.facts.request;
  if (std::holds_alternative<claim_granted>(decision)) {
    this->run_attempt(agent, attempt);
  } else if (const auto* refused = std::get_if<claim_refused>(&decision)) {
    this->send_to_router(attempt_refused{request, name, refused->why, {}, {}});
  } else if (std::holds_alternative<claim_outcome_unknown>(decision)) {
    this->send_to_router(attempt_ended{request, name, attempt_outcome::outcome_unknown, 0, {}});
  } else {
    this->send_to_router(attempt_ended{request, name, attempt_outcome::complete, 2, {}});
  }
}

void payment_simulation::run_attempt(const node_id& agent, const send_attempt& attempt) {
  ++this->runs[attempt.facts.key];
  this->ran.insert(attempt.facts.request);
  this->send_to_router(attempt_accepted{attempt.facts.request, attempt.attempt, {}});
  this->schedule(600, [this, agent, attempt] {
    this->process_output(
        agent, record_result(*this->ledgers.at(agent), attempt.attempt, "ok", this->router.now));
  });
}

// One reply in six does not reach the router, which sees a broken link instead.
void payment_simulation::send_to_router(const router_event& event) {
  router_event seen = event;
  if (next_below(this->random, 6) == 0) {
    std::visit(
        [&seen](const auto& original) {
          if constexpr (requires { original.attempt; }) {
            seen = attempt_ended{original.request, original.attempt, attempt_outcome::lost, 0, {}};
          }
        },
        event);
  }
  this->schedule(60, [this, seen] { this->process_actions(this->router.handle_event(seen)); });
}

std::vector<std::string> payment_simulation::faults() const {
  std::vector<std::string> found;
  for (const auto& [key, count] : this->runs) {
    if (count > 1) {
      found.push_back(key.value + " ran " + std::to_string(count) + " times");
    }
  }
  for (const request_id& request : this->reported_not_run) {
    if (this->ran.contains(request)) {
      found.push_back(request.value + " ran, but its caller was sent \"not run\"");
    }
  }
  for (const auto& [request, count] : this->final_actions) {
    if (count != 1) {
      found.push_back(request.value + " got " + std::to_string(count) + " final actions");
    }
  }
  for (const std::string& name : broken_invariants(this->router.log)) {
    found.push_back("invariant broken: " + name);
  }
  return found;
}

}  // namespace chestnuthead
