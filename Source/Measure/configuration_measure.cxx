#include "Measure/configuration_measure.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

#include <Poco/JSON/Object.h>

#include "Measure/figures.h"
#include "Measure/measured_fleet.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t default_nodes = 960;
constexpr milliseconds progress_sample_interval{100};
constexpr milliseconds change_interval{2'000};
constexpr seconds warm_up{30};
constexpr seconds restarts_at{42};
constexpr seconds table_down_from{50};
constexpr seconds table_down_until{58};
constexpr seconds last_change{72};
constexpr seconds end_of_run{80};
constexpr std::size_t restart_every_nth = 20;

/// Progress of the configuration changes and of the restarted nodes.
struct progress {
  /// Accepted versions that are not in force everywhere yet.
  std::map<std::uint64_t, milliseconds> open;
  std::vector<double> seconds_to_all_nodes;
  std::size_t refused = 0;
  std::vector<std::size_t> restarted;
  std::vector<double> seconds_to_confirmed;
  milliseconds restarted_at{0};
};

double in_seconds(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

void try_change(control_fleet& fleet, progress& state, std::size_t number) {
  if (!change_one_customer(fleet, number)) {
    ++state.refused;
    return;
  }
  state.open[fleet.latest_accepted_version()] = fleet.elapsed();
}

void restart_some_nodes(control_fleet& fleet, progress& state) {
  state.restarted_at = fleet.elapsed();
  for (std::size_t index = 0; index < fleet.size(); index += restart_every_nth) {
    fleet.start(index);
    state.restarted.push_back(index);
  }
}

/// Records the versions that every serving node now has, and the restarted nodes
/// that have a confirmed configuration again.
void record_progress(control_fleet& fleet, progress& state) {
  const std::size_t serving = fleet.confirmed();
  std::erase_if(state.open, [&fleet, &state, serving](const auto& entry) {
    const bool done = fleet.holders_of(entry.first) == serving;
    if (done) {
      state.seconds_to_all_nodes.push_back(in_seconds(fleet.elapsed() - entry.second));
    }
    return done;
  });
  std::erase_if(state.restarted, [&fleet, &state](std::size_t index) {
    const bool serves = configuration_confirmed(*fleet.at(index).plane);
    if (serves) {
      state.seconds_to_confirmed.push_back(in_seconds(fleet.elapsed() - state.restarted_at));
    }
    return serves;
  });
}

void run_fleet(control_fleet& fleet, progress& state) {
  fleet.start_all();
  fleet.run_until(warm_up);
  std::size_t number = 0;
  for (milliseconds now = warm_up; now < end_of_run; now += progress_sample_interval) {
    fleet.table_down = now >= table_down_from && now < table_down_until;
    if (now == restarts_at) {
      restart_some_nodes(fleet, state);
    }
    if (now < last_change && now % change_interval == milliseconds{0}) {
      try_change(fleet, state, number++);
    }
    fleet.run_until(now + progress_sample_interval);
    record_progress(fleet, state);
  }
}

double quantile_of(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

}  // namespace

Poco::JSON::Object::Ptr measure_configuration(const control_options& options) {
  const std::size_t nodes = options.nodes > 0 ? options.nodes : default_nodes;
  const std::unique_ptr<control_fleet> fleet = make_measured_fleet(options, nodes);
  progress state;
  run_fleet(*fleet, state);
  Poco::JSON::Object::Ptr line = result_line("configuration", options.policy, options.seed);
  line->set("nodes", nodes);
  line->set("changes_accepted", state.seconds_to_all_nodes.size() + state.open.size());
  line->set("changes_refused_table_down", state.refused);
  line->set("not_in_force_at_end", state.open.size());
  line->set("in_force_p50_s", rounded(quantile_of(state.seconds_to_all_nodes, 0.5)));
  line->set("in_force_max_s", rounded(quantile_of(state.seconds_to_all_nodes, 1.0)));
  line->set("restarted", state.seconds_to_confirmed.size() + state.restarted.size());
  line->set("restarted_not_confirmed_at_end", state.restarted.size());
  line->set("confirmed_p50_s", rounded(quantile_of(state.seconds_to_confirmed, 0.5)));
  line->set("confirmed_max_s", rounded(quantile_of(state.seconds_to_confirmed, 1.0)));
  line->set("invariants_broken", fleet->broken.size());
  return line;
}

}  // namespace chestnuthead
