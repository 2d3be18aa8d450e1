#include "Gateway/stream_origins.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"
#include "property_check.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{50};

/// The store's rows. Versions are kept by pool, of which there is one.
struct model_store {
  std::set<std::string> versions;
  std::map<std::uint64_t, std::string> origins;
  /// Versions of the listed endpoints.
  std::vector<std::string> listed{"v0"};
  bool away = false;
};

struct model_stream {
  std::uint64_t request = 0;
  std::string version;
  steady_time began_at{};
};

/// Three gateways before one store. Each reads the list of endpoints at its own moments.
class model_fleet {
 public:
  model_fleet() {
    for (stream_origins& gateway : this->gateways) {
      this->read_endpoints(gateway);
      this->write(gateway);
    }
  }

  void advance() {
    this->now += step;
  }

  void read_endpoints(stream_origins& gateway) const {
    if (this->store.away) {
      return;
    }
    for (const std::string& version : this->store.listed) {
      note_stream_version(gateway, engine_pool, version, this->now);
    }
    gateway.endpoints_as_of = this->now;
  }

  void read_records(stream_origins& gateway) const {
    if (this->store.away) {
      return;
    }
    for (const std::string& version : this->store.versions) {
      note_stream_version(gateway, engine_pool, version, this->now);
    }
    for (const auto& [request, version] : this->store.origins) {
      add_recorded_origin(gateway, {request, version, engine_pool}, this->now);
    }
    gateway.records_as_of = this->now;
  }

  void write(stream_origins& gateway) {
    const auto origins = take_unrecorded(gateway, 100);
    mark_recorded(gateway, origins, !this->store.away);
    if (this->store.away) {
      return;
    }
    for (const stream_origin& origin : origins) {
      this->store.origins[origin.request] = origin.version;
    }
    for (const auto& [version, listed_at] : gateway.versions[engine_pool]) {
      this->store.versions.insert(version);
    }
  }

  /// A gateway sends a stream to an endpoint that it has seen.
  void begin_stream(stream_origins& gateway, std::size_t choice) {
    const auto& versions = gateway.versions[engine_pool];
    if (versions.empty()) {
      return;
    }
    const auto version =
        std::next(versions.begin(), static_cast<std::ptrdiff_t>(choice % versions.size()))->first;
    this->streams.push_back({this->streams.size() + 1, version, this->now});
    note_stream(gateway, {this->streams.back().request, version, engine_pool}, this->now);
  }

  /// A new version replaces the others, all at once or beside them.
  void release(bool beside) {
    if (!beside) {
      this->store.listed.clear();
    }
    this->store.listed.push_back("v" + std::to_string(++this->newest));
    // One gateway sees each version before the next release, as these take seconds.
    this->read_endpoints(this->gateways.front());
    this->write(this->gateways.front());
  }

  /// Asks the gateway for the version of a stream, as a request that has just arrived.
  [[nodiscard]] std::optional<std::string> ask(stream_origins& gateway, const model_stream& stream,
                                               bool named) const {
    resumption wanted;
    wanted.arrived_at = this->now;
    if (named) {
      wanted.began_as = stream.request;
    }
    return version_of_stream(gateway, engine_pool, wanted);
  }

  steady_time now = test_start;
  model_store store;
  std::array<stream_origins, 3> gateways;
  std::vector<model_stream> streams;
  int newest = 0;
};

endpoint_table endpoints_of_version(const std::string& version, steady_time now) {
  endpoint_table table;
  endpoint_listing listing = listing_of("engine", engine_pool);
  listing.version = version;
  list_endpoint(table, listing, now);
  return table;
}

/// A gateway that has read the store at `now`.
stream_origins fresh_gateway(const std::vector<std::string>& versions, steady_time now) {
  stream_origins table;
  for (const std::string& version : versions) {
    note_stream_version(table, engine_pool, version, now);
  }
  table.endpoints_as_of = now;
  table.records_as_of = now;
  return table;
}

/// Share of the streams that were open when a gateway was killed which the store knows, over
/// `gateways` that all began streams of 1 to 3 s, which go on at two versions.
double known_share_after_kill(std::uint32_t gateways) {
  constexpr std::uint64_t streams_per_gateway = 8;
  constexpr milliseconds write_time{20};
  constexpr milliseconds tick{10};
  constexpr milliseconds run{10'000};
  std::mt19937_64 random(1);
  const auto draw = [&random](std::int64_t end) {
    return milliseconds{std::uniform_int_distribution<std::int64_t>(0, end - 1)(random)};
  };
  int open = 0;
  int known = 0;
  for (std::uint32_t number = 0; number < gateways; ++number) {
    stream_origins table = fresh_gateway({"v1", "v2"}, test_start);
    const steady_time killed_at = test_start + run + draw(origin_record_interval(gateways).count());
    steady_time next_record_at = test_start;
    std::map<std::uint64_t, steady_time> ends;
    std::set<std::uint64_t> recorded;
    std::uint64_t last_request = 0;
    for (steady_time now = test_start; now < killed_at; now += tick) {
      if (draw(1'000) < tick * streams_per_gateway) {
        ends[++last_request] = now + milliseconds{1'000} + draw(2'000);
        note_stream(table, {last_request, "v1", engine_pool}, now);
      }
      if (now >= next_record_at && !table.unrecorded.empty()) {
        next_record_at = now + origin_record_interval(gateways);
        const std::vector<stream_origin> origins = take_unrecorded(table, 1'000);
        for (const stream_origin& origin : origins) {
          if (now + write_time <= killed_at) {
            recorded.insert(origin.request);
          }
        }
        mark_recorded(table, origins, /*recorded=*/true);
      }
    }
    for (const auto& [request, end] : ends) {
      open += end > killed_at ? 1 : 0;
      known += end > killed_at && recorded.contains(request) ? 1 : 0;
    }
  }
  return static_cast<double>(known) / open;
}

/// The chats are split over the engine pool and another one with this weight.
service_map split_services(double weight) {
  service_map map = test_services();
  map.routes[0].pools.push_back({{"other-engines"}, weight});
  return map;
}

}  // namespace

class stream_origins_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_origins_test);
  CPPUNIT_TEST(no_stream_is_taken_for_one_of_another_version);
  CPPUNIT_TEST(recorded_stream_is_known_after_all_gateways_were_killed);
  CPPUNIT_TEST(only_version_is_not_assumed_before_the_store_confirms_it);
  CPPUNIT_TEST(version_that_has_just_left_is_not_forgotten);
  CPPUNIT_TEST(version_that_left_long_ago_does_not_prevent_resumptions);
  CPPUNIT_TEST(stream_begun_before_a_second_version_is_recorded);
  CPPUNIT_TEST(no_stream_is_recorded_while_there_is_one_version);
  CPPUNIT_TEST(streams_of_a_split_route_are_recorded);
  CPPUNIT_TEST(stream_begun_before_its_route_was_split_is_recorded);
  CPPUNIT_TEST(streams_of_other_split_routes_are_not_recorded);
  CPPUNIT_TEST(records_of_other_gateways_are_not_written_again);
  CPPUNIT_TEST(failed_record_is_written_again);
  CPPUNIT_TEST(records_are_written_again_in_a_new_era);
  CPPUNIT_TEST(wait_for_an_unknown_stream_ends);
  CPPUNIT_TEST(number_of_origins_is_bounded);
  CPPUNIT_TEST(records_of_a_large_fleet_stay_within_the_stores_rate);
  CPPUNIT_TEST(most_streams_of_killed_gateways_are_known_in_any_fleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Random orders of releases, kills, outages of the store, reads, records and resumptions.
  void no_stream_is_taken_for_one_of_another_version() {
    check_property("no stream is taken for one of another version", [] {
      model_fleet fleet;
      const auto steps = *rc::gen::inRange(50, 300);
      for (int index = 0; index < steps; ++index) {
        play_step(fleet, *rc::gen::inRange(0, 12));
      }
    });
  }

  void recorded_stream_is_known_after_all_gateways_were_killed() {
    model_fleet fleet;
    fleet.begin_stream(fleet.gateways[0], 0);
    fleet.release(/*beside=*/true);
    fleet.write(fleet.gateways[0]);
    fleet.store.listed = {"v1"};
    fleet.gateways = {};
    for (stream_origins& gateway : fleet.gateways) {
      fleet.read_endpoints(gateway);
      fleet.read_records(gateway);
      CPPUNIT_ASSERT(fleet.ask(gateway, fleet.streams[0], true) == std::string("v0"));
      CPPUNIT_ASSERT(!fleet.ask(gateway, fleet.streams[0], false));
    }
  }

  void only_version_is_not_assumed_before_the_store_confirms_it() {
    const stream_origins table = fresh_gateway({"v1"}, test_start);
    CPPUNIT_ASSERT(version_of_stream(table, engine_pool, {7, test_start}) == std::string("v1"));
    const resumption later{7, test_start + milliseconds{1}};
    CPPUNIT_ASSERT(!version_of_stream(table, engine_pool, later));
    CPPUNIT_ASSERT(may_become_known(table, later, 5, later.arrived_at));
  }

  void version_that_has_just_left_is_not_forgotten() {
    stream_origins table = fresh_gateway({"v1", "v2"}, test_start);
    const steady_time now = test_start + version_lifetime;
    update_stream_versions(table, endpoints_of_version("v2", now), now);
    table.endpoints_as_of = now;
    table.records_as_of = now;
    CPPUNIT_ASSERT(!version_of_stream(table, engine_pool, {7, now}));
  }

  void version_that_left_long_ago_does_not_prevent_resumptions() {
    stream_origins table = fresh_gateway({"v1", "v2"}, test_start);
    const steady_time now = test_start + version_lifetime + milliseconds{1};
    update_stream_versions(table, endpoints_of_version("v2", now), now);
    table.endpoints_as_of = now;
    table.records_as_of = now;
    CPPUNIT_ASSERT(version_of_stream(table, engine_pool, {7, now}) == std::string("v2"));
  }

  void stream_begun_before_a_second_version_is_recorded() {
    stream_origins table = fresh_gateway({"v1"}, test_start);
    note_stream(table, {7, "v1", engine_pool}, test_start);
    note_stream_version(table, engine_pool, "v2", test_start);
    const auto due = take_unrecorded(table, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), due[0].version);
  }

  void no_stream_is_recorded_while_there_is_one_version() {
    stream_origins table = fresh_gateway({"v1"}, test_start);
    note_stream(table, {7, "v1", engine_pool}, test_start);
    CPPUNIT_ASSERT(take_unrecorded(table, 10).empty());
  }

  /// Guards against streams of which no other gateway knows in which pool they began.
  void streams_of_a_split_route_are_recorded() {
    stream_origins table = fresh_gateway({"v1"}, test_start);
    update_split_pools(table, split_services(1.0));
    note_stream(table, {7, "v1", engine_pool}, test_start);
    const auto due = take_unrecorded(table, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
    CPPUNIT_ASSERT_EQUAL(engine_pool.value, due[0].pool.value);
  }

  void stream_begun_before_its_route_was_split_is_recorded() {
    stream_origins table = fresh_gateway({"v1"}, test_start);
    update_split_pools(table, test_services());
    note_stream(table, {7, "v1", engine_pool}, test_start);
    CPPUNIT_ASSERT(take_unrecorded(table, 10).empty());
    update_split_pools(table, split_services(1.0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, take_unrecorded(table, 10).size());
    // A second version changes nothing about them.
    note_stream_version(table, engine_pool, "v2", test_start);
    CPPUNIT_ASSERT(take_unrecorded(table, 10).empty());
  }

  void streams_of_other_split_routes_are_not_recorded() {
    stream_origins table = fresh_gateway({"v1"}, test_start);
    service_map unused = split_services(0.0);
    service_map not_resumable = split_services(1.0);
    not_resumable.routes[0].resumable = false;
    for (const service_map& map : {unused, not_resumable}) {
      update_split_pools(table, map);
      note_stream(table, {map.version, "v1", engine_pool}, test_start);
      CPPUNIT_ASSERT(take_unrecorded(table, 10).empty());
    }
  }

  void records_of_other_gateways_are_not_written_again() {
    stream_origins table = fresh_gateway({"v1", "v2"}, test_start);
    add_recorded_origin(table, {7, "v1", engine_pool}, test_start);
    begin_origin_era(table);
    CPPUNIT_ASSERT(take_unrecorded(table, 10).empty());
  }

  void failed_record_is_written_again() {
    stream_origins table = fresh_gateway({"v1", "v2"}, test_start);
    note_stream(table, {7, "v1", engine_pool}, test_start);
    mark_recorded(table, take_unrecorded(table, 10), /*recorded=*/false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, take_unrecorded(table, 10).size());
  }

  void records_are_written_again_in_a_new_era() {
    stream_origins table = fresh_gateway({"v1", "v2"}, test_start);
    note_stream(table, {7, "v1", engine_pool}, test_start);
    mark_recorded(table, take_unrecorded(table, 10), /*recorded=*/true);
    begin_origin_era(table);
    CPPUNIT_ASSERT(!table.records_as_of);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, take_unrecorded(table, 10).size());
  }

  void wait_for_an_unknown_stream_ends() {
    stream_origins table = fresh_gateway({"v1", "v2"}, test_start);
    const resumption wanted{7, test_start};
    CPPUNIT_ASSERT(may_become_known(table, wanted, 5, test_start));
    CPPUNIT_ASSERT(!may_become_known(table, wanted, 5, test_start + longest_origin_wait));
    table.records_as_of = test_start + origin_record_interval(5) + record_write_time;
    CPPUNIT_ASSERT(!may_become_known(table, wanted, 5, *table.records_as_of));
    const resumption unnamed{std::nullopt, test_start};
    CPPUNIT_ASSERT(!may_become_known(table, unnamed, 5, test_start));
  }

  void number_of_origins_is_bounded() {
    stream_origins table = fresh_gateway({"v1"}, test_start);
    for (std::uint64_t request = 0; request < max_origins + 10; ++request) {
      note_stream(table, {request, "v1", engine_pool}, test_start);
    }
    CPPUNIT_ASSERT_EQUAL(max_origins, table.rows.size());
    CPPUNIT_ASSERT_EQUAL(max_origins, table.by_age.size());
    CPPUNIT_ASSERT(!table.rows.contains(0));
  }

  void records_of_a_large_fleet_stay_within_the_stores_rate() {
    constexpr std::uint32_t gateways = 350;
    constexpr double store_writes_per_second = 400.0;
    const std::chrono::duration<double> interval = origin_record_interval(gateways);
    CPPUNIT_ASSERT(gateways / interval.count() < store_writes_per_second / 2);
  }

  /// Guards against records so rare that most streams of a killed gateway can't go on.
  void most_streams_of_killed_gateways_are_known_in_any_fleet() {
    for (const std::uint32_t gateways : {3U, 40U, 68U, 150U, 350U}) {
      const double share = known_share_after_kill(gateways);
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(gateways) + " gateways: share known " + std::to_string(share),
          share > 0.5);
    }
  }

 private:
  static void play_step(model_fleet& fleet, int kind) {
    fleet.advance();
    stream_origins& gateway = fleet.gateways.at(*rc::gen::inRange<std::size_t>(0, 3));
    switch (kind) {
      case 0:
        gateway = {};
        break;
      case 1:
        fleet.gateways = {};
        break;
      case 2:
        if (!fleet.store.away) {
          fleet.release(*rc::gen::arbitrary<bool>());
        }
        break;
      case 3:
        fleet.store.away = !fleet.store.away;
        break;
      case 4:
      case 5:
        fleet.read_endpoints(gateway);
        break;
      case 6:
        fleet.read_records(gateway);
        break;
      case 7:
        fleet.write(gateway);
        break;
      case 8:
      case 9:
        fleet.begin_stream(gateway, *rc::gen::inRange<std::size_t>(0, 3));
        break;
      default:
        check_answers(fleet, gateway);
        break;
    }
  }

  /// The gateway reads what it may, and is asked for all streams.
  static void check_answers(model_fleet& fleet, stream_origins& gateway) {
    if (*rc::gen::arbitrary<bool>()) {
      fleet.read_endpoints(gateway);
    }
    if (*rc::gen::arbitrary<bool>()) {
      fleet.read_records(gateway);
    }
    for (const model_stream& stream : fleet.streams) {
      for (const bool named : {true, false}) {
        const auto version = fleet.ask(gateway, stream, named);
        RC_ASSERT(!version || *version == stream.version);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origins_test);

}  // namespace chestnuthead::gateway
