#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

const std::string last_chunk = "0\r\n\r\n";
/// Events whose bytes exceed what the sockets between endpoint and caller can hold.
constexpr int event_count = 400;

}  // namespace

/// Tests callers that do not read for a while.
class slow_caller_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slow_caller_test);
  CPPUNIT_TEST(stream_for_a_slow_caller_is_not_taken_for_silent);
  CPPUNIT_TEST(caller_that_reads_nothing_for_seconds_gets_the_whole_stream);
  CPPUNIT_TEST(endpoint_that_cuts_off_an_unread_stream_is_not_at_fault);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stream_for_a_slow_caller_is_not_taken_for_silent() {
    traffic_harness harness(2);
    play(harness, milliseconds{2'000});
    const std::string log = harness.take_log();
    CPPUNIT_ASSERT(log.find("endpoint_doubted") == std::string::npos);
    CPPUNIT_ASSERT(log.find("silent") == std::string::npos);
  }

  void caller_that_reads_nothing_for_seconds_gets_the_whole_stream() {
    traffic_harness harness(1);
    play(harness, milliseconds{4'500});
  }

  /// Endpoints do so after some seconds. The stream goes on where it was when the caller reads.
  void endpoint_that_cuts_off_an_unread_stream_is_not_at_fault() {
    traffic_harness harness(1);
    scripted_endpoint& engine = *harness.endpoints[0];
    connection* cut = nullptr;
    engine.scripts = {[&cut](connection& caller) {
                        cut = &caller;
                        caller.send(traffic_harness::stream_head("c1"));
                        for (int number = 1; number <= event_count; ++number) {
                          caller.send(traffic_harness::large_event_chunk(number));
                        }
                      },
                      [&engine](connection& caller) {
                        const std::string* last =
                            find_field(engine.requests.back().head, "Last-Event-Id");
                        CPPUNIT_ASSERT(last != nullptr);
                        const int next = std::stoi(*last) + 1;
                        caller.send(traffic_harness::stream_head("c1") +
                                    traffic_harness::event_chunk(next, next) + last_chunk);
                      }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return !caller->bytes.empty(); }));
    caller->pause(true);
    harness.run_for(2 * traffic::long_read_pause);
    cut->reset();
    harness.run_for(milliseconds{300});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.requests.size());
    caller->pause(false);
    CPPUNIT_ASSERT(
        harness.run_until([&] { return caller->ended || caller->bytes.ends_with(last_chunk); }));
    CPPUNIT_ASSERT(caller->bytes.ends_with(last_chunk));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engine.requests.size());
    const std::string log = harness.take_log();
    CPPUNIT_ASSERT(log.find("endpoint_set_aside") == std::string::npos);
    CPPUNIT_ASSERT(log.find("prompt_part_suspected") == std::string::npos);
    const auto& budget = harness.state.resend_budgets.at(gateway::engine_pool);
    std::uint32_t resends = 0;
    for (const auto& second : budget.seconds) {
      resends += second.resends;
    }
    CPPUNIT_ASSERT_EQUAL(1U, resends);
  }

 private:
  /// Plays a chat whose caller reads nothing for `pause` and then the whole answer.
  static void play(traffic_harness& harness, milliseconds pause) {
    int calls = 0;
    for (const auto& endpoint : harness.endpoints) {
      endpoint->scripts = {[&calls](connection& caller) {
        if (calls++ > 0) {
          return;
        }
        caller.send(traffic_harness::stream_head("c1"));
        for (int number = 1; number <= event_count; ++number) {
          caller.send(traffic_harness::large_event_chunk(number));
        }
        caller.send(last_chunk);
      }};
    }
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return !caller->bytes.empty(); }));
    caller->pause(true);
    harness.run_for(pause);
    caller->pause(false);
    CPPUNIT_ASSERT(
        harness.run_until([&] { return caller->ended || caller->bytes.ends_with(last_chunk); }));
    CPPUNIT_ASSERT(caller->bytes.ends_with(last_chunk));
    CPPUNIT_ASSERT(caller->bytes.size() > event_count * traffic_harness::large_event_bytes);
    CPPUNIT_ASSERT_EQUAL(1, calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_caller_test);

}  // namespace chestnuthead
