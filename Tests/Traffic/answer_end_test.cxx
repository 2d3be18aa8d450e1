#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using connection = scripted_endpoint::connection;

namespace {

const std::string last_chunk = "0\r\n\r\n";

/// The head of an answer with neither a length nor chunks: it ends with its connection.
std::string unframed_head(const std::string& id, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s1\r\n\r\n";
}

/// An event without its end, as one chunk.
std::string broken_event_chunk() {
  return "9\r\nid: 3\ndat\r\n";
}

}  // namespace

/// Tests how the end of an endpoint's answer is recognised.
class answer_end_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_end_test);
  CPPUNIT_TEST(unframed_answer_is_whole_when_its_connection_ends);
  CPPUNIT_TEST(unframed_answer_is_not_whole_when_its_connection_is_reset);
  CPPUNIT_TEST(unframed_error_answer_is_forwarded);
  CPPUNIT_TEST(unframed_stream_is_whole_when_its_connection_ends);
  CPPUNIT_TEST(unframed_stream_that_ends_inside_an_event_is_resumed);
  CPPUNIT_TEST(chunked_stream_that_ends_inside_an_event_is_resumed);
  CPPUNIT_TEST(stream_that_ends_inside_an_event_does_not_look_complete);
  CPPUNIT_TEST_SUITE_END();

 public:
  void unframed_answer_is_whole_when_its_connection_ends() {
    CPPUNIT_ASSERT(payment_answer([](connection& caller) {
                     caller.send(unframed_head("p1") + "paid");
                     caller.finish();
                   }).ends_with("Content-Length: 4\r\n\r\npaid"));
  }

  void unframed_answer_is_not_whole_when_its_connection_is_reset() {
    CPPUNIT_ASSERT(payment_answer([](connection& caller) {
                     caller.send(unframed_head("p1") + "pa");
                     caller.reset();
                   }).starts_with("HTTP/1.1 502 "));
  }

  void unframed_error_answer_is_forwarded() {
    const std::string answer = payment_answer([](connection& caller) {
      caller.send(unframed_head("p1", "500 Internal Server Error") + "lost");
      caller.finish();
    });
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 500 "));
    CPPUNIT_ASSERT(answer.ends_with("\r\n\r\nlost"));
  }

  void unframed_stream_is_whole_when_its_connection_ends() {
    traffic_harness harness(1);
    const auto caller = stream_of(harness, [](connection& endpoint) {
      endpoint.send(unframed_head("c1") + traffic_harness::events(1, 3));
      endpoint.finish();
    });
    CPPUNIT_ASSERT(caller->has_answers(1));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 3), traffic_harness::unchunked(caller->bytes));
  }

  void unframed_stream_that_ends_inside_an_event_is_resumed() {
    check_resumed([](connection& endpoint) {
      endpoint.send(unframed_head("c1") + traffic_harness::events(1, 2) + "id: 3\ndat");
      endpoint.finish();
    });
  }

  void chunked_stream_that_ends_inside_an_event_is_resumed() {
    check_resumed([](connection& endpoint) {
      endpoint.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2) +
                    broken_event_chunk() + last_chunk);
    });
  }

  void stream_that_ends_inside_an_event_does_not_look_complete() {
    traffic_harness harness(1);
    const auto caller = stream_of(harness, [](connection& endpoint) {
      endpoint.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2) +
                    broken_event_chunk() + last_chunk);
    });
    CPPUNIT_ASSERT(caller->ended);
    CPPUNIT_ASSERT(!caller->has_answers(1));
  }

 private:
  static std::string payment_answer(const scripted_endpoint::script& script) {
    traffic_harness harness;
    harness.plain->scripts = {script};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    return caller->bytes;
  }

  /// Plays a chat whose first endpoint runs the script, until it is answered or cut.
  static std::unique_ptr<test_caller> stream_of(traffic_harness& harness,
                                                const scripted_endpoint::script& script) {
    harness.endpoints[0]->scripts = {script};
    auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    return caller;
  }

  /// The stream breaks off after two events at the first endpoint, and goes on at the second.
  static void check_resumed(const scripted_endpoint::script& first) {
    traffic_harness harness(2);
    int calls = 0;
    const auto in_turn = [&calls, &first](connection& endpoint) {
      if (calls++ == 0) {
        first(endpoint);
      } else {
        endpoint.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(3, 4) +
                      last_chunk);
      }
    };
    harness.endpoints[1]->scripts = {in_turn};
    const auto caller = stream_of(harness, in_turn);
    CPPUNIT_ASSERT_EQUAL(2, calls);
    CPPUNIT_ASSERT(caller->has_answers(1));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), traffic_harness::unchunked(caller->bytes));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_end_test);

}  // namespace chestnuthead
