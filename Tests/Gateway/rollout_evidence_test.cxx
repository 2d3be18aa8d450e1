#include "Gateway/rollout_evidence.h"

#include <cmath>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

#include "rollout_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

class rollout_evidence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_evidence_test);
  CPPUNIT_TEST(equal_versions_are_not_rejected_by_repeated_tests);
  CPPUNIT_TEST(failures_on_one_route_reject_the_version);
  CPPUNIT_TEST(slow_answers_reject_the_version);
  CPPUNIT_TEST(slow_events_reject_the_version);
  CPPUNIT_TEST(failures_of_both_versions_do_not);
  CPPUNIT_TEST(one_faulty_endpoint_does_not);
  CPPUNIT_TEST(longer_prompts_do_not);
  CPPUNIT_TEST(late_fault_shows_in_recent_results);
  CPPUNIT_TEST(counts_are_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void equal_versions_are_not_rejected_by_repeated_tests() {
    constexpr int histories = 2'000;
    constexpr int results = 900;
    constexpr double base_failures = 0.14;
    seeded_random random(4);
    int rejected = 0;
    for (int history = 0; history < histories; ++history) {
      evidence_counts counts;
      bool bad = false;
      for (int number = 0; number < results && !bad; ++number) {
        evidence_result result;
        result.failed = next_unit(random) < base_failures;
        result.first = draw_time(random);
        count_result(counts, {1, 0}, result);
        if (number % 3 == 0) {
          result.failed = next_unit(random) < base_failures;
          result.first = draw_time(random);
          count_result(counts, {1, 100 + next_below(random, 3)}, result);
        }
        bad = summarize(counts).against >= evidence_to_reject;
      }
      rejected += bad ? 1 : 0;
    }
    // Ville's bound for one test is about 0.0001; there are two of them.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(rejected), rejected <= 2);
  }

  void failures_on_one_route_reject_the_version() {
    evidence_counts counts;
    add_results(counts, {1, 0}, 400, 2, milliseconds{30});
    add_results(counts, {2, 0}, 400, 2, milliseconds{30});
    add_results(counts, {1, 100}, 40, 0, milliseconds{30});
    add_results(counts, {1, 101}, 40, 0, milliseconds{30});
    add_results(counts, {2, 100}, 50, 10, milliseconds{30});
    add_results(counts, {2, 101}, 50, 10, milliseconds{30});
    const evidence_summary summary = summarize(counts);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(summary.against), summary.against >= evidence_to_reject);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, summary.route);
    CPPUNIT_ASSERT_EQUAL(std::string("failures"), summary.kind);
  }

  void slow_answers_reject_the_version() {
    seeded_random random(5);
    evidence_counts counts;
    for (int number = 0; number < 500; ++number) {
      evidence_result result;
      result.first = draw_time(random);
      count_result(counts, {1, 0}, result);
    }
    for (int number = 0; number < 100; ++number) {
      evidence_result result;
      result.first = 2 * draw_time(random);
      count_result(counts, {1, 100 + next_below(random, 3)}, result);
    }
    const evidence_summary summary = summarize(counts);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(summary.against), summary.against >= evidence_to_reject);
    CPPUNIT_ASSERT_EQUAL(std::string("time_to_answer"), summary.kind);
  }

  void slow_events_reject_the_version() {
    evidence_counts counts;
    for (int number = 0; number < 300; ++number) {
      evidence_result result;
      result.first = milliseconds{20};
      result.events = 20;
      result.events_time = milliseconds{19 * 35};
      count_result(counts, {1, 0}, result);
      if (number % 10 == 0) {
        result.events_time *= 2;
        count_result(counts, {1, 100 + static_cast<std::uint64_t>(number / 10 % 3)}, result);
      }
    }
    const evidence_summary summary = summarize(counts);
    CPPUNIT_ASSERT(summary.against >= evidence_to_reject);
    CPPUNIT_ASSERT_EQUAL(std::string("time_between_events"), summary.kind);
  }

  void failures_of_both_versions_do_not() {
    evidence_counts counts;
    add_results(counts, {1, 0}, 400, 120, milliseconds{30});
    add_results(counts, {1, 100}, 50, 15, milliseconds{30});
    add_results(counts, {1, 101}, 50, 16, milliseconds{30});
    CPPUNIT_ASSERT(summarize(counts).against < evidence_to_doubt);
  }

  void one_faulty_endpoint_does_not() {
    evidence_counts counts;
    add_results(counts, {1, 0}, 400, 2, milliseconds{30});
    add_results(counts, {1, 100}, 60, 40, milliseconds{30});
    add_results(counts, {1, 101}, 60, 0, milliseconds{30});
    add_results(counts, {1, 102}, 60, 1, milliseconds{30});
    CPPUNIT_ASSERT(summarize(counts).against < evidence_to_reject);
  }

  void longer_prompts_do_not() {
    evidence_counts counts;
    for (int number = 0; number < 400; ++number) {
      evidence_result result;
      result.first = milliseconds{12};
      result.tokens_to_read = 0;
      count_result(counts, {1, 0}, result);
      // Cold caches: eleven times the work takes eleven times as long.
      result.first = milliseconds{132};
      result.tokens_to_read = 10'000;
      count_result(counts, {1, 100 + static_cast<std::uint64_t>(number % 3)}, result);
    }
    CPPUNIT_ASSERT(summarize(counts).against < evidence_to_doubt);
  }

  void late_fault_shows_in_recent_results() {
    evidence_counts before;
    add_results(before, {1, 0}, 2'000, 10, milliseconds{30});
    add_results(before, {1, 100}, 300, 1, milliseconds{30});
    add_results(before, {1, 101}, 300, 1, milliseconds{30});
    evidence_counts after = before;
    add_results(after, {1, 0}, 200, 1, milliseconds{30});
    add_results(after, {1, 100}, 25, 7, milliseconds{30});
    add_results(after, {1, 101}, 25, 7, milliseconds{30});
    CPPUNIT_ASSERT(summarize(after).against < evidence_to_reject);
    CPPUNIT_ASSERT(summarize(counts_since(after, before)).against >= evidence_to_reject);
  }

  void counts_are_bounded() {
    evidence_counts counts;
    for (std::uint64_t route = 0; route < 10'000; ++route) {
      count_result(counts, {route, 0}, {});
    }
    CPPUNIT_ASSERT_EQUAL(evidence_rows_limit, counts.size());
  }

 private:
  /// Times between 15 and 60 ms.
  static std::chrono::nanoseconds draw_time(random_source& random) {
    const double factor = std::exp2(2.0 * next_unit(random) - 1.0);
    return std::chrono::nanoseconds{static_cast<std::int64_t>(30e6 * factor)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_evidence_test);

}  // namespace chestnuthead::gateway
