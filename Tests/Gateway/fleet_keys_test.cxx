#include "Gateway/fleet_keys.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

class fleet_keys_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_keys_test);
  CPPUNIT_TEST(the_first_gateway_makes_the_first_key);
  CPPUNIT_TEST(a_new_key_is_used_once_all_know_it);
  CPPUNIT_TEST(keys_are_replaced_on_schedule);
  CPPUNIT_TEST(keys_come_back_from_their_text);
  CPPUNIT_TEST(keys_that_the_store_lost_are_written_again);
  CPPUNIT_TEST(two_keys_of_one_number_are_both_taken);
  CPPUNIT_TEST(a_key_whose_row_holds_another_one_is_gone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keys_that_the_store_lost_are_written_again() {
    fleet_keys keys;
    learn_key(keys, 4, key_of('a', seconds{5}, test_start, "key/4"));
    learn_key(keys, 5, key_of('b', seconds{5}, test_start, "key/5"));
    CPPUNIT_ASSERT(lost_key(keys) == nullptr);
    forget_rows(keys);
    // The copy holds the older one.
    learn_key(keys, 4, key_of('a', seconds{5}, test_start, "key/4"));
    keep_rows(keys, {"key/4", "edge-1"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, lost_key(keys)->first.number);
    CPPUNIT_ASSERT(!is_number_taken(keys, lost_key(keys)->first));
    learn_key(keys, 5, key_of('b', seconds{5}, test_start, "key/5"));
    CPPUNIT_ASSERT(lost_key(keys) == nullptr);
    // In one era a row that is missing was removed.
    keep_rows(keys, {"key/4"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keys.rows.size());
  }

  /// An operator has removed the row, and the removal was missed.
  void a_key_whose_row_holds_another_one_is_gone() {
    fleet_keys keys;
    learn_key(keys, 1, key_of('a', seconds{5}, test_start, "key/1"));
    learn_key(keys, 1, key_of('b', seconds{9}, test_start, "key/1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keys.rows.size());
    CPPUNIT_ASSERT_EQUAL(secret_of('b'), keys.rows.begin()->second.secret);
  }

  /// Made before and after the store came back from a copy.
  void two_keys_of_one_number_are_both_taken() {
    fleet_keys keys;
    learn_key(keys, 1, key_of('a', seconds{5}, test_start, "key/1"));
    forget_rows(keys);
    learn_key(keys, 1, key_of('b', seconds{9}, test_start + seconds{4}, "key/1"));
    keep_rows(keys, {"key/1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, keys.rows.size());
    // Peers that know only the old one go on hearing this gateway.
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), sending_key(keys, test_start + seconds{5})->secret);
    const auto* lost = lost_key(keys);
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), lost->second.secret);
    CPPUNIT_ASSERT(is_number_taken(keys, lost->first));
  }

  void the_first_gateway_makes_the_first_key() {
    fleet_keys keys;
    CPPUNIT_ASSERT(sending_key(keys, test_start) == nullptr);
    CPPUNIT_ASSERT(next_key_due(keys, seconds{5}) == std::uint64_t{1});
    learn_key(keys, 1, key_of('a', seconds{5}, test_start));
    CPPUNIT_ASSERT(!next_key_due(keys, seconds{6}));
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), sending_key(keys, test_start)->secret);
  }

  void a_new_key_is_used_once_all_know_it() {
    fleet_keys keys;
    learn_key(keys, 1, key_of('a', seconds{5}, test_start, "key/1"));
    const steady_time later = test_start + hours{24};
    learn_key(keys, 2, key_of('b', hours{24}, later));
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), sending_key(keys, later)->secret);
    // Hearing of it again does not begin the time anew.
    learn_key(keys, 2, key_of('b', hours{24}, later + key_spread));
    CPPUNIT_ASSERT_EQUAL(secret_of('b'), sending_key(keys, later + key_spread)->secret);
    forget_key(keys, "key/1");
    CPPUNIT_ASSERT_EQUAL(secret_of('b'), sending_key(keys, later)->secret);
  }

  void keys_are_replaced_on_schedule() {
    fleet_keys keys;
    learn_key(keys, 1, key_of('a', seconds{0}, test_start, "key/1"));
    CPPUNIT_ASSERT(!next_key_due(keys, key_life - seconds{1}));
    CPPUNIT_ASSERT(next_key_due(keys, key_life) == std::uint64_t{2});
    CPPUNIT_ASSERT(rows_outdated(keys, 2).empty());
    learn_key(keys, 2, key_of('b', key_life, test_start));
    CPPUNIT_ASSERT(next_key_due(keys, 2 * key_life) == std::uint64_t{3});
    CPPUNIT_ASSERT(rows_outdated(keys, 3) == std::vector<std::string>{"key/1"});
    // The store's clock has begun anew.
    CPPUNIT_ASSERT(!next_key_due(keys, seconds{3}));
  }

  void keys_come_back_from_their_text() {
    const fleet_key key = key_of('\x9f', seconds{7}, test_start);
    const auto back = parse_key(format_key(key));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT_EQUAL(key.secret, back->secret);
    CPPUNIT_ASSERT(back->made_at == seconds{7});
    for (const char* text : {"", "7", "7 ", "7 abc", "x 00", "7 00"}) {
      CPPUNIT_ASSERT(!parse_key(text));
    }
    CPPUNIT_ASSERT(!parse_key("7 " + std::string(2 * secret_bytes, 'g')));
  }

 private:
  static std::string secret_of(char byte) {
    return std::string(secret_bytes, byte);
  }
  static fleet_key key_of(char byte, milliseconds made_at, steady_time known_at,
                          const std::string& row = {}) {
    return {secret_of(byte), made_at, known_at, row};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_keys_test);

}  // namespace chestnuthead::gateway
