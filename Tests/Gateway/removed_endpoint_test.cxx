#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/endpoint_reports.h"
#include "Gateway/gateway_fixture.h"
#include "Gateway/incarnation_proof.h"
#include "Gateway/peer_message.h"
#include "Gateway/peer_table.h"
#include "Gateway/placement.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against requests to an endpoint that leaves, or that wants none, after its entry was
/// removed and a delayed entry has listed it again.
class removed_endpoint_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(removed_endpoint_test);
  CPPUNIT_TEST(late_heartbeat_restores_no_leaving_endpoint);
  CPPUNIT_TEST(what_is_known_of_an_incarnation_outlives_its_row);
  CPPUNIT_TEST(answer_after_the_removal_is_remembered);
  CPPUNIT_TEST(unreadable_entry_ends_no_pause);
  CPPUNIT_TEST(peers_learn_of_a_leaving_endpoint_after_its_removal);
  CPPUNIT_TEST(earlier_entries_do_not_list_a_removed_endpoint);
  CPPUNIT_TEST(endpoint_that_starts_again_is_new);
  CPPUNIT_TEST(endpoint_without_start_time_is_new_after_its_removal);
  CPPUNIT_TEST(suspension_ends_no_memory_of_an_endpoint);
  CPPUNIT_TEST(memory_of_removed_endpoints_is_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Review case 8: a leaving endpoint's last heartbeat is performed 3 s after its removal.
  void late_heartbeat_restores_no_leaving_endpoint() {
    this->report_leaving(this->row());
    this->remove(test_start);
    CPPUNIT_ASSERT(!this->list_again(test_start + seconds{3}));
    CPPUNIT_ASSERT(!in_service(this->row(), {}, test_start + seconds{3}));
    CPPUNIT_ASSERT(!in_service(this->row(), {}, test_start + std::chrono::hours{1}));
  }

  void what_is_known_of_an_incarnation_outlives_its_row() {
    this->row().paused_until = test_start + seconds{60};
    this->row().cold_until = test_start + seconds{30};
    this->row().misplaced = true;
    note_unhealthy(this->row(), test_start);
    this->remove(test_start);
    const steady_time later = test_start + seconds{10};
    CPPUNIT_ASSERT(!this->list_again(later));
    CPPUNIT_ASSERT(is_paused(this->row(), later));
    CPPUNIT_ASSERT(is_cold(this->row(), later));
    CPPUNIT_ASSERT(is_ejected(this->row(), later));
    CPPUNIT_ASSERT(this->row().misplaced);
    CPPUNIT_ASSERT(this->row().record.lost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints_of(this->state.endpoints, engine_pool).size());
  }

  /// The row of a removed endpoint remains while requests are in flight.
  void answer_after_the_removal_is_remembered() {
    begin_request(this->row(), test_start);
    this->remove(test_start);
    this->report_leaving(this->row());
    end_request(this->row());
    drop_unlisted(this->state.endpoints, test_start + seconds{1});
    CPPUNIT_ASSERT(this->state.endpoints.rows.empty());
    this->list_again(test_start + seconds{3});
    CPPUNIT_ASSERT(!in_service(this->row(), {}, test_start + seconds{3}));
    CPPUNIT_ASSERT_EQUAL(0U, this->row().in_flight);
  }

  /// An entry that can't be read counts as removed until it can be read again.
  void unreadable_entry_ends_no_pause() {
    this->row().paused_until = test_start + longest_pause;
    this->remove(test_start);
    this->list_again(test_start + longest_pause - seconds{1});
    CPPUNIT_ASSERT(is_paused(this->row(), test_start + longest_pause - seconds{1}));
    CPPUNIT_ASSERT(in_service(this->row(), {}, test_start + longest_pause));
  }

  void peers_learn_of_a_leaving_endpoint_after_its_removal() {
    gateway_state peer = test_state(1);
    for (gateway_state* gateway : {&this->state, &peer}) {
      unlist_endpoint(gateway->endpoints, this->entry.name, test_start, test_start);
    }
    // The answer to a request in flight is the first that says so.
    this->report_leaving(this->row());
    drop_unlisted(this->state.endpoints, test_start);
    drop_unlisted(peer.endpoints, test_start);
    const steady_time later = test_start + milliseconds{500};
    peer_message message = own_peer_message(this->state.endpoints, later);
    message.sender = node_id{"edge-1"};
    message.sequence = 1;
    CPPUNIT_ASSERT(apply_peer_message(peer, message, later));
    list_endpoint(peer.endpoints, this->entry, test_start + seconds{3});
    CPPUNIT_ASSERT(!in_service(peer.endpoints.rows.begin()->second, {}, test_start + seconds{3}));
    const steady_time end = test_start + removed_report_time;
    CPPUNIT_ASSERT(own_peer_message(this->state.endpoints, end).leaving_endpoints.empty());
  }

  void earlier_entries_do_not_list_a_removed_endpoint() {
    this->entry.started = 2'000;
    this->entry.heartbeat = 5;
    list_endpoint(this->state.endpoints, this->entry, test_start);
    this->remove(test_start);
    endpoint_listing earlier = this->entry;
    earlier.heartbeat = 4;
    CPPUNIT_ASSERT(this->is_ignored(earlier));
    earlier = this->entry;
    earlier.started = 1'000;
    CPPUNIT_ASSERT(this->is_ignored(earlier));
    // A heartbeat shows that the endpoint runs, with its clock set back.
    ++earlier.heartbeat;
    CPPUNIT_ASSERT(!this->is_ignored(earlier));
  }

  /// The other side: an endpoint that really starts again receives requests at once.
  void endpoint_that_starts_again_is_new() {
    this->report_leaving(this->row());
    this->row().paused_until = test_start + seconds{60};
    note_unhealthy(this->row(), test_start);
    this->remove(test_start);
    ++this->entry.started;
    CPPUNIT_ASSERT(!this->is_ignored(this->entry));
    CPPUNIT_ASSERT(this->list_again(test_start + milliseconds{1}));
    CPPUNIT_ASSERT(in_service(this->row(), {}, test_start + milliseconds{1}));
    CPPUNIT_ASSERT(own_peer_message(this->state.endpoints, test_start).leaving_endpoints.empty());
  }

  void endpoint_without_start_time_is_new_after_its_removal() {
    this->entry.started = 0;
    list_endpoint(this->state.endpoints, this->entry, test_start);
    this->report_leaving(this->row());
    this->remove(test_start);
    CPPUNIT_ASSERT(this->list_again(test_start + seconds{1}));
    CPPUNIT_ASSERT(in_service(this->row(), {}, test_start + seconds{1}));
  }

  /// A VM that is suspended together with the store performs the delayed call after an hour.
  void suspension_ends_no_memory_of_an_endpoint() {
    note_running(this->state, test_start);
    this->report_leaving(this->row());
    this->remove(test_start);
    const steady_time resumed = test_start + std::chrono::hours{1};
    CPPUNIT_ASSERT(note_running(this->state, resumed));
    drop_unlisted(this->state.endpoints, resumed);
    CPPUNIT_ASSERT(!this->list_again(resumed));
    CPPUNIT_ASSERT(!in_service(this->row(), {}, resumed));
    this->remove(resumed);
    drop_unlisted(this->state.endpoints, resumed + incarnation_retention);
    CPPUNIT_ASSERT(this->state.endpoints.gone.empty());
    CPPUNIT_ASSERT(this->state.endpoints.leaving.empty());
  }

  void memory_of_removed_endpoints_is_bounded() {
    const endpoint_id first = this->entry.name;
    for (std::size_t number = 0; number <= max_gone_endpoints; ++number) {
      this->entry.name = endpoint_id{"engine-" + std::to_string(number)};
      const steady_time at = test_start + milliseconds{number};
      list_endpoint(this->state.endpoints, this->entry, at);
      this->remove(at);
    }
    CPPUNIT_ASSERT_EQUAL(max_gone_endpoints, this->state.endpoints.gone.size());
    CPPUNIT_ASSERT(!this->state.endpoints.gone.contains(hash_text(first.value)));
    drop_unlisted(this->state.endpoints, test_start + seconds{5} + incarnation_retention);
    CPPUNIT_ASSERT(this->state.endpoints.gone.empty());
  }

 private:
  endpoint& row() {
    return this->state.endpoints.rows.begin()->second;
  }

  void report_leaving(endpoint& leaver) {
    endpoint_answer answer;
    answer.status = 200;
    answer.leaving = true;
    apply_answer_headers(this->state.endpoints, incarnation_of(leaver), answer, this->random,
                         test_start);
  }

  void remove(steady_time now) {
    unlist_endpoint(this->state.endpoints, this->entry.name, now, now);
    drop_unlisted(this->state.endpoints, now);
  }

  /// Lists the endpoint with its next heartbeat. Returns true if it is new.
  bool list_again(steady_time now) {
    ++this->entry.heartbeat;
    CPPUNIT_ASSERT(!is_outdated(this->state.endpoints, this->entry, std::nullopt, now));
    return is_new_incarnation(list_endpoint(this->state.endpoints, this->entry, now));
  }

  bool is_ignored(const endpoint_listing& listing) {
    return is_outdated(this->state.endpoints, listing, std::nullopt, test_start);
  }

  gateway_state state = test_state(1);
  endpoint_listing entry = state.endpoints.rows.begin()->second.listing;
  seeded_random random{5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(removed_endpoint_test);

}  // namespace chestnuthead::gateway
