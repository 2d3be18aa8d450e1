#include "Gateway/part_fleet.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests verdicts about prompt parts in fleets of several sizes.
class part_fleet_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(part_fleet_test);
  CPPUNIT_TEST(crashing_part_is_refused_by_the_whole_fleet);
  CPPUNIT_TEST(crashing_part_is_refused_while_other_endpoints_flap);
  CPPUNIT_TEST(endpoints_lost_at_once_refuse_no_part);
  CPPUNIT_TEST(flapping_endpoints_refuse_no_part);
  CPPUNIT_TEST(pool_that_is_lost_and_back_refuses_no_part);
  CPPUNIT_TEST(broken_answers_refuse_no_part);
  CPPUNIT_TEST(hot_part_is_not_refused_when_endpoints_are_lost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void crashing_part_is_refused_by_the_whole_fleet() {
    for (const std::uint32_t gateways : {5U, 31U, 100U}) {
      for (const std::size_t endpoints : {std::size_t{12}, std::size_t{56}}) {
        for (const double rate : {5.0, 20.0}) {
          for (std::uint64_t seed = 1; seed <= (gateways < 100 ? 3 : 1); ++seed) {
            check_crashing_part(gateways, endpoints, rate, seed);
          }
        }
      }
    }
  }

  void crashing_part_is_refused_while_other_endpoints_flap() {
    part_fleet_settings settings;
    settings.endpoints = 56;
    part_fleet fleet(settings);
    for (std::size_t second = 0; second < 25; ++second) {
      fleet.settings.crashing_rate = second < 5 ? 0.0 : 5.0;
      fleet.lose_endpoint(second % 6, milliseconds{2'500});
      fleet.run(seconds{1});
    }
    CPPUNIT_ASSERT(fleet.results.late_arrivals <= 3);
    CPPUNIT_ASSERT_EQUAL(0, fleet.results.sound_refused);
    CPPUNIT_ASSERT(fleet.is_refused_everywhere(part_fleet::crashing_part));
  }

  void endpoints_lost_at_once_refuse_no_part() {
    for_each_fleet([](part_fleet& fleet) {
      for (int round = 0; round < 4; ++round) {
        fleet.lose_endpoints(9, seconds{4});
        fleet.run(seconds{6});
      }
    });
  }

  void flapping_endpoints_refuse_no_part() {
    for_each_fleet([](part_fleet& fleet) {
      for (std::size_t round = 0; round < 60; ++round) {
        fleet.lose_endpoint(round % 6, milliseconds{2'500});
        fleet.run(milliseconds{500});
      }
    });
  }

  void pool_that_is_lost_and_back_refuses_no_part() {
    for_each_fleet([](part_fleet& fleet) {
      for (int round = 0; round < 4; ++round) {
        fleet.lose_endpoints(fleet.settings.endpoints, seconds{3});
        fleet.run(seconds{7});
      }
    });
  }

  void broken_answers_refuse_no_part() {
    for_each_fleet([](part_fleet& fleet) {
      fleet.settings.broken_share = 0.02;
      fleet.run(seconds{60});
    });
  }

  void hot_part_is_not_refused_when_endpoints_are_lost() {
    for_each_fleet([](part_fleet& fleet) {
      for (std::uint64_t round = 0; round < 4; ++round) {
        fleet.send_burst(500 + round, 60);
        fleet.run(milliseconds{200});
        fleet.lose_endpoints(9, seconds{4});
        fleet.run(seconds{6});
      }
    });
  }

 private:
  static void check_crashing_part(std::uint32_t gateways, std::size_t endpoints, double rate,
                                  std::uint64_t seed) {
    part_fleet_settings settings;
    settings.gateways = gateways;
    settings.endpoints = endpoints;
    settings.seed = seed;
    settings.crashing_depth = static_cast<std::ptrdiff_t>(seed % 3);
    part_fleet fleet(settings);
    fleet.run(seconds{5});
    fleet.settings.crashing_rate = rate;
    fleet.run(seconds{25});
    const part_fleet_results& results = fleet.results;
    const std::string figures =
        "gateways " + std::to_string(gateways) + " endpoints " + std::to_string(endpoints) +
        " rate " + std::to_string(static_cast<int>(rate)) + " seed " + std::to_string(seed) +
        ": crashes " + std::to_string(results.crashes) + ", late arrivals " +
        std::to_string(results.late_arrivals) + ", sound refused " +
        std::to_string(results.sound_refused) + " of " + std::to_string(results.sound) +
        ", late sound resent " + std::to_string(results.late_sound_resent) + " of " +
        std::to_string(results.late_sound);
    CPPUNIT_ASSERT_MESSAGE(figures, results.late_arrivals <= 3);
    CPPUNIT_ASSERT_MESSAGE(figures, results.sound_refused == 0);
    CPPUNIT_ASSERT_MESSAGE(figures, results.late_sound_resent == 0);
    CPPUNIT_ASSERT_MESSAGE(figures, fleet.is_refused_everywhere(part_fleet::crashing_part));
  }

  template <class Trouble>
  static void for_each_fleet(Trouble cause_trouble) {
    for (const std::uint32_t gateways : {1U, 5U, 31U}) {
      for (const std::size_t endpoints : {std::size_t{12}, std::size_t{52}}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
          part_fleet_settings settings;
          settings.gateways = gateways;
          settings.endpoints = endpoints;
          settings.seed = seed;
          part_fleet fleet(settings);
          fleet.run(seconds{5});
          cause_trouble(fleet);
          const std::string where = std::to_string(gateways) + " gateways, " +
                                    std::to_string(endpoints) + " endpoints, seed " +
                                    std::to_string(seed) + ": refused parts " +
                                    std::to_string(fleet.refused_parts()) + ", requests " +
                                    std::to_string(fleet.results.sound_refused);
          CPPUNIT_ASSERT_MESSAGE(where, fleet.refused_parts() == 0);
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_fleet_test);

}  // namespace chestnuthead::gateway
