#include "chestnuthead/configuration.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

namespace {

configuration_document sample_document() {
  configuration_document document;
  document.operation = "op-1";
  pool_configuration orders;
  orders.name.value = "kit-orders";
  orders.kind = pool_kind::plain_service;
  orders.load_multiple = 1.3;
  orders.default_deadline = std::chrono::milliseconds{1500};
  orders.operations = {{"GET", "/orders", execution_rule::idempotent},
                       {"GET", "/orders/pay", execution_rule::at_most_once}};
  document.pools = {orders};
  document.customers = {{customer_id{"scho\xC3\xB6ls \"north\""}, 2.5}};
  document.failure_domains = {failure_domain_id{"bole"}, failure_domain_id{"arada"}};
  document.failure_domains_out = {failure_domain_id{"arada"}};
  document.endpoints_out = {endpoint_id{"e-2"}, endpoint_id{"e-1"}};
  document.policy.crash_memory = std::chrono::seconds{30};
  return document;
}

std::vector<settings_fault> faults_of(const std::string& text) {
  const configuration_result result = parse_configuration(text);
  const auto* faults = std::get_if<std::vector<settings_fault>>(&result);
  CPPUNIT_ASSERT_MESSAGE(text, faults != nullptr);
  return *faults;
}

bool names_key(const std::vector<settings_fault>& faults, const std::string& key) {
  return std::any_of(faults.begin(), faults.end(), [&key](const settings_fault& fault) {
    return fault.key == key && !fault.found.empty() && !fault.expected.empty();
  });
}

}  // namespace

class configuration_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(configuration_test);
  CPPUNIT_TEST(round_trips_a_document);
  CPPUNIT_TEST(all_faults_are_reported_at_once);
  CPPUNIT_TEST(rejects_invalid_documents);
  CPPUNIT_TEST(longest_path_rule_wins_and_default_is_at_most_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void round_trips_a_document() {
    const std::string text = format_configuration(sample_document());

    const auto document = std::get<configuration_document>(parse_configuration(text));

    CPPUNIT_ASSERT_EQUAL(text, format_configuration(document));
    const pool_configuration* pool = find_pool(document, pool_id{"kit-orders"});
    CPPUNIT_ASSERT(pool != nullptr);
    CPPUNIT_ASSERT(pool->default_deadline == std::chrono::milliseconds{1500});
    CPPUNIT_ASSERT_EQUAL(1.3, pool->load_multiple);
    CPPUNIT_ASSERT(document.policy.crash_memory == std::chrono::seconds{30});
    CPPUNIT_ASSERT(document.endpoints_out == sample_document().endpoints_out);
    CPPUNIT_ASSERT(find_customer(document, sample_document().customers[0].name) != nullptr);
    CPPUNIT_ASSERT(find_customer(document, customer_id{"nobody"}) == nullptr);
  }

  void all_faults_are_reported_at_once() {
    const auto faults = faults_of(R"({
      "pools": {"a": {"kind": "engine", "warm_limit": true, "cold_limit": 18446744073709551615,
                      "load_multiple": "big", "deadline": 5,
                      "operations": [{"method": "GET", "path_prefix": "x", "rule": "maybe"}, 7]}},
      "customers": {"c": {"weight": 0}, "d": 3},
      "failure_domains": ["bole", "bole", 4], "failure_domains_out": ["boel"],
      "policy": {"crash_memory_s": 1.5, "gossip_interval_ms": null}, "extra": 1})");

    for (const char* key :
         {"pools.a.kind", "pools.a.warm_limit", "pools.a.cold_limit", "pools.a.load_multiple",
          "pools.a.deadline", "pools.a.operations[0].path_prefix", "pools.a.operations[0].rule",
          "pools.a.operations[1]", "customers.c.weight", "customers.d", "failure_domains[1]",
          "failure_domains[2]", "failure_domains_out", "policy.crash_memory_s",
          "policy.gossip_interval_ms", "extra"}) {
      CPPUNIT_ASSERT_MESSAGE(key, names_key(faults, key));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, faults.size());
  }

  void rejects_invalid_documents() {
    for (const char* text :
         {"", "[]", "3", "{", "{} {}", "{\"operation\": }", "99999999999999999999"}) {
      faults_of(text);
    }
  }

  void longest_path_rule_wins_and_default_is_at_most_once() {
    const pool_configuration pool = sample_document().pools[0];

    CPPUNIT_ASSERT(rule_for(pool, "GET", "/orders/5") == execution_rule::idempotent);
    CPPUNIT_ASSERT(rule_for(pool, "GET", "/orders?id=5") == execution_rule::idempotent);
    CPPUNIT_ASSERT(rule_for(pool, "GET", "/orders/pay") == execution_rule::at_most_once);
    CPPUNIT_ASSERT(rule_for(pool, "GET", "/orders-paid") == execution_rule::at_most_once);
    CPPUNIT_ASSERT(rule_for(pool, "GET", "/orders/x/../pay") == execution_rule::at_most_once);
    CPPUNIT_ASSERT(rule_for(pool, "POST", "/orders") == execution_rule::at_most_once);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

}  // namespace chestnuthead
