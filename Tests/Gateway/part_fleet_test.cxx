#include "Gateway/part_fleet.h"

#include <functional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests verdicts about prompt parts in fleets of several sizes.
class part_fleet_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(part_fleet_test);
  CPPUNIT_TEST(crashing_part_is_refused_by_the_whole_fleet);
  CPPUNIT_TEST(crashing_part_is_refused_by_many_gateways_with_busy_endpoints);
  CPPUNIT_TEST(crashing_part_is_refused_in_a_small_pool);
  CPPUNIT_TEST(frequent_crashing_part_is_refused_in_a_small_pool_of_many_gateways);
  CPPUNIT_TEST(crashing_part_is_refused_while_other_endpoints_flap);
  CPPUNIT_TEST(endpoints_lost_at_once_refuse_no_part);
  CPPUNIT_TEST(flapping_endpoints_refuse_no_part);
  CPPUNIT_TEST(pool_that_is_lost_and_back_refuses_no_part);
  CPPUNIT_TEST(broken_answers_refuse_no_part);
  CPPUNIT_TEST(hot_part_is_not_refused_when_endpoints_are_lost);
  CPPUNIT_TEST(small_pool_that_fails_for_another_reason_refuses_no_part);
  CPPUNIT_TEST(small_pool_with_short_answers_that_fails_refuses_no_part);
  CPPUNIT_TEST(part_used_before_four_losses_of_a_small_pool_is_not_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void crashing_part_is_refused_by_the_whole_fleet() {
    for (const std::uint32_t gateways : {5U, 31U, 100U}) {
      for (const std::size_t endpoints : {std::size_t{12}, std::size_t{56}}) {
        for (const double rate : {5.0, 20.0}) {
          for (std::uint64_t seed = 1; seed <= (gateways < 100 ? 3 : 1); ++seed) {
            part_fleet_settings settings;
            settings.gateways = gateways;
            settings.endpoints = endpoints;
            settings.seed = seed;
            settings.crashing_depth = static_cast<std::ptrdiff_t>(seed % 3);
            check_crashing_part(settings, rate, seconds{25});
          }
        }
      }
    }
  }

  /// Guards against crashes of busy endpoints that are recorded without the part that caused them.
  void crashing_part_is_refused_by_many_gateways_with_busy_endpoints() {
    check_busy_pool(5, 6, 400.0);
    check_busy_pool(68, 6, 400.0);
    check_busy_pool(68, 12, 400.0);
    check_busy_pool(68, 78, 570.0);
  }

  /// Guards against pools that have too few endpoints for a verdict by different endpoints.
  void crashing_part_is_refused_in_a_small_pool() {
    for (const std::uint32_t gateways : {1U, 2U, 5U, 31U, 100U}) {
      for (const std::size_t endpoints : {std::size_t{1}, std::size_t{2}}) {
        // Larger fleets at the higher rate have a test of their own.
        for (const double rate : gateways > 5 ? std::vector{1.0} : std::vector{1.0, 2.5}) {
          check_small_pool_with_crashing_part(gateways, endpoints, rate);
        }
      }
    }
  }

  /// Guards against missing verdicts where each gateway knows few answers between two crashes.
  void frequent_crashing_part_is_refused_in_a_small_pool_of_many_gateways() {
    for (const std::uint32_t gateways : {31U, 100U}) {
      for (const std::size_t endpoints : {std::size_t{1}, std::size_t{2}}) {
        check_small_pool_with_crashing_part(gateways, endpoints, 2.5);
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

  /// Guards against verdicts on parts that only happen to be in use when a small pool fails.
  void small_pool_that_fails_for_another_reason_refuses_no_part() {
    check_small_pools([](part_fleet_settings& settings) {
      const part_fleet_settings usual;
      settings.shortest_wait = usual.shortest_wait;
      settings.wait_spread = usual.wait_spread;
      settings.shortest_answer = usual.shortest_answer;
      settings.answer_spread = usual.answer_spread;
    });
  }

  void small_pool_with_short_answers_that_fails_refuses_no_part() {
    check_small_pools([](part_fleet_settings& /*settings*/) {});
  }

  /// Guards against verdicts on a part that is in use shortly before a pool is lost by chance.
  void part_used_before_four_losses_of_a_small_pool_is_not_refused() {
    check_small_pools([](part_fleet_settings& /*settings*/) {}, 4);
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
  /// A pool of few endpoints whose answers are short, so that it answers between two crashes.
  static part_fleet_settings small_pool(std::uint32_t gateways, std::size_t endpoints,
                                        std::uint64_t seed) {
    part_fleet_settings settings;
    settings.gateways = gateways;
    settings.endpoints = endpoints;
    settings.seed = seed;
    settings.sound_rate = 20.0;
    settings.shortest_wait = milliseconds{20};
    settings.wait_spread = milliseconds{20};
    settings.shortest_answer = milliseconds{200};
    settings.answer_spread = milliseconds{100};
    return settings;
  }

  /// Pools of one and two endpoints that flap, are lost together, break off answers or are
  /// lost while one part is frequent, with many and with few requests.
  /// The frequent part is the same for `rounds_of_part` losses.
  template <class Adjust>
  static void check_small_pools(Adjust adjust, std::uint64_t rounds_of_part = 2) {
    const std::vector<std::function<void(part_fleet&)>> troubles{
        [](part_fleet& fleet) {
          for (std::size_t round = 0; round < 40; ++round) {
            fleet.lose_endpoint(round % fleet.settings.endpoints, milliseconds{2'500});
            fleet.run(milliseconds{3'000});
          }
        },
        [](part_fleet& fleet) {
          for (std::size_t round = 0; round < 30; ++round) {
            fleet.lose_endpoint(round % fleet.settings.endpoints, milliseconds{2'500});
            fleet.run(milliseconds{1'300});
          }
        },
        [](part_fleet& fleet) {
          for (int round = 0; round < 8; ++round) {
            fleet.lose_endpoints(fleet.settings.endpoints, seconds{3});
            fleet.run(seconds{7});
          }
        },
        [](part_fleet& fleet) {
          fleet.settings.broken_share = 0.02;
          fleet.run(seconds{60});
        },
        [rounds_of_part](part_fleet& fleet) {
          for (std::uint64_t round = 0; round < 8; ++round) {
            fleet.send_burst(500 + round / rounds_of_part, 20);
            fleet.run(milliseconds{50});
            fleet.lose_endpoints(fleet.settings.endpoints, milliseconds{2'500});
            fleet.run(milliseconds{3'500});
          }
        }};
    for (const std::uint32_t gateways : {1U, 5U}) {
      for (const std::size_t endpoints : {std::size_t{1}, std::size_t{2}}) {
        for (const double rate : {3.0, 20.0}) {
          for (std::uint64_t seed = 1; seed <= (gateways > 1 ? 1 : 2); ++seed) {
            for (std::size_t trouble = 0; trouble < troubles.size(); ++trouble) {
              part_fleet_settings settings = small_pool(gateways, endpoints, seed);
              settings.sound_rate = rate;
              adjust(settings);
              part_fleet fleet(settings);
              fleet.run(seconds{5});
              troubles[trouble](fleet);
              const std::string where =
                  std::to_string(gateways) + " gateways, " + std::to_string(endpoints) +
                  " endpoints, rate " + std::to_string(static_cast<int>(rate)) + ", seed " +
                  std::to_string(seed) + ", trouble " + std::to_string(trouble) +
                  ": refused parts " + std::to_string(fleet.refused_parts()) + ", requests " +
                  std::to_string(fleet.results.sound_refused);
              CPPUNIT_ASSERT_MESSAGE(where, fleet.refused_parts() == 0);
            }
          }
        }
      }
    }
  }

  static void check_small_pool_with_crashing_part(std::uint32_t gateways, std::size_t endpoints,
                                                  double rate) {
    for (std::uint64_t seed = 1; seed <= (gateways < 100 ? 3 : 1); ++seed) {
      part_fleet_settings settings = small_pool(gateways, endpoints, seed);
      settings.crashing_depth = static_cast<std::ptrdiff_t>(seed % 3);
      check_crashing_part(settings, rate, seconds{30});
    }
  }

  static void check_crashing_part(const part_fleet_settings& settings, double rate,
                                  seconds length) {
    part_fleet fleet(settings);
    fleet.run(seconds{5});
    fleet.settings.crashing_rate = rate;
    fleet.run(length);
    const part_fleet_results& results = fleet.results;
    const std::string figures =
        "gateways " + std::to_string(settings.gateways) + " endpoints " +
        std::to_string(settings.endpoints) + " rate " + std::to_string(rate) + " seed " +
        std::to_string(settings.seed) + ": crashes " + std::to_string(results.crashes) +
        ", late arrivals " + std::to_string(results.late_arrivals) + ", sound refused " +
        std::to_string(results.sound_refused) + " of " + std::to_string(results.sound) +
        ", late sound resent " + std::to_string(results.late_sound_resent) + " of " +
        std::to_string(results.late_sound);
    CPPUNIT_ASSERT_MESSAGE(figures, results.late_arrivals <= 3);
    CPPUNIT_ASSERT_MESSAGE(figures, results.sound_refused == 0);
    CPPUNIT_ASSERT_MESSAGE(figures, results.late_sound_resent == 0);
    CPPUNIT_ASSERT_MESSAGE(figures, fleet.is_refused_everywhere(part_fleet::crashing_part));
  }

  /// Endpoints execute so many requests that most parts in use stand in every crash.
  static void check_busy_pool(std::uint32_t gateways, std::size_t endpoints, double sound_rate) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      part_fleet_settings settings;
      settings.gateways = gateways;
      settings.endpoints = endpoints;
      settings.sound_rate = sound_rate;
      settings.seed = seed;
      settings.crashing_depth = static_cast<std::ptrdiff_t>(seed % 3);
      part_fleet fleet(settings);
      fleet.run(seconds{5});
      fleet.settings.crashing_rate = 2.5;
      fleet.run(seconds{25});
      const part_fleet_results& results = fleet.results;
      const std::string figures =
          std::to_string(gateways) + " gateways, " + std::to_string(endpoints) +
          " endpoints, seed " + std::to_string(seed) + ": crashes " +
          std::to_string(results.crashes) + ", late arrivals " +
          std::to_string(results.late_arrivals) + ", sound refused " +
          std::to_string(results.sound_refused) + " of " + std::to_string(results.sound) +
          ", late sound resent " + std::to_string(results.late_sound_resent);
      CPPUNIT_ASSERT_MESSAGE(figures, results.late_arrivals <= 3);
      CPPUNIT_ASSERT_MESSAGE(figures, results.sound_refused * 100 <= results.sound);
      CPPUNIT_ASSERT_MESSAGE(figures, results.late_sound_resent == 0);
      CPPUNIT_ASSERT_MESSAGE(figures, fleet.is_refused_everywhere(part_fleet::crashing_part));
    }
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
