#include "Router/payment_world.h"

#include <utility>

namespace chestnuthead {

using std::chrono::milliseconds;

payment_world::payment_world(std::uint64_t seed) : router(0, seed), random(seed) {
  for (const vm_entry& vm : this->router.vms.vms) {
    this->ledgers[vm.node] = make_ledger(vm.node);
  }
  this->router.document.pools[1].default_deadline = milliseconds{3'000};
  this->router.configure();
  this->router.log.clear();
  // From now on the world answers the table's calls of the router's seals.
  this->router.hold_seals = true;
}

void payment_world::later(int most_milliseconds, work task) {
  const milliseconds delay{next_below(this->random, most_milliseconds) + 1};
  this->tasks.emplace(this->router.now + delay, std::move(task));
}

void payment_world::play(int calls) {
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

void payment_world::submit(int call) {
  // One call in four comes again under the key of an earlier one.
  const bool again = call > 0 && next_below(this->random, 4) == 0;
  const std::uint64_t key = again ? next_below(this->random, call) : call;
  this->carry_out(this->router.pay("r" + std::to_string(call), "k" + std::to_string(key)));
}

void payment_world::advance() {
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
  for (auto& [agent, book] : this->ledgers) {
    this->follow(agent, ledger_tick(*book, this->router.now));
  }
  this->carry_out(this->router.give(router_tick{}));
}

void payment_world::note_final(const request_id& request) {
  ++this->finals[request];
}

void payment_world::carry_out(const std::vector<router_action>& actions) {
  for (const router_action& action : actions) {
    if (const auto* attempt = std::get_if<send_attempt>(&action)) {
      this->send(*attempt);
    } else if (const auto* ask = std::get_if<router_submit_table>(&action)) {
      this->ask_table({}, {ask->ticket, ask->request});
    } else if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
      this->later(60, [this, order = *cancel] {
        this->follow(order.agent,
                     withdraw(*this->ledgers.at(order.agent), order.attempt, this->router.now));
      });
    } else if (const auto* finish = std::get_if<finish_answer>(&action)) {
      this->note_final(finish->request);
      ++this->finished;
    } else if (const auto* answer = std::get_if<answer_error>(&action)) {
      this->note_final(answer->request);
      if (answer->ran == run_state::not_run) {
        this->said_not_run.insert(answer->request);
        ++this->told_not_run;
      }
      this->told_unknown += answer->ran == run_state::unknown ? 1 : 0;
    }
  }
}

void payment_world::send(const send_attempt& attempt) {
  this->sent[attempt.attempt] = attempt;
  const attempt_ended lost{attempt.facts.request, attempt.attempt, attempt_outcome::lost, 0, {}};
  switch (next_below(this->random, 5)) {
    case 0:
      // The link breaks, and the attempt never arrives.
      this->later(200, [this, lost] { this->carry_out(this->router.give(lost)); });
      return;
    case 1:
      // The link breaks, and the attempt arrives later all the same.
      this->later(200, [this, lost] { this->carry_out(this->router.give(lost)); });
      this->later(2'000, [this, attempt] { this->offer(attempt); });
      return;
    default:
      this->later(30, [this, attempt] { this->offer(attempt); });
  }
}

void payment_world::offer(const send_attempt& attempt) {
  const auto& facts = attempt.facts;
  if (next_below(this->random, 8) == 0) {
    this->reply(attempt_refused{facts.request, attempt.attempt, refusal_kind::full, {}, {}});
    return;
  }
  const claim_request wanted{facts.request,     attempt.attempt,
                             facts.key,         facts.pool,
                             facts.fingerprint, this->router.now + attempt.time_left};
  this->follow(attempt.agent, claim(*this->ledgers.at(attempt.agent), wanted, this->router.now));
}

void payment_world::follow(const node_id& agent, const ledger_output& output) {
  for (const table_call& ask : output.table_calls) {
    this->ask_table(agent, ask);
  }
  for (const ledger_decision& decision : output.decisions) {
    this->decide(agent, decision);
  }
}

// The asker is the router if no agent is named.
void payment_world::ask_table(const node_id& agent, const table_call& ask) {
  const bool refused = next_below(this->random, 10) == 0;
  const bool answer_lost = next_below(this->random, 10) == 0;
  this->later(120, [this, agent, ask, refused, answer_lost] {
    table_reply result = table_failure::refused;
    if (!refused) {
      result = this->router.table.apply(ask.request);
    }
    if (answer_lost) {
      result = table_failure::no_answer;
    }
    this->later(120, [this, agent, ask, result] {
      if (agent.empty()) {
        this->carry_out(this->router.give(router_table_replied{ask.ticket, result}));
        return;
      }
      this->follow(
          agent, take_ledger_reply(*this->ledgers.at(agent), ask.ticket, result, this->router.now));
    });
  });
}

void payment_world::decide(const node_id& agent, const ledger_decision& decision) {
  const attempt_id name = std::visit([](const auto& each) { return each.attempt; }, decision);
  const send_attempt& attempt = this->sent.at(name);
  const request_id& request = attempt.facts.request;
  if (std::holds_alternative<claim_granted>(decision)) {
    this->run(agent, attempt);
  } else if (const auto* refused = std::get_if<claim_refused>(&decision)) {
    this->reply(attempt_refused{request, name, refused->why, {}, {}});
  } else if (std::holds_alternative<claim_outcome_unknown>(decision)) {
    this->reply(attempt_ended{request, name, attempt_outcome::outcome_unknown, 0, {}});
  } else {
    this->reply(attempt_ended{request, name, attempt_outcome::complete, 2, {}});
  }
}

void payment_world::run(const node_id& agent, const send_attempt& attempt) {
  ++this->runs[attempt.facts.key];
  this->ran.insert(attempt.facts.request);
  this->reply(attempt_accepted{attempt.facts.request, attempt.attempt, {}});
  this->later(600, [this, agent, attempt] {
    this->follow(agent,
                 record_result(*this->ledgers.at(agent), attempt.attempt, "ok", this->router.now));
  });
}

// One answer in six does not reach the router: it sees a broken link instead.
void payment_world::reply(const router_event& event) {
  router_event seen = event;
  if (next_below(this->random, 6) == 0) {
    std::visit(
        [&seen](const auto& told) {
          if constexpr (requires { told.attempt; }) {
            seen = attempt_ended{told.request, told.attempt, attempt_outcome::lost, 0, {}};
          }
        },
        event);
  }
  this->later(60, [this, seen] { this->carry_out(this->router.give(seen)); });
}

std::vector<std::string> payment_world::faults() const {
  std::vector<std::string> found;
  for (const auto& [key, count] : this->runs) {
    if (count > 1) {
      found.push_back(key.value + " ran " + std::to_string(count) + " times");
    }
  }
  for (const request_id& request : this->said_not_run) {
    if (this->ran.contains(request)) {
      found.push_back(request.value + " ran, and its caller was told \"not run\"");
    }
  }
  for (const auto& [request, count] : this->finals) {
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
