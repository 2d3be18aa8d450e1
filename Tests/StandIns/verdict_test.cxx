#include "Load/verdict.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chestnuthead::exchange_reply;
using chestnuthead::verdict_kind;

// An answer of a model engine as an event stream; `ended` appends the end marker.
std::string make_stream(const std::string& text, bool ended) {
  std::string body = R"(data: {"choices":[{"delta":{"content":")" + text + R"("}}]})" + "\n\n";
  body += R"(data: {"choices":[{"delta":{}}],"system_fingerprint":"engine-1",)"
          R"("usage":{"prompt_tokens_details":{"cached_tokens":7}}})"
          "\n\n";
  return ended ? body + "data: [DONE]\n\n" : body;
}

exchange_reply make_reply(int status, const std::string& body) {
  exchange_reply reply;
  reply.answered = true;
  reply.status = status;
  reply.body = body;
  return reply;
}

class verdict_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(verdict_test);
  CPPUNIT_TEST(accepts_the_complete_expected_answer);
  CPPUNIT_TEST(rejects_the_answer_of_another_chat);
  CPPUNIT_TEST(detects_missing_tokens_before_the_end_marker);
  CPPUNIT_TEST(detects_a_truncated_stream);
  CPPUNIT_TEST(parses_an_error);
  CPPUNIT_TEST(checks_the_answer_of_a_plain_service);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->chat.kind = chestnuthead::call_kind::chat;
    this->chat.stream = true;
    this->chat.answer_tokens = 5;
    this->chat.turns = {"Where does the turret go?"};
    chestnuthead::begin_turn(this->chat);
    this->whole = chestnuthead::expected_answer(this->chat.messages, 5);
  }

  void accepts_the_complete_expected_answer() {
    const auto result = this->judge(make_reply(200, make_stream(this->whole, true)));
    CPPUNIT_ASSERT(result.kind == verdict_kind::good);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-1"), result.endpoint);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, result.cached_tokens);
  }

  void rejects_the_answer_of_another_chat() {
    const auto other = chestnuthead::expected_answer({{"user", "another chat"}}, 5);
    CPPUNIT_ASSERT(this->judge(make_reply(200, make_stream(other, true))).kind ==
                   verdict_kind::wrong);
    CPPUNIT_ASSERT(this->judge(make_reply(200, make_stream(other, false))).kind ==
                   verdict_kind::wrong);
  }

  void detects_missing_tokens_before_the_end_marker() {
    const auto part = chestnuthead::expected_answer(this->chat.messages, 4);
    CPPUNIT_ASSERT(this->judge(make_reply(200, make_stream(part, true))).kind ==
                   verdict_kind::incomplete);
  }

  void detects_a_truncated_stream() {
    CPPUNIT_ASSERT(this->judge(make_reply(200, make_stream(this->whole, false))).kind ==
                   verdict_kind::cut);
    exchange_reply reply = make_reply(200, make_stream(this->whole, true));
    reply.cut = true;
    CPPUNIT_ASSERT(this->judge(reply).kind == verdict_kind::cut);
  }

  void parses_an_error() {
    exchange_reply reply =
        make_reply(503, R"({"error":{"kind":"overloaded","message":"m","ran":"not run"}})");
    reply.headers["retry-after"] = "2";
    const auto result = this->judge(reply);
    CPPUNIT_ASSERT(result.kind == verdict_kind::error);
    CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), result.error);
    CPPUNIT_ASSERT_EQUAL(std::string("not run"), result.ran);
    CPPUNIT_ASSERT(result.retry_after == std::chrono::seconds(2));
    CPPUNIT_ASSERT(result.has_retry_after);
  }

  void checks_the_answer_of_a_plain_service() {
    chestnuthead::session call;
    call.kind = chestnuthead::call_kind::at_most_once;
    call.turns = {"one kit"};
    const chestnuthead::load_options options;
    const auto body =
        chestnuthead::expected_service_answer("POST", options.call_path + "/0", "one kit");
    CPPUNIT_ASSERT(chestnuthead::judge(call, options, make_reply(200, body)).kind ==
                   verdict_kind::good);
    CPPUNIT_ASSERT(chestnuthead::judge(call, options, make_reply(200, "{}")).kind ==
                   verdict_kind::wrong);
  }

 private:
  chestnuthead::verdict judge(const exchange_reply& reply) {
    return chestnuthead::judge(this->chat, {}, reply);
  }

  chestnuthead::session chat;
  std::string whole;
};

CPPUNIT_TEST_SUITE_REGISTRATION(verdict_test);

}  // namespace
