#include "Configuration/merge_patch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

class merge_patch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(merge_patch_test);
  CPPUNIT_TEST(patch_leads_from_one_text_to_the_other);
  CPPUNIT_TEST(patch_names_only_what_changed);
  CPPUNIT_TEST(texts_that_are_no_objects_give_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void patch_leads_from_one_text_to_the_other() {
    const char* texts[] = {R"({})", R"({"a":1,"b":{"c":[1,2],"d":true}})", R"({"b":{"c":[2]}})",
                           R"({"a":{},"b":2})", R"({"a":{"x":{"y":0.5}},"b":"\"é"})"};
    for (const std::string before : texts) {
      for (const std::string after : texts) {
        const auto patch = make_merge_patch(before, after);
        CPPUNIT_ASSERT_EQUAL(*canonical_json(after), *apply_merge_patch(before, *patch));
      }
    }
  }

  void patch_names_only_what_changed() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"a":null,"b":{"c":3}})"),
        *make_merge_patch(R"({"a":1,"b":{"c":2,"d":4}})", R"({"b":{"d":4, "c":3}})"));
  }

  void texts_that_are_no_objects_give_nothing() {
    CPPUNIT_ASSERT(!canonical_json("[1]"));
    CPPUNIT_ASSERT(!make_merge_patch("{}", "{"));
    CPPUNIT_ASSERT(!apply_merge_patch("{}", "3"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(merge_patch_test);

}  // namespace chestnuthead
