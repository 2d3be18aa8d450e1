#include "Control/log_lines.h"

#include <algorithm>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

#include "Control/explanation.h"
#include "Control/timeline_page.h"

namespace chestnuthead {

namespace {

constexpr const char* lines =
    R"(host-1: {"ts":1000,"level":"info","node":"g-1","event":"configuration_taken","version":4,"routes":2}
{"ts":1500,"level":"info","node":"g-2","event":"configuration_taken","version":5,"routes":2}
not a line of ours
{"ts":2000,"level":"warning","node":"g-1","event":"store_lost","table":"op","status":0}
{"ts":2000,"level":"warning","node":"g-1","event":"store_lost","table":"servers","status":0}
{"ts":3000,"level":"info","node":"g-1","event":"store_reached","table":"servers"}
{"ts":4000,"level":"warning","node":"g-2","event":"endpoint_set_aside","endpoint":"e-1","request":"r0","reason":"broken"}
{"ts":4500,"level":"info","node":"g-2","event":"endpoint_removed","endpoint":"e-1"}
{"ts":4600,"level":"info","node":"g-2","event":"endpoint_removed","endpoint":"e-9"}
{"ts":5000,"level":"info","node":"g-1","event":"request_attempt","request":"r1","attempt":1,"endpoint":"e-1","result":"broken"}
{"ts":5000,"level":"info","node":"g-1","event":"request_attempt","request":"r1","attempt":2,"endpoint":"e-2","result":"answered"}
{"ts":5000,"level":"info","node":"g-1","event":"request_ended","request":"r1","outcome":"answered","endpoints":"e-1,e-2"}
{"ts":4700,"level":"info","node":"g-2","event":"endpoint_listed","endpoint":"e-1"}
{"ts":6000,"level":"info","node":"g-1","event":"configuration_taken","version":6,"routes":2}
{"ts":60000,"level":"info","node":"g-1","event":"request_ended","request":"r2","outcome":"overloaded","endpoints":"e-1"}
)";

}  // namespace

class log_lines_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_lines_test);
  CPPUNIT_TEST(events_are_found_behind_what_collectors_add);
  CPPUNIT_TEST(fields_without_a_place_go_into_the_detail);
  CPPUNIT_TEST(circumstances_are_those_of_the_gateway_and_of_the_endpoints);
  CPPUNIT_TEST(what_is_long_past_does_not_bear_on_a_request);
  CPPUNIT_TEST(a_story_holds_attempts_in_their_order);
  CPPUNIT_TEST(an_unknown_request_has_no_circumstances);
  CPPUNIT_TEST(a_process_that_starts_again_is_named);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::istringstream in(lines);
    this->reading = read_log_lines(in);
  }

  void events_are_found_behind_what_collectors_add() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, this->reading.events.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->reading.skipped);
    CPPUNIT_ASSERT_EQUAL(std::string("g-1"), this->reading.events.front().node.value);
    CPPUNIT_ASSERT(this->reading.events.front().when.wall == std::chrono::milliseconds{1'000});
  }

  void fields_without_a_place_go_into_the_detail() {
    CPPUNIT_ASSERT_EQUAL(std::string("routes=2 version=4"), this->reading.events.front().detail);
    CPPUNIT_ASSERT_EQUAL(std::string("e-2"), this->reading.events[10].endpoint.value);
  }

  void circumstances_are_those_of_the_gateway_and_of_the_endpoints() {
    std::vector<std::string> found;
    for (const timeline_event& event : circumstances_of(this->reading.events, "r1")) {
      found.push_back(event.node.value + " " + event.name);
    }
    const std::vector<std::string> expected{"g-1 configuration_taken", "g-1 store_lost",
                                            "g-1 store_lost", "g-1 store_reached",
                                            "g-2 endpoint_removed"};
    CPPUNIT_ASSERT(found == expected);
  }

  void what_is_long_past_does_not_bear_on_a_request() {
    const auto events = circumstances_of(this->reading.events, "r2");
    CPPUNIT_ASSERT(std::none_of(events.begin(), events.end(), [](const timeline_event& event) {
      return event.name == "endpoint_removed";
    }));
    // The configuration in force is the last one, however old.
    CPPUNIT_ASSERT_EQUAL(std::string("routes=2 version=6"), events.back().detail);
  }

  void a_story_holds_attempts_in_their_order() {
    const auto stories = explain_requests(this->reading.events, this->reading.events);
    const auto story = std::find_if(stories.begin(), stories.end(),
                                    [](const auto& entry) { return entry.request == "r1"; });
    CPPUNIT_ASSERT(story != stories.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, story->sentences.size());
    CPPUNIT_ASSERT(story->sentences[0].find("(e-1), attempt=1") != std::string::npos);
    CPPUNIT_ASSERT(story->sentences[2].find("outcome=answered") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, story->circumstances.size());
    const std::string text = format_explanations_text({*story});
    CPPUNIT_ASSERT(text.find("Known at that time:") != std::string::npos);
    const auto page = with_circumstances({this->reading.events[9]}, this->reading.events);
    CPPUNIT_ASSERT(format_timeline_page(page).find("store_lost") != std::string::npos);
  }

  void a_process_that_starts_again_is_named() {
    std::istringstream in(R"({"ts":1,"node":"g-1","event":"started"}
{"ts":1,"node":"g-2","event":"started"}
{"ts":2,"node":"g-2","event":"store_reached"}
{"ts":9,"node":"g-2","event":"started"})");
    const auto restarts = restarts_of(read_log_lines(in).events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("g-2"), restarts[0].node.value);
  }

  void an_unknown_request_has_no_circumstances() {
    CPPUNIT_ASSERT(circumstances_of(this->reading.events, "r9").empty());
  }

 private:
  log_reading reading;
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_lines_test);

}  // namespace chestnuthead
