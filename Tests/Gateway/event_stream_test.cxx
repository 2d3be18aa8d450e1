#include "Gateway/event_stream.h"

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

#include "processor_time.h"
#include "property_check.h"

namespace chestnuthead::gateway {

class event_stream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_stream_test);
  CPPUNIT_TEST(events_are_complete_wherever_the_bytes_are_split);
  CPPUNIT_TEST(an_incomplete_event_is_buffered);
  CPPUNIT_TEST(repeated_events_are_skipped);
  CPPUNIT_TEST(a_missing_event_makes_the_stream_unsound);
  CPPUNIT_TEST(an_event_without_end_makes_the_stream_unsound);
  CPPUNIT_TEST(an_event_without_end_in_small_pieces_takes_little_time);
  CPPUNIT_TEST(many_events_in_a_piece_take_little_time);
  CPPUNIT_TEST(a_blank_line_ends_an_event_wherever_it_is_split);
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

  /// Guards against a search and a copy of all buffered bytes for each piece that arrives.
  void an_event_without_end_in_small_pieces_takes_little_time() {
    for (const std::string& piece : {std::string("x\n"), std::string("x"), std::string("x\r\n"),
                                     std::string("data: word\n")}) {
      event_splitter splitter;
      std::string whole;
      const std::chrono::milliseconds spent = processor_time_of([&] {
        while (splitter.sound) {
          split_events(splitter, piece, whole);
        }
      });
      CPPUNIT_ASSERT(whole.empty());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(spent.count()) + " ms for " + piece,
                             spent < longest_time);
    }
  }

  /// Guards against a search of the whole piece for each event in it.
  void many_events_in_a_piece_take_little_time() {
    constexpr int pieces = 64;
    constexpr std::size_t events_in_piece = 16'384;
    for (const std::string& event : {std::string(":\n\n"), std::string(":\r\n\r\n")}) {
      std::string piece;
      for (std::size_t count = 0; count < events_in_piece; ++count) {
        piece += event;
      }
      event_splitter splitter;
      std::string whole;
      const std::chrono::milliseconds spent = processor_time_of([&] {
        for (int count = 0; count < pieces; ++count) {
          split_events(splitter, piece, whole);
        }
      });
      CPPUNIT_ASSERT_EQUAL(pieces * events_in_piece, static_cast<std::size_t>(splitter.events));
      CPPUNIT_ASSERT_EQUAL(pieces * piece.size(), whole.size());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(spent.count()) + " ms", spent < longest_time);
    }
  }

  /// The search goes on where it ended before, which may be within the blank line.
  void a_blank_line_ends_an_event_wherever_it_is_split() {
    const std::string stream = "a\r\n\r\nb\n\nc\r\n\n\n\n\r\n\r\nd\n\r\n\r\ne";
    event_splitter unsplit;
    std::string expected;
    split_events(unsplit, stream, expected);
    for (std::size_t first = 0; first <= stream.size(); ++first) {
      for (std::size_t second = first; second <= stream.size(); ++second) {
        event_splitter splitter;
        std::string whole;
        const std::string_view bytes = stream;
        split_events(splitter, bytes.substr(0, first), whole);
        split_events(splitter, bytes.substr(first, second - first), whole);
        split_events(splitter, bytes.substr(second), whole);
        CPPUNIT_ASSERT_EQUAL(expected, whole);
        CPPUNIT_ASSERT_EQUAL(unsplit.events, splitter.events);
        CPPUNIT_ASSERT_EQUAL(std::string("e"), splitter.partial);
      }
    }
  }

 private:
  /// A request may be answered this much after its route's timeout.
  static constexpr std::chrono::milliseconds longest_time{500};

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
