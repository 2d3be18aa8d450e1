#include "Traffic/peer_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "random_runs.h"

namespace chestnuthead::traffic {

class gateway_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_codec_test);
  CPPUNIT_TEST(a_message_comes_back_as_it_was);
  CPPUNIT_TEST(no_bytes_do_harm);
  CPPUNIT_TEST(a_message_that_claims_too_much_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_message_comes_back_as_it_was() {
    const gateway::peer_message word = sample();
    const auto back = decode_word(encode_word(word));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT(back->sender == word.sender);
    CPPUNIT_ASSERT_EQUAL(word.start, back->start);
    CPPUNIT_ASSERT_EQUAL(word.sequence, back->sequence);
    CPPUNIT_ASSERT_EQUAL(word.current, back->current);
    CPPUNIT_ASSERT_EQUAL(word.configuration, back->configuration);
    CPPUNIT_ASSERT(back->leaving);
    CPPUNIT_ASSERT_EQUAL(word.loads[1].endpoint, back->loads.at(1).endpoint);
    CPPUNIT_ASSERT_EQUAL(word.loads[1].in_flight, back->loads.at(1).in_flight);
    CPPUNIT_ASSERT(word.unreachable == back->unreachable);
    CPPUNIT_ASSERT(word.leaving_endpoints == back->leaving_endpoints);
    CPPUNIT_ASSERT(word.crashes == back->crashes);
    CPPUNIT_ASSERT(word.placements == back->placements);
    CPPUNIT_ASSERT(word.shorter_prefixes == back->shorter_prefixes);
    const gateway::table_update& news = back->tables.at(0);
    CPPUNIT_ASSERT_EQUAL(word.tables[0].table, news.table);
    CPPUNIT_ASSERT_EQUAL(word.tables[0].version, news.version);
    CPPUNIT_ASSERT_EQUAL(word.tables[0].unchanged_since, news.unchanged_since);
    CPPUNIT_ASSERT(word.tables[0].store_time == news.store_time);
    CPPUNIT_ASSERT_EQUAL(word.tables[0].rows_after, news.rows_after);
    CPPUNIT_ASSERT_EQUAL(word.tables[0].rows.size(), news.rows.size());
    CPPUNIT_ASSERT_EQUAL(word.tables[0].rows[1].key, news.rows.at(1).key);
    CPPUNIT_ASSERT_EQUAL(word.tables[0].rows[1].value, news.rows.at(1).value);
    CPPUNIT_ASSERT(news.rows.at(1).removed);
    CPPUNIT_ASSERT_EQUAL(word.tables[0].era, news.era);
  }

  void no_bytes_do_harm() {
    check_randomly("damaged messages are read or refused", [](std::uint8_t value) {
      std::string bytes = encode_word(sample());
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = static_cast<char>(value);
      bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
      decode_word(bytes);
    });
    CPPUNIT_ASSERT(!decode_word("").has_value());
  }

  /// Found by the fuzzer: memory was taken for 3.7 thousand million entries.
  void a_message_that_claims_too_much_is_refused() {
    for (const std::string claim : {"\xdf\xdf\xff\xff\xff", "\xdd\xdf\xff\xff\xff",
                                    "\xdb\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff"}) {
      CPPUNIT_ASSERT(!decode_word(claim).has_value());
      CPPUNIT_ASSERT(!decode_word("\x9e\x06" + claim).has_value());
    }
  }

 private:
  static gateway::peer_message sample() {
    gateway::peer_message word;
    word.sender = {"gateway-1"};
    word.start = 17;
    word.sequence = 4;
    word.leaving = true;
    word.current = true;
    word.tables.push_back({"servers",
                           90,
                           80,
                           std::chrono::milliseconds{5'000},
                           70,
                           {{"one", std::string("\x00{}", 3), false}, {"two", "", true}},
                           4});
    word.configuration = 71;
    word.loads = {{0xFFFF'FFFF'FFFF'FFFF, 3}, {7, 9}};
    word.unreachable = {5};
    word.shorter_prefixes = {{31, 6}};
    word.leaving_endpoints = {{6, 1'700'000'000'000}, {7, 0}};
    word.crashes = {{1, 2}};
    word.placements = {{3, 4}, {5, 6}};
    return word;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_codec_test);

}  // namespace chestnuthead::traffic
