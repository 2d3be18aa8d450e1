#include "Router/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Router/router_fixture.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using std::chrono::seconds;

class placement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(placement_test);
  CPPUNIT_TEST(routers_choose_the_same_endpoint_without_communication);
  CPPUNIT_TEST(a_returning_chat_is_first_sent_on_condition_of_a_resident_prefix);
  CPPUNIT_TEST(the_holder_is_found_after_its_domain_was_out);
  CPPUNIT_TEST(a_new_chat_goes_to_the_less_loaded_of_two_choices);
  CPPUNIT_TEST(unanswered_probes_fall_back_to_the_first_choice);
  CPPUNIT_TEST(a_moved_chat_is_sent_to_its_last_endpoint);
  CPPUNIT_TEST(a_domain_that_was_taken_out_gets_no_attempt);
  CPPUNIT_TEST(without_the_check_the_invariant_breaks);
  CPPUNIT_TEST(an_agent_back_in_service_gets_attempts_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  void routers_choose_the_same_endpoint_without_communication() {
    router_fixture one(12, 1);
    router_fixture other(12, 2);
    for (int number = 0; number < 50; ++number) {
      const std::string name = std::to_string(number);
      CPPUNIT_ASSERT(last_of<send_attempt>(one.send_request("r" + name, "c" + name)).agent ==
                     last_of<send_attempt>(other.send_request("s" + name, "c" + name)).agent);
    }
  }

  void a_returning_chat_is_first_sent_on_condition_of_a_resident_prefix() {
    router_fixture router(12);
    const auto first = last_of<send_attempt>(router.send_request("r1", "chat"));
    CPPUNIT_ASSERT(first.terms.only_if_resident);
    auto actions = router.refuse(first, refusal_kind::not_resident);
    const auto probes = all_of<send_probe>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, probes.size());
    for (const send_probe& probe : probes) {
      CPPUNIT_ASSERT(probe.agent != first.agent);
      actions = router.handle_event(probe_answered{{"r1"}, probe.agent, load_with(0)});
    }
    const auto second = last_of<send_attempt>(actions);
    CPPUNIT_ASSERT(second.agent == first.agent);
    CPPUNIT_ASSERT(!second.terms.only_if_resident);
  }

  void the_holder_is_found_after_its_domain_was_out() {
    router_fixture router(12);
    router.state->switches.use_chat_affinity = false;
    const auto home = last_of<send_attempt>(router.send_request("r1", "chat"));
    router.end(home, attempt_outcome::complete);
    take_out(router, {domain_of(router, home.agent)});
    const auto away = last_of<send_attempt>(router.send_request("r2", "chat"));
    router.end(away, attempt_outcome::complete);
    take_out(router, {});

    const auto back = last_of<send_attempt>(router.send_request("r3", "chat"));
    CPPUNIT_ASSERT(back.agent == home.agent);
    auto actions = router.refuse(back, refusal_kind::not_resident);
    for (const send_probe& probe : all_of<send_probe>(actions)) {
      const std::uint32_t tokens = probe.agent == away.agent ? 500 : 0;
      actions = router.handle_event(probe_answered{{"r3"}, probe.agent, load_with(tokens)});
    }
    CPPUNIT_ASSERT(last_of<send_attempt>(actions).agent == away.agent);
  }

  void a_new_chat_goes_to_the_less_loaded_of_two_choices() {
    for (const std::uint32_t second_load : {5U, 20U}) {
      router_fixture router(12);
      router.state->tuning.no_chat_choices = 2;
      const auto probes = all_of<send_probe>(router.send_request("r1"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, probes.size());
      load_report load = load_with(0);
      load.in_flight = second_load;
      router.handle_event(probe_answered{{"r1"}, probes[1].agent, load});
      load.in_flight = 10;
      const auto actions = router.handle_event(probe_answered{{"r1"}, probes[0].agent, load});
      const auto& expected = second_load < 10 ? probes[1] : probes[0];
      CPPUNIT_ASSERT(last_of<send_attempt>(actions).agent == expected.agent);
    }
  }

  void unanswered_probes_fall_back_to_the_first_choice() {
    router_fixture router(12);
    const auto first = last_of<send_attempt>(router.send_request("r1", "chat"));
    router.refuse(first, refusal_kind::not_resident);
    const auto actions = router.advance_clock(milliseconds{50});
    CPPUNIT_ASSERT(last_of<send_attempt>(actions).agent == first.agent);
  }

  void a_moved_chat_is_sent_to_its_last_endpoint() {
    for (const bool use_affinity : {true, false}) {
      router_fixture router(12);
      router.state->switches.use_chat_affinity = use_affinity;
      const auto home = last_of<send_attempt>(router.send_request("r1", "chat"));
      const auto away = last_of<send_attempt>(router.refuse(home, refusal_kind::full));
      router.accept(away);
      router.end(away, attempt_outcome::complete);
      const auto again = last_of<send_attempt>(router.send_request("r2", "chat"));
      CPPUNIT_ASSERT(again.agent == (use_affinity ? away.agent : home.agent));
    }
  }

  void a_domain_that_was_taken_out_gets_no_attempt() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, attempts_to_domain_out(true));
  }

  void without_the_check_the_invariant_breaks() {
    CPPUNIT_ASSERT(attempts_to_domain_out(false) > 0);
  }

  // An agent that reported leaving while its failure domain was out must be
  // used again once the domain is back: the report is outdated by the newer
  // configuration.
  void an_agent_back_in_service_gets_attempts_again() {
    router_fixture router(12);
    router.state->switches.use_chat_affinity = false;
    router.configure();
    const auto home = last_of<send_attempt>(router.send_request("r1", "chat"));
    load_report load = load_with(0);
    load.leaving = true;
    load.configuration_version = configuration_of(*router.state).version;
    router.handle_event(attempt_refused{
        {"r1"}, home.attempt, refusal_kind::out_of_service, milliseconds{100}, load});
    CPPUNIT_ASSERT(last_of<send_attempt>(router.send_request("r2", "chat")).agent != home.agent);
    router.configure();
    CPPUNIT_ASSERT(last_of<send_attempt>(router.send_request("r3", "chat")).agent == home.agent);
  }

 private:
  static load_report load_with(std::uint32_t resident_tokens) {
    load_report load;
    load.limit = 32;
    load.resident_tokens = resident_tokens;
    return load;
  }

  static failure_domain_id domain_of(const router_fixture& router, const node_id& agent) {
    for (const vm_entry& vm : router.vms.vms) {
      if (vm.node == agent) {
        return vm.failure_domain;
      }
    }
    return {};
  }

  static void take_out(router_fixture& router, const std::set<failure_domain_id>& domains) {
    router.document.failure_domains_out = domains;
    router.configure();
  }

  // Takes failure domain "d1" out, sends 100 requests and counts the attempts
  // that reach it. The number of broken invariants must be equal.
  static std::size_t attempts_to_domain_out(bool check) {
    router_fixture router(12);
    router.state->switches.skip_endpoints_out = check;
    take_out(router, {{"d1"}});
    std::size_t reached = 0;
    for (int number = 0; number < 100; ++number) {
      const auto sent = last_of<send_attempt>(router.send_request("r" + std::to_string(number)));
      reached += domain_of(router, sent.agent).value == "d1" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(reached, all_of<router_invariant_broken>(router.log).size());
    return reached;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

}  // namespace chestnuthead
