#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/versioned_pool.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

/// Longest time until a stream that has begun is cut.
constexpr milliseconds longest_cut{2'000};
/// Longest time until a resumption of an unknown stream is refused.
constexpr milliseconds longest_refusal{1'500};
/// Longer than a silence after which a stream is moved.
constexpr milliseconds long_silence{1'500};

void crash(versioned_endpoint& endpoint) {
  endpoint.open->reset();
}

void break_off(versioned_endpoint& endpoint) {
  endpoint.open->send("9\r\nid: 3\ndat");
  endpoint.open->finish();
}

/// Ends the answer inside an event.
void spoil(versioned_endpoint& endpoint) {
  endpoint.open->send("9\r\nid: 3\ndat\r\n" + last_chunk);
}

void fall_silent(versioned_endpoint& /*endpoint*/) {}

}  // namespace

/// Tests that a stream goes on only at endpoints of the software version that began it.
class stream_versions_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_versions_test);
  CPPUNIT_TEST(crashed_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(broken_off_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(spoilt_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(silent_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(silent_stream_without_a_second_endpoint_of_its_version_stays);
  CPPUNIT_TEST(stream_without_a_sound_endpoint_of_its_version_is_cut);
  CPPUNIT_TEST(stream_of_an_unlisted_version_is_cut);
  CPPUNIT_TEST(stream_is_not_resumed_at_its_endpoint_after_an_update);
  CPPUNIT_TEST(resumption_is_not_sent_to_an_idle_endpoint_of_another_version);
  CPPUNIT_TEST(resumption_is_not_sent_to_another_version_that_holds_the_prefix);
  CPPUNIT_TEST(second_resumption_is_not_sent_to_another_version);
  CPPUNIT_TEST(rejected_resumption_is_not_resent_to_another_version);
  CPPUNIT_TEST(broken_resumption_is_not_moved_to_another_version);
  CPPUNIT_TEST(resumption_without_an_endpoint_of_its_version_is_refused);
  CPPUNIT_TEST(resumption_is_refused_if_its_version_is_leaving);
  CPPUNIT_TEST(resumption_at_an_updated_endpoint_is_refused);
  CPPUNIT_TEST(unknown_resumption_goes_on_while_there_is_one_version);
  CPPUNIT_TEST(resumption_without_its_stream_goes_on_while_there_is_one_version);
  CPPUNIT_TEST(unknown_resumption_is_refused_while_there_are_two_versions);
  CPPUNIT_TEST(resumption_without_its_stream_is_refused_while_there_are_two_versions);
  CPPUNIT_TEST(new_streams_are_not_kept_to_one_version);
  CPPUNIT_TEST(stream_that_has_not_begun_is_not_kept_to_one_version);
  CPPUNIT_TEST(payments_are_not_kept_to_one_version);
  CPPUNIT_TEST(payment_with_an_event_id_is_not_refused);
  CPPUNIT_TEST(stream_begun_before_the_second_version_stays_with_the_first);
  CPPUNIT_TEST(resumption_is_not_sent_to_the_version_that_has_replaced_its_own);
  CPPUNIT_TEST_SUITE_END();

 public:
  void crashed_stream_is_not_moved_to_another_version() {
    check_moved_within_version(crash);
  }

  void broken_off_stream_is_not_moved_to_another_version() {
    check_moved_within_version(break_off);
  }

  void spoilt_stream_is_not_moved_to_another_version() {
    check_moved_within_version(spoil);
  }

  void silent_stream_is_not_moved_to_another_version() {
    check_moved_within_version(fall_silent);
  }

  void silent_stream_without_a_second_endpoint_of_its_version_stays() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.begin_stream();
    pool.harness.run_for(long_silence);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT(!pool.caller->ended);
    first.open->send(traffic_harness::event_chunk(events_begun + 1, events_whole) + last_chunk);
    pool.wait_for_end();
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, events_whole), pool.received());
  }

  void stream_without_a_sound_endpoint_of_its_version_is_cut() {
    versioned_pool pool;
    pool.add_both(1);
    versioned_endpoint& first = pool.begin_stream();
    first.crashes = true;
    check_cut(pool, first);
  }

  void stream_of_an_unlisted_version_is_cut() {
    versioned_pool pool;
    pool.add_both(1);
    versioned_endpoint& first = pool.begin_stream();
    pool.unlist_version(first.version);
    check_cut(pool, first);
  }

  void stream_is_not_resumed_at_its_endpoint_after_an_update() {
    versioned_pool pool;
    pool.add(old_version, 1);
    versioned_endpoint& first = pool.begin_stream();
    pool.harness.update_endpoint(first.name, new_version);
    check_cut(pool, first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.asked.size());
  }

  void resumption_is_not_sent_to_an_idle_endpoint_of_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    const versioned_endpoint& first = pool.lose_stream();
    pool.load_version(first.version);
    check_resumed_within(pool, first.version);
  }

  void resumption_is_not_sent_to_another_version_that_holds_the_prefix() {
    versioned_pool pool;
    pool.add_both(2);
    const versioned_endpoint& first = pool.lose_stream();
    pool.hand_prefixes_to_another_version(first.version);
    check_resumed_within(pool, first.version);
  }

  void second_resumption_is_not_sent_to_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    const versioned_endpoint& first = pool.lose_stream();
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    pool.load_version(first.version);
    pool.resume("c3", events_begun + 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 2, events_whole), pool.received());
  }

  void rejected_resumption_is_not_resent_to_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    versioned_endpoint& first = pool.lose_stream();
    first.rejects = true;
    check_resent_to_sibling(pool, first);
  }

  void broken_resumption_is_not_moved_to_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    versioned_endpoint& first = pool.lose_stream();
    first.crashes = true;
    check_resent_to_sibling(pool, first);
  }

  void resumption_without_an_endpoint_of_its_version_is_refused() {
    versioned_pool pool;
    pool.add(old_version, 1);
    pool.lose_stream();
    pool.add(new_version, 1);
    pool.add("v3", 1);
    pool.unlist_version(old_version);
    check_refused(pool);
  }

  void resumption_is_refused_if_its_version_is_leaving() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.lose_stream();
    pool.row_of(first).listing.leaving = true;
    check_refused(pool);
  }

  void resumption_at_an_updated_endpoint_is_refused() {
    versioned_pool pool;
    pool.add(old_version, 1);
    const versioned_endpoint& first = pool.lose_stream();
    pool.harness.update_endpoint(first.name, new_version);
    check_refused(pool);
  }

  void unknown_resumption_goes_on_while_there_is_one_version() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.resume("c2", events_begun, "lost");
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  void resumption_without_its_stream_goes_on_while_there_is_one_version() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.call(traffic_harness::chat_bytes("c2", last_event_field(events_begun)));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  void unknown_resumption_is_refused_while_there_are_two_versions() {
    check_unknown_refused(traffic_harness::resumption_headers(events_begun, "lost"));
  }

  void resumption_without_its_stream_is_refused_while_there_are_two_versions() {
    check_unknown_refused(last_event_field(events_begun));
  }

  void new_streams_are_not_kept_to_one_version() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.lose_stream();
    pool.load_version(first.version);
    pool.caller = pool.harness.connect();
    pool.caller->send(traffic_harness::chat_bytes("c2"));
    CPPUNIT_ASSERT(pool.harness.run_until([&] { return pool.has_begun(); }));
    CPPUNIT_ASSERT(!pool.asked_of_other_versions(first.version).empty());
  }

  void stream_that_has_not_begun_is_not_kept_to_one_version() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.lose_stream();
    for (const auto& endpoint : pool.endpoints) {
      endpoint->crashes = endpoint.get() == &first;
    }
    pool.caller = pool.harness.connect();
    pool.caller->send(traffic_harness::chat_bytes("c2"));
    CPPUNIT_ASSERT(pool.harness.run_until([&] { return pool.has_begun(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.asked.size());
    CPPUNIT_ASSERT(!pool.asked_of_other_versions(first.version).empty());
  }

  void payments_are_not_kept_to_one_version() {
    versioned_pool pool(gateway::plain_pool);
    add_payment_endpoints(pool);
    pool.call(traffic_harness::payment_bytes("p1"));
    const versioned_endpoint& first = pool.asked_endpoint();
    for (const auto& endpoint : pool.endpoints) {
      endpoint->rejects = endpoint.get() != &first;
    }
    pool.load_version(first.version);
    pool.call(traffic_harness::payment_bytes("p2"));
    CPPUNIT_ASSERT(!pool.asked_of_other_versions(first.version).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.asked.size());
    CPPUNIT_ASSERT(pool.caller->bytes.ends_with("paid"));
  }

  void payment_with_an_event_id_is_not_refused() {
    versioned_pool pool(gateway::plain_pool);
    add_payment_endpoints(pool);
    pool.call(traffic_harness::payment_bytes("p1", last_event_field(events_begun)));
    CPPUNIT_ASSERT(pool.caller->bytes.ends_with("paid"));
  }

  void stream_begun_before_the_second_version_stays_with_the_first() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.lose_stream();
    pool.add(new_version, 2);
    pool.load_version(old_version);
    check_resumed_within(pool, old_version);
  }

  void resumption_is_not_sent_to_the_version_that_has_replaced_its_own() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.lose_stream();
    pool.add(new_version, 2);
    pool.harness.run_for(milliseconds{50});
    pool.unlist_version(old_version);
    check_refused(pool);
  }

 private:
  using disturbance = void (*)(versioned_endpoint& endpoint);

  /// A stream that was disturbed moves to the busy endpoint of its version.
  static void check_moved_within_version(disturbance disturb) {
    versioned_pool pool;
    pool.add_both(2);
    versioned_endpoint& first = pool.begin_stream();
    pool.load_version(first.version);
    disturb(first);
    pool.wait_for_end();
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.sibling_of(first).asked.size());
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, events_whole), pool.received());
  }

  /// The endpoint crashes and the stream is cut.
  static void check_cut(versioned_pool& pool, versioned_endpoint& endpoint) {
    const steady_time crashed_at = pool.harness.time.now();
    crash(endpoint);
    pool.wait_for_end();
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(endpoint.version));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, events_begun), pool.received());
    CPPUNIT_ASSERT(!pool.caller->has_answers(1));
    CPPUNIT_ASSERT(pool.harness.time.now() - crashed_at < longest_cut);
  }

  static void check_resumed_within(versioned_pool& pool, const std::string& version) {
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(version));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  /// The resumption comes first to the endpoint that holds its prefix, which fails it, and then
  /// to the busy one of the same version.
  static void check_resent_to_sibling(versioned_pool& pool, const versioned_endpoint& first) {
    const versioned_endpoint& sibling = pool.sibling_of(first);
    pool.set_load(sibling, heavy_load);
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.asked.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sibling.asked.size());
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  /// The resumption of c1 is refused and reaches no endpoint.
  static void check_refused(versioned_pool& pool) {
    const std::size_t asked_before = pool.asked();
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::string("503"), status_of(*pool.caller));
    CPPUNIT_ASSERT_EQUAL(asked_before, pool.asked());
  }

  /// A resumption with these headers is refused in time while two versions are listed.
  static void check_unknown_refused(const std::string& headers) {
    versioned_pool pool;
    pool.add_both(1);
    const steady_time sent_at = pool.harness.time.now();
    pool.call(traffic_harness::chat_bytes("c2", headers));
    CPPUNIT_ASSERT_EQUAL(std::string("503"), status_of(*pool.caller));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.asked());
    CPPUNIT_ASSERT(pool.harness.time.now() - sent_at < longest_refusal);
  }

  /// Replaces the harness's endpoint for payments by one of each version.
  static void add_payment_endpoints(versioned_pool& pool) {
    pool.harness.unlist("plain");
    pool.add_both(1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_versions_test);

}  // namespace chestnuthead
