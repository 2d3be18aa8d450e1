#include "build_info.h"

#include <algorithm>
#include <cctype>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::platform {

class build_info_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(build_info_test);
  CPPUNIT_TEST(sources_are_identified);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a log that doesn't tell which program wrote it.
  void sources_are_identified() {
    const std::string id(source_id());
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, id.size());
    CPPUNIT_ASSERT(std::all_of(id.begin(), id.end(),
                               [](unsigned char digit) { return std::isxdigit(digit) != 0; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(build_info_test);

}  // namespace chestnuthead::platform
