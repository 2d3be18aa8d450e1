#include "Gateway/prefix_holders.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/endpoint_health.h"
#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

class prefix_holders_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_holders_test);
  CPPUNIT_TEST(a_chat_stays_where_its_prefix_is_when_endpoints_are_added);
  CPPUNIT_TEST(a_peers_placement_is_used);
  CPPUNIT_TEST(an_overloaded_holder_is_skipped);
  CPPUNIT_TEST(a_prefix_is_copied_from_the_most_recent_holder);
  CPPUNIT_TEST(a_leaving_holder_is_still_a_source);
  CPPUNIT_TEST(a_holder_copies_nothing);
  CPPUNIT_TEST(an_empty_endpoint_copies_the_longest_prefix_held);
  CPPUNIT_TEST(shorter_prefixes_are_sent_at_intervals);
  CPPUNIT_TEST(unused_placements_expire);
  CPPUNIT_TEST(a_restarted_endpoint_holds_nothing);
  CPPUNIT_TEST(the_table_is_bounded);
  CPPUNIT_TEST(uses_give_a_decaying_rate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void uses_give_a_decaying_rate() {
    prefix_holders table;
    steady_time now = test_start;
    for (int use = 0; use < 200; ++use) {
      now += std::chrono::milliseconds{100};
      record_placement(table, {7, static_cast<std::uint64_t>(use % 3)}, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, use_rate(table, 7, now), 0.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, use_rate(table, 7, now + use_half_life), 0.3);
    CPPUNIT_ASSERT_EQUAL(0.0, use_rate(table, 8, now));
  }

  void a_chat_stays_where_its_prefix_is_when_endpoints_are_added() {
    gateway_state state = test_state(4);
    std::map<std::uint64_t, endpoint_id> homes;
    for (std::uint64_t chat = 0; chat < 200; ++chat) {
      homes[chat] = place(state, chat).listing.name;
    }
    for (const char* added : {"new-1", "new-2", "new-3"}) {
      list_endpoint(state.endpoints, listing_of(added, engine_pool), test_start);
    }
    for (const auto& [chat, home] : homes) {
      CPPUNIT_ASSERT(place(state, chat).listing.name == home);
    }
  }

  void a_peers_placement_is_used() {
    gateway_state one = test_state(6);
    gateway_state other = test_state(6);
    // The first endpoint in rendezvous order was out of service at the chat's first request.
    endpoint& first_choice = place(one, 5);
    first_choice.listing.leaving = true;
    one.holders = {};
    const endpoint_id home = place(one, 5).listing.name;
    CPPUNIT_ASSERT(home != first_choice.listing.name);
    for (const prefix_placement& placement : one.holders.unsent_placements) {
      record_placement(other.holders, placement, test_start);
    }
    CPPUNIT_ASSERT(place(other, 5).listing.name == home);
  }

  void an_overloaded_holder_is_skipped() {
    gateway_state state = test_state(4);
    endpoint& home = place(state, 5);
    home.in_flight = 40;
    CPPUNIT_ASSERT(place(state, 5).listing.name != home.listing.name);
  }

  void a_prefix_is_copied_from_the_most_recent_holder() {
    gateway_state state = test_state(3);
    const std::vector<endpoint*> all = endpoints_of(state.endpoints, engine_pool);
    record_own_placement(state.holders, {9, all[0]->hash}, test_start);
    record_own_placement(state.holders, {9, all[1]->hash}, test_start + std::chrono::seconds{1});
    const auto now = test_start + std::chrono::seconds{2};
    placement_hints hints;
    hints.holders = holders_of(state.holders, 9, now);
    CPPUNIT_ASSERT(prefix_source(all, *all[2], hints, now) == all[1]);
    note_result(*all[1], attempt_result::unreachable, 0.0, now);
    CPPUNIT_ASSERT(prefix_source(all, *all[2], hints, now) == all[0]);
    all[0]->listed = false;
    CPPUNIT_ASSERT(prefix_source(all, *all[2], hints, now) == nullptr);
  }

  void a_leaving_holder_is_still_a_source() {
    gateway_state state = test_state(2);
    const std::vector<endpoint*> all = endpoints_of(state.endpoints, engine_pool);
    all[0]->listing.leaving = true;
    placement_hints hints;
    hints.holders = {all[0]->hash};
    CPPUNIT_ASSERT(prefix_source(all, *all[1], hints, test_start) == all[0]);
  }

  void a_holder_copies_nothing() {
    gateway_state state = test_state(2);
    const std::vector<endpoint*> all = endpoints_of(state.endpoints, engine_pool);
    placement_hints hints;
    hints.holders = {all[0]->hash, all[1]->hash};
    CPPUNIT_ASSERT(prefix_source(all, *all[1], hints, test_start) == nullptr);
  }

  /// A new endpoint gets the first request of a chat that no endpoint holds. The prefix that all
  /// chats share must be copied and not processed again.
  void an_empty_endpoint_copies_the_longest_prefix_held() {
    gateway_state state = test_state(3);
    const std::vector<endpoint*> all = endpoints_of(state.endpoints, engine_pool);
    caller_request request = chat_request(5);
    request.prompt.insert(request.prompt.begin() + 1, {77, 300});
    const std::vector<std::uint64_t> shorter = shorter_prefixes(request);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shorter.size());
    caller_request other = chat_request(6);
    CPPUNIT_ASSERT(shorter_prefixes(other) == std::vector<std::uint64_t>{shorter[1]});
    CPPUNIT_ASSERT(affinity_of(request) != shorter[0]);

    placement_hints hints;
    hints.shorter_holders = {{}, {all[0]->hash}};
    CPPUNIT_ASSERT(prefix_source(all, *all[2], hints, test_start) == all[0]);
    hints.shorter_holders = {{all[1]->hash}, {all[0]->hash}};
    CPPUNIT_ASSERT(prefix_source(all, *all[2], hints, test_start) == all[1]);
    // The chosen endpoint holds as much as any other.
    hints.shorter_holders = {{}, {all[0]->hash, all[2]->hash}};
    CPPUNIT_ASSERT(prefix_source(all, *all[2], hints, test_start) == nullptr);
  }

  void shorter_prefixes_are_sent_at_intervals() {
    prefix_holders table;
    for (int request = 0; request < 100; ++request) {
      record_own_shorter_prefix(table, {1, 2},
                                test_start + request * std::chrono::milliseconds{100});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.unsent_shorter_placements.size());
    record_own_shorter_prefix(table, {1, 3}, test_start);
    record_own_shorter_prefix(table, {1, 2}, test_start + holder_lifetime / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.unsent_shorter_placements.size());
    CPPUNIT_ASSERT(table.unsent_placements.empty());
  }

  void unused_placements_expire() {
    prefix_holders table;
    record_own_placement(table, {1, 2}, test_start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holders_of(table, 1, test_start).size());
    CPPUNIT_ASSERT(holders_of(table, 1, test_start + holder_lifetime).empty());
    drop_unused(table, test_start + holder_lifetime);
    CPPUNIT_ASSERT(table.rows.empty());
  }

  void a_restarted_endpoint_holds_nothing() {
    prefix_holders table;
    record_own_placement(table, {1, 2}, test_start);
    record_own_placement(table, {1, 3}, test_start);
    drop_holder(table, 2);
    CPPUNIT_ASSERT(holders_of(table, 1, test_start) == std::vector<std::uint64_t>{3});
  }

  void the_table_is_bounded() {
    prefix_holders table;
    for (std::uint64_t prefix = 0; prefix < 2 * max_prefixes; ++prefix) {
      record_own_placement(table, {prefix, 1}, test_start);
    }
    CPPUNIT_ASSERT_EQUAL(max_prefixes, table.rows.size());
    CPPUNIT_ASSERT_EQUAL(max_unsent, table.unsent_placements.size());
  }

 private:
  /// Places one request of the chat and records the placement.
  static endpoint& place(gateway_state& state, std::uint64_t chat) {
    seeded_random random(1);
    const caller_request request = chat_request(chat);
    const std::uint64_t prefix = affinity_of(request);
    placement_hints hints;
    hints.holders = holders_of(state.holders, prefix, test_start);
    const auto choice =
        choose_endpoint(endpoints_of(state.endpoints, engine_pool), engine_pool_settings(), request,
                        hints, state.fleet, random, test_start);
    endpoint& row = *std::get<placement>(choice).row;
    record_own_placement(state.holders, {prefix, row.hash}, test_start);
    return row;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_holders_test);

}  // namespace chestnuthead::gateway
