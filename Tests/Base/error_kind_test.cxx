#include "chestnuthead/error_kind.h"

#include <set>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

class error_kind_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(error_kind_test);
  CPPUNIT_TEST(each_kind_has_a_unique_entry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void each_kind_has_a_unique_entry() {
    std::set<std::string_view> names;
    for (int index = 0; index < error_kind_count; ++index) {
      const auto kind = static_cast<error_kind>(index);
      const error_answer& answer = answer_for(kind);
      CPPUNIT_ASSERT(answer.kind == kind);
      CPPUNIT_ASSERT(answer.http_status >= 400);
      CPPUNIT_ASSERT(names.insert(answer.name).second);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_kind_test);

}  // namespace chestnuthead
