#include "Gateway/crashing_parts.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"
#include "Gateway/part_verdicts.h"
#include "property_check.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t pool_hash = 7;
constexpr std::uint64_t shared = 1;
constexpr std::uint64_t bad = 2;
constexpr std::uint64_t sibling = 3;

std::vector<prompt_part> prompt_of(const std::vector<std::uint64_t>& parts) {
  std::vector<prompt_part> prompt;
  prompt.reserve(parts.size());
  for (const std::uint64_t part : parts) {
    prompt.push_back({part, 100});
  }
  return prompt;
}

}  // namespace

/// Tests the evidence about prompt parts at one gateway.
class crashing_parts_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crashing_parts_test);
  CPPUNIT_TEST(part_is_refused_after_three_crashes);
  CPPUNIT_TEST(last_part_is_never_refused);
  CPPUNIT_TEST(crashes_of_one_endpoint_are_not_added_up);
  CPPUNIT_TEST(crashes_of_one_endpoint_are_added_up_in_a_small_pool);
  CPPUNIT_TEST(part_of_a_small_pool_without_answers_is_withheld_before_it_is_refused);
  CPPUNIT_TEST(trial_ends_if_a_small_pool_crashes_without_the_part);
  CPPUNIT_TEST(small_pool_whose_endpoints_are_lost_together_refuses_no_part);
  CPPUNIT_TEST(unrelated_parts_of_a_small_pool_are_not_refused);
  CPPUNIT_TEST(large_pool_of_which_few_entries_are_left_is_not_small);
  CPPUNIT_TEST(later_crash_of_the_same_endpoint_is_reported_at_once);
  CPPUNIT_TEST(part_with_completed_answers_is_not_refused);
  CPPUNIT_TEST(shared_first_part_is_not_refused_with_a_deeper_one);
  CPPUNIT_TEST(shallower_part_follows_if_crashes_go_on);
  CPPUNIT_TEST(part_is_not_refused_while_a_pool_fails_altogether);
  CPPUNIT_TEST(refusal_ends_and_one_crash_renews_it);
  CPPUNIT_TEST(adopted_refusal_does_not_circulate);
  CPPUNIT_TEST(old_report_of_a_crash_is_not_a_second_crash);
  CPPUNIT_TEST(completed_answer_lifts_a_refusal);
  CPPUNIT_TEST(reports_and_tables_are_bounded);
  CPPUNIT_TEST(part_answered_every_1500_ms_is_never_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void part_is_refused_after_three_crashes() {
    this->crash_at(0, 1, {shared, bad, 90});
    this->crash_at(200, 2, {shared, bad, 91});
    this->answer_at(250, {shared, 70, 92});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(300));
    this->crash_at(400, 3, {shared, bad, 93});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->review_at(400));
    CPPUNIT_ASSERT(bad == this->refused_at(400, {shared, bad, 94}));
    CPPUNIT_ASSERT(!this->refused_at(400, {shared, 70, bad}).has_value());
  }

  void last_part_is_never_refused() {
    for (int number = 0; number < 5; ++number) {
      this->answer_at(200 * number, {shared, 70, 92});
      this->crash_at(200 * number, static_cast<std::uint64_t>(number), {bad});
      this->crash_at(200 * number, static_cast<std::uint64_t>(number), {shared, bad});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(5'000));
  }

  void crashes_of_one_endpoint_are_not_added_up() {
    for (int number = 0; number < 8; ++number) {
      this->crash_at(1'000 * number, static_cast<std::uint64_t>(number % 2), {shared, bad, 90});
      this->answer_at(1'000 * number + 500, {shared, 70, 92});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(9'000));
  }

  /// Guards against pools that never have enough different endpoints for a verdict.
  void crashes_of_one_endpoint_are_added_up_in_a_small_pool() {
    for (const std::size_t size : {std::size_t{1}, std::size_t{2}}) {
      this->table = {};
      this->listed_endpoints = size;
      std::size_t refused = 0;
      for (int number = 0; number < 5; ++number) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused);
        this->answer_at(3'000 * number - 500, {shared, 70, 92});
        this->crash_at(3'000 * number, static_cast<std::uint64_t>(number) % size,
                       {shared, bad, 90});
        refused = this->review_at(3'000 * number);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused);
      CPPUNIT_ASSERT(bad == this->refused_at(12'000, {shared, bad, 94}));
    }
  }

  /// Guards against parts that crash an endpoint too often for other requests to be answered.
  void part_of_a_small_pool_without_answers_is_withheld_before_it_is_refused() {
    this->crash_without_answers();
    CPPUNIT_ASSERT(bad == this->refused_at(12'100, {shared, bad, 94}));
    CPPUNIT_ASSERT(!this->refused_at(12'100, {shared, 70, 94}));
    CPPUNIT_ASSERT(time_until_retry(this->table, bad, at(12'100)) < part_trial_time);
    this->answer_at(15'500, {shared, 70, 92});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->review_at(15'600));
    CPPUNIT_ASSERT(bad == this->refused_at(30'000, {shared, bad, 94}));
    CPPUNIT_ASSERT(time_until_retry(this->table, bad, at(30'000)) == part_refusal_time);
  }

  /// Guards against trials that become refusals, or are renewed by the requests that they end.
  void trial_ends_if_a_small_pool_crashes_without_the_part() {
    this->crash_without_answers();
    note_refused_request(this->table, bad, at(13'000));
    this->crash_at(15'500, 0, {shared, 70, 92});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(15'600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(18'100));
    CPPUNIT_ASSERT(!this->refused_at(18'100, {shared, bad, 94}));
    this->crash_at(19'000, 0, {shared, bad, 95});
    this->answer_thrice(21'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(21'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_refused(this->table, at(21'100)));
  }

  /// A part that was in use both times when all endpoints were lost.
  void small_pool_whose_endpoints_are_lost_together_refuses_no_part() {
    this->listed_endpoints = 2;
    for (const int time : {0, 3'000}) {
      this->crash_at(time, 0, {shared, bad, 90});
      this->crash_at(time + 20, 1, {shared, bad, 91});
      this->answer_thrice(time + 2'500);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(9'000));
  }

  void unrelated_parts_of_a_small_pool_are_not_refused() {
    this->listed_endpoints = 1;
    for (int number = 0; number < 6; ++number) {
      this->crash_at(3'000 * number, 0, {shared, bad, 90});
      this->crash_at(3'000 * number, 0, {shared, sibling, 90});
      this->answer_thrice(3'000 * number + 500);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(3'000 * number + 1'000));
    }
  }

  void large_pool_of_which_few_entries_are_left_is_not_small() {
    this->listed_endpoints = 1;
    for (std::uint64_t endpoint = 1; endpoint < 4; ++endpoint) {
      this->crash_at(0, endpoint, {40 + endpoint, 50 + endpoint, 90});
    }
    for (int number = 0; number < 6; ++number) {
      this->crash_at(6'000 + 3'000 * number, 0, {shared, bad, 90});
      this->answer_thrice(6'500 + 3'000 * number);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(7'000 + 3'000 * number));
    }
  }

  /// Guards against reports that wait for the next regular message to the peers.
  void later_crash_of_the_same_endpoint_is_reported_at_once() {
    this->crash_at(0, 1, {shared, bad, 90});
    const part_reports first = recent_part_reports(this->table, at(100));
    CPPUNIT_ASSERT(!has_new_reports(recent_part_reports(this->table, at(2'000)), first));
    this->crash_at(3'000, 1, {shared, bad, 91});
    CPPUNIT_ASSERT(has_new_reports(recent_part_reports(this->table, at(3'050)), first));
    // The answers of this gateway may clear a part that crashed one endpoint twice.
    this->answer_at(3'100, {shared, bad, 92});
    CPPUNIT_ASSERT(!recent_part_reports(this->table, at(3'200)).cleared.empty());
  }

  void part_with_completed_answers_is_not_refused() {
    for (int number = 0; number < 8; ++number) {
      this->crash_at(1'000 * number, static_cast<std::uint64_t>(number), {shared, bad, 90});
    }
    this->answer_at(7'100, {shared, bad, 92});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(9'000));
  }

  void shared_first_part_is_not_refused_with_a_deeper_one() {
    this->crash_thrice({shared, bad, 90});
    // No other answer with the first part is known, so both parts have three crashes.
    this->answer_at(650, {50, 70, 92});
    this->answer_at(660, {50, 70, 93});
    this->answer_at(670, {50, 70, 94});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(680));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->review_at(1'000));
    CPPUNIT_ASSERT(!this->refused_at(1'000, {shared, 70, 94}).has_value());
    CPPUNIT_ASSERT(bad == this->refused_at(1'000, {shared, bad, 94}));
  }

  void shallower_part_follows_if_crashes_go_on() {
    this->crash_thrice({bad, sibling, 90});
    this->answer_thrice(650);
    this->review_at(1'000);
    CPPUNIT_ASSERT(sibling == this->refused_at(1'000, {bad, sibling, 94}));
    for (int number = 0; number < 3; ++number) {
      this->crash_at(1'100 + 200 * number, 20 + static_cast<std::uint64_t>(number),
                     {bad, 30 + static_cast<std::uint64_t>(number), 90});
    }
    this->answer_thrice(1'650);
    this->review_at(2'000);
    CPPUNIT_ASSERT(bad == this->refused_at(2'000, {bad, 40, 94}));
    // The crashes with the deeper part are explained now.
    this->review_at(2'100);
    CPPUNIT_ASSERT(!this->refused_at(2'100, {shared, sibling, 94}).has_value());
  }

  void part_is_not_refused_while_a_pool_fails_altogether() {
    this->crash_thrice({shared, bad, 90});
    record_part_answer(this->table, pool_hash + 1, prompt_of({50, 70, 92}), at(650));
    record_part_answer(this->table, pool_hash + 1, prompt_of({50, 70, 93}), at(660));
    record_part_answer(this->table, pool_hash + 1, prompt_of({50, 70, 94}), at(670));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(5'000));
    this->answer_thrice(5'100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->review_at(5'200));
  }

  void refusal_ends_and_one_crash_renews_it() {
    this->refuse_bad();
    note_refused_request(this->table, bad, at(10'000));
    CPPUNIT_ASSERT(this->refused_at(69'900, {shared, bad, 94}).has_value());
    CPPUNIT_ASSERT(!this->refused_at(70'100, {shared, bad, 94}).has_value());
    this->answer_at(200'000, {shared, 70, 90});
    this->crash_at(200'100, 9, {shared, bad, 95});
    this->review_at(200'100);
    CPPUNIT_ASSERT(this->refused_at(200'200, {shared, bad, 94}).has_value());
    this->review_at(1'000'000);
    CPPUNIT_ASSERT(this->table.refused.empty());
  }

  void adopted_refusal_does_not_circulate() {
    CPPUNIT_ASSERT(adopt_refusal(this->table, bad, at(0)));
    CPPUNIT_ASSERT(!adopt_refusal(this->table, bad, at(10)));
    CPPUNIT_ASSERT(bad == this->refused_at(100, {shared, bad, 94}));
    CPPUNIT_ASSERT(recent_part_reports(this->table, at(100)).refused.empty());
    note_refused_request(this->table, bad, at(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recent_part_reports(this->table, at(300)).refused.size());
    CPPUNIT_ASSERT(recent_part_reports(this->table, at(5'300)).refused.empty());
  }

  void old_report_of_a_crash_is_not_a_second_crash() {
    this->crash_at(0, 1, {shared, bad, 90});
    const part_reports reports = recent_part_reports(this->table, at(4'900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports.crashes.size());
    for (const part_crash& crash : reports.crashes) {
      record_reported_crash(this->table, crash, pool_hash, at(4'950));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.events.size());
  }

  void completed_answer_lifts_a_refusal() {
    this->refuse_bad();
    this->answer_at(1'100, {shared, bad, 95});
    CPPUNIT_ASSERT(!this->refused_at(1'200, {shared, bad, 94}).has_value());
    CPPUNIT_ASSERT(!adopt_refusal(this->table, bad, at(1'200)));
  }

  void reports_and_tables_are_bounded() {
    for (std::uint64_t number = 0; number < 6'000; ++number) {
      const auto time = static_cast<int>(number / 10);
      this->crash_at(time, number, {number % 90, number + 100, number + 200, 1});
      this->answer_at(time, {number % 90, number + 10'000, 1});
      if (number % 10 == 0) {
        note_refused_request(this->table, 50'000 + number, at(time));
      }
    }
    const part_reports reports = recent_part_reports(this->table, at(600));
    CPPUNIT_ASSERT_EQUAL(max_reported_crashes, reports.crashes.size());
    CPPUNIT_ASSERT(reports.cleared.size() <= max_reported_clearances);
    CPPUNIT_ASSERT_EQUAL(max_reported_refusals, reports.refused.size());
    CPPUNIT_ASSERT(this->table.events.size() <= max_crash_events);
    CPPUNIT_ASSERT(this->table.answers.size() <= max_part_answers);
    CPPUNIT_ASSERT(this->table.refused.size() <= max_refused_parts);
  }

  void part_answered_every_1500_ms_is_never_refused() {
    check_property("a part whose answers are completed is not refused", [this](std::uint64_t seed) {
      seeded_random random(seed);
      this->table = {};
      int answered = 0;
      this->answer_at(answered, {shared, sibling, 92});
      for (int time = 0; time < 20'000; time += 10 + static_cast<int>(random.next() % 300)) {
        for (; answered + 1'400 < time; answered += 1'400) {
          this->answer_at(answered + 1'400, {shared, sibling, 92});
        }
        const std::uint64_t endpoint = random.next() % 52;
        this->crash_at(time, endpoint, {shared, sibling, random.next() % 5, 90});
        this->crash_at(time, endpoint, {shared, bad, 90});
        if (random.next() % 9 == 0) {
          adopt_refusal(this->table, shared, at(time));
        }
        this->answer_at(time, {50, 70, 92});
        this->review_at(time);
        RC_ASSERT(!this->refused_at(time, {shared, sibling, 90}).has_value());
      }
      RC_ASSERT(this->refused_at(20'000, {shared, bad, 90}).has_value());
    });
  }

 private:
  static steady_time at(int time) {
    return test_start + milliseconds{time};
  }

  void crash_at(int time, std::uint64_t endpoint, const std::vector<std::uint64_t>& parts) {
    record_part_crash(this->table, {endpoint, pool_hash}, prompt_of(parts), at(time));
  }

  void answer_at(int time, const std::vector<std::uint64_t>& parts) {
    // Several answers, as a verdict needs three.
    for (int number = 0; number < 3; ++number) {
      record_part_answer(this->table, pool_hash, prompt_of(parts), at(time) + milliseconds{number});
    }
  }

  std::size_t review_at(int time) {
    std::size_t refused = 0;
    const auto listed = [this](std::uint64_t /*pool*/) { return this->listed_endpoints; };
    for (const part_verdict& verdict : review_parts(this->table, 1, listed, at(time))) {
      refused += verdict.refused ? 1 : 0;
    }
    return refused;
  }

  std::optional<std::uint64_t> refused_at(int time, const std::vector<std::uint64_t>& parts) {
    return refused_part(this->table, prompt_of(parts), at(time));
  }

  /// The only endpoint of a pool crashes five times and answers nothing.
  void crash_without_answers() {
    this->listed_endpoints = 1;
    for (int number = 0; number < 5; ++number) {
      this->crash_at(3'000 * number, 0, {shared, bad, 90});
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->review_at(3'000 * number));
    }
  }

  void crash_thrice(const std::vector<std::uint64_t>& parts) {
    for (int number = 0; number < 3; ++number) {
      this->crash_at(200 * number, 10 + static_cast<std::uint64_t>(number), parts);
    }
  }

  void answer_thrice(int time) {
    this->answer_at(time, {50, 70, 92});
  }

  void refuse_bad() {
    this->crash_thrice({shared, bad, 90});
    this->answer_at(650, {shared, 70, 92});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->review_at(1'000));
  }

  crashing_parts table;
  std::size_t listed_endpoints = 12;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_parts_test);

}  // namespace chestnuthead::gateway
