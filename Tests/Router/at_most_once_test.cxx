#include <cppunit/extensions/HelperMacros.h>

#include "Router/payment_simulation.h"
#include "Router/router_fixture.h"
#include "Router/run_length.h"

namespace chestnuthead {

using std::chrono::milliseconds;

class at_most_once_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(at_most_once_test);
  CPPUNIT_TEST(refused_everywhere_is_not_run_without_asking_the_table);
  CPPUNIT_TEST(an_unresolved_attempt_is_sealed_before_the_answer);
  CPPUNIT_TEST(a_table_that_is_down_leaves_the_outcome_unknown);
  CPPUNIT_TEST(a_call_that_ran_gets_its_stored_answer_fetched);
  CPPUNIT_TEST(a_key_in_progress_is_retried);
  CPPUNIT_TEST(an_unreachable_ledger_ends_the_call_as_not_run);
  CPPUNIT_TEST(a_call_without_a_key_gets_one);
  CPPUNIT_TEST(random_faults_never_run_a_key_twice_nor_report_not_run_falsely);
  CPPUNIT_TEST(without_the_seal_not_run_is_reported_falsely);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refused_everywhere_is_not_run_without_asking_the_table() {
    router_fixture router(0);
    auto actions = router.send_payment("r1", "k1");
    const std::uint64_t writes = router.table.writes();
    while (all_of<answer_error>(actions).empty()) {
      actions = router.refuse(last_of<send_attempt>(actions), refusal_kind::full);
    }
    CPPUNIT_ASSERT(run_state::not_run == last_of<answer_error>(actions).ran);
    CPPUNIT_ASSERT_EQUAL(writes, router.table.writes());
  }

  void an_unresolved_attempt_is_sealed_before_the_answer() {
    router_fixture router(0);
    const auto actions = lose_all(router);
    CPPUNIT_ASSERT(error_kind::retries_exhausted == last_of<answer_error>(actions).kind);
    CPPUNIT_ASSERT(run_state::not_run == last_of<answer_error>(actions).ran);
    // A claim that arrives late is refused because of the seal.
    CPPUNIT_ASSERT(claim_in(router.table, "r1", "late").index() == refused_index);
  }

  void a_table_that_is_down_leaves_the_outcome_unknown() {
    router_fixture router(0);
    router.table_down = true;
    lose_all(router);
    const auto answer = last_of<answer_error>(router.advance_clock(milliseconds{600}));
    CPPUNIT_ASSERT(error_kind::outcome_unknown == answer.kind);
    CPPUNIT_ASSERT(run_state::unknown == answer.ran);
  }

  void a_call_that_ran_gets_its_stored_answer_fetched() {
    router_fixture router(0);
    run_in(router.table, "r1");
    auto actions = lose_all(router);
    const auto fetch = last_of<send_attempt>(actions);
    CPPUNIT_ASSERT(all_of<answer_error>(actions).empty());
    actions = router.end(fetch, attempt_outcome::complete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of<finish_answer>(actions).size());

    router_fixture other(0);
    run_in(other.table, "r1");
    actions = other.end(last_of<send_attempt>(lose_all(other)), attempt_outcome::lost);
    CPPUNIT_ASSERT(run_state::ran == last_of<answer_error>(actions).ran);
  }

  void a_key_in_progress_is_retried() {
    router_fixture router(0);
    auto actions = router.send_payment("r1", "k1");
    for (int round = 0; round < 20; ++round) {
      actions = router.refuse(last_of<send_attempt>(actions), refusal_kind::key_in_progress);
      CPPUNIT_ASSERT(all_of<send_attempt>(actions).empty());
      actions = router.advance_clock(milliseconds{1'000});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of<send_attempt>(actions).size());
    CPPUNIT_ASSERT(broken_invariants(router.log).empty());
  }

  void an_unreachable_ledger_ends_the_call_as_not_run() {
    router_fixture router(0);
    auto actions = router.send_payment("r1", "k1");
    actions = router.refuse(last_of<send_attempt>(actions), refusal_kind::ledger_unavailable);
    actions = router.refuse(last_of<send_attempt>(actions), refusal_kind::ledger_unavailable);
    CPPUNIT_ASSERT(error_kind::ledger_unavailable == last_of<answer_error>(actions).kind);
    CPPUNIT_ASSERT(run_state::not_run == last_of<answer_error>(actions).ran);
  }

  void a_call_without_a_key_gets_one() {
    router_fixture router(0);
    const auto first = last_of<send_attempt>(router.send_payment("r1", ""));
    const auto second = last_of<send_attempt>(router.send_payment("r2", ""));
    CPPUNIT_ASSERT(!first.facts.key.empty());
    CPPUNIT_ASSERT(first.facts.key != second.facts.key);
    CPPUNIT_ASSERT(first.facts.rule == execution_rule::at_most_once);
  }

  void random_faults_never_run_a_key_twice_nor_report_not_run_falsely() {
    int not_run = 0;
    int unknown = 0;
    int finished = 0;
    for (int seed = 1; seed <= run_length(40); ++seed) {
      payment_simulation simulation(seed);
      simulation.run_calls(60);
      for (const std::string& fault : simulation.faults()) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + fault);
      }
      not_run += simulation.not_run_reports;
      unknown += simulation.unknown_reports;
      finished += simulation.finished;
    }
    // All three outcomes occurred.
    CPPUNIT_ASSERT(not_run > 0 && unknown > 0 && finished > 0);
  }

  void without_the_seal_not_run_is_reported_falsely() {
    payment_simulation simulation(1);
    simulation.router.state->switches.seal_before_not_run = false;
    simulation.run_calls(60);
    CPPUNIT_ASSERT(!simulation.faults().empty());
  }

 private:
  static constexpr std::size_t refused_index = 1;

  static std::vector<router_action> lose_all(router_fixture& router) {
    auto actions = router.send_payment("r1", "k1");
    while (summarise(*router.state).requests_in_flight > 0) {
      const auto sent = all_of<send_attempt>(actions);
      const bool all_tried = all_of<send_attempt>(router.log).size() > agents_of_service;
      if (sent.empty() || all_tried) {
        break;
      }
      actions = router.end(sent.back(), attempt_outcome::lost);
    }
    return actions;
  }

  static constexpr std::size_t agents_of_service = 4;

  // The decision of an agent's ledger on a claim of "k1" by `request`.
  static ledger_decision claim_in(memory_table& table, const std::string& request,
                                  const std::string& attempt) {
    const ledger_ptr agent_ledger = make_ledger({"agent"});
    return claim_with(*agent_ledger, table, request, attempt);
  }

  static ledger_decision claim_with(ledger& agent_ledger, memory_table& table,
                                    const std::string& request, const std::string& attempt) {
    const steady_time start{std::chrono::hours{1}};
    const claim_request wanted{{request},  {attempt}, {"k1"},
                               {"orders"}, 8,         start + std::chrono::hours{1}};
    return settle(agent_ledger, table, claim(agent_ledger, wanted, start), start);
  }

  // Answers the ledger's table calls until there is a decision.
  static ledger_decision settle(ledger& agent_ledger, memory_table& table, ledger_output output,
                                steady_time now) {
    while (output.decisions.empty()) {
      now += milliseconds{10};
      ledger_output next = ledger_tick(agent_ledger, now);
      for (const table_call& ask : output.table_calls) {
        const auto more =
            apply_ledger_reply(agent_ledger, ask.ticket, table.apply(ask.request), now);
        next.table_calls.insert(next.table_calls.end(), more.table_calls.begin(),
                                more.table_calls.end());
        next.decisions.insert(next.decisions.end(), more.decisions.begin(), more.decisions.end());
      }
      output = next;
    }
    return output.decisions.front();
  }

  static void run_in(memory_table& table, const std::string& request) {
    const ledger_ptr agent_ledger = make_ledger({"agent"});
    claim_with(*agent_ledger, table, request, "early");
    const steady_time now{std::chrono::hours{2}};
    settle(*agent_ledger, table, record_result(*agent_ledger, {"early"}, "paid", now), now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(at_most_once_test);

}  // namespace chestnuthead
