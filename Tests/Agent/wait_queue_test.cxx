#include "Agent/wait_queue.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

class wait_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(wait_queue_test);
  CPPUNIT_TEST(an_earlier_class_is_started_first);
  CPPUNIT_TEST(a_long_plan_is_not_starved_by_quick_checks);
  CPPUNIT_TEST(customers_are_served_by_their_weights);
  CPPUNIT_TEST(a_surge_of_one_customer_leaves_the_others_their_share);
  CPPUNIT_TEST(without_shares_a_surge_takes_all);
  CPPUNIT_TEST(a_wait_past_the_deadline_is_refused_at_once);
  CPPUNIT_TEST(a_queued_attempt_ends_when_its_time_is_up);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;

  // By default one slot and a long queue.
  void start(agent_bench& bench, std::uint32_t slots = 1, std::uint32_t limit = 16) {
    configuration_document document = small_document(pool_kind::model_engine);
    document.pools.at(0).concurrency = slots;
    document.pools.at(0).warm_limit = limit;
    document.customers.at(0).weight = 3.0;
    agent_bench::store(this->table, document);
    bench.start();
    bench.state->warm.limit = limit;
  }

  static attempt_offered of_class(const std::string& attempt, request_class importance) {
    attempt_offered event = offer(attempt);
    event.facts.importance = importance;
    return event;
  }

  static std::string started(const actions& list) {
    const auto runs = all_of_kind<run_on_endpoint>(list);
    return runs.empty() ? "" : runs.front().attempt.value;
  }

  void an_earlier_class_is_started_first() {
    agent_bench bench(this->table);
    this->start(bench);
    bench.send(offer("running"));
    bench.send(of_class("plan", request_class::long_plan));
    bench.send(of_class("chat", request_class::chat));
    bench.send(of_class("check", request_class::quick_check));
    CPPUNIT_ASSERT_EQUAL(std::string("check"), started(bench.send(finished("running"))));
    CPPUNIT_ASSERT_EQUAL(std::string("chat"), started(bench.send(finished("check"))));
    CPPUNIT_ASSERT_EQUAL(std::string("plan"), started(bench.send(finished("chat"))));
  }

  void a_long_plan_is_not_starved_by_quick_checks() {
    agent_bench bench(this->table);
    this->start(bench);
    bench.send(of_class("check-0", request_class::quick_check));
    bench.send(of_class("plan", request_class::long_plan));
    std::string running = "check-0";
    int checks = 0;
    while (running != "plan" && checks < 100) {
      bench.send(of_class("check-" + std::to_string(++checks), request_class::quick_check));
      bench.pass(std::chrono::milliseconds{500});
      running = started(bench.send(finished(running)));
    }
    // Two classes at five seconds each take 20 checks of half a second.
    CPPUNIT_ASSERT_EQUAL(std::string("plan"), running);
    CPPUNIT_ASSERT(checks >= 18 && checks <= 23);
  }

  void customers_are_served_by_their_weights() {
    agent_bench bench(this->table);
    this->start(bench, 1, 64);
    bench.send(offer("first", "other"));
    for (int count = 0; count < 12; ++count) {
      bench.send(offer("school-" + std::to_string(count), "school"));
      bench.send(offer("library-" + std::to_string(count), "library"));
    }
    std::map<std::string, int> served;
    std::string running = "first";
    for (int count = 0; count < 12; ++count) {
      running = started(bench.send(finished(running)));
      ++served[running.substr(0, running.find('-'))];
    }
    CPPUNIT_ASSERT_EQUAL(9, served["school"]);
    CPPUNIT_ASSERT_EQUAL(3, served["library"]);
  }

  // The library sends 20 requests per round, the school one; counts the school's
  // refusals.
  static int school_refusals(agent_bench& bench) {
    int refusals = 0;
    int name = 0;
    std::vector<std::string> running;
    for (int round = 0; round < 50; ++round) {
      for (int count = 0; count < 20; ++count) {
        bench.send(offer("surge-" + std::to_string(name++), "library"));
      }
      const auto taken = bench.send(offer("school-" + std::to_string(name++), "school"));
      refusals += static_cast<int>(count_of_kind<refuse_attempt>(taken));
      bench.pass(std::chrono::milliseconds{100});
      std::vector<std::string> at_endpoint;
      for (const auto& [attempt, row] : bench.state->attempts.rows) {
        if (row.phase == attempt_phase::running) {
          at_endpoint.push_back(attempt.value);
        }
      }
      for (const std::string& attempt : at_endpoint) {
        bench.send(finished(attempt));
      }
    }
    return refusals;
  }

  void a_surge_of_one_customer_leaves_the_others_their_share() {
    agent_bench bench(this->table);
    this->start(bench, 4, 16);
    CPPUNIT_ASSERT_EQUAL(0, school_refusals(bench));
    CPPUNIT_ASSERT(bench.broken.empty());
  }

  void without_shares_a_surge_takes_all() {
    agent_bench bench(this->table);
    this->start(bench, 4, 16);
    bench.state->switches.share_fairly = false;
    CPPUNIT_ASSERT_EQUAL(50, school_refusals(bench));
  }

  void a_wait_past_the_deadline_is_refused_at_once() {
    agent_bench bench(this->table);
    this->start(bench);
    for (int count = 0; count < 20; ++count) {
      bench.send(offer("done-" + std::to_string(count)));
      bench.now += std::chrono::seconds{2};
      bench.send(finished("done-" + std::to_string(count)));
    }
    bench.send(offer("running"));
    bench.send(offer("queued"));
    attempt_offered urgent = offer("urgent");
    urgent.time_left = std::chrono::seconds{3};
    const auto refused = all_of_kind<refuse_attempt>(bench.send(urgent));
    CPPUNIT_ASSERT(refusal_kind::deadline == refused.at(0).why);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4000},
                         static_cast<std::int64_t>(refused.at(0).retry_after.count()));
  }

  void a_queued_attempt_ends_when_its_time_is_up() {
    agent_bench bench(this->table);
    this->start(bench);
    bench.send(offer("running"));
    attempt_offered urgent = offer("urgent");
    urgent.time_left = std::chrono::seconds{1};
    bench.send(urgent);
    const auto ended = all_of_kind<end_attempt>(bench.pass(std::chrono::seconds{1}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), ended.at(0).attempt.value);
    CPPUNIT_ASSERT_EQUAL(std::string(), started(bench.send(finished("urgent"))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_queue_test);

}  // namespace chestnuthead
