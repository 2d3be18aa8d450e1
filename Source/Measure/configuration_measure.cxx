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
constexpr milliseconds sample_interval{100};
constexpr milliseconds change_interval{2'000};
constexpr seconds warm_up{30};
constexpr seconds restarts_at{42};
constexpr seconds table_down_from{50};
constexpr seconds table_down_until{58};
constexpr seconds last_change{72};
constexpr seconds end_of_run{80};
constexpr std::size_t one_in_restarted = 20;

/// Progress of the configuration changes and of the restarted nodes.
struct progress {
  /// Accepted versions that are not in force everywhere yet.
  std::map<std::uint64_t, milliseconds> open;
  std::vector<double> seconds_to_all;
  std::size_t refused = 0;
  std::vector<std::size_t> restarted;
  std::vector<double> seconds_to_confirmed;
  milliseconds restarts_made{0};
};

double in_seconds(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

void try_change(control_fleet& fleet, progress& state, std::size_t number) {
  if (!change_one_customer(fleet, number)) {
    ++state.refused;
    return;
  }
  state.open[fleet.accepted_version_now()] = fleet.elapsed();
}

void restart_some(control_fleet& fleet, progress& state) {
  state.restarts_made = fleet.elapsed();
  for (std::size_t place = 0; place < fleet.size(); place += one_in_restarted) {
    fleet.start(place);
    state.restarted.push_back(place);
  }
}

/// Records the versions that every serving node now has, and the restarted nodes
/// that have a confirmed configuration again.
void sample(control_fleet& fleet, progress& state) {
  const std::size_t serving = fleet.confirmed();
  std::erase_if(state.open, [&fleet, &state, serving](const auto& entry) {
    const bool done = fleet.holders_of(entry.first) == serving;
    if (done) {
      state.seconds_to_all.push_back(in_seconds(fleet.elapsed() - entry.second));
    }
    return done;
  });
  std::erase_if(state.restarted, [&fleet, &state](std::size_t place) {
    const bool serves = configuration_confirmed(*fleet.at(place).plane);
    if (serves) {
      state.seconds_to_confirmed.push_back(in_seconds(fleet.elapsed() - state.restarts_made));
    }
    return serves;
  });
}

void run_fleet(control_fleet& fleet, progress& state) {
  fleet.start_all();
  fleet.run_until(warm_up);
  std::size_t number = 0;
  for (milliseconds now = warm_up; now < end_of_run; now += sample_interval) {
    fleet.table_down = now >= table_down_from && now < table_down_until;
    if (now == restarts_at) {
      restart_some(fleet, state);
    }
    if (now < last_change && now % change_interval == milliseconds{0}) {
      try_change(fleet, state, number++);
    }
    fleet.run_until(now + sample_interval);
    sample(fleet, state);
  }
}

double at_share(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[place];
}

}  // namespace

Poco::JSON::Object::Ptr measure_configuration(const control_options& options) {
  const std::size_t nodes = options.nodes > 0 ? options.nodes : default_nodes;
  const std::unique_ptr<control_fleet> fleet = make_measured_fleet(options, nodes);
  progress state;
  run_fleet(*fleet, state);
  Poco::JSON::Object::Ptr line = result_line("configuration", options.policy, options.seed);
  line->set("nodes", nodes);
  line->set("changes_accepted", state.seconds_to_all.size() + state.open.size());
  line->set("changes_refused_table_down", state.refused);
  line->set("not_in_force_at_end", state.open.size());
  line->set("in_force_p50_s", rounded(at_share(state.seconds_to_all, 0.5)));
  line->set("in_force_max_s", rounded(at_share(state.seconds_to_all, 1.0)));
  line->set("restarted", state.seconds_to_confirmed.size() + state.restarted.size());
  line->set("restarted_not_confirmed_at_end", state.restarted.size());
  line->set("confirmed_p50_s", rounded(at_share(state.seconds_to_confirmed, 0.5)));
  line->set("confirmed_max_s", rounded(at_share(state.seconds_to_confirmed, 1.0)));
  line->set("invariants_broken", fleet->broken.size());
  return line;
}

}  // namespace chestnuthead
