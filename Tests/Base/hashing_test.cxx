#include "Base/hashing.h"

#include <algorithm>
#include <array>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

class hashing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(hashing_test);
  CPPUNIT_TEST(hash_values_are_stable_across_releases);
  CPPUNIT_TEST(rendezvous_spreads_keys_evenly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void hash_values_are_stable_across_releases() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x2d06800538d394c2}, hash_text(""));
  }

  void rendezvous_spreads_keys_evenly() {
    constexpr int members = 10;
    constexpr int keys = 10'000;
    std::array<int, members> wins{};
    for (int key = 0; key < keys; ++key) {
      std::array<std::uint64_t, members> weights{};
      for (int member = 0; member < members; ++member) {
        weights.at(member) =
            rendezvous_weight(hash_text(std::to_string(key)), hash_text(std::to_string(member)));
      }
      ++wins.at(std::max_element(weights.begin(), weights.end()) - weights.begin());
    }
    CPPUNIT_ASSERT(*std::min_element(wins.begin(), wins.end()) > 850);
    CPPUNIT_ASSERT(*std::max_element(wins.begin(), wins.end()) < 1150);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hashing_test);

}  // namespace chestnuthead
