#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "Control/explanation.h"
#include "Control/timeline_merge.h"
#include "Control/timeline_page.h"

namespace {

using chestnuthead::timeline_event;
using chestnuthead::timeline_filter;

constexpr const char* router_events = R"([
  {"wall_ms":1000,"counter":1,"node":"router-1","event":"attempt_sent","request":"r1",
   "chat":"c1","endpoint":"agent-1"},
  {"wall_ms":1005,"counter":0,"node":"router-1","event":"attempt_refused","request":"r1",
   "endpoint":"agent-1","detail":"above <mean> & full"}])";
constexpr const char* agent_events = R"([
  {"wall_ms":1000,"counter":2,"node":"agent-1","event":"attempt_offered","request":"r1",
   "endpoint":"agent-1","failure_domain":"north"},
  {"wall_ms":900,"counter":0,"node":"agent-1","event":"endpoint_ready","endpoint":"agent-1"}])";

class timeline_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(timeline_test);
  CPPUNIT_TEST(orders_events_of_all_nodes);
  CPPUNIT_TEST(chat_filter_keeps_all_events_of_its_requests);
  CPPUNIT_TEST(filters_by_request_domain_and_time);
  CPPUNIT_TEST(malformed_json_yields_no_events);
  CPPUNIT_TEST(page_escapes_html);
  CPPUNIT_TEST(explains_a_request);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->events = chestnuthead::parse_events(router_events);
    const auto more = chestnuthead::parse_events(agent_events);
    this->events.insert(this->events.end(), more.begin(), more.end());
    chestnuthead::order_events(this->events);
  }

  void orders_events_of_all_nodes() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("endpoint_ready"), this->events[0].name);
    CPPUNIT_ASSERT_EQUAL(std::string("attempt_sent"), this->events[1].name);
    CPPUNIT_ASSERT_EQUAL(std::string("attempt_offered"), this->events[2].name);
  }

  void chat_filter_keeps_all_events_of_its_requests() {
    timeline_filter filter;
    filter.chat = "c1";
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->count(filter));
  }

  void filters_by_request_domain_and_time() {
    timeline_filter filter;
    filter.request = "r1";
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->count(filter));
    filter.failure_domain = "north";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->count(filter));
    timeline_filter late;
    late.from_ms = 1001;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->count(late));
  }

  void malformed_json_yields_no_events() {
    CPPUNIT_ASSERT(chestnuthead::parse_events("[{\"wall_ms\":1},").empty());
    CPPUNIT_ASSERT(chestnuthead::parse_events("{}").empty());
  }

  void page_escapes_html() {
    const std::string page = chestnuthead::format_timeline_page(this->events);
    CPPUNIT_ASSERT(page.find("above &lt;mean&gt; &amp; full") != std::string::npos);
    CPPUNIT_ASSERT(page.find("<mean>") == std::string::npos);
    CPPUNIT_ASSERT(page.find("src=") == std::string::npos);
  }

  void explains_a_request() {
    const auto list = chestnuthead::explain_requests(this->events, this->events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("1970-01-01T00:00:01.005Z router-1: attempt refused (agent-1), above <mean> & "
                    "full."),
        list.front().sentences.back());
  }

 private:
  std::size_t count(const timeline_filter& filter) {
    return chestnuthead::filter_events(this->events, filter).size();
  }

  std::vector<timeline_event> events;
};

CPPUNIT_TEST_SUITE_REGISTRATION(timeline_test);

}  // namespace
