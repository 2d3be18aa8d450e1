#include "Traffic/peer_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "property_check.h"

namespace chestnuthead::traffic {

using namespace std::string_view_literals;

class gateway_peer_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_peer_codec_test);
  CPPUNIT_TEST(message_survives_a_round_trip);
  CPPUNIT_TEST(message_without_prompt_parts_is_read);
  CPPUNIT_TEST(earlier_builds_read_the_first_fields);
  CPPUNIT_TEST(excessive_part_reports_are_rejected);
  CPPUNIT_TEST(corrupt_bytes_are_handled);
  CPPUNIT_TEST(excessive_declared_sizes_are_rejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void message_survives_a_round_trip() {
    const gateway::peer_message message = sample();
    const auto decoded = decode_peer_message(encode_peer_message(message));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->sender == message.sender);
    CPPUNIT_ASSERT_EQUAL(message.start, decoded->start);
    CPPUNIT_ASSERT_EQUAL(message.sequence, decoded->sequence);
    CPPUNIT_ASSERT_EQUAL(message.current, decoded->current);
    CPPUNIT_ASSERT_EQUAL(message.configuration, decoded->configuration);
    CPPUNIT_ASSERT(decoded->leaving);
    CPPUNIT_ASSERT_EQUAL(message.loads[1].endpoint, decoded->loads.at(1).endpoint);
    CPPUNIT_ASSERT_EQUAL(message.loads[1].in_flight, decoded->loads.at(1).in_flight);
    CPPUNIT_ASSERT(message.unreachable == decoded->unreachable);
    CPPUNIT_ASSERT(message.leaving_endpoints == decoded->leaving_endpoints);
    CPPUNIT_ASSERT(message.crashes == decoded->crashes);
    CPPUNIT_ASSERT(message.placements == decoded->placements);
    CPPUNIT_ASSERT(message.shorter_prefixes == decoded->shorter_prefixes);
    const gateway::part_crash& crash = decoded->parts.crashes.at(1);
    CPPUNIT_ASSERT_EQUAL(message.parts.crashes[1].part, crash.part);
    CPPUNIT_ASSERT_EQUAL(message.parts.crashes[1].endpoint, crash.endpoint);
    CPPUNIT_ASSERT_EQUAL(message.parts.crashes[1].depth, crash.depth);
    CPPUNIT_ASSERT(message.parts.crashes[1].age == crash.age);
    CPPUNIT_ASSERT_EQUAL(message.parts.cleared[0].part, decoded->parts.cleared.at(0).part);
    CPPUNIT_ASSERT(message.parts.cleared[0].age == decoded->parts.cleared[0].age);
    CPPUNIT_ASSERT(message.parts.refused == decoded->parts.refused);
    CPPUNIT_ASSERT_EQUAL(message.checks[0].endpoint, decoded->checks.at(0).endpoint);
    CPPUNIT_ASSERT(message.checks[0].age == decoded->checks[0].age);
    CPPUNIT_ASSERT(message.checks[0].cold_for == decoded->checks[0].cold_for);
    CPPUNIT_ASSERT(message.unvouched == decoded->unvouched);
    const gateway::table_update& update = decoded->tables.at(0);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].table, update.table);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].version, update.version);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].unchanged_since, update.unchanged_since);
    CPPUNIT_ASSERT(message.tables[0].store_time == update.store_time);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].rows_after, update.rows_after);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].rows.size(), update.rows.size());
    CPPUNIT_ASSERT_EQUAL(message.tables[0].rows[1].key, update.rows.at(1).key);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].rows[1].value, update.rows.at(1).value);
    CPPUNIT_ASSERT(update.rows.at(1).removed);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].rows[0].version, update.rows.at(0).version);
    CPPUNIT_ASSERT_EQUAL(message.tables[0].era, update.era);
    const gateway::rollout_report& report = decoded->rollouts.at(0);
    CPPUNIT_ASSERT(is_same_order(message.rollouts[0].order, report.order));
    CPPUNIT_ASSERT(report.order.id == message.rollouts[0].order.id);
    CPPUNIT_ASSERT(report.found_bad);
    CPPUNIT_ASSERT_EQUAL(message.rollouts[0].reason, report.reason);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.evidence.size());
    const gateway::evidence_row& sent = message.rollouts[0].evidence.at({7, 9});
    const gateway::evidence_row& received = report.evidence.at({7, 9});
    CPPUNIT_ASSERT_EQUAL(sent.answers, received.answers);
    CPPUNIT_ASSERT_EQUAL(sent.failures, received.failures);
    CPPUNIT_ASSERT_EQUAL(sent.prompts, received.prompts);
    CPPUNIT_ASSERT(sent.first == received.first);
    CPPUNIT_ASSERT(sent.pace == received.pace);
  }

  void message_without_prompt_parts_is_read() {
    const auto decoded = decode_peer_message("\x9f" + earlier_fields());
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->crashes == (std::vector<gateway::crash_report>{{1, 2}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{71}, decoded->configuration);
    CPPUNIT_ASSERT(decoded->parts.crashes.empty() && decoded->parts.refused.empty());
    CPPUNIT_ASSERT(decoded->checks.empty() && !decoded->unvouched);
  }

  /// Earlier builds read fifteen fields and ignore further ones.
  void earlier_builds_read_the_first_fields() {
    const auto earlier = decode_peer_message("\x9f" + earlier_fields());
    gateway::peer_message message = *earlier;
    message.parts = sample().parts;
    const std::string bytes = encode_peer_message(message);
    const std::string head("\xdc\x00\x14", 3);
    CPPUNIT_ASSERT(bytes.starts_with(head + earlier_fields()));
    // A build with yet more fields can be read as well.
    const auto later =
        decode_peer_message(std::string("\xdc\x00\x15", 3) + bytes.substr(head.size()) + "\x90");
    CPPUNIT_ASSERT(later.has_value());
    CPPUNIT_ASSERT(later->parts.refused == message.parts.refused);
  }

  void excessive_part_reports_are_rejected() {
    gateway::peer_message message = sample();
    message.parts.crashes.resize(gateway::max_reported_crashes + 1);
    CPPUNIT_ASSERT(!decode_peer_message(encode_peer_message(message)).has_value());
    message = sample();
    message.parts.cleared.resize(gateway::max_reported_clearances + 1);
    CPPUNIT_ASSERT(!decode_peer_message(encode_peer_message(message)).has_value());
    message = sample();
    message.parts.refused.resize(gateway::max_reported_refusals + 1);
    CPPUNIT_ASSERT(!decode_peer_message(encode_peer_message(message)).has_value());
  }

  void corrupt_bytes_are_handled() {
    check_property("damaged messages are read or refused", [](std::uint8_t value) {
      std::string bytes = encode_peer_message(sample());
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = static_cast<char>(value);
      bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
      decode_peer_message(bytes);
    });
    CPPUNIT_ASSERT(!decode_peer_message("").has_value());
  }

  /// Regression test for a fuzzer finding: memory was allocated for 3.7 billion declared entries.
  void excessive_declared_sizes_are_rejected() {
    for (const std::string declared_size : {"\xdf\xdf\xff\xff\xff", "\xdd\xdf\xff\xff\xff",
                                            "\xdb\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff"}) {
      CPPUNIT_ASSERT(!decode_peer_message(declared_size).has_value());
      CPPUNIT_ASSERT(!decode_peer_message("\x9e\x06" + declared_size).has_value());
    }
  }

 private:
  /// The fields of a message as a build before prompt parts wrote them, without the array head.
  static std::string earlier_fields() {
    constexpr std::string_view bytes =
        "\x07\xa9gateway-1\x11\x04\xc2\xc3\x47\x92\x07\x09\x91\x05\x92\x06\xcf\x00\x00\x01\x8b"
        "\xcf\xe5\x68\x00\x92\x01\x02\x92\x03\x04\x92\x1f\x06\x91\x97\xa7servers\x5a\x50\xcd\x13"
        "\x88\x46\x94\xa3one\xc4\x02{}\xc2\x4d\x04\x90"sv;
    return std::string(bytes);
  }

  static gateway::peer_message sample() {
    gateway::peer_message message;
    message.sender = {"gateway-1"};
    message.start = 17;
    message.sequence = 4;
    message.leaving = true;
    message.current = true;
    message.tables.push_back({"servers",
                              90,
                              80,
                              std::chrono::milliseconds{5'000},
                              70,
                              {{"one", std::string("\x00{}", 3), false, 77}, {"two", "", true}},
                              4});
    message.configuration = 71;
    message.loads = {{0xFFFF'FFFF'FFFF'FFFF, 3}, {7, 9}};
    message.unreachable = {5};
    message.shorter_prefixes = {{31, 6}};
    message.leaving_endpoints = {{6, 1'700'000'000'000}, {7, 0}};
    message.crashes = {{1, 2}};
    message.parts.crashes = {{8, 9, 1, std::chrono::milliseconds{0}},
                             {10, 11, 2, std::chrono::milliseconds{4'999}}};
    message.parts.cleared = {{12, std::chrono::milliseconds{30}}};
    message.parts.refused = {13, 14};
    message.checks = {{15, std::chrono::milliseconds{250}, std::chrono::milliseconds{2'700}}};
    message.unvouched = {{7}};
    message.placements = {{3, 4}, {5, 6}};
    gateway::rollout_report report{
        {pool_id{"engines"}, "v2", std::chrono::seconds{12}, {31, 2}}, true, "failures", {}};
    gateway::evidence_row& row = report.evidence[{7, 9}];
    row.answers = 300;
    row.failures = 4;
    row.prompts = 299;
    row.first = {0, 5, 0, 290, 1};
    row.pace[11] = 70'000;
    message.rollouts = {report};
    return message;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_peer_codec_test);

}  // namespace chestnuthead::traffic
