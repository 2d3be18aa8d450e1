#include "Control/service_change.h"

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/memory_table.h"

namespace {

using chestnuthead::change_accepted;
using chestnuthead::change_not_needed;
using chestnuthead::change_result;
using chestnuthead::configuration_document;
using chestnuthead::service_move;
using chestnuthead::service_order;
using chestnuthead::service_result;
using chestnuthead::service_target;

// A table in which another operator makes a change between this one's read and
// its write.
class raced_table : public chestnuthead::table_service {
 public:
  void submit(chestnuthead::table_request request,
              std::function<void(chestnuthead::table_reply)> done) override {
    const bool write = std::holds_alternative<chestnuthead::table_write_group>(request);
    if (write && this->race) {
      this->race = false;
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

  bool race = false;
  chestnuthead::memory_table memory;
};

class service_change_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(service_change_test);
  CPPUNIT_TEST(takes_a_failure_domain_out_and_back);
  CPPUNIT_TEST(takes_an_endpoint_out);
  CPPUNIT_TEST(refuses_a_misspelt_failure_domain);
  CPPUNIT_TEST(keeps_another_operators_change);
  CPPUNIT_TEST(asks_for_a_configuration_first);
  CPPUNIT_TEST_SUITE_END();

 public:
  void takes_a_failure_domain_out_and_back() {
    this->table.put("first", 3);
    this->expect<change_accepted>(this->carry_out(service_move::take_out));
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.contains({"north"}));
    this->expect<change_not_needed>(this->carry_out(service_move::take_out));
    this->expect<change_accepted>(this->carry_out(service_move::bring_back));
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.empty());
  }

  void takes_an_endpoint_out() {
    this->table.put("first", 3);
    const service_order order{service_target::endpoint, service_move::take_out, "agent-1", "a"};
    this->expect<change_accepted>(chestnuthead::carry_out(this->table, order, this->terms));
    CPPUNIT_ASSERT(this->table.current().endpoints_out.contains({"agent-1"}));
  }

  void refuses_a_misspelt_failure_domain() {
    this->table.put("first", 3);
    const service_order order{service_target::failure_domain, service_move::take_out, "nord", "a"};
    const service_result result = chestnuthead::carry_out(this->table, order, this->terms);
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::order_not_valid>(result));
    CPPUNIT_ASSERT_EQUAL(
        std::string("The failure domain \"nord\" is not known; one of north, south was expected."),
        std::get<chestnuthead::order_not_valid>(result).sentence);
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.empty());
  }

  void keeps_another_operators_change() {
    this->table.put("first", 3);
    this->table.race = true;
    this->expect<change_accepted>(this->carry_out(service_move::take_out));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{9}, this->table.current().policy.prefix_probes);
    CPPUNIT_ASSERT(this->table.current().failure_domains_out.contains({"north"}));
  }

  void asks_for_a_configuration_first() {
    const service_result result = this->carry_out(service_move::take_out);
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::order_not_valid>(result));
  }

 private:
  service_result carry_out(service_move move) {
    const std::string operation = "operation-" + std::to_string(this->orders++);
    return chestnuthead::carry_out(
        this->table, {service_target::failure_domain, move, "north", operation}, this->terms);
  }

  template <class Outcome>
  void expect(const service_result& result) {
    CPPUNIT_ASSERT(std::holds_alternative<change_result>(result));
    CPPUNIT_ASSERT(std::holds_alternative<Outcome>(std::get<change_result>(result)));
  }

  raced_table table;
  chestnuthead::change_terms terms{5, [] {}};
  int orders = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_change_test);

}  // namespace
