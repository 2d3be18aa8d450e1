#include "Overload/pool_capacity.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

#include "Overload/overload_refusal.h"

namespace chestnuthead::overload {

namespace {

using std::chrono::milliseconds;
constexpr steady_time start{std::chrono::hours{1}};

/// Applies alternating signs of `endpoints` endpoints, of which the first `late` answer late.
void note_signs(pool_capacity& capacity, std::uint64_t endpoints, std::uint64_t late) {
  for (std::uint64_t place = 0; place < 32; ++place) {
    const std::uint64_t endpoint = place % endpoints;
    note_sign(capacity, endpoint, endpoint < late ? capacity_sign::late : capacity_sign::in_time,
              start + milliseconds{place});
  }
}

}  // namespace

class pool_capacity_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pool_capacity_test);
  CPPUNIT_TEST(late_answers_of_many_endpoints_set_a_limit);
  CPPUNIT_TEST(late_answers_of_one_endpoint_set_none);
  CPPUNIT_TEST(rejections_make_a_pool_short);
  CPPUNIT_TEST(an_unused_limit_is_removed);
  CPPUNIT_TEST(slow_vms_get_fewer_requests);
  CPPUNIT_TEST(tokens_stay_within_the_memory);
  CPPUNIT_TEST(retry_times_are_spread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void late_answers_of_many_endpoints_set_a_limit() {
    pool_capacity capacity;
    capacity.in_flight = 100;
    note_signs(capacity, 4, 2);
    CPPUNIT_ASSERT(capacity.limit.has_value());
    CPPUNIT_ASSERT(*capacity.limit < 100.0);
    CPPUNIT_ASSERT(capacity.ratio < 1.0);
    CPPUNIT_ASSERT(is_short(capacity, start + milliseconds{100}));
  }

  /// Guards against a pool limited by one unhealthy endpoint.
  void late_answers_of_one_endpoint_set_none() {
    pool_capacity capacity;
    capacity.in_flight = 100;
    note_signs(capacity, 4, 1);
    CPPUNIT_ASSERT(!capacity.limit);
    CPPUNIT_ASSERT(!is_short(capacity, start + milliseconds{100}));
  }

  void rejections_make_a_pool_short() {
    pool_capacity capacity;
    note_sign(capacity, 1, capacity_sign::rejected, start);
    CPPUNIT_ASSERT(!is_short(capacity, start));
    note_sign(capacity, 2, capacity_sign::rejected, start);
    CPPUNIT_ASSERT(is_short(capacity, start));
    CPPUNIT_ASSERT(!is_short(capacity, start + std::chrono::seconds{2}));
  }

  void an_unused_limit_is_removed() {
    pool_capacity capacity;
    capacity.in_flight = 10;
    note_no_room(capacity, no_room::endpoints_full, start);
    CPPUNIT_ASSERT(!is_below_limit(capacity, 0.0));
    drop_unused_limit(capacity, start + std::chrono::seconds{2});
    CPPUNIT_ASSERT(!is_below_limit(capacity, 0.0));
    drop_unused_limit(capacity, start + std::chrono::seconds{4});
    CPPUNIT_ASSERT(is_below_limit(capacity, 0.0));
  }

  /// Guards against old reports that hold an endpoint back, and against bounds below one request.
  void slow_vms_get_fewer_requests() {
    const vm_report report{3.0, start};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, slowdown_of(report, start), 1e-9);
    CPPUNIT_ASSERT(slowdown_of(report, start + std::chrono::seconds{2}) < 1.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, slowdown_of(vm_report{}, start), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(32.0, load_bound(1.0, 64, 2.0), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, load_bound(1.0, 6, 100.0), 1e-9);
  }

  /// Guards against engines that crash because their requests exceed their memory.
  void tokens_stay_within_the_memory() {
    pool_capacity capacity;
    note_start(capacity, 1'000);
    CPPUNIT_ASSERT(fits_memory(capacity, {0.0, 0.0}, 20'000, 10'000));
    CPPUNIT_ASSERT(fits_memory(capacity, {4'000.0, 5.0}, 1'000, 10'000));
    CPPUNIT_ASSERT(!fits_memory(capacity, {4'000.0, 5.0}, 1'001, 10'000));
    CPPUNIT_ASSERT(fits_memory(capacity, {4'000.0, 5.0}, 1'001, 0));
  }

  /// Guards against callers that all return at the same time.
  void retry_times_are_spread() {
    seeded_random random(7);
    milliseconds least{10'000};
    milliseconds most{0};
    for (int count = 0; count < 200; ++count) {
      const milliseconds time = retry_after(10, 20.0, random);
      least = std::min(least, time);
      most = std::max(most, time);
    }
    CPPUNIT_ASSERT(least >= milliseconds{500});
    CPPUNIT_ASSERT(most <= milliseconds{1'001});
    CPPUNIT_ASSERT(most - least >= milliseconds{400});
    CPPUNIT_ASSERT(retry_after(0, 0.0, random) >= milliseconds{250});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_capacity_test);

}  // namespace chestnuthead::overload
