#include "Gateway/peer_message.h"

#include <map>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/endpoint_health.h"
#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

class peer_message_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_message_test);
  CPPUNIT_TEST(an_endpoint_lost_by_a_peer_is_checked);
  CPPUNIT_TEST(an_isolated_gateway_causes_one_check_per_endpoint);
  CPPUNIT_TEST(a_loss_is_reported_until_a_check_succeeds);
  CPPUNIT_TEST(loss_reports_of_peers_are_not_forwarded);
  CPPUNIT_TEST(few_gateways_check_after_one_loss_report);
  CPPUNIT_TEST(all_gateways_check_after_two_loss_reports);
  CPPUNIT_TEST(new_part_reports_are_urgent);
  CPPUNIT_TEST(part_that_a_peer_refuses_is_refused);
  CPPUNIT_TEST(a_newcomer_receives_the_latest_placements);
  CPPUNIT_TEST(few_gateways_send_placements_to_a_newcomer);
  CPPUNIT_TEST(gateways_started_together_send_no_placements);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_endpoint_lost_by_a_peer_is_checked() {
    gateway_state state = test_state(2);
    endpoint& row = state.endpoints.rows.begin()->second;
    peer_message message = message_from("a", 1);
    message.unreachable = {row.hash};
    CPPUNIT_ASSERT(apply_peer_message(state, message, test_start));
    CPPUNIT_ASSERT(check_due(row, test_start));
    CPPUNIT_ASSERT(!check_due(state.endpoints.rows.rbegin()->second, test_start));
    CPPUNIT_ASSERT(!apply_peer_message(state, message, test_start));
  }

  /// One gateway can't reach any of 24 endpoints for 20 s and repeats its health checks, which
  /// time out after a second each. Another gateway, which reaches them all, receives its loss
  /// reports five times per second and must check each endpoint only once.
  void an_isolated_gateway_causes_one_check_per_endpoint() {
    gateway_state cut = test_state(24);
    gateway_state sound = test_state(24);
    for (auto& [name, row] : cut.endpoints.rows) {
      note_result(row, attempt_result::unreachable, 0.0, test_start);
    }
    std::map<endpoint_id, steady_time> asked;
    int checks = 0;
    std::uint64_t sequence = 0;
    for (milliseconds at{0}; at < seconds{20}; at += milliseconds{200}) {
      const steady_time now = test_start + at;
      for (auto& [name, row] : cut.endpoints.rows) {
        if (!check_due(row, now)) {
          continue;
        }
        const steady_time since = asked.try_emplace(name, now).first->second;
        if (now - since >= seconds{1}) {
          note_unhealthy(row, now);
          asked.erase(name);
        }
      }
      peer_message message = own_peer_message(cut.endpoints, now);
      message.sender = {"cut"};
      message.sequence = ++sequence;
      apply_peer_message(sound, message, now);
      for (auto& [name, row] : sound.endpoints.rows) {
        if (check_due(row, now)) {
          ++checks;
          note_healthy(row, now);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(24, checks);
  }

  void a_loss_is_reported_until_a_check_succeeds() {
    gateway_state state = test_state(1);
    endpoint& row = state.endpoints.rows.begin()->second;
    note_result(row, attempt_result::unreachable, 0.0, test_start);
    // A check is due, but has not been answered yet.
    CPPUNIT_ASSERT(check_due(row, test_start + min_ejection_time));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         own_peer_message(state.endpoints, test_start).unreachable.size());
    note_healthy(row, test_start + min_ejection_time);
    CPPUNIT_ASSERT(own_peer_message(state.endpoints, test_start).unreachable.empty());
  }

  void loss_reports_of_peers_are_not_forwarded() {
    gateway_state state = test_state(1);
    note_loss_report(state.endpoints.rows.begin()->second, test_start);
    CPPUNIT_ASSERT(own_peer_message(state.endpoints, test_start).unreachable.empty());
  }

  /// Without the limit, each of 68 gateways checks the endpoint: in a large fleet, one stream
  /// without data caused 68 checks.
  void few_gateways_check_after_one_loss_report() {
    int checks = 0;
    for (int gateway = 1; gateway < 68; ++gateway) {
      gateway_state state = fleet_state(gateway, 68);
      receive_loss_report(state, 0, 2, test_start);
      checks += check_due(state.endpoints.rows.begin()->second, test_start) ? 1 : 0;
    }
    CPPUNIT_ASSERT(checks >= 3 && checks <= 4);
  }

  void all_gateways_check_after_two_loss_reports() {
    for (int gateway = 2; gateway < 68; ++gateway) {
      gateway_state state = fleet_state(gateway, 68);
      receive_loss_report(state, 0, 2, test_start);
      receive_loss_report(state, 1, 2, test_start + seconds{1});
      CPPUNIT_ASSERT(check_due(state.endpoints.rows.begin()->second, test_start + seconds{1}));
    }
    // Two losses far apart in time don't confirm each other.
    int checking = 0;
    for (int gateway = 2; gateway < 68; ++gateway) {
      gateway_state state = fleet_state(gateway, 68);
      receive_loss_report(state, 0, 2, test_start);
      endpoint& row = state.endpoints.rows.begin()->second;
      row.record.needs_check = false;
      receive_from_fleet(state, 68, 3, test_start + loss_report_lifetime);
      receive_loss_report(state, 1, 4, test_start + loss_report_lifetime);
      checking += check_due(row, test_start + loss_report_lifetime) ? 1 : 0;
    }
    CPPUNIT_ASSERT(checking <= 4);
  }

  void new_part_reports_are_urgent() {
    peer_message before;
    before.parts = {{{1, 2, 0, milliseconds{0}}}, {{3, milliseconds{0}}}, {4}};
    peer_message message = before;
    message.parts.crashes[0].age = milliseconds{200};
    message.parts.cleared[0].age = milliseconds{200};
    CPPUNIT_ASSERT(!is_urgent(message, before));
    message.parts.crashes.push_back({1, 5, 0, milliseconds{0}});
    CPPUNIT_ASSERT(is_urgent(message, before));
    message = before;
    message.parts.refused.push_back(6);
    CPPUNIT_ASSERT(is_urgent(message, before));
  }

  void part_that_a_peer_refuses_is_refused() {
    gateway_state state = test_state(2);
    const std::uint64_t hash = state.endpoints.rows.begin()->second.hash;
    const caller_request request = chat_request(9);
    peer_message message = message_from("a", 1);
    message.parts = {{{9, hash, 1, milliseconds{0}}, {9, 12'345, 1, milliseconds{0}}}, {}, {9}};
    CPPUNIT_ASSERT(apply_peer_message(state, message, test_start));
    // An endpoint that this gateway does not know is ignored.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.parts.events.size());
    CPPUNIT_ASSERT(refused_part(state.parts, request.prompt, test_start).has_value());
    CPPUNIT_ASSERT(!refused_part(state.parts, chat_request(8).prompt, test_start).has_value());
    const steady_time later = test_start + part_refusal_time;
    CPPUNIT_ASSERT(!refused_part(state.parts, request.prompt, later).has_value());
  }

  void a_newcomer_receives_the_latest_placements() {
    prefix_holders table;
    for (std::uint64_t prefix = 1; prefix <= 10; ++prefix) {
      record_own_placement(table, {prefix, 100 + prefix}, test_start + milliseconds{prefix});
    }
    const auto placements = recent_placements(table, 3);
    CPPUNIT_ASSERT(placements == (std::vector<prefix_placement>{{10, 110}, {9, 109}, {8, 108}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, recent_placements(table, 99).size());
  }

  void few_gateways_send_placements_to_a_newcomer() {
    int greeting = 0;
    for (int gateway = 0; gateway < 29; ++gateway) {
      gateway_state state = test_state(1);
      for (int peer = 0; peer < 29; ++peer) {
        if (peer != gateway) {
          apply_peer_message(state, message_from(name_of(peer), old_start), test_start);
        }
      }
      const peer_message newcomer = message_from("newcomer", new_start);
      apply_peer_message(state, newcomer, test_start);
      greeting +=
          sends_initial_placements(state.peers, {name_of(gateway)}, old_start, newcomer, test_start)
              ? 1
              : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, greeting);
  }

  void gateways_started_together_send_no_placements() {
    gateway_state state = test_state(1);
    apply_peer_message(state, message_from("a", new_start), test_start);
    const peer_message newcomer = message_from("newcomer", new_start + 500);
    CPPUNIT_ASSERT(
        !sends_initial_placements(state.peers, {"self"}, new_start, newcomer, test_start));
    // A gateway that has been running for long sends its placements even if a gateway that
    // started recently precedes it in the rendezvous order.
    CPPUNIT_ASSERT(
        sends_initial_placements(state.peers, {"self"}, old_start, newcomer, test_start));
  }

 private:
  static constexpr std::uint64_t old_start = 1'000'000;
  static constexpr std::uint64_t new_start = 2'000'000;

  static std::string name_of(int number) {
    return "gateway-" + std::to_string(number);
  }

  /// A gateway that has just received a message from each other gateway of a fleet.
  static gateway_state fleet_state(int number, int fleet) {
    gateway_state state = test_state(2);
    state.self = {name_of(number)};
    receive_from_fleet(state, fleet, 1, test_start);
    return state;
  }

  static void receive_from_fleet(gateway_state& state, int fleet, std::uint64_t sequence,
                                 steady_time now) {
    for (int peer = 0; peer < fleet; ++peer) {
      if (name_of(peer) != state.self.value) {
        peer_message message = message_from(name_of(peer), old_start);
        message.sequence = sequence;
        apply_peer_message(state, message, now);
      }
    }
  }

  static void receive_loss_report(gateway_state& state, int peer, std::uint64_t sequence,
                                  steady_time now) {
    peer_message message = message_from(name_of(peer), old_start);
    message.sequence = sequence;
    message.unreachable = {state.endpoints.rows.begin()->second.hash};
    apply_peer_message(state, message, now);
  }

  static peer_message message_from(const std::string& sender, std::uint64_t start) {
    peer_message message;
    message.sender = {sender};
    message.start = start;
    message.sequence = 1;
    return message;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_message_test);

}  // namespace chestnuthead::gateway
