#include <deque>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Base/process_clock.h"
#include "Fakes/local_address.h"
#include "soak_caller.h"
#include "soak_checks.h"
#include "soak_gateway.h"
#include "soak_store.h"

namespace chestnuthead::soak {

using std::chrono::milliseconds;

class soak_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(soak_test);
  CPPUNIT_TEST(reserved_ports_are_given_to_nobody_else);
  CPPUNIT_TEST(stray_request_does_not_end_the_store);
  CPPUNIT_TEST(cold_endpoint_is_flooded_only_over_the_bound_and_within_a_second);
  CPPUNIT_TEST(requests_without_the_store_count_unless_the_endpoint_turned_cold_in_place);
  CPPUNIT_TEST_SUITE_END();

  /// A soak of 68 gateways got one port twice in each of three runs when ports were not held.
  void reserved_ports_are_given_to_nobody_else() {
    constexpr int gateways = 68;
    constexpr int others = 10'000;
    std::deque<port_reservation> reserved;
    std::set<std::string> addresses;
    for (int port = 0; port < 3 * gateways; ++port) {
      CPPUNIT_ASSERT(addresses.insert(reserved.emplace_back().address).second);
    }
    for (int other = 0; other < others; ++other) {
      const int descriptor = traffic::listen_on("127.0.0.1:0");
      CPPUNIT_ASSERT(!addresses.contains(local_address(descriptor)));
      ::close(descriptor);
    }
    const int descriptor = traffic::listen_on(reserved.front().address);
    CPPUNIT_ASSERT(descriptor >= 0);
    ::close(descriptor);
  }

  void stray_request_does_not_end_the_store() {
    suspend_aware_clock time;
    traffic::event_loop loop;
    task_queue tasks(time);
    row_store store(loop, tasks, time);
    soak_request result;
    soak_caller caller(loop, time, "gateway-0", store.address(),
                       [&result](const soak_request& ended) { result = ended; });
    soak_request request;
    request.kind = request_kind::lookup;
    caller.send_request(request);
    for (int step = 0; step < 200 && !result.complete; ++step) {
      loop.run_once(milliseconds{10});
    }
    CPPUNIT_ASSERT_EQUAL(404, result.status);
  }

  /// Requests to the endpoint "engine-0", cold from 1 to 4 s, at these times.
  static std::size_t violations_of(const std::vector<milliseconds>& times, bool in_place,
                                   const std::vector<disturbance>& disturbances) {
    soak_history history;
    history.disturbances = disturbances;
    const steady_time begin{};
    const steady_time from = begin + milliseconds{1'000};
    history.cold_starts.push_back({"engine-0", in_place, from, from, from + cold_time});
    execution_log executions;
    for (const milliseconds at : times) {
      soak_request request;
      request.id = std::to_string(history.requests.size());
      request.gateway = "gateway-0";
      request.status = 500;
      request.complete = true;
      request.sent_at = begin + at;
      request.ended_at = begin + at;
      history.requests.push_back(request);
      executions[request.id].push_back({"engine-0", "schools", begin + at, true, false, false});
    }
    return find_violations(history, executions).size();
  }

  static std::vector<milliseconds> spread(int count, milliseconds from, milliseconds length) {
    std::vector<milliseconds> times;
    times.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
      times.push_back(from + number * length / count);
    }
    return times;
  }

  void cold_endpoint_is_flooded_only_over_the_bound_and_within_a_second() {
    const milliseconds second{1'000};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_of(spread(26, second, second), false, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_of(spread(27, second, second), false, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         violations_of(spread(27, second * 5 / 2, second), false, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_of(spread(78, second, second * 3), false, {}));
    // Before and after the time in which it is cold.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         violations_of(spread(99, milliseconds{0}, second), false, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_of(spread(99, second * 4, second), false, {}));
  }

  void requests_without_the_store_count_unless_the_endpoint_turned_cold_in_place() {
    const milliseconds second{1'000};
    const std::vector<milliseconds> times = spread(27, second * 2, second);
    const steady_time begin{};
    const std::vector<disturbance> none;
    const std::vector<disturbance> lost{
        {"gateway-0", disturbed_part::store_link, begin, begin + second * 2}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_of(times, true, none));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_of(times, true, lost));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_of(times, false, lost));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_test);

}  // namespace chestnuthead::soak
