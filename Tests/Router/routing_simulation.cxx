#include "Router/routing_simulation.h"

#include <iterator>

namespace chestnuthead {

using std::chrono::milliseconds;

namespace {

constexpr int agents = 12;
constexpr milliseconds time_allowed{4'000};

}  // namespace

routing_simulation::routing_simulation(std::uint64_t seed) : router(agents, seed), random(seed) {
  this->router.document.policy.gossip_interval = milliseconds{500};
  this->router.state->tuning.new_chat_choices = 1 + static_cast<std::uint32_t>(seed % 2);
  this->router.state->tuning.no_chat_choices = 1 + static_cast<std::uint32_t>(seed % 2);
  this->router.state->switches.use_chat_affinity = true;
  this->router.configure();
  this->router.log.clear();
  this->router.observer = [this](const auto& actions) { this->check(actions); };
}

std::uint64_t routing_simulation::below(std::uint64_t bound) {
  return next_below(this->random, bound);
}

void routing_simulation::add_fault(const std::string& what) {
  this->recorded_faults.push_back(what);
}

void routing_simulation::run_steps(int steps) {
  for (int number = 0; number < steps; ++number) {
    this->run_random_step();
  }
  this->router.handle_event(router_stop_requested{});
  this->router.advance_clock(2 * time_allowed);
  for (const auto& [request, deadline] : this->deadlines) {
    if (this->final_actions[request] != 1) {
      this->add_fault(request.value + " got " + std::to_string(this->final_actions[request]) +
                      " final actions");
    }
  }
  if (!this->stopped) {
    this->add_fault("the router did not stop");
  }
}

void routing_simulation::run_random_step() {
  const std::uint64_t roll = this->below(100);
  if (roll < 30) {
    this->submit();
  } else if (roll < 70) {
    this->answer_one();
  } else if (roll < 90) {
    this->router.advance_clock(router_tick_interval);
  } else if (roll < 93) {
    this->move_failure_domain();
  } else if (roll < 95) {
    this->send_crash_rumor();
  } else if (roll < 97) {
    const node_id node = this->router.vms.vms[this->below(agents)].node;
    this->router.handle_event(router_link_lost{node});
  } else if (roll < 98) {
    // The process was paused: the clock jumps between two ticks.
    this->router.now += milliseconds{this->below(6'000)};
    this->router.handle_event(router_tick{});
  } else if (!this->deadlines.empty()) {
    const auto place = std::next(this->deadlines.begin(),
                                 static_cast<std::ptrdiff_t>(this->below(this->deadlines.size())));
    this->router.handle_event(caller_left{place->first});
  }
}

void routing_simulation::submit() {
  request_arrived event;
  event.facts.request = {"r" + std::to_string(this->deadlines.size())};
  event.facts.customer = {"school"};
  event.facts.pool = {"model"};
  event.facts.fingerprint = this->below(50);
  event.facts.returning = this->below(2) == 0;
  if (this->below(4) != 0) {
    event.facts.chat = {"c" + std::to_string(this->below(30))};
  }
  event.time_allowed = time_allowed;
  this->deadlines[event.facts.request] = this->router.now + time_allowed;
  this->router.handle_event(event);
}

void routing_simulation::answer_one() {
  if (!this->probes.empty() && this->below(2) == 0) {
    this->answer_probe();
    return;
  }
  // One event in eight belongs to an attempt that is already closed.
  auto& table =
      !this->closed_attempts.empty() && this->below(8) == 0 ? this->closed_attempts : this->open;
  if (!table.empty()) {
    this->answer_attempt(table);
  }
}

void routing_simulation::answer_probe() {
  const send_probe probe = this->probes.back();
  this->probes.pop_back();
  load_report load;
  load.limit = 10;
  load.in_flight = static_cast<std::uint32_t>(this->below(12));
  load.resident_tokens = static_cast<std::uint32_t>(this->below(3));
  this->router.handle_event(probe_answered{probe.request, probe.agent, load});
}

void routing_simulation::answer_attempt(std::map<attempt_id, open_attempt>& table) {
  const auto place =
      std::next(table.begin(), static_cast<std::ptrdiff_t>(this->below(table.size())));
  open_attempt& entry = place->second;
  const send_attempt order = entry.order;
  const request_id& request = order.facts.request;
  load_report load;
  load.limit = 32;
  load.leaving = this->below(40) == 0;
  const std::uint64_t roll = this->below(3);
  if (roll == 0) {
    // An agent never runs an attempt that it refused, whatever arrives late.
    entry.accepted = entry.accepted || !entry.refused;
    if (entry.accepted) {
      this->accepted.insert(request);
    }
    this->router.handle_event(attempt_accepted{request, order.attempt, load});
    return;
  }
  const bool current = &table == &this->open;
  if (current && roll == 2) {
    this->bytes[request] += this->below(2) * this->below(20);
  }
  const std::uint64_t passed = this->bytes[request];
  entry.refused = entry.refused || (roll == 1 && !entry.accepted);
  const bool refused = roll == 1 && entry.refused;
  this->closed_attempts.insert(table.extract(place));
  if (refused) {
    const auto why = static_cast<refusal_kind>(this->below(6));
    const milliseconds retry_after{this->below(900)};
    this->router.handle_event(attempt_refused{request, order.attempt, why, retry_after, load});
    return;
  }
  const auto outcome = static_cast<attempt_outcome>(this->below(4));
  if (current && outcome == attempt_outcome::complete) {
    this->completed.insert(request);
  }
  this->router.handle_event(attempt_ended{request, order.attempt, outcome, passed, load});
}

void routing_simulation::move_failure_domain() {
  auto& out = this->router.document.failure_domains_out;
  const failure_domain_id domain{"d" + std::to_string(this->below(4))};
  if (out.erase(domain) == 0) {
    out.insert(domain);
  }
  this->router.configure();
}

void routing_simulation::send_crash_rumor() {
  gossip_message message;
  message.from = {"model-0"};
  const std::string agent = this->router.vms.vms[this->below(agents)].node.value;
  const std::string fingerprint = std::to_string(this->below(50));
  message.rumors.push_back(
      {rumor_kind::request_crashed, {agent}, this->deadlines.size(), fingerprint, agent, {}});
  this->router.handle_event(router_gossip_received{message});
}

void routing_simulation::check(const std::vector<router_action>& actions) {
  for (const router_action& action : actions) {
    if (const auto* order = std::get_if<send_attempt>(&action)) {
      this->check_attempt(*order);
    } else if (const auto* probe = std::get_if<send_probe>(&action)) {
      this->probes.push_back(*probe);
    } else if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
      this->closed_attempts.insert(this->open.extract(cancel->attempt));
    } else if (const auto* finish = std::get_if<finish_answer>(&action)) {
      this->record_final_action(finish->request, "finished");
      if (!this->completed.contains(finish->request)) {
        this->add_fault(finish->request.value + " was finished by another attempt's answer");
      }
    } else if (const auto* answer = std::get_if<answer_error>(&action)) {
      this->record_final_action(answer->request, std::string(answer_for(answer->kind).name));
      if (answer->ran == run_state::not_run && this->accepted.contains(answer->request)) {
        this->add_fault(answer->request.value +
                        " was accepted, but its caller was sent \"not run\"");
      }
    } else if (const auto* cut = std::get_if<cut_answer>(&action)) {
      this->record_final_action(cut->request, "cut");
    } else if (std::holds_alternative<router_stop_now>(action)) {
      this->stopped = true;
    } else if (const auto* broken = std::get_if<router_invariant_broken>(&action)) {
      this->add_fault("invariant broken: " + broken->name + " " + broken->detail);
    }
  }
}

void routing_simulation::check_attempt(const send_attempt& order) {
  const request_id& request = order.facts.request;
  const auto& out = this->router.document.failure_domains_out;
  const auto& document = configuration_of(*this->router.state);
  const bool up_to_date =
      order.configuration_version == document.version && document.failure_domains_out == out;
  for (const vm_entry& vm : this->router.vms.vms) {
    if (up_to_date && vm.node == order.agent && out.contains(vm.failure_domain)) {
      this->add_fault(request.value + " was sent to " + vm.node.value + ", which is out");
    }
  }
  if (this->router.now + order.time_left > this->deadlines.at(request)) {
    this->add_fault(request.value + " was sent with a time limit past its deadline");
  }
  if (order.terms.resume_offset != this->bytes[request]) {
    this->add_fault(request.value + " resumes at the wrong byte");
  }
  this->open[order.attempt].order = order;
}

void routing_simulation::record_final_action(const request_id& request, const std::string& how) {
  ++this->final_actions[request];
  ++this->outcome_counts[how];
  for (auto place = this->open.begin(); place != this->open.end();) {
    const auto next = std::next(place);
    if (place->second.order.facts.request == request) {
      this->closed_attempts.insert(this->open.extract(place));
    }
    place = next;
  }
}

std::vector<std::string> routing_simulation::faults() const {
  return this->recorded_faults;
}

}  // namespace chestnuthead
