#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

/// More than the kernel's buffers of both sockets hold, so that a part of the upload waits in the
/// gateway while the endpoint does not read.
constexpr std::size_t upload_bytes = 12'000'000;

/// A 200 with neither a length nor chunks, and a first part of its body.
std::string unframed_part() {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: p1\r\nResponse-Signature: s1\r\n\r\n" +
         std::string(1'000, 'a');
}

}  // namespace

/// Tests answers that an endpoint begins while the request is still being written to it. The
/// request is not idempotent.
class early_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(early_answer_test);
  CPPUNIT_TEST(unframed_answer_is_not_whole_when_the_upload_is_reset);
  CPPUNIT_TEST(unframed_answer_is_not_whole_when_the_upload_times_out);
  CPPUNIT_TEST(framed_answer_ends_with_its_framing_when_the_upload_is_reset);
  CPPUNIT_TEST(unframed_answer_is_whole_when_it_is_closed_before_the_reset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void unframed_answer_is_not_whole_when_the_upload_is_reset() {
    check_outcome_unknown(unframed_part(), reset);
  }

  /// The kernel ends a connection whose peer takes nothing for three seconds.
  void unframed_answer_is_not_whole_when_the_upload_times_out() {
    check_outcome_unknown(unframed_part(), [](connection&) {});
  }

  void framed_answer_ends_with_its_framing_when_the_upload_is_reset() {
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: p1\r\nResponse-Signature: s1\r\n";
    check_outcome_unknown(head + "Content-Length: 5\r\n\r\npaid", reset);
    check_outcome_unknown(head + "Transfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n", reset);
    const std::string whole = answer_to_upload(head + "Content-Length: 4\r\n\r\npaid", reset);
    CPPUNIT_ASSERT(whole.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(whole.ends_with("\r\n\r\npaid"));
  }

  void unframed_answer_is_whole_when_it_is_closed_before_the_reset() {
    const std::string answer = answer_to_upload(unframed_part(), [](connection& endpoint) {
      endpoint.finish();
      endpoint.reset();
    });
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\n" + std::string(1'000, 'a')));
  }

 private:
  static void reset(connection& endpoint) {
    endpoint.reset();
  }

  /// Returns what the caller of an upload gets if its endpoint, while bytes of the upload still
  /// wait in the gateway, sends `answer` and after a pause does `end`.
  static std::string answer_to_upload(const std::string& answer,
                                      const scripted_endpoint::script& end) {
    traffic_harness harness;
    set_limits(harness);
    connection* open = nullptr;
    int requests = 0;
    harness.plain->on_request_head = [&](connection& endpoint) {
      ++requests;
      open = &endpoint;
    };
    const auto caller = harness.connect();
    caller->send(upload());
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    harness.run_for(milliseconds{150});
    CPPUNIT_ASSERT(waiting_bytes(harness) > 1'000'000);
    open->send(answer);
    harness.run_for(milliseconds{150});
    CPPUNIT_ASSERT(waiting_bytes(harness) > 1'000'000 || caller->has_answers(1));
    end(*open);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(1, requests);
    return caller->bytes;
  }

  static void check_outcome_unknown(const std::string& answer,
                                    const scripted_endpoint::script& end) {
    const std::string got = answer_to_upload(answer, end);
    CPPUNIT_ASSERT_MESSAGE(got, got.starts_with("HTTP/1.1 502 "));
  }

  static void set_limits(traffic_harness& harness) {
    auto map = gateway::test_services();
    map.limits.body_bytes = 2 * upload_bytes;
    map.routes[1].timeout = std::chrono::seconds{8};
    harness.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    harness.links.count_memory(harness.state.memory);
  }

  /// Bytes of requests that the kernel has not accepted.
  static std::size_t waiting_bytes(const traffic_harness& harness) {
    return harness.state.memory.held.at(
        static_cast<std::size_t>(overload::memory_use::endpoint_output));
  }

  static std::string upload() {
    return "POST /pay/1 HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: p1\r\nApi-Key: key-1\r\n"
           "Deadline-Ms: 8000\r\nContent-Length: " +
           std::to_string(upload_bytes) + "\r\n\r\n" + std::string(upload_bytes, 'x');
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_answer_test);

}  // namespace chestnuthead
