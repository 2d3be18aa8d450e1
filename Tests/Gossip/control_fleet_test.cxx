#include "Measure/control_fleet.h"

#include <algorithm>
#include <iostream>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gossip/control_plane_state.h"
#include "property_check.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t reads_per_second = 40;

control_fleet_settings small_fleet(std::uint64_t seed) {
  control_fleet_settings settings;
  settings.routers = 4;
  settings.agents = 12;
  settings.pools = 2;
  settings.regions = 2;
  settings.domains_per_region = 2;
  settings.seed = seed;
  return settings;
}

configuration_document small_document() {
  configuration_document document = sample_configuration(2, 10);
  document.policy.fleet_reads_per_second = reads_per_second;
  return document;
}

void change_something(control_fleet& fleet, seeded_random& random) {
  const std::uint64_t number = random.next();
  fleet.change([number](configuration_document& document) {
    document.operation = "op-" + std::to_string(number);
    document.customers[number % document.customers.size()].weight =
        static_cast<double>(1 + number % 9);
    const endpoint_id endpoint{"agent-" + std::to_string(number % 12)};
    if (document.endpoints_out.erase(endpoint) == 0) {
      document.endpoints_out.insert(endpoint);
    }
  });
}

void cut_links(control_fleet& fleet, std::uint64_t kind) {
  const region_id region{"region-0"};
  if (kind == 0) {
    fleet.is_cut = [region](const vm_entry& from, const vm_entry& to) {
      return (from.region == region) != (to.region == region);
    };
  } else if (kind == 1) {
    fleet.is_cut = [region](const vm_entry& from, const vm_entry& to) {
      return from.region == region && to.region != region;
    };
  } else {
    fleet.is_cut = nullptr;
  }
}

/// Injects one fault, ends one, or changes the configuration.
void inject_fault(control_fleet& fleet, seeded_random& random) {
  const std::size_t place = next_below(random, fleet.size());
  switch (next_below(random, 8)) {
    case 0:
      fleet.start(place);
      break;
    case 1:
      fleet.kill(place);
      break;
    case 2:
      fleet.freeze(place);
      break;
    case 3:
      fleet.resume(place);
      break;
    case 4:
      fleet.table_down = !fleet.table_down;
      break;
    case 5:
      cut_links(fleet, next_below(random, 3));
      break;
    default:
      change_something(fleet, random);
  }
}

void end_faults(control_fleet& fleet) {
  fleet.table_down = false;
  fleet.is_cut = nullptr;
  for (std::size_t place = 0; place < fleet.size(); ++place) {
    if (!fleet.at(place).alive) {
      fleet.start(place);
    } else if (fleet.at(place).frozen) {
      fleet.resume(place);
    }
  }
}

/// Runs the fleet under overlapping random faults and then without faults until it
/// has settled.
void run_with_faults(control_fleet& fleet, std::uint64_t seed) {
  seeded_random random(seed);
  fleet.start_all();
  fleet.run_until(seconds{5});
  while (fleet.elapsed() < seconds{35}) {
    inject_fault(fleet, random);
    fleet.run_until(fleet.elapsed() + milliseconds{next_below(random, 1'500)});
  }
  end_faults(fleet);
  fleet.run_until(seconds{60});
}

std::uint64_t most_reads_in_a_second(const control_fleet& fleet, std::int64_t from) {
  std::uint64_t most = 0;
  for (const auto& [second, reads] : fleet.table_reads_by_second) {
    const auto list = fleet.list_reads_by_second.find(second);
    const std::uint64_t lists = list == fleet.list_reads_by_second.end() ? 0 : list->second;
    most = second < from ? most : std::max(most, reads + lists);
  }
  return most;
}

control_fleet_settings lossy_fleet(std::uint64_t seed) {
  control_fleet_settings settings = small_fleet(seed);
  settings.loss = 0.1;
  settings.late = 0.05;
  settings.table_no_answer = 0.1;
  settings.table_late = 0.05;
  return settings;
}

void print_first(const control_fleet& fleet) {
  std::cerr << "[broken " << fleet.broken.size() << ": " << fleet.broken.front() << "]";
}

}  // namespace

/// A fleet of control planes with lost and delayed messages, network partitions,
/// restarts, pauses and table outages.
class control_fleet_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_fleet_test);
  CPPUNIT_TEST(versions_never_decrease_and_all_nodes_converge);
  CPPUNIT_TEST(without_the_version_check_nodes_step_back);
  CPPUNIT_TEST(without_confirmation_restarted_nodes_step_back);
  CPPUNIT_TEST(a_change_is_in_force_everywhere_within_five_seconds);
  CPPUNIT_TEST(the_fleets_reads_are_bounded_whatever_its_size);
  CPPUNIT_TEST(restarted_nodes_wait_while_the_table_is_down);
  CPPUNIT_TEST(regions_apart_go_on_and_agree_afterwards);
  CPPUNIT_TEST(a_leaving_node_is_known_to_all_within_three_seconds);
  CPPUNIT_TEST(a_crash_is_known_to_all_and_to_a_node_that_starts_later);
  CPPUNIT_TEST_SUITE_END();

 public:
  void versions_never_decrease_and_all_nodes_converge() {
    check_property("control planes under faults", [](std::uint64_t seed) {
      control_fleet fleet(lossy_fleet(seed), small_document());
      run_with_faults(fleet, seed);
      const std::string first = fleet.broken.empty() ? "" : fleet.broken.front();
      RC_ASSERT(first == "");
      RC_ASSERT(fleet.holders_of(fleet.latest_accepted_version()) == fleet.size());
    });
  }

  void without_the_version_check_nodes_step_back() {
    control_fleet fleet(lossy_fleet(1), small_document());
    fleet.on_start = [](control_plane& plane) { plane.configuration.accepts_older = true; };
    run_with_faults(fleet, 1);
    CPPUNIT_ASSERT(!fleet.broken.empty());
    print_first(fleet);
  }

  void without_confirmation_restarted_nodes_step_back() {
    control_fleet fleet(lossy_fleet(1), small_document());
    fleet.on_start = [](control_plane& plane) { plane.reads.confirmed = true; };
    run_with_faults(fleet, 1);
    CPPUNIT_ASSERT(!fleet.broken.empty());
    print_first(fleet);
  }

  void a_change_is_in_force_everywhere_within_five_seconds() {
    control_fleet_settings settings = small_fleet(3);
    settings.agents = 96;
    settings.loss = 0.05;
    control_fleet fleet(settings, small_document());
    fleet.start_all();
    fleet.run_until(seconds{20});
    seeded_random random(3);
    for (int round = 0; round < 5; ++round) {
      change_something(fleet, random);
      fleet.run_until(fleet.elapsed() + seconds{5});
      CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.holders_of(fleet.latest_accepted_version()));
    }
  }

  void the_fleets_reads_are_bounded_whatever_its_size() {
    for (const std::size_t agents : {std::size_t{20}, std::size_t{150}}) {
      control_fleet_settings settings = small_fleet(4);
      settings.agents = agents;
      control_fleet fleet(settings, small_document());
      fleet.start_all();
      fleet.run_until(seconds{60});
      CPPUNIT_ASSERT(most_reads_in_a_second(fleet, 15) <= reads_per_second);
    }
  }

  void restarted_nodes_wait_while_the_table_is_down() {
    control_fleet fleet(small_fleet(5), small_document());
    fleet.start_all();
    fleet.run_until(seconds{10});
    CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.confirmed());
    fleet.table_down = true;
    fleet.start(2);
    fleet.run_until(seconds{60});
    CPPUNIT_ASSERT_EQUAL(fleet.size() - 1, fleet.confirmed());
    CPPUNIT_ASSERT(!configuration_confirmed(*fleet.at(2).plane));

    fleet.table_down = false;
    fleet.run_until(seconds{75});
    CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.confirmed());
  }

  void regions_apart_go_on_and_agree_afterwards() {
    control_fleet fleet(small_fleet(6), small_document());
    fleet.start_all();
    fleet.run_until(seconds{10});
    cut_links(fleet, 0);
    for (std::size_t place = 0; place < fleet.size(); ++place) {
      if (fleet.at(place).vm.region.value == "region-0") {
        fleet.without_platform.insert(place);
      }
    }
    seeded_random random(6);
    change_something(fleet, random);
    fleet.run_until(std::chrono::minutes{60});
    CPPUNIT_ASSERT_EQUAL(fleet.size() / 2, fleet.holders_of(fleet.latest_accepted_version()));
    CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.confirmed());

    fleet.is_cut = nullptr;
    fleet.run_until(std::chrono::minutes{60} + seconds{15});
    CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.holders_of(fleet.latest_accepted_version()));
  }

  void a_leaving_node_is_known_to_all_within_three_seconds() {
    control_fleet_settings settings = small_fleet(7);
    settings.agents = 96;
    settings.loss = 0.05;
    control_fleet fleet(settings, small_document());
    fleet.start_all();
    fleet.run_until(seconds{20});
    const node_id leaving = fleet.at(50).vm.node;
    start_rumor(*fleet.at(50).plane, rumor_kind::node_leaving, leaving.value, "", fleet.now());
    fleet.run_until(seconds{23});
    for (std::size_t place = 0; place < fleet.size(); ++place) {
      const member* row = find_member(fleet.at(place).plane->members, leaving);
      CPPUNIT_ASSERT(place == 50 || (row != nullptr && row->leaving));
    }
  }

  void a_crash_is_known_to_all_and_to_a_node_that_starts_later() {
    control_fleet fleet(small_fleet(8), small_document());
    fleet.start_all();
    fleet.run_until(seconds{10});
    for (const std::size_t place : {std::size_t{4}, std::size_t{5}}) {
      start_rumor(*fleet.at(place).plane, rumor_kind::request_crashed, "42",
                  fleet.at(place).vm.node.value, fleet.now());
    }
    fleet.run_until(seconds{120});
    fleet.start(0);
    fleet.run_until(seconds{130});
    for (std::size_t place = 0; place < fleet.size(); ++place) {
      CPPUNIT_ASSERT_EQUAL(2U, endpoints_crashed_by(*fleet.at(place).plane, 42, fleet.now()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_fleet_test);

}  // namespace chestnuthead
