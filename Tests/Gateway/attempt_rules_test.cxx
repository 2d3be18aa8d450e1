#include "Gateway/attempt_rules.h"

#include <algorithm>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

class attempt_rules_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_rules_test);
  CPPUNIT_TEST(at_most_once_requests_that_may_have_run_are_not_resent);
  CPPUNIT_TEST(only_requests_that_have_not_run_are_refused);
  CPPUNIT_TEST(a_partial_answer_is_cut_or_continued);
  CPPUNIT_TEST(no_request_runs_more_often_than_its_route_allows);
  CPPUNIT_TEST(resends_after_rejections_are_limited);
  CPPUNIT_TEST(all_gateways_together_stay_within_the_budget);
  CPPUNIT_TEST(resends_of_two_seconds_a_window_apart_stay_within_the_budget);
  CPPUNIT_TEST(resends_leave_the_window);
  CPPUNIT_TEST(plain_calls_are_resent_before_the_caller_times_out);
  CPPUNIT_TEST_SUITE_END();

 public:
  void at_most_once_requests_that_may_have_run_are_not_resent() {
    for_all([](const route& way, const attempt_history& history, attempt_end end, bool budget) {
      if (way.executions == execution_limit::at_most_once && history.executions > 0) {
        CPPUNIT_ASSERT(step_after(way, history, end, budget) != next_step::try_another);
      }
    });
  }

  void only_requests_that_have_not_run_are_refused() {
    for_all([](const route& way, const attempt_history& history, attempt_end end, bool budget) {
      if (step_after(way, history, end, budget) == next_step::refuse) {
        CPPUNIT_ASSERT_EQUAL(0U, history.executions);
        CPPUNIT_ASSERT(!history.answer_begun);
      }
    });
  }

  void a_partial_answer_is_cut_or_continued() {
    for_all([](const route& way, const attempt_history& history, attempt_end end, bool budget) {
      if (history.answer_begun) {
        const next_step step = step_after(way, history, end, budget);
        CPPUNIT_ASSERT(step == next_step::cut || (step == next_step::try_another && way.resumable));
      }
    });
  }

  void no_request_runs_more_often_than_its_route_allows() {
    for_all([](const route& way, const attempt_history& history, attempt_end end, bool budget) {
      if (step_after(way, history, end, budget) == next_step::try_another) {
        CPPUNIT_ASSERT(history.executions < way.max_attempts);
      }
    });
  }

  void resends_after_rejections_are_limited() {
    attempt_history history;
    int sends = 0;
    do {
      ++history.sends;
      ++sends;
    } while (step_after(payment_route(), history, attempt_end::not_executed, true) ==
             next_step::try_another);
    CPPUNIT_ASSERT_EQUAL(1 + static_cast<int>(sends_for_rejections), sends);
  }

  /// Worst case: every gateway tries to resend each of its requests.
  void all_gateways_together_stay_within_the_budget() {
    const resend_terms terms{0.2, 58.0, std::chrono::seconds{10}};
    for (const std::uint32_t gateways : {1U, 5U, 29U}) {
      std::vector<resend_budget> budgets(gateways);
      int requests = 0;
      int resends = 0;
      for (int number = 0; number < 3'000; ++number) {
        const steady_time now = test_start + milliseconds{number * 3};
        resend_budget& budget = budgets[static_cast<std::size_t>(number) % gateways];
        count_request(budget, terms, now);
        ++requests;
        if (resend_allowed(budget, terms, gateways, now)) {
          count_resend(budget, terms, now);
          ++resends;
        }
      }
      CPPUNIT_ASSERT(resends > 0);
      CPPUNIT_ASSERT(resends <= 0.2 * requests + 58.0);
    }
  }

  /// Guards against a window that is shorter than the rule's: the allowance was used twice in it.
  void resends_of_two_seconds_a_window_apart_stay_within_the_budget() {
    const resend_terms terms{0.2, 176.0, std::chrono::seconds{10}};
    for (const std::uint32_t gateways : {1U, 3U, 68U, 350U}) {
      std::vector<resend_budget> budgets(gateways);
      std::vector<steady_time> requests;
      std::vector<steady_time> resends;
      for (int number = 0; number < 600; ++number) {
        const steady_time now = test_start + milliseconds{950 + number * 50};
        count_request(budgets[static_cast<std::size_t>(number) % gateways], terms, now);
        requests.push_back(now);
        for (resend_budget& budget : budgets) {
          while (resend_allowed(budget, terms, gateways, now)) {
            count_resend(budget, terms, now);
            resends.push_back(now);
          }
        }
        const auto within = [now, &terms](const std::vector<steady_time>& times) {
          const auto first = std::upper_bound(times.begin(), times.end(), now - terms.window);
          return static_cast<double>(times.end() - first);
        };
        CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " gateways made " +
                                   std::to_string(within(resends)) + " resends, " +
                                   std::to_string(within(requests)) + " requests",
                               within(resends) <= 0.2 * within(requests) + 176.0);
      }
    }
  }

  void resends_leave_the_window() {
    const resend_terms terms{0.0, 10.0, std::chrono::seconds{10}};
    resend_budget budget;
    steady_time now = test_start;
    while (resend_allowed(budget, terms, 1, now)) {
      count_resend(budget, terms, now);
    }
    CPPUNIT_ASSERT(!resend_allowed(budget, terms, 1, now + std::chrono::seconds{9}));
    CPPUNIT_ASSERT(resend_allowed(budget, terms, 1, now + std::chrono::seconds{11}));
  }

  void plain_calls_are_resent_before_the_caller_times_out() {
    route look;
    look.latency_objective = std::chrono::milliseconds{150};
    // A caller that waits 1 s has time for a second endpoint.
    CPPUNIT_ASSERT(silence_limit(look, false, false) <= std::chrono::milliseconds{300});
    look.latency_objective = std::chrono::milliseconds{300};
    CPPUNIT_ASSERT(silence_limit(look, false, false) == look.latency_objective);
    // A prompt that is resent is processed twice.
    CPPUNIT_ASSERT(silence_limit(look, true, false) >= std::chrono::milliseconds{1'000});
    look.pause_objective = std::chrono::milliseconds{400};
    CPPUNIT_ASSERT(silence_limit(look, true, true) == std::chrono::milliseconds{1'600});
  }

 private:
  static next_step step_after(const route& way, const attempt_history& history, attempt_end end,
                              bool budget) {
    return after_attempt(obstacle_to_resend(way, history, budget), history, end);
  }

  /// Calls `check` for every combination of inputs that the rules distinguish.
  template <class Check>
  static void for_all(Check check) {
    route stream_once = chat_route();
    stream_once.resumable = false;
    stream_once.executions = execution_limit::at_most_once;
    route lookup = payment_route();
    lookup.executions = execution_limit::idempotent;
    lookup.max_attempts = 3;
    for (const route& way : {chat_route(), payment_route(), stream_once, lookup}) {
      for (std::uint32_t sends = 1; sends < 6; ++sends) {
        for (std::uint32_t executions = 0; executions <= sends; ++executions) {
          for (const bool begun : {false, true}) {
            for (const bool budget : {false, true}) {
              for (const auto end :
                   {attempt_end::not_executed, attempt_end::error_answer, attempt_end::unknown}) {
                // An answer can only have begun if an endpoint executed the request.
                if (!begun || executions > 0) {
                  check(way, attempt_history{sends, executions, begun}, end, budget);
                }
              }
            }
          }
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_rules_test);

}  // namespace chestnuthead::gateway
