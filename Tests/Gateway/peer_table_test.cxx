#include "Gateway/peer_table.h"

#include <algorithm>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/crash_suspects.h"
#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::seconds;

namespace {

/// One gateway's table of peers that are known only by their entries in the store, which they
/// renew in turn.
struct renewed_list {
  explicit renewed_list(std::uint32_t fleet) : gateways(fleet), fewest(fleet) {
    const auto interval = entry_renewal_interval(fleet);
    for (std::uint32_t peer = 1; peer < fleet; ++peer) {
      this->renewed_at.push_back(this->now + peer * interval / fleet);
      list_peer(this->table, {"g" + std::to_string(peer)}, "10.0.0.1:9", this->now);
    }
  }

  /// The list is read every 4 s if the store answers; writes fail otherwise.
  void run(seconds length, bool store_answers) {
    const steady_time end = this->now + length;
    for (; this->now < end; this->now += seconds{1}) {
      const bool reads = store_answers && (this->now - test_start) % seconds{4} == seconds{0};
      for (std::size_t peer = 0; reads && peer < this->renewed_at.size(); ++peer) {
        steady_time& next = this->renewed_at[peer];
        if (this->now >= next) {
          next = std::max(next + entry_renewal_interval(this->gateways), this->now);
          list_peer(this->table, {"g" + std::to_string(peer + 1)}, "10.0.0.1:9", this->now);
        }
      }
      if (reads) {
        note_list_confirmed(this->table, this->now);
      }
      this->fewest = std::min(this->fewest, count_gateways(this->table, this->now));
    }
  }

  std::uint32_t gateways;
  std::uint32_t fewest;
  peer_table table;
  steady_time now = test_start;
  std::vector<steady_time> renewed_at;
};

}  // namespace

class peer_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_table_test);
  CPPUNIT_TEST(a_gateway_both_listed_and_heard_counts_once);
  CPPUNIT_TEST(a_silent_gateway_counts_until_it_expires);
  CPPUNIT_TEST(gateways_that_are_listed_but_not_heard_are_counted);
  CPPUNIT_TEST(gateways_are_counted_while_the_store_is_away);
  CPPUNIT_TEST(a_gateway_that_does_not_renew_its_entry_is_not_counted);
  CPPUNIT_TEST(a_leaving_gateway_counts_while_it_is_listed);
  CPPUNIT_TEST(old_messages_are_dropped);
  CPPUNIT_TEST(loads_of_all_peers_are_summed);
  CPPUNIT_TEST(expired_loads_do_not_count);
  CPPUNIT_TEST(the_message_rate_does_not_grow_with_the_fleet);
  CPPUNIT_TEST(new_losses_and_crashes_are_urgent);
  CPPUNIT_TEST(a_request_is_refused_at_its_third_crash);
  CPPUNIT_TEST(suspicions_expire);
  CPPUNIT_TEST(a_fingerprint_ignores_the_request_id);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_gateway_both_listed_and_heard_counts_once() {
    peer_table table;
    list_peer(table, {"a"}, "10.0.0.1:9", test_start);
    record_peer_message(table, word_from("a", 1, 1), test_start);
    record_peer_message(table, word_from("b", 1, 1), test_start);
    CPPUNIT_ASSERT_EQUAL(3U, count_gateways(table, test_start));
  }

  void a_silent_gateway_counts_until_it_expires() {
    peer_table table;
    list_peer(table, {"a"}, "10.0.0.1:9", test_start);
    CPPUNIT_ASSERT_EQUAL(2U, count_gateways(table, test_start + peer_lifetime - seconds{1}));
    CPPUNIT_ASSERT_EQUAL(1U, count_gateways(table, test_start + peer_lifetime));
  }

  /// Guards against limits that grow because messages between the gateways do not arrive.
  void gateways_that_are_listed_but_not_heard_are_counted() {
    for (const std::uint32_t gateways : {3U, 68U, 128U, 350U}) {
      renewed_list list(gateways);
      list.run(seconds{300}, true);
      CPPUNIT_ASSERT_EQUAL(gateways, list.fewest);
    }
  }

  /// Guards against limits that grow because no gateway can renew its entry.
  void gateways_are_counted_while_the_store_is_away() {
    for (const std::uint32_t gateways : {3U, 68U, 350U}) {
      renewed_list list(gateways);
      list.run(seconds{100}, true);
      list.run(seconds{100}, false);
      list.run(seconds{100}, true);
      CPPUNIT_ASSERT_EQUAL(gateways, list.fewest);
    }
  }

  void a_gateway_that_does_not_renew_its_entry_is_not_counted() {
    renewed_list list(3);
    list.run(seconds{30}, true);
    list_peer(list.table, {"lost"}, "10.0.0.1:9", list.now);
    list.run(seconds{30}, true);
    CPPUNIT_ASSERT_EQUAL(3U, count_gateways(list.table, list.now));
  }

  void a_leaving_gateway_counts_while_it_is_listed() {
    peer_table table;
    list_peer(table, {"a"}, "10.0.0.1:9", test_start);
    peer_message message = word_from("a", 1, 1);
    message.leaving = true;
    record_peer_message(table, message, test_start);
    CPPUNIT_ASSERT_EQUAL(2U, count_gateways(table, test_start));
    unlist_peer(table, {"a"});
    CPPUNIT_ASSERT_EQUAL(1U, count_gateways(table, test_start));
  }

  void old_messages_are_dropped() {
    peer_table table;
    CPPUNIT_ASSERT(record_peer_message(table, word_from("a", 1, 5), test_start));
    CPPUNIT_ASSERT(!record_peer_message(table, word_from("a", 1, 4), test_start));
    CPPUNIT_ASSERT(record_peer_message(table, word_from("a", 2, 1), test_start));
    CPPUNIT_ASSERT(!record_peer_message(table, word_from("a", 1, 6), test_start));
  }

  void loads_of_all_peers_are_summed() {
    gateway_state state = test_state(2);
    endpoint& row = state.endpoints.rows.begin()->second;
    row.in_flight = 1;
    receive_loads(state, "a", {{row.hash, 4}}, test_start);
    receive_loads(state, "b", {{row.hash, 2}, {12'345, 9}}, test_start);
    apply_peer_loads(state.peers, state.endpoints, test_start);
    CPPUNIT_ASSERT_EQUAL(7.0, load_of(row));
    CPPUNIT_ASSERT_EQUAL(0.0, load_of(state.endpoints.rows.rbegin()->second));
  }

  void expired_loads_do_not_count() {
    gateway_state state = test_state(1);
    endpoint& row = state.endpoints.rows.begin()->second;
    receive_loads(state, "a", {{row.hash, 4}}, test_start);
    apply_peer_loads(state.peers, state.endpoints, test_start + peer_message_lifetime(state.peers));
    CPPUNIT_ASSERT_EQUAL(0.0, load_of(row));
  }

  void the_message_rate_does_not_grow_with_the_fleet() {
    for (std::uint32_t gateways = 1; gateways <= 1'000; ++gateways) {
      const std::chrono::duration<double> interval = peer_message_interval(gateways);
      CPPUNIT_ASSERT(gateways / interval.count() <= 67.0);
    }
    peer_table table;
    for (int peer = 0; peer < 400; ++peer) {
      record_peer_message(table, word_from("g" + std::to_string(peer), 1, 1), test_start);
    }
    CPPUNIT_ASSERT(peer_message_lifetime(table) >= 2 * peer_message_interval(401));
  }

  void new_losses_and_crashes_are_urgent() {
    peer_message before;
    before.unreachable = {1, 2};
    before.crashes = {{5, 6}};
    peer_message message = before;
    message.loads = {{9, 9}};
    CPPUNIT_ASSERT(!is_urgent(message, before));
    message.unreachable = {2};
    CPPUNIT_ASSERT(!is_urgent(message, before));
    message.unreachable = {2, 3};
    CPPUNIT_ASSERT(is_urgent(message, before));
    message = before;
    message.crashes.push_back({5, 7});
    CPPUNIT_ASSERT(is_urgent(message, before));
  }

  void a_request_is_refused_at_its_third_crash() {
    crash_suspects table;
    for (std::uint64_t crash = 1; crash <= crashes_allowed; ++crash) {
      CPPUNIT_ASSERT(!is_refused(table, 77, test_start));
      // Several gateways report the crash of the same endpoint.
      record_crash(table, {77, crash}, test_start);
      record_crash(table, {77, crash}, test_start);
    }
    CPPUNIT_ASSERT(is_refused(table, 77, test_start));
    CPPUNIT_ASSERT(!is_refused(table, 78, test_start));
  }

  void suspicions_expire() {
    crash_suspects table;
    for (std::uint64_t crash = 1; crash <= crashes_allowed; ++crash) {
      record_crash(table, {77, crash}, test_start);
    }
    CPPUNIT_ASSERT_EQUAL(crashes_allowed, recent_crashes(table, test_start).size());
    CPPUNIT_ASSERT(recent_crashes(table, test_start + suspicion_report_time).empty());
    CPPUNIT_ASSERT(!is_refused(table, 77, test_start + suspicion_lifetime));
    drop_expired(table, test_start + suspicion_lifetime);
    CPPUNIT_ASSERT(table.rows.empty());
  }

  void a_fingerprint_ignores_the_request_id() {
    caller_request one = chat_request(1);
    caller_request other = one;
    other.id = "another";
    CPPUNIT_ASSERT_EQUAL(fingerprint_of(one, "body"), fingerprint_of(other, "body"));
    CPPUNIT_ASSERT(fingerprint_of(one, "body") != fingerprint_of(other, "else"));
    other.target = "/chat/2";
    CPPUNIT_ASSERT(fingerprint_of(one, "body") != fingerprint_of(other, "body"));
  }

 private:
  static peer_message word_from(const std::string& sender, std::uint64_t start,
                                std::uint64_t sequence) {
    peer_message message;
    message.sender = {sender};
    message.start = start;
    message.sequence = sequence;
    return message;
  }

  static void receive_loads(gateway_state& state, const std::string& sender,
                            const std::vector<peer_load>& loads, steady_time now) {
    peer_message message = word_from(sender, 1, 1);
    message.loads = loads;
    record_peer_message(state.peers, message, now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_table_test);

}  // namespace chestnuthead::gateway
