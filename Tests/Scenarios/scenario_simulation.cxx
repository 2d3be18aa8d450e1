#include "Scenarios/scenario_simulation.h"

#include <algorithm>

#include "chestnuthead/error_kind.h"

namespace chestnuthead {

namespace {

void count_outcome(scenario::simulation& simulation, const planned_request& request,
                   const request_outcome& outcome) {
  scenario_counts& counts = simulation.counts;
  if (!outcome.answered) {
    ++counts.failed;
    ++counts.errors[std::string(answer_for(outcome.error).name)];
    return;
  }
  ++counts.answered;
  if (request.facts.returning) {
    counts.reusable_tokens += request.reusable_tokens;
    counts.reused_tokens += std::min(outcome.cached_tokens, request.reusable_tokens);
  }
}

double crashes(const scenario::simulation& simulation) {
  std::uint64_t sum = 0;
  for (const auto& engine : simulation.fleet->engines()) {
    sum += engine->crashes();
  }
  return static_cast<double>(sum);
}

double broken_invariants(const scenario::simulation& simulation) {
  std::uint64_t sum = 0;
  for (const auto& [name, count] : simulation.fleet->broken_invariants()) {
    sum += count;
  }
  return static_cast<double>(sum);
}

double highest_in_flight(const scenario::simulation& simulation) {
  std::uint32_t highest = 0;
  for (std::size_t index = 0; index < simulation.shape.endpoints; ++index) {
    highest = std::max(highest, simulation.fleet->agent_summary_of(index).in_flight);
  }
  return highest;
}

// The lowest configuration version that any router or agent has applied.
double lowest_version(const scenario::simulation& simulation) {
  std::uint64_t lowest = UINT64_MAX;
  for (std::size_t index = 0; index < simulation.shape.routers; ++index) {
    lowest = std::min(lowest, simulation.fleet->router_summary_of(index).configuration_version);
  }
  for (std::size_t index = 0; index < simulation.fleet->engines().size(); ++index) {
    lowest = std::min(lowest, simulation.fleet->agent_summary_of(index).configuration_version);
  }
  return static_cast<double>(lowest);
}

double reuse(const scenario::simulation& simulation) {
  const auto reusable =
      static_cast<double>(std::max<std::uint64_t>(simulation.counts.reusable_tokens, 1));
  return static_cast<double>(simulation.counts.reused_tokens) / reusable;
}

bool find_payment_figure(const scenario::simulation& simulation, const std::string& name,
                         double& figure) {
  const payment_findings found = simulation.payment_source->findings();
  const std::map<std::string, std::uint64_t> figures{
      {"payments", found.keys},
      {"payments_answered", found.answered},
      {"payments_open", found.open},
      {"executions", found.executions},
      {"duplicates", found.duplicates},
      {"told_not_run", found.reported_not_run},
      {"told_unknown", found.reported_unknown},
      {"false_not_run", found.false_not_run},
      {"answered_without_execution", found.answered_without_execution},
  };
  const auto entry = figures.find(name);
  if (entry == figures.end()) {
    return false;
  }
  figure = static_cast<double>(entry->second);
  return true;
}

}  // namespace

void start_simulation(scenario::simulation& simulation) {
  simulation.random = std::make_unique<seeded_random>(simulation.seed);
  simulation.fleet = std::make_unique<routed_fleet>(
      simulation.queue, simulation.shape, measured_document(simulation.shape), simulation.seed);
  const request_sender send = [&simulation](const planned_request& request, auto done) {
    simulation.fleet->submit(request, std::move(done));
  };
  simulation.payment_source = std::make_unique<payment_callers>(
      simulation.queue, *simulation.random, simulation.payments, send);
  simulation.fleet->on_execution = [&simulation](const request_facts& facts) {
    simulation.payment_source->record_execution(facts);
  };
  simulation.chat_source = std::make_unique<workload>(
      simulation.queue, *simulation.random, simulation.chats, send,
      [&simulation](const planned_request& request, const request_outcome& outcome) {
        count_outcome(simulation, request, outcome);
      });
  // Gives the cores time to read the configuration and the VM list before requests start.
  advance_simulation(simulation, std::chrono::seconds{5});
  simulation.chat_source->begin();
}

void advance_simulation(scenario::simulation& simulation, std::chrono::milliseconds length) {
  simulation.queue.run_until(simulation.queue.now() + length);
}

bool find_figure(const scenario::simulation& simulation, const std::string& name, double& figure) {
  using reader = double (*)(const scenario::simulation&);
  const std::map<std::string, reader> readers{
      {"answered", [](const scenario::simulation& of) { return double(of.counts.answered); }},
      {"failed", [](const scenario::simulation& of) { return double(of.counts.failed); }},
      {"reuse", reuse},
      {"crashes", crashes},
      {"broken_invariants", broken_invariants},
      {"highest_in_flight", highest_in_flight},
      {"lowest_version", lowest_version},
  };
  const auto entry = readers.find(name);
  if (entry != readers.end()) {
    figure = entry->second(simulation);
    return true;
  }
  return find_payment_figure(simulation, name, figure);
}

}  // namespace chestnuthead
