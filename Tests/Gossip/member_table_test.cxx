#include "Gossip/member_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

#include "Gossip/vm_entry_text.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr steady_time start{std::chrono::hours{1}};
constexpr std::uint64_t first_run = 7ULL << 32U;
constexpr std::uint64_t second_run = 3ULL << 32U;

vm_entry agent_entry(const std::string& name) {
  return {node_id{name},  vm_role::agent,  pool_id{"p"}, failure_domain_id{"d"},
          region_id{"r"}, "10.0.0.1:7000", false};
}

rumor rumor_about(rumor_kind kind, const std::string& name, std::uint64_t sequence,
                  milliseconds age = milliseconds{0}) {
  return {kind, node_id{name}, sequence, name, pack_vm_entry(agent_entry(name)), age};
}

vm_snapshot list_of(std::uint64_t version, const std::vector<std::string>& names) {
  vm_snapshot snapshot;
  snapshot.version = version;
  for (const std::string& name : names) {
    snapshot.vms.push_back(agent_entry(name));
  }
  return snapshot;
}

bool is_leaving(const member_table& table, const std::string& name) {
  const member* row = find_member(table, node_id{name});
  CPPUNIT_ASSERT(row != nullptr);
  return row->leaving;
}

}  // namespace

class member_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(member_table_test);
  CPPUNIT_TEST(an_older_list_never_replaces_a_newer_one);
  CPPUNIT_TEST(a_leaving_announcement_overrides_a_lagging_list);
  CPPUNIT_TEST(serving_again_ends_leaving);
  CPPUNIT_TEST(a_restarted_node_is_accepted_with_any_sequence);
  CPPUNIT_TEST(late_rumors_of_an_earlier_run_change_nothing);
  CPPUNIT_TEST(a_new_node_is_known_before_the_list_shows_it);
  CPPUNIT_TEST(peers_report_what_a_newer_list_shows);
  CPPUNIT_TEST(failed_links_pause_longer_each_time_up_to_a_cap);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_older_list_never_replaces_a_newer_one() {
    merge_vm_list(this->table, list_of(5, {"a", "b"}), start);
    merge_vm_list(this->table, list_of(4, {"a"}), start);

    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->table.rows.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->table.list_regressions);
  }

  void a_leaving_announcement_overrides_a_lagging_list() {
    merge_vm_list(this->table, list_of(1, {"a"}), start);
    merge_node_rumor(this->table, rumor_about(rumor_kind::node_leaving, "a", first_run + 2), start);
    merge_vm_list(this->table, list_of(2, {"a"}), start + seconds{5});
    CPPUNIT_ASSERT(is_leaving(this->table, "a"));

    merge_vm_list(this->table, list_of(3, {"a"}),
                  start + leaving_announcement_lifetime + seconds{1});
    CPPUNIT_ASSERT(!is_leaving(this->table, "a"));
  }

  void serving_again_ends_leaving() {
    merge_vm_list(this->table, list_of(1, {"a"}), start);
    merge_node_rumor(this->table, rumor_about(rumor_kind::node_leaving, "a", first_run + 2), start);
    merge_node_rumor(this->table, rumor_about(rumor_kind::node_serving, "a", first_run + 1), start);
    CPPUNIT_ASSERT(is_leaving(this->table, "a"));

    merge_node_rumor(this->table, rumor_about(rumor_kind::node_serving, "a", first_run + 3), start);
    CPPUNIT_ASSERT(!is_leaving(this->table, "a"));
  }

  void a_restarted_node_is_accepted_with_any_sequence() {
    merge_node_rumor(this->table, rumor_about(rumor_kind::node_serving, "a", first_run + 1), start);
    merge_node_rumor(this->table, rumor_about(rumor_kind::node_leaving, "a", second_run + 1),
                     start + seconds{9});

    CPPUNIT_ASSERT(second_run < first_run);
    CPPUNIT_ASSERT(is_leaving(this->table, "a"));
  }

  void late_rumors_of_an_earlier_run_change_nothing() {
    merge_node_rumor(this->table, rumor_about(rumor_kind::node_serving, "a", second_run + 1),
                     start);
    merge_node_rumor(this->table,
                     rumor_about(rumor_kind::node_leaving, "a", first_run + 9, seconds{4}),
                     start + seconds{1});

    CPPUNIT_ASSERT(!is_leaving(this->table, "a"));
  }

  void a_new_node_is_known_before_the_list_shows_it() {
    merge_vm_list(this->table, list_of(1, {"a"}), start);
    merge_node_rumor(this->table, rumor_about(rumor_kind::node_serving, "b", first_run + 1), start);
    merge_vm_list(this->table, list_of(2, {"a"}), start + seconds{3});
    CPPUNIT_ASSERT(!is_leaving(this->table, "b"));

    merge_vm_list(this->table, list_of(3, {"a", "b"}), start + seconds{6});
    merge_vm_list(this->table, list_of(4, {"a"}), start + seconds{9});
    CPPUNIT_ASSERT(find_member(this->table, node_id{"b"}) == nullptr);
  }

  void peers_report_what_a_newer_list_shows() {
    merge_vm_list(this->table, list_of(4, {"a", "b"}), start);
    rumor update = rumor_about(rumor_kind::node_leaving, "a", 6);
    update.origin.value = list_origin;
    merge_node_rumor(this->table, update, start);
    update.subject = "b";
    update.sequence = 4;
    merge_node_rumor(this->table, update, start);

    CPPUNIT_ASSERT(is_leaving(this->table, "a"));
    CPPUNIT_ASSERT(!is_leaving(this->table, "b"));
  }

  void failed_links_pause_longer_each_time_up_to_a_cap() {
    seeded_random random(1);
    merge_vm_list(this->table, list_of(1, {"a"}), start);
    const member* row = find_member(this->table, node_id{"a"});
    mark_link_failed(this->table, node_id{"a"}, random, start);
    CPPUNIT_ASSERT(row->avoid_until <= start + first_link_pause);
    for (int failure = 0; failure < 40; ++failure) {
      mark_link_failed(this->table, node_id{"a"}, random, start);
    }
    CPPUNIT_ASSERT(row->avoid_until > start + longest_link_pause / 3);
    CPPUNIT_ASSERT(row->avoid_until <= start + longest_link_pause);

    mark_link_recovered(this->table, node_id{"a"});
    CPPUNIT_ASSERT(row->avoid_until <= start);
  }

 private:
  member_table table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_table_test);

}  // namespace chestnuthead
