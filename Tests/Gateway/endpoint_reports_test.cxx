#include "Gateway/endpoint_reports.h"

#include <variant>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/admission.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/gateway_fixture.h"
#include "Gateway/peer_message.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

endpoint_answer leaving_answer() {
  endpoint_answer answer;
  answer.status = 200;
  answer.leaving = true;
  return answer;
}

endpoint_answer pausing_answer(milliseconds pause) {
  endpoint_answer answer;
  answer.status = 503;
  answer.not_executed = true;
  answer.pause = pause;
  return answer;
}

}  // namespace

class endpoint_reports_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_reports_test);
  CPPUNIT_TEST(a_leaving_endpoint_receives_no_requests);
  CPPUNIT_TEST(delayed_entries_do_not_restore_a_leaving_endpoint);
  CPPUNIT_TEST(a_restarted_endpoint_is_new);
  CPPUNIT_TEST(answer_of_an_earlier_incarnation_says_nothing_about_the_next);
  CPPUNIT_TEST(a_leaving_report_expires_without_a_start_time);
  CPPUNIT_TEST(peers_receive_leaving_reports);
  CPPUNIT_TEST(reports_of_peers_are_not_forwarded);
  CPPUNIT_TEST(a_paused_endpoint_receives_no_requests);
  CPPUNIT_TEST(a_pause_does_not_eject);
  CPPUNIT_TEST(ends_of_pauses_are_spread);
  CPPUNIT_TEST(a_pause_is_bounded);
  CPPUNIT_TEST(a_paused_pool_refuses_until_the_first_pause_ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_leaving_endpoint_receives_no_requests() {
    endpoint& row = this->first();
    CPPUNIT_ASSERT(this->apply(row, leaving_answer()));
    CPPUNIT_ASSERT(!in_service(row, {}, test_start));
    CPPUNIT_ASSERT(!in_service(row, {}, test_start + std::chrono::hours{1}));
    CPPUNIT_ASSERT(!this->apply(row, leaving_answer()));
  }

  void delayed_entries_do_not_restore_a_leaving_endpoint() {
    this->apply(this->first(), leaving_answer());
    const endpoint_listing late = this->first().listing;
    CPPUNIT_ASSERT(list_endpoint(this->state.endpoints, late, test_start + seconds{1}) ==
                   listing_effect::renewed);
    CPPUNIT_ASSERT(!in_service(this->first(), {}, test_start + seconds{1}));
    // Its entry expires during an outage of the store; it gets no grace period.
    unlist_endpoint(this->state.endpoints, late.name, test_start + seconds{9},
                    test_start + seconds{2});
    CPPUNIT_ASSERT(!this->first().listed);
  }

  void a_restarted_endpoint_is_new() {
    this->apply(this->first(), leaving_answer());
    endpoint_listing again = this->first().listing;
    again.started = 2;
    CPPUNIT_ASSERT(list_endpoint(this->state.endpoints, again, test_start) ==
                   listing_effect::replaced);
    CPPUNIT_ASSERT(in_service(this->first(), {}, test_start));
  }

  /// Guards against an endpoint that has just started and gets no requests, since a request to its
  /// previous incarnation was answered only now.
  void answer_of_an_earlier_incarnation_says_nothing_about_the_next() {
    const incarnation_id earlier = incarnation_of(this->first());
    endpoint_listing again = this->first().listing;
    again.started = 2;
    list_endpoint(this->state.endpoints, again, test_start);
    for (const endpoint_answer& answer : {leaving_answer(), pausing_answer(seconds{4})}) {
      apply_answer_headers(this->state.endpoints, earlier, answer, this->random, test_start);
      CPPUNIT_ASSERT(in_service(this->first(), {}, test_start));
    }
  }

  /// Without a start time in its entry a restart of the endpoint can't be detected.
  void a_leaving_report_expires_without_a_start_time() {
    this->first().listing.started = 0;
    this->apply(this->first(), leaving_answer());
    const steady_time end = test_start + leaving_report_lifetime;
    CPPUNIT_ASSERT(!in_service(this->first(), {}, end - milliseconds{1}));
    CPPUNIT_ASSERT(in_service(this->first(), {}, end));
  }

  void peers_receive_leaving_reports() {
    this->apply(this->first(), leaving_answer());
    const peer_message before;
    peer_message message = own_peer_message(this->state.endpoints, test_start);
    CPPUNIT_ASSERT(is_urgent(message, before));
    CPPUNIT_ASSERT(!is_urgent(message, message));
    message.sender = node_id{"edge-1"};
    message.sequence = 1;
    gateway_state peer = test_state();
    CPPUNIT_ASSERT(apply_peer_message(peer, message, test_start));
    CPPUNIT_ASSERT(!in_service(peer.endpoints.rows.begin()->second, {}, test_start));
    CPPUNIT_ASSERT(in_service(peer.endpoints.rows.rbegin()->second, {}, test_start));

    gateway_state other_incarnation = test_state();
    other_incarnation.endpoints.rows.begin()->second.listing.started = 9;
    apply_peer_message(other_incarnation, message, test_start);
    CPPUNIT_ASSERT(in_service(other_incarnation.endpoints.rows.begin()->second, {}, test_start));
  }

  /// Otherwise two gateways would send the report to each other forever.
  void reports_of_peers_are_not_forwarded() {
    apply_leaving_report(this->state.endpoints, {this->first().hash, 1}, test_start);
    CPPUNIT_ASSERT(!in_service(this->first(), {}, test_start));
    CPPUNIT_ASSERT(own_peer_message(this->state.endpoints, test_start).leaving_endpoints.empty());
  }

  void a_paused_endpoint_receives_no_requests() {
    endpoint& row = this->first();
    this->apply(row, pausing_answer(milliseconds{2'500}));
    row.record.needs_check = true;
    CPPUNIT_ASSERT(!check_due(row, test_start + milliseconds{2'499}));
    row.record.needs_check = false;
    CPPUNIT_ASSERT(!in_service(row, {}, test_start + milliseconds{2'499}));
    CPPUNIT_ASSERT(in_service(row, {}, test_start + milliseconds{2'900}));
    // A later request for a shorter pause does not shorten it.
    this->apply(row, pausing_answer(milliseconds{100}));
    CPPUNIT_ASSERT(!in_service(row, {}, test_start + milliseconds{2'499}));
  }

  void a_pause_does_not_eject() {
    endpoint& row = this->first();
    this->apply(row, pausing_answer(milliseconds{500}));
    CPPUNIT_ASSERT(!is_ejected(row, test_start));
    CPPUNIT_ASSERT(!row.record.lost);
  }

  void ends_of_pauses_are_spread() {
    steady_time first_end = test_start + std::chrono::hours{1};
    steady_time last_end = test_start;
    for (int gateway = 0; gateway < 100; ++gateway) {
      endpoint& row = this->first();
      row.paused_until = {};
      this->apply(row, pausing_answer(seconds{4}));
      CPPUNIT_ASSERT(row.paused_until >= test_start + seconds{4});
      first_end = std::min(first_end, row.paused_until);
      last_end = std::max(last_end, row.paused_until);
    }
    CPPUNIT_ASSERT(last_end - first_end > milliseconds{400});
  }

  void a_pause_is_bounded() {
    this->apply(this->first(), pausing_answer(std::chrono::hours{1'000}));
    CPPUNIT_ASSERT(in_service(this->first(), {}, test_start + 2 * longest_pause));
  }

  void a_paused_pool_refuses_until_the_first_pause_ends() {
    seconds pause{3};
    for (auto& [name, row] : this->state.endpoints.rows) {
      this->apply(row, pausing_answer(pause));
      pause += seconds{1};
    }
    const auto& pool = endpoints_of(this->state.endpoints, engine_pool);
    const auto choice = choose_endpoint(pool, engine_pool_settings(), chat_request(1), {},
                                        this->state.fleet, this->random, test_start);
    CPPUNIT_ASSERT(std::get<no_choice>(choice) == no_choice::all_paused);
    const milliseconds left = shortest_pause(pool, this->state.fleet, test_start);
    CPPUNIT_ASSERT(left >= seconds{3} && left < seconds{4});
    const refusal why = refuse_until_pause_ends(left, this->random);
    CPPUNIT_ASSERT(why.kind == error_kind::overloaded);
    CPPUNIT_ASSERT(why.retry_after >= left && why.retry_after <= left + seconds{1});
  }

 private:
  endpoint& first() {
    return this->state.endpoints.rows.begin()->second;
  }
  /// Applies an answer of the incarnation that the row describes.
  bool apply(const endpoint& row, const endpoint_answer& answer) {
    return apply_answer_headers(this->state.endpoints, incarnation_of(row), answer, this->random,
                                test_start);
  }

  gateway_state state = test_state(3);
  seeded_random random{5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_reports_test);

}  // namespace chestnuthead::gateway
