#include "store_rows.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Net/json_text.h"
#include "property_check.h"

namespace chestnuthead::platform {

class store_rows_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_rows_test);
  CPPUNIT_TEST(rows_are_decoded);
  CPPUNIT_TEST(base64_values_round_trip);
  CPPUNIT_TEST(a_configuration_is_decoded);
  CPPUNIT_TEST(an_invalid_configuration_is_reported);
  CPPUNIT_TEST(an_endpoint_is_decoded);
  CPPUNIT_TEST(malformed_endpoint_entries_are_rejected);
  CPPUNIT_TEST(a_write_is_encoded_as_one_call);
  CPPUNIT_TEST_SUITE_END();

 public:
  void rows_are_decoded() {
    const auto page = decode_page(
        R"({"rows":[{"table":"op","part":"","key":"config","value":"eyJ9","row_version":4},)"
        R"({"key":"evacuate/north","removed":true,"row_version":5}],)"
        R"("more_pages":true,"row_version":9,"now_ms":51230})");
    CPPUNIT_ASSERT(page.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page->version);
    CPPUNIT_ASSERT(page->more);
    CPPUNIT_ASSERT(page->store_time == std::chrono::milliseconds{51'230});
    CPPUNIT_ASSERT_EQUAL(std::string("{\"}"), page->rows[0].value);
    CPPUNIT_ASSERT(page->rows[1].removed);
    CPPUNIT_ASSERT(!decode_page("[]").has_value());
    CPPUNIT_ASSERT(!decode_page("{\"rows\":[").has_value());
  }

  void base64_values_round_trip() {
    check_property("base64", [](const std::string& value) {
      const auto page =
          decode_page(R"({"rows":[{"key":"k","value":")" + encode_base64(value) + "\"}]}");
      RC_ASSERT(page.has_value());
      RC_ASSERT(page->rows.at(0).value == value);
    });
    const auto page = decode_page(R"({"rows":[{"key":"k","value":"not*base64"}]})");
    CPPUNIT_ASSERT(page->rows.at(0).value.empty());
  }

  void a_configuration_is_decoded() {
    const auto map = std::get<gateway::service_map>(decode_configuration(R"({"version":7,
      "routes":[
        {"name":"chat","host":"a.example","prefix":"/c/","type":"stream","timeout_ms":10000,
         "target_latency_ms":300,"priority":2,"service":"llm","max_attempts":2,"public":false,
         "session_affinity":true,"stream_resume":true,"gap_target_ms":250},
        {"name":"guide","host":"a.example","prefix":"/g/","type":"stream","service":"llm"},
        {"name":"look","host":"a.example","prefix":"/l/","type":"safe","public":true,
         "backends":[{"service":"x","weight":90},{"service":"y","weight":10}]},
        {"name":"pay","host":"a.example","prefix":"/p/","type":"unsafe","service":"x"}],
      "services":[{"name":"llm","health_check_path":"/healthz","max_connections":370,
        "warmup_s":3.0,"warmup_per_s":17.0,"engine":{"batch_slots":64,"kv_capacity_tokens":9}}],
      "limits":{"max_header_bytes":100,"idle_timeout_ms":9000},
      "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, map.version);
    const gateway::route& chat = *find_route(map, "a.example", "/c/1");
    CPPUNIT_ASSERT(chat.resumable && chat.streams && chat.has_prompt && chat.needs_key);
    CPPUNIT_ASSERT(chat.executions == gateway::execution_limit::idempotent);
    CPPUNIT_ASSERT(chat.pause_objective == std::chrono::milliseconds{250});
    const gateway::route& guide = *find_route(map, "a.example", "/g/1");
    CPPUNIT_ASSERT(guide.executions == gateway::execution_limit::at_most_once);
    const gateway::route& look = *find_route(map, "a.example", "/l/1");
    CPPUNIT_ASSERT(look.executions == gateway::execution_limit::idempotent && !look.needs_key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, look.pools.size());
    const gateway::route& pay = *find_route(map, "a.example", "/p/1");
    CPPUNIT_ASSERT(pay.executions == gateway::execution_limit::at_most_once);
    const gateway::pool& llm = *find_pool(map, pool_id{"llm"});
    CPPUNIT_ASSERT(llm.warm_up == std::chrono::seconds{3} && llm.engine);
    CPPUNIT_ASSERT_EQUAL(std::string("t"), find_customer(map, "k2")->name.value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, map.limits.header_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4'194'304}, map.limits.body_bytes);
  }

  void an_invalid_configuration_is_reported() {
    for (const char* text : {"", "{}", "[1]", "{\"routes\":"}) {
      CPPUNIT_ASSERT(!std::get<std::string>(decode_configuration(text)).empty());
    }
  }

  void an_endpoint_is_decoded() {
    const auto listing = std::get<gateway::endpoint_listing>(decode_endpoint(
        "i-1", R"({"service":"llm","address":"10.0.0.1:80","zone":"north","batch_slots":64,)"
               R"("state":"draining","warmup_remaining_ms":1500,"sequence":4,"born":77})"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), listing.name.value);
    CPPUNIT_ASSERT(listing.leaving);
    CPPUNIT_ASSERT(listing.cold_for == std::chrono::milliseconds{1'500});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{77}, listing.started);
  }

  void malformed_endpoint_entries_are_rejected() {
    for (const char* text :
         {"", "null", "\xFF\xFE", R"({"service":"llm"})",
          R"({"service":"llm","address":"10.0.0.1:80","batch_slots":64,"state":"odd",)"
          R"("warmup_remaining_ms":0})",
          R"({"service":5,"address":"10.0.0.1:80","batch_slots":64,"state":"ready",)"
          R"("warmup_remaining_ms":0})",
          R"({"service":"llm","address":"host:80","batch_slots":64,"state":"ready",)"
          R"("warmup_remaining_ms":0})",
          R"({"service":"llm","address":"10.0.0.1:80","batch_slots":"64","state":"ready",)"
          R"("warmup_remaining_ms":0})"}) {
      CPPUNIT_ASSERT_MESSAGE(text, std::holds_alternative<std::string>(decode_endpoint("i", text)));
    }
  }

  void a_write_is_encoded_as_one_call() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"expected_revision":[],"set_keys":[{"table":"t","part":"","key":"k",)"
                    R"("value":"dg=="}],"delete":[]})"),
        encode_write("t", "k", "v"));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"expected_revision":[],"set_keys":[],"delete":[{"table":"t","part":"","key":"k"}]})"),
        encode_write("t", "k", ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_rows_test);

}  // namespace chestnuthead::platform
