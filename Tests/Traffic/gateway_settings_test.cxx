#include "Traffic/gateway_settings.h"

#include <fstream>

#include <Poco/TemporaryFile.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Net/json_text.h"
#include "Traffic/settings_watch.h"

namespace chestnuthead::traffic {

class gateway_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_settings_test);
  CPPUNIT_TEST(settings_survive_a_round_trip);
  CPPUNIT_TEST(every_fault_names_its_key);
  CPPUNIT_TEST(change_lists_keys_that_need_a_restart);
  CPPUNIT_TEST(every_key_is_compared);
  CPPUNIT_TEST(file_is_polled_at_intervals);
  CPPUNIT_TEST_SUITE_END();

 public:
  void settings_survive_a_round_trip() {
    const auto first = std::get<gateway_settings>(parse_gateway_settings(valid_settings()));
    CPPUNIT_ASSERT(first.key_lag == std::chrono::milliseconds{4'000});
    const std::string text = format_settings(first);
    const auto second = std::get<gateway_settings>(parse_gateway_settings(text));
    CPPUNIT_ASSERT_EQUAL(text, format_settings(second));
  }

  void every_fault_names_its_key() {
    const auto faults = std::get<std::vector<settings_fault>>(parse_gateway_settings(
        R"({"node":"a","public_address":"here","store_address":"10.0.0.1:80",
            "ready_address":"10.0.0.1:81","key_lag_ms":0,"colour":"red","memory_limit_mb":1,
            "descriptor_limit":10,"platform_terms":"all","overload_control":"maybe",
            "extra_try_share":2})"));
    std::string keys;
    for (const settings_fault& fault : faults) {
      keys += fault.key + " ";
    }
    for (const char* key :
         {"failure_domain", "public_address", "key_lag_ms", "colour", "memory_limit_mb",
          "descriptor_limit", "platform_terms", "overload_control", "extra_try_share"}) {
      CPPUNIT_ASSERT_MESSAGE(keys, keys.find(key) != std::string::npos);
    }
    CPPUNIT_ASSERT(
        std::holds_alternative<std::vector<settings_fault>>(parse_gateway_settings("[")));
  }

  void change_lists_keys_that_need_a_restart() {
    auto running = std::get<gateway_settings>(parse_gateway_settings(valid_settings()));
    auto read = running;
    read.load_multiple = 3.0;
    read.public_address = "10.0.0.1:90";
    const settings_change change = compare_settings(running, read);
    CPPUNIT_ASSERT(change.reloadable == std::vector<std::string>{"load_multiple"});
    CPPUNIT_ASSERT(change.after_restart == std::vector<std::string>{"public_address"});
    apply_reloadable(running, read);
    CPPUNIT_ASSERT_EQUAL(3.0, running.load_multiple);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), running.public_address);
  }

  void every_key_is_compared() {
    const gateway_settings first;
    const gateway_settings other{"b",
                                 "south",
                                 "r",
                                 "1.1.1.1:1",
                                 "1.1.1.1:2",
                                 "1.1.1.1:3",
                                 "1.1.1.1:4",
                                 "1.1.1.1:5",
                                 std::chrono::milliseconds{1},
                                 std::chrono::milliseconds{2},
                                 std::chrono::milliseconds{3},
                                 0.5,
                                 1.0,
                                 std::chrono::seconds{1},
                                 0.7,
                                 3.0,
                                 9.0,
                                 512,
                                 1'024,
                                 {"term"},
                                 overload_mode::on,
                                 0.5};
    const settings_change change = compare_settings(first, other);
    const auto keys = parse_json_object(format_settings(other))->getNames();
    CPPUNIT_ASSERT_EQUAL(keys.size(), change.reloadable.size() + change.after_restart.size());
    // The applied values no longer differ.
    gateway_settings applied = first;
    apply_reloadable(applied, other);
    CPPUNIT_ASSERT(compare_settings(applied, other).reloadable.empty());
  }

  void file_is_polled_at_intervals() {
    const Poco::TemporaryFile file;
    const auto write = [&file](const std::string& text) {
      std::ofstream(file.path(), std::ios::trunc) << text;
    };
    write("one");
    settings_watch watch(file.path(), "one");
    const steady_time start{std::chrono::hours{1}};
    CPPUNIT_ASSERT(!watch.changed(start, false));
    write("two");
    CPPUNIT_ASSERT(!watch.changed(start + std::chrono::seconds{1}, false));
    CPPUNIT_ASSERT(watch.changed(start + std::chrono::seconds{1}, true) == "two");
    write("");
    CPPUNIT_ASSERT(!watch.changed(start + std::chrono::seconds{9}, false));
    write("three");
    CPPUNIT_ASSERT(watch.changed(start + std::chrono::seconds{19}, false) == "three");
  }

 private:
  static std::string valid_settings() {
    return R"({"node":"a","failure_domain":"north","public_address":"10.0.0.1:80",
               "ready_address":"10.0.0.1:81","store_address":"10.0.0.2:80","key_lag_ms":4000,
               "platform_terms":["base","pressure"],"overload_control":"off",
               "extra_try_share":0.05})";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

}  // namespace chestnuthead::traffic
