#include "Agent/warm_up.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

/// An engine that bears two requests cold and one more for each it completes;
/// given more than it bears, it falls over.
class fragile_engine {
 public:
  void begin_one() {
    ++this->running;
    this->fell_over = this->fell_over || this->running > this->bears;
  }

  void complete_one() {
    --this->running;
    ++this->bears;
  }

  void turn_cold() {
    this->bears = 2;
  }

  std::uint32_t running = 0;
  std::uint32_t bears = 2;
  bool fell_over = false;
};

}  // namespace

class warm_up_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(warm_up_test);
  CPPUNIT_TEST(a_fragile_engine_is_brought_up_without_falling_over);
  CPPUNIT_TEST(without_the_cold_start_the_engine_falls_over);
  CPPUNIT_TEST(late_first_bytes_shrink_the_limit);
  CPPUNIT_TEST(one_long_prompt_does_not_shrink_the_limit);
  CPPUNIT_TEST(a_lasting_change_is_learnt);
  CPPUNIT_TEST(a_crash_stops_admission_until_the_endpoint_is_ready);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;
  pool_configuration pool = small_document(pool_kind::model_engine).pools.at(0);

  void setUp() override {
    configuration_document document = small_document(pool_kind::model_engine);
    document.pools.at(0).concurrency = 8;
    agent_bench::store(this->table, document);
  }

  // Offers ten times as much as the engine bears at first, wave after wave.
  static void flood(agent_bench& bench, fragile_engine& engine, int waves) {
    int name = 0;
    for (int wave = 0; wave < waves; ++wave) {
      std::vector<std::string> running;
      for (int count = 0; count < 20; ++count) {
        const std::string attempt = std::to_string(name++);
        if (count_of_kind<run_on_endpoint>(bench.send(offer(attempt))) > 0) {
          engine.begin_one();
          running.push_back(attempt);
        }
      }
      bench.pass(milliseconds{100});
      for (const std::string& attempt : running) {
        engine.complete_one();
        bench.send(finished(attempt));
      }
    }
  }

  void a_fragile_engine_is_brought_up_without_falling_over() {
    agent_bench bench(this->table);
    bench.start();
    fragile_engine engine;
    flood(bench, engine, 5);
    CPPUNIT_ASSERT(!engine.fell_over);
    CPPUNIT_ASSERT_EQUAL(8U, bench.state->warm.limit);
    CPPUNIT_ASSERT(bench.broken.empty());

    // It begins anew: the limit starts at the bottom again.
    engine.turn_cold();
    bench.send(endpoint_ready{true});
    flood(bench, engine, 5);
    CPPUNIT_ASSERT(!engine.fell_over);
  }

  void without_the_cold_start_the_engine_falls_over() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->switches.start_cold = false;
    fragile_engine engine;
    flood(bench, engine, 1);
    CPPUNIT_ASSERT(engine.fell_over);
    CPPUNIT_ASSERT_EQUAL(std::string("load_above_bound"), bench.broken.at(0).name);
  }

  warm_up warmed() {
    warm_up warm;
    restart_cold(warm, this->pool);
    for (int count = 0; count < 20; ++count) {
      note_completed(warm, this->pool, milliseconds{100}, 1000, 0);
    }
    CPPUNIT_ASSERT_EQUAL(8U, warm.limit);
    return warm;
  }

  void late_first_bytes_shrink_the_limit() {
    warm_up warm = warmed();
    for (int count = 0; count < slow_answers_of_cold; ++count) {
      note_completed(warm, this->pool, milliseconds{1000}, 1000, 0);
    }
    CPPUNIT_ASSERT_EQUAL(2U, warm.limit);
  }

  void one_long_prompt_does_not_shrink_the_limit() {
    warm_up warm = warmed();
    for (int count = 0; count < 20; ++count) {
      // Ten times as long, ten times as late.
      note_completed(warm, this->pool, milliseconds{1000}, 12'000, 0);
    }
    note_completed(warm, this->pool, milliseconds{5000}, 1000, 0);
    CPPUNIT_ASSERT_EQUAL(8U, warm.limit);
  }

  void a_lasting_change_is_learnt() {
    warm_up warm = warmed();
    for (int count = 0; count < 200; ++count) {
      note_completed(warm, this->pool, milliseconds{1000}, 1000, 0);
    }
    CPPUNIT_ASSERT_EQUAL(8U, warm.limit);
  }

  void a_crash_stops_admission_until_the_endpoint_is_ready() {
    agent_bench bench(this->table);
    bench.start();
    bench.send(offer("a"));
    bench.send(crashed("a"));
    CPPUNIT_ASSERT(refusal_kind::not_ready == refusal_in(bench.send(offer("b"))));
    bench.send(endpoint_ready{true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<accept_attempt>(bench.send(offer("c"))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(warm_up_test);

}  // namespace chestnuthead
