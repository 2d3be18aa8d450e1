#include "Gateway/peer_news.h"

#include <map>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/endpoint_health.h"
#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

class peer_news_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_news_test);
  CPPUNIT_TEST(an_endpoint_that_a_peer_lost_is_checked);
  CPPUNIT_TEST(a_gateway_that_is_cut_off_costs_each_other_one_check);
  CPPUNIT_TEST(a_gateway_names_what_it_lost_until_a_check_is_answered);
  CPPUNIT_TEST(doubts_of_others_are_not_passed_on);
  CPPUNIT_TEST(few_gateways_check_what_one_has_lost);
  CPPUNIT_TEST(all_doubt_what_two_have_lost);
  CPPUNIT_TEST(a_newcomer_is_told_the_latest_placements);
  CPPUNIT_TEST(few_gateways_greet_a_newcomer);
  CPPUNIT_TEST(gateways_that_started_together_do_not_greet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_endpoint_that_a_peer_lost_is_checked() {
    gateway_state state = test_state(2);
    endpoint& row = state.endpoints.rows.begin()->second;
    peer_word word = word_from("a", 1);
    word.unreachable = {row.hash};
    CPPUNIT_ASSERT(take_word(state, word, test_start));
    CPPUNIT_ASSERT(check_due(row, test_start));
    CPPUNIT_ASSERT(!check_due(state.endpoints.rows.rbegin()->second, test_start));
    CPPUNIT_ASSERT(!take_word(state, word, test_start));
  }

  /// A gateway loses its way to all 24 endpoints for 20 s and checks them again and
  /// again, each time for a second. Another gateway, which reaches them all, hears
  /// of it five times a second.
  void a_gateway_that_is_cut_off_costs_each_other_one_check() {
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
      peer_word word = own_word(cut.endpoints, now);
      word.sender = {"cut"};
      word.sequence = ++sequence;
      take_word(sound, word, now);
      for (auto& [name, row] : sound.endpoints.rows) {
        if (check_due(row, now)) {
          ++checks;
          note_healthy(row, now);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(24, checks);
  }

  void a_gateway_names_what_it_lost_until_a_check_is_answered() {
    gateway_state state = test_state(1);
    endpoint& row = state.endpoints.rows.begin()->second;
    note_result(row, attempt_result::unreachable, 0.0, test_start);
    // Due for a check, which has not been answered yet.
    CPPUNIT_ASSERT(check_due(row, test_start + shortest_set_aside));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, own_word(state.endpoints, test_start).unreachable.size());
    note_healthy(row, test_start + shortest_set_aside);
    CPPUNIT_ASSERT(own_word(state.endpoints, test_start).unreachable.empty());
  }

  void doubts_of_others_are_not_passed_on() {
    gateway_state state = test_state(1);
    note_doubt(state.endpoints.rows.begin()->second, test_start);
    CPPUNIT_ASSERT(own_word(state.endpoints, test_start).unreachable.empty());
  }

  /// Each of 68 gateways would check it else; on a day of the large site one silent
  /// stream cost 68 checks.
  void few_gateways_check_what_one_has_lost() {
    int checks = 0;
    for (int gateway = 1; gateway < 68; ++gateway) {
      gateway_state state = fleet_state(gateway, 68);
      hear_loss(state, 0, 2, test_start);
      checks += check_due(state.endpoints.rows.begin()->second, test_start) ? 1 : 0;
    }
    CPPUNIT_ASSERT(checks >= 3 && checks <= 4);
  }

  void all_doubt_what_two_have_lost() {
    for (int gateway = 2; gateway < 68; ++gateway) {
      gateway_state state = fleet_state(gateway, 68);
      hear_loss(state, 0, 2, test_start);
      hear_loss(state, 1, 2, test_start + seconds{1});
      CPPUNIT_ASSERT(check_due(state.endpoints.rows.begin()->second, test_start + seconds{1}));
    }
    // Two losses that lie apart are none of the endpoint's.
    int doubted = 0;
    for (int gateway = 2; gateway < 68; ++gateway) {
      gateway_state state = fleet_state(gateway, 68);
      hear_loss(state, 0, 2, test_start);
      endpoint& row = state.endpoints.rows.begin()->second;
      row.record.needs_check = false;
      hear_fleet(state, 68, 3, test_start + report_life);
      hear_loss(state, 1, 4, test_start + report_life);
      doubted += check_due(row, test_start + report_life) ? 1 : 0;
    }
    CPPUNIT_ASSERT(doubted <= 4);
  }

  void a_newcomer_is_told_the_latest_placements() {
    prefix_holders table;
    for (std::uint64_t prefix = 1; prefix <= 10; ++prefix) {
      note_placement(table, {prefix, 100 + prefix}, test_start + milliseconds{prefix});
    }
    const auto words = recent_placements(table, 3);
    CPPUNIT_ASSERT(words == (std::vector<prefix_word>{{10, 110}, {9, 109}, {8, 108}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, recent_placements(table, 99).size());
  }

  void few_gateways_greet_a_newcomer() {
    int greeting = 0;
    for (int gateway = 0; gateway < 29; ++gateway) {
      gateway_state state = test_state(1);
      for (int peer = 0; peer < 29; ++peer) {
        if (peer != gateway) {
          take_word(state, word_from(name_of(peer), old_start), test_start);
        }
      }
      const peer_word newcomer = word_from("newcomer", new_start);
      take_word(state, newcomer, test_start);
      greeting += greets(state.peers, {name_of(gateway)}, old_start, newcomer, test_start) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, greeting);
  }

  void gateways_that_started_together_do_not_greet() {
    gateway_state state = test_state(1);
    take_word(state, word_from("a", new_start), test_start);
    const peer_word newcomer = word_from("newcomer", new_start + 500);
    CPPUNIT_ASSERT(!greets(state.peers, {"self"}, new_start, newcomer, test_start));
    // Of the two that may, the one that has run for long greets whatever the
    // other's place would be.
    CPPUNIT_ASSERT(greets(state.peers, {"self"}, old_start, newcomer, test_start));
  }

 private:
  static constexpr std::uint64_t old_start = 1'000'000;
  static constexpr std::uint64_t new_start = 2'000'000;

  static std::string name_of(int number) {
    return "gateway-" + std::to_string(number);
  }

  /// A gateway that has just heard all of a fleet.
  static gateway_state fleet_state(int number, int fleet) {
    gateway_state state = test_state(2);
    state.self = {name_of(number)};
    hear_fleet(state, fleet, 1, test_start);
    return state;
  }

  static void hear_fleet(gateway_state& state, int fleet, std::uint64_t sequence, steady_time now) {
    for (int peer = 0; peer < fleet; ++peer) {
      if (name_of(peer) != state.self.value) {
        peer_word word = word_from(name_of(peer), old_start);
        word.sequence = sequence;
        take_word(state, word, now);
      }
    }
  }

  static void hear_loss(gateway_state& state, int peer, std::uint64_t sequence, steady_time now) {
    peer_word word = word_from(name_of(peer), old_start);
    word.sequence = sequence;
    word.unreachable = {state.endpoints.rows.begin()->second.hash};
    take_word(state, word, now);
  }

  static peer_word word_from(const std::string& sender, std::uint64_t start) {
    peer_word word;
    word.sender = {sender};
    word.start = start;
    word.sequence = 1;
    return word;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_news_test);

}  // namespace chestnuthead::gateway
