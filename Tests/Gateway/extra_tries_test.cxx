#include "Gateway/extra_tries.h"

#include <cmath>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const request_kind chats{"chats", engine_pool};
constexpr double test_share = 0.05;

double in_milliseconds(std::chrono::duration<double> time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

/// Whole milliseconds from the start of the test.
double since_start(steady_time time) {
  return std::round(in_milliseconds(time - test_start));
}

}  // namespace

class extra_tries_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(extra_tries_test);
  CPPUNIT_TEST(few_samples_give_no_quantile);
  CPPUNIT_TEST(the_quantile_of_many_samples_is_accurate);
  CPPUNIT_TEST(the_quantile_follows_a_shift);
  CPPUNIT_TEST(extreme_times_are_counted);
  CPPUNIT_TEST(kinds_are_learned_separately);
  CPPUNIT_TEST(the_number_of_kinds_is_bounded);
  CPPUNIT_TEST(the_due_time_has_bounds);
  CPPUNIT_TEST(a_small_share_hedges_only_the_slowest);
  CPPUNIT_TEST(hedged_requests_stay_within_the_share);
  CPPUNIT_TEST(a_pause_saves_up_no_burst);
  CPPUNIT_TEST(a_burst_of_slow_requests_is_bounded);
  CPPUNIT_TEST(an_unsent_hedged_request_costs_no_token);
  CPPUNIT_TEST(half_of_the_resend_budget_is_kept);
  CPPUNIT_TEST(routes_without_a_second_execution_are_never_hedged);
  CPPUNIT_TEST(streams_are_hedged_only_before_their_first_event);
  CPPUNIT_TEST(a_pool_short_of_capacity_gets_no_hedged_requests);
  CPPUNIT_TEST(a_stopping_gateway_hedges_nothing);
  CPPUNIT_TEST(nothing_is_hedged_by_default);
  CPPUNIT_TEST(each_obstacle_has_a_name);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->tries = extra_tries{};
    this->tries.share = test_share;
    this->resends = resend_budget{};
    this->history = attempt_history{1, 1, false};
  }

  /// Guards against a hedge time that rests on one or two slow samples after a start.
  void few_samples_give_no_quantile() {
    wait_distribution waits;
    for (int sample = 0; sample < 19; ++sample) {
      add_wait(waits, milliseconds{50}, test_start);
      CPPUNIT_ASSERT(!wait_quantile(waits, 0.95));
    }
    add_wait(waits, milliseconds{50}, test_start);
    const auto usual = wait_quantile(waits, 0.95);
    CPPUNIT_ASSERT(usual);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, in_milliseconds(*usual), 10.0);
  }

  void the_quantile_of_many_samples_is_accurate() {
    wait_distribution waits;
    // 1 to 1,000 ms in a fixed order without trend.
    for (int sample = 0; sample < 1'000; ++sample) {
      add_wait(waits, milliseconds{1 + sample * 617 % 1'000}, test_start);
    }
    for (const double share : {0.5, 0.9, 0.95, 0.99}) {
      const auto found = wait_quantile(waits, share);
      CPPUNIT_ASSERT(found);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1'000.0 * share, in_milliseconds(*found), 200.0 * share);
    }
    CPPUNIT_ASSERT(waits.total <= max_wait_weight);
  }

  /// Guards against hedging half of the requests long after the usual time has grown, and against
  /// never hedging again after it has fallen.
  void the_quantile_follows_a_shift() {
    wait_distribution waits;
    const auto add = [&waits](int count, milliseconds wait) {
      for (int sample = 0; sample < count; ++sample) {
        add_wait(waits, wait, test_start);
      }
      return in_milliseconds(*wait_quantile(waits, 0.95));
    };
    CPPUNIT_ASSERT(add(1'000, milliseconds{50}) < 60.0);
    CPPUNIT_ASSERT(add(15, milliseconds{500}) > 400.0);
    CPPUNIT_ASSERT(add(1'000, milliseconds{500}) > 400.0);
    CPPUNIT_ASSERT(add(1'000, milliseconds{50}) < 60.0);
  }

  void extreme_times_are_counted() {
    wait_distribution waits;
    for (int sample = 0; sample < 20; ++sample) {
      add_wait(waits, seconds{0}, test_start);
    }
    CPPUNIT_ASSERT(*wait_quantile(waits, 0.95) <= milliseconds{1});
    for (int sample = 0; sample < 20; ++sample) {
      add_wait(waits, seconds{3'600}, test_start);
    }
    CPPUNIT_ASSERT(*wait_quantile(waits, 0.95) >= seconds{40});
  }

  void kinds_are_learned_separately() {
    const request_kind orders{"payments", plain_pool};
    const request_kind shared{"chats", plain_pool};
    this->learn(chats, 100, milliseconds{400});
    this->learn(orders, 100, milliseconds{40});
    const hedge_times times{test_start, test_start, milliseconds{0}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(400.0, since_start(*hedge_due(this->tries, chats, times)), 80.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40.0, since_start(*hedge_due(this->tries, orders, times)), 8.0);
    CPPUNIT_ASSERT(!hedge_due(this->tries, shared, times));
  }

  /// Guards against memory that grows with each route that was ever configured.
  void the_number_of_kinds_is_bounded() {
    for (std::size_t kind = 0; kind <= max_kinds; ++kind) {
      record_wait(this->tries, {std::to_string(kind), engine_pool}, milliseconds{50}, test_start);
    }
    CPPUNIT_ASSERT_EQUAL(max_kinds, this->tries.waits.size());
    const steady_time later = test_start + kind_lifetime + seconds{1};
    record_wait(this->tries, {"0", engine_pool}, milliseconds{50}, later);
    record_wait(this->tries, chats, milliseconds{50}, later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->tries.waits.size());
  }

  void the_due_time_has_bounds() {
    hedge_times times{test_start, test_start, milliseconds{0}};
    CPPUNIT_ASSERT(!hedge_due(this->tries, chats, times));
    times.latency_objective = milliseconds{600};
    // Nothing is learned yet.
    CPPUNIT_ASSERT_EQUAL(300.0, since_start(*hedge_due(this->tries, chats, times)));
    // The usual time is longer than half of the objective.
    this->learn(chats, 100, milliseconds{500});
    CPPUNIT_ASSERT_EQUAL(300.0, since_start(*hedge_due(this->tries, chats, times)));
    // The usual time is very short.
    this->learn(chats, 2'000, milliseconds{2});
    CPPUNIT_ASSERT_EQUAL(25.0, since_start(*hedge_due(this->tries, chats, times)));
    // Half of the objective had passed before the request was sent to this endpoint.
    this->learn(chats, 2'000, milliseconds{100});
    times.sent_at = test_start + milliseconds{310};
    CPPUNIT_ASSERT_EQUAL(335.0, since_start(*hedge_due(this->tries, chats, times)));
  }

  void a_small_share_hedges_only_the_slowest() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.95, hedge_quantile(0.05), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.98, hedge_quantile(0.02), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.99, hedge_quantile(0.001), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.90, hedge_quantile(1.0), 1e-9);
  }

  /// Worst case: a hedged request is due for every request.
  void hedged_requests_stay_within_the_share() {
    int requests = 0;
    int hedged = 0;
    for (int number = 0; number < 10'000; ++number) {
      const steady_time now = test_start + milliseconds{5 * number};
      this->arrive(now);
      ++requests;
      hedged += this->hedge(now) ? 1 : 0;
      CPPUNIT_ASSERT(hedged <= test_share * requests);
    }
    CPPUNIT_ASSERT(hedged > 0.9 * test_share * requests);
  }

  void a_pause_saves_up_no_burst() {
    for (int number = 0; number < 10'000; ++number) {
      this->arrive(test_start + milliseconds{5 * number});
    }
    const steady_time later = test_start + std::chrono::hours{1};
    this->give_resends(later);
    int hedged = 0;
    while (this->hedge(later)) {
      ++hedged;
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(max_hedge_tokens), hedged);
  }

  void a_burst_of_slow_requests_is_bounded() {
    for (int number = 0; number < 10'000; ++number) {
      this->arrive(test_start + milliseconds{5 * number});
    }
    const steady_time now = test_start + seconds{50};
    int hedged = 0;
    for (int number = 0; number < 1'000; ++number) {
      this->arrive(now);
      hedged += this->hedge(now) ? 1 : 0;
    }
    CPPUNIT_ASSERT(hedged <= max_hedge_tokens + test_share * 1'000);
  }

  void an_unsent_hedged_request_costs_no_token() {
    this->arrive_many();
    const double before = this->tries.tokens[engine_pool];
    count_hedge(this->tries, engine_pool);
    return_hedge(this->tries, engine_pool);
    CPPUNIT_ASSERT_EQUAL(before, this->tries.tokens[engine_pool]);
  }

  /// Guards against slow answers that use up the resends which failed requests need.
  void half_of_the_resend_budget_is_kept() {
    this->tries.share = 1.0;
    this->arrive_many();
    const steady_time now = test_start;
    const double granted = resends_granted(this->resends, this->terms, 1, now);
    int hedged = 0;
    while (this->hedge(now)) {
      this->tries.tokens[engine_pool] = max_hedge_tokens;
      ++hedged;
    }
    CPPUNIT_ASSERT(hedged > 0);
    CPPUNIT_ASSERT(this->obstacle(chat_route(), now) == hedge_obstacle::budget_low);
    CPPUNIT_ASSERT(resends_left(this->resends, this->terms, 1, now) >= granted / 2);
    CPPUNIT_ASSERT(resend_allowed(this->resends, this->terms, 1, now));
  }

  void routes_without_a_second_execution_are_never_hedged() {
    this->arrive_many();
    route way = chat_route();
    CPPUNIT_ASSERT(may_be_hedged(way));
    CPPUNIT_ASSERT(this->obstacle(way, test_start) == hedge_obstacle::none);
    way.max_attempts = 1;
    CPPUNIT_ASSERT(!may_be_hedged(way));
    CPPUNIT_ASSERT(this->obstacle(way, test_start) == hedge_obstacle::executions_used);
    way.max_attempts = 3;
    way.executions = execution_limit::at_most_once;
    CPPUNIT_ASSERT(!may_be_hedged(way));
    CPPUNIT_ASSERT(this->obstacle(way, test_start) == hedge_obstacle::not_repeatable);
    // Neither does a rejected first attempt allow a second one beside another.
    this->history = attempt_history{2, 0, false};
    CPPUNIT_ASSERT(this->obstacle(way, test_start) == hedge_obstacle::not_repeatable);
    // All executions and all sends of a repeatable route are used.
    this->history = attempt_history{2, 2, false};
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::executions_used);
    this->history = attempt_history{4, 1, false};
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::sends_used);
  }

  void streams_are_hedged_only_before_their_first_event() {
    this->arrive_many();
    this->history.answer_begun = true;
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::answer_begun);
    this->history.answer_begun = false;
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::none);
    this->is_resumption = true;
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::resumption);
    this->is_resumption = false;
  }

  void a_pool_short_of_capacity_gets_no_hedged_requests() {
    this->arrive_many();
    this->pool_short = true;
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::pool_short);
    this->pool_short = false;
  }

  void a_stopping_gateway_hedges_nothing() {
    this->arrive_many();
    this->stopping = true;
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::stopping);
    this->stopping = false;
  }

  void nothing_is_hedged_by_default() {
    this->tries = extra_tries{};
    this->arrive_many();
    this->learn(chats, 100, milliseconds{50});
    CPPUNIT_ASSERT(this->tries.tokens.empty());
    CPPUNIT_ASSERT(this->tries.waits.empty());
    CPPUNIT_ASSERT(this->obstacle(chat_route(), test_start) == hedge_obstacle::switched_off);
  }

  /// Guards against two obstacles that share one metric.
  void each_obstacle_has_a_name() {
    std::set<std::string_view> names;
    const auto last = static_cast<int>(hedge_obstacle::no_endpoint);
    for (int obstacle = 0; obstacle <= last; ++obstacle) {
      names.insert(name_of(static_cast<hedge_obstacle>(obstacle)));
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(last) + 1, names.size());
    CPPUNIT_ASSERT(!names.contains("unknown"));
  }

 private:
  void learn(const request_kind& kind, int count, milliseconds wait) {
    for (int sample = 0; sample < count; ++sample) {
      record_wait(this->tries, kind, wait, test_start);
    }
  }

  /// Counts a request of the pool that may be repeated.
  void arrive(steady_time now) {
    count_request(this->resends, this->terms, now);
    count_repeatable(this->tries, engine_pool);
  }

  void arrive_many() {
    for (int number = 0; number < 200; ++number) {
      this->arrive(test_start);
    }
  }

  /// Counts enough requests for the resend budget to be no obstacle, without adding tokens.
  void give_resends(steady_time now) {
    for (int number = 0; number < 1'000; ++number) {
      count_request(this->resends, this->terms, now);
    }
  }

  [[nodiscard]] hedge_obstacle obstacle(const route& way, steady_time now) const {
    const hedge_candidate candidate{
        way, engine_pool, this->history, this->is_resumption, this->stopping, this->pool_short};
    return obstacle_to_hedge(this->tries, candidate, {this->resends, this->terms, 1}, now);
  }

  /// Sends a hedged request if that is allowed.
  bool hedge(steady_time now) {
    if (this->obstacle(chat_route(), now) != hedge_obstacle::none) {
      return false;
    }
    count_hedge(this->tries, engine_pool);
    count_resend(this->resends, this->terms, now);
    return true;
  }

  extra_tries tries;
  resend_terms terms;
  resend_budget resends;
  attempt_history history;
  bool is_resumption = false;
  bool stopping = false;
  bool pool_short = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(extra_tries_test);

}  // namespace chestnuthead::gateway
