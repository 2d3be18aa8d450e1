#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Gateway/operator_orders.h"
#include "Traffic/versioned_pool.h"

namespace chestnuthead {

using std::chrono::milliseconds;

namespace {

const std::vector<std::string> pool_names{"one", "two", "three", "four"};
/// A refusal for which the gateway does not wait.
constexpr milliseconds at_once{500};

/// Takes a configuration in which the chats are split evenly over these pools.
void split_chats(versioned_pool& fleet, std::uint64_t version,
                 const std::vector<std::string>& names) {
  gateway::service_map map = gateway::test_services();
  map.version = version;
  map.routes[0].pools.clear();
  for (const std::string& name : names) {
    map.pools[name] = gateway::engine_pool_settings();
    map.pools[name].name = pool_id{name};
    map.routes[0].pools.push_back({pool_id{name}, 1.0});
  }
  gateway::store_orders orders;
  orders.configuration = std::move(map);
  orders.as_of = fleet.harness.time.now();
  apply_orders(fleet.harness.state, orders, fleet.harness.time.now());
}

/// Lists two endpoints of the version in each of the pools, over which the chats are split.
void add_pools(versioned_pool& fleet, const std::vector<std::string>& versions) {
  for (std::size_t place = 0; place < pool_names.size(); ++place) {
    fleet.add_to(pool_id{pool_names[place]}, versions[place], 2);
  }
  split_chats(fleet, 8, pool_names);
}

/// The pools in which an endpoint was sent a request, and forgets these requests.
std::vector<std::string> take_pools_asked(versioned_pool& fleet) {
  std::vector<std::string> pools;
  for (const auto& endpoint : fleet.endpoints) {
    for (std::size_t count = 0; count < endpoint->asked.size(); ++count) {
      pools.push_back(endpoint->pool.value);
    }
    endpoint->asked.clear();
  }
  return pools;
}

/// A stream begins, and its caller loses the connection; returns the stream's pool.
std::string lose_stream(versioned_pool& fleet) {
  fleet.lose_stream();
  return take_pools_asked(fleet).front();
}

const std::string rest_of_stream = traffic_harness::events(events_begun + 1, events_whole);

}  // namespace

/// Tests that a stream goes on in the pool that began it if its route is split over several.
class split_route_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(split_route_test);
  CPPUNIT_TEST(resumption_goes_to_the_pool_that_began_its_stream);
  CPPUNIT_TEST(resumption_goes_to_no_other_pool_with_a_version_of_that_name);
  CPPUNIT_TEST(resumption_of_another_gateways_stream_goes_to_its_pool);
  CPPUNIT_TEST(resumption_waits_for_the_record_of_its_stream);
  CPPUNIT_TEST(recorded_version_without_a_pool_is_found);
  CPPUNIT_TEST(resumption_of_an_unknown_stream_is_refused);
  CPPUNIT_TEST(resumption_without_its_stream_is_refused_at_once);
  CPPUNIT_TEST(stream_of_a_pool_without_its_version_is_refused);
  CPPUNIT_TEST(stream_of_a_pool_that_left_the_route_goes_on_where_its_version_is);
  CPPUNIT_TEST(pool_without_weight_gets_no_resumptions);
  CPPUNIT_TEST(new_streams_are_split);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a pool drawn anew for each request that goes on with a stream.
  void resumption_goes_to_the_pool_that_began_its_stream() {
    check_resumed_where_begun({"v1", "v2", "v3", "v4"});
  }

  void resumption_goes_to_no_other_pool_with_a_version_of_that_name() {
    check_resumed_where_begun({"v1", "v1", "v1", "v1"});
  }

  void resumption_of_another_gateways_stream_goes_to_its_pool() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v1", "v1", "v1"});
    for (const std::string& pool : pool_names) {
      const std::string id = "begun-in-" + pool;
      add_origin(fleet, {hash_text(id), "v1", pool_id{pool}});
      fleet.resume("again-" + pool, events_begun, id);
      CPPUNIT_ASSERT_EQUAL(rest_of_stream, fleet.received());
      CPPUNIT_ASSERT_EQUAL(pool, take_pools_asked(fleet).front());
    }
  }

  void resumption_waits_for_the_record_of_its_stream() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v1", "v1", "v1"});
    fleet.caller = fleet.harness.connect();
    fleet.caller->send(
        traffic_harness::chat_bytes("c2", traffic_harness::resumption_headers(events_begun, "c1")));
    fleet.harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(fleet.caller->bytes.empty());
    CPPUNIT_ASSERT(fleet.harness.state.streams.records_wanted);
    add_origin(fleet, {hash_text("c1"), "v1", pool_id{"three"}});
    fleet.wait_for_end();
    CPPUNIT_ASSERT_EQUAL(rest_of_stream, fleet.received());
    CPPUNIT_ASSERT_EQUAL(std::string("three"), take_pools_asked(fleet).front());
  }

  /// Earlier builds record the version only.
  void recorded_version_without_a_pool_is_found() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v2", "v3", "v4"});
    for (std::size_t place = 0; place < pool_names.size(); ++place) {
      const std::string id = "begun-" + std::to_string(place);
      add_origin(fleet, {hash_text(id), "v" + std::to_string(place + 1), {}});
      fleet.resume("again-" + std::to_string(place), events_begun, id);
      CPPUNIT_ASSERT_EQUAL(rest_of_stream, fleet.received());
      CPPUNIT_ASSERT_EQUAL(pool_names[place], take_pools_asked(fleet).front());
    }
  }

  void resumption_of_an_unknown_stream_is_refused() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v1", "v1", "v1"});
    fleet.resume("c2", events_begun, "unknown");
    check_refused(fleet);
  }

  void resumption_without_its_stream_is_refused_at_once() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v1", "v1", "v1"});
    const steady_time sent_at = fleet.harness.time.now();
    fleet.call(traffic_harness::chat_bytes("c2", last_event_field(events_begun)));
    check_refused(fleet);
    CPPUNIT_ASSERT(fleet.harness.time.now() - sent_at < at_once);
  }

  void stream_of_a_pool_without_its_version_is_refused() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v2", "v3", "v4"});
    const std::string pool = lose_stream(fleet);
    for (const auto& endpoint : fleet.endpoints) {
      if (endpoint->pool.value == pool) {
        fleet.harness.unlist(endpoint->name);
      }
    }
    fleet.resume("c2", events_begun);
    check_refused(fleet);
  }

  void stream_of_a_pool_that_left_the_route_goes_on_where_its_version_is() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v1", "v2", "v2"});
    add_origin(fleet, {hash_text("c1"), "v1", pool_id{"one"}});
    split_chats(fleet, 9, {"two", "three", "four"});
    fleet.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(rest_of_stream, fleet.received());
    CPPUNIT_ASSERT_EQUAL(std::string("two"), take_pools_asked(fleet).front());
    split_chats(fleet, 10, {"three", "four"});
    fleet.resume("c3", events_begun);
    check_refused(fleet);
  }

  void pool_without_weight_gets_no_resumptions() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v2", "v3", "v4"});
    add_origin(fleet, {hash_text("c1"), "v1", pool_id{"one"}});
    gateway::service_map map = *fleet.harness.state.services;
    map.routes[0].pools[0].weight = 0.0;
    fleet.harness.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    fleet.resume("c2", events_begun);
    check_refused(fleet);
  }

  void new_streams_are_split() {
    versioned_pool fleet;
    add_pools(fleet, {"v1", "v2", "v3", "v4"});
    std::set<std::string> pools;
    for (int count = 0; count < streams; ++count) {
      fleet.call_for_first_events("new-" + std::to_string(count));
      pools.insert(take_pools_asked(fleet).front());
    }
    CPPUNIT_ASSERT_EQUAL(pool_names.size(), pools.size());
  }

 private:
  static constexpr int streams = 24;

  /// Adds an origin as if it had been read from the store.
  static void add_origin(versioned_pool& fleet, const gateway::stream_origin& origin) {
    add_recorded_origin(fleet.harness.state.streams, origin, fleet.harness.time.now());
  }

  /// The endpoints of each pool have one version.
  static void check_resumed_where_begun(const std::vector<std::string>& versions) {
    versioned_pool fleet;
    add_pools(fleet, versions);
    for (int count = 0; count < streams; ++count) {
      const std::string id = "begun-" + std::to_string(count);
      fleet.call_for_first_events(id);
      fleet.lose_connection();
      const std::string pool = take_pools_asked(fleet).front();
      fleet.resume("again-" + std::to_string(count), events_begun, id);
      CPPUNIT_ASSERT_EQUAL(rest_of_stream, fleet.received());
      CPPUNIT_ASSERT(std::vector<std::string>{pool} == take_pools_asked(fleet));
    }
  }

  static void check_refused(versioned_pool& fleet) {
    CPPUNIT_ASSERT_EQUAL(std::string("503"), status_of(*fleet.caller));
    CPPUNIT_ASSERT(take_pools_asked(fleet).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(split_route_test);

}  // namespace chestnuthead
