#include <algorithm>

#include "Measure/figures.h"
#include "Measure/measures.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds out_at{60};
// Just before the domain returns, so that its VMs are cold when they do.
constexpr seconds replaced_at{285};
constexpr seconds back_at{300};

// Seconds from the operator's change until the last start of work in the failure
// domain.
double seconds_to_last_work(const fleet& target, std::size_t endpoints, steady_time ordered) {
  steady_time last{};
  for (std::size_t index = 0; index < endpoints; ++index) {
    if (target.domain_of(index) == 0) {
      last = std::max(last, target.last_start_time(index));
    }
  }
  const std::chrono::duration<double> passed = last - ordered;
  return std::max(passed.count(), 0.0);
}

}  // namespace

Poco::JSON::Object::Ptr measure_domain(const measure_options& options) {
  fleet_run run(options.run);
  const std::size_t endpoints = options.run.shape.endpoints;
  steady_time ordered{};
  double last_work = 0.0;
  run.at(out_at, [&](fleet& target) {
    ordered = run.queue.now();
    target.set_domain_out(0, true);
  });
  run.at(replaced_at, [&](fleet& target) {
    last_work = seconds_to_last_work(target, endpoints, ordered);
    for (std::size_t index = 0; index < endpoints; ++index) {
      if (target.domain_of(index) == 0) {
        target.restart(index);
      }
    }
  });
  run.at(back_at, [](fleet& target) { target.set_domain_out(0, false); });
  const run_findings findings = run.play();
  Poco::JSON::Object::Ptr line = result_line("domain", options.policy, options.seed);
  line->set("seconds_to_last_new_work", rounded(last_work));
  line->set("cold_bears", options.run.shape.engine.cold_request_limit);
  line->set("reuse", rounded(reuse_of(findings)));
  add_request_figures(*line, findings);
  return line;
}

}  // namespace chestnuthead
