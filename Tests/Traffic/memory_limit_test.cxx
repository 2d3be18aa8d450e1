#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using overload::memory_use;
using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

constexpr std::size_t megabyte = 1'048'576;

/// The head of a payment with these framing headers.
std::string payment_head(const std::string& id, const std::string& framing) {
  return "POST /pay/1 HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: " + id +
         "\r\nApi-Key: key-1\r\nDeadline-Ms: 4000\r\n" + framing + "\r\n\r\n";
}

std::string payment_of(const std::string& id, std::size_t bytes) {
  return payment_head(id, "Content-Length: " + std::to_string(bytes)) + std::string(bytes, 'x');
}

/// A payment whose chunked body stops just short of its end.
std::string unfinished_payment(const std::string& id, std::size_t megabytes) {
  std::string bytes = payment_head(id, "Transfer-Encoding: chunked");
  for (std::size_t count = 0; count < megabytes; ++count) {
    bytes += "100000\r\n" + std::string(megabyte, 'x') + "\r\n";
  }
  return bytes;
}

void answer_all(scripted_endpoint& endpoint) {
  endpoint.scripts = {[&endpoint](connection& caller) {
    const std::string* id = find_field(endpoint.requests.back().head, "Attempt-Id");
    caller.send(traffic_harness::answer_bytes(*id, "paid"));
  }};
}

std::size_t held(const traffic_harness& harness, memory_use use) {
  return harness.state.memory.held.at(static_cast<std::size_t>(use));
}

}  // namespace

/// Tests the limits on what a gateway holds for callers.
class memory_limit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(memory_limit_test);
  CPPUNIT_TEST(account_matches_a_recount);
  CPPUNIT_TEST(largest_body_is_served_on_the_smallest_vm);
  CPPUNIT_TEST(stalled_body_gives_way_to_a_complete_one);
  CPPUNIT_TEST(body_over_the_limit_is_refused_and_not_kept);
  CPPUNIT_TEST(requests_ahead_are_read_only_as_far_as_needed);
  CPPUNIT_TEST(idle_connections_give_way_to_new_ones);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// An error in the running sums would grow without bound.
  void account_matches_a_recount() {
    traffic_harness harness;
    harness.endpoints[0]->scripts = {[](connection& caller) {
      caller.send(traffic_harness::stream_head("c1"));
      for (int number = 1; number <= 200; ++number) {
        caller.send(traffic_harness::large_event_chunk(number));
      }
    }};
    const auto silent = harness.connect();
    const auto in_head = harness.connect();
    in_head->send("GET /pay/1 HTTP/1.1\r\nHost: chats.example\r\nX-Note: " +
                  std::string(5'000, 'a'));
    const auto in_body = harness.connect();
    in_body->send(unfinished_payment("p1", 2));
    const auto reader = harness.connect();
    reader->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return !reader->bytes.empty(); }));
    reader->pause(true);
    harness.run_for(milliseconds{300});
    auto expected = harness.server->recount();
    expected.at(static_cast<std::size_t>(memory_use::connection)) +=
        harness.links.open_count() * overload::connection_cost;
    for (std::size_t use = 0; use < overload::memory_use_count; ++use) {
      const char* name = name_of(static_cast<memory_use>(use));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected.at(use), harness.state.memory.held.at(use));
    }
    CPPUNIT_ASSERT(held(harness, memory_use::unparsed_input) > 5'000);
    CPPUNIT_ASSERT(held(harness, memory_use::incoming_body) >= 2 * megabyte);
    CPPUNIT_ASSERT(held(harness, memory_use::caller_output) > 0);
    for (test_caller* caller : {silent.get(), in_head.get(), in_body.get(), reader.get()}) {
      caller->close();
    }
    CPPUNIT_ASSERT(harness.run_until([&] { return held_total(harness.state.memory) == 0; }));
  }

  void largest_body_is_served_on_the_smallest_vm() {
    traffic_harness harness;
    set_limits(harness.state.memory, 16, 64);
    note_resident(harness.state.memory, 16 * megabyte);
    answer_all(*harness.plain);
    const auto caller = harness.connect();
    caller->send(payment_of("p1", 4 * megabyte));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_EQUAL(4 * megabyte, harness.plain->requests.back().body.size());
  }

  void stalled_body_gives_way_to_a_complete_one() {
    traffic_harness harness;
    set_limits(harness.state.memory, 16, 64);
    answer_all(*harness.plain);
    const auto stalled = harness.connect();
    stalled->send(unfinished_payment("p1", 3));
    harness.run_for(2 * overload::progress_window);
    const auto caller = harness.connect();
    caller->send(payment_of("p2", 2 * megabyte));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(harness.run_until([&] { return stalled->has_answers(1); }));
    CPPUNIT_ASSERT_MESSAGE(stalled->bytes, stalled->bytes.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(stalled->bytes.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.plain->requests.size());
    CPPUNIT_ASSERT(harness.run_until([&] { return stalled->ended; }));
  }

  void body_over_the_limit_is_refused_and_not_kept() {
    for (const std::string& bytes :
         {unfinished_payment("p1", 5), payment_head("p1", "Content-Length: 9000000")}) {
      traffic_harness harness;
      const auto caller = harness.connect();
      caller->send(bytes);
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
      CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 413 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held(harness, memory_use::incoming_body));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held(harness, memory_use::unparsed_input));
    }
  }

  /// A caller could make the gateway hold any number of requests behind one that takes long.
  void requests_ahead_are_read_only_as_far_as_needed() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {
        [&open](connection& caller) { open = &caller; },
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    const auto caller = harness.connect();
    constexpr int requests = 400;
    for (int count = 0; count < requests; ++count) {
      caller->send(payment_of("p1", 20'000));
    }
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    harness.run_for(milliseconds{200});
    CPPUNIT_ASSERT(held(harness, memory_use::unparsed_input) <= 2 * overload::small_body);
    open->send(traffic_harness::answer_bytes("p1", "paid"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(requests); }));
  }

  void idle_connections_give_way_to_new_ones() {
    traffic_harness harness;
    set_limits(harness.state.memory, 160, 64);
    answer_all(*harness.plain);
    std::vector<std::unique_ptr<test_caller>> idle;
    for (int count = 0; count < 40; ++count) {
      idle.push_back(harness.connect());
      harness.run_for(milliseconds{5});
    }
    CPPUNIT_ASSERT(harness.run_until([&] { return idle.front()->ended; }));
    CPPUNIT_ASSERT(!idle.back()->ended);
    const auto caller = harness.connect();
    caller->send(payment_of("p1", 3));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 200 "));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_limit_test);

}  // namespace chestnuthead
