#include "Measure/figures.h"
#include "Measure/measures.h"

namespace chestnuthead {

namespace {

using std::chrono::seconds;

/// Below this mean, a single request changes the ratio too much.
constexpr double least_mean_load = 2.0;
constexpr double surge_requests_per_second = 15.0;

}  // namespace

Poco::JSON::Object::Ptr measure_skew(const measure_options& options) {
  run_parameters parameters = options.run;
  parameters.callers.surge_requests_per_second = surge_requests_per_second;
  parameters.callers.surge_begin = parameters.warm_up + parameters.length / 3;
  parameters.callers.surge_end = parameters.callers.surge_begin + seconds{120};
  fleet_run run(parameters);
  const run_findings findings = run.play();
  const skew_figures skew =
      skew_of(findings.loads, least_mean_load, parameters.shape.load_multiple);
  Poco::JSON::Object::Ptr line = result_line("skew", options.policy, options.seed);
  line->set("load_multiple", parameters.shape.load_multiple);
  line->set("skew_worst", rounded(skew.worst));
  line->set("skew_p99", rounded(skew.p99));
  line->set("skew_mean", rounded(skew.mean));
  line->set("samples_over_bound", rounded(skew.over_bound));
  line->set("reuse", rounded(reuse_of(findings)));
  add_request_figures(*line, findings);
  return line;
}

}  // namespace chestnuthead
