#include "Gossip/configuration_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Measure/control_fleet.h"

namespace chestnuthead {

namespace {

/// The configuration text at `version`.
std::string text_at(std::uint64_t version) {
  configuration_document document = sample_configuration(2, 20);
  document.customers[version % 20].weight = static_cast<double>(version);
  return format_configuration(document);
}

configuration_history history_up_to(std::uint64_t first, std::uint64_t last) {
  configuration_history history;
  for (std::uint64_t version = first; version <= last; ++version) {
    adopt_document(history, version, text_at(version));
  }
  return history;
}

}  // namespace

class configuration_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(configuration_history_test);
  CPPUNIT_TEST(changes_bring_a_peer_that_lacks_a_few_versions_up);
  CPPUNIT_TEST(a_gap_is_reported_and_the_whole_document_bridges_it);
  CPPUNIT_TEST(an_older_version_is_never_adopted);
  CPPUNIT_TEST(without_the_check_an_older_version_is_adopted_and_counted);
  CPPUNIT_TEST(a_change_with_another_result_is_refused);
  CPPUNIT_TEST(an_invalid_document_leaves_the_one_in_force);
  CPPUNIT_TEST(the_history_is_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void changes_bring_a_peer_that_lacks_a_few_versions_up() {
    const configuration_history source = history_up_to(3, 9);
    configuration_history peer = history_up_to(3, 5);

    const auto changes = changes_since(source, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, changes.size());
    for (const configuration_change& change : changes) {
      CPPUNIT_ASSERT(change.text.size() < 120);
      CPPUNIT_ASSERT(adopt_change(peer, change) == adoption::adopted);
      CPPUNIT_ASSERT(adopt_change(peer, change) == adoption::not_newer);
    }
    CPPUNIT_ASSERT_EQUAL(source.text, peer.text);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, peer.document.version);
  }

  void a_gap_is_reported_and_the_whole_document_bridges_it() {
    const configuration_history source = history_up_to(3, 9);
    configuration_history peer = history_up_to(1, 1);

    CPPUNIT_ASSERT(changes_since(source, 1).empty());
    CPPUNIT_ASSERT(adopt_change(peer, source.recent.back()) == adoption::gap);
    CPPUNIT_ASSERT(adopt_change(peer, whole_change(source)) == adoption::adopted);
    CPPUNIT_ASSERT_EQUAL(source.text, peer.text);
  }

  void an_older_version_is_never_adopted() {
    configuration_history history = history_up_to(3, 9);

    CPPUNIT_ASSERT(adopt_document(history, 8, text_at(8)) == adoption::not_newer);
    CPPUNIT_ASSERT(adopt_document(history, 9, text_at(2)) == adoption::not_newer);
    CPPUNIT_ASSERT_EQUAL(text_at(9), history.text);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, history.version_regressions);
  }

  void without_the_check_an_older_version_is_adopted_and_counted() {
    configuration_history history = history_up_to(3, 9);
    history.accepts_older = true;

    adopt_document(history, 8, text_at(8));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, history.version_regressions);
  }

  void a_change_with_another_result_is_refused() {
    const configuration_history source = history_up_to(3, 9);
    configuration_history peer = history_up_to(3, 8);
    configuration_change change = source.recent.back();
    change.text = R"({"operation":"other"})";

    CPPUNIT_ASSERT(adopt_change(peer, change) == adoption::unusable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, peer.document.version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, peer.diverged);
  }

  void an_invalid_document_leaves_the_one_in_force() {
    configuration_history history = history_up_to(3, 4);

    CPPUNIT_ASSERT(adopt_document(history, 5, "{") == adoption::unusable);
    CPPUNIT_ASSERT(adopt_document(history, 5, R"({"unknown":1})") == adoption::unusable);
    CPPUNIT_ASSERT_EQUAL(text_at(4), history.text);
    CPPUNIT_ASSERT(adopt_document(history, 6, text_at(6)) == adoption::adopted);
  }

  void the_history_is_bounded() {
    const configuration_history history = history_up_to(1, 300);

    CPPUNIT_ASSERT(history.recent.size() <= history_change_limit);
    CPPUNIT_ASSERT(history.recent_bytes <= history_byte_limit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_history_test);

}  // namespace chestnuthead
