#include "Gossip/control_plane.h"

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

#include "Gossip/control_plane_state.h"
#include "Measure/control_fleet.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

table_reply row_at(std::uint64_t version) {
  configuration_document document = sample_configuration(1, 3);
  document.operation = "op-" + std::to_string(version);
  return table_rows{{table_row{configuration_row_key, version, format_configuration(document)}}};
}

vm_entry entry(const std::string& name) {
  return {node_id{name},  vm_role::agent,  pool_id{"p"}, failure_domain_id{"d"},
          region_id{"r"}, "10.0.0.1:7000", false};
}

}  // namespace

/// Tests of a single control plane, mainly its configuration reads.
class control_plane_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_plane_test);
  CPPUNIT_TEST(only_a_read_since_its_start_confirms_a_node);
  CPPUNIT_TEST(a_late_reply_does_not_lower_the_version);
  CPPUNIT_TEST(a_lost_reply_is_retried);
  CPPUNIT_TEST(a_row_reset_by_hand_is_reported);
  CPPUNIT_TEST(an_invalid_row_does_not_confirm);
  CPPUNIT_TEST(the_first_node_of_a_fleet_soon_reads_again);
  CPPUNIT_TEST(a_newer_version_of_a_peer_is_requested);
  CPPUNIT_TEST(leaving_rumors_of_its_own_earlier_run_are_refuted);
  CPPUNIT_TEST(nodes_taken_out_or_leaving_are_out_of_service);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->plane = make_control_plane(entry("self"), this->random);
  }

  void only_a_read_since_its_start_confirms_a_node() {
    const table_call ask = this->next_configuration_ask();
    gossip_message peer;
    peer.from.value = "a";
    peer.configuration_version = 4;
    configuration_history source;
    adopt_document(source, 4, format_configuration(sample_configuration(1, 3)));
    peer.changes = {whole_change(source)};
    handle_gossip(*this->plane, peer, this->now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, this->version());
    CPPUNIT_ASSERT(!configuration_confirmed(*this->plane));

    handle_table_reply(*this->plane, ask.ticket, row_at(4), this->now);
    CPPUNIT_ASSERT(configuration_confirmed(*this->plane));
  }

  void a_late_reply_does_not_lower_the_version() {
    const table_call first = this->next_configuration_ask();
    this->now += read_timeout + seconds{1};
    const table_call second = this->next_configuration_ask();
    handle_table_reply(*this->plane, second.ticket, row_at(7), this->now);
    const control_output output =
        handle_table_reply(*this->plane, first.ticket, row_at(6), this->now);

    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, this->version());
    CPPUNIT_ASSERT(output.broken.empty());
  }

  void a_lost_reply_is_retried() {
    const table_call first = this->next_configuration_ask();
    handle_table_reply(*this->plane, first.ticket, table_failure::no_answer, this->now);
    CPPUNIT_ASSERT(!configuration_confirmed(*this->plane));
    const table_call second = this->next_configuration_ask();
    CPPUNIT_ASSERT(first.ticket != second.ticket);
    CPPUNIT_ASSERT((second.ticket & control_ticket_bit) != 0);
  }

  void a_row_reset_by_hand_is_reported() {
    handle_table_reply(*this->plane, this->next_configuration_ask().ticket, row_at(7), this->now);
    const control_output output = handle_table_reply(
        *this->plane, this->next_configuration_ask().ticket, row_at(2), this->now);

    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, this->version());
    CPPUNIT_ASSERT_EQUAL(std::string("table_behind_node"), output.broken.at(0).name);
  }

  void an_invalid_row_does_not_confirm() {
    const table_rows rows{{table_row{configuration_row_key, 1, "{}}"}}};
    handle_table_reply(*this->plane, this->next_configuration_ask().ticket, rows, this->now);
    CPPUNIT_ASSERT(!configuration_confirmed(*this->plane));
    handle_table_reply(*this->plane, this->next_configuration_ask().ticket,
                       table_rows{{std::nullopt}}, this->now);
    CPPUNIT_ASSERT(!configuration_confirmed(*this->plane));
  }

  void the_first_node_of_a_fleet_soon_reads_again() {
    int list_reads = 0;
    int configuration_reads = 0;
    for (int tick = 0; tick < 200; ++tick) {
      this->now += milliseconds{50};
      const control_output output = control_tick(*this->plane, this->now);
      if (output.read_vm_list) {
        ++list_reads;
        handle_vm_list(*this->plane, vm_snapshot{}, this->now);
      }
      for (const table_call& ask : output.table_calls) {
        ++configuration_reads;
        handle_table_reply(*this->plane, ask.ticket, table_rows{{std::nullopt}}, this->now);
      }
    }
    CPPUNIT_ASSERT(list_reads >= 5);
    CPPUNIT_ASSERT(configuration_reads >= 5);
  }

  void a_newer_version_of_a_peer_is_requested() {
    handle_vm_list(*this->plane, vm_snapshot{1, {entry("a"), entry("b")}}, this->now);
    handle_table_reply(*this->plane, this->next_configuration_ask().ticket, row_at(7), this->now);
    control_tick(*this->plane, this->now);
    note_peer_version(*this->plane, node_id{"b"}, 9);

    const control_output output = control_tick(*this->plane, this->now);
    bool asked = false;
    for (const outgoing_gossip& gossip : output.messages) {
      asked = asked || (gossip.to.value == "b" && gossip.message.wants_reply);
    }
    CPPUNIT_ASSERT(asked);
  }

  void leaving_rumors_of_its_own_earlier_run_are_refuted() {
    gossip_message peer;
    peer.from.value = "a";
    peer.rumors = {{rumor_kind::node_leaving, node_id{"self"}, 5, "self", "", milliseconds{0}}};
    handle_gossip(*this->plane, peer, this->now);

    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->plane->rumors.rumors.size());
    peer.rumors[0].sequence = 6;
    handle_gossip(*this->plane, peer, this->now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->plane->rumors.rumors.size());
  }

  void nodes_taken_out_or_leaving_are_out_of_service() {
    configuration_document document;
    document.endpoints_out = {endpoint_id{"a"}};
    document.failure_domains_out = {failure_domain_id{"d"}};
    const failure_domain_id other{"other"};
    CPPUNIT_ASSERT(is_taken_out(document, endpoint_id{"a"}, other));
    CPPUNIT_ASSERT(is_taken_out(document, endpoint_id{"b"}, failure_domain_id{"d"}));
    CPPUNIT_ASSERT(!is_taken_out(document, endpoint_id{"b"}, other));

    member node{entry("b"), false, false, steady_time{}};
    CPPUNIT_ASSERT(!is_out_of_service(*this->plane, node));
    node.leaving = true;
    CPPUNIT_ASSERT(is_out_of_service(*this->plane, node));
  }

 private:
  /// Runs ticks until the configuration is read; reads of the VM list fail.
  table_call next_configuration_ask() {
    constexpr int longest_wait = 10'000;
    for (int tick = 0; tick < longest_wait; ++tick) {
      this->now += milliseconds{50};
      const control_output output = control_tick(*this->plane, this->now);
      if (output.read_vm_list) {
        handle_vm_list(*this->plane, vm_list_failure::unavailable, this->now);
      }
      if (!output.table_calls.empty()) {
        return output.table_calls.front();
      }
    }
    CPPUNIT_FAIL("no read of the configuration");
    return {};
  }

  std::uint64_t version() {
    return current_configuration(*this->plane).version;
  }

  seeded_random random{5};
  steady_time now{std::chrono::hours{1}};
  control_plane_ptr plane;
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_plane_test);

}  // namespace chestnuthead
