#include "Agent/residency.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

class residency_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(residency_test);
  CPPUNIT_TEST(least_recently_used_chats_are_evicted_first);
  CPPUNIT_TEST(an_eviction_lowers_the_capacity_estimate);
  CPPUNIT_TEST(without_cache_reports_the_capacity_estimate_stays);
  CPPUNIT_TEST(a_non_resident_chat_is_refused_on_request);
  CPPUNIT_TEST(a_probe_reports_resident_tokens);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;

  void setUp() override {
    agent_bench::store(this->table, small_document(pool_kind::model_engine));
  }

  static chat_id chat(int number) {
    return chat_id{"chat-" + std::to_string(number)};
  }

  void least_recently_used_chats_are_evicted_first() {
    residency held;
    held.capacity = 100;
    note_answer(held, chat(1), 0, 0, 40);
    note_answer(held, chat(2), 0, 0, 40);
    note_answer(held, chat(1), 40, 40, 50);
    note_answer(held, chat(3), 0, 0, 40);
    CPPUNIT_ASSERT_EQUAL(50U, resident_tokens(held, chat(1)));
    CPPUNIT_ASSERT_EQUAL(0U, resident_tokens(held, chat(2)));
    CPPUNIT_ASSERT_EQUAL(40U, resident_tokens(held, chat(3)));
  }

  // Two of 100 chats return: the latest is still cached, the 31st latest is not, so
  // the cache holds about 30.
  void an_eviction_lowers_the_capacity_estimate() {
    residency held;
    for (int number = 0; number < 100; ++number) {
      note_answer(held, chat(number), 0, 0, 1000);
    }
    note_answer(held, chat(99), 1000, 1000, 1000);
    note_answer(held, chat(69), 1000, 0, 1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{31'000}, held.capacity);
    CPPUNIT_ASSERT_EQUAL(0U, resident_tokens(held, chat(50)));
    CPPUNIT_ASSERT(held.tokens <= held.capacity);
  }

  void without_cache_reports_the_capacity_estimate_stays() {
    residency held;
    note_answer(held, chat(1), 0, 0, 1000);
    note_answer(held, chat(1), 1000, 0, 1000);
    CPPUNIT_ASSERT_EQUAL(initial_resident_capacity, held.capacity);
  }

  static endpoint_finished answered(const std::string& attempt) {
    endpoint_finished event = finished(attempt);
    event.prompt_tokens = 700;
    event.answer_tokens = 300;
    return event;
  }

  void a_non_resident_chat_is_refused_on_request() {
    agent_bench bench(this->table);
    bench.start();
    attempt_offered first = offer("a");
    first.facts.chat = chat(1);
    first.terms.only_if_resident = true;
    CPPUNIT_ASSERT(refusal_kind::not_resident == refusal_in(bench.send(first)));

    first.attempt = attempt_id{"b"};
    first.terms.only_if_resident = false;
    bench.send(first);
    bench.send(answered("b"));
    first.attempt = attempt_id{"c"};
    first.terms.only_if_resident = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<accept_attempt>(bench.send(first)));
  }

  void a_probe_reports_resident_tokens() {
    agent_bench bench(this->table);
    bench.start();
    attempt_offered first = offer("a");
    first.facts.chat = chat(1);
    bench.send(first);
    bench.send(answered("a"));
    const probe_asked question{request_id{"r"}, node_id{"router-1"}, chat(1)};
    const auto before = all_of_kind<answer_probe>(bench.send(question));
    CPPUNIT_ASSERT_EQUAL(1000U, before.at(0).load.resident_tokens);
    bench.send(endpoint_ready{true});
    const auto after = all_of_kind<answer_probe>(bench.send(question));
    CPPUNIT_ASSERT_EQUAL(0U, after.at(0).load.resident_tokens);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(residency_test);

}  // namespace chestnuthead
