#include "Gateway/clock_bound.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"
#include "property_check.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

class clock_bound_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(clock_bound_test);
  CPPUNIT_TEST(a_delayed_answer_is_dated_by_its_creation);
  CPPUNIT_TEST(no_answer_is_dated_after_its_creation);
  CPPUNIT_TEST(a_reset_clock_gets_a_new_bound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_delayed_answer_is_dated_by_its_creation() {
    clock_bound bound;
    // A fast answer determines the offset to within its round-trip time.
    date_answer(bound, milliseconds{1'001}, test_start, test_start + milliseconds{2});
    const auto asked = test_start + milliseconds{10};
    const auto answered = asked + milliseconds{900};
    const auto dated = date_answer(bound, milliseconds{1'910}, asked, answered);
    CPPUNIT_ASSERT(dated <= answered);
    CPPUNIT_ASSERT(dated >= answered - milliseconds{2});
  }

  void no_answer_is_dated_after_its_creation() {
    check_property("dates are never late", [](std::uint16_t difference) {
      clock_bound bound;
      steady_time now = test_start;
      for (int call = 0; call < 200; ++call) {
        const steady_time began = now;
        now += milliseconds{*rc::gen::inRange(0, 40)};
        const steady_time given = now;
        now += milliseconds{*rc::gen::inRange(0, 40)};
        const auto service_time =
            std::chrono::duration_cast<milliseconds>(given - test_start) + milliseconds{difference};
        const steady_time dated = date_answer(bound, service_time, began, now);
        RC_ASSERT(dated <= given);
        RC_ASSERT(dated >= began);
      }
    });
  }

  void a_reset_clock_gets_a_new_bound() {
    clock_bound bound;
    date_answer(bound, milliseconds{50'000}, test_start, test_start + milliseconds{2});
    const auto later = test_start + milliseconds{100};
    const auto dated = date_answer(bound, milliseconds{5}, later, later + milliseconds{4});
    CPPUNIT_ASSERT(dated == later);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(clock_bound_test);

}  // namespace chestnuthead::gateway
