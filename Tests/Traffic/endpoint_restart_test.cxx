#include <chrono>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/incarnation_proof.h"
#include "Traffic/endpoint_notices.h"
#include "traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

/// Guards against requests to an endpoint that may have started again, and be cold, since the
/// gateway last heard of it: over loopback sockets, with the endpoint's health checks.
class endpoint_restart_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_restart_test);
  CPPUNIT_TEST(request_waits_for_an_endpoint_of_unknown_age);
  CPPUNIT_TEST(endpoint_that_turns_out_cold_gets_only_its_rate);
  CPPUNIT_TEST(request_is_refused_at_once_if_the_check_fails);
  CPPUNIT_TEST(reset_connections_are_a_reason_to_check);
  CPPUNIT_TEST(idle_timeout_of_an_endpoint_is_no_reason_to_check);
  CPPUNIT_TEST(paused_gateway_checks_its_endpoints);
  CPPUNIT_TEST(request_without_a_connection_is_refused);
  CPPUNIT_TEST(leaving_endpoint_that_is_listed_again_gets_no_request);
  CPPUNIT_TEST(check_of_a_leaving_endpoint_proves_nothing);
  CPPUNIT_TEST(endpoint_that_is_listed_as_started_again_is_used_at_once);
  CPPUNIT_TEST(last_answer_before_a_restart_keeps_no_requests_away);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The gateway has just started and knows no other, so it can't tell its share of the cold rate.
  void request_waits_for_an_endpoint_of_unknown_age() {
    this->serve(0);
    this->harness.state.started_at = this->harness.time.now();
    this->doubt();
    const auto caller = this->harness.connect();
    const steady_time sent = this->harness.time.now();
    CPPUNIT_ASSERT(this->ask(*caller));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(this->harness.time.now() - sent < milliseconds{300});
    CPPUNIT_ASSERT_EQUAL(1, this->checks);
    CPPUNIT_ASSERT(this->harness.take_log().find("endpoint_proven") != std::string::npos);
    CPPUNIT_ASSERT(this->ask(*caller));
    CPPUNIT_ASSERT_EQUAL(1, this->checks);
  }

  void endpoint_that_turns_out_cold_gets_only_its_rate() {
    this->serve(3'000);
    this->harness.state.started_at = this->harness.time.now() - std::chrono::minutes{1};
    this->doubt();
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int number = 0; number < 60; ++number) {
      callers.push_back(this->harness.connect());
      callers.back()->send(traffic_harness::chat_bytes("c" + std::to_string(number)));
      this->harness.run_for(milliseconds{15});
    }
    CPPUNIT_ASSERT(this->requests > 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(this->requests), this->requests <= 17);
  }

  void request_is_refused_at_once_if_the_check_fails() {
    this->harness.endpoints[0]->scripts = {[](connection& caller) {
      caller.send("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
    }};
    this->harness.state.started_at = this->harness.time.now();
    this->doubt();
    const auto caller = this->harness.connect();
    const steady_time sent = this->harness.time.now();
    CPPUNIT_ASSERT(this->ask(*caller));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(caller->bytes.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT(this->harness.time.now() - sent < milliseconds{350});
  }

  /// The endpoint's process ends while its connections are idle, and starts again at once.
  void reset_connections_are_a_reason_to_check() {
    this->serve(0);
    const auto caller = this->harness.connect();
    CPPUNIT_ASSERT(this->ask(*caller));
    CPPUNIT_ASSERT_EQUAL(0, this->checks);
    this->harness.endpoints[0]->connections[0]->reset();
    CPPUNIT_ASSERT(this->ask(*caller));
    CPPUNIT_ASSERT(this->harness.run_until([this] { return this->checks == 1; }));
    CPPUNIT_ASSERT(this->harness.take_log().find("endpoint_contact_lost") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(2, this->requests);
  }

  void idle_timeout_of_an_endpoint_is_no_reason_to_check() {
    this->serve(0);
    const auto caller = this->harness.connect();
    CPPUNIT_ASSERT(this->ask(*caller));
    this->harness.run_for(traffic::reduced_idle_limit + milliseconds{50});
    this->harness.endpoints[0]->connections[0]->finish();
    this->harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(this->ask(*caller));
    CPPUNIT_ASSERT_EQUAL(0, this->checks);
  }

  void paused_gateway_checks_its_endpoints() {
    this->serve(0);
    const auto caller = this->harness.connect();
    CPPUNIT_ASSERT(this->ask(*caller));
    this->harness.state.ran_at -= gateway::max_interruption;
    CPPUNIT_ASSERT(this->ask(*caller));
    CPPUNIT_ASSERT(this->harness.run_until([this] { return this->checks == 1; }));
    CPPUNIT_ASSERT(this->harness.take_log().find("interrupted") != std::string::npos);
  }

  /// Guards against a search that tries the same endpoint without end: its connections are used up
  /// while it lacks a proof.
  void request_without_a_connection_is_refused() {
    this->harness.endpoints[0]->scripts = {[](connection& /*caller*/) {}};
    this->harness.state.fleet.gateways = 1'000;
    const auto first = this->harness.connect();
    first->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(
        this->harness.run_until([&] { return !this->harness.endpoints[0]->requests.empty(); }));
    this->doubt();
    this->harness.run_for(milliseconds{100});
    const auto second = this->harness.connect();
    second->send(traffic_harness::chat_bytes("c2"));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return second->has_answers(1); }));
    CPPUNIT_ASSERT(second->bytes.starts_with("HTTP/1.1 503 "));
  }

  /// Review case 8 without an answer that said so before: the check says it.
  void leaving_endpoint_that_is_listed_again_gets_no_request() {
    this->refuse_payment_while_leaving("503 Unavailable");
    CPPUNIT_ASSERT(!this->harness.plain->requests.empty());
    for (const scripted_endpoint::request& received : this->harness.plain->requests) {
      CPPUNIT_ASSERT_EQUAL(std::string("/healthz"), received.head.target);
    }
  }

  /// Guards against a leaving endpoint whose health check, answered with 200, ends the doubt that
  /// keeps requests away.
  void check_of_a_leaving_endpoint_proves_nothing() {
    this->refuse_payment_while_leaving("200 OK");
    // A second check would tell nothing new.
    this->harness.run_for(gateway::proof_check_interval + milliseconds{200});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->harness.plain->requests.size());
    CPPUNIT_ASSERT(this->harness.take_log().find("endpoint_proven") == std::string::npos);
  }

  /// The other side of the same.
  void endpoint_that_is_listed_as_started_again_is_used_at_once() {
    this->harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    this->list_again("plain", 1);
    const auto caller = this->harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.ends_with("paid"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->harness.plain->requests.size());
  }

  /// Guards against requests that are refused since the answer of an endpoint's previous
  /// incarnation, which was leaving, arrives after the next one was listed.
  void last_answer_before_a_restart_keeps_no_requests_away() {
    connection* first = nullptr;
    this->harness.plain->scripts = {
        [&first](connection& caller) { first = &caller; },
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p2", "paid")); }};
    const auto caller = this->harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return first != nullptr; }));
    this->harness.update_endpoint("plain", {});
    first->send(
        "HTTP/1.1 200 OK\r\nAttempt-Id: p1\r\nResponse-Signature: s\r\nServer-Leaving: 1\r\n"
        "Content-Length: 4\r\n\r\npaid");
    CPPUNIT_ASSERT(this->harness.run_until([&] { return caller->has_answers(1); }));
    caller->send(traffic_harness::payment_bytes("p2"));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return caller->has_answers(2); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.ends_with("paid"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->harness.plain->requests.size());
  }

 private:
  /// The only engine answers checks and chats, and is cold for this long.
  void serve(int cold_ms) {
    scripted_endpoint& engine = *this->harness.endpoints[0];
    engine.scripts = {[this, &engine, cold_ms](connection& caller) {
      const traffic::http_head& head = engine.requests.back().head;
      if (head.target == "/healthz") {
        ++this->checks;
        caller.send("HTTP/1.1 200 OK\r\nWarmup-Ms: " + std::to_string(cold_ms) +
                    "\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      ++this->requests;
      const std::string id = *find_field(head, "Attempt-Id");
      caller.send(traffic_harness::stream_head(id) + traffic_harness::event_chunk(1, 1) +
                  "0\r\n\r\n");
    }};
  }

  /// The plain endpoint, which answers health checks with this status and the report that it is
  /// leaving, is listed again. A payment is refused.
  void refuse_payment_while_leaving(const std::string& status) {
    this->harness.plain->scripts = {[status](connection& caller) {
      caller.send("HTTP/1.1 " + status + "\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
    }};
    this->enable_plain_checks();
    this->list_again("plain", 0);
    const auto caller = this->harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return caller->has_answers(1); }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 503 "));
  }

  /// Gives the plain pool, which has none, a path for health checks.
  void enable_plain_checks() {
    gateway::service_map services = gateway::test_services();
    services.pools[gateway::plain_pool.value].health_path = "/healthz";
    this->harness.state.services =
        std::make_shared<const gateway::service_map>(std::move(services));
  }

  void doubt() {
    doubt_incarnation(this->harness.state.endpoints.rows.at(endpoint_id{"engine-0"}),
                      gateway::incarnation_doubt::may_have_restarted, this->harness.time.now());
  }

  bool ask(test_caller& caller) {
    ++this->asked;
    caller.send(traffic_harness::chat_bytes("c" + std::to_string(this->asked)));
    return this->harness.run_until([&] { return caller.has_answers(this->asked); });
  }

  /// Removes the endpoint and lists it with a heartbeat, as started so much later.
  void list_again(const std::string& name, std::int64_t later) {
    gateway::endpoint_listing entry =
        find_endpoint(this->harness.state.endpoints, endpoint_id{name})->listing;
    this->harness.unlist(name);
    ++entry.heartbeat;
    entry.started += later;
    list_endpoint(this->harness.state.endpoints, entry, this->harness.time.now());
  }

  traffic_harness harness;
  int asked = 0;
  int checks = 0;
  int requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_restart_test);

}  // namespace chestnuthead
