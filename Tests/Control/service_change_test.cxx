#include "Control/service_change.h"

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/memory_table.h"

namespace {

using chestnuthead::change_accepted;
using chestnuthead::change_not_needed;
using chestnuthead::change_result;
using chestnuthead::configuration_document;
using chestnuthead::service_action;
using chestnuthead::service_change;
using chestnuthead::service_change_result;
using chestnuthead::service_target;

// A table in which another operator writes between the read and the write of a change
// if `write_pending` is set.
class contended_table : public chestnuthead::table_service {
 public:
  void submit(chestnuthead::table_request request,
              std::function<void(chestnuthead::table_reply)> done) override {
    const bool write = std::holds_alternative<chestnuthead::table_write_group>(request);
    if (write && this->write_pending) {
      this->write_pending = false;
      this->put("other", 9);
    }
    done(this->memory.apply(request));
  }

  void put(const std::string& operation, std::uint32_t probes) {
    configuration_document document;
    document.operation = operation;
    document.failure_domains = {{"north"}, {"south"}};
    document.policy.prefix_probes = probes;
    const auto row = this->memory.find(chestnuthead::configuration_row_key);
    this->memory.apply(chestnuthead::table_write_group{
        {{chestnuthead::configuration_row_key, row ? row->version : 0,
          chestnuthead::format_configuration(document)}}});
  }

  configuration_document current() {
    const auto row = this->memory.find(chestnuthead::configuration_row_key);
    return std::get<configuration_document>(chestnuthead::parse_configuration(row.value().value));
  }

  bool write_pending = false;
  chestnuthead::memory_table memory;
};

class service_change_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(service_change_test);
  CPPUNIT_TEST(takes_a_failure_domain_out_and_back);
  CPPUNIT_TEST(takes_an_endpoint_out);
  CPPUNIT_TEST(rejects_an_unknown_failure_domain);
  CPPUNIT_TEST(preserves_a_concurrent_change);
  CPPUNIT_TEST(requires_a_configuration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void takes_a_failure_domain_out_and_back() {
    this->table.put("first", 3);
    this->expect<change_accepted>(this->change_north(service_action::take_out));
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.contains({"north"}));
    this->expect<change_not_needed>(this->change_north(service_action::take_out));
    this->expect<change_accepted>(this->change_north(service_action::bring_back));
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.empty());
  }

  void takes_an_endpoint_out() {
    this->table.put("first", 3);
    const service_change change{service_target::endpoint, service_action::take_out, "agent-1", "a"};
    this->expect<change_accepted>(
        chestnuthead::apply_service_change(this->table, change, this->retry));
    CPPUNIT_ASSERT(this->table.current().endpoints_out.contains({"agent-1"}));
  }

  void rejects_an_unknown_failure_domain() {
    this->table.put("first", 3);
    const service_change change{service_target::failure_domain, service_action::take_out, "nord",
                                "a"};
    const service_change_result result =
        chestnuthead::apply_service_change(this->table, change, this->retry);
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::invalid_service_change>(result));
    CPPUNIT_ASSERT_EQUAL(
        std::string("The failure domain \"nord\" is not known; one of north, south was expected."),
        std::get<chestnuthead::invalid_service_change>(result).message);
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.empty());
  }

  void preserves_a_concurrent_change() {
    this->table.put("first", 3);
    this->table.write_pending = true;
    this->expect<change_accepted>(this->change_north(service_action::take_out));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{9}, this->table.current().policy.prefix_probes);
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.contains({"north"}));
  }

  void requires_a_configuration() {
    const service_change_result result = this->change_north(service_action::take_out);
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::invalid_service_change>(result));
  }

 private:
  service_change_result change_north(service_action action) {
    const std::string operation = "operation-" + std::to_string(this->operations++);
    return chestnuthead::apply_service_change(
        this->table, {service_target::failure_domain, action, "north", operation}, this->retry);
  }

  template <class Outcome>
  void expect(const service_change_result& result) {
    CPPUNIT_ASSERT(std::holds_alternative<change_result>(result));
    CPPUNIT_ASSERT(std::holds_alternative<Outcome>(std::get<change_result>(result)));
  }

  contended_table table;
  chestnuthead::table_retry_policy retry{5, [] {}};
  int operations = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_change_test);

}  // namespace
