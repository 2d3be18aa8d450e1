#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

class attempt_lifecycle_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_lifecycle_test);
  CPPUNIT_TEST(an_attempt_is_accepted_run_and_ended_once);
  CPPUNIT_TEST(a_repeated_offer_is_ignored);
  CPPUNIT_TEST(without_deduplication_a_repeated_offer_runs_twice);
  CPPUNIT_TEST(an_offer_after_its_withdrawal_never_runs);
  CPPUNIT_TEST(a_cancelled_attempt_counts_until_its_exchange_is_closed);
  CPPUNIT_TEST(nothing_is_admitted_before_the_configuration_is_confirmed);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;

  void setUp() override {
    agent_bench::store(this->table, small_document(pool_kind::model_engine));
  }

  void an_attempt_is_accepted_run_and_ended_once() {
    agent_bench bench(this->table);
    bench.start();
    const auto begun = bench.send(offer("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<accept_attempt>(begun));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(begun));

    const auto ended = all_of_kind<end_attempt>(bench.send(finished("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
    CPPUNIT_ASSERT(attempt_outcome::complete == ended.front().outcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<end_attempt>(bench.send(finished("a"))));
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void a_repeated_offer_is_ignored() {
    agent_bench bench(this->table);
    bench.start();
    bench.send(offer("a"));
    CPPUNIT_ASSERT(bench.send(offer("a")).empty());
    bench.send(finished("a"));
    CPPUNIT_ASSERT(bench.send(offer("a")).empty());
  }

  void without_deduplication_a_repeated_offer_runs_twice() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->switches.deduplicate_attempts = false;
    bench.send(offer("a"));
    bench.send(finished("a"));
    bench.send(offer("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("attempt_answered_twice"), bench.broken.at(0).name);
    CPPUNIT_ASSERT_EQUAL(std::string("attempt_ran_twice"), bench.broken.at(1).name);
  }

  void an_offer_after_its_withdrawal_never_runs() {
    agent_bench bench(this->table);
    bench.start();
    bench.send(attempt_withdrawn{attempt_id{"a"}});
    CPPUNIT_ASSERT(bench.send(offer("a")).empty());
  }

  void a_cancelled_attempt_counts_until_its_exchange_is_closed() {
    agent_bench bench(this->table);
    bench.start();
    bench.send(offer("a"));
    const auto withdrawn = bench.send(attempt_withdrawn{attempt_id{"a"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<cancel_on_endpoint>(withdrawn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<end_attempt>(withdrawn));
    CPPUNIT_ASSERT_EQUAL(1U, bench.load());
    const auto closed = bench.send(endpoint_failed{attempt_id{"a"}, false, false});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<end_attempt>(closed));
    CPPUNIT_ASSERT_EQUAL(0U, bench.load());
  }

  void nothing_is_admitted_before_the_configuration_is_confirmed() {
    agent_bench bench(this->table);
    bench.mode = table_mode::down;
    bench.send(endpoint_ready{});
    bench.pass(std::chrono::seconds{5});
    CPPUNIT_ASSERT(refusal_kind::not_ready == refusal_in(bench.send(offer("a"))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_lifecycle_test);

}  // namespace chestnuthead
