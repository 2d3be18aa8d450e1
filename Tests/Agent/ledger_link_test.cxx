#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

class ledger_link_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ledger_link_test);
  CPPUNIT_TEST(a_call_runs_only_after_its_claim_and_ends_after_its_result);
  CPPUNIT_TEST(without_waiting_for_the_claim_the_audit_reports_it);
  CPPUNIT_TEST(a_finished_key_gets_its_stored_answer);
  CPPUNIT_TEST(two_agents_run_a_key_once);
  CPPUNIT_TEST(a_call_that_never_reached_the_endpoint_may_run_later);
  CPPUNIT_TEST(a_call_lost_with_the_endpoint_stays_unknown);
  CPPUNIT_TEST(an_agent_paused_past_the_deadline_does_not_run_the_call);
  CPPUNIT_TEST(a_withdrawn_call_runs_to_its_end);
  CPPUNIT_TEST(a_slow_table_leaves_room_for_other_calls);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;

  void setUp() override {
    agent_bench::store(this->table, small_document(pool_kind::plain_service));
  }

  // The ledger batches claims, so it may take some ticks until it writes.
  static actions run_payment(agent_bench& bench, const std::string& attempt,
                             const std::string& key) {
    actions all = bench.send(payment(attempt, key));
    for (const agent_action& action : bench.pass(std::chrono::seconds{1})) {
      all.push_back(action);
    }
    return all;
  }

  void a_call_runs_only_after_its_claim_and_ends_after_its_result() {
    agent_bench bench(this->table);
    bench.start();
    bench.mode = table_mode::held;
    const auto waiting = run_payment(bench, "a", "key");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<accept_attempt>(waiting));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<run_on_endpoint>(waiting));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(bench.release_table()));

    bench.mode = table_mode::held;
    auto recording = bench.send(finished("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<end_attempt>(recording));
    bench.pass(std::chrono::milliseconds{200});
    const auto ended = all_of_kind<end_attempt>(bench.release_table());
    CPPUNIT_ASSERT(attempt_outcome::complete == ended.at(0).outcome);
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void without_waiting_for_the_claim_the_audit_reports_it() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->switches.wait_for_claim = false;
    bench.mode = table_mode::held;
    bench.send(payment("a", "key"));
    CPPUNIT_ASSERT_EQUAL(std::string("run_without_claim"), bench.broken.at(0).name);
  }

  void a_finished_key_gets_its_stored_answer() {
    agent_bench bench(this->table);
    bench.start();
    run_payment(bench, "a", "key");
    bench.send(finished("a"));
    bench.pass(std::chrono::seconds{1});
    const auto again = run_payment(bench, "b", "key");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<run_on_endpoint>(again));
    const auto stored = all_of_kind<answer_from_ledger>(again);
    CPPUNIT_ASSERT_EQUAL(std::string("answer of a"), stored.at(0).stored_answer);
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void two_agents_run_a_key_once() {
    agent_bench first(this->table, "agent-1");
    agent_bench second(this->table, "agent-2");
    first.start();
    second.start();
    const auto ran = run_payment(first, "a", "key");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(ran));
    const auto other = run_payment(second, "b", "key");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<run_on_endpoint>(other));
  }

  void a_call_that_never_reached_the_endpoint_may_run_later() {
    agent_bench bench(this->table);
    bench.start();
    run_payment(bench, "a", "key");
    const auto failed = bench.send(endpoint_failed{attempt_id{"a"}, false, true});
    CPPUNIT_ASSERT(attempt_outcome::endpoint_failed ==
                   all_of_kind<end_attempt>(failed).at(0).outcome);
    bench.pass(std::chrono::seconds{2});
    const auto again = run_payment(bench, "b", "key");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(again));
  }

  void a_call_lost_with_the_endpoint_stays_unknown() {
    agent_bench bench(this->table);
    bench.start();
    run_payment(bench, "a", "key");
    const auto failed = bench.send(crashed("a"));
    CPPUNIT_ASSERT(attempt_outcome::outcome_unknown ==
                   all_of_kind<end_attempt>(failed).at(0).outcome);
    bench.send(endpoint_ready{});
    const auto again = run_payment(bench, "b", "key");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<run_on_endpoint>(again));
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void an_agent_paused_past_the_deadline_does_not_run_the_call() {
    agent_bench bench(this->table);
    bench.start();
    bench.mode = table_mode::held;
    bench.send(payment("a", "key"));
    bench.pass(std::chrono::milliseconds{200});
    bench.now += std::chrono::minutes{2};
    const auto resumed = bench.release_table();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<run_on_endpoint>(resumed));
    CPPUNIT_ASSERT(refusal_kind::deadline == refusal_in(resumed));
  }

  void a_withdrawn_call_runs_to_its_end() {
    agent_bench bench(this->table);
    bench.start();
    run_payment(bench, "a", "key");
    const auto withdrawn = bench.send(attempt_withdrawn{attempt_id{"a"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<cancel_on_endpoint>(withdrawn));
    bench.send(finished("a"));
    bench.pass(std::chrono::seconds{1});
    CPPUNIT_ASSERT_EQUAL(0U, bench.load());
  }

  void a_slow_table_leaves_room_for_other_calls() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->warm.limit = 8;
    bench.mode = table_mode::held;
    for (int call = 0; call < 8; ++call) {
      bench.send(payment("pay-" + std::to_string(call), "key-" + std::to_string(call)));
    }
    CPPUNIT_ASSERT_EQUAL(4U, bench.load());
    const auto lookup = bench.send(offer("lookup", "library"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(lookup));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_link_test);

}  // namespace chestnuthead
