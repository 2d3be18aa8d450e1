#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "Router/router_fixture.h"

namespace chestnuthead {

using std::chrono::milliseconds;

class request_flow_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_flow_test);
  CPPUNIT_TEST(a_whole_answer_finishes_the_request);
  CPPUNIT_TEST(facts_are_checked_before_any_attempt);
  CPPUNIT_TEST(refusals_follow_the_preference_order_and_report_the_shortest_wait);
  CPPUNIT_TEST(the_last_attempt_goes_to_an_agent_with_reported_capacity);
  CPPUNIT_TEST(events_of_former_attempts_are_dropped);
  CPPUNIT_TEST(an_unresponsive_agent_is_replaced_by_another);
  CPPUNIT_TEST(the_deadline_is_passed_on_and_ends_the_request);
  CPPUNIT_TEST(a_restarted_deadline_breaks_the_invariant);
  CPPUNIT_TEST(retries_stay_within_the_budget);
  CPPUNIT_TEST(a_cut_answer_is_resumed_or_cut);
  CPPUNIT_TEST(a_crashing_request_is_refused_before_any_attempt);
  CPPUNIT_TEST(a_request_that_fails_on_two_endpoints_goes_no_further);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_whole_answer_finishes_the_request() {
    router_fixture router(6);
    const auto sent = last_of<send_attempt>(router.send_request("r1"));
    router.accept(sent);
    const auto actions = router.end(sent, attempt_outcome::complete, 10);

    CPPUNIT_ASSERT_EQUAL(std::string("r1"), last_of<finish_answer>(actions).request.value);
    CPPUNIT_ASSERT_EQUAL(0U, summarise(*router.state).requests_in_flight);
  }

  void facts_are_checked_before_any_attempt() {
    router_fixture router(6);
    request_arrived event;
    event.facts.request = {"r1"};
    event.facts.customer = {"nobody"};
    event.facts.pool = {"nothing"};
    check_refusal(router, event, error_kind::unknown_customer);
    event.facts.customer = {"school"};
    check_refusal(router, event, error_kind::unknown_pool);
    event.facts.pool = {"model"};
    event.body_bytes = 2'000'000;
    check_refusal(router, event, error_kind::body_too_large);

    seeded_random random(1);
    const auto fresh = make_router_state({{"router-2"}, {"d0"}, {"region"}}, random);
    const auto actions = step(*fresh, event, router.now);
    CPPUNIT_ASSERT(error_kind::not_ready == last_of<answer_error>(actions).kind);
  }

  void refusals_follow_the_preference_order_and_report_the_shortest_wait() {
    router_fixture router(4);
    auto actions = router.send_request("r1");
    for (const int wait : {700, 300, 500}) {
      actions =
          router.refuse(last_of<send_attempt>(actions), refusal_kind::full, milliseconds{wait});
    }
    // Each attempt carries the loads of the agents that refused before.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, last_of<send_attempt>(actions).terms.refused_loads.size());
    actions = router.refuse(last_of<send_attempt>(actions), refusal_kind::full, milliseconds{20});
    const auto answer = last_of<answer_error>(actions);
    CPPUNIT_ASSERT(error_kind::overloaded == answer.kind);
    CPPUNIT_ASSERT(run_state::not_run == answer.ran);
    CPPUNIT_ASSERT_EQUAL(milliseconds{100}.count(), answer.retry_after.count());
  }

  void the_last_attempt_goes_to_an_agent_with_reported_capacity() {
    router_fixture router(12);
    // Populates the load reports.
    for (int number = 0; number < 40; ++number) {
      const auto sent = last_of<send_attempt>(router.send_request("a" + std::to_string(number)));
      router.accept(sent);
    }
    auto actions = router.send_request("r1");
    std::set<node_id> attempted_agents;
    while (all_of<answer_error>(actions).empty()) {
      const auto sent = last_of<send_attempt>(actions);
      CPPUNIT_ASSERT(attempted_agents.insert(sent.agent).second);
      actions = router.refuse(sent, refusal_kind::above_mean);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{router.document.policy.attempt_limit + 1},
                         attempted_agents.size());
    CPPUNIT_ASSERT(broken_invariants(router.log).empty());
  }

  void events_of_former_attempts_are_dropped() {
    router_fixture router(4);
    const auto first = last_of<send_attempt>(router.send_request("r1"));
    const auto second = last_of<send_attempt>(router.end(first, attempt_outcome::lost));
    CPPUNIT_ASSERT(router.end(first, attempt_outcome::complete).empty());
    CPPUNIT_ASSERT(router.refuse(first, refusal_kind::full).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, router.state->requests.events_dropped);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        all_of<finish_answer>(router.end(second, attempt_outcome::complete)).size());
  }

  void an_unresponsive_agent_is_replaced_by_another() {
    router_fixture router(4);
    const auto first = last_of<send_attempt>(router.send_request("r1"));
    const auto actions = router.advance_clock(milliseconds{1'000});
    CPPUNIT_ASSERT(last_of<cancel_attempt>(actions).attempt == first.attempt);
    CPPUNIT_ASSERT(last_of<send_attempt>(actions).agent != first.agent);
  }

  void the_deadline_is_passed_on_and_ends_the_request() {
    router_fixture router(4);
    router.document.pools[0].default_deadline = milliseconds{1'000};
    router.configure();
    const auto first = last_of<send_attempt>(router.send_request("r1"));
    router.accept(first);
    router.advance_clock(milliseconds{400});
    const auto second = last_of<send_attempt>(router.end(first, attempt_outcome::lost));
    CPPUNIT_ASSERT_EQUAL(milliseconds{600}.count(), second.time_left.count());
    CPPUNIT_ASSERT_EQUAL(1U, second.terms.earlier_attempts);
    router.accept(second);
    const auto actions = router.advance_clock(milliseconds{600});
    CPPUNIT_ASSERT(last_of<cancel_attempt>(actions).attempt == second.attempt);
    CPPUNIT_ASSERT(error_kind::deadline_exceeded == last_of<answer_error>(actions).kind);
    CPPUNIT_ASSERT(run_state::unknown == last_of<answer_error>(actions).ran);
  }

  void a_restarted_deadline_breaks_the_invariant() {
    router_fixture router(4);
    router.state->switches.keep_deadline = false;
    const auto first = last_of<send_attempt>(router.send_request("r1"));
    router.advance_clock(milliseconds{400});
    router.end(first, attempt_outcome::lost);
    CPPUNIT_ASSERT(broken_invariants(router.log).contains("attempt_past_deadline"));
  }

  void retries_stay_within_the_budget() {
    // The budget allows a burst of 100 and a tenth of 300 requests. Without it
    // each request is retried up to the attempt limit.
    CPPUNIT_ASSERT(retries_when_all_is_lost(true) <= 130);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'500}, retries_when_all_is_lost(false));
  }

  void a_cut_answer_is_resumed_or_cut() {
    router_fixture router(4);
    const auto first = last_of<send_attempt>(router.send_request("r1"));
    router.accept(first);
    const auto second = last_of<send_attempt>(router.end(first, attempt_outcome::lost, 12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, second.terms.resume_offset);
    router.accept(second);
    const auto actions = router.end(second, attempt_outcome::endpoint_failed, 12);
    CPPUNIT_ASSERT(all_of<send_attempt>(actions).empty());
    CPPUNIT_ASSERT(error_kind::answer_incomplete == last_of<cut_answer>(actions).kind);
    CPPUNIT_ASSERT(run_state::ran == last_of<cut_answer>(actions).ran);
  }

  void a_crashing_request_is_refused_before_any_attempt() {
    for (const bool refused : {true, false}) {
      router_fixture router(4);
      router.state->switches.refuse_after_crashes = refused;
      gossip_message message;
      message.from = {"model-0"};
      for (const std::string agent : {"model-0", "model-1"}) {
        message.rumors.push_back({rumor_kind::request_crashed, {agent}, 1, "7", agent, {}});
      }
      router.handle_event(router_gossip_received{message});
      const auto actions = router.send_request("r1");
      CPPUNIT_ASSERT_EQUAL(refused, all_of<send_attempt>(actions).empty());
      if (refused) {
        const auto answer = last_of<answer_error>(actions);
        CPPUNIT_ASSERT(error_kind::request_refused_after_crashes == answer.kind);
        CPPUNIT_ASSERT(run_state::not_run == answer.ran);
      }
    }
  }

  void a_request_that_fails_on_two_endpoints_goes_no_further() {
    router_fixture router(6);
    const auto first = last_of<send_attempt>(router.send_request("r1"));
    const auto second = last_of<send_attempt>(router.end(first, attempt_outcome::endpoint_failed));
    const auto actions = router.end(second, attempt_outcome::endpoint_failed);
    CPPUNIT_ASSERT(all_of<send_attempt>(actions).empty());
    CPPUNIT_ASSERT(error_kind::endpoint_failed == last_of<answer_error>(actions).kind);
  }

 private:
  static void check_refusal(router_fixture& router, const request_arrived& event,
                            error_kind expected) {
    const auto actions = router.handle_event(event);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(expected == last_of<answer_error>(actions).kind);
    CPPUNIT_ASSERT(run_state::not_run == last_of<answer_error>(actions).ran);
  }

  // Sends 300 requests whose attempts are all lost.
  static std::size_t retries_when_all_is_lost(bool limited) {
    router_fixture router(12);
    router.state->switches.limit_retries = limited;
    constexpr std::size_t requests = 300;
    for (std::size_t number = 0; number < requests; ++number) {
      auto actions = router.send_request("r" + std::to_string(number));
      while (all_of<answer_error>(actions).empty()) {
        actions = router.end(last_of<send_attempt>(actions), attempt_outcome::lost);
      }
    }
    const bool overdrawn = broken_invariants(router.advance_clock(milliseconds{50}))
                               .contains("retry_budget_overdrawn");
    CPPUNIT_ASSERT_EQUAL(!limited, overdrawn);
    return all_of<send_attempt>(router.log).size() - requests;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_flow_test);

}  // namespace chestnuthead
