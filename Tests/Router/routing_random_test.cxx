#include <cppunit/extensions/HelperMacros.h>

#include "Router/routing_world.h"
#include "Router/run_length.h"

namespace chestnuthead {

class routing_random_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(routing_random_test);
  CPPUNIT_TEST(every_request_ends_once_and_nothing_goes_where_it_may_not);
  CPPUNIT_TEST(events_of_former_attempts_taken_in_break_it);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_request_ends_once_and_nothing_goes_where_it_may_not() {
    std::map<std::string, int> ends;
    for (int seed = 1; seed <= run_length(60); ++seed) {
      routing_world world(seed);
      world.play(400);
      for (const std::string& fault : world.faults()) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + fault);
      }
      for (const auto& [how, count] : world.ends) {
        ends[how] += count;
      }
    }
    for (const char* how : {"finished", "cut", "overloaded", "retries_exhausted",
                            "deadline_exceeded", "request_refused_after_crashes", "caller_gone"}) {
      CPPUNIT_ASSERT_MESSAGE(how, ends[how] > 0);
    }
  }

  void events_of_former_attempts_taken_in_break_it() {
    routing_world world(1);
    world.router.state->switches.drop_stale_events = false;
    world.play(400);
    CPPUNIT_ASSERT(!world.faults().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_random_test);

}  // namespace chestnuthead
