#include "Gateway/rollout_schedule.h"

#include <map>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "rollout_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

class rollout_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_schedule_test);
  CPPUNIT_TEST(exposure_holds_at_each_moment);
  CPPUNIT_TEST(trial_uses_a_few_endpoints_at_their_share_of_the_load);
  CPPUNIT_TEST(small_pool_is_tried_in_pulses);
  CPPUNIT_TEST(requests_that_run_once_are_tried_later);
  CPPUNIT_TEST(requests_shift_before_the_outcome);
  CPPUNIT_TEST(bad_version_gets_nothing);
  CPPUNIT_TEST(nothing_is_sent_before_the_records_are_known);
  CPPUNIT_TEST(trial_takes_all_requests_of_a_prefix);
  CPPUNIT_TEST(rare_route_gets_a_larger_part_of_the_trial);
  CPPUNIT_TEST_SUITE_END();

 public:
  void exposure_holds_at_each_moment() {
    for (const int rate : {1, 7, 40, 300}) {
      gateway_state state = rollout_state();
      play(state, chat_route(), rate, test_rollout_duration);
      const rollout& row = test_rollout(state);
      const double allowed = 0.1 * static_cast<double>(row.sends) + 50.0 / gateways;
      CPPUNIT_ASSERT(static_cast<double>(row.sends_to_new) <= allowed);
    }
  }

  void trial_uses_a_few_endpoints_at_their_share_of_the_load() {
    gateway_state state = rollout_state(56);
    const played seen = play(state, chat_route(), 500, seconds{10});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, seen.shifted);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(seen.endpoints.size()),
                           seen.endpoints.size() >= 3 && seen.endpoints.size() <= 5);
    const double old_load = static_cast<double>(seen.sends - seen.to_new) / 56.0;
    const double new_load =
        static_cast<double>(seen.to_new) / static_cast<double>(seen.endpoints.size());
    CPPUNIT_ASSERT(new_load > 0.5 * old_load && new_load < 1.5 * old_load);
  }

  void small_pool_is_tried_in_pulses() {
    gateway_state state = rollout_state(4);
    // The new endpoints at full load would get all requests.
    play(state, chat_route(), 200, seconds{8});
    const rollout& row = test_rollout(state);
    CPPUNIT_ASSERT(row.sends_to_new > 20);
    CPPUNIT_ASSERT(static_cast<double>(row.sends_to_new) <
                   0.1 * static_cast<double>(row.sends) + 50.0 / gateways);
    std::uint64_t in_pulse = 0;
    constexpr int tries = 1'000;
    for (int number = 0; number < tries; ++number) {
      in_pulse +=
          choose(state, chat_route(), test_start + seconds{10}).choice == version_choice::trial;
    }
    CPPUNIT_ASSERT(in_pulse > tries / 3);
    CPPUNIT_ASSERT(choose(state, chat_route(), test_start + milliseconds{11'700}).choice ==
                   version_choice::settled);
  }

  void requests_that_run_once_are_tried_later() {
    gateway_state state = rollout_state();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, play(state, once_route(), 100, seconds{2}).to_new);
    const played later = play(state, once_route(), 100, seconds{15}, seconds{9});
    CPPUNIT_ASSERT(later.to_new > 0);
    // Good answers to other requests let them in earlier.
    gateway_state tried = rollout_state();
    add_results(test_rollout(tried).total, {1, 100}, 30, 0, milliseconds{20});
    CPPUNIT_ASSERT(play(tried, once_route(), 100, seconds{7}, seconds{4}).to_new > 0);
  }

  void requests_shift_before_the_outcome() {
    gateway_state state = rollout_state();
    const played before = play(state, chat_route(), 100, seconds{18});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, before.shifted);
    const played last = play(state, chat_route(), 100, test_rollout_duration - outcome_lead,
                             test_rollout_duration - outcome_lead - milliseconds{400});
    CPPUNIT_ASSERT(last.shifted * 2 > last.sends);
  }

  void bad_version_gets_nothing() {
    gateway_state state = rollout_state();
    test_rollout(state).found_bad = true;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         play(state, chat_route(), 100, test_rollout_duration).to_new);
  }

  void nothing_is_sent_before_the_records_are_known() {
    gateway_state state = rollout_state();
    state.rollouts.records_known = false;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         play(state, chat_route(), 100, test_rollout_duration).to_new);
  }

  void trial_takes_all_requests_of_a_prefix() {
    gateway_state state = rollout_state(56);
    constexpr std::uint64_t prefixes = 200;
    constexpr int requests = 5;
    std::uint64_t tried = 0;
    for (int number = 0; number < 4'000; ++number) {
      this->send(state, chat_route(), test_start + milliseconds{number * 2});
    }
    for (this->prefix = 1; this->prefix <= prefixes; ++this->prefix) {
      int in_trial = 0;
      for (int number = 0; number < requests; ++number) {
        in_trial += this->choose(state, chat_route(), test_start + seconds{8}).choice ==
                            version_choice::trial
                        ? 1
                        : 0;
      }
      CPPUNIT_ASSERT(in_trial == 0 || in_trial == requests);
      tried += in_trial == requests ? 1 : 0;
    }
    CPPUNIT_ASSERT(tried > 0 && tried < prefixes / 5);
  }

  void rare_route_gets_a_larger_part_of_the_trial() {
    gateway_state state = rollout_state();
    route rare = chat_route();
    rare.name = "rare";
    std::uint64_t rare_sends = 0;
    std::uint64_t rare_to_new = 0;
    std::uint64_t sends = 0;
    std::uint64_t to_new = 0;
    for (int number = 0; number < 4'000; ++number) {
      const steady_time now = test_start + milliseconds{number * 4};
      const bool is_rare = number % 20 == 0;
      const bool tried = send(state, is_rare ? rare : chat_route(), now).is_new;
      (is_rare ? rare_sends : sends) += 1;
      (is_rare ? rare_to_new : to_new) += tried ? 1 : 0;
    }
    CPPUNIT_ASSERT(static_cast<double>(rare_to_new) / static_cast<double>(rare_sends) >
                   2.0 * static_cast<double>(to_new) / static_cast<double>(sends));
  }

 private:
  struct played {
    std::uint64_t sends = 0;
    std::uint64_t to_new = 0;
    std::uint64_t shifted = 0;
    std::map<std::uint64_t, std::uint64_t> endpoints;
  };
  struct sent {
    bool is_new = false;
    version_choice choice = version_choice::settled;
    std::uint64_t endpoint = 0;
  };

  static route once_route() {
    route once = chat_route();
    once.name = "once";
    once.executions = execution_limit::at_most_once;
    once.resumable = false;
    once.streams = false;
    return once;
  }

  chosen_scope choose(gateway_state& state, const route& route, steady_time now) {
    return choose_scope(
        state.rollouts,
        {endpoints_of(state.endpoints, engine_pool), this->target, route, this->prefix, gateways},
        terms, this->random, now);
  }

  sent send(gateway_state& state, const route& route, steady_time now) {
    const chosen_scope chosen = this->choose(state, route, now);
    std::vector<endpoint*> fitting;
    for (endpoint* row : endpoints_of(state.endpoints, engine_pool)) {
      if (in_scope(*row, chosen.scope)) {
        fitting.push_back(row);
      }
    }
    const endpoint& row = *fitting[next_below(this->random, fitting.size())];
    count_send(state.rollouts, row, route, now);
    return {row.listing.version == "v2", chosen.choice, row.hash};
  }

  /// Sends requests of one route at a constant rate.
  played play(gateway_state& state, const route& route, int rate, milliseconds until,
              milliseconds from = milliseconds{0}) {
    played seen;
    const double interval = 1'000.0 / rate;
    for (double at = static_cast<double>(from.count()); at < static_cast<double>(until.count());
         at += interval) {
      const sent one =
          this->send(state, route, test_start + milliseconds{static_cast<std::int64_t>(at)});
      ++seen.sends;
      seen.to_new += one.is_new ? 1 : 0;
      seen.shifted += one.choice == version_choice::shift ? 1 : 0;
      if (one.is_new) {
        ++seen.endpoints[one.endpoint];
      }
    }
    return seen;
  }

  static constexpr rollout_terms terms{0.1, 50.0};
  static constexpr std::uint32_t gateways = 8;
  seeded_random random{7};
  const pool target = engine_pool_settings();
  /// Prefix of the requests; 0 if they have none.
  std::uint64_t prefix = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_schedule_test);

}  // namespace chestnuthead::gateway
