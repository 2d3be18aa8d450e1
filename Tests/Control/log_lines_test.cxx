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
  CPPUNIT_TEST(skips_prefixes_of_log_collectors);
  CPPUNIT_TEST(unmapped_fields_go_into_the_detail);
  CPPUNIT_TEST(circumstances_cover_the_gateway_and_the_endpoints);
  CPPUNIT_TEST(old_endpoint_events_are_left_out);
  CPPUNIT_TEST(explanation_lists_attempts_in_order);
  CPPUNIT_TEST(an_unknown_request_has_no_circumstances);
  CPPUNIT_TEST(reports_restarted_processes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::istringstream in(lines);
    this->log = read_log_lines(in);
  }

  void skips_prefixes_of_log_collectors() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, this->log.events.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->log.skipped);
    CPPUNIT_ASSERT_EQUAL(std::string("g-1"), this->log.events.front().node.value);
    CPPUNIT_ASSERT(this->log.events.front().when.wall == std::chrono::milliseconds{1'000});
  }

  void unmapped_fields_go_into_the_detail() {
    CPPUNIT_ASSERT_EQUAL(std::string("routes=2 version=4"), this->log.events.front().detail);
    CPPUNIT_ASSERT_EQUAL(std::string("e-2"), this->log.events[10].endpoint.value);
  }

  void circumstances_cover_the_gateway_and_the_endpoints() {
    std::vector<std::string> found;
    for (const timeline_event& event : circumstances_of(this->log.events, "r1")) {
      found.push_back(event.node.value + " " + event.name);
    }
    const std::vector<std::string> expected{"g-1 configuration_taken", "g-1 store_lost",
                                            "g-1 store_lost", "g-1 store_reached",
                                            "g-2 endpoint_removed"};
    CPPUNIT_ASSERT(found == expected);
  }

  void old_endpoint_events_are_left_out() {
    const auto events = circumstances_of(this->log.events, "r2");
    CPPUNIT_ASSERT(std::none_of(events.begin(), events.end(), [](const timeline_event& event) {
      return event.name == "endpoint_removed";
    }));
    // The last configuration applies however old its event is.
    CPPUNIT_ASSERT_EQUAL(std::string("routes=2 version=6"), events.back().detail);
  }

  void explanation_lists_attempts_in_order() {
    const auto explanations = explain_requests(this->log.events, this->log.events);
    const auto found = std::find_if(explanations.begin(), explanations.end(),
                                    [](const auto& entry) { return entry.request == "r1"; });
    CPPUNIT_ASSERT(found != explanations.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found->sentences.size());
    CPPUNIT_ASSERT(found->sentences[0].find("(e-1), attempt=1") != std::string::npos);
    CPPUNIT_ASSERT(found->sentences[2].find("outcome=answered") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, found->circumstances.size());
    const std::string text = format_explanations_text({*found});
    CPPUNIT_ASSERT(text.find("Known at that time:") != std::string::npos);
    const auto page = with_circumstances({this->log.events[9]}, this->log.events);
    CPPUNIT_ASSERT(format_timeline_page(page).find("store_lost") != std::string::npos);
  }

  void reports_restarted_processes() {
    std::istringstream in(R"({"ts":1,"node":"g-1","event":"started"}
{"ts":1,"node":"g-2","event":"started"}
{"ts":2,"node":"g-2","event":"store_reached"}
{"ts":9,"node":"g-2","event":"started"})");
    const auto restarts = restarts_of(read_log_lines(in).events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("g-2"), restarts[0].node.value);
  }

  void an_unknown_request_has_no_circumstances() {
    CPPUNIT_ASSERT(circumstances_of(this->log.events, "r9").empty());
  }

 private:
  parsed_log log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_lines_test);

}  // namespace chestnuthead
