#include "Gateway/readiness.h"

#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/admission.h"
#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

class readiness_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(readiness_test);
  CPPUNIT_TEST(without_the_store_a_gateway_is_unready_if_others_are_current);
  CPPUNIT_TEST(all_gateways_stay_ready_in_an_outage_for_all);
  CPPUNIT_TEST(without_messages_a_gateway_assumes_it_is_isolated);
  CPPUNIT_TEST(a_single_gateway_stays_ready);
  CPPUNIT_TEST(expired_messages_and_leaving_peers_do_not_count);
  CPPUNIT_TEST(callers_of_gateways_without_the_store_are_served_in_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  void without_the_store_a_gateway_is_unready_if_others_are_current() {
    gateway_state state = test_state();
    const steady_time later = test_start + current_for;
    receive_messages(state, {true, true, false}, later);
    CPPUNIT_ASSERT(is_ready(state, later - milliseconds{1}));
    CPPUNIT_ASSERT(!is_ready(state, later));
    // Callers that are sent here anyway are served while keys are trusted.
    CPPUNIT_ASSERT(std::holds_alternative<admission>(ask(state, later)));
    const steady_time untrusted = test_start + state.key_trust;
    receive_messages(state, {true, true, false}, untrusted);
    const auto refused = std::get<refusal>(ask(state, untrusted));
    CPPUNIT_ASSERT(refused.kind == error_kind::not_ready);
    CPPUNIT_ASSERT(refused.retry_after.count() > 0 && refused.retry_after <= milliseconds{60});
  }

  void all_gateways_stay_ready_in_an_outage_for_all() {
    gateway_state state = test_state();
    const steady_time later = test_start + current_for;
    receive_messages(state, {false, false, true, false}, later);
    CPPUNIT_ASSERT(is_ready(state, later));
    const steady_time untrusted = test_start + state.key_trust;
    receive_messages(state, {false, false, false, false}, untrusted);
    CPPUNIT_ASSERT(!is_ready(state, untrusted));
    // No other gateway can serve the caller, so the retry time is not short.
    CPPUNIT_ASSERT(std::get<refusal>(ask(state, untrusted)).retry_after >= milliseconds{250});
  }

  void without_messages_a_gateway_assumes_it_is_isolated() {
    gateway_state state = test_state();
    receive_messages(state, {true}, test_start);
    CPPUNIT_ASSERT(!is_ready(state, test_start + current_for));
  }

  void a_single_gateway_stays_ready() {
    const gateway_state state = test_state();
    CPPUNIT_ASSERT(is_ready(state, test_start + state.key_trust - milliseconds{1}));
  }

  void expired_messages_and_leaving_peers_do_not_count() {
    gateway_state state = test_state();
    const steady_time later = test_start + current_for;
    // The first message has expired, so that only the second one counts.
    receive_messages(state, {true, false}, later);
    state.peers.rows.at({"peer-0"}).received_at = test_start;
    CPPUNIT_ASSERT(!others_are_better(state, later));
    state.peers.rows.at({"peer-0"}).received_at = later;
    state.peers.rows.at({"peer-1"}).message.leaving = true;
    CPPUNIT_ASSERT(others_are_better(state, later));
  }

  /// Ten of 29 gateways lose the store for eight seconds. The balancer checks readiness once per
  /// second and removes a gateway after two failed checks; a refused caller retries once at a
  /// random gateway in rotation. All callers must be answered within the objective of 300 ms, of
  /// which an engine needs 200 ms.
  void callers_of_gateways_without_the_store_are_served_in_time() {
    constexpr std::uint64_t gateways = 29;
    constexpr std::uint64_t cut_off = 10;
    constexpr milliseconds outage{8'000};
    std::vector<gateway_state> fleet(gateways, test_state());
    std::vector<int> misses(gateways, 0);
    seeded_random random(5);
    int late = 0;
    for (milliseconds at{0}; at < outage; at += milliseconds{5}) {
      const steady_time now = test_start + at;
      confirm_connected(fleet, cut_off, now);
      if (at.count() % 1'000 == 0) {
        ask_readiness(fleet, misses, now);
      }
      const auto tried = next_below(random, gateways);
      if (misses[tried] < 2) {
        late += serves_late(fleet, misses, fleet[tried], now, random) ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, late);
  }

 private:
  /// Records a message of one peer per element, which is its `current` flag.
  static void receive_messages(gateway_state& state, const std::vector<bool>& current,
                               steady_time now) {
    for (std::size_t number = 0; number < current.size(); ++number) {
      peer_message message;
      message.sender = {"peer-" + std::to_string(number)};
      message.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
      message.current = current[number];
      record_peer_message(state.peers, message, now);
    }
  }

  static admission_result ask(const gateway_state& state, steady_time now) {
    seeded_random random(1);
    return admit(state, chat_request(1), random, now);
  }

  /// The first `cut_off` gateways have no connection to the store, the others do, and all
  /// receive each other's messages.
  static void confirm_connected(std::vector<gateway_state>& fleet, std::size_t cut_off,
                                steady_time now) {
    std::vector<bool> current;
    for (std::size_t number = 0; number < fleet.size(); ++number) {
      if (number >= cut_off) {
        fleet[number].confirmed_at = now;
      }
      current.push_back(is_current(fleet[number], now));
    }
    for (gateway_state& state : fleet) {
      receive_messages(state, current, now);
    }
  }

  static void ask_readiness(const std::vector<gateway_state>& fleet, std::vector<int>& misses,
                            steady_time now) {
    for (std::size_t number = 0; number < fleet.size(); ++number) {
      misses[number] = is_ready(fleet[number], now) ? 0 : misses[number] + 1;
    }
  }

  static bool serves_late(const std::vector<gateway_state>& fleet, const std::vector<int>& misses,
                          const gateway_state& first, steady_time now, random_source& random) {
    constexpr milliseconds objective{300};
    constexpr milliseconds engine_time{200};
    const auto result = admit(first, chat_request(1), random, now);
    const auto* refused = std::get_if<refusal>(&result);
    if (refused == nullptr) {
      return false;
    }
    if (refused->retry_after + engine_time > objective) {
      return true;
    }
    std::uint64_t next = 0;
    do {
      next = next_below(random, fleet.size());
    } while (misses[next] >= 2);
    return !std::holds_alternative<admission>(
        admit(fleet[next], chat_request(1), random, now + refused->retry_after));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(readiness_test);

}  // namespace chestnuthead::gateway
