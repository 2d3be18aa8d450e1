#include "Overload/memory_account.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::overload {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kilobyte = 1'024;
constexpr std::size_t megabyte = 1'024 * kilobyte;
constexpr std::size_t largest_body = 4 * megabyte;
const steady_time start{std::chrono::seconds{100}};

/// The account of the smallest entry VM, whose gateway holds 16 MB without callers.
memory_account smallest_vm() {
  memory_account account;
  set_limits(account, 160, 4'100);
  note_resident(account, 16 * megabyte);
  return account;
}

}  // namespace

class memory_account_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(memory_account_test);
  CPPUNIT_TEST(shares_add_up_to_less_than_the_bound_of_the_process);
  CPPUNIT_TEST(counted_bytes_leave_the_account_with_their_holder);
  CPPUNIT_TEST(memory_outside_the_account_reduces_the_budget);
  CPPUNIT_TEST(stalled_bodies_leave_the_memory_of_answers);
  CPPUNIT_TEST(large_bodies_leave_room_for_small_ones);
  CPPUNIT_TEST(one_largest_body_fits_any_budget);
  CPPUNIT_TEST(buffers_do_not_grow_beyond_their_limit);
  CPPUNIT_TEST(slow_callers_share_the_memory_of_output);
  CPPUNIT_TEST(answers_are_buffered_less_when_memory_is_short);
  CPPUNIT_TEST(sockets_are_kept_for_endpoints_and_the_store);
  CPPUNIT_TEST(the_slowest_is_dropped_and_the_largest_of_equals);
  CPPUNIT_TEST(a_caller_without_a_known_rate_is_spared);
  CPPUNIT_TEST(a_stalled_caller_has_no_progress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void shares_add_up_to_less_than_the_bound_of_the_process() {
    const memory_account account = smallest_vm();
    std::size_t sum = 0;
    for (const memory_group group :
         {memory_group::bodies, memory_group::input, memory_group::caller_output,
          memory_group::answers, memory_group::connections}) {
      sum += share_of(account, group);
    }
    CPPUNIT_ASSERT(sum <= budget_of(account));
    CPPUNIT_ASSERT(sum + 16 * megabyte < 120 * megabyte);
  }

  void counted_bytes_leave_the_account_with_their_holder() {
    memory_account account = smallest_vm();
    {
      counted_bytes body(account, memory_use::incoming_body);
      counted_bytes output;
      output.set(7);
      output.attach(account, memory_use::caller_output);
      body.set(100);
      body.set(300);
      output.set(50);
      CPPUNIT_ASSERT_EQUAL(std::size_t{350}, held_total(account));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held_total(account));
  }

  /// Guards against a configuration that grows after the start, and an allocator that keeps
  /// freed memory.
  void memory_outside_the_account_reduces_the_budget() {
    memory_account account = smallest_vm();
    const std::size_t before = budget_of(account);
    counted_bytes body(account, memory_use::incoming_body);
    body.set(30 * megabyte);
    note_resident(account, 56 * megabyte);
    CPPUNIT_ASSERT_EQUAL(before - 10 * megabyte, budget_of(account));
    // Capacity that is not resident does not enlarge it.
    note_resident(account, 20 * megabyte);
    CPPUNIT_ASSERT_EQUAL(before, budget_of(account));
    note_resident(account, 1'000 * megabyte);
    CPPUNIT_ASSERT_EQUAL(20 * megabyte, budget_of(account));
  }

  void stalled_bodies_leave_the_memory_of_answers() {
    memory_account account = smallest_vm();
    counted_bytes bodies(account, memory_use::incoming_body);
    const std::size_t limit = output_limit(account);
    bodies.set(200 * megabyte);
    CPPUNIT_ASSERT(!fits_body(account, 0, 1));
    CPPUNIT_ASSERT_EQUAL(limit, output_limit(account));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, excess(account, memory_group::caller_output));
    CPPUNIT_ASSERT(excess(account, memory_group::bodies) > 0);
  }

  void large_bodies_leave_room_for_small_ones() {
    memory_account account = smallest_vm();
    counted_bytes bodies(account, memory_use::incoming_body);
    std::size_t count = 0;
    for (; fits_body(account, 0, largest_body); ++count) {
      bodies.set(bodies.get() + largest_body);
    }
    CPPUNIT_ASSERT(count >= 4);
    CPPUNIT_ASSERT(fits_body(account, 0, small_body));
    // A body that already holds its bytes still fits.
    CPPUNIT_ASSERT(fits_body(account, largest_body, largest_body));
  }

  void one_largest_body_fits_any_budget() {
    memory_account account;
    set_limits(account, 16, 64);
    note_resident(account, 15 * megabyte);
    CPPUNIT_ASSERT(fits_body(account, 0, largest_body));
    counted_bytes one(account, memory_use::incoming_body);
    one.set(largest_body);
    CPPUNIT_ASSERT(fits_body(account, largest_body, 2 * largest_body));
    CPPUNIT_ASSERT(!fits_body(account, 0, largest_body));
  }

  void buffers_do_not_grow_beyond_their_limit() {
    std::size_t capacity = 15;
    for (std::size_t size = 1; size <= largest_body; size += 60'000) {
      capacity = next_capacity(capacity, size, largest_body);
      CPPUNIT_ASSERT(capacity >= size);
      CPPUNIT_ASSERT(capacity <= largest_body);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, next_capacity(2, 10, 5));
  }

  void slow_callers_share_the_memory_of_output() {
    memory_account account = smallest_vm();
    CPPUNIT_ASSERT_EQUAL(256 * kilobyte, output_limit(account));
    CPPUNIT_ASSERT(!is_output_short(account));
    // 400 callers in turn let as much lie unread as they may.
    counted_bytes output(account, memory_use::caller_output);
    constexpr std::size_t callers = 400;
    for (std::size_t caller = 0; caller < callers; ++caller) {
      output.set(output.get() + output_limit(account));
    }
    CPPUNIT_ASSERT(is_output_short(account));
    CPPUNIT_ASSERT_EQUAL(16 * kilobyte, output_limit(account));
    CPPUNIT_ASSERT(output.get() <=
                   share_of(account, memory_group::caller_output) + callers * 16 * kilobyte);
  }

  void answers_are_buffered_less_when_memory_is_short() {
    memory_account account = smallest_vm();
    CPPUNIT_ASSERT_EQUAL(256 * kilobyte, answer_limit(account));
    counted_bytes answers(account, memory_use::buffered_answer);
    answers.set(share_of(account, memory_group::answers));
    CPPUNIT_ASSERT_EQUAL(16 * kilobyte, answer_limit(account));
  }

  void sockets_are_kept_for_endpoints_and_the_store() {
    const memory_account account = smallest_vm();
    std::size_t callers = 0;
    while (fits_connection(account, callers, 0)) {
      ++callers;
    }
    CPPUNIT_ASSERT(callers > 2'500);
    CPPUNIT_ASSERT(callers + 900 < 3'900);
    CPPUNIT_ASSERT(!fits_connection(account, 1'950, 1'950));
    memory_account smallest;
    set_limits(smallest, 16, 64);
    CPPUNIT_ASSERT(fits_connection(smallest, 0, 0));
  }

  void the_slowest_is_dropped_and_the_largest_of_equals() {
    CPPUNIT_ASSERT(!slowest({}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *slowest({{10, 5.0}, {10, 1.0}, {10, 3.0}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, *slowest({{10, 0.0}, {10, 7.0}, {11, 0.0}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *slowest({{0, 0.0}, {10, 7.0}}));
  }

  /// Guards against dropping each new request in favour of stalled ones.
  void a_caller_without_a_known_rate_is_spared() {
    progress_meter meter;
    begin_progress(meter, start);
    note_progress(meter, 1, start + milliseconds{100});
    CPPUNIT_ASSERT(!progress_rate(meter, start + milliseconds{100}));
    CPPUNIT_ASSERT(!slowest({{10, std::nullopt}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *slowest({{10, std::nullopt}, {10, 1e9}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *largest({{10, 1.0}, {11, std::nullopt}}));
    CPPUNIT_ASSERT(!largest({{0, 1.0}}));
  }

  void a_stalled_caller_has_no_progress() {
    progress_meter meter;
    begin_progress(meter, start);
    note_progress(meter, 1'000'000, start + milliseconds{10});
    CPPUNIT_ASSERT(*progress_rate(meter, start + milliseconds{500}) > 1e6);
    note_progress(meter, 0, start + milliseconds{500});
    note_progress(meter, 0, start + milliseconds{1'000});
    CPPUNIT_ASSERT_EQUAL(0.0, *progress_rate(meter, start + milliseconds{1'000}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_account_test);

}  // namespace chestnuthead::overload
