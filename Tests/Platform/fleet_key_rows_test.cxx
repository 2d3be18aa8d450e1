#include "fleet_key_rows.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::platform {

class fleet_key_rows_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_key_rows_test);
  CPPUNIT_TEST(key_rows_are_decoded);
  CPPUNIT_TEST(rows_without_a_valid_key_are_rejected);
  CPPUNIT_TEST(updates_with_keys_lose_their_rows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void key_rows_are_decoded() {
    const auto decoded = decode_key_row(sample_key_row());
    CPPUNIT_ASSERT(decoded && decoded->key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, decoded->number);
    CPPUNIT_ASSERT_EQUAL(key_row_name(12), decoded->key->row);
    const auto spare =
        decode_key_row({alternate_key_row_name({12, 345}), sample_key_row().value, false});
    CPPUNIT_ASSERT(spare && spare->key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, spare->number);
    const auto removed = decode_key_row({key_row_name(12), "", true});
    CPPUNIT_ASSERT(removed && !removed->key);
  }

  void rows_without_a_valid_key_are_rejected() {
    CPPUNIT_ASSERT(!is_key_row("edge-bole-1"));
    CPPUNIT_ASSERT(!decode_key_row({"edge-bole-1", "10.1.0.1:80", false}));
    for (const char* name : {"key/", "key/x", "key/1x", "key/99999999999999999999999"}) {
      CPPUNIT_ASSERT(!decode_key_row({name, sample_key_row().value, false}));
    }
    CPPUNIT_ASSERT(!decode_key_row({key_row_name(1), "no key", false}));
  }

  void updates_with_keys_lose_their_rows() {
    gateway::table_update update{"gateways", 9, 8, {}, 7, {{"edge-1", "10.0.0.1:80", false}}};
    clear_rows_if_any_key(update);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.rows.size());
    update.rows.push_back(sample_key_row());
    clear_rows_if_any_key(update);
    CPPUNIT_ASSERT(update.rows.empty());
  }

 private:
  static gateway::table_row sample_key_row() {
    const gateway::fleet_key key{std::string(gateway::secret_bytes, 's'), {}, {}, {}};
    return {key_row_name(12), format_key(key), false};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_key_rows_test);

}  // namespace chestnuthead::platform
