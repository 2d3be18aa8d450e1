#include "Control/change.h"

#include <deque>

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/memory_table.h"

namespace {

using chestnuthead::change_accepted;
using chestnuthead::change_conflict;
using chestnuthead::configuration_document;
using chestnuthead::configuration_row;
using chestnuthead::table_failure;

enum class fate : std::uint8_t { answered, refused, lost_before, lost_after };

// A table that meets its next calls with the given fates, then answers.
class failing_table : public chestnuthead::table_service {
 public:
  void submit(chestnuthead::table_request request,
              std::function<void(chestnuthead::table_reply)> done) override {
    fate next = fate::answered;
    if (!this->fates.empty()) {
      next = this->fates.front();
      this->fates.pop_front();
    }
    if (next == fate::refused) {
      done(table_failure::refused);
    } else if (next == fate::lost_before) {
      done(table_failure::no_answer);
    } else {
      const auto reply = this->memory.apply(request);
      done(next == fate::lost_after ? chestnuthead::table_reply(table_failure::no_answer) : reply);
    }
  }

  std::deque<fate> fates;
  chestnuthead::memory_table memory;
};

configuration_document make_document(const std::string& operation, std::uint32_t probes) {
  configuration_document document;
  document.operation = operation;
  document.policy.prefix_probes = probes;
  return document;
}

class change_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(change_test);
  CPPUNIT_TEST(makes_the_first_version);
  CPPUNIT_TEST(finds_its_change_after_a_lost_answer);
  CPPUNIT_TEST(writes_again_when_the_write_was_lost);
  CPPUNIT_TEST(asks_again_when_refused);
  CPPUNIT_TEST(gives_up_when_always_refused);
  CPPUNIT_TEST(tells_the_second_operator_what_changed);
  CPPUNIT_TEST(does_not_claim_what_later_versions_hide);
  CPPUNIT_TEST(writes_nothing_that_is_there_already);
  CPPUNIT_TEST_SUITE_END();

 public:
  void makes_the_first_version() {
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->read().version);
  }

  void finds_its_change_after_a_lost_answer() {
    this->table.fates = {fate::lost_after};
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->table.memory.writes());
  }

  void writes_again_when_the_write_was_lost() {
    this->table.fates = {fate::lost_before};
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
  }

  void asks_again_when_refused() {
    this->table.fates = {fate::refused, fate::refused};
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
  }

  void gives_up_when_always_refused() {
    this->table.fates.assign(20, fate::refused);
    const auto result = this->write({}, make_document("a", 1));
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::change_unavailable>(result));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->table.memory.writes());
  }

  void tells_the_second_operator_what_changed() {
    this->write({}, make_document("a", 1));
    const configuration_row seen = this->read();
    this->expect_accepted(this->write(seen, make_document("b", 2)), 2);
    const auto result = this->write(seen, make_document("c", 3));
    CPPUNIT_ASSERT(std::holds_alternative<change_conflict>(result));
    const auto& conflict = std::get<change_conflict>(result);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), conflict.operation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, conflict.differences.size());
    CPPUNIT_ASSERT_EQUAL(std::string("policy.prefix_probes: 1 becomes 2"),
                         chestnuthead::describe(conflict.differences.front()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->read().version);
  }

  void does_not_claim_what_later_versions_hide() {
    this->write({}, make_document("a", 1));
    const configuration_row seen = this->read();
    this->write(seen, make_document("b", 2));
    this->write(this->read(), make_document("c", 3));
    this->table.fates = {fate::lost_before};
    const auto result = this->write(seen, make_document("d", 4));
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::change_outcome_unknown>(result));
  }

  void writes_nothing_that_is_there_already() {
    this->write({}, make_document("a", 1));
    const auto result = this->write(this->read(), make_document("b", 1));
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::change_not_needed>(result));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->table.memory.writes());
  }

 private:
  chestnuthead::change_result write(const configuration_row& base,
                                    const configuration_document& document) {
    return chestnuthead::write_configuration(this->table, base, document, this->terms);
  }

  configuration_row read() {
    return chestnuthead::read_configuration(this->table, this->terms).value();
  }

  static void expect_accepted(const chestnuthead::change_result& result, std::uint64_t version) {
    CPPUNIT_ASSERT(std::holds_alternative<change_accepted>(result));
    CPPUNIT_ASSERT_EQUAL(version, std::get<change_accepted>(result).version);
  }

  failing_table table;
  chestnuthead::change_terms terms{5, [] {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_test);

}  // namespace
