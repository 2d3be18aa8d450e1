#include "Gateway/incarnation_proof.h"

#include <algorithm>
#include <optional>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/endpoint_reports.h"
#include "Gateway/gateway_fixture.h"
#include "Gateway/peer_message.h"
#include "Gateway/peer_table.h"
#include "Gateway/placement.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against floods of a cold endpoint whose entry is that of its previous incarnation.
class incarnation_proof_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(incarnation_proof_test);
  CPPUNIT_TEST(entry_of_unknown_age_proves_nothing);
  CPPUNIT_TEST(heartbeat_written_since_is_a_proof);
  CPPUNIT_TEST(heartbeat_that_may_be_older_than_the_doubt_is_no_proof);
  CPPUNIT_TEST(new_incarnation_in_an_old_entry_needs_a_proof);
  CPPUNIT_TEST(endpoint_that_starts_again_is_used_at_once);
  CPPUNIT_TEST(pools_that_are_never_cold_need_no_proof_of_a_restart);
  CPPUNIT_TEST(removed_endpoint_that_is_listed_again_needs_a_proof);
  CPPUNIT_TEST(gateway_that_was_paused_doubts_all_endpoints);
  CPPUNIT_TEST(checks_take_turns_while_the_pool_is_used);
  CPPUNIT_TEST(peers_share_the_results_of_checks);
  CPPUNIT_TEST(connected_peer_vouches_for_an_endpoint);
  CPPUNIT_TEST(healthy_fleet_that_starts_at_once_serves_at_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Review case 10: a gateway that starts reads an entry from before the endpoint's restart.
  void entry_of_unknown_age_proves_nothing() {
    this->read_entry(std::nullopt, test_start);
    CPPUNIT_ASSERT(!this->is_open(test_start));
    CPPUNIT_ASSERT(!this->is_open(test_start + std::chrono::hours{1}));
  }

  void heartbeat_written_since_is_a_proof() {
    this->read_entry(std::nullopt, test_start);
    // The same entry, read once more.
    this->read_entry(test_start, test_start + seconds{1});
    CPPUNIT_ASSERT(!this->is_open(test_start + seconds{1}));
    ++this->entry.heartbeat;
    this->read_entry(test_start, test_start + seconds{1});
    CPPUNIT_ASSERT(this->is_open(test_start + seconds{1}));
  }

  /// The last heartbeat before an endpoint's end may be read after its connections have ended.
  void heartbeat_that_may_be_older_than_the_doubt_is_no_proof() {
    this->read_entry(test_start, test_start);
    CPPUNIT_ASSERT(this->is_open(test_start));
    const steady_time ended_at = test_start + milliseconds{300};
    doubt_incarnation(this->row(), incarnation_doubt::may_have_restarted, ended_at);
    ++this->entry.heartbeat;
    this->read_entry(test_start + milliseconds{200}, ended_at + milliseconds{100});
    CPPUNIT_ASSERT(!this->is_open(ended_at + milliseconds{100}));
    ++this->entry.heartbeat;
    this->read_entry(ended_at + milliseconds{100}, ended_at + milliseconds{1'300});
    CPPUNIT_ASSERT(this->is_open(ended_at + milliseconds{1'300}));
  }

  /// After an outage of the store the entry of an incarnation may be older than its end, too.
  void new_incarnation_in_an_old_entry_needs_a_proof() {
    this->read_entry(test_start, test_start);
    ++this->entry.started;
    this->read_entry(test_start, test_start + max_entry_age + milliseconds{1});
    CPPUNIT_ASSERT(!this->is_open(test_start + seconds{4}));
  }

  void endpoint_that_starts_again_is_used_at_once() {
    this->read_entry(std::nullopt, test_start);
    ++this->entry.started;
    this->read_entry(test_start, test_start + seconds{1});
    CPPUNIT_ASSERT(this->is_open(test_start + seconds{1}));
  }

  void pools_that_are_never_cold_need_no_proof_of_a_restart() {
    this->read_entry(std::nullopt, test_start);
    CPPUNIT_ASSERT(has_room(this->row(), engine_pool_settings(0.0), {}, {}, test_start));
  }

  void removed_endpoint_that_is_listed_again_needs_a_proof() {
    const pool plain = engine_pool_settings(0.0);
    this->read_entry(test_start, test_start);
    unlist_endpoint(this->state.endpoints, this->entry.name, test_start, test_start);
    drop_unlisted(this->state.endpoints, test_start);
    ++this->entry.heartbeat;
    const steady_time later = test_start + seconds{3};
    this->read_entry(later - seconds{1}, later);
    CPPUNIT_ASSERT(!has_room(this->row(), plain, {}, {}, later));
    // Several heartbeats may be delayed, so only the endpoint itself can tell that it serves.
    ++this->entry.heartbeat;
    this->read_entry(later, later + seconds{1});
    CPPUNIT_ASSERT(!has_room(this->row(), plain, {}, {}, later + seconds{1}));
    apply_check_report(this->state.endpoints, {this->row().hash, {}, {}}, later + seconds{1});
    CPPUNIT_ASSERT(has_room(this->row(), plain, {}, {}, later + seconds{1}));
    // An entry that lapses in an outage of the store stays listed for a while.
    unlist_endpoint(this->state.endpoints, this->entry.name, later + missing_grace, later);
    ++this->entry.heartbeat;
    this->read_entry(later, later + seconds{1});
    CPPUNIT_ASSERT(this->is_open(later + seconds{1}));
  }

  void gateway_that_was_paused_doubts_all_endpoints() {
    this->read_entry(test_start, test_start);
    steady_time now = test_start;
    for (int ticks = 0; ticks < 200; ++ticks) {
      now += milliseconds{25};
      CPPUNIT_ASSERT(!note_running(this->state, now));
    }
    CPPUNIT_ASSERT(this->is_open(now));
    now += max_interruption;
    CPPUNIT_ASSERT(note_running(this->state, now));
    CPPUNIT_ASSERT(!this->is_open(now));
    CPPUNIT_ASSERT(!note_running(this->state, now + milliseconds{25}));
  }

  void checks_take_turns_while_the_pool_is_used() {
    for (int peer = 0; peer < 67; ++peer) {
      list_peer(this->state.peers, node_id{"edge-" + std::to_string(peer)}, "10.0.0.2:7340",
                test_start);
    }
    const steady_time used_at = test_start + seconds{60};
    int first = 0;
    for (int gateway = 0; gateway < 68; ++gateway) {
      this->state.self = node_id{"edge-" + std::to_string(gateway)};
      this->state.resend_budgets.clear();
      this->read_entry(test_start, test_start);
      doubt_incarnation(this->row(), incarnation_doubt::may_have_restarted, test_start);
      // No turn passes while the gateway waits for callers.
      schedule_proof_checks(this->state, test_start);
      CPPUNIT_ASSERT(!proof_check_due(this->row(), used_at));
      count_request(this->state.resend_budgets[engine_pool], this->state.resends, used_at);
      schedule_proof_checks(this->state, used_at);
      first += proof_check_due(this->row(), used_at) ? 1 : 0;
      CPPUNIT_ASSERT(proof_check_due(this->row(), used_at + seconds{16}));
    }
    CPPUNIT_ASSERT_EQUAL(4, first);
    const steady_time later = used_at + seconds{16};
    CPPUNIT_ASSERT(expects_proof(this->state, engine_pool_settings(), later));
    // An endpoint that wants nothing is not checked.
    this->row().paused_until = later + seconds{1};
    CPPUNIT_ASSERT(!proof_check_due(this->row(), later));
    CPPUNIT_ASSERT(!expects_proof(this->state, engine_pool_settings(), later));
  }

  void peers_share_the_results_of_checks() {
    this->read_entry(test_start, test_start);
    this->row().proof.checked_at = test_start;
    this->row().cold_until = test_start + seconds{2};
    gateway_state doubting = test_state(0);
    list_endpoint(doubting.endpoints, this->entry, std::nullopt, test_start);
    const steady_time later = test_start + milliseconds{500};
    const peer_message before;
    CPPUNIT_ASSERT(is_urgent(this->message_at(later), before));
    CPPUNIT_ASSERT(!is_urgent(this->message_at(later), this->message_at(test_start)));
    apply_peer_message(doubting, this->message_at(later), later);
    endpoint& told = doubting.endpoints.rows.begin()->second;
    CPPUNIT_ASSERT(!lacks_proof(told, engine_pool_settings()));
    CPPUNIT_ASSERT(is_cold(told, test_start + milliseconds{1'900}));
    // The check precedes a later doubt.
    doubt_incarnation(told, incarnation_doubt::may_have_restarted, later);
    apply_peer_message(doubting, this->message_at(later), later);
    CPPUNIT_ASSERT(lacks_proof(told, engine_pool_settings()));
    CPPUNIT_ASSERT(this->message_at(test_start + check_report_time).checks.empty());
  }

  /// So that a gateway that starts alone uses all endpoints soon, with few checks.
  void connected_peer_vouches_for_an_endpoint() {
    this->read_entry(test_start - seconds{60}, test_start - seconds{60});
    endpoint& used = this->row();
    begin_request(used, test_start);
    used.contact_since = test_start - vouching_contact;
    CPPUNIT_ASSERT(this->is_proven_by(this->message_at(test_start)));
    peer_message from_earlier_build = this->message_at(test_start);
    from_earlier_build.unvouched.reset();
    CPPUNIT_ASSERT(!this->is_proven_by(from_earlier_build));
    CPPUNIT_ASSERT(!this->is_proven_by(this->message_at(test_start - milliseconds{1})));
    used.cold_until = test_start + seconds{1};
    CPPUNIT_ASSERT(!this->is_proven_by(this->message_at(test_start)));
    used.cold_until = {};
    // Connections may have ended while the endpoint was not listed.
    unlist_endpoint(this->state.endpoints, this->entry.name, test_start, test_start);
    this->read_entry(test_start, test_start);
    prove_incarnation(used);
    CPPUNIT_ASSERT(!this->is_proven_by(this->message_at(test_start)));
    used.contact_since = test_start - vouching_contact;
    CPPUNIT_ASSERT(this->is_proven_by(this->message_at(test_start)));
    doubt_incarnation(used, incarnation_doubt::may_have_restarted, test_start);
    CPPUNIT_ASSERT(!this->is_proven_by(this->message_at(test_start)));
  }

  /// The other side: a healthy fleet that has lost all its gateways at once. Each serves from the
  /// first round of checks on, and uses all endpoints once it has read a heartbeat of each.
  void healthy_fleet_that_starts_at_once_serves_at_once() {
    struct fleet_size {
      int gateways;
      int endpoints;
    };
    for (const fleet_size& size : {fleet_size{2, 12}, fleet_size{68, 78}, fleet_size{350, 2'400}}) {
      const std::string label = std::to_string(size.gateways) + " gateways";
      for (int started = 0; started < std::min(size.gateways, 10); ++started) {
        this->start_one(started, size.gateways, size.endpoints);
        const int open = this->check_due_endpoints(test_start);
        const double expected = std::min(1.0, 4.0 / size.gateways) * size.endpoints;
        CPPUNIT_ASSERT_MESSAGE(label + ", open at once: " + std::to_string(open),
                               open >= static_cast<int>(expected / 3.0) && open <= 2.5 * expected);
        for (int number = 0; number < size.endpoints; ++number) {
          this->entry = listing_of("engine-" + std::to_string(number), engine_pool);
          ++this->entry.heartbeat;
          this->read_entry(test_start, test_start + milliseconds{1'200});
        }
        const auto& rows = endpoints_of(this->state.endpoints, engine_pool);
        CPPUNIT_ASSERT_MESSAGE(label, std::all_of(rows.begin(), rows.end(), [](const auto* one) {
                                 return !lacks_proof(*one, engine_pool_settings());
                               }));
      }
    }
  }

 private:
  peer_message message_at(steady_time now) {
    peer_message message = own_peer_message(this->state.endpoints, now);
    message.sender = node_id{"edge-9"};
    message.sequence = ++this->sequence;
    return message;
  }

  /// True if the message proves the endpoint to a gateway that has just started.
  bool is_proven_by(const peer_message& message) {
    gateway_state started = test_state(0);
    list_endpoint(started.endpoints, this->entry, std::nullopt, test_start);
    apply_peer_message(started, message, test_start);
    return !lacks_proof(started.endpoints.rows.begin()->second, engine_pool_settings());
  }

  /// A gateway starts and reads entries of unknown age, beside callers of the pool.
  void start_one(int number, int gateways, int endpoints) {
    this->state = test_state(0);
    this->state.self = node_id{"edge-" + std::to_string(number)};
    for (int other = 0; other < gateways; ++other) {
      if (other != number) {
        list_peer(this->state.peers, node_id{"edge-" + std::to_string(other)}, "10.0.0.2:7340",
                  test_start);
      }
    }
    for (int place = 0; place < endpoints; ++place) {
      this->entry = listing_of("engine-" + std::to_string(place), engine_pool);
      this->read_entry(std::nullopt, test_start);
    }
    count_request(this->state.resend_budgets[engine_pool], this->state.resends, test_start);
    CPPUNIT_ASSERT(expects_proof(this->state, engine_pool_settings(), test_start));
    schedule_proof_checks(this->state, test_start);
  }

  /// Checks all endpoints whose checks are due; all are warm. Returns how many these are.
  int check_due_endpoints(steady_time now) {
    int checked = 0;
    for (auto& [name, row] : this->state.endpoints.rows) {
      if (proof_check_due(row, now)) {
        ++checked;
        prove_incarnation(row);
      }
    }
    return checked;
  }

  endpoint& row() {
    return this->state.endpoints.rows.begin()->second;
  }

  void read_entry(std::optional<steady_time> written_after, steady_time now) {
    list_endpoint(this->state.endpoints, this->entry, written_after, now);
  }

  bool is_open(steady_time now) {
    return has_room(this->row(), engine_pool_settings(), {}, this->state.fleet, now);
  }

  gateway_state state = test_state(0);
  endpoint_listing entry = listing_of("engine-0", engine_pool);
  std::uint64_t sequence = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(incarnation_proof_test);

}  // namespace chestnuthead::gateway
