#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

#include "Net/json_text.h"
#include "Traffic/traffic_bench.h"

namespace chestnuthead {

using connection = scripted_endpoint::connection;

/// Checks the lines that requests leave against the tables of docs/logs.md.
class log_schema_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_schema_test);
  CPPUNIT_TEST(every_line_is_as_the_page_says);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_line_is_as_the_page_says() {
    traffic_bench bench;
    bench.plain->scripts = {
        [](connection& caller) { caller.reset(); },
        [](connection& caller) { caller.send(traffic_bench::answer_bytes("p2", "paid")); }};
    const auto caller = bench.connect();
    caller->send(traffic_bench::payment_bytes("p1") + traffic_bench::payment_bytes("p2") +
                 "POST /none/ HTTP/1.1\r\nHost: chats.example\r\n\r\n" + "NONSENSE\r\n\r\n");
    CPPUNIT_ASSERT(bench.run_until([&] { return caller->ended; }));
    // A chat whose only endpoint is not there.
    bench.endpoints.erase(bench.endpoints.begin());
    const auto other = bench.connect();
    other->send(traffic_bench::chat_bytes("c1"));
    CPPUNIT_ASSERT(bench.run_until([&] { return other->has_answers(1); }));
    check_lines(bench.take_log());
  }

 private:
  /// Fields by event, as the page's table lists them.
  static std::map<std::string, std::set<std::string>> schema() {
    std::map<std::string, std::set<std::string>> events;
    std::ifstream page(CHESTNUTHEAD_LOGS_PAGE);
    for (std::string line; std::getline(page, line);) {
      if (!line.starts_with("| `")) {
        continue;
      }
      std::istringstream words(line);
      std::string word;
      std::vector<std::string> names;
      while (std::getline(words, word, '`')) {
        names.push_back(word);
      }
      for (std::size_t at = 1; at < names.size(); at += 2) {
        events[names[1]].insert(names[at]);
      }
    }
    return events;
  }

  static void check_lines(const std::string& lines) {
    const auto events = schema();
    const std::set<std::string> common{"ts", "level", "node", "event"};
    std::istringstream text(lines);
    std::set<std::string> seen;
    for (std::string line; std::getline(text, line);) {
      const auto object = parse_json_object(line);
      CPPUNIT_ASSERT_MESSAGE(line, !object.isNull());
      const std::string event = json_text(*object, "event");
      CPPUNIT_ASSERT_MESSAGE(line, events.contains(event));
      for (const std::string& name : object->getNames()) {
        CPPUNIT_ASSERT_MESSAGE(line, common.contains(name) || events.at(event).contains(name));
      }
      seen.insert(event);
    }
    for (const char* expected : {"request_ended", "request_rejected", "endpoint_set_aside"}) {
      CPPUNIT_ASSERT_MESSAGE(expected, seen.contains(expected));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_schema_test);

}  // namespace chestnuthead
