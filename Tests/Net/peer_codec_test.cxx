#include "Net/peer_codec.h"

#include <memory>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

namespace chestnuthead {

namespace {

attempt_message sample_attempt() {
  attempt_message message;
  message.facts.request = {"r1"};
  message.facts.customer = {"schools"};
  message.facts.pool = {"chestnut-llm"};
  message.facts.importance = request_class::long_plan;
  message.facts.rule = execution_rule::at_most_once;
  message.facts.key = {"k1"};
  message.facts.fingerprint = 0xFFFF'FFFF'FFFF'FFFF;
  message.attempt = {"a1"};
  message.terms.resume_offset = 7;
  message.terms.refused_loads.push_back({{"agent-2"}, 3, 8, std::chrono::milliseconds(6)});
  message.time_left = std::chrono::milliseconds(1'234);
  message.path = "/payments";
  message.body = std::make_shared<const std::string>(std::string("\0\xFF{", 3));
  return message;
}

gossip_message sample_gossip() {
  gossip_message message;
  message.from = {"router-1"};
  message.configuration_version = 9;
  message.wants_all = true;
  message.rumors.push_back(
      {rumor_kind::request_crashed, {"agent-1"}, 4, "f", "e", std::chrono::milliseconds(5)});
  message.loads.push_back({{"agent-2"}, 3, 8, std::chrono::milliseconds(6)});
  message.changes.push_back({9, false, "{}", 8, 77});
  return message;
}

std::string without_length(const std::string& framed) {
  constexpr std::size_t length_bytes = 4;
  return framed.substr(length_bytes);
}

/// Runs all decoders on the bytes. None may crash; the results are not used.
void decode_as_anything(const std::string& bytes) {
  decode_attempt(bytes);
  decode_probe(bytes);
  decode_load(bytes);
  decode_gossip(bytes);
  decode_frame(bytes);
  unpack_stored_answer(bytes);
}

}  // namespace

class peer_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_codec_test);
  CPPUNIT_TEST(an_attempt_round_trips);
  CPPUNIT_TEST(gossip_round_trips);
  CPPUNIT_TEST(frames_are_split_at_any_piece_size);
  CPPUNIT_TEST(an_oversized_frame_is_refused);
  CPPUNIT_TEST(a_truncated_message_is_a_fault);
  CPPUNIT_TEST(an_unknown_kind_is_a_fault);
  CPPUNIT_TEST(corrupt_bytes_do_not_crash_the_decoders);
  CPPUNIT_TEST(a_stored_answer_round_trips);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_attempt_round_trips() {
    const attempt_message sent = sample_attempt();
    const hybrid_time now{std::chrono::milliseconds(5), 6};
    const auto result = decode_attempt(encode_attempt(sent, now));
    const auto& got = std::get<stamped<attempt_message>>(result);
    CPPUNIT_ASSERT(got.sent == now);
    CPPUNIT_ASSERT(got.message.facts.request == sent.facts.request);
    CPPUNIT_ASSERT(got.message.facts.importance == sent.facts.importance);
    CPPUNIT_ASSERT(got.message.facts.rule == sent.facts.rule);
    CPPUNIT_ASSERT(got.message.facts.key == sent.facts.key);
    CPPUNIT_ASSERT_EQUAL(sent.facts.fingerprint, got.message.facts.fingerprint);
    CPPUNIT_ASSERT_EQUAL(sent.terms.resume_offset, got.message.terms.resume_offset);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, got.message.terms.refused_loads.at(0).limit);
    CPPUNIT_ASSERT(got.message.time_left == sent.time_left);
    CPPUNIT_ASSERT_EQUAL(sent.path, got.message.path);
    CPPUNIT_ASSERT_EQUAL(*sent.body, *got.message.body);
  }

  void gossip_round_trips() {
    const auto result = decode_gossip(encode_gossip(sample_gossip(), {}));
    const auto& got = std::get<stamped<gossip_message>>(result).message;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, got.configuration_version);
    CPPUNIT_ASSERT(got.wants_all && !got.wants_reply);
    CPPUNIT_ASSERT(got.rumors.at(0).kind == rumor_kind::request_crashed);
    CPPUNIT_ASSERT(got.loads.at(0).age == std::chrono::milliseconds(6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, got.changes.at(0).base_version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, got.changes.at(0).checksum);
  }

  void frames_are_split_at_any_piece_size() {
    const std::string bytes =
        encode_frame(accepted_frame{{"r"}, {"a"}, {}}, {}) +
        encode_frame(answer_chunk{{"r"}, {"a"}, 3, "abc"}, {}) +
        encode_frame(ended_frame{{"r"}, {"a"}, attempt_outcome::complete, {}}, {});
    for (std::size_t step = 1; step < bytes.size(); ++step) {
      frame_splitter splitter;
      std::string kinds;
      for (std::size_t start = 0; start < bytes.size(); start += step) {
        CPPUNIT_ASSERT(splitter.feed(bytes.substr(start, step)));
        while (const auto frame = splitter.next()) {
          const auto result = decode_frame(*frame);
          kinds += std::to_string(std::get<stamped<attempt_frame>>(result).message.index());
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::string("035"), kinds);
      CPPUNIT_ASSERT(splitter.empty());
    }
  }

  void an_oversized_frame_is_refused() {
    frame_splitter splitter;
    CPPUNIT_ASSERT(!splitter.feed(std::string("\x7F\xFF\xFF\xFF", 4)));
  }

  void a_truncated_message_is_a_fault() {
    const std::string gossip = encode_gossip(sample_gossip(), {});
    for (std::size_t size = 0; size < gossip.size(); ++size) {
      CPPUNIT_ASSERT(std::holds_alternative<codec_fault>(decode_gossip(gossip.substr(0, size))));
    }
  }

  void an_unknown_kind_is_a_fault() {
    std::string frame = without_length(encode_frame(answer_tail{{"r"}, {"a"}, 1, 2}, {}));
    // Position after the array header and the two fields of the timestamp.
    constexpr std::size_t kind_at = 3;
    CPPUNIT_ASSERT_EQUAL('\x04', frame.at(kind_at));
    frame.at(kind_at) = '\x06';
    CPPUNIT_ASSERT(std::holds_alternative<codec_fault>(decode_frame(frame)));
  }

  void corrupt_bytes_do_not_crash_the_decoders() {
    constexpr std::uint64_t seed = 20'261'204;
    constexpr int runs = 20'000;
    seeded_random random(seed);
    const std::string good = encode_gossip(sample_gossip(), {});
    const std::string attempt = encode_attempt(sample_attempt(), {});
    for (int run = 0; run < runs; ++run) {
      std::string bytes = run % 2 == 0 ? good : attempt;
      bytes.resize(1 + next_below(random, bytes.size()));
      bytes.at(next_below(random, bytes.size())) = static_cast<char>(random.next());
      decode_as_anything(bytes);
    }
  }

  void a_stored_answer_round_trips() {
    const std::string body("\0\xFFx", 3);
    const auto parts = unpack_stored_answer(pack_stored_answer({201, "text/plain", body}));
    CPPUNIT_ASSERT(parts.has_value());
    CPPUNIT_ASSERT_EQUAL(201, parts->status);
    CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), parts->content_type);
    CPPUNIT_ASSERT_EQUAL(body, parts->body);
    CPPUNIT_ASSERT(!unpack_stored_answer("junk").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_codec_test);

}  // namespace chestnuthead
