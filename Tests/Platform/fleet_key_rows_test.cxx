#include "fleet_key_rows.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::platform {

class fleet_key_rows_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_key_rows_test);
  CPPUNIT_TEST(keys_are_read_from_their_rows);
  CPPUNIT_TEST(other_rows_are_no_keys);
  CPPUNIT_TEST(messages_hold_no_keys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keys_are_read_from_their_rows() {
    const auto decoded = decode_key_row(sample());
    CPPUNIT_ASSERT(decoded && decoded->key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, decoded->number);
    CPPUNIT_ASSERT_EQUAL(key_row_name(12), decoded->key->row);
    const auto spare = decode_key_row({spare_key_row_name({12, 345}), sample().value, false});
    CPPUNIT_ASSERT(spare && spare->key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, spare->number);
    const auto removed = decode_key_row({key_row_name(12), "", true});
    CPPUNIT_ASSERT(removed && !removed->key);
  }

  void other_rows_are_no_keys() {
    CPPUNIT_ASSERT(!is_key_row("edge-bole-1"));
    CPPUNIT_ASSERT(!decode_key_row({"edge-bole-1", "10.1.0.1:80", false}));
    for (const char* name : {"key/", "key/x", "key/1x", "key/99999999999999999999999"}) {
      CPPUNIT_ASSERT(!decode_key_row({name, sample().value, false}));
    }
    CPPUNIT_ASSERT(!decode_key_row({key_row_name(1), "no key", false}));
  }

  void messages_hold_no_keys() {
    gateway::table_update news{"gateways", 9, 8, {}, 7, {{"edge-1", "10.0.0.1:80", false}}};
    withhold_keys(news);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.rows.size());
    news.rows.push_back(sample());
    withhold_keys(news);
    CPPUNIT_ASSERT(news.rows.empty());
  }

 private:
  static gateway::table_row sample() {
    const gateway::fleet_key key{std::string(gateway::secret_bytes, 's'), {}, {}, {}};
    return {key_row_name(12), format_key(key), false};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_key_rows_test);

}  // namespace chestnuthead::platform
