#include "Gateway/rollout_decision.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/peer_message.h"
#include "rollout_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

class rollout_decision_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_decision_test);
  CPPUNIT_TEST(order_begins_with_a_record);
  CPPUNIT_TEST(good_version_is_completed_before_the_deadline);
  CPPUNIT_TEST(bad_version_is_rolled_back_at_once);
  CPPUNIT_TEST(evidence_of_all_gateways_counts);
  CPPUNIT_TEST(evidence_of_a_restarted_peer_is_kept);
  CPPUNIT_TEST(peers_finding_stops_the_trial);
  CPPUNIT_TEST(doubtful_version_is_not_completed);
  CPPUNIT_TEST(version_without_endpoints_is_rolled_back_at_the_end);
  CPPUNIT_TEST(too_few_endpoints_are_not_enough);
  CPPUNIT_TEST(untried_version_is_rolled_back_if_there_is_traffic);
  CPPUNIT_TEST(idle_pool_is_completed);
  CPPUNIT_TEST(version_in_use_is_completed_at_once);
  CPPUNIT_TEST(new_version_alone_is_not_in_use);
  CPPUNIT_TEST(replaced_order_excludes_its_version);
  CPPUNIT_TEST(withdrawn_order_is_rolled_back);
  CPPUNIT_TEST(gateways_take_turns);
  CPPUNIT_TEST(nothing_is_decided_in_an_unsettled_era);
  CPPUNIT_TEST(lost_outcome_is_written_again);
  CPPUNIT_TEST(outcome_excludes_the_other_versions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void order_begins_with_a_record() {
    gateway_state state = rollout_state();
    const auto step = due_step(state, at(milliseconds{100}));
    CPPUNIT_ASSERT(step.has_value());
    CPPUNIT_ASSERT(step->record.phase == rollout_phase::in_progress);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, step->expected_version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, step->order_version);
    // By the store's clock, which is an hour behind in this test.
    CPPUNIT_ASSERT(step->record.begun_at == milliseconds{0});
  }

  void good_version_is_completed_before_the_deadline() {
    gateway_state state = begun_state();
    add_good_results(state);
    CPPUNIT_ASSERT(!due_step(state, at(seconds{19})).has_value());
    const auto step = due_step(state, at(milliseconds{19'650}));
    CPPUNIT_ASSERT(step.has_value());
    CPPUNIT_ASSERT(step->record.phase == rollout_phase::completed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, step->expected_version);
  }

  void bad_version_is_rolled_back_at_once() {
    gateway_state state = begun_state();
    add_good_results(state);
    add_results(test_rollout(state).evidence, {1, 100}, 10, 8, milliseconds{20});
    add_results(test_rollout(state).evidence, {1, 101}, 10, 8, milliseconds{20});
    CPPUNIT_ASSERT(evaluate_rollout(test_rollout(state), test_start + seconds{3}));
    const auto step = due_step(state, at(seconds{3}));
    CPPUNIT_ASSERT(step.has_value());
    CPPUNIT_ASSERT(step->record.phase == rollout_phase::rolled_back);
    CPPUNIT_ASSERT(!step->record.reason.empty());
  }

  void evidence_of_all_gateways_counts() {
    gateway_state state = begun_state();
    for (int peer = 0; peer < 10; ++peer) {
      peer_message message;
      message.sender = node_id{"peer-" + std::to_string(peer)};
      message.start = 1;
      message.sequence = 1;
      rollout_report report{test_order(), false, {}, {}};
      add_results(report.evidence, {1, 0}, 40, 0, milliseconds{20});
      add_results(report.evidence, {1, 100}, 2, 1, milliseconds{20});
      add_results(report.evidence, {1, 101}, 2, 1, milliseconds{20});
      message.rollouts = {report};
      CPPUNIT_ASSERT(apply_peer_message(state, message, test_start + seconds{1}));
    }
    CPPUNIT_ASSERT(evaluate_rollout(test_rollout(state), test_start + seconds{1}));
  }

  void evidence_of_a_restarted_peer_is_kept() {
    gateway_state state = begun_state();
    const node_id peer{"peer"};
    rollout_report report{test_order(), false, {}, {}};
    add_results(report.evidence, {1, 100}, 10, 1, milliseconds{20});
    apply_rollout_report(state.rollouts, peer, report);
    apply_rollout_report(state.rollouts, peer, report);
    add_results(report.evidence, {1, 100}, 5, 0, milliseconds{20});
    apply_rollout_report(state.rollouts, peer, report);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{15}, answers_at_peers(state));
    report.evidence.clear();
    add_results(report.evidence, {1, 100}, 4, 0, milliseconds{20});
    apply_rollout_report(state.rollouts, peer, report);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{19}, answers_at_peers(state));
  }

  void peers_finding_stops_the_trial() {
    gateway_state state = begun_state();
    rollout_report other{test_order("v3"), true, {}, {}};
    CPPUNIT_ASSERT(!apply_rollout_report(state.rollouts, node_id{"peer"}, other));
    CPPUNIT_ASSERT(apply_rollout_report(state.rollouts, node_id{"peer"},
                                        {test_order(), true, "failures", {}}));
    CPPUNIT_ASSERT(test_rollout(state).found_bad);
  }

  void doubtful_version_is_not_completed() {
    gateway_state state = begun_state();
    add_results(test_rollout(state).evidence, {1, 0}, 400, 4, milliseconds{20});
    add_results(test_rollout(state).evidence, {1, 100}, 30, 5, milliseconds{20});
    add_results(test_rollout(state).evidence, {1, 101}, 30, 5, milliseconds{20});
    CPPUNIT_ASSERT(!evaluate_rollout(test_rollout(state), test_start + seconds{18}));
    CPPUNIT_ASSERT(phase_at_end(state) == rollout_phase::rolled_back);
  }

  void version_without_endpoints_is_rolled_back_at_the_end() {
    gateway_state state = begun_state();
    for (endpoint* row : endpoints_of(state.endpoints, engine_pool)) {
      row->listed = row->listing.version == "v1";
    }
    CPPUNIT_ASSERT(!due_step(state, at(seconds{10})).has_value());
    CPPUNIT_ASSERT(phase_at_end(state) == rollout_phase::rolled_back);
  }

  void too_few_endpoints_are_not_enough() {
    gateway_state state = begun_state();
    add_good_results(state);
    for (endpoint* row : endpoints_of(state.endpoints, engine_pool)) {
      row->listed = row->listing.version == "v1" || row->listing.name.value == "new-0";
    }
    CPPUNIT_ASSERT(phase_at_end(state) == rollout_phase::rolled_back);
  }

  void untried_version_is_rolled_back_if_there_is_traffic() {
    gateway_state state = begun_state();
    add_results(test_rollout(state).evidence, {1, 0}, 400, 4, milliseconds{20});
    CPPUNIT_ASSERT(phase_at_end(state) == rollout_phase::rolled_back);
  }

  void idle_pool_is_completed() {
    gateway_state state = begun_state();
    CPPUNIT_ASSERT(phase_at_end(state) == rollout_phase::completed);
  }

  void version_in_use_is_completed_at_once() {
    gateway_state state = test_state(0);
    state.self = node_id{"gateway-1"};
    state.rollouts.records_known = true;
    list_version(state, "one", "v1", test_start);
    apply_rollout_order(state.rollouts, test_order("v1"), test_start + seconds{1},
                        test_start + seconds{1});
    const auto step = due_step(state, at(seconds{1}));
    CPPUNIT_ASSERT(step.has_value());
    CPPUNIT_ASSERT(step->record.phase == rollout_phase::completed);
  }

  void new_version_alone_is_not_in_use() {
    gateway_state state = begun_state();
    test_rollout(state).record.reset();
    for (endpoint* row : endpoints_of(state.endpoints, engine_pool)) {
      row->listed = row->listing.version == "v2";
    }
    const auto step = due_step(state, at(seconds{1}));
    CPPUNIT_ASSERT(step->record.phase == rollout_phase::in_progress);
  }

  void replaced_order_excludes_its_version() {
    gateway_state state = begun_state();
    apply_rollout_order(state.rollouts, {engine_pool, "v3", seconds{20}, {30, 1}},
                        test_start + seconds{5}, test_start + seconds{5});
    const endpoint* tried = find_endpoint(state.endpoints, endpoint_id{"new-0"});
    CPPUNIT_ASSERT(!in_scope(*tried, settled_scope(state.rollouts, engine_pool)));
    const auto step = due_step(state, at(seconds{5}));
    CPPUNIT_ASSERT_EQUAL(std::string("v3"), step->record.to);
    CPPUNIT_ASSERT(step->record.excluded == std::vector<std::string>{"v2"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, step->expected_version);
  }

  void withdrawn_order_is_rolled_back() {
    gateway_state state = begun_state();
    remove_rollout_order(state.rollouts, engine_pool);
    // The record may have been read before the order.
    CPPUNIT_ASSERT(!due_step(state, at(seconds{5})).has_value());
    state.orders_as_of = test_start + seconds{5};
    const auto step = due_step(state, at(seconds{5}));
    CPPUNIT_ASSERT(step->record.phase == rollout_phase::rolled_back);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, step->order_version);
  }

  void gateways_take_turns() {
    int at_once = 0;
    int in_turn = 0;
    for (int own = 0; own < 6; ++own) {
      gateway_state state = rollout_state();
      state.self = node_id{"gateway-" + std::to_string(own)};
      for (int peer = 0; peer < 6; ++peer) {
        peer_message message;
        message.sender = node_id{"gateway-" + std::to_string(peer)};
        message.start = 1;
        message.sequence = 1;
        if (message.sender != state.self) {
          record_peer_message(state.peers, message, test_start);
        }
      }
      at_once += due_step(state, at(milliseconds{10})).has_value() ? 1 : 0;
      in_turn += due_step(state, at(milliseconds{700})).has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, at_once);
    CPPUNIT_ASSERT(in_turn >= 5);
  }

  void nothing_is_decided_in_an_unsettled_era() {
    gateway_state state = begun_state();
    add_good_results(state);
    record_era(state.eras, 1, test_start);
    record_era(state.eras, 2, test_start + seconds{19});
    CPPUNIT_ASSERT(!due_step(state, at(milliseconds{19'650})).has_value());
    CPPUNIT_ASSERT(due_step(state, at(seconds{30})).has_value());
  }

  void lost_outcome_is_written_again() {
    gateway_state state = begun_state();
    apply_rollout_record(state.rollouts, engine_pool, test_record(rollout_phase::completed), 21,
                         test_start, test_start);
    record_era(state.eras, 1, test_start);
    record_era(state.eras, 2, test_start + seconds{5});
    begin_rollout_era(state.rollouts);
    rollout_moment moment = at(seconds{5});
    moment.records_read_in_era = false;
    CPPUNIT_ASSERT(!due_step(state, moment).has_value());
    const auto step = due_step(state, at(seconds{6}));
    CPPUNIT_ASSERT(step->record.phase == rollout_phase::completed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, step->expected_version);
  }

  void outcome_excludes_the_other_versions() {
    gateway_state state = begun_state();
    add_good_results(state);
    const auto step = due_step(state, at(milliseconds{19'650}));
    CPPUNIT_ASSERT(step->record.excluded == std::vector<std::string>{"v1"});
  }

 private:
  static rollout_moment at(milliseconds elapsed) {
    return {test_start + elapsed, test_start.time_since_epoch(), true};
  }

  static std::uint32_t answers_at_peers(gateway_state& state) {
    return test_rollout(state).peers_total[{1, 100}].answers;
  }

  static gateway_state begun_state() {
    gateway_state state = rollout_state();
    apply_rollout_record(state.rollouts, engine_pool, test_record(rollout_phase::in_progress), 20,
                         test_start, test_start);
    return state;
  }

  static void add_good_results(gateway_state& state) {
    evidence_counts& counts = test_rollout(state).evidence;
    add_results(counts, {1, 0}, 400, 4, milliseconds{20});
    add_results(counts, {1, 100}, 20, 0, milliseconds{20});
    add_results(counts, {1, 101}, 20, 0, milliseconds{20});
  }

  static rollout_phase phase_at_end(gateway_state& state) {
    evaluate_rollout(test_rollout(state), test_start + milliseconds{19'650});
    const auto step = due_step(state, at(milliseconds{19'650}));
    return step ? step->record.phase : rollout_phase::in_progress;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_decision_test);

}  // namespace chestnuthead::gateway
