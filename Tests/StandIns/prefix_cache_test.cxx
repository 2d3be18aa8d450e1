#include "StandIns/prefix_cache.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chestnuthead::chat_message;
using chestnuthead::count_tokens;

class prefix_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_cache_test);
  CPPUNIT_TEST(finds_the_longest_prefix);
  CPPUNIT_TEST(a_changed_message_ends_the_prefix);
  CPPUNIT_TEST(evicts_the_least_recently_used);
  CPPUNIT_TEST_SUITE_END();

 public:
  void finds_the_longest_prefix() {
    stand_in::prefix_cache cache(1000);
    cache.insert(this->first_turn);
    std::vector<chat_message> second = this->first_turn;
    second.push_back({"user", "and the drawbridge?"});
    CPPUNIT_ASSERT_EQUAL(count_tokens(this->first_turn), cache.find(second));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, cache.find({{"user", "another"}}));
  }

  void a_changed_message_ends_the_prefix() {
    stand_in::prefix_cache cache(1000);
    cache.insert(this->first_turn);
    std::vector<chat_message> changed = this->first_turn;
    changed[1].content = "changed";
    CPPUNIT_ASSERT_EQUAL(count_tokens(this->first_turn[0]), cache.find(changed));
  }

  void evicts_the_least_recently_used() {
    stand_in::prefix_cache cache(count_tokens(this->first_turn));
    cache.insert(this->first_turn);
    const std::vector<chat_message> other{{"user", "a question of another chat"}};
    cache.insert(other);
    CPPUNIT_ASSERT_EQUAL(count_tokens(other), cache.find(other));
    CPPUNIT_ASSERT(cache.find(this->first_turn) < count_tokens(this->first_turn));
  }

 private:
  std::vector<chat_message> first_turn{{"system", "You help builders of castles."},
                                       {"user", "Where does the turret go?"}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_cache_test);

}  // namespace
