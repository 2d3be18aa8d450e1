#include <cppunit/extensions/HelperMacros.h>

#include "Gossip/crash_table.h"
#include "Gossip/load_table.h"
#include "Gossip/message_size.h"
#include "Gossip/rumor_store.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr steady_time start_time{std::chrono::hours{1}};
constexpr std::size_t no_limit = 1'000'000;

rumor rumor_of(const std::string& origin, std::uint64_t sequence,
               milliseconds age = milliseconds{0}) {
  return {rumor_kind::request_crashed, node_id{origin}, sequence, "42", "endpoint", age};
}

load_entry load_of(const std::string& name, std::uint32_t in_flight, milliseconds age) {
  return {endpoint_id{name}, in_flight, 32, age};
}

}  // namespace

/// The tables of rumors, crashes and loads: size limits, expiry and handling of
/// duplicates.
class rumor_tables_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rumor_tables_test);
  CPPUNIT_TEST(a_rumor_is_new_once_and_sent_a_limited_number_of_times);
  CPPUNIT_TEST(a_lower_sequence_of_a_restarted_origin_is_new);
  CPPUNIT_TEST(old_rumors_are_neither_stored_nor_forwarded);
  CPPUNIT_TEST(the_stores_are_bounded);
  CPPUNIT_TEST(distinct_endpoints_are_counted_until_they_expire);
  CPPUNIT_TEST(the_most_recent_load_is_kept_and_expires);
  CPPUNIT_TEST(the_mean_needs_half_of_the_endpoints);
  CPPUNIT_TEST(messages_of_loads_are_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_rumor_is_new_once_and_sent_a_limited_number_of_times() {
    rumor_store store;
    CPPUNIT_ASSERT(store_rumor(store, rumor_of("a", 5), 3, start_time));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, take_rumors_to_send(store, no_limit, start_time).size());

    CPPUNIT_ASSERT(!store_rumor(store, rumor_of("a", 5), 3, start_time));
    CPPUNIT_ASSERT(take_rumors_to_send(store, no_limit, start_time).empty());
  }

  void a_lower_sequence_of_a_restarted_origin_is_new() {
    rumor_store store;
    store_rumor(store, rumor_of("a", 9'000'000'000), 3, start_time);
    CPPUNIT_ASSERT(store_rumor(store, rumor_of("a", 5), 3, start_time));
  }

  void old_rumors_are_neither_stored_nor_forwarded() {
    rumor_store store;
    CPPUNIT_ASSERT(
        !store_rumor(store, rumor_of("a", 1, rumor_spread_age + seconds{1}), 3, start_time));
    store_rumor(store, rumor_of("a", 2), 3, start_time);
    const steady_time later = start_time + rumor_spread_age + seconds{1};
    expire_rumors(store, later);
    CPPUNIT_ASSERT(take_rumors_to_send(store, no_limit, later).empty());
    CPPUNIT_ASSERT(!store_rumor(store, rumor_of("a", 2), 3, later));

    expire_rumors(store, start_time + rumor_retention + seconds{1});
    CPPUNIT_ASSERT(store.rumors.empty() && store.by_time.empty());
  }

  void the_stores_are_bounded() {
    rumor_store store;
    crash_table crashes;
    for (std::uint64_t number = 0; number < 3'000; ++number) {
      rumor update = rumor_of("a", number);
      store_rumor(store, update, 3, start_time);
      update.subject = std::to_string(number);
      note_crash(crashes, update, start_time + milliseconds{number});
      update.subject = "7";
      update.detail = "endpoint-" + std::to_string(number);
      note_crash(crashes, update, start_time + milliseconds{number});
    }
    CPPUNIT_ASSERT_EQUAL(rumor_limit, store.rumors.size());
    CPPUNIT_ASSERT_EQUAL(rumor_limit, store.active.size());
    CPPUNIT_ASSERT_EQUAL(crash_fingerprint_limit, crashes.crashes.size());
    CPPUNIT_ASSERT_EQUAL(crash_endpoint_limit, crashes.crashes.at(7).size());
  }

  void distinct_endpoints_are_counted_until_they_expire() {
    crash_table crashes;
    rumor update = rumor_of("a", 1);
    note_crash(crashes, update, start_time);
    note_crash(crashes, update, start_time);
    update.detail = "another";
    note_crash(crashes, update, start_time + seconds{50});
    update.subject = "no number";
    CPPUNIT_ASSERT(!note_crash(crashes, update, start_time));

    CPPUNIT_ASSERT_EQUAL(2U, count_crashed(crashes, 42, seconds{60}, start_time + seconds{59}));
    CPPUNIT_ASSERT_EQUAL(1U, count_crashed(crashes, 42, seconds{60}, start_time + seconds{61}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         crash_history(crashes, seconds{60}, start_time + seconds{59}).size());
    expire_crashes(crashes, seconds{60}, start_time + seconds{200});
    CPPUNIT_ASSERT(crashes.crashes.empty());
  }

  void the_most_recent_load_is_kept_and_expires() {
    load_table table;
    merge_load(table, load_of("a", 7, milliseconds{100}), start_time);
    merge_load(table, load_of("a", 3, milliseconds{900}), start_time);
    CPPUNIT_ASSERT_EQUAL(7U, table.loads.at(endpoint_id{"a"}).in_flight);

    merge_load(table, load_of("b", 3, load_age_limit + milliseconds{1}), start_time);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choose_loads(table, start_time).size());
    expire_loads(table, start_time + load_age_limit);
    CPPUNIT_ASSERT(table.loads.empty());
  }

  void the_mean_needs_half_of_the_endpoints() {
    load_table table;
    const std::vector<endpoint_id> pool{endpoint_id{"a"}, endpoint_id{"b"}, endpoint_id{"c"}};
    merge_load(table, load_of("a", 2, milliseconds{0}), start_time);
    merge_load(table, load_of("stranger", 90, milliseconds{0}), start_time);
    CPPUNIT_ASSERT(!mean_load(table, pool, start_time));

    merge_load(table, load_of("c", 4, milliseconds{0}), start_time);
    CPPUNIT_ASSERT_EQUAL(3.0, mean_load(table, pool, start_time).value());
    CPPUNIT_ASSERT(!mean_load(table, pool, start_time + load_age_limit));
  }

  void messages_of_loads_are_bounded() {
    load_table table;
    for (int number = 0; number < 2'000; ++number) {
      merge_load(table, load_of("agent-" + std::to_string(number), 20, milliseconds{300}),
                 start_time);
    }
    gossip_message message;
    message.loads = choose_loads(table, start_time);

    CPPUNIT_ASSERT_EQUAL(load_limit, table.loads.size());
    CPPUNIT_ASSERT_EQUAL(loads_per_message, message.loads.size());
    CPPUNIT_ASSERT(encoded_size(message) < 700);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rumor_tables_test);

}  // namespace chestnuthead
