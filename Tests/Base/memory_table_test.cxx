#include "chestnuthead/memory_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

class memory_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(memory_table_test);
  CPPUNIT_TEST(writes_of_a_group_are_applied_independently);
  CPPUNIT_TEST_SUITE_END();

 public:
  void writes_of_a_group_are_applied_independently() {
    memory_table table;
    table.apply(table_write_group{{{"a", 0, "first"}}});

    const table_reply reply = table.apply(table_write_group{{{"a", 0, "lost"}, {"b", 0, "won"}}});

    const auto& results = std::get<table_write_results>(reply).results;
    CPPUNIT_ASSERT(!results.at(0).applied);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), results.at(0).current->value);
    CPPUNIT_ASSERT(results.at(1).applied);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, results.at(1).current->version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_table_test);

}  // namespace chestnuthead
