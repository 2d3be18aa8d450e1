#include "Overload/wait_queue.h"

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead::overload {

namespace {

using std::chrono::milliseconds;
constexpr steady_time start{std::chrono::hours{1}};

waiting_request waiting(std::uint64_t ticket, int priority, const std::string& customer = "a") {
  return {ticket, {customer}, {false, priority},        10,
          0,      start,      start + milliseconds{50}, start + milliseconds{400}};
}

/// Counts requests of a customer, `served` of which were sent to an endpoint.
void count(demand& senders, const std::string& customer, int priority, int offered, int served) {
  for (int one = 0; one < offered; ++one) {
    const request_group group = note_offered(senders, {customer}, priority, true, start);
    if (one < served) {
      note_served(senders, {customer}, group, start);
    }
  }
}

}  // namespace

class wait_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(wait_queue_test);
  CPPUNIT_TEST(more_urgent_requests_go_first);
  CPPUNIT_TEST(less_urgent_requests_are_displaced);
  CPPUNIT_TEST(starved_groups_go_first);
  CPPUNIT_TEST(less_served_customers_go_first);
  CPPUNIT_TEST(bytes_are_bounded);
  CPPUNIT_TEST(requests_wait_for_a_bounded_time);
  CPPUNIT_TEST(urgent_groups_are_planned_first);
  CPPUNIT_TEST(a_surging_customer_is_told_apart);
  CPPUNIT_TEST(counts_of_absent_customers_are_dropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void more_urgent_requests_go_first() {
    wait_queue queue;
    const demand senders;
    for (const std::uint64_t ticket : {2U, 0U, 1U}) {
      enqueue(queue, senders, waiting(ticket, static_cast<int>(ticket)), {8, 1'000});
    }
    for (const std::uint64_t ticket : {0U, 1U, 2U}) {
      CPPUNIT_ASSERT_EQUAL(ticket, next_request(queue, senders)->ticket);
      remove_request(queue, ticket);
    }
    CPPUNIT_ASSERT(next_request(queue, senders) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.bytes);
  }

  void less_urgent_requests_are_displaced() {
    wait_queue queue;
    const demand senders;
    CPPUNIT_ASSERT(enqueue(queue, senders, waiting(1, 3), {1, 1'000}).accepted);
    CPPUNIT_ASSERT(!enqueue(queue, senders, waiting(2, 4), {1, 1'000}).accepted);
    const queue_change change = enqueue(queue, senders, waiting(3, 2), {1, 1'000});
    CPPUNIT_ASSERT(change.accepted);
    CPPUNIT_ASSERT(change.displaced == std::vector<std::uint64_t>{1});
  }

  void starved_groups_go_first() {
    wait_queue queue;
    demand senders;
    count(senders, "a", 0, 10, 10);
    count(senders, "a", 2, 10, 2);
    enqueue(queue, senders, waiting(1, 0), {8, 1'000});
    enqueue(queue, senders, waiting(2, 2), {8, 1'000});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next_request(queue, senders)->ticket);
  }

  void less_served_customers_go_first() {
    wait_queue queue;
    demand senders;
    count(senders, "a", 0, 6, 6);
    count(senders, "b", 0, 6, 4);
    enqueue(queue, senders, waiting(1, 0, "a"), {8, 1'000});
    enqueue(queue, senders, waiting(2, 0, "b"), {8, 1'000});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next_request(queue, senders)->ticket);
  }

  void bytes_are_bounded() {
    wait_queue queue;
    const demand senders;
    CPPUNIT_ASSERT(enqueue(queue, senders, waiting(1, 0), {8, 15}).accepted);
    CPPUNIT_ASSERT(!enqueue(queue, senders, waiting(2, 0), {8, 15}).accepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, queue.bytes);
  }

  void requests_wait_for_a_bounded_time() {
    wait_queue queue;
    enqueue(queue, {}, waiting(1, 0), {8, 1'000});
    CPPUNIT_ASSERT(expired_requests(queue, start + milliseconds{49}).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired_requests(queue, start + milliseconds{50}).size());
    CPPUNIT_ASSERT_EQUAL(milliseconds{50}, longest_wait(milliseconds{400}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bounds_of(0.0, milliseconds{50}).requests);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, bounds_of(100.0, milliseconds{50}).requests);
  }

  void urgent_groups_are_planned_first() {
    demand senders;
    count(senders, "a", 0, 100, 0);
    count(senders, "a", 2, 100, 0);
    // 1.5 s is the half-life of the counts, which cover 2.16 s.
    const double all = 200.0 / 2.16;
    const double urgent = admission_share(senders, {false, 0}, 0.8 * all, start);
    const double others = admission_share(senders, {false, 2}, 0.8 * all, start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, urgent, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, others, 0.02);
    // With little capacity the less urgent requests keep 0.4 of the share of the urgent ones.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4 * admission_share(senders, {false, 0}, 0.2 * all, start),
                                 admission_share(senders, {false, 2}, 0.2 * all, start), 1e-9);
    CPPUNIT_ASSERT(reserve_left(senders, {false, 2}, 0.2 * all, start) == 0.0 ||
                   reserve_left(senders, {false, 0}, 0.2 * all, start) == 0.0);
  }

  /// Guards against a customer whose surge displaces the others', and against a surge of all
  /// customers that is taken for one of each.
  void a_surging_customer_is_told_apart() {
    demand senders;
    steady_time now = start;
    const auto send = [&](int times_of_b) {
      now += milliseconds{100};
      request_group last;
      note_offered(senders, {"a"}, 0, false, now);
      for (int time = 0; time < times_of_b; ++time) {
        last = note_offered(senders, {"b"}, 0, false, now);
      }
      return last.surging;
    };
    for (int step = 0; step < 200; ++step) {
      CPPUNIT_ASSERT(!send(1));
    }
    bool surging = false;
    for (int step = 0; step < 10; ++step) {
      surging = send(25);
    }
    CPPUNIT_ASSERT(surging);
    CPPUNIT_ASSERT(!note_offered(senders, {"a"}, 0, false, now).surging);
  }

  void counts_of_absent_customers_are_dropped() {
    demand senders;
    note_offered(senders, {"a"}, 0, false, start);
    note_offered(senders, {"b"}, 0, false, start + std::chrono::minutes{10});
    drop_old_counts(senders);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, senders.customers.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_queue_test);

}  // namespace chestnuthead::overload
