#include <chrono>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

/// Guards against requests to an endpoint that has reported that it is leaving, on each way by
/// which a request gets to an endpoint and also if the choice of the endpoint has a fault: the
/// report is recorded, but the endpoint's row does not show it.
class leaving_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leaving_gate_test);
  CPPUNIT_TEST(first_request_is_not_sent);
  CPPUNIT_TEST(rejected_request_is_not_sent_again);
  CPPUNIT_TEST(request_is_not_hedged);
  CPPUNIT_TEST(silent_stream_is_not_moved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void first_request_is_not_sent() {
    this->mark("engine-0");
    this->mark("engine-1");
    this->expect_refusal_after(0);
  }

  void rejected_request_is_not_sent_again() {
    this->serve([](connection& caller) {
      caller.send("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    this->expect_refusal_after(1);
  }

  void request_is_not_hedged() {
    gateway::extra_tries& tries = this->harness.state.tries;
    tries.share = 1.0;
    tries.tokens[gateway::engine_pool] = gateway::max_hedge_tokens;
    for (int sample = 0; sample < 100; ++sample) {
      record_wait(tries, {"chats", gateway::engine_pool}, milliseconds{5},
                  this->harness.time.now());
    }
    connection* first = nullptr;
    this->serve([&first](connection& caller) { first = &caller; });
    const auto caller = this->ask();
    this->harness.run_for(milliseconds{200});
    CPPUNIT_ASSERT_EQUAL(1, this->chats);
    this->check_refusal();
    first->send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 3) +
                "0\r\n\r\n");
    CPPUNIT_ASSERT(this->harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 3), traffic_harness::unchunked(caller->bytes));
  }

  void silent_stream_is_not_moved() {
    this->serve([](connection& caller) {
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
    });
    const auto caller = this->ask();
    std::string log;
    CPPUNIT_ASSERT(this->harness.run_until([&] {
      log += this->harness.take_log();
      return log.find("leaving_endpoint_refused") != std::string::npos;
    }));
    CPPUNIT_ASSERT_EQUAL(1, this->chats);
  }

 private:
  using script = scripted_endpoint::script;

  /// Records a report of the engine, without its row.
  void mark(const std::string& name) {
    const steady_time now = this->harness.time.now();
    gateway::endpoint_table& table = this->harness.state.endpoints;
    const gateway::endpoint& row = *find_endpoint(table, endpoint_id{name});
    table.leaving[incarnation_of(row)] = {now, {}, now};
  }

  /// The engine that is asked first plays `first`, after the report of the other one is recorded.
  void serve(const script& first) {
    for (std::size_t engine = 0; engine < 2; ++engine) {
      scripted_endpoint& served = *this->harness.endpoints[engine];
      served.scripts = {[this, &served, engine, first](connection& caller) {
        if (served.requests.back().head.target == "/healthz") {
          return;
        }
        ++this->chats;
        this->mark(engine == 0 ? "engine-1" : "engine-0");
        first(caller);
      }};
    }
  }

  std::unique_ptr<test_caller> ask() {
    this->harness.state.resends.allowance = 10'000;
    auto caller = this->harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    return caller;
  }

  /// Sends a chat, which is refused once it has reached `sent` engines.
  void expect_refusal_after(int sent) {
    const auto caller = this->ask();
    CPPUNIT_ASSERT(this->harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(sent, this->chats);
    this->check_refusal();
  }

  void check_refusal() {
    CPPUNIT_ASSERT(this->harness.take_log().find("leaving_endpoint_refused") != std::string::npos);
  }

  traffic_harness harness{2};
  /// Chats that have reached an engine.
  int chats = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_gate_test);

}  // namespace chestnuthead
