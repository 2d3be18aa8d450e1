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

/// Many control planes connected by an event loop in virtual time, with fakes of
/// the table service and the VM list, for tests and measurements.
namespace chestnuthead {

/// Adds the counts of `part` to those of `sum`.
void add(control_counters& sum, const control_counters& part);

/// Size of the fleet and behaviour of its links.
struct control_fleet_settings {
  std::size_t routers = 0;
  std::size_t agents = 0;
  std::size_t pools = 1;
  std::size_t regions = 4;
  std::size_t domains_per_region = 3;
  std::uint64_t seed = 1;
  std::chrono::milliseconds tick_interval{50};
  std::chrono::milliseconds same_region_delay{1};
  std::chrono::milliseconds cross_region_delay{40};
  /// Share of gossip messages that are lost, and share that is delayed by
  /// `late_delay`.
  double loss = 0.0;
  double late = 0.0;
  std::chrono::milliseconds late_delay{3'000};
  /// Share of table calls that get no answer, and share whose answer is late.
  double table_no_answer = 0.0;
  double table_late = 0.0;
  std::chrono::milliseconds list_lag{3'000};
};

struct control_fleet_node {
  vm_entry vm;
  std::unique_ptr<seeded_random> random;
  control_plane_ptr plane;
  /// Incremented by each start; messages to an earlier incarnation are dropped.
  std::uint64_t incarnation = 0;
  bool alive = false;
  bool frozen = false;
  /// Events that arrived while the node was frozen.
  std::vector<std::function<void()>> deferred;
  /// Highest confirmed configuration version over all incarnations of this node.
  std::uint64_t served_version = 0;
  std::uint32_t load = 0;
  /// Sum of the counters of earlier incarnations.
  control_counters earlier_counters;
};

/// A configuration version that the table accepted.
struct accepted_version {
  std::uint64_t version = 0;
  steady_time at{};
};

class control_fleet {
 public:
  control_fleet(const control_fleet_settings& settings, const configuration_document& first);

  /// Starts a node, or restarts it if it is up.
  void start(std::size_t index);
  void start_all();
  void kill(std::size_t index);
  void freeze(std::size_t index);
  void resume(std::size_t index);
  /// Marks a VM as leaving in the VM list, or removes it from the list.
  void mark_leaving(std::size_t index);
  void remove_from_list(std::size_t index);

  /// Changes the document as an operator would. Returns false if the table is down.
  bool change(const std::function<void(configuration_document&)>& edit);

  /// Runs all events up to `until` after the start of the run.
  void run_until(std::chrono::milliseconds until);

  [[nodiscard]] std::chrono::milliseconds elapsed() const;
  [[nodiscard]] steady_time now() const;
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] control_fleet_node& at(std::size_t index);
  [[nodiscard]] std::uint64_t latest_accepted_version() const;
  /// Number of nodes that are up with a confirmed configuration of at least
  /// `version`.
  [[nodiscard]] std::size_t holders_of(std::uint64_t version) const;
  /// Number of nodes that are up and have a confirmed configuration.
  [[nodiscard]] std::size_t confirmed() const;
  /// Counters of a node over all its incarnations.
  [[nodiscard]] control_counters counters(std::size_t index) const;

  bool table_down = false;
  /// Returns true if a link is cut; called for each message.
  std::function<bool(const vm_entry& from, const vm_entry& to)> is_cut;
  /// Called for each newly created control plane, to set its switches.
  std::function<void(control_plane&)> on_start;
  /// Nodes that can't reach the platform.
  std::set<std::size_t> without_platform;
  memory_table table;
  /// Number of table reads and of VM list reads in each second of the run.
  std::map<std::int64_t, std::uint64_t> table_reads_by_second;
  std::map<std::int64_t, std::uint64_t> list_reads_by_second;
  /// Broken invariants reported by the control planes and by this loop's checks.
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

  struct published_vm_list {
    steady_time published{};
    std::shared_ptr<const vm_snapshot> snapshot;
  };

  void after(std::chrono::milliseconds delay, std::function<void()> run);
  /// Runs `run` if the node is still in the same incarnation; deferred while the
  /// node is frozen.
  void for_node(std::size_t index, std::uint64_t incarnation, const std::function<void()>& run);
  void tick(std::size_t index, std::uint64_t incarnation);
  void carry_out(std::size_t index, const control_output& output);
  void deliver(std::size_t from, const outgoing_gossip& gossip);
  void call_table(std::size_t index, const table_call& ask);
  void read_list(std::size_t index);
  void publish();
  void check(std::size_t index);
  [[nodiscard]] bool chance(double share);
  [[nodiscard]] std::int64_t second() const;

  control_fleet_settings settings;
  seeded_random random;
  steady_time clock{std::chrono::hours{1}};
  std::uint64_t next_order = 0;
  std::priority_queue<event> events;
  std::vector<control_fleet_node> nodes;
  std::map<node_id, std::size_t> index_by_node;
  std::map<std::size_t, vm_entry> listed;
  std::vector<published_vm_list> published_lists;
  configuration_document accepted;
};

/// A configuration document with pools named pool-0 and up, customers and 12
/// failure domains.
configuration_document sample_configuration(std::size_t pools, std::size_t customers);

}  // namespace chestnuthead
