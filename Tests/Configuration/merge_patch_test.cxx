#include "Configuration/merge_patch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

class merge_patch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(merge_patch_test);
  CPPUNIT_TEST(patch_turns_one_object_into_the_other);
  CPPUNIT_TEST(patch_contains_only_changes);
  CPPUNIT_TEST(rejects_texts_that_are_not_objects);
  CPPUNIT_TEST_SUITE_END();

 public:
  void patch_turns_one_object_into_the_other() {
    const char* texts[] = {R"({})", R"({"a":1,"b":{"c":[1,2],"d":true}})", R"({"b":{"c":[2]}})",
                           R"({"a":{},"b":2})", R"({"a":{"x":{"y":0.5}},"b":"\"é"})"};
    for (const std::string before : texts) {
      for (const std::string after : texts) {
        const auto patch = make_merge_patch(before, after);
        CPPUNIT_ASSERT_EQUAL(*canonical_json(after), *apply_merge_patch(before, *patch));
      }
    }
  }

  void patch_contains_only_changes() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"a":null,"b":{"c":3}})"),
        *make_merge_patch(R"({"a":1,"b":{"c":2,"d":4}})", R"({"b":{"d":4, "c":3}})"));
  }

  void rejects_texts_that_are_not_objects() {
    CPPUNIT_ASSERT(!canonical_json("[1]"));
    CPPUNIT_ASSERT(!make_merge_patch("{}", "{"));
    CPPUNIT_ASSERT(!apply_merge_patch("{}", "3"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(merge_patch_test);

}  // namespace chestnuthead
