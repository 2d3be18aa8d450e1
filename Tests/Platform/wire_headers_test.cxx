#include "wire_headers.h"

#include <chrono>
#include <optional>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/endpoint_reports.h"

namespace chestnuthead::platform {

class wire_headers_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(wire_headers_test);
  CPPUNIT_TEST(prompt_parts_are_decoded);
  CPPUNIT_TEST(a_request_without_host_is_malformed);
  CPPUNIT_TEST(a_request_with_an_absolute_target_is_malformed);
  CPPUNIT_TEST(malformed_numbers_are_treated_as_absent);
  CPPUNIT_TEST(load_reports_of_all_lengths_are_read);
  CPPUNIT_TEST(an_answer_is_decoded);
  CPPUNIT_TEST(a_leaving_endpoint_is_detected);
  CPPUNIT_TEST(pauses_are_decoded_and_clamped);
  CPPUNIT_TEST(a_request_refused_after_crashes_may_be_retried);
  CPPUNIT_TEST_SUITE_END();

 public:
  void prompt_parts_are_decoded() {
    const auto request = decoded({{"Host", "a"},
                                  {"Token-Usage", "1460, 80"},
                                  {"Prefix-Hash", "5c1e:800,91bd:410, e440:250"}});
    CPPUNIT_ASSERT_EQUAL(1'460U, request.prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(80U, request.answer_tokens);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, request.prompt.size());
    CPPUNIT_ASSERT_EQUAL(250U, request.prompt[2].tokens);
    CPPUNIT_ASSERT(request.prompt[0].id != request.prompt[1].id);
  }

  void a_request_without_host_is_malformed() {
    CPPUNIT_ASSERT(std::get<error_kind>(decode({{"Api-Key", "k"}})) ==
                   error_kind::malformed_request);
  }

  void a_request_with_an_absolute_target_is_malformed() {
    traffic::http_head head;
    head.method = "GET";
    head.target = "http://a/x";
    head.fields = {{"Host", "a"}};
    CPPUNIT_ASSERT(std::holds_alternative<error_kind>(platform_dialect().decode_request(head)));
  }

  void malformed_numbers_are_treated_as_absent() {
    const auto request =
        decoded({{"Host", "a"}, {"Deadline-Ms", "soon"}, {"Prefix-Hash", "5c1e800"}});
    CPPUNIT_ASSERT(!request.patience.has_value());
    CPPUNIT_ASSERT(request.prompt.empty());
  }

  /// Guards against a report that is dropped as a whole because one of its figures is unreadable.
  void load_reports_of_all_lengths_are_read() {
    const auto decode = [](const std::string& report) {
      traffic::http_head head;
      head.status = 200;
      head.fields = {{"Instance-Load", report}};
      return platform_dialect().decode_answer(head);
    };
    CPPUNIT_ASSERT(decode("3,1").load == 4U && !decode("3,1").vm_slowdown);
    CPPUNIT_ASSERT(decode("3,1,8,250").load == 4U && decode("3,1,8,250").vm_slowdown == 2.5);
    CPPUNIT_ASSERT(decode("3,1,8,100,9").vm_slowdown == 1.0);
    CPPUNIT_ASSERT(!decode("x,1,8,150").load && decode("x,1,8,150").vm_slowdown == 1.5);
    for (const char* unreadable : {"3,1,8,fast", "3,1,8,-5", "3,1,8,nan", "3,1,8,0", ",,,", ""}) {
      CPPUNIT_ASSERT(!decode(unreadable).vm_slowdown);
      CPPUNIT_ASSERT(decode(unreadable).has_unreadable_load);
    }
    CPPUNIT_ASSERT(!decode("3,1,8").has_unreadable_load);
  }

  void an_answer_is_decoded() {
    traffic::http_head head;
    head.status = 421;
    head.fields = {{"attempt-id", "a1"},        {"Not-Executed", "1"},
                   {"Instance-Load", "3, 1,8"}, {"Keep-Alive", "timeout=7, max=3"},
                   {"Warmup-Ms", "1500"},       {"X-Kept", "yes"},
                   {"Connection", "keep-alive"}};
    const auto answer = platform_dialect().decode_answer(head);
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), answer.request_id);
    CPPUNIT_ASSERT(answer.not_executed);
    CPPUNIT_ASSERT(answer.wrong_endpoint);
    CPPUNIT_ASSERT(!answer.is_signed);
    CPPUNIT_ASSERT(answer.keep_alive == std::chrono::seconds{7});
    CPPUNIT_ASSERT(answer.load == 4U);
    CPPUNIT_ASSERT(answer.cold_for == std::chrono::milliseconds{1'500});
    CPPUNIT_ASSERT_EQUAL(std::string("attempt-id: a1\r\nNot-Executed: 1\r\nX-Kept: yes\r\n"),
                         answer.passed_headers);
  }

  void a_leaving_endpoint_is_detected() {
    traffic::http_head head;
    head.status = 200;
    head.fields = {{"server-leaving", "1"}, {"X-Kept", "yes"}};
    const auto answer = platform_dialect().decode_answer(head);
    CPPUNIT_ASSERT(answer.leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("X-Kept: yes\r\n"), answer.passed_headers);
    head.fields = {{"Server-Leaving", "0"}};
    CPPUNIT_ASSERT(!platform_dialect().decode_answer(head).leaving);
  }

  void pauses_are_decoded_and_clamped() {
    using std::chrono::milliseconds;
    CPPUNIT_ASSERT(pause_of(503, "2") == milliseconds{2'000});
    CPPUNIT_ASSERT(pause_of(503, "0.25") == milliseconds{250});
    CPPUNIT_ASSERT(pause_of(503, "-3") == milliseconds{0});
    CPPUNIT_ASSERT(pause_of(503, "1e300") == gateway::longest_pause);
    CPPUNIT_ASSERT(pause_of(503, "inf") == gateway::longest_pause);
    for (const char* unreadable : {"", "nan", "soon", "Fri, 04 Dec 2026 12:00:00 GMT", "2s"}) {
      CPPUNIT_ASSERT_MESSAGE(unreadable, pause_of(503, unreadable) == milliseconds{1'000});
    }
    CPPUNIT_ASSERT(!pause_of(429, "2"));
    CPPUNIT_ASSERT(!pause_of(200, "2"));
  }

  void a_request_refused_after_crashes_may_be_retried() {
    CPPUNIT_ASSERT_EQUAL(503,
                         platform_dialect().status_of(error_kind::request_refused_after_crashes));
    CPPUNIT_ASSERT_EQUAL(401, platform_dialect().status_of(error_kind::unknown_key));
  }

 private:
  static std::optional<std::chrono::milliseconds> pause_of(int status, const std::string& text) {
    traffic::http_head head;
    head.status = status;
    head.fields = {{"Retry-After", text}};
    return platform_dialect().decode_answer(head).pause;
  }

  using fields = std::vector<std::pair<std::string, std::string>>;

  static std::variant<gateway::caller_request, error_kind> decode(const fields& list) {
    traffic::http_head head;
    head.method = "POST";
    head.target = "/x/y";
    head.fields = list;
    return platform_dialect().decode_request(head);
  }

  static gateway::caller_request decoded(const fields& list) {
    return std::get<gateway::caller_request>(decode(list));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wire_headers_test);

}  // namespace chestnuthead::platform
