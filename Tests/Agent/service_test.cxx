#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

class service_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(service_test);
  CPPUNIT_TEST(a_domain_taken_out_gets_no_new_work_and_finishes_the_old);
  CPPUNIT_TEST(ignoring_a_taken_out_domain_breaks_the_invariant);
  CPPUNIT_TEST(an_older_router_is_still_served);
  CPPUNIT_TEST(the_newer_version_of_a_router_is_requested);
  CPPUNIT_TEST(a_planned_stop_finishes_running_attempts);
  CPPUNIT_TEST(a_stop_that_does_not_wait_breaks_the_invariant);
  CPPUNIT_TEST(a_stop_waits_for_the_ledger);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;

  void setUp() override {
    agent_bench::store(this->table, small_document(pool_kind::model_engine));
  }

  void take_out() {
    configuration_document document = small_document(pool_kind::model_engine);
    document.failure_domains_out = {failure_domain_id{"domain-1"}};
    agent_bench::store(this->table, document);
  }

  // Sends gossip from a peer that holds a newer version with the domain taken out.
  static void send_newer_version(agent_bench& bench, std::uint64_t version) {
    configuration_document document = small_document(pool_kind::model_engine);
    document.failure_domains_out = {failure_domain_id{"domain-1"}};
    gossip_message message;
    message.from = node_id{"peer-0"};
    message.configuration_version = version;
    configuration_change change;
    change.version = version;
    change.text = format_configuration(document);
    message.changes = {change};
    bench.send(agent_gossip_received{message});
  }

  void a_domain_taken_out_gets_no_new_work_and_finishes_the_old() {
    agent_bench bench(this->table);
    bench.start();
    bench.send(offer("a"));
    this->take_out();
    send_newer_version(bench, 2);
    CPPUNIT_ASSERT(refusal_kind::out_of_service == refusal_in(bench.send(offer("b"))));
    const auto ended = all_of_kind<end_attempt>(bench.send(finished("a")));
    CPPUNIT_ASSERT(attempt_outcome::complete == ended.at(0).outcome);
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void ignoring_a_taken_out_domain_breaks_the_invariant() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->switches.honour_taken_out = false;
    this->take_out();
    send_newer_version(bench, 2);
    bench.send(offer("b"));
    CPPUNIT_ASSERT_EQUAL(std::string("admitted_while_out"), bench.broken.at(0).name);
  }

  void an_older_router_is_still_served() {
    agent_bench bench(this->table);
    bench.start();
    attempt_offered old = offer("a");
    old.configuration_version = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<accept_attempt>(bench.send(old)));
  }

  void the_newer_version_of_a_router_is_requested() {
    agent_bench bench(this->table);
    bench.start();
    bench.add_peers(1, 0);
    this->take_out();
    attempt_offered newer = offer("a");
    newer.configuration_version = 2;
    newer.router = node_id{"peer-0"};
    bench.send(newer);
    bool asked = false;
    for (const auto& sent : all_of_kind<agent_send_gossip>(bench.pass(std::chrono::seconds{1}))) {
      asked = asked || (sent.to == newer.router && sent.message.wants_reply);
    }
    CPPUNIT_ASSERT(asked);
  }

  void a_planned_stop_finishes_running_attempts() {
    agent_bench bench(this->table);
    bench.start();
    bench.add_peers(2, 0);
    bench.send(offer("a"));
    const auto begun = bench.send(agent_stop_requested{});
    CPPUNIT_ASSERT(!all_of_kind<agent_set_ready>(begun).at(0).ready);
    CPPUNIT_ASSERT(refusal_kind::out_of_service == refusal_in(bench.send(offer("b"))));

    const auto waiting = bench.pass(std::chrono::seconds{10});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<agent_stop_now>(waiting));
    bool announced = false;
    for (const auto& sent : all_of_kind<agent_send_gossip>(waiting)) {
      for (const rumor& update : sent.message.rumors) {
        announced = announced || update.kind == rumor_kind::node_leaving;
      }
    }
    CPPUNIT_ASSERT(announced);

    const auto ended = bench.send(finished("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<end_attempt>(ended));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<agent_stop_now>(ended));
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void a_stop_that_does_not_wait_breaks_the_invariant() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->switches.drain_before_stop = false;
    bench.send(offer("a"));
    bench.send(agent_stop_requested{});
    bench.pass(std::chrono::seconds{3});
    CPPUNIT_ASSERT_EQUAL(std::string("stopped_with_work"), bench.broken.at(0).name);
  }

  void a_stop_waits_for_the_ledger() {
    agent_bench bench(this->table);
    bench.start();
    bench.send(payment("a", "key"));
    bench.pass(std::chrono::milliseconds{200});
    bench.send(agent_stop_requested{});
    bench.pass(std::chrono::seconds{3});
    bench.mode = table_mode::down;
    bench.send(finished("a"));
    // The attempt ends without its result being recorded, but recording is still
    // retried.
    const auto waiting = bench.pass(std::chrono::seconds{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<agent_stop_now>(waiting));
    bench.mode = table_mode::up;
    const auto done = bench.pass(std::chrono::seconds{3});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<agent_stop_now>(done));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_test);

}  // namespace chestnuthead
