#include "Gateway/fleet_keys.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

class fleet_keys_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_keys_test);
  CPPUNIT_TEST(the_first_gateway_creates_the_first_key);
  CPPUNIT_TEST(a_new_key_is_used_once_it_has_propagated);
  CPPUNIT_TEST(keys_are_replaced_on_schedule);
  CPPUNIT_TEST(keys_survive_a_round_trip_as_text);
  CPPUNIT_TEST(keys_that_the_store_lost_are_written_again);
  CPPUNIT_TEST(two_keys_with_the_same_number_are_both_accepted);
  CPPUNIT_TEST(a_key_whose_row_was_replaced_is_removed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keys_that_the_store_lost_are_written_again() {
    fleet_keys keys;
    add_key(keys, 4, key_of('a', seconds{5}, test_start, "key/4"));
    add_key(keys, 5, key_of('b', seconds{5}, test_start, "key/5"));
    CPPUNIT_ASSERT(key_without_row(keys) == nullptr);
    clear_row_names(keys);
    // The store was restored from a copy that contains only the older key.
    add_key(keys, 4, key_of('a', seconds{5}, test_start, "key/4"));
    retain_rows(keys, {"key/4", "edge-1"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, key_without_row(keys)->first.number);
    CPPUNIT_ASSERT(!is_number_taken(keys, key_without_row(keys)->first));
    add_key(keys, 5, key_of('b', seconds{5}, test_start, "key/5"));
    CPPUNIT_ASSERT(key_without_row(keys) == nullptr);
    // Within one era, a missing row was removed.
    retain_rows(keys, {"key/4"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keys.rows.size());
  }

  /// An operator removed the row, and this gateway missed the removal.
  void a_key_whose_row_was_replaced_is_removed() {
    fleet_keys keys;
    add_key(keys, 1, key_of('a', seconds{5}, test_start, "key/1"));
    add_key(keys, 1, key_of('b', seconds{9}, test_start, "key/1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keys.rows.size());
    CPPUNIT_ASSERT_EQUAL(secret_of('b'), keys.rows.begin()->second.secret);
  }

  /// One was created before and one after the store was restored from a copy.
  void two_keys_with_the_same_number_are_both_accepted() {
    fleet_keys keys;
    add_key(keys, 1, key_of('a', seconds{5}, test_start, "key/1"));
    clear_row_names(keys);
    add_key(keys, 1, key_of('b', seconds{9}, test_start + seconds{4}, "key/1"));
    retain_rows(keys, {"key/1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, keys.rows.size());
    // Peers that only have the old key can still authenticate this gateway's messages.
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), sending_key(keys, test_start + seconds{5})->secret);
    const auto* lost = key_without_row(keys);
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), lost->second.secret);
    CPPUNIT_ASSERT(is_number_taken(keys, lost->first));
  }

  void the_first_gateway_creates_the_first_key() {
    fleet_keys keys;
    CPPUNIT_ASSERT(sending_key(keys, test_start) == nullptr);
    CPPUNIT_ASSERT(next_key_due(keys, seconds{5}) == std::uint64_t{1});
    add_key(keys, 1, key_of('a', seconds{5}, test_start));
    CPPUNIT_ASSERT(!next_key_due(keys, seconds{6}));
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), sending_key(keys, test_start)->secret);
  }

  void a_new_key_is_used_once_it_has_propagated() {
    fleet_keys keys;
    add_key(keys, 1, key_of('a', seconds{5}, test_start, "key/1"));
    const steady_time later = test_start + hours{24};
    add_key(keys, 2, key_of('b', hours{24}, later));
    CPPUNIT_ASSERT_EQUAL(secret_of('a'), sending_key(keys, later)->secret);
    // Receiving the key again does not restart the propagation time.
    add_key(keys, 2, key_of('b', hours{24}, later + key_propagation_time));
    CPPUNIT_ASSERT_EQUAL(secret_of('b'), sending_key(keys, later + key_propagation_time)->secret);
    remove_key(keys, "key/1");
    CPPUNIT_ASSERT_EQUAL(secret_of('b'), sending_key(keys, later)->secret);
  }

  void keys_are_replaced_on_schedule() {
    fleet_keys keys;
    add_key(keys, 1, key_of('a', seconds{0}, test_start, "key/1"));
    CPPUNIT_ASSERT(!next_key_due(keys, key_lifetime - seconds{1}));
    CPPUNIT_ASSERT(next_key_due(keys, key_lifetime) == std::uint64_t{2});
    CPPUNIT_ASSERT(rows_outdated(keys, 2).empty());
    add_key(keys, 2, key_of('b', key_lifetime, test_start));
    CPPUNIT_ASSERT(next_key_due(keys, 2 * key_lifetime) == std::uint64_t{3});
    CPPUNIT_ASSERT(rows_outdated(keys, 3) == std::vector<std::string>{"key/1"});
    // The store's clock was reset.
    CPPUNIT_ASSERT(!next_key_due(keys, seconds{3}));
  }

  void keys_survive_a_round_trip_as_text() {
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
