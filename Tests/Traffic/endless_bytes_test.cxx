#include <optional>
#include <sstream>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/event_stream.h"
#include "Traffic/http_client.h"
#include "Traffic/traffic_harness.h"
#include "processor_time.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

/// Tests servers that send endless or very slow bytes that never form a complete answer.
class endless_bytes_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_bytes_test);
  CPPUNIT_TEST(endless_answer_of_an_endpoint_is_cancelled);
  CPPUNIT_TEST(endless_rejection_still_counts_as_not_executed);
  CPPUNIT_TEST(endless_event_is_retried_at_another_endpoint);
  CPPUNIT_TEST(endless_event_in_small_chunks_delays_no_other_request);
  CPPUNIT_TEST(endless_events_in_small_chunks_delay_no_other_request);
  CPPUNIT_TEST(events_not_forwarded_are_read_from_another_endpoint);
  CPPUNIT_TEST(trickling_answer_ends_with_the_route_timeout);
  CPPUNIT_TEST(trickling_stream_is_resumed_at_another_endpoint);
  CPPUNIT_TEST(slow_stream_is_not_cancelled);
  CPPUNIT_TEST(endless_reply_to_http_client_is_cancelled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void endless_answer_of_an_endpoint_is_cancelled() {
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
      traffic_harness harness;
      connection* open = nullptr;
      harness.plain->scripts = {[&open, &bytes](connection& caller) {
        open = &caller;
        caller.send(bytes.first);
      }};
      const auto caller = harness.connect();
      caller->send(traffic_harness::payment_bytes("p1"));
      CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
      CPPUNIT_ASSERT_MESSAGE(bytes.first, flood(harness, *open, bytes.then) < max_read_bytes);
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
      // The request may have been executed, so the status must not promise that it was not.
      CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 502 "));
      CPPUNIT_ASSERT(!harness.state.requests_in_flight);
    }
  }

  void endless_rejection_still_counts_as_not_executed() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send(
          "HTTP/1.1 503 Full\r\nAttempt-Id: p1\r\nNot-Executed: 1\r\n"
          "Transfer-Encoding: chunked\r\n\r\n");
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    const std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
    CPPUNIT_ASSERT(flood(harness, *open, chunk) < max_read_bytes);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
  }

  /// The event never ends, so nothing was forwarded to the caller and a retry is possible.
  void endless_event_is_retried_at_another_endpoint() {
    traffic_harness harness(2);
    connection* open = nullptr;
    const auto endless = [&open](connection& caller) {
      open = &caller;
      caller.send(traffic_harness::stream_head("c1"));
    };
    const auto good = [](connection& caller) {
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 3) +
                  "0\r\n\r\n");
    };
    int requests = 0;
    const auto first_or_second = [&](connection& caller) {
      ++requests;
      requests == 1 ? endless(caller) : good(caller);
    };
    harness.endpoints[0]->scripts = {first_or_second};
    harness.endpoints[1]->scripts = {first_or_second};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    const std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
    CPPUNIT_ASSERT(flood(harness, *open, chunk) < max_read_bytes);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_EQUAL(2, requests);
  }

  /// Guards against a gateway that reads nothing else for seconds while an event grows.
  void endless_event_in_small_chunks_delays_no_other_request() {
    check_others_are_served("2\r\nx\n\r\n");
  }

  /// The same with events that end.
  void endless_events_in_small_chunks_delay_no_other_request() {
    check_others_are_served("3\r\n:\n\n\r\n");
  }

  /// The first endpoint's events are out of order before any was forwarded.
  void events_not_forwarded_are_read_from_another_endpoint() {
    traffic_harness harness(2);
    int requests = 0;
    const auto first_or_second = [&](connection& caller) {
      ++requests;
      const std::string broken =
          chunk_of(traffic_harness::events(1, 1) + traffic_harness::events(3, 3));
      const std::string sound = traffic_harness::event_chunk(1, 4);
      caller.send(traffic_harness::stream_head("c1") + (requests == 1 ? broken : sound) +
                  "0\r\n\r\n");
    };
    harness.endpoints[0]->scripts = {first_or_second};
    harness.endpoints[1]->scripts = {first_or_second};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(2, requests);
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), traffic_harness::unchunked(caller->bytes));
  }

  void trickling_answer_ends_with_the_route_timeout() {
    traffic_harness harness;
    auto map = gateway::test_services();
    map.routes[1].timeout = milliseconds{400};
    harness.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send("HTTP/1.1 200 OK\r\nX-Note: ");
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    steady_time next = harness.time.now();
    CPPUNIT_ASSERT(harness.run_until([&] {
      if (!open->closed && harness.time.now() >= next) {
        open->send("a");
        next += milliseconds{20};
      }
      return caller->has_answers(1);
    }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 504 "));
    CPPUNIT_ASSERT(harness.run_until([&] { return open->closed; }));
  }

  /// Bytes of an event that never ends do not count as progress.
  void trickling_stream_is_resumed_at_another_endpoint() {
    traffic_harness harness(2);
    connection* open = nullptr;
    int requests = 0;
    const auto first_or_second = [&](connection& caller) {
      ++requests;
      caller.send(traffic_harness::stream_head("c1"));
      if (requests == 1) {
        open = &caller;
        caller.send(traffic_harness::event_chunk(1, 2));
      } else {
        caller.send(traffic_harness::event_chunk(3, 4) + "0\r\n\r\n");
      }
    };
    harness.endpoints[0]->scripts = {first_or_second};
    harness.endpoints[1]->scripts = {first_or_second};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    const steady_time began = harness.time.now();
    steady_time next = began;
    CPPUNIT_ASSERT(harness.run_until([&] {
      if (!open->closed && harness.time.now() >= next) {
        open->send("1\r\nd\r\n");
        next += milliseconds{50};
      }
      return caller->has_answers(1);
    }));
    CPPUNIT_ASSERT_EQUAL(2, requests);
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), traffic_harness::unchunked(caller->bytes));
    CPPUNIT_ASSERT(harness.time.now() - began < milliseconds{3'000});
  }

  /// Each pause is shorter than the silence after which a call is cancelled.
  void slow_stream_is_not_cancelled() {
    traffic_harness harness(2);
    connection* open = nullptr;
    harness.endpoints[0]->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send(traffic_harness::stream_head("c1"));
    }};
    harness.endpoints[1]->scripts = harness.endpoints[0]->scripts;
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    constexpr int last = 4;
    for (int event = 1; event <= last; ++event) {
      harness.run_for(milliseconds{700});
      CPPUNIT_ASSERT(!open->closed);
      open->send(traffic_harness::event_chunk(event, event));
    }
    open->send("0\r\n\r\n");
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, last),
                         traffic_harness::unchunked(caller->bytes));
  }

  /// Guards calls through `http_client`, such as those to the store.
  void endless_reply_to_http_client_is_cancelled() {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "10000\r\n" + std::string(65'536, 'x') + "\r\n";
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&](connection& caller) {
      open = &caller;
      caller.send(head);
    }};
    traffic::http_client client(harness.loop, harness.time, harness.plain->address);
    std::optional<traffic::http_reply> reply;
    client.call({"GET", "/rows", {}, std::chrono::minutes{1}, std::chrono::minutes{1}},
                [&reply](const traffic::http_reply& got) { reply = got; });
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    CPPUNIT_ASSERT(flood(harness, *open, chunk) < 2 * traffic::longest_reply_bytes);
    CPPUNIT_ASSERT(harness.run_until([&] { return reply.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(0, reply->status);
    CPPUNIT_ASSERT(!client.busy());
  }

 private:
  /// An endpoint sends `chunk` without end after some events, until it has sent twice as many
  /// bytes as an event may have. Payments are answered meanwhile.
  static void check_others_are_served(const std::string& chunk) {
    traffic_harness harness;
    connection* open = nullptr;
    harness.endpoints[0]->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
    }};
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    const auto reader = harness.connect();
    reader->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    std::string chunks;
    while (chunks.size() < 4'096) {
      chunks += chunk;
    }
    constexpr milliseconds longest_time{500};
    for (std::size_t sent = 0; sent < 2 * gateway::longest_event_bytes * chunk.size();) {
      const auto payer = harness.connect();
      payer->send(traffic_harness::payment_bytes("p1"));
      const milliseconds spent = processor_time_of([&] {
        CPPUNIT_ASSERT(harness.run_until([&] {
          for (int count = 0; count < 16 && !open->closed; ++count) {
            open->send(chunks);
            sent += chunks.size();
          }
          return payer->has_answers(1);
        }));
      });
      CPPUNIT_ASSERT_MESSAGE(std::to_string(spent.count()) + " ms", spent < longest_time);
      if (open->closed) {
        break;
      }
    }
  }

  static std::string chunk_of(const std::string& bytes) {
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return chunk.str();
  }

  /// Most bytes that a gateway may read from an endpoint that sends no valid answer: the part of
  /// an answer that it buffers, and the buffers of two sockets.
  static constexpr std::size_t max_read_bytes = 8U << 20U;

  /// Sends `bytes` repeatedly until the connection is closed or far too many were sent; returns
  /// how many were sent.
  static std::size_t flood(traffic_harness& harness, connection& open, const std::string& bytes) {
    constexpr std::size_t far_too_many = 64U << 20U;
    std::size_t sent = 0;
    harness.run_until([&] {
      // No more in a round than one read of the receiver.
      constexpr std::size_t bytes_per_round = 65'536;
      for (std::size_t now = 0; now < bytes_per_round && !open.closed; now += bytes.size()) {
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
