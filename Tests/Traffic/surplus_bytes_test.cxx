#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/http_client.h"
#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using connection = scripted_endpoint::connection;

namespace {

/// An answer that does not tell which request it belongs to.
const std::string surplus =
    "HTTP/1.1 200 OK\r\nResponse-Signature: s1\r\nContent-Length: 5\r\n\r\nwrong";

void pay_second(connection& endpoint) {
  endpoint.send(traffic_harness::answer_bytes("p2", "paid too"));
}

std::string reply_of(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

/// Tests bytes on a connection that no request has asked for.
class surplus_bytes_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(surplus_bytes_test);
  CPPUNIT_TEST(bytes_behind_an_answer_do_not_answer_the_next_request);
  CPPUNIT_TEST(bytes_that_arrive_before_a_request_do_not_answer_it);
  CPPUNIT_TEST(bytes_behind_a_reply_do_not_answer_the_next_call);
  CPPUNIT_TEST(bytes_that_arrive_before_a_call_do_not_answer_it);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The next request is there when the answer ends, and its connection is free.
  void bytes_behind_an_answer_do_not_answer_the_next_request() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& endpoint) {
          endpoint.send(traffic_harness::answer_bytes("p1", "paid") + surplus);
        },
        pay_second};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1") + traffic_harness::payment_bytes("p2"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.ends_with("\r\n\r\npaid too"));
  }

  void bytes_that_arrive_before_a_request_do_not_answer_it() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& endpoint) {
                                open = &endpoint;
                                endpoint.send(traffic_harness::answer_bytes("p1", "paid"));
                              },
                              pay_second};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    // The gateway learns of the request before it learns of the bytes.
    caller->send(traffic_harness::payment_bytes("p2"));
    open->send(surplus);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2); }));
    CPPUNIT_ASSERT_MESSAGE(caller->bytes, caller->bytes.ends_with("\r\n\r\npaid too"));
  }

  void bytes_behind_a_reply_do_not_answer_the_next_call() {
    traffic_harness harness;
    harness.plain->scripts = {[](connection& store) { store.send(reply_of("one") + surplus); },
                              [](connection& store) { store.send(reply_of("two")); }};
    traffic::http_client client(harness.loop, harness.time, harness.plain->address);
    std::vector<std::string> replies;
    const auto record = [&replies](const traffic::http_reply& got) { replies.push_back(got.body); };
    client.call({"GET", "/one", {}}, [&](const traffic::http_reply& got) {
      record(got);
      client.call({"GET", "/two", {}}, record);
    });
    CPPUNIT_ASSERT(harness.run_until([&] { return replies.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), replies[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), replies[1]);
  }

  void bytes_that_arrive_before_a_call_do_not_answer_it() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& store) {
                                open = &store;
                                store.send(reply_of("one"));
                              },
                              [](connection& store) { store.send(reply_of("two")); }};
    traffic::http_client client(harness.loop, harness.time, harness.plain->address);
    std::vector<std::string> replies;
    const auto record = [&replies](const traffic::http_reply& got) { replies.push_back(got.body); };
    client.call({"GET", "/one", {}}, record);
    CPPUNIT_ASSERT(harness.run_until([&] { return replies.size() == 1; }));
    open->send(surplus);
    client.call({"GET", "/two", {}}, record);
    CPPUNIT_ASSERT(harness.run_until([&] { return replies.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("two"), replies[1]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(surplus_bytes_test);

}  // namespace chestnuthead
