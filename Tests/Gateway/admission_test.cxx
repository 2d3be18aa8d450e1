#include "Gateway/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"
#include "Gateway/readiness.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

class gateway_admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_admission_test);
  CPPUNIT_TEST(a_request_is_admitted_with_route_pool_and_customer);
  CPPUNIT_TEST(an_unknown_route_is_refused_without_a_retry_time);
  CPPUNIT_TEST(an_unknown_key_is_refused_without_a_retry_time);
  CPPUNIT_TEST(keys_are_refused_once_a_revocation_may_be_missed);
  CPPUNIT_TEST(public_routes_need_no_key);
  CPPUNIT_TEST(requests_are_refused_before_the_first_configuration);
  CPPUNIT_TEST(a_stopping_gateway_refuses_requests);
  CPPUNIT_TEST(the_earlier_of_caller_and_route_timeout_applies);
  CPPUNIT_TEST(retry_times_are_spread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_request_is_admitted_with_route_pool_and_customer() {
    const auto taken = std::get<admission>(ask(test_state(), chat_request(1)));
    CPPUNIT_ASSERT_EQUAL(std::string("chats"), taken.taken_route->name);
    CPPUNIT_ASSERT(taken.taken_pool->name == engine_pool);
    CPPUNIT_ASSERT_EQUAL(std::string("schools"), taken.holder.value);
    CPPUNIT_ASSERT_EQUAL(1, taken.priority);
  }

  void an_unknown_route_is_refused_without_a_retry_time() {
    caller_request request = chat_request(1);
    request.target = "/other/";
    const auto refused = std::get<refusal>(ask(test_state(), request));
    CPPUNIT_ASSERT(refused.kind == error_kind::unknown_route);
    CPPUNIT_ASSERT(refused.retry_after.count() == 0);
  }

  void an_unknown_key_is_refused_without_a_retry_time() {
    caller_request request = chat_request(1);
    for (const char* key : {"", "key-2"}) {
      request.key = key;
      const auto refused = std::get<refusal>(ask(test_state(), request));
      CPPUNIT_ASSERT(refused.kind == error_kind::unknown_key);
      CPPUNIT_ASSERT(refused.retry_after.count() == 0);
    }
  }

  void keys_are_refused_once_a_revocation_may_be_missed() {
    const gateway_state state = test_state();
    const auto just_in_time = test_start + state.key_trust - milliseconds{1};
    CPPUNIT_ASSERT(std::holds_alternative<admission>(ask(state, chat_request(1), just_in_time)));
    CPPUNIT_ASSERT(is_ready(state, just_in_time));
    const auto too_late = test_start + state.key_trust;
    const auto refused = std::get<refusal>(ask(state, chat_request(1), too_late));
    CPPUNIT_ASSERT(refused.kind == error_kind::not_ready);
    CPPUNIT_ASSERT(refused.retry_after.count() > 0);
    CPPUNIT_ASSERT(!is_ready(state, too_late));
  }

  void public_routes_need_no_key() {
    gateway_state state = test_state();
    service_map map = test_services();
    map.routes.front().needs_key = false;
    state.services = std::make_shared<const service_map>(std::move(map));
    caller_request request = chat_request(1);
    request.key.clear();
    const auto long_after = test_start + std::chrono::hours{1};
    const auto taken = std::get<admission>(ask(state, request, long_after));
    CPPUNIT_ASSERT(taken.holder.empty());
  }

  void requests_are_refused_before_the_first_configuration() {
    gateway_state state = test_state();
    state.services = nullptr;
    const auto refused = std::get<refusal>(ask(state, chat_request(1)));
    CPPUNIT_ASSERT(refused.kind == error_kind::not_ready);
    CPPUNIT_ASSERT(!is_ready(state, test_start));
    state = test_state();
    state.endpoints_known = false;
    CPPUNIT_ASSERT(!is_ready(state, test_start));
  }

  void a_stopping_gateway_refuses_requests() {
    gateway_state state = test_state();
    state.stopping = true;
    CPPUNIT_ASSERT(!is_ready(state, test_start));
    CPPUNIT_ASSERT(std::holds_alternative<admission>(ask(state, chat_request(1))));
    state.closes_at = test_start;
    const auto refused = std::get<refusal>(ask(state, chat_request(1)));
    CPPUNIT_ASSERT(refused.kind == error_kind::stopping);
  }

  void the_earlier_of_caller_and_route_timeout_applies() {
    caller_request request = chat_request(1);
    request.patience = milliseconds{500};
    CPPUNIT_ASSERT(std::get<admission>(ask(test_state(), request)).answer_by ==
                   test_start + milliseconds{500});
    request.patience = std::chrono::seconds{60};
    CPPUNIT_ASSERT(std::get<admission>(ask(test_state(), request)).answer_by ==
                   test_start + chat_route().timeout);
  }

  void retry_times_are_spread() {
    seeded_random random(4);
    std::set<milliseconds> times;
    for (int caller = 0; caller < 100; ++caller) {
      const refusal refused =
          refuse_without_endpoint(no_choice::all_full, milliseconds{4'000}, random);
      CPPUNIT_ASSERT(refused.kind == error_kind::overloaded);
      // Callers honour a retry time of up to a third of their remaining time.
      CPPUNIT_ASSERT(refused.retry_after.count() > 0 && refused.retry_after.count() <= 4'000 / 3);
      times.insert(refused.retry_after);
    }
    CPPUNIT_ASSERT(times.size() > 50);
  }

 private:
  static admission_result ask(const gateway_state& state, const caller_request& request,
                              steady_time now = test_start) {
    seeded_random random(1);
    return admit(state, request, random, now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_admission_test);

}  // namespace chestnuthead::gateway
