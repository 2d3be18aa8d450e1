#include "Agent/agent_run.h"

#include <iostream>

#include "property_check.h"

namespace chestnuthead {

class agent_run_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(agent_run_test);
  CPPUNIT_TEST(invariants_hold_under_random_faults);
  CPPUNIT_TEST(every_kind_of_fault_is_injected);
  CPPUNIT_TEST(without_claims_a_key_runs_twice);
  CPPUNIT_TEST(without_deduplication_an_attempt_is_answered_twice);
  CPPUNIT_TEST(without_draining_a_planned_stop_aborts_attempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::uint64_t fixed_seed = 7;

  void invariants_hold_under_random_faults() {
    check_property("attempts keep their promises under faults", [](std::uint64_t seed) {
      run_options options;
      options.kind = seed % 2 == 0 ? pool_kind::plain_service : pool_kind::model_engine;
      agent_run run(seed, options);
      run.execute();
      for (const std::string& fault : run.faults) {
        std::cerr << "seed " << seed << ": " << fault << '\n';
      }
      RC_ASSERT(run.faults.empty());
    });
  }

  void every_kind_of_fault_is_injected() {
    run_options options;
    options.steps = 4'000;
    agent_run run(fixed_seed, options);
    run.execute();
    for (const char* name :
         {"killed", "paused", "engine crashed", "offered again", "withdrawn", "never sent",
          "stored answers", "unknown outcomes", "keys run", "orders", "planned stops"}) {
      CPPUNIT_ASSERT_MESSAGE(name, run.seen[name] > 0);
    }
  }

  // True if one of the first 20 seeds produces a violation of this kind.
  static bool violation_occurs(const run_options& options, const std::string& what) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      agent_run run(seed, options);
      run.execute();
      for (const std::string& fault : run.faults) {
        if (fault.starts_with(what)) {
          return true;
        }
      }
    }
    return false;
  }

  void without_claims_a_key_runs_twice() {
    run_options options;
    options.claims = false;
    CPPUNIT_ASSERT(violation_occurs(options, "key ran twice"));
  }

  void without_deduplication_an_attempt_is_answered_twice() {
    run_options options;
    options.deduplication = false;
    CPPUNIT_ASSERT(violation_occurs(options, "attempt_answered_twice"));
  }

  void without_draining_a_planned_stop_aborts_attempts() {
    run_options options;
    options.drain = false;
    CPPUNIT_ASSERT(violation_occurs(options, "cut off by a planned stop"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_run_test);

}  // namespace chestnuthead
