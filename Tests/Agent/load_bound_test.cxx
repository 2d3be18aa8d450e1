#include <cppunit/extensions/HelperMacros.h>

#include "Agent/admission.h"
#include "Agent/agent_bench.h"

namespace chestnuthead {

class load_bound_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_bound_test);
  CPPUNIT_TEST(the_bound_is_that_of_bounded_load_hashing);
  CPPUNIT_TEST(an_engine_is_held_to_the_multiple_of_the_mean);
  CPPUNIT_TEST(without_the_bound_the_invariant_breaks);
  CPPUNIT_TEST(a_plain_service_is_not_bound_by_the_mean);
  CPPUNIT_TEST(with_an_expired_mean_only_the_own_limit_applies);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;

  // Offers attempts until one is refused; returns how many were admitted.
  static std::uint32_t fill(agent_bench& bench) {
    for (std::uint32_t count = 0; count < 100; ++count) {
      const auto taken = bench.send(offer("fill-" + std::to_string(count)));
      if (count_of_kind<refuse_attempt>(taken) > 0) {
        return count;
      }
    }
    return 100;
  }

  static void start_warm(agent_bench& bench, pool_kind kind) {
    configuration_document document = small_document(kind);
    document.pools.at(0).warm_limit = 32;
    document.pools.at(0).concurrency = 32;
    agent_bench::store(*bench.table, document);
    bench.start();
    bench.state->warm.limit = 32;
  }

  void the_bound_is_that_of_bounded_load_hashing() {
    // ceil(1.25 * (8 * 10 + 1) / 10) and so on.
    CPPUNIT_ASSERT_EQUAL(11U, bound_by_mean(1.25, 8.0, 10));
    CPPUNIT_ASSERT_EQUAL(2U, bound_by_mean(1.25, 0.0, 10));
    CPPUNIT_ASSERT_EQUAL(2U, bound_by_mean(1.25, 0.0, 0));
    // A single endpoint in a pool is never blocked by its own mean.
    for (std::uint32_t load = 0; load < 100; ++load) {
      CPPUNIT_ASSERT(bound_by_mean(1.01, load, 1) > load);
    }
  }

  void an_engine_is_held_to_the_multiple_of_the_mean() {
    agent_bench bench(this->table);
    start_warm(bench, pool_kind::model_engine);
    bench.add_peers(9, 4);
    // The mean includes the agent's own load: with 9 peers of load 4 and 5 here it
    // is 4.1, and 1.1 * (4.1 + 0.1) is between 4 and 5.
    CPPUNIT_ASSERT_EQUAL(5U, fill(bench));
    CPPUNIT_ASSERT(refusal_kind::above_mean == refusal_in(bench.send(offer("more"))));
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void without_the_bound_the_invariant_breaks() {
    agent_bench bench(this->table);
    start_warm(bench, pool_kind::model_engine);
    bench.state->switches.bound_by_mean = false;
    bench.add_peers(9, 4);
    CPPUNIT_ASSERT(fill(bench) > 6U);
    CPPUNIT_ASSERT_EQUAL(std::string("load_above_bound"), bench.broken.at(0).name);
  }

  void a_plain_service_is_not_bound_by_the_mean() {
    agent_bench bench(this->table);
    start_warm(bench, pool_kind::plain_service);
    bench.add_peers(9, 4);
    CPPUNIT_ASSERT_EQUAL(32U, fill(bench));
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void with_an_expired_mean_only_the_own_limit_applies() {
    agent_bench bench(this->table);
    start_warm(bench, pool_kind::model_engine);
    bench.add_peers(9, 1);
    bench.pass(std::chrono::minutes{5});
    CPPUNIT_ASSERT_EQUAL(32U, fill(bench));
    CPPUNIT_ASSERT(bench.broken.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_bound_test);

}  // namespace chestnuthead
