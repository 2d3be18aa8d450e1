#include "Gateway/rollout.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/operator_orders.h"
#include "rollout_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

class rollout_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_test);
  CPPUNIT_TEST(pool_without_roll_outs_uses_all_its_endpoints);
  CPPUNIT_TEST(new_version_waits_until_the_orders_are_known);
  CPPUNIT_TEST(version_without_an_order_is_accepted);
  CPPUNIT_TEST(ordered_version_gets_no_settled_requests);
  CPPUNIT_TEST(outcome_decides_the_version);
  CPPUNIT_TEST(rejected_version_stays_excluded_during_the_next_roll_out);
  CPPUNIT_TEST(order_read_again_changes_nothing);
  CPPUNIT_TEST(order_repeated_in_a_new_era_is_the_same);
  CPPUNIT_TEST(order_given_again_after_its_end_is_new);
  CPPUNIT_TEST(outcome_survives_a_store_that_has_lost_it);
  CPPUNIT_TEST(missing_order_is_withdrawn_only_in_a_settled_era);
  CPPUNIT_TEST(endpoints_of_an_old_version_are_retired_at_completion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void pool_without_roll_outs_uses_all_its_endpoints() {
    gateway_state state = test_state(0);
    list_version(state, "one", "v1", test_start);
    CPPUNIT_ASSERT(may_use(state, "one"));
  }

  void new_version_waits_until_the_orders_are_known() {
    gateway_state state = test_state(0);
    list_version(state, "one", "v1", test_start);
    list_version(state, "two", "v2", test_start + seconds{1});
    accept_versions(state.rollouts, test_start + seconds{1});
    CPPUNIT_ASSERT(may_use(state, "one"));
    CPPUNIT_ASSERT(!may_use(state, "two"));
    // The order was written before the endpoint was started, but was read after it.
    apply_rollout_order(state.rollouts, test_order(), test_start, test_start);
    accept_versions(state.rollouts, test_start + seconds{2});
    CPPUNIT_ASSERT(!may_use(state, "two"));
  }

  void version_without_an_order_is_accepted() {
    gateway_state state = test_state(0);
    list_version(state, "one", "v1", test_start);
    list_version(state, "two", "v2", test_start + seconds{1});
    accept_versions(state.rollouts, test_start + milliseconds{1'001});
    CPPUNIT_ASSERT(may_use(state, "two"));
  }

  void ordered_version_gets_no_settled_requests() {
    gateway_state state = rollout_state();
    CPPUNIT_ASSERT(may_use(state, "old-0"));
    CPPUNIT_ASSERT(!may_use(state, "new-0"));
    const endpoint* tried = find_endpoint(state.endpoints, endpoint_id{"new-0"});
    CPPUNIT_ASSERT(in_scope(*tried, new_version_scope(test_order())));
  }

  void outcome_decides_the_version() {
    gateway_state state = rollout_state();
    apply(state, test_record(rollout_phase::in_progress), 20);
    CPPUNIT_ASSERT(is_in_progress(test_rollout(state)));
    apply(state, test_record(rollout_phase::completed), 21);
    CPPUNIT_ASSERT(!is_in_progress(test_rollout(state)));
    CPPUNIT_ASSERT(may_use(state, "new-0"));
    CPPUNIT_ASSERT(!may_use(state, "old-0"));
    gateway_state other = rollout_state();
    apply(other, test_record(rollout_phase::rolled_back), 21);
    CPPUNIT_ASSERT(!may_use(other, "new-0"));
    CPPUNIT_ASSERT(may_use(other, "old-0"));
  }

  void rejected_version_stays_excluded_during_the_next_roll_out() {
    gateway_state state = rollout_state();
    rollout_record rejected = test_record(rollout_phase::rolled_back);
    rejected.excluded = {"v2"};
    apply(state, rejected, 21);
    apply_rollout_order(state.rollouts, {engine_pool, "v3", test_rollout_duration, {30, 1}},
                        test_start + seconds{30}, test_start + seconds{30});
    accept_versions(state.rollouts, test_start + seconds{40});
    CPPUNIT_ASSERT(is_in_progress(test_rollout(state)));
    CPPUNIT_ASSERT(!may_use(state, "new-0"));
    CPPUNIT_ASSERT(may_use(state, "old-0"));
  }

  void order_read_again_changes_nothing() {
    gateway_state state = rollout_state();
    test_rollout(state).sends = 5;
    CPPUNIT_ASSERT(!apply_rollout_order(state.rollouts, test_order(), test_start + seconds{9},
                                        test_start + seconds{9}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, test_rollout(state).sends);
    CPPUNIT_ASSERT(deadline_of(test_rollout(state)) == test_start + test_rollout_duration);
  }

  void order_repeated_in_a_new_era_is_the_same() {
    gateway_state state = rollout_state();
    apply(state, test_record(rollout_phase::rolled_back), 21);
    rollout_order repeated = test_order();
    repeated.id = {9, 2};
    CPPUNIT_ASSERT(!apply_rollout_order(state.rollouts, repeated, test_start + seconds{9},
                                        test_start + seconds{9}));
    CPPUNIT_ASSERT(!is_in_progress(test_rollout(state)));
  }

  void order_given_again_after_its_end_is_new() {
    gateway_state state = rollout_state();
    apply(state, test_record(rollout_phase::rolled_back), 21);
    rollout_order again = test_order();
    again.id.row_version = 40;
    CPPUNIT_ASSERT(apply_rollout_order(state.rollouts, again, test_start + seconds{30},
                                       test_start + seconds{30}));
    CPPUNIT_ASSERT(is_in_progress(test_rollout(state)));
  }

  void outcome_survives_a_store_that_has_lost_it() {
    gateway_state state = rollout_state();
    apply(state, test_record(rollout_phase::completed), 21);
    begin_rollout_era(state.rollouts);
    CPPUNIT_ASSERT(test_rollout(state).record_unconfirmed);
    // The restored copy contains the record as it was before the outcome.
    apply(state, test_record(rollout_phase::in_progress), 18);
    CPPUNIT_ASSERT(test_rollout(state).record->phase == rollout_phase::completed);
    CPPUNIT_ASSERT(test_rollout(state).record_unconfirmed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{18}, test_rollout(state).record_version);
    apply(state, test_record(rollout_phase::completed), 25);
    CPPUNIT_ASSERT(!test_rollout(state).record_unconfirmed);
  }

  void missing_order_is_withdrawn_only_in_a_settled_era() {
    gateway_state state = rollout_state();
    store_orders whole;
    whole.whole = true;
    whole.as_of = test_start + milliseconds{100};
    record_era(state.eras, 1, test_start - seconds{60});
    record_era(state.eras, 2, test_start);
    apply_orders(state, whole, test_start + milliseconds{100});
    CPPUNIT_ASSERT(test_rollout(state).order.has_value());
    whole.as_of = test_start + seconds{10};
    apply_orders(state, whole, test_start + seconds{10});
    CPPUNIT_ASSERT(!test_rollout(state).order.has_value());
  }

  void endpoints_of_an_old_version_are_retired_at_completion() {
    gateway_state state = rollout_state();
    const endpoint* stopped = find_endpoint(state.endpoints, endpoint_id{"old-0"});
    CPPUNIT_ASSERT(!is_retired(state.rollouts, *stopped));
    apply(state, test_record(rollout_phase::completed), 21);
    CPPUNIT_ASSERT(is_retired(state.rollouts, *stopped));
  }

 private:
  static bool may_use(gateway_state& state, const std::string& name) {
    const endpoint* row = find_endpoint(state.endpoints, endpoint_id{name});
    return in_scope(*row, settled_scope(state.rollouts, engine_pool));
  }

  static void apply(gateway_state& state, const rollout_record& record, std::uint64_t version) {
    apply_rollout_record(state.rollouts, engine_pool, record, version, test_start, test_start);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_test);

}  // namespace chestnuthead::gateway
