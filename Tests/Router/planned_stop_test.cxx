#include <cppunit/extensions/HelperMacros.h>

#include "Router/router_fixture.h"
#include "Router/service.h"

namespace chestnuthead {

class planned_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(planned_stop_test);
  CPPUNIT_TEST(ready_only_with_configuration_and_endpoints);
  CPPUNIT_TEST(the_drain_serves_what_the_balancer_still_sends);
  CPPUNIT_TEST(without_the_drain_grace_late_arrivals_are_refused);
  CPPUNIT_TEST(the_last_answer_ends_before_the_router_stops);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ready_only_with_configuration_and_endpoints() {
    router_fixture router(4);
    CPPUNIT_ASSERT(last_of<router_set_ready>(router.log).ready);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of<router_set_ready>(router.log).size());

    seeded_random random(1);
    const auto fresh = make_router_state({{"router-2"}, {"d0"}, {"region"}}, random);
    const auto actions = step(*fresh, router_vm_list_replied{router.vms}, router.now);
    CPPUNIT_ASSERT(all_of<router_set_ready>(actions).empty());
  }

  void the_drain_serves_what_the_balancer_still_sends() {
    router_fixture router(4);
    const auto actions = router.handle_event(router_stop_requested{});
    CPPUNIT_ASSERT(!last_of<router_set_ready>(actions).ready);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of<send_attempt>(router.send_request("r1")).size());
    router.advance_clock(routing::drain_grace);
    CPPUNIT_ASSERT(error_kind::stopping == last_of<answer_error>(router.send_request("r2")).kind);
  }

  void without_the_drain_grace_late_arrivals_are_refused() {
    router_fixture router(4);
    router.state->switches.serve_while_draining = false;
    router.handle_event(router_stop_requested{});
    CPPUNIT_ASSERT(error_kind::stopping == last_of<answer_error>(router.send_request("r1")).kind);
  }

  void the_last_answer_ends_before_the_router_stops() {
    router_fixture router(4);
    const auto sent = last_of<send_attempt>(router.send_request("r1"));
    router.accept(sent);
    router.handle_event(router_stop_requested{});
    auto actions = router.advance_clock(2 * routing::drain_grace);
    CPPUNIT_ASSERT(all_of<router_stop_now>(actions).empty());
    actions = router.end(sent, attempt_outcome::complete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of<finish_answer>(actions).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_of<router_stop_now>(actions).size());
    CPPUNIT_ASSERT(all_of<router_stop_now>(router.advance_clock(routing::drain_grace)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

}  // namespace chestnuthead
