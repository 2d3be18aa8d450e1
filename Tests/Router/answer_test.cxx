#include "chestnuthead/answer.h"

#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

#include "Router/run_length.h"

namespace chestnuthead {

namespace {

std::uint64_t checksum_of(const std::string& bytes) {
  answer_checksum sum;
  sum.add(bytes);
  return sum.value();
}

void prepare(answer_assembly& assembly, const std::string& request) {
  assembly.request = {request};
  begin_attempt(assembly, {request + ".1"});
}

std::string passed_by(const assembly_step& step) {
  const auto* pass = std::get_if<pass_bytes>(&step);
  return pass == nullptr ? std::string() : pass->bytes;
}

// The frames of one attempt that answers with `body`.
std::vector<answer_frame> frames_of(const std::string& request, const std::string& body,
                                    seeded_random& random) {
  const request_id owner{request};
  const attempt_id attempt{request + ".1"};
  std::vector<answer_frame> frames{answer_head{owner, attempt, 200, "text/plain", 0, 0}};
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t size = 1 + next_below(random, 7);
    frames.emplace_back(answer_chunk{owner, attempt, at, body.substr(at, size)});
    at += size;
  }
  frames.emplace_back(answer_tail{owner, attempt, body.size(), checksum_of(body)});
  return frames;
}

std::string random_body(seeded_random& random) {
  std::string body;
  for (std::uint64_t left = next_below(random, 60); left > 0; --left) {
    body.push_back(static_cast<char>('a' + next_below(random, 26)));
  }
  return body;
}

// Reorders, duplicates or drops a few frames, or inserts some of other answers.
void inject_frame_faults(std::vector<answer_frame>& frames, const std::vector<answer_frame>& others,
                         seeded_random& random) {
  for (std::uint64_t left = next_below(random, 4); left > 0; --left) {
    const std::size_t at = next_below(random, frames.size());
    const auto place = frames.begin() + static_cast<std::ptrdiff_t>(at);
    switch (next_below(random, 4)) {
      case 0:
        std::swap(frames[at], frames[next_below(random, frames.size())]);
        break;
      case 1:
        frames.insert(place, frames[next_below(random, frames.size())]);
        break;
      case 2:
        frames.insert(place, others[next_below(random, others.size())]);
        break;
      default:
        if (frames.size() > 1) {
          frames.erase(place);
        }
    }
  }
}

}  // namespace

class answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_test);
  CPPUNIT_TEST(frames_of_other_requests_and_late_frames_are_dropped);
  CPPUNIT_TEST(repeated_bytes_are_passed_once);
  CPPUNIT_TEST(missing_bytes_break_the_attempt);
  CPPUNIT_TEST(resumed_answer_must_be_the_same);
  CPPUNIT_TEST(faulty_frame_sequences_give_the_whole_answer_or_none);
  CPPUNIT_TEST_SUITE_END();

 public:
  void frames_of_other_requests_and_late_frames_are_dropped() {
    answer_assembly assembly;
    prepare(assembly, "r");
    const assembly_step crossed = take_frame(assembly, answer_head{{"s"}, {"r.1"}, 200, "", 0, 0});
    const assembly_step late = take_frame(assembly, answer_head{{"r"}, {"r.0"}, 200, "", 0, 0});

    CPPUNIT_ASSERT(std::holds_alternative<frame_dropped>(crossed));
    CPPUNIT_ASSERT(std::holds_alternative<frame_dropped>(late));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, assembly.frames_dropped);
  }

  void repeated_bytes_are_passed_once() {
    answer_assembly assembly;
    prepare(assembly, "r");
    take_frame(assembly, answer_head{{"r"}, {"r.1"}, 200, "", 0, 0});
    take_frame(assembly, answer_chunk{{"r"}, {"r.1"}, 0, "abc"});

    const assembly_step overlap = take_frame(assembly, answer_chunk{{"r"}, {"r.1"}, 1, "bcde"});
    const assembly_step repeat = take_frame(assembly, answer_chunk{{"r"}, {"r.1"}, 0, "abc"});
    const assembly_step end =
        take_frame(assembly, answer_tail{{"r"}, {"r.1"}, 5, checksum_of("abcde")});

    CPPUNIT_ASSERT_EQUAL(std::string("de"), passed_by(overlap));
    CPPUNIT_ASSERT(std::holds_alternative<frame_dropped>(repeat));
    CPPUNIT_ASSERT(std::holds_alternative<answer_is_whole>(end));
  }

  void missing_bytes_break_the_attempt() {
    answer_assembly assembly;
    prepare(assembly, "r");
    take_frame(assembly, answer_head{{"r"}, {"r.1"}, 200, "", 0, 0});

    const assembly_step gap = take_frame(assembly, answer_chunk{{"r"}, {"r.1"}, 1, "b"});
    const assembly_step after = take_frame(assembly, answer_chunk{{"r"}, {"r.1"}, 0, "a"});

    CPPUNIT_ASSERT(std::holds_alternative<answer_is_broken>(gap));
    CPPUNIT_ASSERT(std::holds_alternative<frame_dropped>(after));
  }

  void resumed_answer_must_be_the_same() {
    for (const bool same : {true, false}) {
      answer_assembly assembly;
      prepare(assembly, "r");
      take_frame(assembly, answer_head{{"r"}, {"r.1"}, 200, "", 0, 0});
      take_frame(assembly, answer_chunk{{"r"}, {"r.1"}, 0, "abc"});
      begin_attempt(assembly, {"r.2"});

      const std::uint64_t before = checksum_of(same ? "abc" : "xyz");
      const assembly_step head =
          take_frame(assembly, answer_head{{"r"}, {"r.2"}, 200, "", 3, before});

      CPPUNIT_ASSERT_EQUAL(same, std::holds_alternative<pass_bytes>(head));
      CPPUNIT_ASSERT_EQUAL(!same, std::holds_alternative<answer_is_broken>(head));
    }
  }

  void faulty_frame_sequences_give_the_whole_answer_or_none() {
    const int rounds = run_length(2'000);
    int whole = 0;
    for (int seed = 0; seed < rounds; ++seed) {
      seeded_random random(seed);
      const std::string body = random_body(random);
      std::vector<answer_frame> frames = frames_of("r", body, random);
      inject_frame_faults(frames, frames_of("s", random_body(random), random), random);
      answer_assembly assembly;
      prepare(assembly, "r");
      std::string received;
      for (const answer_frame& frame : frames) {
        const assembly_step step = take_frame(assembly, frame);
        received += passed_by(step);
        const std::string message = "seed " + std::to_string(seed);
        // The bytes passed on are always a prefix of the right answer.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, body.substr(0, received.size()), received);
        if (std::holds_alternative<answer_is_whole>(step)) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(message, body, received);
          ++whole;
        }
      }
    }
    // Both complete and incomplete answers occurred.
    CPPUNIT_ASSERT(whole > rounds / 10);
    CPPUNIT_ASSERT(whole < rounds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_test);

}  // namespace chestnuthead
