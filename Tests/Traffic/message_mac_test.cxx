#include "Traffic/message_mac.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::traffic {

class message_mac_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_mac_test);
  CPPUNIT_TEST(messages_are_verified_with_any_known_key);
  CPPUNIT_TEST(altered_truncated_and_foreign_messages_are_rejected);
  CPPUNIT_TEST(secrets_differ);
  CPPUNIT_TEST_SUITE_END();

 public:
  void messages_are_verified_with_any_known_key() {
    gateway::fleet_keys keys;
    keys.rows[{1, 0}] = {make_secret(), {}, {}, {}};
    keys.rows[{2, 0}] = {make_secret(), {}, {}, {}};
    for (const auto& [name, key] : keys.rows) {
      const std::string signed_message = append_mac(key, "news");
      CPPUNIT_ASSERT_EQUAL(std::size_t{4} + mac_bytes, signed_message.size());
      CPPUNIT_ASSERT(verify_message(keys, signed_message) == std::string_view("news"));
    }
  }

  void altered_truncated_and_foreign_messages_are_rejected() {
    gateway::fleet_keys keys;
    keys.rows[{1, 0}] = {make_secret(), {}, {}, {}};
    const std::string signed_message = append_mac(keys.rows[{1, 0}], "some news of a gateway");
    for (std::size_t at = 0; at < signed_message.size(); ++at) {
      for (int bit = 0; bit < 8; ++bit) {
        std::string changed = signed_message;
        changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
        CPPUNIT_ASSERT(!verify_message(keys, changed));
      }
      CPPUNIT_ASSERT(!verify_message(keys, std::string_view(signed_message).substr(0, at)));
    }
    CPPUNIT_ASSERT(!verify_message(keys, signed_message + "x"));
    gateway::fleet_keys others;
    CPPUNIT_ASSERT(!verify_message(others, signed_message));
    others.rows[{1, 0}] = {make_secret(), {}, {}, {}};
    CPPUNIT_ASSERT(!verify_message(others, signed_message));
  }

  void secrets_differ() {
    const std::string one = make_secret();
    CPPUNIT_ASSERT_EQUAL(gateway::secret_bytes, one.size());
    CPPUNIT_ASSERT(one != make_secret());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_mac_test);

}  // namespace chestnuthead::traffic
