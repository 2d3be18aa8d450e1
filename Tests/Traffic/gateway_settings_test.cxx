#include "Traffic/gateway_settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::traffic {

class gateway_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_settings_test);
  CPPUNIT_TEST(settings_survive_a_round_trip);
  CPPUNIT_TEST(every_fault_is_named);
  CPPUNIT_TEST_SUITE_END();

 public:
  void settings_survive_a_round_trip() {
    const auto first = std::get<gateway_settings>(parse_gateway_settings(good()));
    CPPUNIT_ASSERT(first.key_lag == std::chrono::milliseconds{4'000});
    const std::string text = format_settings(first);
    const auto second = std::get<gateway_settings>(parse_gateway_settings(text));
    CPPUNIT_ASSERT_EQUAL(text, format_settings(second));
  }

  void every_fault_is_named() {
    const auto faults = std::get<std::vector<settings_fault>>(parse_gateway_settings(
        R"({"node":"a","public_address":"here","store_address":"10.0.0.1:80",
            "ready_address":"10.0.0.1:81","key_lag_ms":0,"colour":"red"})"));
    std::string keys;
    for (const settings_fault& fault : faults) {
      keys += fault.key + " ";
    }
    for (const char* key : {"failure_domain", "public_address", "key_lag_ms", "colour"}) {
      CPPUNIT_ASSERT_MESSAGE(keys, keys.find(key) != std::string::npos);
    }
    CPPUNIT_ASSERT(
        std::holds_alternative<std::vector<settings_fault>>(parse_gateway_settings("[")));
  }

 private:
  static std::string good() {
    return R"({"node":"a","failure_domain":"north","public_address":"10.0.0.1:80",
               "ready_address":"10.0.0.1:81","store_address":"10.0.0.2:80","key_lag_ms":4000})";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

}  // namespace chestnuthead::traffic
