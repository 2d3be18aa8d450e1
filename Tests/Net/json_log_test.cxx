#include "Net/json_log.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

Poco::JSON::Object::Ptr line_with(const std::string& detail) {
  return parse_json_object(format_log_line(std::chrono::milliseconds(7), log_level::warning,
                                           "router-1", "tried", {{"detail", detail}}));
}

}  // namespace

class json_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(json_log_test);
  CPPUNIT_TEST(a_line_holds_the_common_fields);
  CPPUNIT_TEST(any_bytes_make_one_valid_line);
  CPPUNIT_TEST(valid_utf8_is_preserved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_line_holds_the_common_fields() {
    const auto line = line_with("x");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, json_number(*line, "ts"));
    CPPUNIT_ASSERT_EQUAL(std::string("warning"), json_text(*line, "level"));
    CPPUNIT_ASSERT_EQUAL(std::string("router-1"), json_text(*line, "node"));
    CPPUNIT_ASSERT_EQUAL(std::string("tried"), json_text(*line, "event"));
  }

  void any_bytes_make_one_valid_line() {
    for (int first = 0; first < 256; ++first) {
      for (const char* rest : {"", "\n", "\x80", "\xC3", "\xE2\x82", "\xF0\x9F\x98", "\""}) {
        const std::string detail = static_cast<char>(first) + std::string(rest);
        const std::string text = format_log_line({}, log_level::info, detail, detail, {});
        CPPUNIT_ASSERT(text.find('\n') == std::string::npos);
        CPPUNIT_ASSERT(!parse_json_object(text).isNull());
      }
    }
  }

  void valid_utf8_is_preserved() {
    const std::string detail = "tab\t quote\" slash\\ \xC3\xA9 \xE2\x82\xAC \xF0\x9F\x98\x80";
    CPPUNIT_ASSERT_EQUAL(detail, json_text(*line_with(detail), "detail"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_log_test);

}  // namespace chestnuthead
