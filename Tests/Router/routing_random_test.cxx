#include <cppunit/extensions/HelperMacros.h>

#include "Router/routing_simulation.h"
#include "Router/run_length.h"

namespace chestnuthead {

class routing_random_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(routing_random_test);
  CPPUNIT_TEST(every_request_ends_once_and_only_agents_in_service_get_attempts);
  CPPUNIT_TEST(handling_events_of_former_attempts_violates_the_invariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_request_ends_once_and_only_agents_in_service_get_attempts() {
    std::map<std::string, int> outcome_counts;
    for (int seed = 1; seed <= run_length(60); ++seed) {
      routing_simulation simulation(seed);
      simulation.run_steps(400);
      for (const std::string& fault : simulation.faults()) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + fault);
      }
      for (const auto& [how, count] : simulation.outcome_counts) {
        outcome_counts[how] += count;
      }
    }
    for (const char* how : {"finished", "cut", "overloaded", "retries_exhausted",
                            "deadline_exceeded", "request_refused_after_crashes", "caller_gone"}) {
      CPPUNIT_ASSERT_MESSAGE(how, outcome_counts[how] > 0);
    }
  }

  void handling_events_of_former_attempts_violates_the_invariants() {
    routing_simulation simulation(1);
    simulation.router.state->switches.drop_stale_events = false;
    simulation.run_steps(400);
    CPPUNIT_ASSERT(!simulation.faults().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_random_test);

}  // namespace chestnuthead
