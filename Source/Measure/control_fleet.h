#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/configuration.h"
#include "chestnuthead/memory_table.h"
#include "chestnuthead/seeded_random.h"
#include "chestnuthead/vm_list.h"

#include "Gossip/control_plane.h"

/// Many control planes wired by a message loop in virtual time, with fakes of
/// the table service and the VM list, for tests and measurements.
namespace chestnuthead {

/// Adds the counts of `part` to those of `sum`.
void add(control_counters& sum, const control_counters& part);

/// How large the fleet is and how its links behave.
struct control_fleet_settings {
  std::size_t routers = 0;
  std::size_t agents = 0;
  std::size_t pools = 1;
  std::size_t regions = 4;
  std::size_t domains_per_region = 3;
  std::uint64_t seed = 1;
  std::chrono::milliseconds tick_interval{50};
  std::chrono::milliseconds near_delay{1};
  std::chrono::milliseconds far_delay{40};
  /// Share of gossip messages that are lost, and that are much delayed.
  double loss = 0.0;
  double late = 0.0;
  std::chrono::milliseconds late_delay{3'000};
  /// Share of table calls without an answer, and with a late one.
  double table_no_answer = 0.0;
  double table_late = 0.0;
  std::chrono::milliseconds list_lag{3'000};
};

struct control_fleet_node {
  vm_entry vm;
  std::unique_ptr<seeded_random> random;
  control_plane_ptr plane;
  /// Grows with each start; what was sent to an earlier run is dropped.
  std::uint64_t run = 0;
  bool alive = false;
  bool frozen = false;
  /// What arrived while the node was frozen.
  std::vector<std::function<void()>> held;
  /// The highest version by which any run of this node could serve.
  std::uint64_t served_version = 0;
  std::uint32_t load = 0;
  /// Counters of earlier runs.
  control_counters earlier;
};

/// A version that the table accepted.
struct accepted_version {
  std::uint64_t version = 0;
  steady_time at{};
};

class control_fleet {
 public:
  control_fleet(const control_fleet_settings& settings, const configuration_document& first);

  /// Starts a node, anew if it is up.
  void start(std::size_t place);
  void start_all();
  void kill(std::size_t place);
  void freeze(std::size_t place);
  void resume(std::size_t place);
  /// Shows in the list that a VM will go, or that it has gone.
  void list_leaving(std::size_t place);
  void list_gone(std::size_t place);

  /// Changes the document as an operator would; false while the table is down.
  bool change(const std::function<void(configuration_document&)>& edit);

  /// Runs events up to `until`, counted from the start of the run.
  void run_until(std::chrono::milliseconds until);

  [[nodiscard]] std::chrono::milliseconds elapsed() const;
  [[nodiscard]] steady_time now() const;
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] control_fleet_node& at(std::size_t place);
  [[nodiscard]] std::uint64_t accepted_version_now() const;
  /// Nodes that are up and confirmed, and hold at least `version`.
  [[nodiscard]] std::size_t holders_of(std::uint64_t version) const;
  /// Nodes that are up, run and are confirmed.
  [[nodiscard]] std::size_t confirmed() const;
  /// Counters of a node over all its runs.
  [[nodiscard]] control_counters counters(std::size_t place) const;

  bool table_down = false;
  /// True for links that carry nothing; asked for each message.
  std::function<bool(const vm_entry& from, const vm_entry& to)> is_cut;
  /// Called for each control plane that has just been made, to set switches.
  std::function<void(control_plane&)> on_start;
  /// Nodes that can't reach the platform.
  std::set<std::size_t> without_platform;
  memory_table table;
  /// Reads of the table and of the list by the second in which they were made.
  std::map<std::int64_t, std::uint64_t> table_reads_by_second;
  std::map<std::int64_t, std::uint64_t> list_reads_by_second;
  /// What the control planes and the checks of this loop found broken.
  std::vector<std::string> broken;

 private:
  struct event {
    steady_time at{};
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const event& other) const {
      return this->at != other.at ? this->at > other.at : this->order > other.order;
    }
  };

  struct list_edition {
    steady_time published{};
    std::shared_ptr<const vm_snapshot> snapshot;
  };

  void after(std::chrono::milliseconds delay, std::function<void()> run);
  /// Runs `run` for one run of a node: never for a later one, and held back
  /// while the node is frozen.
  void for_node(std::size_t place, std::uint64_t run_number, const std::function<void()>& run);
  void tick(std::size_t place, std::uint64_t run_number);
  void carry_out(std::size_t place, const control_output& output);
  void deliver(std::size_t from, const outgoing_gossip& gossip);
  void ask_table(std::size_t place, const table_call& ask);
  void read_list(std::size_t place);
  void publish();
  void check(std::size_t place);
  [[nodiscard]] bool chance(double share);
  [[nodiscard]] std::int64_t second() const;

  control_fleet_settings settings;
  seeded_random random;
  steady_time clock{std::chrono::hours{1}};
  std::uint64_t next_order = 0;
  std::priority_queue<event> events;
  std::vector<control_fleet_node> nodes;
  std::map<node_id, std::size_t> places;
  std::map<std::size_t, vm_entry> listed;
  std::vector<list_edition> editions;
  configuration_document accepted;
};

/// A document of the target's size: pools named pool-0 and up, and customers.
configuration_document sample_configuration(std::size_t pools, std::size_t customers);

}  // namespace chestnuthead
