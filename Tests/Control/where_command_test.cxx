#include "Control/where_command.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr const char* choice = R"({"route":"chats","customer":"schools","customer_known":true,
"priority":1,"deadline_ms":10000,"answer_by_ms":8000,"waits_for_origin":false,
"pools":[{"pool":"engines","weight":1,"share":1,"load_bound":3.25,"endpoints":[
{"endpoint":"e-1","failure_domain":"north","version":"v1","state":"ejected","in_flight":0,
"load":0,"slots":64,"cold":false,"holds_prefix":true,"rank":1,"share":0},
{"endpoint":"e-2","failure_domain":"south","version":"v1","state":"in_service","in_flight":2,
"load":7.5,"slots":0,"cold":true,"holds_prefix":false,"rank":2,"share":1,
"reason":"home_of_prefix"}]}]})";

constexpr const char* refused = R"({"route":"chats","customer":"","customer_known":false,
"priority":0,"deadline_ms":0,"answer_by_ms":0,"waits_for_origin":false,
"refusal":{"kind":"unknown_key","status":401,"min_retry_after_ms":0,"max_retry_after_ms":0},
"pools":[]})";

constexpr const char* full = R"({"route":"chats","customer":"schools","customer_known":true,
"priority":1,"deadline_ms":10000,"answer_by_ms":8000,"waits_for_origin":false,
"pools":[{"pool":"engines","weight":1,"share":1,"load_bound":0,"endpoints":[],
"refusal":{"kind":"overloaded","status":503,"min_retry_after_ms":250,
"max_retry_after_ms":1500}}]})";

}  // namespace

class where_command_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(where_command_test);
  CPPUNIT_TEST(prints_the_chosen_endpoint_first);
  CPPUNIT_TEST(prints_a_refusal_before_the_pool);
  CPPUNIT_TEST(prints_a_refusal_of_a_pool);
  CPPUNIT_TEST(an_unexpected_object_is_printed_without_a_fault);
  CPPUNIT_TEST_SUITE_END();

 public:
  void prints_the_chosen_endpoint_first() {
    const auto report = parse_json_object(choice);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "Route chats, customer schools, priority 1.\n"
            "The caller waits 10.000 s, the answer is due within 8.000 s.\n"
            "\n"
            "Pool engines: weight 1.000, share 100.0%, load bound 3.2.\n"
            "ENDPOINT  FAILURE DOMAIN  STATE              IN FLIGHT  LOAD  SLOTS  PREFIX  RANK  "
            "SHARE   REASON          VERSION\n"
            "e-2       south           in_service (cold)  2          7.5   -      no      2     "
            "100.0%  home_of_prefix  v1\n"
            "e-1       north           ejected            0          0.0   64     yes     1     "
            "0.0%    -               v1\n"),
        format_where_text(*report));
    CPPUNIT_ASSERT(!is_refused_everywhere(*report));
  }

  void prints_a_refusal_before_the_pool() {
    const auto report = parse_json_object(refused);
    CPPUNIT_ASSERT_EQUAL(std::string("Route chats, priority 0.\n"
                                     "The configuration has no such customer.\n"
                                     "Refused: unknown_key, status 401.\n"),
                         format_where_text(*report));
    CPPUNIT_ASSERT(is_refused_everywhere(*report));
  }

  void prints_a_refusal_of_a_pool() {
    const auto report = parse_json_object(full);
    const std::string text = format_where_text(*report);
    CPPUNIT_ASSERT(text.find("Refused: overloaded, status 503, Retry-After 0.250 to 1.500 s.\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(is_refused_everywhere(*report));
  }

  /// Guards against an exception on an answer of another build.
  void an_unexpected_object_is_printed_without_a_fault() {
    const auto report =
        parse_json_object(R"({"pools":[1,{"endpoints":[{"load":"x"}],"share":null}],"route":3})");
    CPPUNIT_ASSERT(!format_where_text(*report).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(where_command_test);

}  // namespace chestnuthead
