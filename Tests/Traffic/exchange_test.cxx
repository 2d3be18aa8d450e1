#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

const std::string last_chunk = "0\r\n\r\n";

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string pause_answer(const std::string& id) {
  return "HTTP/1.1 503 Busy\r\nAttempt-Id: " + id +
         "\r\nNot-Executed: 1\r\nRetry-After: 6\r\nContent-Length: 0\r\n\r\n";
}

/// A rejection by an endpoint whose queue is full.
std::string full_answer(const std::string& id) {
  return "HTTP/1.1 503 Busy\r\nAttempt-Id: " + id +
         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

/// Tests requests end to end: what a caller and an endpoint receive over loopback sockets.
class exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(exchange_test);
  CPPUNIT_TEST(answer_is_forwarded_unchanged);
  CPPUNIT_TEST(reserved_caller_headers_are_not_forwarded);
  CPPUNIT_TEST(endpoint_connection_is_reused);
  CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
  CPPUNIT_TEST(stream_is_forwarded_event_by_event);
  CPPUNIT_TEST(broken_stream_is_resumed_at_another_endpoint);
  CPPUNIT_TEST(stream_that_cannot_be_resumed_ends_incomplete);
  CPPUNIT_TEST(rejected_payment_is_retried_at_another_endpoint);
  CPPUNIT_TEST(leaving_endpoint_receives_no_new_requests);
  CPPUNIT_TEST(paused_endpoint_receives_no_requests);
  CPPUNIT_TEST(paused_pool_answers_with_retry_after);
  CPPUNIT_TEST(payment_with_broken_answer_is_not_retried);
  CPPUNIT_TEST(rejection_without_not_executed_header_is_not_reported_as_not_run);
  CPPUNIT_TEST(unsigned_success_is_not_forwarded);
  CPPUNIT_TEST(answer_to_another_request_is_skipped);
  CPPUNIT_TEST(bytes_after_an_answer_close_the_connection);
  CPPUNIT_TEST(truncated_answer_is_not_forwarded);
  CPPUNIT_TEST(idle_connections_are_not_reused_after_a_reset);
  CPPUNIT_TEST(endpoint_call_is_cancelled_when_the_caller_disconnects);
  CPPUNIT_TEST(cancelled_request_resets_the_endpoint_connection);
  CPPUNIT_TEST(request_of_a_disconnected_caller_is_not_sent);
  CPPUNIT_TEST(route_timeout_is_answered_with_504);
  CPPUNIT_TEST(endpoint_is_suspected_after_a_second_without_an_answer);
  CPPUNIT_TEST(concurrent_health_checks_are_limited);
  CPPUNIT_TEST(missing_endpoint_is_reported_at_once);
  CPPUNIT_TEST(request_smuggling_is_rejected);
  CPPUNIT_TEST(request_with_an_invalid_chunk_is_rejected);
  CPPUNIT_TEST(graceful_shutdown_finishes_requests_in_progress);
  CPPUNIT_TEST(callers_during_graceful_shutdown_get_an_answer);
  CPPUNIT_TEST(pending_request_is_read_before_the_idle_timeout);
  CPPUNIT_TEST(request_in_the_socket_is_answered_before_the_idle_timeout_closes_its_connection);
  CPPUNIT_TEST(request_in_the_socket_is_answered_before_a_stop_closes_its_connection);
  CPPUNIT_TEST(request_on_a_new_connection_is_answered_before_a_stop_closes_it);
  CPPUNIT_TEST(rest_of_a_request_in_the_socket_is_read_before_the_request_times_out);
  CPPUNIT_TEST(silent_stream_is_not_cut_if_no_other_endpoint_can_resume_it);
  CPPUNIT_TEST(silent_stream_is_not_cut_if_the_retry_budget_is_used_up);
  CPPUNIT_TEST(silent_call_is_not_failed_if_no_other_endpoint_can_take_it);
  CPPUNIT_TEST(silent_stream_is_not_cut_if_the_other_endpoint_refuses_connections);
  CPPUNIT_TEST(silent_stream_is_resumed_at_another_endpoint);
  CPPUNIT_TEST(stream_is_not_cut_at_once_if_its_new_endpoint_rejects_it);
  CPPUNIT_TEST(stream_without_any_endpoint_is_cut_after_a_bounded_wait);
  CPPUNIT_TEST(endpoint_that_was_only_held_ready_can_take_the_request_later);
  CPPUNIT_TEST(held_connection_that_its_endpoint_closes_is_no_fault);
  CPPUNIT_TEST(held_connection_is_not_used_after_its_address_has_changed);
  CPPUNIT_TEST(log_names_the_obstacle_to_a_resend);
  CPPUNIT_TEST_SUITE_END();

 public:
  void answer_is_forwarded_unchanged() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(contains(caller->bytes, "Response-Signature: s1\r\n"));
    CPPUNIT_ASSERT(contains(caller->bytes, "Attempt-Id: p1\r\n"));
    CPPUNIT_ASSERT(!contains(caller->bytes, "Instance-Load"));
    CPPUNIT_ASSERT(caller->bytes.ends_with("\r\n\r\npaid"));
  }

  void reserved_caller_headers_are_not_forwarded() {
    traffic_harness harness;
    harness.endpoints[0]->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("c1", "x")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes(
        "c1",
        "Tenant: thief\r\nExpect-Instance: other\r\nHold: h\r\nPin-Ms: 5\r\n"
        "Kv-From: 1.2.3.4:5/x\r\nKv-Backup: 1.2.3.4:5\r\nRequest-Priority: 0\r\n"
        "X-Note: kept\r\nX-Hop: gone\r\nConnection: X-Hop\r\n"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    const auto& asked = harness.endpoints[0]->requests.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("/chat/1?q=2"), asked.head.target);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), asked.body);
    CPPUNIT_ASSERT_EQUAL(std::string("schools"), *find_field(asked.head, "Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("engine-0"), *find_field(asked.head, "Expect-Instance"));
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), *find_field(asked.head, "X-Note"));
    CPPUNIT_ASSERT(std::stoi(*find_field(asked.head, "Deadline-Ms")) <= 8'000);
    for (const char* name : {"Api-Key", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup",
                             "Request-Priority", "X-Hop", "Last-Event-Id"}) {
      CPPUNIT_ASSERT_MESSAGE(name, find_field(asked.head, name) == nullptr);
    }
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(std::count_if(
                                asked.head.fields.begin(), asked.head.fields.end(),
                                [](const auto& field) { return field.first == "Tenant"; })));
  }

  void endpoint_connection_is_reused() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "one")); },
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p2", "two")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    caller->send(traffic_harness::payment_bytes("p2"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.plain->connections.size());
  }

  void pipelined_requests_are_answered_in_order() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "one")); },
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p2", "two")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1") + traffic_harness::payment_bytes("p2"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2); }));
    CPPUNIT_ASSERT(caller->bytes.find("one") < caller->bytes.find("two"));
  }

  void stream_is_forwarded_event_by_event() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.endpoints[0]->scripts = {[&open](connection& caller) {
      open = &caller;
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    const auto passed = [&] { return traffic_harness::unchunked(caller->bytes); };
    CPPUNIT_ASSERT(harness.run_until([&] { return passed() == traffic_harness::events(1, 2); }));
    open->send(traffic_harness::event_chunk(3, 3) + last_chunk);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 3), passed());
  }

  void broken_stream_is_resumed_at_another_endpoint() {
    traffic_harness harness(2);
    const auto first = [](connection& caller) {
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2) +
                  "9\r\nid: 3\ndat");
      caller.finish();
    };
    const auto second = [](connection& caller) {
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(3, 4) +
                  last_chunk);
    };
    const auto in_turn = [&, turn = 0](connection& caller) mutable {
      turn++ == 0 ? first(caller) : second(caller);
    };
    // The endpoint that receives the first request breaks off its answer.
    auto shared = std::make_shared<scripted_endpoint::script>(in_turn);
    for (int engine = 0; engine < 2; ++engine) {
      harness.endpoints[static_cast<std::size_t>(engine)]->scripts = {
          [shared](connection& caller) { (*shared)(caller); }};
    }
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), traffic_harness::unchunked(caller->bytes));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.endpoints[0]->requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.endpoints[1]->requests.size());
    const bool first_asked = find_field(harness.endpoints[0]->requests[0].head, "Last-Event-Id");
    const auto& resumed = harness.endpoints[first_asked ? 0 : 1]->requests[0];
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *find_field(resumed.head, "Last-Event-Id"));
  }

  void stream_that_cannot_be_resumed_ends_incomplete() {
    traffic_harness harness(1);
    harness.endpoints[0]->scripts = {[](connection& caller) {
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
      caller.reset();
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->ended; }));
    CPPUNIT_ASSERT(!caller->bytes.ends_with(last_chunk));
    CPPUNIT_ASSERT(!caller->has_answers(1));
  }

  void rejected_payment_is_retried_at_another_endpoint() {
    traffic_harness harness;
    auto& other = add_plain_endpoint(harness);
    const auto reject = [](connection& caller) {
      caller.send(
          "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const auto pay = [](connection& caller) {
      caller.send(traffic_harness::answer_bytes("p1", "paid"));
    };
    const auto shared = std::make_shared<int>(0);
    for (auto* endpoint : {harness.plain, &other}) {
      endpoint->scripts = {
          [=](connection& caller) { (*shared)++ == 0 ? reject(caller) : pay(caller); }};
    }
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.ends_with("paid"));
  }

  /// A stream that is in progress at the leaving endpoint continues to its end.
  void leaving_endpoint_receives_no_new_requests() {
    traffic_harness harness(2);
    connection* open = nullptr;
    const auto leaving = [&open](connection& caller) {
      open = &caller;
      std::string head = traffic_harness::stream_head("c1");
      head.insert(head.find("\r\n") + 2, "Server-Leaving: 1\r\n");
      caller.send(head + traffic_harness::event_chunk(1, 1));
    };
    const auto good = [](connection& caller) {
      caller.send(traffic_harness::stream_head("c2") + traffic_harness::event_chunk(1, 3) +
                  last_chunk);
    };
    for (int engine = 0; engine < 2; ++engine) {
      harness.endpoints[engine]->scripts = {leaving};
    }
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(
        harness.run_until([&] { return !traffic_harness::unchunked(caller->bytes).empty(); }));
    CPPUNIT_ASSERT(!contains(caller->bytes, "Server-Leaving"));
    const std::size_t left = harness.endpoints[0]->requests.empty() ? 1 : 0;
    scripted_endpoint& other = *harness.endpoints[1 - left];
    other.scripts = {good};
    for (int round = 0; round < 5; ++round) {
      const auto next = harness.connect();
      next->send(traffic_harness::chat_bytes("c2"));
      CPPUNIT_ASSERT(harness.run_until([&] { return next->has_answers(1); }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, other.requests.size());
    open->send(traffic_harness::event_chunk(2, 3) + last_chunk);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 3), traffic_harness::unchunked(caller->bytes));
    CPPUNIT_ASSERT(contains(harness.take_log(), "endpoint_leaving"));
  }

  void paused_endpoint_receives_no_requests() {
    traffic_harness harness(2);
    const auto good = [](connection& caller) {
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 3) +
                  last_chunk);
    };
    for (int engine = 0; engine < 2; ++engine) {
      harness.endpoints[engine]->scripts = {[&harness, good, engine](connection& caller) {
        harness.endpoints[1 - engine]->scripts = {good};
        caller.send(pause_answer("c1"));
      }};
    }
    for (int round = 0; round < 6; ++round) {
      const auto caller = harness.connect();
      caller->send(traffic_harness::chat_bytes("c1"));
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
      CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 200 "));
    }
    const std::size_t one = harness.endpoints[0]->requests.size();
    const std::size_t two = harness.endpoints[1]->requests.size();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::min(one, two));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, std::max(one, two));
  }

  void paused_pool_answers_with_retry_after() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& caller) { caller.send(pause_answer("p1")); }};
    for (int round = 0; round < 3; ++round) {
      const auto caller = harness.connect();
      caller->send(traffic_harness::payment_bytes("p1"));
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
      CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
      const std::size_t at = caller->bytes.find("Retry-After: ");
      CPPUNIT_ASSERT(at != std::string::npos);
      const double told = std::stod(caller->bytes.substr(at + std::string("Retry-After: ").size()));
      CPPUNIT_ASSERT_MESSAGE(caller->bytes, told > 5.5 && told < 9.0);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.plain->requests.size());
  }

  void payment_with_broken_answer_is_not_retried() {
    traffic_harness harness;
    auto& other = add_plain_endpoint(harness);
    for (auto* endpoint : {harness.plain, &other}) {
      endpoint->scripts = {[](connection& caller) { caller.reset(); }};
    }
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(!contains(caller->bytes, "Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.plain->requests.size() + other.requests.size());
  }

  void rejection_without_not_executed_header_is_not_reported_as_not_run() {
    for (const char* status : {"503 Service Unavailable", "429 Too Many Requests"}) {
      traffic_harness harness;
      harness.plain->scripts = {[status](connection& caller) {
        caller.send("HTTP/1.1 " + std::string(status) +
                    "\r\nResponse-Signature: s1\r\nContent-Length: 0\r\n\r\n");
      }};
      const auto caller = harness.connect();
      caller->send(traffic_harness::payment_bytes("p1"));
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
      CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 502 "));
      CPPUNIT_ASSERT(!contains(caller->bytes, "Response-Signature"));
    }
  }

  void unsigned_success_is_not_forwarded() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& caller) {
      caller.send("HTTP/1.1 200 OK\r\nAttempt-Id: p1\r\nContent-Length: 4\r\n\r\nfake");
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(!contains(caller->bytes, "fake"));
  }

  void answer_to_another_request_is_skipped() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& caller) {
      caller.send(traffic_harness::answer_bytes("p0", "old") +
                  traffic_harness::answer_bytes("p1", "mine"));
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.ends_with("mine"));
    CPPUNIT_ASSERT(!contains(caller->bytes, "old"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->connections[0]->closed; }));
  }

  void bytes_after_an_answer_close_the_connection() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& caller) {
      caller.send(traffic_harness::answer_bytes("p1", "paid") + "HTTP/1.1 200 OK\r\n");
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.ends_with("paid"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->connections[0]->closed; }));
  }

  void truncated_answer_is_not_forwarded() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& caller) {
      std::string bytes = traffic_harness::answer_bytes("p1", "paid");
      bytes.pop_back();
      caller.send(bytes);
      caller.finish();
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 502 "));
  }

  /// An endpoint that silently drops idle connections resets the next request on one. After the
  /// first reset, later requests use new connections.
  void idle_connections_are_not_reused_after_a_reset() {
    traffic_harness harness;
    const auto answer = [](const std::string& id) {
      return [id](connection& caller) { caller.send(traffic_harness::answer_bytes(id, id)); };
    };
    harness.plain->scripts = {answer("p1"), [](connection& caller) { caller.reset(); },
                              answer("p3"), answer("p4")};
    const auto caller = harness.connect();
    int answers = 0;
    for (const char* id : {"p1", "p2", "p3", "p4"}) {
      caller->send(traffic_harness::payment_bytes(id));
      ++answers;
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(answers); }));
      harness.run_for(traffic::reduced_idle_limit + milliseconds{50});
    }
    CPPUNIT_ASSERT(contains(caller->bytes, "HTTP/1.1 502 "));
    CPPUNIT_ASSERT(caller->bytes.ends_with("p4"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.plain->connections.size());
  }

  void endpoint_call_is_cancelled_when_the_caller_disconnects() {
    traffic_harness harness;
    harness.endpoints[0]->scripts = {[](connection& caller) {
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 1));
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return !caller->bytes.empty(); }));
    caller->close();
    const steady_time left = harness.time.now();
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.endpoints[0]->connections[0]->closed; }));
    CPPUNIT_ASSERT(harness.time.now() - left < milliseconds{500});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.state.requests_in_flight);
  }

  void endpoint_is_suspected_after_a_second_without_an_answer() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& /*caller*/) {}};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    harness.run_for(std::chrono::milliseconds{600});
    CPPUNIT_ASSERT(!contains(harness.take_log(), "endpoint_doubted"));
    harness.run_for(std::chrono::milliseconds{700});
    CPPUNIT_ASSERT(contains(harness.take_log(), "endpoint_doubted"));
  }

  void concurrent_health_checks_are_limited() {
    traffic_harness harness;
    harness.plain->scripts.assign(60, [](connection& /*caller*/) {});
    for (int number = 0; number < 60; ++number) {
      gateway::endpoint_listing listing =
          gateway::listing_of("dark-" + std::to_string(number), gateway::engine_pool);
      listing.address = harness.plain->address;
      list_endpoint(harness.state.endpoints, listing, harness.time.now());
      note_loss_report(*find_endpoint(harness.state.endpoints, listing.name), harness.time.now());
    }
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->requests.size() >= 32; }));
    harness.run_for(std::chrono::milliseconds{300});
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, harness.plain->requests.size());
    // The remaining endpoints are checked once the first checks have timed out.
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->requests.size() >= 60; }));
  }

  /// Guards against sent bytes that arrive after a network interruption: a connection that is
  /// closed gracefully still delivers them, so it must be reset.
  void cancelled_request_resets_the_endpoint_connection() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& caller) { open = &caller; }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    caller->close();
    CPPUNIT_ASSERT(harness.run_until([&] { return open->closed; }));
    CPPUNIT_ASSERT(open->end == traffic::link_end::broken);
  }

  /// Guards against requests that are read late, after the caller has disconnected: the gateway
  /// was suspended, or the caller's network was interrupted.
  void request_of_a_disconnected_caller_is_not_sent() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    caller->send(traffic_harness::payment_bytes("p2"));
    caller->close();
    CPPUNIT_ASSERT(harness.run_until(
        [&] { return contains(harness.take_log(), R"("reason":"caller_left","request":"p2")"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.plain->requests.size());
  }

  void route_timeout_is_answered_with_504() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& /*caller*/) {}};
    auto map = gateway::test_services();
    map.routes[1].timeout = milliseconds{200};
    harness.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    const auto caller = harness.connect();
    const steady_time began = harness.time.now();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 504 "));
    CPPUNIT_ASSERT(harness.time.now() - began >= milliseconds{200});
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->connections[0]->closed; }));
  }

  void missing_endpoint_is_reported_at_once() {
    traffic_harness harness(0);
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(contains(caller->bytes, "Retry-After: "));
  }

  void request_with_an_invalid_chunk_is_rejected() {
    traffic_harness harness;
    const auto caller = harness.connect();
    caller->send(
        "POST /pay/1 HTTP/1.1\r\nHost: chats.example\r\nApi-Key: key-1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\npayXY0\r\n\r\n");
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->ended; }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT(harness.plain->requests.empty());
  }

  void request_smuggling_is_rejected() {
    for (const char* framing :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n", "Transfer-Encoding: xchunked\r\n",
          "Content-Length : 3\r\n", "Content-Length: 3\r\nX-Note: a\x01z\r\n",
          "Transfer-Encoding : chunked\r\n", "Transfer-Encodingt: a\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nTransfer_Encoding: chunked\r\n",
          "Content-Length: 3\r\ncontent_length: 9\r\n",
          "Content-Length: 3\r\nContent-Length-2: 9\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"}) {
      traffic_harness harness;
      harness.plain->scripts = {
          [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
      const auto caller = harness.connect();
      caller->send("POST /pay/1 HTTP/1.1\r\nHost: chats.example\r\nApi-Key: key-1\r\n" +
                   std::string(framing) + "\r\n0\r\n\r\nGET /pay/2 HTTP/1.1\r\n\r\n");
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->ended; }));
      CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 400 "));
      CPPUNIT_ASSERT(harness.plain->requests.empty());
    }
  }

  void graceful_shutdown_finishes_requests_in_progress() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& caller) { open = &caller; }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    harness.server->begin_stop(milliseconds{1'200}, harness.time.now());
    harness.run_for(milliseconds{100});
    CPPUNIT_ASSERT(!harness.server->stopped(harness.time.now()));
    open->send(traffic_harness::answer_bytes("p1", "paid"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(contains(caller->bytes, "Connection: close\r\n"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.server->stopped(harness.time.now()); }));
  }

  /// Callers connect and send until the shutdown has finished. Each request that was read must
  /// get a complete answer.
  void callers_during_graceful_shutdown_get_an_answer() {
    traffic_harness harness;
    harness.plain->scripts = {[&harness](connection& caller) {
      const std::string id = *find_field(harness.plain->requests.back().head, "Attempt-Id");
      caller.send(traffic_harness::answer_bytes(id, "paid"));
    }};
    std::vector<std::unique_ptr<test_caller>> callers;
    const auto call = [&harness, &callers] {
      callers.push_back(harness.connect());
      callers.back()->send(traffic_harness::payment_bytes("p" + std::to_string(callers.size())));
    };
    call();
    CPPUNIT_ASSERT(harness.run_until([&] { return callers[0]->has_answers(1); }));
    harness.server->begin_stop(milliseconds{1'600}, harness.time.now());
    while (!harness.server->stopped(harness.time.now())) {
      call();
      harness.run_for(milliseconds{7});
    }
    CPPUNIT_ASSERT(callers.size() > 50);
    int served = 0;
    int refused = 0;
    for (const auto& caller : callers) {
      const bool is_served = caller->bytes.starts_with("HTTP/1.1 200 ");
      const bool is_refused = caller->bytes.starts_with("HTTP/1.1 503 ");
      served += is_served ? 1 : 0;
      refused += is_refused ? 1 : 0;
      // The last requests may not have been read at all.
      CPPUNIT_ASSERT(is_served || is_refused || caller->bytes.empty());
      CPPUNIT_ASSERT(caller->bytes.empty() || caller->has_answers(1));
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(served), harness.plain->requests.size());
    CPPUNIT_ASSERT(static_cast<std::size_t>(served + refused) + 3 >= callers.size());
  }

  /// If the thread was suspended past the idle timeout, the next request of a persistent
  /// connection may already be in the socket: the connection must not be closed as idle.
  void pending_request_is_read_before_the_idle_timeout() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "one")); },
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p2", "two")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    caller->send(traffic_harness::payment_bytes("p2"));
    // The loop reads the socket before the tick checks the idle timeout.
    harness.loop.run_once(milliseconds{100});
    harness.server->tick(harness.time.now() + std::chrono::seconds{16});
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2) || caller->ended; }));
    CPPUNIT_ASSERT(caller->has_answers(2) || contains(caller->bytes, " 504 "));
  }

  void request_in_the_socket_is_answered_before_the_idle_timeout_closes_its_connection() {
    traffic_harness harness;
    const auto caller = connect_idle(harness);
    caller->send(traffic_harness::payment_bytes("p2"));
    harness.server->tick(harness.time.now() + std::chrono::seconds{16});
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2) || caller->ended; }));
    CPPUNIT_ASSERT(caller->has_answers(2));
  }

  void request_in_the_socket_is_answered_before_a_stop_closes_its_connection() {
    traffic_harness harness;
    const auto caller = connect_idle(harness);
    begin_closing_idle(harness, *caller);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2) || caller->ended; }));
    CPPUNIT_ASSERT(caller->has_answers(2));
    CPPUNIT_ASSERT(contains(caller->bytes, "HTTP/1.1 503 "));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->ended; }));
  }

  void request_on_a_new_connection_is_answered_before_a_stop_closes_it() {
    traffic_harness harness;
    const auto caller = harness.connect();
    // The connection is accepted; nothing was read from it yet.
    harness.loop.run_once(milliseconds{100});
    harness.loop.run_once(milliseconds{100});
    begin_closing_idle(harness, *caller);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT(caller->has_answers(1));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
  }

  void rest_of_a_request_in_the_socket_is_read_before_the_request_times_out() {
    traffic_harness harness;
    const auto caller = connect_idle(harness);
    const std::string bytes = traffic_harness::payment_bytes("p2");
    caller->send(bytes.substr(0, bytes.size() - 1));
    harness.run_for(milliseconds{20});
    caller->send(bytes.substr(bytes.size() - 1));
    harness.server->tick(harness.time.now() + std::chrono::seconds{16});
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2) || caller->ended; }));
    CPPUNIT_ASSERT(caller->has_answers(2));
  }

  void silent_stream_is_not_cut_if_no_other_endpoint_can_resume_it() {
    traffic_harness harness(1);
    check_silent_stream(harness);
  }

  void silent_stream_is_not_cut_if_the_retry_budget_is_used_up() {
    traffic_harness harness(2);
    use_up_resends(harness, gateway::engine_pool);
    check_silent_stream(harness);
  }

  void silent_call_is_not_failed_if_no_other_endpoint_can_take_it() {
    traffic_harness harness(1);
    connection* open = nullptr;
    // The second script is for health checks.
    harness.endpoints[0]->scripts = {[&open](connection& caller) { open = &caller; },
                                     [](connection& /*caller*/) {}};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    harness.run_for(sound_silence);
    open->send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2) +
               last_chunk);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 2), traffic_harness::unchunked(caller->bytes));
  }

  void silent_stream_is_not_cut_if_the_other_endpoint_refuses_connections() {
    traffic_harness harness(2);
    check_silent_stream(harness, [&harness](const connection& open) {
      for (std::size_t engine = 0; engine < 2; ++engine) {
        auto& endpoint = harness.endpoints[engine];
        if (endpoint->connections.empty() || endpoint->connections.front().get() != &open) {
          endpoint.reset();
        }
      }
    });
    CPPUNIT_ASSERT(contains(harness.take_log(), "\"reason\":\"unreachable\""));
  }

  void silent_stream_is_resumed_at_another_endpoint() {
    traffic_harness harness(2);
    int calls = 0;
    for (std::size_t engine = 0; engine < 2; ++engine) {
      harness.endpoints[engine]->scripts = {
          [&calls](connection& caller) {
            const int first = 1 + 2 * calls++;
            caller.send(traffic_harness::stream_head("c1") +
                        traffic_harness::event_chunk(first, first + 1) +
                        (calls == 2 ? last_chunk : std::string()));
          },
          [](connection& /*caller*/) {}};
    }
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), traffic_harness::unchunked(caller->bytes));
  }

  void stream_is_not_cut_at_once_if_its_new_endpoint_rejects_it() {
    traffic_harness harness(2);
    int rejections = 0;
    silent_pair pair(harness, [&rejections](connection& second) {
      if (rejections++ == 0) {
        second.send(full_answer("c1"));
      } else {
        second.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(3, 4) +
                    last_chunk);
      }
    });
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT_EQUAL(1, std::min(rejections, 1));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), traffic_harness::unchunked(caller->bytes));
  }

  void stream_without_any_endpoint_is_cut_after_a_bounded_wait() {
    traffic_harness harness(1);
    harness.endpoints[0]->scripts = {
        [](connection& caller) {
          caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
          caller.reset();
        },
        [](connection& caller) { caller.reset(); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    const steady_time began = harness.time.now();
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->ended; }));
    CPPUNIT_ASSERT(!caller->has_answers(1));
    CPPUNIT_ASSERT(harness.time.now() - began < milliseconds{2'000});
  }

  void endpoint_that_was_only_held_ready_can_take_the_request_later() {
    traffic_harness harness(2);
    silent_pair pair(harness, [](connection& second) {
      second.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(5, 6) +
                  last_chunk);
    });
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.links.opened() == 2; }));
    pair.first->send(traffic_harness::event_chunk(3, 4));
    harness.run_for(milliseconds{100});
    pair.first->reset();
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 6), traffic_harness::unchunked(caller->bytes));
  }

  void held_connection_that_its_endpoint_closes_is_no_fault() {
    traffic_harness harness(2);
    silent_pair pair(harness, [](connection& /*second*/) {});
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.links.opened() == 2; }));
    use_up_resends(harness, gateway::engine_pool);
    harness.run_for(milliseconds{50});
    for (std::size_t engine = 0; engine < 2; ++engine) {
      for (const auto& link : harness.endpoints[engine]->connections) {
        if (link.get() != pair.first && !link->closed) {
          link->finish();
        }
      }
    }
    harness.run_for(milliseconds{50});
    harness.state.resends.allowance += 10'000;
    harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(!contains(harness.take_log(), "\"reason\":\"unreachable\""));
  }

  void held_connection_is_not_used_after_its_address_has_changed() {
    traffic_harness harness(2);
    int second_calls = 0;
    silent_pair pair(harness, [&second_calls](connection& /*second*/) { ++second_calls; });
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.links.opened() == 2; }));
    for (const char* name : {"engine-0", "engine-1"}) {
      gateway::endpoint_listing moved =
          find_endpoint(harness.state.endpoints, endpoint_id{name})->listing;
      moved.pool = gateway::plain_pool;
      list_endpoint(harness.state.endpoints, moved, harness.time.now());
    }
    harness.run_for(milliseconds{300});
    CPPUNIT_ASSERT_EQUAL(0, second_calls);
  }

  void log_names_the_obstacle_to_a_resend() {
    traffic_harness harness(1);
    harness.endpoints[0]->scripts = {[](connection& caller) { caller.reset(); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(contains(harness.take_log(), "\"not_resent\":\"no_endpoint\""));
    CPPUNIT_ASSERT(contains(harness.metrics.format(),
                            "chestnuthead_requests_not_resent_total{pool=\"engines\","
                            "obstacle=\"no_endpoint\"} 1"));
  }

 private:
  /// Two engines: the one that gets the first request sends events 1 and 2 and falls silent, the
  /// other one runs a script. Both ignore health checks.
  struct silent_pair {
    silent_pair(traffic_harness& harness, const scripted_endpoint::script& second) {
      for (std::size_t engine = 0; engine < 2; ++engine) {
        harness.endpoints[engine]->scripts = {[this, &harness, engine, second](connection& caller) {
          const auto& requests = harness.endpoints[engine]->requests;
          if (requests.back().head.target.starts_with("/healthz")) {
            return;
          }
          if (this->first != nullptr) {
            second(caller);
            return;
          }
          this->first = &caller;
          caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
        }};
      }
    }
    connection* first = nullptr;
  };

  /// Longer than the time after which a request is sent to another endpoint.
  static constexpr milliseconds sound_silence{1'500};

  /// A caller whose first request was answered.
  static std::unique_ptr<test_caller> connect_idle(traffic_harness& harness) {
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "one")); },
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p2", "two")); }};
    auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    return caller;
  }

  /// A stop has come to the point at which idle connections are closed, while a request of the
  /// caller lies in the socket.
  static void begin_closing_idle(traffic_harness& harness, test_caller& caller) {
    constexpr std::chrono::seconds grace{8};
    const steady_time stopped_at = harness.time.now() - grace / 2;
    harness.server->begin_stop(grace, stopped_at);
    caller.send(traffic_harness::payment_bytes("p2"));
    harness.server->tick(harness.time.now());
  }

  static void use_up_resends(traffic_harness& harness, const pool_id& pool) {
    gateway::resend_budget& budget = harness.state.resend_budgets[pool];
    const steady_time now = harness.time.now();
    while (resend_allowed(budget, harness.state.resends, harness.state.fleet.gateways, now)) {
      count_resend(budget, harness.state.resends, now);
    }
  }

  /// An endpoint falls silent between two events and goes on; the caller receives all events.
  /// `during` is called with its connection while it is silent.
  static void check_silent_stream(
      traffic_harness& harness,
      const std::function<void(const connection&)>& during = [](auto&) {}) {
    connection* open = nullptr;
    for (const auto& endpoint : harness.endpoints) {
      // The second script is for health checks.
      endpoint->scripts = {
          [&open](connection& caller) {
            open = &caller;
            caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
          },
          [](connection& /*caller*/) {}};
    }
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    const auto passed = [&] { return traffic_harness::unchunked(caller->bytes); };
    CPPUNIT_ASSERT(harness.run_until([&] { return passed() == traffic_harness::events(1, 2); }));
    during(*open);
    harness.run_for(sound_silence);
    CPPUNIT_ASSERT(!caller->ended);
    open->send(traffic_harness::event_chunk(3, 4) + last_chunk);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), passed());
  }

  /// Adds a second endpoint to the plain pool.
  static scripted_endpoint& add_plain_endpoint(traffic_harness& harness) {
    harness.endpoints.push_back(std::make_unique<scripted_endpoint>(harness.loop));
    gateway::endpoint_listing listing = gateway::listing_of("plain-2", gateway::plain_pool);
    listing.address = harness.endpoints.back()->address;
    list_endpoint(harness.state.endpoints, listing, harness.time.now());
    return *harness.endpoints.back();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_test);

}  // namespace chestnuthead
