#include "Traffic/message_seal.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::traffic {

class message_seal_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_seal_test);
  CPPUNIT_TEST(sealed_messages_are_opened_with_any_known_key);
  CPPUNIT_TEST(changed_cut_and_foreign_messages_are_refused);
  CPPUNIT_TEST(secrets_differ);
  CPPUNIT_TEST_SUITE_END();

 public:
  void sealed_messages_are_opened_with_any_known_key() {
    gateway::fleet_keys keys;
    keys.rows[{1, 0}] = {make_secret(), {}, {}, {}};
    keys.rows[{2, 0}] = {make_secret(), {}, {}, {}};
    for (const auto& [name, key] : keys.rows) {
      const std::string sealed = seal_message(key, "news");
      CPPUNIT_ASSERT_EQUAL(std::size_t{4} + seal_bytes, sealed.size());
      CPPUNIT_ASSERT(open_message(keys, sealed) == std::string_view("news"));
    }
  }

  void changed_cut_and_foreign_messages_are_refused() {
    gateway::fleet_keys keys;
    keys.rows[{1, 0}] = {make_secret(), {}, {}, {}};
    const std::string sealed = seal_message(keys.rows[{1, 0}], "some news of a gateway");
    for (std::size_t at = 0; at < sealed.size(); ++at) {
      for (int bit = 0; bit < 8; ++bit) {
        std::string changed = sealed;
        changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
        CPPUNIT_ASSERT(!open_message(keys, changed));
      }
      CPPUNIT_ASSERT(!open_message(keys, std::string_view(sealed).substr(0, at)));
    }
    CPPUNIT_ASSERT(!open_message(keys, sealed + "x"));
    gateway::fleet_keys others;
    CPPUNIT_ASSERT(!open_message(others, sealed));
    others.rows[{1, 0}] = {make_secret(), {}, {}, {}};
    CPPUNIT_ASSERT(!open_message(others, sealed));
  }

  void secrets_differ() {
    const std::string one = make_secret();
    CPPUNIT_ASSERT_EQUAL(gateway::secret_bytes, one.size());
    CPPUNIT_ASSERT(one != make_secret());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_seal_test);

}  // namespace chestnuthead::traffic
