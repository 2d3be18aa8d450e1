#include "rollout_writer.h"

#include <functional>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Fakes/scripted_endpoint.h"
#include "Fakes/stepped_clock.h"
#include "Gateway/rollout_fixture.h"
#include "Net/json_text.h"
#include "Net/metrics.h"
#include "rollout_rows.h"
#include "wire_headers.h"

namespace chestnuthead::platform {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

table_row order_row(const std::string& value) {
  return {"rollout/engines", value, false, 11};
}

}  // namespace

/// The rows of roll-outs, and the calls that the writer makes.
class rollout_writer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_writer_test);
  CPPUNIT_TEST(order_is_decoded);
  CPPUNIT_TEST(unusable_durations_get_the_default);
  CPPUNIT_TEST(order_without_a_version_is_rejected);
  CPPUNIT_TEST(record_survives_a_round_trip);
  CPPUNIT_TEST(damaged_record_is_rejected);
  CPPUNIT_TEST(step_names_its_conditions);
  CPPUNIT_TEST(writer_begins_a_roll_out);
  CPPUNIT_TEST(refused_write_is_read_again);
  CPPUNIT_TEST(record_is_dated_by_the_stores_clock);
  CPPUNIT_TEST_SUITE_END();

 public:
  void order_is_decoded() {
    const auto order = std::get<gateway::rollout_order>(
        decode_rollout_order(order_row(R"({"service":"engines","to":"v2","duration_s":12.5})"), 3));
    CPPUNIT_ASSERT(order.pool == gateway::engine_pool);
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), order.to);
    CPPUNIT_ASSERT(order.duration == milliseconds{12'500});
    CPPUNIT_ASSERT((order.id == gateway::rollout_order_id{11, 3}));
  }

  void unusable_durations_get_the_default() {
    for (const char* duration : {"", R"(,"duration_s":0)", R"(,"duration_s":-4)",
                                 R"(,"duration_s":"12")", R"(,"duration_s":1e30)"}) {
      const auto order = std::get<gateway::rollout_order>(
          decode_rollout_order(order_row(R"({"to":"v2")" + std::string(duration) + "}"), 1));
      CPPUNIT_ASSERT(order.duration == gateway::default_rollout_duration);
    }
  }

  void order_without_a_version_is_rejected() {
    for (const char* value : {"", "[]", "{}", R"({"to":7})", R"({"to":""})"}) {
      CPPUNIT_ASSERT(
          std::holds_alternative<std::string>(decode_rollout_order(order_row(value), 1)));
    }
  }

  void record_survives_a_round_trip() {
    gateway::rollout_record record = gateway::test_record(gateway::rollout_phase::rolled_back);
    record.begun_at = milliseconds{51'230};
    record.reason = "failures on \"route\" 7";
    record.excluded = {"v2", "v0"};
    const auto read =
        std::get<gateway::rollout_record>(parse_rollout_record(format_rollout_record(record)));
    CPPUNIT_ASSERT_EQUAL(format_rollout_record(record), format_rollout_record(read));
    CPPUNIT_ASSERT(read.order == record.order);
    CPPUNIT_ASSERT(read.begun_at == record.begun_at);
    CPPUNIT_ASSERT(read.phase == record.phase);
    CPPUNIT_ASSERT(read.excluded == record.excluded);
  }

  void damaged_record_is_rejected() {
    for (const char* value :
         {"", "{}", R"({"to":"v2","phase":"done"})", R"({"phase":"completed"})"}) {
      CPPUNIT_ASSERT(std::holds_alternative<std::string>(parse_rollout_record(value)));
    }
  }

  void step_names_its_conditions() {
    const gateway::rollout_step step{
        gateway::engine_pool, gateway::test_record(gateway::rollout_phase::completed), 20, 11};
    const auto body = parse_json_object(encode_rollout_step(step));
    const auto conditions = json_array(*body, "expected_revision");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, conditions->size());
    CPPUNIT_ASSERT_EQUAL(std::string("gateways"), json_text(*conditions->getObject(0), "table"));
    CPPUNIT_ASSERT_EQUAL(20, conditions->getObject(0)->getValue<int>("row_version"));
    CPPUNIT_ASSERT_EQUAL(std::string("op"), json_text(*conditions->getObject(1), "table"));
    CPPUNIT_ASSERT_EQUAL(11, conditions->getObject(1)->getValue<int>("row_version"));
    const auto rows = json_array(*body, "set_keys");
    CPPUNIT_ASSERT_EQUAL(std::string("status"), json_text(*rows->getObject(1), "table"));
    CPPUNIT_ASSERT_EQUAL(encode_base64(R"({"state":"completed","to":"v2"})"),
                         json_text(*rows->getObject(1), "value"));
  }

  void writer_begins_a_roll_out() {
    fixture bench(200);
    CPPUNIT_ASSERT(bench.run_until([&bench] { return bench.written == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("/-/rows-tx"), bench.store.requests.back().head.target);
    CPPUNIT_ASSERT(bench.store.requests.back().body.find("in_progress") == std::string::npos);
    CPPUNIT_ASSERT(bench.store.requests.back().body.find(
                       encode_base64(R"({"state":"in_progress","to":"v2"})")) != std::string::npos);
  }

  void refused_write_is_read_again() {
    fixture bench(412);
    CPPUNIT_ASSERT(bench.run_until([&bench] { return bench.written == 1; }));
    const std::size_t calls = bench.store.requests.size();
    // Another gateway's record arrives, so nothing is written any more.
    bench.apply(gateway::test_record(gateway::rollout_phase::in_progress), 20);
    bench.run_for(milliseconds{1'000});
    CPPUNIT_ASSERT_EQUAL(calls, bench.store.requests.size());
  }

  void record_is_dated_by_the_stores_clock() {
    fixture bench(200);
    gateway::rollout_record record = gateway::test_record(gateway::rollout_phase::in_progress);
    record.begun_at = milliseconds{2'000};
    bench.apply(record, 20);
    const gateway::rollout& row = bench.state.rollouts.rows[gateway::engine_pool];
    CPPUNIT_ASSERT(begun_at(row) == steady_time{bench.store_offset + milliseconds{2'000}});
  }

 private:
  /// A writer in a gateway that knows an order, and a store that answers with one status.
  struct fixture {
    explicit fixture(int answer_status)
        : status(answer_status),
          writer(this->context, this->store.address, [this] { ++this->written; }) {
      this->store.scripts = {[this](connection& caller) {
        caller.send("HTTP/1.1 " + std::to_string(this->status) +
                    " Answer\r\nContent-Length: 2\r\n\r\n{}");
      }};
      const steady_time now = this->time.now();
      this->store_offset = now.time_since_epoch() - milliseconds{5'000};
      this->state = gateway::rollout_state();
      this->state.rollouts.rows[gateway::engine_pool].ordered_after = now;
      this->writer.apply({{}, true, true, now, 0}, this->store_offset);
    }

    void apply(const gateway::rollout_record& record, std::uint64_t version) {
      this->writer.apply({{{"rollout/engines", format_rollout_record(record), false, version}},
                          false,
                          true,
                          this->time.now(),
                          0},
                         this->store_offset);
    }

    bool run_until(const std::function<bool()>& condition) {
      constexpr int rounds = 2'000;
      for (int round = 0; round < rounds && !condition(); ++round) {
        this->run_for(milliseconds{1});
      }
      return condition();
    }

    void run_for(milliseconds length) {
      for (milliseconds passed{0}; passed < length; passed += milliseconds{1}) {
        this->loop.run_once(milliseconds{0});
        this->time.advance(milliseconds{1});
        this->writer.tick(this->time.now(), this->store_offset);
      }
    }

    int status = 0;
    int written = 0;
    std::chrono::nanoseconds store_offset{0};
    stepped_clock time;
    seeded_random random{1};
    line_ring lines;
    json_log log{this->time, "test", log_level::info, this->lines, 1'000};
    metrics_registry metrics;
    traffic::event_loop loop;
    gateway::gateway_state state;
    traffic::endpoint_links links{this->loop, this->time, platform_dialect()};
    traffic::traffic_context context{this->loop, this->time,    this->random, platform_dialect(),
                                     this->log,  this->metrics, this->state,  this->links};
    scripted_endpoint store{this->loop};
    rollout_writer writer;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_writer_test);

}  // namespace chestnuthead::platform
