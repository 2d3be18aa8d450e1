#include "Scenarios/scenario_world.h"

#include <algorithm>

#include "chestnuthead/error_kind.h"

namespace chestnuthead {

namespace {

void note_outcome(scenario::world& world, const planned_request& request,
                  const request_outcome& outcome) {
  scenario_counts& counts = world.counts;
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

double crashes(const scenario::world& world) {
  std::uint64_t sum = 0;
  for (const auto& engine : world.fleet->engines()) {
    sum += engine->crashes();
  }
  return static_cast<double>(sum);
}

double broken_invariants(const scenario::world& world) {
  std::uint64_t sum = 0;
  for (const auto& [name, count] : world.fleet->broken_invariants()) {
    sum += count;
  }
  return static_cast<double>(sum);
}

double highest_in_flight(const scenario::world& world) {
  std::uint32_t highest = 0;
  for (std::size_t index = 0; index < world.shape.endpoints; ++index) {
    highest = std::max(highest, world.fleet->agent_summary_of(index).in_flight);
  }
  return highest;
}

// The lowest configuration version in force on any router or agent.
double lowest_version(const scenario::world& world) {
  std::uint64_t lowest = UINT64_MAX;
  for (std::size_t index = 0; index < world.shape.routers; ++index) {
    lowest = std::min(lowest, world.fleet->router_summary_of(index).configuration_version);
  }
  for (std::size_t index = 0; index < world.fleet->engines().size(); ++index) {
    lowest = std::min(lowest, world.fleet->agent_summary_of(index).configuration_version);
  }
  return static_cast<double>(lowest);
}

double reuse(const scenario::world& world) {
  const auto reusable =
      static_cast<double>(std::max<std::uint64_t>(world.counts.reusable_tokens, 1));
  return static_cast<double>(world.counts.reused_tokens) / reusable;
}

bool find_payment_figure(const scenario::world& world, const std::string& name, double& figure) {
  const payment_findings found = world.payers->findings();
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
  const auto place = figures.find(name);
  if (place == figures.end()) {
    return false;
  }
  figure = static_cast<double>(place->second);
  return true;
}

}  // namespace

void begin_world(scenario::world& world) {
  world.random = std::make_unique<seeded_random>(world.seed);
  world.fleet = std::make_unique<routed_fleet>(world.queue, world.shape,
                                               measured_document(world.shape), world.seed);
  const request_sender send = [&world](const planned_request& request, auto done) {
    world.fleet->submit(request, std::move(done));
  };
  world.payers =
      std::make_unique<payment_callers>(world.queue, *world.random, world.payments, send);
  world.fleet->on_execution = [&world](const request_facts& facts) {
    world.payers->record_execution(facts);
  };
  world.callers = std::make_unique<workload>(
      world.queue, *world.random, world.chats, send,
      [&world](const planned_request& request, const request_outcome& outcome) {
        note_outcome(world, request, outcome);
      });
  // The cores need a moment to read configuration and VM list.
  run_world(world, std::chrono::seconds{5});
  world.callers->begin();
}

void run_world(scenario::world& world, std::chrono::milliseconds length) {
  world.queue.run_until(world.queue.now() + length);
}

bool find_figure(const scenario::world& world, const std::string& name, double& figure) {
  using reader = double (*)(const scenario::world&);
  const std::map<std::string, reader> readers{
      {"answered", [](const scenario::world& of) { return double(of.counts.answered); }},
      {"failed", [](const scenario::world& of) { return double(of.counts.failed); }},
      {"reuse", reuse},
      {"crashes", crashes},
      {"broken_invariants", broken_invariants},
      {"highest_in_flight", highest_in_flight},
      {"lowest_version", lowest_version},
  };
  const auto place = readers.find(name);
  if (place != readers.end()) {
    figure = place->second(world);
    return true;
  }
  return find_payment_figure(world, name, figure);
}

}  // namespace chestnuthead
