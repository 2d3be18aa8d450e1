#include "Measure/fleet_run.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds load_sample_interval{200};

struct policy_name {
  const char* name;
  measured_policy policy;
};

constexpr std::array<policy_name, 6> policy_names{{
    {"ours", measured_policy::ours},
    {"random", measured_policy::random},
    {"two-choices", measured_policy::two_choices},
    {"rendezvous", measured_policy::rendezvous},
    {"bounded", measured_policy::bounded},
    {"full-knowledge", measured_policy::full_knowledge},
}};

baseline_policy baseline_of(measured_policy policy) {
  switch (policy) {
    case measured_policy::two_choices:
      return baseline_policy::two_choices;
    case measured_policy::rendezvous:
      return baseline_policy::rendezvous;
    case measured_policy::bounded:
      return baseline_policy::bounded;
    case measured_policy::full_knowledge:
      return baseline_policy::full_knowledge;
    case measured_policy::ours:
    case measured_policy::random:
      break;
  }
  return baseline_policy::random;
}

std::unique_ptr<fleet> make_fleet(const run_parameters& parameters, event_queue& queue,
                                  random_source& random) {
  const fleet_parameters& shape = parameters.shape;
  if (parameters.policy == measured_policy::ours) {
    return std::make_unique<routed_fleet>(queue, shape, measured_document(shape), parameters.seed);
  }
  return std::make_unique<baseline_fleet>(queue, shape, baseline_of(parameters.policy), random);
}

}  // namespace

std::variant<measured_policy, std::string> policy_of(const std::string& name) {
  for (const policy_name& known : policy_names) {
    if (name == known.name) {
      return known.policy;
    }
  }
  return "The policy \"" + name +
         "\" is not known; expected ours, random, two-choices, rendezvous, bounded or "
         "full-knowledge.";
}

fleet_run::fleet_run(const run_parameters& plan) : parameters(plan), random(plan.seed) {
  this->engines = make_fleet(plan, this->queue, this->random);
  this->callers = std::make_unique<workload>(
      this->queue, this->random, plan.callers,
      [this](const planned_request& request, std::function<void(const request_outcome&)> done) {
        this->engines->submit(request, std::move(done));
      },
      [this](const planned_request& request, const request_outcome& outcome) {
        this->record_outcome(request, outcome);
      });
}

void fleet_run::at(std::chrono::milliseconds when, std::function<void(fleet&)> action) {
  this->queue.after(this->parameters.warm_up + when,
                    [this, action = std::move(action)] { action(*this->engines); });
}

run_findings fleet_run::play() {
  // The cores need some time to read the configuration and the VM list.
  constexpr std::chrono::seconds settling{5};
  const steady_time begin = this->queue.now();
  this->queue.after(settling, [this] { this->callers->begin(); });
  this->queue.run_until(begin + this->parameters.warm_up);
  this->counting = true;
  this->counting_since = this->queue.now();
  this->sample();
  this->queue.run_until(this->counting_since + this->parameters.length);
  this->complete_findings();
  return this->findings;
}

fleet& fleet_run::modelled_fleet() {
  return *this->engines;
}

routed_fleet* fleet_run::ours() {
  return dynamic_cast<routed_fleet*>(this->engines.get());
}

void fleet_run::record_outcome(const planned_request& request, const request_outcome& outcome) {
  if (!this->counting) {
    return;
  }
  ++this->findings.requests;
  if (!outcome.answered) {
    ++this->findings.failed;
    return;
  }
  ++this->findings.answered;
  this->findings.first_bytes.push_back(outcome.until_first_byte);
  if (request.facts.returning) {
    ++this->findings.returning_turns;
    this->findings.reusable_tokens += request.reusable_tokens;
    this->findings.reused_tokens += std::min(outcome.cached_tokens, request.reusable_tokens);
  }
}

void fleet_run::sample() {
  load_sample sample;
  sample.when = std::chrono::duration_cast<std::chrono::milliseconds>(this->queue.now() -
                                                                      this->counting_since);
  routed_fleet* cores = this->ours();
  for (std::size_t index = 0; index < this->parameters.shape.endpoints; ++index) {
    // For a routed fleet, calls queued at the agent count as its endpoint's load.
    const std::size_t load = cores != nullptr ? cores->agent_summary_of(index).in_flight
                                              : this->engines->engines().at(index)->in_flight();
    sample.in_flight.push_back(static_cast<std::uint32_t>(load));
  }
  this->findings.loads.push_back(std::move(sample));
  this->queue.after(load_sample_interval, [this] { this->sample(); });
}

void fleet_run::complete_findings() {
  for (const auto& engine : this->engines->engines()) {
    this->findings.engine_crashes += engine->crashes();
    this->findings.peak_while_cold =
        std::max(this->findings.peak_while_cold, engine->peak_while_cold());
  }
  if (const routed_fleet* cores = this->ours()) {
    this->findings.probes = cores->probes();
    for (const auto& [name, count] : cores->broken_invariants()) {
      this->findings.invariants_broken += count;
    }
  }
}

}  // namespace chestnuthead
