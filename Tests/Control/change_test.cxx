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

enum class call_outcome : std::uint8_t { answered, refused, request_lost, reply_lost };

// A table whose next calls have the given outcomes; later calls are answered.
class failing_table : public chestnuthead::table_service {
 public:
  void submit(chestnuthead::table_request request,
              std::function<void(chestnuthead::table_reply)> done) override {
    call_outcome next = call_outcome::answered;
    if (!this->outcomes.empty()) {
      next = this->outcomes.front();
      this->outcomes.pop_front();
    }
    if (next == call_outcome::refused) {
      done(table_failure::refused);
    } else if (next == call_outcome::request_lost) {
      done(table_failure::no_answer);
    } else {
      const auto reply = this->memory.apply(request);
      done(next == call_outcome::reply_lost ? chestnuthead::table_reply(table_failure::no_answer)
                                            : reply);
    }
  }

  std::deque<call_outcome> outcomes;
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
  CPPUNIT_TEST(writes_the_first_version);
  CPPUNIT_TEST(detects_its_change_after_a_lost_reply);
  CPPUNIT_TEST(retries_a_lost_write);
  CPPUNIT_TEST(retries_when_refused);
  CPPUNIT_TEST(gives_up_when_always_refused);
  CPPUNIT_TEST(conflict_reports_what_changed);
  CPPUNIT_TEST(outcome_is_unknown_after_later_versions);
  CPPUNIT_TEST(unchanged_document_is_not_written);
  CPPUNIT_TEST_SUITE_END();

 public:
  void writes_the_first_version() {
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->read().version);
  }

  void detects_its_change_after_a_lost_reply() {
    this->table.outcomes = {call_outcome::reply_lost};
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->table.memory.writes());
  }

  void retries_a_lost_write() {
    this->table.outcomes = {call_outcome::request_lost};
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
  }

  void retries_when_refused() {
    this->table.outcomes = {call_outcome::refused, call_outcome::refused};
    this->expect_accepted(this->write({}, make_document("a", 1)), 1);
  }

  void gives_up_when_always_refused() {
    this->table.outcomes.assign(20, call_outcome::refused);
    const auto result = this->write({}, make_document("a", 1));
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::change_unavailable>(result));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->table.memory.writes());
  }

  void conflict_reports_what_changed() {
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

  void outcome_is_unknown_after_later_versions() {
    this->write({}, make_document("a", 1));
    const configuration_row seen = this->read();
    this->write(seen, make_document("b", 2));
    this->write(this->read(), make_document("c", 3));
    this->table.outcomes = {call_outcome::request_lost};
    const auto result = this->write(seen, make_document("d", 4));
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::change_outcome_unknown>(result));
  }

  void unchanged_document_is_not_written() {
    this->write({}, make_document("a", 1));
    const auto result = this->write(this->read(), make_document("b", 1));
    CPPUNIT_ASSERT(std::holds_alternative<chestnuthead::change_not_needed>(result));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->table.memory.writes());
  }

 private:
  chestnuthead::change_result write(const configuration_row& base,
                                    const configuration_document& document) {
    return chestnuthead::write_configuration(this->table, base, document, this->retry);
  }

  configuration_row read() {
    return chestnuthead::read_configuration(this->table, this->retry).value();
  }

  static void expect_accepted(const chestnuthead::change_result& result, std::uint64_t version) {
    CPPUNIT_ASSERT(std::holds_alternative<change_accepted>(result));
    CPPUNIT_ASSERT_EQUAL(version, std::get<change_accepted>(result).version);
  }

  failing_table table;
  chestnuthead::table_retry_policy retry{5, [] {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_test);

}  // namespace
