#include "Gateway/store_news.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store whose rows are numbered changes of one table; other tables change too.
struct model_store {
  std::uint64_t version = 100;
  /// Version and time of each change.
  std::vector<std::pair<std::uint64_t, milliseconds>> changes;
  /// Its clock began so long before the play.
  milliseconds clock_ahead{77'000};
  bool away = false;
  bool history_gone = false;
};

/// An answer of the store on its way.
struct model_answer {
  milliseconds arrives{0};
  milliseconds asked_at{0};
  bool whole = false;
  bool gone = false;
  bool lost = false;
  std::uint64_t asked_after = 0;
  std::uint64_t version = 0;
  std::optional<std::uint64_t> newest_row;
  std::set<std::uint64_t> rows;
  milliseconds store_time{0};
};

struct model_gateway {
  table_copy copy;
  question_plan plan;
  clock_bound bound;
  /// Versions of the changes that it knows.
  std::set<std::uint64_t> known;
  std::optional<model_answer> under_way;
  std::multimap<milliseconds, table_news> inbox;
  milliseconds frozen_until{0};
  /// Its clock shows so much more than the play's time.
  milliseconds clock_ahead{0};
  std::uint64_t calls = 0;
};

struct model_terms {
  std::size_t gateways = 12;
  /// Chance that a message is lost, or held up for seconds.
  double lost = 0.05;
  double held_up = 0.01;
  /// Freezes, restarts, outages and lost answers happen.
  bool troubles = true;
  /// Changes of the table a second.
  double changes = 0.4;
};

/// Gateways that keep copies of one table by the functions under test.
class copies_play {
 public:
  copies_play(const model_terms& wanted, std::uint64_t seed) : terms(wanted), random(seed) {
    this->fleet.resize(this->terms.gateways);
    for (model_gateway& gateway : this->fleet) {
      gateway.clock_ahead =
          milliseconds{static_cast<std::int64_t>(next_below(this->random, 9'000))};
    }
  }

  void run(milliseconds length) {
    for (milliseconds at{0}; at < length; at += milliseconds{1}) {
      this->now = at;
      this->step_store();
      for (model_gateway& gateway : this->fleet) {
        this->step(gateway);
      }
    }
  }

  [[nodiscard]] std::uint64_t calls() const {
    std::uint64_t sum = 0;
    for (const model_gateway& gateway : this->fleet) {
      sum += gateway.calls;
    }
    return sum;
  }
  /// Changes that a gateway which said to be complete at their time did not know.
  int missed = 0;
  /// Longest time until every gateway knew a change, without troubles.
  milliseconds slowest{0};

 private:
  bool chance(double a_second) {
    return next_unit(this->random) < a_second / 1'000.0;
  }

  void step_store() {
    if (this->chance(20.0)) {
      ++this->store.version;
    }
    if (this->chance(this->terms.changes)) {
      this->store.changes.emplace_back(++this->store.version, this->now);
    }
    if (this->terms.troubles) {
      this->store.away = this->store.away ? !this->chance(0.3) : this->chance(0.05);
      this->store.history_gone = this->chance(5.0);
    }
  }

  [[nodiscard]] steady_time local(const model_gateway& gateway) const {
    return test_start + this->now + gateway.clock_ahead;
  }

  void step(model_gateway& gateway) {
    if (this->now < gateway.frozen_until) {
      return;
    }
    if (this->terms.troubles && this->chance(0.03)) {
      gateway.frozen_until = this->now + seconds{4};
      return;
    }
    if (this->terms.troubles && this->chance(0.02)) {
      const milliseconds ahead = gateway.clock_ahead;
      gateway = model_gateway{};
      gateway.clock_ahead = ahead;
    }
    while (!gateway.inbox.empty() && gateway.inbox.begin()->first <= this->now) {
      this->hear(gateway, gateway.inbox.begin()->second);
      gateway.inbox.erase(gateway.inbox.begin());
    }
    if (gateway.under_way && gateway.under_way->arrives <= this->now) {
      this->take(gateway, *std::exchange(gateway.under_way, std::nullopt));
    }
    if (!gateway.under_way && question_due(gateway.plan, this->questions, this->local(gateway))) {
      this->ask(gateway);
    }
    this->check(gateway);
  }

  void ask(model_gateway& gateway) {
    ++gateway.calls;
    model_answer answer;
    answer.asked_at = this->now;
    answer.whole = !gateway.copy.complete;
    answer.asked_after = gateway.copy.version;
    answer.gone = !answer.whole && this->store.history_gone;
    answer.lost = this->store.away || (this->terms.troubles && next_unit(this->random) < 0.05);
    answer.version = this->store.version;
    answer.store_time = this->now + this->store.clock_ahead;
    for (const auto& [version, time] : this->store.changes) {
      if (answer.whole || version > answer.asked_after) {
        answer.rows.insert(version);
        answer.newest_row = version;
      }
    }
    const milliseconds way{1 + static_cast<std::int64_t>(next_below(this->random, 9))};
    answer.arrives = this->now + (answer.lost ? milliseconds{700} : way);
    gateway.under_way = answer;
  }

  void plan_next(model_gateway& gateway, milliseconds pause) {
    const steady_time local_now = this->local(gateway);
    const auto interval =
        question_interval(this->questions, static_cast<std::uint32_t>(this->fleet.size()));
    const auto half = static_cast<std::uint64_t>(interval.count() / 2);
    gateway.plan.not_before = local_now + pause;
    gateway.plan.regular_at =
        local_now + interval -
        milliseconds{static_cast<std::int64_t>(next_below(this->random, half + 1))};
    gateway.plan.delay = milliseconds{static_cast<std::int64_t>(
        next_below(this->random, static_cast<std::uint64_t>(longest_delay.count())))};
  }

  void take(model_gateway& gateway, const model_answer& answer) {
    if (answer.lost) {
      this->plan_next(gateway, milliseconds{300});
      return;
    }
    if (answer.gone) {
      gateway.copy.complete = false;
      gateway.plan.regular_at = this->local(gateway);
      return;
    }
    this->plan_next(gateway, this->questions.pause);
    const steady_time as_of =
        date_answer(gateway.bound, answer.store_time,
                    test_start + answer.asked_at + gateway.clock_ahead, this->local(gateway));
    if (answer.whole) {
      gateway.copy = {true, answer.version, answer.version, 0};
      gateway.known = answer.rows;
    } else if (take_answer(gateway.copy, answer.version, answer.newest_row)) {
      gateway.known.insert(answer.rows.begin(), answer.rows.end());
      this->tell(gateway, answer);
    }
    this->confirm(gateway, as_of);
  }

  void tell(const model_gateway& sender, const model_answer& answer) {
    std::vector<table_row> rows;
    for (const std::uint64_t version : answer.rows) {
      // Every third change is too long for a message.
      const std::size_t size = version % 3 == 0 ? news_bytes + 1 : 10;
      rows.push_back({std::to_string(version), std::string(size, 'x'), false});
    }
    const table_news news =
        make_news("t", sender.copy, answer.store_time, answer.asked_after, rows);
    for (model_gateway& hearer : this->fleet) {
      if (&hearer == &sender || next_unit(this->random) < this->terms.lost) {
        continue;
      }
      const bool held_up = next_unit(this->random) < this->terms.held_up;
      const auto way = static_cast<std::int64_t>(next_below(this->random, held_up ? 8'000 : 20));
      hearer.inbox.emplace(this->now + milliseconds{1 + way}, news);
    }
  }

  void hear(model_gateway& gateway, const table_news& news) {
    const auto as_of = date_by_bound(gateway.bound, news.store_time, this->local(gateway));
    if (!as_of) {
      return;
    }
    const news_use use = take_news(gateway.copy, news);
    if (use == news_use::behind && !gateway.plan.behind_since) {
      gateway.plan.behind_since = this->local(gateway);
    }
    if (use == news_use::extends) {
      for (const table_row& row : news.rows) {
        gateway.known.insert(std::stoull(row.key));
      }
    }
    if (use == news_use::confirms || use == news_use::extends) {
      this->confirm(gateway, *as_of);
    }
  }

  static void confirm(model_gateway& gateway, steady_time as_of) {
    gateway.plan.confirmed_at = std::max(gateway.plan.confirmed_at, as_of);
    if (gateway.copy.version >= gateway.copy.wanted_version) {
      gateway.plan.behind_since.reset();
    }
  }

  void check(const model_gateway& gateway) {
    if (!gateway.copy.complete) {
      return;
    }
    const auto complete_at = gateway.plan.confirmed_at - gateway.clock_ahead - test_start;
    for (const auto& [version, time] : this->store.changes) {
      if (gateway.known.contains(version)) {
        continue;
      }
      this->missed += time < complete_at ? 1 : 0;
      this->slowest = std::max(this->slowest, this->now - time);
    }
  }

  model_terms terms;
  seeded_random random;
  question_terms questions;
  model_store store;
  std::vector<model_gateway> fleet;
  milliseconds now{0};
};

}  // namespace

class store_news_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_news_test);
  CPPUNIT_TEST(news_confirms_a_copy_that_lacks_nothing);
  CPPUNIT_TEST(rows_are_taken_only_without_a_gap);
  CPPUNIT_TEST(an_answer_older_than_the_copy_is_left_out);
  CPPUNIT_TEST(news_that_contradicts_itself_means_nothing);
  CPPUNIT_TEST(only_the_last_change_of_a_row_counts);
  CPPUNIT_TEST(no_copy_is_taken_for_complete_that_is_not);
  CPPUNIT_TEST(changes_reach_all_within_the_bound);
  CPPUNIT_TEST(questions_do_not_grow_with_the_fleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void news_confirms_a_copy_that_lacks_nothing() {
    table_copy copy{true, 50, 40, 0};
    CPPUNIT_ASSERT(take_news(copy, news(70, 45)) == news_use::confirms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT(take_news(copy, news(60, 45)) == news_use::confirms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT(take_news(copy, news(90, 80)) == news_use::behind);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    table_copy unread;
    CPPUNIT_ASSERT(take_news(unread, news(70, 0)) == news_use::none);
  }

  void rows_are_taken_only_without_a_gap() {
    table_copy copy{true, 50, 40, 0};
    CPPUNIT_ASSERT(take_news(copy, news(70, 65, 60)) == news_use::behind);
    CPPUNIT_ASSERT(take_news(copy, news(70, 65, 45)) == news_use::extends);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{65}, copy.unchanged_since);
  }

  void an_answer_older_than_the_copy_is_left_out() {
    table_copy copy{true, 50, 40, 0};
    take_news(copy, news(70, 65, 45));
    CPPUNIT_ASSERT(!take_answer(copy, 60, 55));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT(take_answer(copy, 80, std::nullopt));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{65}, copy.unchanged_since);
  }

  void only_the_last_change_of_a_row_counts() {
    const std::vector<table_row> rows = newest_of_each({{"a", "1", false},
                                                        {"b", "1", false},
                                                        {"a", "2", false},
                                                        {"c", "1", false},
                                                        {"b", "", true}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), rows[0].value);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), rows[1].key);
    CPPUNIT_ASSERT(rows[2].removed);
  }

  void news_that_contradicts_itself_means_nothing() {
    table_copy copy{true, 50, 40, 0};
    CPPUNIT_ASSERT(take_news(copy, news(60, 90, 10)) == news_use::none);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, copy.version);
  }

  /// Messages are lost, held up and reordered; gateways freeze and restart; the store
  /// is away, loses answers and forgets its history. A key that was revoked before the
  /// time at which a gateway says to be confirmed is known there as revoked.
  void no_copy_is_taken_for_complete_that_is_not() {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      copies_play play({}, seed);
      play.run(seconds{40});
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), 0, play.missed);
    }
  }

  /// Without troubles but lost messages, within the second that a gateway waits before
  /// it asks itself, its delay and an answer.
  void changes_reach_all_within_the_bound() {
    for (const std::size_t gateways : {1, 2, 5, 29, 68}) {
      copies_play play({gateways, 0.05, 0.0, false, 0.4}, 7);
      play.run(seconds{20});
      CPPUNIT_ASSERT_EQUAL(0, play.missed);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways), play.slowest < milliseconds{1'400});
    }
  }

  /// Of 150 calls a second for three tables at 300 gateways, each table may take 50.
  void questions_do_not_grow_with_the_fleet() {
    for (const std::size_t gateways : {5, 29, 68, 300}) {
      model_terms quiet{gateways, 0.02, 0.0, false, 0.0};
      copies_play play(quiet, 5);
      play.run(seconds{30});
      const double a_second =
          (static_cast<double>(play.calls()) - static_cast<double>(gateways)) / 30.0;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(a_second), a_second < 50.0);
    }
  }

 private:
  static table_news news(std::uint64_t version, std::uint64_t unchanged_since,
                         std::optional<std::uint64_t> rows_after = std::nullopt) {
    table_news made{"t", version, unchanged_since, milliseconds{0}, rows_after.value_or(0), {}};
    if (rows_after) {
      made.rows.push_back({"changed", "value", false});
    }
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_news_test);

}  // namespace chestnuthead::gateway
