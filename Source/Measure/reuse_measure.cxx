#include "Measure/figures.h"
#include "Measure/measures.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Rolling restart: replaces all VMs one after the other within the run.
void plan_rolling(fleet_run& run, const run_parameters& parameters) {
  const std::size_t endpoints = parameters.shape.endpoints;
  const milliseconds gap = milliseconds{parameters.length} / (endpoints + 1);
  for (std::size_t index = 0; index < endpoints; ++index) {
    run.at(gap * index + gap / 2, [index](fleet& target) { target.restart(index); });
  }
}

// Cuts the links of every fourth endpoint for eight seconds of each minute; its
// engine and cache stay up.
void plan_flapping(fleet_run& run, const run_parameters& parameters) {
  constexpr seconds period{60};
  constexpr seconds cut_time{8};
  constexpr std::size_t one_in = 4;
  for (std::size_t index = 0; index < parameters.shape.endpoints; index += one_in) {
    for (seconds when{index}; when < parameters.length; when += period) {
      run.at(when, [index](fleet& target) { target.set_cut(index, true); });
      run.at(when + cut_time, [index](fleet& target) { target.set_cut(index, false); });
    }
  }
}

// Takes the first failure domain out of service for ten minutes; its VMs keep
// running.
void plan_domain(fleet_run& run) {
  constexpr seconds out_at{60};
  constexpr seconds back_at{660};
  run.at(out_at, [](fleet& target) { target.set_domain_out(0, true); });
  run.at(back_at, [](fleet& target) { target.set_domain_out(0, false); });
}

}  // namespace

Poco::JSON::Object::Ptr measure_reuse(const measure_options& options) {
  fleet_run run(options.run);
  if (options.scenario == "rolling") {
    plan_rolling(run, options.run);
  } else if (options.scenario == "flapping") {
    plan_flapping(run, options.run);
  } else if (options.scenario == "domain") {
    plan_domain(run);
  }
  const run_findings findings = run.play();
  Poco::JSON::Object::Ptr line = result_line("reuse", options.policy, options.seed);
  line->set("scenario", options.scenario);
  line->set("load_multiple", options.run.shape.load_multiple);
  line->set("reuse", rounded(reuse_of(findings)));
  line->set("returning_turns", findings.returning_turns);
  add_request_figures(*line, findings);
  return line;
}

}  // namespace chestnuthead
