#include "Agent/agent_run.h"

#include <iostream>

#include "random_runs.h"

namespace chestnuthead {

class agent_run_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(agent_run_test);
  CPPUNIT_TEST(attempts_keep_their_promises_under_faults);
  CPPUNIT_TEST(the_faults_were_played);
  CPPUNIT_TEST(without_claims_a_key_runs_twice);
  CPPUNIT_TEST(without_memory_an_attempt_is_answered_twice);
  CPPUNIT_TEST(without_draining_a_planned_stop_cuts_off);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::uint64_t fixed_seed = 7;

  void attempts_keep_their_promises_under_faults() {
    check_randomly("attempts keep their promises under faults", [](std::uint64_t seed) {
      run_options options;
      options.kind = seed % 2 == 0 ? pool_kind::plain_service : pool_kind::model_engine;
      agent_run run(seed, options);
      run.play();
      for (const std::string& fault : run.faults) {
        std::cerr << "seed " << seed << ": " << fault << '\n';
      }
      RC_ASSERT(run.faults.empty());
    });
  }

  void the_faults_were_played() {
    run_options options;
    options.steps = 4'000;
    agent_run run(fixed_seed, options);
    run.play();
    for (const char* name :
         {"killed", "paused", "engine crashed", "offered again", "withdrawn", "never sent",
          "stored answers", "unknown outcomes", "keys run", "orders", "planned stops"}) {
      CPPUNIT_ASSERT_MESSAGE(name, run.seen[name] > 0);
    }
  }

  // Plays until a fault of this kind shows, over a few seeds.
  static bool shows(const run_options& options, const std::string& what) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      agent_run run(seed, options);
      run.play();
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
    CPPUNIT_ASSERT(shows(options, "key ran twice"));
  }

  void without_memory_an_attempt_is_answered_twice() {
    run_options options;
    options.memory = false;
    CPPUNIT_ASSERT(shows(options, "attempt_answered_twice"));
  }

  void without_draining_a_planned_stop_cuts_off() {
    run_options options;
    options.drain = false;
    CPPUNIT_ASSERT(shows(options, "cut off by a planned stop"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_run_test);

}  // namespace chestnuthead
