#include "Gateway/table_updates.h"

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
  /// The store's clock minus the simulated time.
  milliseconds clock_ahead{77'000};
  bool away = false;
  bool history_gone = false;
};

/// An answer from the store in transit.
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
  poll_schedule plan;
  clock_bound bound;
  /// Versions of the changes that the gateway has received.
  std::set<std::uint64_t> known;
  std::optional<model_answer> under_way;
  std::multimap<milliseconds, table_update> inbox;
  milliseconds frozen_until{0};
  /// The gateway's clock minus the simulated time.
  milliseconds clock_ahead{0};
  std::uint64_t calls = 0;
};

struct simulation_options {
  std::size_t gateways = 12;
  /// Probability that a message is lost, or delayed by seconds.
  double lost = 0.05;
  double held_up = 0.01;
  /// Simulate freezes, restarts, outages and lost answers.
  bool troubles = true;
  /// Changes of the table per second.
  double changes = 0.4;
};

/// Simulates gateways that keep copies of one table.
class copies_simulation {
 public:
  copies_simulation(const simulation_options& wanted, std::uint64_t seed)
      : terms(wanted), random(seed) {
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
  /// Changes missing from a copy that counted as confirmed for a time after the change.
  int missed = 0;
  /// Longest time until every gateway had received a change, without troubles.
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
      this->receive(gateway, gateway.inbox.begin()->second);
      gateway.inbox.erase(gateway.inbox.begin());
    }
    if (gateway.under_way && gateway.under_way->arrives <= this->now) {
      this->take(gateway, *std::exchange(gateway.under_way, std::nullopt));
    }
    if (!gateway.under_way && poll_due(gateway.plan, this->questions, this->local(gateway))) {
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
        table_poll_interval(this->questions, static_cast<std::uint32_t>(this->fleet.size()));
    const auto half = static_cast<std::uint64_t>(interval.count() / 2);
    gateway.plan.not_before = local_now + pause;
    gateway.plan.regular_at =
        local_now + interval -
        milliseconds{static_cast<std::int64_t>(next_below(this->random, half + 1))};
    gateway.plan.delay = milliseconds{static_cast<std::int64_t>(
        next_below(this->random, static_cast<std::uint64_t>(max_poll_delay.count())))};
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
    } else if (apply_answer(gateway.copy, answer.version, answer.newest_row)) {
      gateway.known.insert(answer.rows.begin(), answer.rows.end());
      this->send_update(gateway, answer);
    }
    this->confirm(gateway, as_of);
  }

  void send_update(const model_gateway& sender, const model_answer& answer) {
    std::vector<table_row> rows;
    for (const std::uint64_t version : answer.rows) {
      // Every third change is too large for a message.
      const std::size_t size = version % 3 == 0 ? max_update_bytes + 1 : 10;
      rows.push_back({std::to_string(version), std::string(size, 'x'), false});
    }
    const table_update update =
        make_update("t", sender.copy, answer.store_time, answer.asked_after, rows);
    for (model_gateway& receiver : this->fleet) {
      if (&receiver == &sender || next_unit(this->random) < this->terms.lost) {
        continue;
      }
      const bool held_up = next_unit(this->random) < this->terms.held_up;
      const auto way = static_cast<std::int64_t>(next_below(this->random, held_up ? 8'000 : 20));
      receiver.inbox.emplace(this->now + milliseconds{1 + way}, update);
    }
  }

  void receive(model_gateway& gateway, const table_update& update) {
    const auto as_of = date_by_bound(gateway.bound, update.store_time, this->local(gateway));
    if (!as_of) {
      return;
    }
    const update_effect use = apply_update(gateway.copy, update);
    if (use == update_effect::behind && !gateway.plan.behind_since) {
      gateway.plan.behind_since = this->local(gateway);
    }
    if (use == update_effect::extends) {
      for (const table_row& row : update.rows) {
        gateway.known.insert(std::stoull(row.key));
      }
    }
    if (use == update_effect::confirms || use == update_effect::extends) {
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

  simulation_options terms;
  seeded_random random;
  poll_terms questions;
  model_store store;
  std::vector<model_gateway> fleet;
  milliseconds now{0};
};

}  // namespace

class table_updates_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_updates_test);
  CPPUNIT_TEST(an_update_confirms_an_up_to_date_copy);
  CPPUNIT_TEST(rows_are_applied_only_without_a_gap);
  CPPUNIT_TEST(an_answer_older_than_the_copy_is_ignored);
  CPPUNIT_TEST(an_inconsistent_update_is_ignored);
  CPPUNIT_TEST(only_the_last_change_of_a_row_is_kept);
  CPPUNIT_TEST(no_incomplete_copy_is_confirmed);
  CPPUNIT_TEST(changes_reach_all_gateways_within_the_bound);
  CPPUNIT_TEST(the_poll_rate_does_not_grow_with_the_fleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_update_confirms_an_up_to_date_copy() {
    table_copy copy{true, 50, 40, 0};
    CPPUNIT_ASSERT(apply_update(copy, update(70, 45)) == update_effect::confirms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT(apply_update(copy, update(60, 45)) == update_effect::confirms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT(apply_update(copy, update(90, 80)) == update_effect::behind);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    table_copy unread;
    CPPUNIT_ASSERT(apply_update(unread, update(70, 0)) == update_effect::none);
  }

  void rows_are_applied_only_without_a_gap() {
    table_copy copy{true, 50, 40, 0};
    CPPUNIT_ASSERT(apply_update(copy, update(70, 65, 60)) == update_effect::behind);
    CPPUNIT_ASSERT(apply_update(copy, update(70, 65, 45)) == update_effect::extends);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{65}, copy.unchanged_since);
  }

  void an_answer_older_than_the_copy_is_ignored() {
    table_copy copy{true, 50, 40, 0};
    apply_update(copy, update(70, 65, 45));
    CPPUNIT_ASSERT(!apply_answer(copy, 60, 55));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, copy.version);
    CPPUNIT_ASSERT(apply_answer(copy, 80, std::nullopt));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{65}, copy.unchanged_since);
  }

  void only_the_last_change_of_a_row_is_kept() {
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

  void an_inconsistent_update_is_ignored() {
    table_copy copy{true, 50, 40, 0};
    CPPUNIT_ASSERT(apply_update(copy, update(60, 90, 10)) == update_effect::none);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, copy.version);
  }

  /// Messages are lost, delayed and reordered; gateways freeze and restart; the store is
  /// unavailable, loses answers and discards its history. A gateway must have received every
  /// change, such as the revocation of a key, from before its confirmation time.
  void no_incomplete_copy_is_confirmed() {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      copies_simulation play({}, seed);
      play.run(seconds{40});
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), 0, play.missed);
    }
  }

  /// If only messages are lost, the bound is the second after which a gateway polls the store
  /// itself, plus its random delay and the time of an answer.
  void changes_reach_all_gateways_within_the_bound() {
    for (const std::size_t gateways : {1, 2, 5, 29, 68}) {
      copies_simulation play({gateways, 0.05, 0.0, false, 0.4}, 7);
      play.run(seconds{20});
      CPPUNIT_ASSERT_EQUAL(0, play.missed);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways), play.slowest < milliseconds{1'400});
    }
  }

  /// 300 gateways may make 150 calls per second for three tables, which is 50 per table.
  void the_poll_rate_does_not_grow_with_the_fleet() {
    for (const std::size_t gateways : {5, 29, 68, 300}) {
      simulation_options quiet{gateways, 0.02, 0.0, false, 0.0};
      copies_simulation play(quiet, 5);
      play.run(seconds{30});
      const double a_second =
          (static_cast<double>(play.calls()) - static_cast<double>(gateways)) / 30.0;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(a_second), a_second < 50.0);
    }
  }

 private:
  static table_update update(std::uint64_t version, std::uint64_t unchanged_since,
                             std::optional<std::uint64_t> rows_after = std::nullopt) {
    table_update made{"t", version, unchanged_since, milliseconds{0}, rows_after.value_or(0), {}};
    if (rows_after) {
      made.rows.push_back({"changed", "value", false});
    }
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_updates_test);

}  // namespace chestnuthead::gateway
