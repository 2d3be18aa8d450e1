#include "Gateway/endpoint_words.h"

#include <variant>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/admission.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/gateway_fixture.h"
#include "Gateway/peer_news.h"

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

class endpoint_words_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_words_test);
  CPPUNIT_TEST(a_leaving_endpoint_gets_nothing_from_then_on);
  CPPUNIT_TEST(late_entries_do_not_bring_a_leaving_endpoint_back);
  CPPUNIT_TEST(an_endpoint_that_starts_again_is_new);
  CPPUNIT_TEST(an_endpoint_without_a_start_time_may_come_back);
  CPPUNIT_TEST(peers_hear_of_a_leaving_endpoint);
  CPPUNIT_TEST(words_of_peers_are_not_passed_on);
  CPPUNIT_TEST(a_paused_endpoint_gets_nothing_until_its_pause_ends);
  CPPUNIT_TEST(a_pause_is_no_sickness);
  CPPUNIT_TEST(ends_of_pauses_are_spread);
  CPPUNIT_TEST(a_pause_has_a_bound);
  CPPUNIT_TEST(a_pool_that_is_paused_refuses_until_the_first_pause_ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_leaving_endpoint_gets_nothing_from_then_on() {
    endpoint& row = this->first();
    CPPUNIT_ASSERT(take_words(row, leaving_answer(), this->random, test_start));
    CPPUNIT_ASSERT(!in_service(row, {}, test_start));
    CPPUNIT_ASSERT(!in_service(row, {}, test_start + std::chrono::hours{1}));
    CPPUNIT_ASSERT(!take_words(row, leaving_answer(), this->random, test_start));
  }

  void late_entries_do_not_bring_a_leaving_endpoint_back() {
    take_words(this->first(), leaving_answer(), this->random, test_start);
    const endpoint_listing late = this->first().listing;
    CPPUNIT_ASSERT(!list_endpoint(this->state.endpoints, late, test_start + seconds{1}));
    CPPUNIT_ASSERT(!in_service(this->first(), {}, test_start + seconds{1}));
    // Its entry lapses while the store is away: it has left.
    unlist_endpoint(this->state.endpoints, late.name, test_start + seconds{9},
                    test_start + seconds{2});
    CPPUNIT_ASSERT(!this->first().listed);
  }

  void an_endpoint_that_starts_again_is_new() {
    take_words(this->first(), leaving_answer(), this->random, test_start);
    endpoint_listing again = this->first().listing;
    again.started = 2;
    CPPUNIT_ASSERT(list_endpoint(this->state.endpoints, again, test_start));
    CPPUNIT_ASSERT(in_service(this->first(), {}, test_start));
  }

  /// Its entry doesn't tell that it has started again.
  void an_endpoint_without_a_start_time_may_come_back() {
    this->first().listing.started = 0;
    take_words(this->first(), leaving_answer(), this->random, test_start);
    const steady_time end = test_start + leaving_word_life;
    CPPUNIT_ASSERT(!in_service(this->first(), {}, end - milliseconds{1}));
    CPPUNIT_ASSERT(in_service(this->first(), {}, end));
  }

  void peers_hear_of_a_leaving_endpoint() {
    take_words(this->first(), leaving_answer(), this->random, test_start);
    const peer_word before;
    peer_word word = own_word(this->state.endpoints, test_start);
    CPPUNIT_ASSERT(is_urgent(word, before));
    CPPUNIT_ASSERT(!is_urgent(word, word));
    word.sender = node_id{"edge-1"};
    word.sequence = 1;
    gateway_state peer = test_state();
    CPPUNIT_ASSERT(take_word(peer, word, test_start));
    CPPUNIT_ASSERT(!in_service(peer.endpoints.rows.begin()->second, {}, test_start));
    CPPUNIT_ASSERT(in_service(peer.endpoints.rows.rbegin()->second, {}, test_start));

    gateway_state other_life = test_state();
    other_life.endpoints.rows.begin()->second.listing.started = 9;
    take_word(other_life, word, test_start);
    CPPUNIT_ASSERT(in_service(other_life.endpoints.rows.begin()->second, {}, test_start));
  }

  /// Two gateways would else remind each other for ever.
  void words_of_peers_are_not_passed_on() {
    hear_leaving(this->state.endpoints, {this->first().hash, 1}, test_start);
    CPPUNIT_ASSERT(!in_service(this->first(), {}, test_start));
    CPPUNIT_ASSERT(own_word(this->state.endpoints, test_start).leaving_endpoints.empty());
  }

  void a_paused_endpoint_gets_nothing_until_its_pause_ends() {
    endpoint& row = this->first();
    take_words(row, pausing_answer(milliseconds{2'500}), this->random, test_start);
    row.record.needs_check = true;
    CPPUNIT_ASSERT(!check_due(row, test_start + milliseconds{2'499}));
    row.record.needs_check = false;
    CPPUNIT_ASSERT(!in_service(row, {}, test_start + milliseconds{2'499}));
    CPPUNIT_ASSERT(in_service(row, {}, test_start + milliseconds{2'900}));
    // A shorter pause that is told later does not end it.
    take_words(row, pausing_answer(milliseconds{100}), this->random, test_start);
    CPPUNIT_ASSERT(!in_service(row, {}, test_start + milliseconds{2'499}));
  }

  void a_pause_is_no_sickness() {
    endpoint& row = this->first();
    take_words(row, pausing_answer(milliseconds{500}), this->random, test_start);
    CPPUNIT_ASSERT(!is_set_aside(row, test_start));
    CPPUNIT_ASSERT(!row.record.lost);
  }

  void ends_of_pauses_are_spread() {
    steady_time first_end = test_start + std::chrono::hours{1};
    steady_time last_end = test_start;
    for (int gateway = 0; gateway < 100; ++gateway) {
      endpoint row;
      take_words(row, pausing_answer(seconds{4}), this->random, test_start);
      CPPUNIT_ASSERT(row.paused_until >= test_start + seconds{4});
      first_end = std::min(first_end, row.paused_until);
      last_end = std::max(last_end, row.paused_until);
    }
    CPPUNIT_ASSERT(last_end - first_end > milliseconds{400});
  }

  void a_pause_has_a_bound() {
    take_words(this->first(), pausing_answer(std::chrono::hours{1'000}), this->random, test_start);
    CPPUNIT_ASSERT(in_service(this->first(), {}, test_start + 2 * longest_pause));
  }

  void a_pool_that_is_paused_refuses_until_the_first_pause_ends() {
    seconds pause{3};
    for (auto& [name, row] : this->state.endpoints.rows) {
      take_words(row, pausing_answer(pause), this->random, test_start);
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

  gateway_state state = test_state(3);
  seeded_random random{5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_words_test);

}  // namespace chestnuthead::gateway
