#include <algorithm>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using connection = scripted_endpoint::connection;

namespace {

/// A rejection as some endpoints send it, without the ID of the request.
const std::string rejection = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

bool is_rejected(const test_caller& caller) {
  return caller.bytes.starts_with("HTTP/1.1 503 ");
}

std::string id_of(const scripted_endpoint& endpoint) {
  const std::string* id = find_field(endpoint.requests.back().head, "Attempt-Id");
  return id == nullptr ? std::string() : *id;
}

}  // namespace

/// Tests answers without an ID. An endpoint may send a copy of such an answer late, where the
/// answer to the next request on the connection is expected.
class late_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(late_answer_test);
  CPPUNIT_TEST(late_copy_of_a_rejection_does_not_run_a_payment_twice);
  CPPUNIT_TEST(late_copy_of_a_rejection_does_not_refuse_a_payment_that_runs);
  CPPUNIT_TEST(late_copy_of_a_rejected_chat_does_not_refuse_a_payment_that_runs);
  CPPUNIT_TEST(late_copy_of_another_answer_is_not_the_answer_to_a_payment);
  CPPUNIT_TEST(late_copy_is_not_the_answer_to_a_payment_without_an_id);
  CPPUNIT_TEST(rejected_payments_on_new_connections_are_sent_to_another_endpoint);
  CPPUNIT_TEST(connection_that_carried_a_rejection_is_kept_for_chats);
  CPPUNIT_TEST(connection_that_carried_a_rejection_is_replaced_at_the_limit);
  CPPUNIT_TEST(connection_that_carried_only_identified_answers_is_reused);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against sending a payment to a second endpoint while the first one runs it.
  void late_copy_of_a_rejection_does_not_run_a_payment_twice() {
    traffic_harness harness;
    scripted_endpoint& other = harness.add_endpoint("plain-2", gateway::plain_pool);
    int runs = 0;
    for (scripted_endpoint* endpoint : {harness.plain, &other}) {
      endpoint->scripts = {reject, run_after_copy(*endpoint, runs)};
    }
    // Both endpoints reject the first payment.
    CPPUNIT_ASSERT(is_rejected(*pay(harness, "p1")));
    const auto second = pay(harness, "p2");
    CPPUNIT_ASSERT_EQUAL(1, runs);
    CPPUNIT_ASSERT_MESSAGE(second->bytes, second->bytes.ends_with("\r\n\r\npaid"));
  }

  /// Guards against an answer that promises that the payment has not run.
  void late_copy_of_a_rejection_does_not_refuse_a_payment_that_runs() {
    traffic_harness harness;
    int runs = 0;
    harness.plain->scripts = {reject, run_after_copy(*harness.plain, runs)};
    CPPUNIT_ASSERT(is_rejected(*pay(harness, "p1")));
    const auto second = pay(harness, "p2");
    CPPUNIT_ASSERT_EQUAL(1, runs);
    CPPUNIT_ASSERT_MESSAGE(second->bytes, second->bytes.ends_with("\r\n\r\npaid"));
  }

  /// The rejected request and the payment are of two routes that share a pool.
  void late_copy_of_a_rejected_chat_does_not_refuse_a_payment_that_runs() {
    traffic_harness harness;
    share_engines(harness);
    int runs = 0;
    scripted_endpoint& engine = *harness.endpoints[0];
    engine.scripts = {reject, run_after_copy(engine, runs)};
    CPPUNIT_ASSERT(is_rejected(*ask(harness, traffic_harness::chat_bytes("c1"))));
    const auto second = pay(harness, "p2");
    CPPUNIT_ASSERT_EQUAL(1, runs);
    CPPUNIT_ASSERT_MESSAGE(second->bytes, second->bytes.ends_with("\r\n\r\npaid"));
  }

  /// Guards against passing on the answer to another payment.
  void late_copy_of_another_answer_is_not_the_answer_to_a_payment() {
    const std::string success =
        "HTTP/1.1 200 OK\r\nResponse-Signature: s1\r\nContent-Length: 5\r\n\r\nother";
    const std::string error = "HTTP/1.1 404 Unknown\r\nContent-Length: 5\r\n\r\nother";
    for (const std::string& answer : {success, error}) {
      traffic_harness harness;
      int runs = 0;
      harness.plain->scripts = {[&](connection& caller) { caller.send(answer); },
                                run_after_copy(*harness.plain, runs, answer)};
      CPPUNIT_ASSERT(pay(harness, "p1")->bytes.ends_with("\r\n\r\nother"));
      const auto second = pay(harness, "p2");
      CPPUNIT_ASSERT_MESSAGE(second->bytes, second->bytes.ends_with("\r\n\r\npaid"));
    }
  }

  /// Answers to a request without an ID can't be told apart, so it needs an unused connection.
  void late_copy_is_not_the_answer_to_a_payment_without_an_id() {
    traffic_harness harness;
    int runs = 0;
    const std::string first = traffic_harness::answer_bytes("p1", "other");
    harness.plain->scripts = {[&](connection& caller) { caller.send(first); },
                              run_after_copy(*harness.plain, runs, first)};
    pay(harness, "p1");
    const auto second = ask(harness,
                            "POST /pay/1 HTTP/1.1\r\nHost: chats.example\r\nApi-Key: key-1\r\n"
                            "Deadline-Ms: 4000\r\nContent-Length: 3\r\n\r\npay");
    CPPUNIT_ASSERT_MESSAGE(second->bytes, second->bytes.ends_with("\r\n\r\npaid"));
  }

  /// A rejection on a new connection can't be a late one, with or without an ID.
  void rejected_payments_on_new_connections_are_sent_to_another_endpoint() {
    traffic_harness harness;
    scripted_endpoint& other = harness.add_endpoint("plain-2", gateway::plain_pool);
    int requests = 0;
    for (scripted_endpoint* endpoint : {harness.plain, &other}) {
      endpoint->scripts = {[&requests, endpoint](connection& caller) {
        ++requests;
        caller.send(requests % 2 == 1 ? rejection
                                      : traffic_harness::answer_bytes(id_of(*endpoint), "paid"));
      }};
    }
    for (const char* id : {"p1", "p2", "p3"}) {
      const auto caller = pay(harness, id);
      CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.ends_with("\r\n\r\npaid"));
    }
    CPPUNIT_ASSERT_EQUAL(6, requests);
  }

  /// New connections to endpoints cost time.
  void connection_that_carried_a_rejection_is_kept_for_chats() {
    traffic_harness harness;
    share_engines(harness);
    scripted_endpoint& engine = *harness.endpoints[0];
    engine.scripts = {reject, answer_requests(engine)};
    ask(harness, traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(
        ask(harness, traffic_harness::chat_bytes("c2"))->bytes.starts_with("HTTP/1.1 2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.connections.size());
    pay(harness, "p1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engine.connections.size());
    ask(harness, traffic_harness::chat_bytes("c3"));
    pay(harness, "p2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engine.connections.size());
    CPPUNIT_ASSERT(!engine.connections[0]->closed);
  }

  /// Guards against payments that find no connection because all are unsuitable.
  void connection_that_carried_a_rejection_is_replaced_at_the_limit() {
    traffic_harness harness;
    auto map = gateway::test_services();
    map.pools[gateway::plain_pool.value].max_connections = 1;
    harness.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    harness.plain->scripts = {reject, answer_requests(*harness.plain)};
    CPPUNIT_ASSERT(is_rejected(*pay(harness, "p1")));
    const auto second = pay(harness, "p2");
    CPPUNIT_ASSERT_MESSAGE(second->bytes, second->bytes.ends_with("\r\n\r\npaid"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->connections[0]->closed; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.plain->connections.size());
  }

  void connection_that_carried_only_identified_answers_is_reused() {
    traffic_harness harness;
    harness.plain->scripts = {[&](connection& caller) {
                                caller.send(
                                    "HTTP/1.1 503 Busy\r\nAttempt-Id: p1\r\n"
                                    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                              },
                              answer_requests(*harness.plain)};
    CPPUNIT_ASSERT(is_rejected(*pay(harness, "p1")));
    pay(harness, "p2");
    pay(harness, "p3");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.plain->connections.size());
  }

 private:
  static void reject(connection& caller) {
    caller.send(rejection);
  }

  /// Answers each request, with the body "paid".
  static scripted_endpoint::script answer_requests(const scripted_endpoint& endpoint) {
    return [&endpoint](connection& caller) {
      const std::string id = id_of(endpoint);
      caller.send(id.starts_with("c") ? traffic_harness::stream_head(id) +
                                            traffic_harness::event_chunk(1, 2) + "0\r\n\r\n"
                                      : traffic_harness::answer_bytes(id, "paid"));
    };
  }

  /// Runs each request. On the connection that carried the first answer it sends the copy first.
  static scripted_endpoint::script run_after_copy(const scripted_endpoint& endpoint, int& runs,
                                                  const std::string& copy = rejection) {
    return [&endpoint, &runs, copy](connection& caller) {
      ++runs;
      if (&caller == endpoint.connections.front().get()) {
        caller.send(copy);
      } else {
        caller.send(traffic_harness::answer_bytes(id_of(endpoint), "paid"));
      }
    };
  }

  /// Sends payments to the engine pool too.
  static void share_engines(traffic_harness& harness) {
    auto map = gateway::test_services();
    map.routes[1].pools = {{gateway::engine_pool, 1.0}};
    harness.state.services = std::make_shared<const gateway::service_map>(std::move(map));
  }

  /// Sends a request and returns its caller once it is answered.
  static std::unique_ptr<test_caller> ask(traffic_harness& harness, const std::string& request) {
    auto caller = harness.connect();
    caller->send(request);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    return caller;
  }

  static std::unique_ptr<test_caller> pay(traffic_harness& harness, const std::string& id) {
    return ask(harness, traffic_harness::payment_bytes(id));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_answer_test);

}  // namespace chestnuthead
