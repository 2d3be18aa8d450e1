#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using connection = scripted_endpoint::connection;

/// Tests requests for a pool under overload control, over loopback sockets. Two requests fill the
/// plain pool: its endpoint has one slot.
class pool_room_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pool_room_test);
  CPPUNIT_TEST(a_request_without_room_is_refused_after_an_eighth_of_its_objective);
  CPPUNIT_TEST(a_waiting_request_is_sent_once_there_is_room);
  CPPUNIT_TEST(a_caller_may_leave_while_its_request_waits);
  CPPUNIT_TEST(pools_without_control_are_served_as_before);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->fleet = std::make_unique<traffic_harness>();
  }

  /// The callers use the event loop of the harness.
  void tearDown() override {
    this->callers.clear();
    this->held.clear();
    this->fleet.reset();
  }

  void a_request_without_room_is_refused_after_an_eighth_of_its_objective() {
    traffic_harness& harness = *this->fleet;
    begin(harness, overload::control_scope::all_pools, std::chrono::milliseconds{80});
    const auto third = this->send(harness, "p3");
    CPPUNIT_ASSERT(harness.run_until([&] { return third->has_answers(1); }));
    CPPUNIT_ASSERT(third->bytes.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(third->bytes.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.plain->requests.size());
    CPPUNIT_ASSERT(harness.context.waiting.empty());
    CPPUNIT_ASSERT(harness.take_log().find("request_refused") != std::string::npos);
  }

  void a_waiting_request_is_sent_once_there_is_room() {
    traffic_harness& harness = *this->fleet;
    begin(harness, overload::control_scope::all_pools, std::chrono::seconds{8});
    const auto third = this->send(harness, "p3");
    CPPUNIT_ASSERT(harness.run_until([&] { return !harness.context.waiting.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.plain->requests.size());
    this->held.front()->send(traffic_harness::answer_bytes("p1", "paid"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->requests.size() == 3; }));
    CPPUNIT_ASSERT(harness.context.waiting.empty());
    this->held.back()->send(traffic_harness::answer_bytes("p3", "paid"));
    CPPUNIT_ASSERT(harness.run_until([&] { return third->has_answers(1); }));
    CPPUNIT_ASSERT(third->bytes.starts_with("HTTP/1.1 200"));
  }

  /// Guards against a queue that refers to a request which has ended.
  void a_caller_may_leave_while_its_request_waits() {
    traffic_harness& harness = *this->fleet;
    begin(harness, overload::control_scope::all_pools, std::chrono::seconds{8});
    const auto third = this->send(harness, "p3");
    CPPUNIT_ASSERT(harness.run_until([&] { return !harness.context.waiting.empty(); }));
    third->close();
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.context.waiting.empty(); }));
    CPPUNIT_ASSERT(harness.state.overload.pools[gateway::plain_pool].queue.waiting.empty());
  }

  void pools_without_control_are_served_as_before() {
    traffic_harness& harness = *this->fleet;
    begin(harness, overload::control_scope::reporting_pools, std::chrono::milliseconds{80});
    const auto third = this->send(harness, "p3");
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->requests.size() == 3; }));
    CPPUNIT_ASSERT(harness.state.overload.pools.empty());
  }

 private:
  /// Fills the plain pool with two requests.
  void begin(traffic_harness& harness, overload::control_scope scope,
             std::chrono::milliseconds objective) {
    gateway::service_map services = gateway::test_services();
    services.routes[1].latency_objective = objective;
    services.pools[gateway::plain_pool.value].max_connections = 100;
    services.routes[1].timeout = std::chrono::seconds{30};
    harness.state.services = std::make_shared<const gateway::service_map>(services);
    harness.state.overload.scope = scope;
    find_endpoint(harness.state.endpoints, endpoint_id{"plain"})->listing.slots = 1;
    harness.plain->scripts = {[this](connection& caller) { this->held.push_back(&caller); }};
    this->callers.push_back(this->send(harness, "p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->requests.size() == 1; }));
    this->callers.push_back(this->send(harness, "p2"));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.plain->requests.size() == 2; }));
  }

  static std::unique_ptr<test_caller> send(traffic_harness& harness, const std::string& id) {
    auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes(id));
    return caller;
  }

  std::unique_ptr<traffic_harness> fleet;
  std::vector<connection*> held;
  std::vector<std::unique_ptr<test_caller>> callers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_room_test);

}  // namespace chestnuthead
