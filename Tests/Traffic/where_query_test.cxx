#include "Traffic/where_query.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Fakes/local_address.h"
#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using traffic::described_request;
using traffic::parse_where_query;

class where_query_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(where_query_test);
  CPPUNIT_TEST(reads_all_parameters);
  CPPUNIT_TEST(rejects_unreadable_parameters);
  CPPUNIT_TEST(answers_on_the_metrics_address);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reads_all_parameters() {
    const auto parsed = parse_where_query(
        "/where?host=chats.example&path=%2Fchat%2F1&customer=schools&prompt=a:100,b%3A20"
        "&resumes=r1&wait_ms=2500");
    const auto& found = std::get<described_request>(parsed);
    CPPUNIT_ASSERT_EQUAL(std::string("chats.example"), found.host);
    CPPUNIT_ASSERT_EQUAL(std::string("/chat/1"), found.path);
    CPPUNIT_ASSERT_EQUAL(std::string("schools"), found.customer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.prompt.size());
    CPPUNIT_ASSERT_EQUAL(hash_text("b"), found.prompt[1].id);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, found.prompt[1].tokens);
    CPPUNIT_ASSERT(found.resumes);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), found.resumed_id);
    CPPUNIT_ASSERT(found.patience == std::chrono::milliseconds{2'500});
  }

  /// Guards against an explanation of another request than the operator meant.
  void rejects_unreadable_parameters() {
    const std::string good = "/where?host=h&path=/";
    CPPUNIT_ASSERT(std::holds_alternative<described_request>(parse_where_query(good)));
    expect("/where", "host");
    expect("/where?path=/", "host");
    expect("/where?host=h&path=chat", "slash");
    expect(good + "&prompt=a", "NAME:TOKENS");
    expect(good + "&prompt=", "NAME:TOKENS");
    expect(good + "&prompt=a:1,", "NAME:TOKENS");
    expect(good + "&prompt=:1", "NAME:TOKENS");
    expect(good + "&prompt=a:x", "NAME:TOKENS");
    expect(good + "&prompt=a:-1", "NAME:TOKENS");
    expect(good + "&wait_ms=0", "wait_ms");
    expect(good + "&wait_ms=1s", "wait_ms");
    expect(good + "&wait_ms=99999999999999999999", "wait_ms");
    expect(good + "&host=other", "twice");
    expect(good + "&customer=%zz", "decoded");
    expect(good + "&key=secret", "not known");
  }

  void answers_on_the_metrics_address() {
    traffic_harness harness(2);
    const int descriptor = traffic::listen_on("127.0.0.1:0");
    const std::string address = local_address(descriptor);
    const traffic::monitoring_server server(
        harness.loop, descriptor, [&harness](std::string_view target) {
          const auto where = answer_where(harness.context, target, harness.time.now());
          return where ? *where : traffic::monitoring_response{200, "other\n"};
        });
    test_caller caller(harness.loop, address);
    caller.send(
        "GET /where?host=chats.example&path=/chat/1&customer=schools&prompt=a:100,b:20 "
        "HTTP/1.1\r\nHost: gateway\r\n\r\n");
    CPPUNIT_ASSERT(harness.run_until([&caller] { return caller.has_answers(1); }));
    CPPUNIT_ASSERT(caller.bytes.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(caller.bytes.find("application/json") != std::string::npos);
    CPPUNIT_ASSERT(caller.bytes.find(R"("route":"chats")") != std::string::npos);
    CPPUNIT_ASSERT(caller.bytes.find(R"("endpoint":"engine-1")") != std::string::npos);
    CPPUNIT_ASSERT(caller.bytes.find("home_of_prefix") != std::string::npos);
    caller.bytes.clear();
    caller.send("GET /where?host=h HTTP/1.1\r\nHost: gateway\r\n\r\n");
    CPPUNIT_ASSERT(harness.run_until([&caller] { return caller.has_answers(1); }));
    CPPUNIT_ASSERT(caller.bytes.starts_with("HTTP/1.1 400 Bad Request\r\n"));
    CPPUNIT_ASSERT(caller.bytes.find("The parameter path was expected") != std::string::npos);
    caller.bytes.clear();
    caller.send("GET /metrics HTTP/1.1\r\nHost: gateway\r\n\r\n");
    CPPUNIT_ASSERT(harness.run_until([&caller] { return caller.has_answers(1); }));
    CPPUNIT_ASSERT(caller.bytes.ends_with("other\n"));
  }

 private:
  /// The query is rejected with a message that has this word, and without the value of a key.
  static void expect(const std::string& target, const std::string& word) {
    const auto parsed = parse_where_query(target);
    const auto* error = std::get_if<std::string>(&parsed);
    CPPUNIT_ASSERT_MESSAGE(target, error != nullptr);
    CPPUNIT_ASSERT_MESSAGE(*error, error->find(word) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(*error, error->find("secret") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(where_query_test);

}  // namespace chestnuthead
