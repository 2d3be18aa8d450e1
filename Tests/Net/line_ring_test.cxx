#include "Net/line_ring.h"

#include <array>

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include "Base/process_clock.h"
#include "Net/json_log.h"

namespace chestnuthead {

class line_ring_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(line_ring_test);
  CPPUNIT_TEST(flush_writes_whole_lines_in_order);
  CPPUNIT_TEST(memory_is_bounded_without_a_reader);
  CPPUNIT_TEST(a_full_pipe_does_not_block);
  CPPUNIT_TEST(the_log_reports_dropped_lines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void flush_writes_whole_lines_in_order() {
    line_ring ring;
    std::string expected;
    for (int number = 0; number < 100; ++number) {
      const std::string line = "line " + std::to_string(number);
      ring.add(line);
      expected += line + "\n";
    }
    std::string written;
    ring.flush(64, [&written](std::string_view piece) {
      CPPUNIT_ASSERT(piece.size() <= 64);
      CPPUNIT_ASSERT(piece.ends_with('\n'));
      written += piece;
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(expected, written);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ring.size());
  }

  void memory_is_bounded_without_a_reader() {
    line_ring ring(1'000);
    for (int number = 0; number < 10'000; ++number) {
      ring.add("nine byte");
      ring.flush(64, [](std::string_view) { return false; });
    }
    CPPUNIT_ASSERT(ring.size() <= 1'000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9'900}, ring.dropped());
  }

  void a_full_pipe_does_not_block() {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    const std::string piece(pipe_piece, 'x');
    std::size_t pieces = 0;
    while (write_without_blocking(ends[1], piece)) {
      ++pieces;
    }
    CPPUNIT_ASSERT(pieces > 0);
    std::array<char, pipe_piece> buffer{};
    CPPUNIT_ASSERT(::read(ends[0], buffer.data(), buffer.size()) > 0);
    CPPUNIT_ASSERT(write_without_blocking(ends[1], piece));
    ::close(ends[0]);
    ::close(ends[1]);
  }

  void the_log_reports_dropped_lines() {
    const process_clock time;
    line_ring ring(400);
    json_log log(time, "node", log_level::info, ring, 1'000);
    for (int number = 0; number < 50; ++number) {
      log.write(log_level::info, "event");
    }
    CPPUNIT_ASSERT(ring.dropped() > 0);
    std::string written;
    const auto take = [&written](std::string_view piece) {
      written += piece;
      return true;
    };
    ring.flush(pipe_piece, take);
    log.write(log_level::info, "event");
    ring.flush(pipe_piece, take);
    CPPUNIT_ASSERT(written.find(R"("event":"log_lines_dropped")") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_ring_test);

}  // namespace chestnuthead
