#include "Load/tally.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

class tally_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(tally_test);
  CPPUNIT_TEST(finds_calls_that_ran_twice);
  CPPUNIT_TEST(finds_calls_that_ran_despite_a_not_run_answer);
  CPPUNIT_TEST(finds_answers_without_an_execution);
  CPPUNIT_TEST(a_missing_outcome_fails_the_check);
  CPPUNIT_TEST(skew_counts_endpoints_without_work);
  CPPUNIT_TEST_SUITE_END();

 public:
  void finds_calls_that_ran_twice() {
    this->total.keys["a"].answered = true;
    chestnuthead::compare_executions(this->total, {{"a", 3}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->total.duplicates_run);
    CPPUNIT_ASSERT(!chestnuthead::all_checks_passed(this->total));
  }

  void finds_calls_that_ran_despite_a_not_run_answer() {
    this->total.keys["a"].reported_not_run = true;
    this->total.keys["b"].reported_not_run = true;
    chestnuthead::compare_executions(this->total, {{"b", 1}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->total.false_not_run);
    CPPUNIT_ASSERT(!chestnuthead::all_checks_passed(this->total));
  }

  void finds_answers_without_an_execution() {
    this->total.keys["a"].answered = true;
    chestnuthead::compare_executions(this->total, {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->total.answered_without_run);
    CPPUNIT_ASSERT(!chestnuthead::all_checks_passed(this->total));
  }

  void a_missing_outcome_fails_the_check() {
    this->total.requests = 2;
    this->total.answered = 1;
    CPPUNIT_ASSERT(!chestnuthead::all_checks_passed(this->total));
    this->total.ended_unknown = 1;
    CPPUNIT_ASSERT(chestnuthead::all_checks_passed(this->total));
  }

  void skew_counts_endpoints_without_work() {
    this->total.served_by_endpoint = {{"engine-1", 6}, {"engine-2", 2}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, chestnuthead::skew_of(this->total, 0), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, chestnuthead::skew_of(this->total, 4), 1e-9);
  }

 private:
  chestnuthead::tally total;
};

CPPUNIT_TEST_SUITE_REGISTRATION(tally_test);

}  // namespace
