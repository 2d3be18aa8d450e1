#include "Daemons/public_request.h"

#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

using headers = std::map<std::string, std::string>;

std::variant<std::shared_ptr<exchange>, request_fault> read(const std::string& method,
                                                            const std::string& uri,
                                                            const std::string& body,
                                                            const headers& given) {
  caller_request request{method, uri, "application/json", body, [given](const char* name) {
                           const auto place = given.find(name);
                           return place == given.end() ? std::string() : place->second;
                         }};
  return read_request(std::move(request), "fresh");
}

request_arrived arrival(const std::string& method, const std::string& uri, const std::string& body,
                        const headers& given) {
  return std::get<std::shared_ptr<exchange>>(read(method, uri, body, given))->arrival;
}

void check_fault(error_kind expected, const std::string& uri, const std::string& body,
                 const headers& given) {
  const auto result = read("POST", uri, body, given);
  CPPUNIT_ASSERT_MESSAGE(body, std::holds_alternative<request_fault>(result));
  CPPUNIT_ASSERT(std::get<request_fault>(result).kind == expected);
}

const std::string chat = "/v1/chat/completions";
const headers customer{{"Chestnut-Customer", "schools"}};
const std::string two_turns = R"({"model": "m", "max_tokens": 9, "messages": [
  {"role": "user", "content": "a"}, {"role": "assistant", "content": "b"},
  {"role": "user", "content": "c"}]})";

}  // namespace

class public_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(public_request_test);
  CPPUNIT_TEST(a_chat_call_is_read);
  CPPUNIT_TEST(a_service_call_is_read);
  CPPUNIT_TEST(a_call_without_a_key_gets_one);
  CPPUNIT_TEST(invalid_requests_give_the_right_error_kind);
  CPPUNIT_TEST(an_error_answer_has_all_fields);
  CPPUNIT_TEST(waits_are_rounded_up_to_seconds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_chat_call_is_read() {
    const request_arrived got = arrival("POST", chat, two_turns,
                                        {{"Chestnut-Customer", "schools"},
                                         {"Chestnut-Class", "quick_check"},
                                         {"Chestnut-Deadline-Ms", "1500"},
                                         {"Chestnut-Request-Id", "mine"}});
    CPPUNIT_ASSERT(got.facts.pool == pool_id{"m"});
    CPPUNIT_ASSERT(got.facts.returning);
    CPPUNIT_ASSERT(got.facts.importance == request_class::quick_check);
    CPPUNIT_ASSERT(got.time_allowed == std::chrono::milliseconds(1'500));
    CPPUNIT_ASSERT(got.facts.request == request_id{"mine"});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{9}, got.facts.answer_tokens);
    CPPUNIT_ASSERT(got.method.empty() && got.facts.key.empty());
  }

  void a_service_call_is_read() {
    const request_arrived got = arrival("PUT", "/services/kit-orders/orders/7?x=1", "b",
                                        {{"Chestnut-Customer", "s"}, {"Idempotency-Key", "k"}});
    CPPUNIT_ASSERT(got.facts.pool == pool_id{"kit-orders"});
    CPPUNIT_ASSERT_EQUAL(std::string("/orders/7?x=1"), got.path);
    CPPUNIT_ASSERT_EQUAL(std::string("PUT"), got.method);
    CPPUNIT_ASSERT(got.key_from_caller && got.facts.key == idempotency_key{"k"});
  }

  void a_call_without_a_key_gets_one() {
    const auto result = read("POST", "/services/kit-orders", "b", customer);
    const auto& entry = std::get<std::shared_ptr<exchange>>(result);
    CPPUNIT_ASSERT(!entry->arrival.key_from_caller);
    CPPUNIT_ASSERT(entry->arrival.facts.key == entry->generated_key);
    CPPUNIT_ASSERT_EQUAL(std::string("/"), entry->arrival.path);
  }

  void invalid_requests_give_the_right_error_kind() {
    check_fault(error_kind::missing_header, chat, two_turns, {});
    check_fault(error_kind::malformed_request, chat, "{", customer);
    check_fault(error_kind::malformed_request, chat, "[]", customer);
    check_fault(error_kind::malformed_request, chat, R"({"messages": []})", customer);
    check_fault(error_kind::malformed_request, chat, R"({"model": "m"})", customer);
    check_fault(error_kind::malformed_request, "/services/", "b", customer);
    for (const char* value : {"0", "-1", "1.5", "soon", "99999999999"}) {
      check_fault(error_kind::malformed_request, chat, two_turns,
                  {{"Chestnut-Customer", "s"}, {"Chestnut-Deadline-Ms", value}});
    }
    check_fault(error_kind::malformed_request, chat, two_turns,
                {{"Chestnut-Customer", "s"}, {"Chestnut-Class", "vip"}});
    check_fault(error_kind::malformed_request, chat, two_turns, {{"Chestnut-Customer", "a b"}});
  }

  void an_error_answer_has_all_fields() {
    for (int index = 0; index < error_kind_count; ++index) {
      const auto kind = static_cast<error_kind>(index);
      const auto body = parse_json_object(
          format_error(kind, "", run_state::unknown, std::chrono::milliseconds(250)));
      const auto error = json_object(*body, "error");
      CPPUNIT_ASSERT_EQUAL(std::string(answer_for(kind).name), json_text(*error, "kind"));
      CPPUNIT_ASSERT_EQUAL(std::string(answer_for(kind).sentence), json_text(*error, "message"));
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), json_text(*error, "ran"));
      CPPUNIT_ASSERT_EQUAL(std::int64_t{250}, json_number(*error, "come_back_ms"));
    }
  }

  void waits_are_rounded_up_to_seconds() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, retry_after_seconds(std::chrono::milliseconds(0)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, retry_after_seconds(std::chrono::milliseconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, retry_after_seconds(std::chrono::milliseconds(1'001)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(public_request_test);

}  // namespace chestnuthead
