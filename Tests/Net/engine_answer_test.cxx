#include "Net/engine_answer.h"

#include <cppunit/extensions/HelperMacros.h>

#include "processor_time.h"

namespace chestnuthead {

class engine_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(engine_answer_test);
  CPPUNIT_TEST(usage_is_found_however_the_stream_is_split);
  CPPUNIT_TEST(line_without_end_in_small_pieces_takes_little_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  void usage_is_found_however_the_stream_is_split() {
    const std::string stream =
        "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":3}}\n\n"
        "data: [DONE]\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
      engine_answer answer;
      answer.begin("text/event-stream");
      for (std::size_t begin = 0; begin < stream.size(); begin += size) {
        CPPUNIT_ASSERT(!answer.is_complete());
        answer.add(std::string_view(stream).substr(begin, size));
      }
      CPPUNIT_ASSERT(answer.is_complete());
      CPPUNIT_ASSERT_EQUAL(12U, answer.usage().prompt_tokens);
      CPPUNIT_ASSERT_EQUAL(3U, answer.usage().answer_tokens);
    }
  }

  /// Guards against a search of the whole unfinished line for each piece that arrives.
  void line_without_end_in_small_pieces_takes_little_time() {
    constexpr std::size_t line_bytes = 2'000'000;
    // A request may be answered this much after its route's timeout.
    constexpr std::chrono::milliseconds longest_time{500};
    engine_answer answer;
    answer.begin("text/event-stream");
    const std::chrono::milliseconds spent = processor_time_of([&answer] {
      for (std::size_t sent = 0; sent < line_bytes; sent += 2) {
        answer.add("xx");
      }
    });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(spent.count()) + " ms", spent < longest_time);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_answer_test);

}  // namespace chestnuthead
