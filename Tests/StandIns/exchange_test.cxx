#include "Load/exchange.h"

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Fakes/one_answer_server.h"

namespace chestnuthead {

namespace {

exchange_reply reply_to(const std::string& answer) {
  const one_answer_server server(answer);
  return exchange(server.address(), {"GET", "/", {}, {}, {}}, std::chrono::seconds(20));
}

}  // namespace

/// Tests what the load tool takes for a complete answer.
class exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(exchange_test);
  CPPUNIT_TEST(complete_answers_are_not_cut);
  CPPUNIT_TEST(incomplete_answers_are_cut);
  CPPUNIT_TEST(answers_that_http_does_not_allow_are_cut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void complete_answers_are_not_cut() {
    for (const std::string& rest : std::vector<std::string>{
             "Content-Length: 3\r\n\r\nabc", "\r\nabc",
             "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"}) {
      const exchange_reply reply = reply_to("HTTP/1.1 200 OK\r\nX-Note: a\r\n" + rest);
      CPPUNIT_ASSERT(reply.answered && !reply.cut && !reply.never_sent);
      CPPUNIT_ASSERT_EQUAL(200, reply.status);
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), reply.body);
      CPPUNIT_ASSERT_EQUAL(std::string("a"), header_of(reply, "x-note"));
      CPPUNIT_ASSERT(reply.first_byte.count() > 0 && reply.first_byte <= reply.total_time);
    }
  }

  void incomplete_answers_are_cut() {
    for (const std::string& rest : std::vector<std::string>{
             "Content-Length: 4\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nabc"}) {
      const exchange_reply reply = reply_to("HTTP/1.1 200 OK\r\n" + rest);
      CPPUNIT_ASSERT_MESSAGE(rest, reply.answered && reply.cut);
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), reply.body);
    }
  }

  void answers_that_http_does_not_allow_are_cut() {
    const std::string rest = "Content-Length: 3\r\n\r\nabc";
    for (const std::string& head : std::vector<std::string>{
             "HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
             "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n"}) {
      const exchange_reply reply = reply_to(head + rest);
      CPPUNIT_ASSERT_MESSAGE(head, !reply.answered && reply.cut);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_test);

}  // namespace chestnuthead
