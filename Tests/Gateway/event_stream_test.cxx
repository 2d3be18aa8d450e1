#include "Gateway/event_stream.h"

#include <cppunit/extensions/HelperMacros.h>

#include "property_check.h"

namespace chestnuthead::gateway {

class event_stream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_stream_test);
  CPPUNIT_TEST(events_are_complete_wherever_the_bytes_are_split);
  CPPUNIT_TEST(an_incomplete_event_is_buffered);
  CPPUNIT_TEST(repeated_events_are_skipped);
  CPPUNIT_TEST(a_missing_event_makes_the_stream_unsound);
  CPPUNIT_TEST(an_event_without_end_makes_the_stream_unsound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void events_are_complete_wherever_the_bytes_are_split() {
    check_property("pieces join to the stream", [](const std::vector<std::uint8_t>& cuts) {
      const std::string stream = events(1, 20);
      event_splitter splitter;
      std::string passed;
      std::size_t at = 0;
      for (const std::uint8_t cut : cuts) {
        const std::size_t size = std::min<std::size_t>(cut, stream.size() - at);
        std::string whole;
        split_events(splitter, std::string_view(stream).substr(at, size), whole);
        RC_ASSERT(whole.empty() || whole.ends_with("\n\n"));
        passed += whole;
        at += size;
      }
      split_events(splitter, std::string_view(stream).substr(at), passed);
      RC_ASSERT(passed == stream);
      RC_ASSERT(splitter.sound);
      RC_ASSERT(*splitter.last_event == 20U);
    });
  }

  void an_incomplete_event_is_buffered() {
    event_splitter splitter;
    std::string whole;
    split_events(splitter, "id: 1\ndata: a\n\nid: 2\nda", whole);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), whole);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\nda"), splitter.partial);
  }

  void repeated_events_are_skipped() {
    event_splitter splitter;
    splitter.last_event = 2;
    std::string whole;
    split_events(splitter, events(1, 4), whole);
    CPPUNIT_ASSERT_EQUAL(events(3, 4), whole);
    CPPUNIT_ASSERT(splitter.sound);
  }

  void a_missing_event_makes_the_stream_unsound() {
    event_splitter splitter;
    splitter.last_event = 2;
    std::string whole;
    split_events(splitter, events(4, 5), whole);
    CPPUNIT_ASSERT(whole.empty());
    CPPUNIT_ASSERT(!splitter.sound);
  }

  void an_event_without_end_makes_the_stream_unsound() {
    event_splitter splitter;
    std::string whole;
    split_events(splitter, std::string(longest_event_bytes + 1, 'x'), whole);
    CPPUNIT_ASSERT(whole.empty());
    CPPUNIT_ASSERT(!splitter.sound);
  }

 private:
  static std::string events(int first, int last) {
    std::string text;
    for (int number = first; number <= last; ++number) {
      text += "id: " + std::to_string(number) + "\ndata: tokens\n\n";
    }
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_stream_test);

}  // namespace chestnuthead::gateway
