#include "table_follower.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::platform {

using std::chrono::milliseconds;

class table_follower_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_follower_test);
  CPPUNIT_TEST(failed_questions_are_asked_ever_later);
  CPPUNIT_TEST(a_fleet_leaves_a_store_that_comes_back_its_rate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void failed_questions_are_asked_ever_later() {
    const follow_terms terms{"t", {}, milliseconds{1'000}};
    CPPUNIT_ASSERT(retry_after(1, terms) == milliseconds{200});
    CPPUNIT_ASSERT(retry_after(2, terms) == milliseconds{400});
    CPPUNIT_ASSERT(retry_after(3, terms) == milliseconds{800});
    CPPUNIT_ASSERT(retry_after(4, terms) == milliseconds{1'000});
    CPPUNIT_ASSERT(retry_after(4'000'000'000U, terms) == milliseconds{1'000});
  }

  /// 350 gateways that all fail ask at most 2,000 times a second: each for its
  /// orders, its endpoints and its peers.
  void a_fleet_leaves_a_store_that_comes_back_its_rate() {
    const follow_terms orders{"o", {}, milliseconds{350}};
    const follow_terms others{"t", {}, milliseconds{1'000}};
    const double rate = 350.0 * (1'000.0 / static_cast<double>(retry_after(9, orders).count()) +
                                 2'000.0 / static_cast<double>(retry_after(9, others).count()));
    CPPUNIT_ASSERT(rate < 2'000.0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_follower_test);

}  // namespace chestnuthead::platform
