#include "Gateway/endpoint_health.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

class endpoint_health_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_health_test);
  CPPUNIT_TEST(an_unreachable_endpoint_is_out_until_its_check);
  CPPUNIT_TEST(an_endpoint_that_fails_more_than_its_pool_is_ejected);
  CPPUNIT_TEST(an_endpoint_that_fails_like_its_pool_is_kept);
  CPPUNIT_TEST(slow_answers_alone_do_not_empty_a_pool);
  CPPUNIT_TEST(one_broken_answer_is_tolerated);
  CPPUNIT_TEST(the_ejection_time_grows_and_resets);
  CPPUNIT_TEST(requests_that_fail_together_eject_once);
  CPPUNIT_TEST(a_peers_loss_report_requires_a_check);
  CPPUNIT_TEST(a_loss_report_is_ignored_right_after_a_good_answer);
  CPPUNIT_TEST(a_long_wait_requires_a_check);
  CPPUNIT_TEST(long_waits_across_the_pool_are_load);
  CPPUNIT_TEST(a_new_incarnation_resets_the_endpoint);
  CPPUNIT_TEST(an_expired_entry_counts_during_its_grace_period);
  CPPUNIT_TEST(a_leaving_endpoint_has_no_grace_period);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_unreachable_endpoint_is_out_until_its_check() {
    endpoint row = made();
    note_result(row, attempt_result::unreachable, 0.0, test_start);
    CPPUNIT_ASSERT(is_ejected(row, test_start));
    CPPUNIT_ASSERT(!check_due(row, test_start));
    const steady_time later = test_start + min_ejection_time;
    CPPUNIT_ASSERT(check_due(row, later));
    CPPUNIT_ASSERT(is_ejected(row, later));
    note_healthy(row, later);
    CPPUNIT_ASSERT(!is_ejected(row, later));
  }

  void an_endpoint_that_fails_more_than_its_pool_is_ejected() {
    endpoint row = made();
    fail(row, 8, 0.05);
    CPPUNIT_ASSERT(is_ejected(row, test_start));
    // Its health checks succeed anyway, so none is required.
    CPPUNIT_ASSERT(!row.record.needs_check);
  }

  void an_endpoint_that_fails_like_its_pool_is_kept() {
    endpoint row = made();
    fail(row, 8, 0.9);
    CPPUNIT_ASSERT(!is_ejected(row, test_start));
  }

  /// All endpoints of an overloaded plain service answer late, which must not eject the whole
  /// pool.
  void slow_answers_alone_do_not_empty_a_pool() {
    endpoint row = made();
    note_result(row, attempt_result::slow, 0.0, test_start);
    CPPUNIT_ASSERT(!is_ejected(row, test_start));
    for (int number = 0; number < 8; ++number) {
      note_result(row, attempt_result::slow, 0.9, test_start);
    }
    CPPUNIT_ASSERT(!is_ejected(row, test_start));
    endpoint slower = made();
    for (int number = 0; number < 8; ++number) {
      note_result(slower, attempt_result::slow, 0.05, test_start);
    }
    CPPUNIT_ASSERT(is_ejected(slower, test_start));
    CPPUNIT_ASSERT(!slower.record.needs_check);
  }

  void one_broken_answer_is_tolerated() {
    endpoint row = made();
    note_result(row, attempt_result::broken, 0.0, test_start);
    CPPUNIT_ASSERT(!is_ejected(row, test_start));
    note_result(row, attempt_result::answered, 0.0, test_start);
    note_result(row, attempt_result::broken, 0.0, test_start);
    CPPUNIT_ASSERT(!is_ejected(row, test_start));
  }

  void the_ejection_time_grows_and_resets() {
    endpoint row = made();
    steady_time now = test_start;
    milliseconds before{0};
    for (int round = 0; round < 10; ++round) {
      note_unhealthy(row, now);
      const auto ejection_time =
          std::chrono::duration_cast<milliseconds>(row.record.ejected_until - now);
      CPPUNIT_ASSERT(ejection_time >= before);
      CPPUNIT_ASSERT(ejection_time <= max_ejection_time);
      before = ejection_time;
      now = row.record.ejected_until;
    }
    CPPUNIT_ASSERT(before == max_ejection_time);
  }

  void requests_that_fail_together_eject_once() {
    endpoint row = made();
    for (int count = 0; count < 6; ++count) {
      note_result(row, attempt_result::silent, 0.0, test_start + milliseconds{count * 10});
    }
    CPPUNIT_ASSERT(check_due(row, test_start + min_ejection_time));
    note_unhealthy(row, test_start + min_ejection_time);
    CPPUNIT_ASSERT(!check_due(row, test_start + 2 * min_ejection_time));
    CPPUNIT_ASSERT(check_due(row, test_start + 3 * min_ejection_time));
  }

  void a_peers_loss_report_requires_a_check() {
    endpoint row = made();
    note_loss_report(row, test_start);
    CPPUNIT_ASSERT(is_ejected(row, test_start));
    CPPUNIT_ASSERT(check_due(row, test_start));
  }

  void a_loss_report_is_ignored_right_after_a_good_answer() {
    endpoint row = made();
    note_result(row, attempt_result::answered, 0.0, test_start);
    note_loss_report(row, test_start + loss_report_immunity - milliseconds{1});
    CPPUNIT_ASSERT(!check_due(row, test_start + loss_report_immunity));
    note_loss_report(row, test_start + loss_report_immunity);
    CPPUNIT_ASSERT(check_due(row, test_start + loss_report_immunity));
    note_healthy(row, test_start + loss_report_immunity);
    note_loss_report(row, test_start + loss_report_immunity);
    CPPUNIT_ASSERT(!is_ejected(row, test_start + loss_report_immunity));
  }

  void a_long_wait_requires_a_check() {
    gateway_state state = test_state(8);
    const auto& pool = endpoints_of(state.endpoints, engine_pool);
    note_long_wait(*pool[0], pool, test_start);
    CPPUNIT_ASSERT(check_due(*pool[0], test_start));
  }

  void long_waits_across_the_pool_are_load() {
    gateway_state state = test_state(8);
    const auto& pool = endpoints_of(state.endpoints, engine_pool);
    int doubted = 0;
    for (endpoint* row : pool) {
      note_long_wait(*row, pool, test_start);
      doubted += is_ejected(*row, test_start) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, doubted);
  }

  void a_new_incarnation_resets_the_endpoint() {
    endpoint_table table;
    endpoint_listing listing = listing_of("engine", engine_pool);
    list_endpoint(table, listing, test_start);
    endpoint* row = find_endpoint(table, listing.name);
    note_result(*row, attempt_result::unreachable, 0.0, test_start);
    row->in_flight = 3;
    list_endpoint(table, listing, test_start);
    CPPUNIT_ASSERT(is_ejected(*row, test_start));
    listing.started = 2;
    listing.cold_for = std::chrono::seconds{3};
    list_endpoint(table, listing, test_start);
    CPPUNIT_ASSERT(!is_ejected(*row, test_start));
    CPPUNIT_ASSERT(is_cold(*row, test_start));
    // Calls to the earlier incarnation are counted until they end.
    CPPUNIT_ASSERT_EQUAL(3U, row->in_flight);
  }

  void an_expired_entry_counts_during_its_grace_period() {
    endpoint_table table;
    const endpoint_listing listing = listing_of("engine", engine_pool);
    list_endpoint(table, listing, test_start);
    const steady_time gone_at = test_start + missing_grace;
    unlist_endpoint(table, listing.name, gone_at, test_start);
    CPPUNIT_ASSERT(in_service(table.rows.begin()->second, fleet_view{}, test_start));
    list_endpoint(table, listing, test_start);
    expire_missing(table, gone_at);
    CPPUNIT_ASSERT(in_service(table.rows.begin()->second, fleet_view{}, gone_at));
    unlist_endpoint(table, listing.name, gone_at, test_start);
    expire_missing(table, gone_at);
    CPPUNIT_ASSERT(!in_service(table.rows.begin()->second, fleet_view{}, gone_at));
  }

  void a_leaving_endpoint_has_no_grace_period() {
    endpoint_table table;
    endpoint_listing listing = listing_of("engine", engine_pool);
    listing.leaving = true;
    list_endpoint(table, listing, test_start);
    unlist_endpoint(table, listing.name, test_start + missing_grace, test_start);
    CPPUNIT_ASSERT(!table.rows.begin()->second.listed);
  }

 private:
  static endpoint made() {
    endpoint row;
    row.listing = listing_of("engine", engine_pool);
    return row;
  }

  static void fail(endpoint& row, int times, double peers_failing) {
    for (int time = 0; time < times; ++time) {
      note_result(row, attempt_result::error_answer, peers_failing, test_start);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_health_test);

}  // namespace chestnuthead::gateway
