#include <optional>
#include <sstream>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/http_client.h"
#include "Traffic/traffic_bench.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

/// Servers that send bytes without end, which are no answer, until somebody closes.
class endless_bytes_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_bytes_test);
  CPPUNIT_TEST(an_endless_answer_of_an_endpoint_ends);
  CPPUNIT_TEST(an_endless_rejection_still_says_not_executed);
  CPPUNIT_TEST(an_endless_event_is_replaced_by_another_endpoint);
  CPPUNIT_TEST(events_that_were_not_passed_come_from_the_other_endpoint);
  CPPUNIT_TEST(bytes_that_trickle_end_with_the_time_out);
  CPPUNIT_TEST(a_stream_that_trickles_goes_on_at_another_endpoint);
  CPPUNIT_TEST(a_slow_stream_is_not_cut);
  CPPUNIT_TEST(an_endless_answer_of_a_service_ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_endless_answer_of_an_endpoint_ends() {
    const std::string error_head =
        "HTTP/1.1 500 Error\r\nAttempt-Id: p1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
    struct endless {
      std::string first;
      std::string then;
    };
    for (const endless& bytes : {
             endless{"HTTP/1.1 200 OK\r\nX-Note: ", std::string(4'096, 'a')},
             endless{"HTTP/1.1 200 OK\r\n", "X-Note: a\r\n"},
             endless{error_head, chunk},
             endless{error_head, std::string(4'096, '0')},
             endless{error_head + "0\r\n", "X-Trailer: a\r\n"},
             endless{"", std::string(4'096, 'z')},
         }) {
      traffic_bench bench;
      connection* open = nullptr;
      bench.plain->scripts = {[&open, &bytes](connection& caller) {
        open = &caller;
        caller.send(bytes.first);
      }};
      const auto caller = bench.connect();
      caller->send(traffic_bench::payment_bytes("p1"));
      CPPUNIT_ASSERT(bench.run_until([&] { return open != nullptr; }));
      CPPUNIT_ASSERT_MESSAGE(bytes.first, flood(bench, *open, bytes.then) < most_taken);
      CPPUNIT_ASSERT(bench.run_until([&] { return caller->has_answers(1); }));
      // It may have been executed, so nothing is promised.
      CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 502 "));
      CPPUNIT_ASSERT(!bench.state.requests_in_flight);
    }
  }

  void an_endless_rejection_still_says_not_executed() {
    traffic_bench bench;
    connection* open = nullptr;
    bench.plain->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send(
          "HTTP/1.1 503 Full\r\nAttempt-Id: p1\r\nNot-Executed: 1\r\n"
          "Transfer-Encoding: chunked\r\n\r\n");
    }};
    const auto caller = bench.connect();
    caller->send(traffic_bench::payment_bytes("p1"));
    CPPUNIT_ASSERT(bench.run_until([&] { return open != nullptr; }));
    const std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
    CPPUNIT_ASSERT(flood(bench, *open, chunk) < most_taken);
    CPPUNIT_ASSERT(bench.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
  }

  /// The event never ends, so the caller has nothing of the answer yet.
  void an_endless_event_is_replaced_by_another_endpoint() {
    traffic_bench bench(2);
    connection* open = nullptr;
    const auto endless = [&open](connection& caller) {
      open = &caller;
      caller.send(traffic_bench::stream_head("c1"));
    };
    const auto good = [](connection& caller) {
      caller.send(traffic_bench::stream_head("c1") + traffic_bench::event_chunk(1, 3) +
                  "0\r\n\r\n");
    };
    int asked = 0;
    const auto either = [&](connection& caller) {
      ++asked;
      asked == 1 ? endless(caller) : good(caller);
    };
    bench.endpoints[0]->scripts = {either};
    bench.endpoints[1]->scripts = {either};
    const auto caller = bench.connect();
    caller->send(traffic_bench::chat_bytes("c1"));
    CPPUNIT_ASSERT(bench.run_until([&] { return open != nullptr; }));
    const std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
    CPPUNIT_ASSERT(flood(bench, *open, chunk) < most_taken);
    CPPUNIT_ASSERT(bench.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_EQUAL(2, asked);
  }

  /// The first endpoint's events are out of order before any was passed on.
  void events_that_were_not_passed_come_from_the_other_endpoint() {
    traffic_bench bench(2);
    int asked = 0;
    const auto either = [&](connection& caller) {
      ++asked;
      const std::string broken =
          chunk_of(traffic_bench::events(1, 1) + traffic_bench::events(3, 3));
      const std::string sound = traffic_bench::event_chunk(1, 4);
      caller.send(traffic_bench::stream_head("c1") + (asked == 1 ? broken : sound) + "0\r\n\r\n");
    };
    bench.endpoints[0]->scripts = {either};
    bench.endpoints[1]->scripts = {either};
    const auto caller = bench.connect();
    caller->send(traffic_bench::chat_bytes("c1"));
    CPPUNIT_ASSERT(bench.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(2, asked);
    CPPUNIT_ASSERT_EQUAL(traffic_bench::events(1, 4), traffic_bench::unchunked(caller->bytes));
  }

  void bytes_that_trickle_end_with_the_time_out() {
    traffic_bench bench;
    auto map = gateway::test_services();
    map.routes[1].timeout = milliseconds{400};
    bench.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    connection* open = nullptr;
    bench.plain->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send("HTTP/1.1 200 OK\r\nX-Note: ");
    }};
    const auto caller = bench.connect();
    caller->send(traffic_bench::payment_bytes("p1"));
    CPPUNIT_ASSERT(bench.run_until([&] { return open != nullptr; }));
    steady_time next = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until([&] {
      if (!open->closed && bench.time.now() >= next) {
        open->send("a");
        next += milliseconds{20};
      }
      return caller->has_answers(1);
    }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 504 "));
    CPPUNIT_ASSERT(bench.run_until([&] { return open->closed; }));
  }

  /// Bytes of an event that never ends are no sign of life.
  void a_stream_that_trickles_goes_on_at_another_endpoint() {
    traffic_bench bench(2);
    connection* open = nullptr;
    int asked = 0;
    const auto either = [&](connection& caller) {
      ++asked;
      caller.send(traffic_bench::stream_head("c1"));
      if (asked == 1) {
        open = &caller;
        caller.send(traffic_bench::event_chunk(1, 2));
      } else {
        caller.send(traffic_bench::event_chunk(3, 4) + "0\r\n\r\n");
      }
    };
    bench.endpoints[0]->scripts = {either};
    bench.endpoints[1]->scripts = {either};
    const auto caller = bench.connect();
    caller->send(traffic_bench::chat_bytes("c1"));
    CPPUNIT_ASSERT(bench.run_until([&] { return open != nullptr; }));
    const steady_time began = bench.time.now();
    steady_time next = began;
    CPPUNIT_ASSERT(bench.run_until([&] {
      if (!open->closed && bench.time.now() >= next) {
        open->send("1\r\nd\r\n");
        next += milliseconds{50};
      }
      return caller->has_answers(1);
    }));
    CPPUNIT_ASSERT_EQUAL(2, asked);
    CPPUNIT_ASSERT_EQUAL(traffic_bench::events(1, 4), traffic_bench::unchunked(caller->bytes));
    CPPUNIT_ASSERT(bench.time.now() - began < milliseconds{3'000});
  }

  /// Each pause is shorter than the one after which an endpoint is taken for lost.
  void a_slow_stream_is_not_cut() {
    traffic_bench bench(2);
    connection* open = nullptr;
    bench.endpoints[0]->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send(traffic_bench::stream_head("c1"));
    }};
    bench.endpoints[1]->scripts = bench.endpoints[0]->scripts;
    const auto caller = bench.connect();
    caller->send(traffic_bench::chat_bytes("c1"));
    CPPUNIT_ASSERT(bench.run_until([&] { return open != nullptr; }));
    constexpr int last = 4;
    for (int event = 1; event <= last; ++event) {
      bench.run_for(milliseconds{700});
      CPPUNIT_ASSERT(!open->closed);
      open->send(traffic_bench::event_chunk(event, event));
    }
    open->send("0\r\n\r\n");
    CPPUNIT_ASSERT(bench.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(traffic_bench::events(1, last), traffic_bench::unchunked(caller->bytes));
  }

  /// As the platform's store is called.
  void an_endless_answer_of_a_service_ends() {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "10000\r\n" + std::string(65'536, 'x') + "\r\n";
    traffic_bench bench;
    connection* open = nullptr;
    bench.plain->scripts = {[&](connection& caller) {
      open = &caller;
      caller.send(head);
    }};
    traffic::http_client client(bench.loop, bench.time, bench.plain->address);
    std::optional<traffic::http_reply> reply;
    client.call({"GET", "/rows", {}, std::chrono::minutes{1}, std::chrono::minutes{1}},
                [&reply](const traffic::http_reply& got) { reply = got; });
    CPPUNIT_ASSERT(bench.run_until([&] { return open != nullptr; }));
    CPPUNIT_ASSERT(flood(bench, *open, chunk) < 2 * traffic::longest_reply_bytes);
    CPPUNIT_ASSERT(bench.run_until([&] { return reply.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(0, reply->status);
    CPPUNIT_ASSERT(!client.busy());
  }

 private:
  static std::string chunk_of(const std::string& bytes) {
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return chunk.str();
  }

  /// Bytes that a gateway may take from an endpoint that answers nothing: what it holds
  /// of an answer, and the buffers of two sockets.
  static constexpr std::size_t most_taken = 8U << 20U;

  /// Sends `bytes` again and again until the connection is closed, or far too many
  /// were taken; returns how many were sent.
  static std::size_t flood(traffic_bench& bench, connection& open, const std::string& bytes) {
    constexpr std::size_t far_too_many = 64U << 20U;
    std::size_t sent = 0;
    bench.run_until([&] {
      // No more in a round than a reader takes in one.
      constexpr std::size_t a_round = 65'536;
      for (std::size_t now = 0; now < a_round && !open.closed; now += bytes.size()) {
        open.send(bytes);
        sent += bytes.size();
      }
      return open.closed || sent >= far_too_many;
    });
    return sent;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_bytes_test);

}  // namespace chestnuthead
