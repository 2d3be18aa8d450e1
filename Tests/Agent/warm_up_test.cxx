#include "Agent/warm_up.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

/// An engine that supports two requests when cold and one more after each completed
/// one; it crashes if it gets more than that.
class fragile_engine {
 public:
  void begin_one() {
    ++this->running;
    this->has_crashed = this->has_crashed || this->running > this->supported;
  }

  void complete_one() {
    --this->running;
    ++this->supported;
  }

  void turn_cold() {
    this->supported = 2;
  }

  std::uint32_t running = 0;
  std::uint32_t supported = 2;
  bool has_crashed = false;
};

}  // namespace

class warm_up_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(warm_up_test);
  CPPUNIT_TEST(a_fragile_engine_warms_up_without_crashing);
  CPPUNIT_TEST(without_the_cold_start_the_engine_crashes);
  CPPUNIT_TEST(late_first_bytes_shrink_the_limit);
  CPPUNIT_TEST(one_long_prompt_does_not_shrink_the_limit);
  CPPUNIT_TEST(the_baseline_adapts_to_a_lasting_change);
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

  // Offers ten times as many requests as the cold engine supports, in several
  // waves.
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

  void a_fragile_engine_warms_up_without_crashing() {
    agent_bench bench(this->table);
    bench.start();
    fragile_engine engine;
    flood(bench, engine, 5);
    CPPUNIT_ASSERT(!engine.has_crashed);
    CPPUNIT_ASSERT_EQUAL(8U, bench.state->warm.limit);
    CPPUNIT_ASSERT(bench.broken.empty());

    // The engine restarts: the limit returns to the cold limit.
    engine.turn_cold();
    bench.send(endpoint_ready{true});
    flood(bench, engine, 5);
    CPPUNIT_ASSERT(!engine.has_crashed);
  }

  void without_the_cold_start_the_engine_crashes() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->switches.start_cold = false;
    fragile_engine engine;
    flood(bench, engine, 1);
    CPPUNIT_ASSERT(engine.has_crashed);
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
    for (int count = 0; count < slow_answers_when_cold; ++count) {
      note_completed(warm, this->pool, milliseconds{1000}, 1000, 0);
    }
    CPPUNIT_ASSERT_EQUAL(2U, warm.limit);
  }

  void one_long_prompt_does_not_shrink_the_limit() {
    warm_up warm = warmed();
    for (int count = 0; count < 20; ++count) {
      // A prompt and a time to the first byte that are both about ten times as
      // long.
      note_completed(warm, this->pool, milliseconds{1000}, 12'000, 0);
    }
    note_completed(warm, this->pool, milliseconds{5000}, 1000, 0);
    CPPUNIT_ASSERT_EQUAL(8U, warm.limit);
  }

  void the_baseline_adapts_to_a_lasting_change() {
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
