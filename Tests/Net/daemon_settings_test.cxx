#include "Net/daemon_settings.h"

#include <set>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

namespace {

std::set<std::string> faulty_keys(const settings_result<agent_file_settings>& result) {
  std::set<std::string> keys;
  for (const settings_fault& fault : std::get<std::vector<settings_fault>>(result)) {
    keys.insert(fault.key);
  }
  return keys;
}

const std::string good_router = R"({"node": "router-1", "failure_domain": "bole",
  "region": "addis", "platform_address": "127.0.0.1:7000", "public_port": 0})";

}  // namespace

class daemon_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(daemon_settings_test);
  CPPUNIT_TEST(good_settings_have_their_defaults);
  CPPUNIT_TEST(all_faults_are_reported_together);
  CPPUNIT_TEST(a_file_without_an_object_is_one_fault);
  CPPUNIT_TEST(a_fault_names_file_key_and_values);
  CPPUNIT_TEST(printed_settings_are_valid_settings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void good_settings_have_their_defaults() {
    const auto result = parse_router_settings(good_router);
    const auto& settings = std::get<router_file_settings>(result);
    CPPUNIT_ASSERT_EQUAL(std::string("router-1"), settings.common.node);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), settings.public_host);
    CPPUNIT_ASSERT(settings.common.platform_timeout == std::chrono::seconds(1));
  }

  void all_faults_are_reported_together() {
    const auto result = parse_agent_settings(R"({"node": 7, "failure_domain": "bole",
      "platform_address": "platform.example:80", "endpoint_address": "127.0.0.1:0",
      "pool": "p", "pool_kind": "other", "peer_port": 70000, "colour": "red"})");
    const std::set<std::string> expected{"node",      "region",    "platform_address",
                                         "pool_kind", "peer_port", "endpoint_address",
                                         "colour"};
    CPPUNIT_ASSERT(faulty_keys(result) == expected);
  }

  void a_file_without_an_object_is_one_fault() {
    for (const char* text : {"", "[]", "{", "\xFF"}) {
      const auto result = parse_agent_settings(text);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faulty_keys(result).size());
    }
  }

  void a_fault_names_file_key_and_values() {
    const std::string text = describe_fault("a.json", {"peer_port", "-1", "0 to 65535"});
    CPPUNIT_ASSERT_EQUAL(
        std::string("a.json: key peer_port holds -1, but 0 to 65535 was expected."), text);
  }

  void printed_settings_are_valid_settings() {
    const auto settings = std::get<router_file_settings>(parse_router_settings(good_router));
    const auto again = parse_router_settings(format_settings(settings));
    CPPUNIT_ASSERT_EQUAL(format_settings(settings),
                         format_settings(std::get<router_file_settings>(again)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_settings_test);

}  // namespace chestnuthead
