#include <algorithm>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

const std::string crashing_part = "bad0";
constexpr int engines = 8;
constexpr int crashing_requests = 30;

bool has_crashing_part(const scripted_endpoint::request& received) {
  const std::string* prompt = find_field(received.head, "Prefix-Hash");
  return prompt != nullptr && prompt->find(crashing_part) != std::string::npos;
}

/// A chat whose prompt has the given second part; `number` makes the request unique.
std::string chat_with_part(const std::string& part, int number) {
  const std::string id = part + "-" + std::to_string(number);
  const std::string body = "turn " + std::to_string(number);
  return "POST /chat/1?turn=" + std::to_string(number) +
         " HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: " + id +
         "\r\nApi-Key: key-1\r\nDeadline-Ms: 8000\r\nToken-Usage: 100,20\r\nPrefix-Hash: 5c1e:40," +
         part + ":40," + std::to_string(1'000 + number) +
         ":20\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Breaks the connection after the head of an answer to a request with the crashing part, and
/// answers other requests and health checks.
void serve(const scripted_endpoint& endpoint, connection& caller) {
  const scripted_endpoint::request& received = endpoint.requests.back();
  const std::string* id = find_field(received.head, "Attempt-Id");
  if (has_crashing_part(received)) {
    caller.send(traffic_harness::stream_head(*id));
    caller.reset();
  } else if (id == nullptr) {
    caller.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  } else {
    caller.send(traffic_harness::stream_head(*id) + traffic_harness::event_chunk(1, 3) +
                "0\r\n\r\n");
  }
}

}  // namespace

/// Tests what reaches endpoints when one prompt part crashes them.
class crashing_part_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crashing_part_test);
  CPPUNIT_TEST(part_that_crashes_endpoints_is_not_sent_to_each_of_them);
  CPPUNIT_TEST(waiting_request_is_withdrawn_when_its_part_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void part_that_crashes_endpoints_is_not_sent_to_each_of_them() {
    traffic_harness harness(engines);
    this->script_engines(harness);
    std::vector<std::unique_ptr<test_caller>> sound;
    std::vector<std::unique_ptr<test_caller>> crashing;
    for (int number = 0; number < crashing_requests; ++number) {
      crashing.push_back(send(harness, chat_with_part(crashing_part, number)));
      sound.push_back(send(harness, chat_with_part("a" + std::to_string(number % 3), number)));
      harness.run_for(milliseconds{60});
    }
    const auto is_served = [](const auto& caller) {
      return caller->has_answers(1) && caller->bytes.starts_with("HTTP/1.1 200 ");
    };
    harness.run_for(milliseconds{500});
    // Three crashes decide; each request is sent twice at most, and one more is in flight.
    const int allowed = 8;
    const int sent = this->count_crashing(harness);
    CPPUNIT_ASSERT_MESSAGE("sent " + std::to_string(sent), sent <= allowed);
    const std::string log = harness.take_log();
    CPPUNIT_ASSERT(log.find("\"request_part_refused\"") != std::string::npos);
    CPPUNIT_ASSERT(log.find("\"prompt_part_suspected\"") != std::string::npos);
    CPPUNIT_ASSERT(log.find("\"refused_part\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(sound.size(), static_cast<std::size_t>(
                                           std::count_if(sound.begin(), sound.end(), is_served)));
  }

  void waiting_request_is_withdrawn_when_its_part_is_refused() {
    traffic_harness harness(1);
    scripted_endpoint& engine = *harness.endpoints[0];
    engine.scripts = {[](connection& /*caller*/) {}};
    const auto waiting = send(harness, chat_with_part(crashing_part, 1));
    CPPUNIT_ASSERT(harness.run_until([&] { return engine.requests.size() == 1; }));
    adopt_refusal(harness.state.parts, hash_text(crashing_part), harness.time.now());
    CPPUNIT_ASSERT(harness.run_until([&] { return waiting->has_answers(1); }));
    // It may have been executed, so it is not reported as not run.
    CPPUNIT_ASSERT(waiting->bytes.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(harness.run_until([&] { return engine.connections[0]->closed; }));
    const auto next = send(harness, chat_with_part(crashing_part, 2));
    CPPUNIT_ASSERT(harness.run_until([&] { return next->has_answers(1); }));
    CPPUNIT_ASSERT(next->bytes.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(next->bytes.find("Retry-After: 60") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.requests.size());
  }

 private:
  static void script_engines(traffic_harness& harness) {
    for (int engine = 0; engine < engines; ++engine) {
      scripted_endpoint& endpoint = *harness.endpoints[static_cast<std::size_t>(engine)];
      endpoint.scripts = {[&endpoint](connection& caller) { serve(endpoint, caller); }};
    }
  }

  static std::unique_ptr<test_caller> send(traffic_harness& harness, const std::string& bytes) {
    std::unique_ptr<test_caller> caller = harness.connect();
    caller->send(bytes);
    return caller;
  }

  /// Requests with the crashing part that reached an engine.
  static int count_crashing(const traffic_harness& harness) {
    std::ptrdiff_t sent = 0;
    for (const auto& endpoint : harness.endpoints) {
      sent +=
          std::count_if(endpoint->requests.begin(), endpoint->requests.end(), has_crashing_part);
    }
    return static_cast<int>(sent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_part_test);

}  // namespace chestnuthead
