#include "Agent/pool_run.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

class pool_run_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pool_run_test);
  CPPUNIT_TEST(loads_stay_within_the_multiple_of_the_mean);
  CPPUNIT_TEST(without_the_bound_a_hot_endpoint_is_overloaded);
  CPPUNIT_TEST(a_surge_from_idle_is_admitted);
  CPPUNIT_TEST(without_the_refused_loads_a_surge_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::chrono::seconds time_to_settle{20};
  static constexpr std::chrono::seconds time_measured{30};
  static constexpr std::uint64_t seeds = 3;

  static pool_result steady(std::uint64_t seed, bool bound_by_mean) {
    pool_options options;
    options.arrivals = 4.0;
    options.bound_by_mean = bound_by_mean;
    pool_run run(seed, options);
    run.run(time_to_settle);
    run.take_result();
    run.run(time_measured);
    return run.take_result();
  }

  void loads_stay_within_the_multiple_of_the_mean() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const pool_result result = steady(seed, true);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.refused_by_all);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.invariants_broken);
      // Measured against the true mean, which no agent knows, at most 1 % of the
      // requests exceed the bound, by at most two.
      CPPUNIT_ASSERT(result.above_true_bound * 100 <= result.offered);
      CPPUNIT_ASSERT(result.highest_excess <= 2);
    }
  }

  void without_the_bound_a_hot_endpoint_is_overloaded() {
    const pool_result result = steady(1, false);
    CPPUNIT_ASSERT(result.invariants_broken > 0);
    CPPUNIT_ASSERT(result.above_true_bound * 5 > result.offered);
    CPPUNIT_ASSERT(result.highest_excess > 10);
  }

  // Almost no load for 30 seconds, then suddenly 80 requests per second.
  static pool_result surge(std::uint64_t seed, bool send_refused_loads) {
    pool_options options;
    options.arrivals = 0.1;
    options.send_refused_loads = send_refused_loads;
    pool_run run(seed, options);
    run.run(time_measured);
    run.take_result();
    run.options.arrivals = 4.0;
    run.run(std::chrono::seconds{5});
    return run.take_result();
  }

  void a_surge_from_idle_is_admitted() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const pool_result result = surge(seed, true);
      CPPUNIT_ASSERT(result.refused_by_all * 10 <= result.offered);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.invariants_broken);
    }
  }

  void without_the_refused_loads_a_surge_is_refused() {
    const pool_result result = surge(1, false);
    CPPUNIT_ASSERT(result.refused_by_all * 4 > result.offered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_run_test);

}  // namespace chestnuthead
