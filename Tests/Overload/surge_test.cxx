#include <algorithm>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Overload/surge_simulation.h"

/// Traffic surges against small simulated pools. The thresholds are those of
/// docs/design/hard-load.md, "Requirements".
namespace chestnuthead::overload {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests per second that the engines and the plain endpoints of the options complete.
constexpr double engine_capacity = 160.0;
constexpr double plain_capacity = 480.0;

/// Three kinds of request at a quarter of the capacity, which grow to `times` the capacity.
std::vector<traffic_kind> kinds_at(double capacity, double times) {
  const double usual = capacity / 4.0;
  return {{0, "a", 0.4 * usual, 4.0 * times},
          {1, "b", 0.4 * usual, 4.0 * times},
          {2, "c", 0.2 * usual, 4.0 * times}};
}

surge_options engines_at(double times) {
  surge_options options;
  options.kinds = kinds_at(engine_capacity, times);
  return options;
}

surge_options plain_at(double times) {
  surge_options options;
  options.are_engines = false;
  options.endpoints = 3;
  options.slots = 6;
  options.queue = 24;
  options.min_work = milliseconds{15};
  options.max_work = milliseconds{60};
  options.objective = milliseconds{150};
  options.kinds = kinds_at(plain_capacity, times);
  return options;
}

/// One customer of six at 25 times its usual traffic, after some usual traffic.
surge_options one_customer_at_25() {
  surge_options options;
  options.endpoints = 40;
  options.surge_from = seconds{10};
  options.surge_until = seconds{18};
  options.end = seconds{22};
  for (int customer = 0; customer < 6; ++customer) {
    options.kinds.push_back(
        {customer % 3, "customer-" + std::to_string(customer), 100.0, customer == 5 ? 25.0 : 1.0});
  }
  return options;
}

std::vector<surge_result> runs_of(surge_options (*options_at)(double)) {
  std::vector<surge_result> results;
  for (const double times : {1.0, 2.0, 3.0, 5.0, 7.0, 9.0, 12.0, 16.0}) {
    results.push_back(run_surge(options_at(times)));
  }
  return results;
}

void check_served_at_all_factors(const std::vector<surge_result>& results) {
  double best = 0.0;
  for (const surge_result& result : results) {
    best = std::max(best, result.surge.in_time);
  }
  for (const surge_result& result : results) {
    CPPUNIT_ASSERT_GREATEREQUAL(0.9 * best, result.surge.in_time);
  }
}

void check_order(const std::vector<traffic_result>& kinds) {
  constexpr double tolerance = 0.02;
  double best = 0.0;
  for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
    best = std::max(best, kinds[kind].share());
    if (kind > 0) {
      CPPUNIT_ASSERT_GREATEREQUAL(kinds[kind].share() - tolerance, kinds[kind - 1].share());
    }
  }
  for (const traffic_result& kind : kinds) {
    CPPUNIT_ASSERT_GREATEREQUAL(best / 4.0, kind.share());
  }
}

}  // namespace

class surge_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(surge_test);
  CPPUNIT_TEST(engines_serve_as_much_at_any_surge_factor);
  CPPUNIT_TEST(plain_endpoints_serve_as_much_at_any_surge_factor);
  CPPUNIT_TEST(usual_traffic_is_served_as_without_control);
  CPPUNIT_TEST(more_urgent_kinds_are_served_more_often);
  CPPUNIT_TEST(refused_requests_have_waited_for_an_eighth_at_most);
  CPPUNIT_TEST(all_requests_are_served_again_a_second_after_a_surge);
  CPPUNIT_TEST(a_customer_at_25_times_its_traffic_is_not_starved);
  CPPUNIT_TEST(others_are_served_as_usual_while_a_customer_surges);
  CPPUNIT_TEST(silent_endpoints_leave_the_order_of_kinds_intact);
  CPPUNIT_TEST(one_slow_endpoint_does_not_limit_the_pool);
  CPPUNIT_TEST(uneven_callers_do_not_reduce_what_is_served);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a collapse when every endpoint's queue fills up.
  void engines_serve_as_much_at_any_surge_factor() {
    check_served_at_all_factors(runs_of(engines_at));
  }

  void plain_endpoints_serve_as_much_at_any_surge_factor() {
    check_served_at_all_factors(runs_of(plain_at));
  }

  /// Guards against refusals while the pool has room.
  void usual_traffic_is_served_as_without_control() {
    for (const surge_result& result : {run_surge(engines_at(0.5)), run_surge(plain_at(0.4))}) {
      CPPUNIT_ASSERT_EQUAL(0.0, result.surge.refused);
      CPPUNIT_ASSERT_EQUAL(0.0, result.surge.late);
    }
  }

  /// Guards against an order by arrival, and against starvation of the least urgent.
  void more_urgent_kinds_are_served_more_often() {
    for (const double times : {2.0, 3.0, 7.0, 12.0}) {
      check_order(run_surge(engines_at(times)).kinds);
      check_order(run_surge(plain_at(times)).kinds);
    }
  }

  /// Guards against requests that are held until they can no longer be served elsewhere.
  void refused_requests_have_waited_for_an_eighth_at_most() {
    for (const surge_result& result : {run_surge(engines_at(5.0)), run_surge(plain_at(5.0))}) {
      CPPUNIT_ASSERT(result.longest_wait_share <= 0.125);
    }
  }

  /// Guards against limits, counts and full queues that outlast the surge.
  void all_requests_are_served_again_a_second_after_a_surge() {
    constexpr double recovered = 0.97;
    for (const double times : {3.0, 9.0, 16.0}) {
      CPPUNIT_ASSERT_GREATEREQUAL(recovered, run_surge(engines_at(times)).after.share());
      CPPUNIT_ASSERT_GREATEREQUAL(recovered, run_surge(plain_at(times)).after.share());
    }
  }

  /// Guards against a customer whose surge takes the room of all others, and against one that
  /// gets nothing because of its surge.
  void a_customer_at_25_times_its_traffic_is_not_starved() {
    const surge_result result = run_surge(one_customer_at_25());
    for (std::size_t other = 0; other < 5; ++other) {
      CPPUNIT_ASSERT_GREATER(2.0 * result.kinds[5].share(), result.kinds[other].share());
      CPPUNIT_ASSERT_GREATEREQUAL(result.kinds[other].share() / 4.0, result.kinds[5].share());
    }
  }

  /// Guards against a surge of one customer that is paid for by the others.
  void others_are_served_as_usual_while_a_customer_surges() {
    constexpr double as_usual = 0.95;
    const surge_result result = run_surge(one_customer_at_25());
    for (std::size_t other = 0; other < 5; ++other) {
      CPPUNIT_ASSERT_GREATEREQUAL(as_usual * result.before[other].share(),
                                  result.kinds[other].share());
    }
  }

  /// Guards against an overload of the endpoints that are left.
  void silent_endpoints_leave_the_order_of_kinds_intact() {
    surge_options options = engines_at(2.5);
    options.endpoints = 8;
    options.silent = 4;
    const surge_result result = run_surge(options);
    check_order(result.kinds);
    CPPUNIT_ASSERT_GREATEREQUAL(0.9 * engine_capacity * result.seconds, result.surge.in_time);
  }

  /// Guards against a limit that follows from one endpoint's slow answers.
  void one_slow_endpoint_does_not_limit_the_pool() {
    surge_options options = engines_at(0.25);
    options.endpoints = 8;
    options.first_endpoint_slowdown = 8.0;
    const surge_result result = run_surge(options);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.limited_gateways);
    CPPUNIT_ASSERT_EQUAL(0.0, result.surge.refused);
  }

  /// Guards against equal shares of the gateways where the callers are not spread evenly.
  void uneven_callers_do_not_reduce_what_is_served() {
    surge_options options = engines_at(3.0);
    options.first_gateway_weight = 10.0;
    const surge_result result = run_surge(options);
    CPPUNIT_ASSERT_GREATEREQUAL(0.9 * engine_capacity * result.seconds, result.surge.in_time);
    check_order(result.kinds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(surge_test);

}  // namespace chestnuthead::overload
