#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

class gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gate_test);
  CPPUNIT_TEST(an_attempt_is_accepted_run_and_ended_once);
  CPPUNIT_TEST(a_repeated_offer_is_ignored);
  CPPUNIT_TEST(a_stop_lets_work_in_flight_finish);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_attempt_is_accepted_run_and_ended_once() {
    agent_bench bench;
    bench.send(endpoint_ready{});
    const auto begun = bench.send(offer("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of_kind<accept_attempt>(begun).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of_kind<run_on_endpoint>(begun).size());

    const auto ended = all_of_kind<end_attempt>(bench.send(finished("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
    CPPUNIT_ASSERT(attempt_outcome::complete == ended.front().outcome);
    CPPUNIT_ASSERT(all_of_kind<end_attempt>(bench.send(finished("a"))).empty());
  }

  void a_repeated_offer_is_ignored() {
    agent_bench bench;
    bench.send(endpoint_ready{});
    bench.send(offer("a"));
    CPPUNIT_ASSERT(bench.send(offer("a")).empty());
  }

  void a_stop_lets_work_in_flight_finish() {
    agent_bench bench;
    bench.send(endpoint_ready{});
    bench.send(offer("a"));
    const auto stopping = bench.send(agent_stop_requested{});
    CPPUNIT_ASSERT(all_of_kind<agent_stop_now>(stopping).empty());
    const auto refused = all_of_kind<refuse_attempt>(bench.send(offer("b")));
    CPPUNIT_ASSERT(refusal_kind::out_of_service == refused.at(0).why);
    const auto ended = bench.send(finished("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of_kind<agent_stop_now>(ended).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gate_test);

}  // namespace chestnuthead
