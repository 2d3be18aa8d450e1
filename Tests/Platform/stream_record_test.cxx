#include "stream_record.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

#include "Fakes/scripted_endpoint.h"
#include "Fakes/stepped_clock.h"
#include "Gateway/gateway_fixture.h"
#include "Net/json_text.h"
#include "Net/metrics.h"
#include "Traffic/stream_origins_codec.h"
#include "wire_headers.h"

namespace chestnuthead::platform {

using std::chrono::milliseconds;
using std::chrono::seconds;
using connection = scripted_endpoint::connection;

namespace {

constexpr milliseconds step{1};
constexpr milliseconds store_start{700'000};
/// For a call over the loopback interface, with the rounding of the store's clock.
constexpr milliseconds tolerance{20};
/// How often the gateways read the table: one has requests that wait for it, one has few.
constexpr milliseconds first_read_interval{100};
constexpr milliseconds second_read_interval{3'000};
constexpr int status_unavailable = 503;
constexpr std::string_view versions_of_pools = "version/";
constexpr std::string_view begun_streams = "begun/";

/// The store's table of streams. Its clock and the gateways' are advanced together.
struct streams_store {
  explicit streams_store(traffic::event_loop& loop) : endpoint(loop) {
    this->endpoint.scripts = {[this](connection& caller) { this->serve(caller); }};
  }

  void serve(connection& caller) {
    const scripted_endpoint::request& asked = this->endpoint.requests.back();
    std::string body = "{}";
    if (asked.head.method != "POST") {
      body = this->page();
    } else {
      this->calls.push_back(asked.body);
      if (this->status == status_success) {
        this->execute(asked.body);
      }
      if (this->before_answer) {
        this->before_answer();
      }
    }
    caller.send("HTTP/1.1 " + std::to_string(this->status) +
                " Answer\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void execute(const std::string& body) {
    const auto object = parse_json_object(body);
    const auto written = json_array(*object, "set_keys");
    for (unsigned index = 0; index < written->size(); ++index) {
      const auto row = written->getObject(index);
      const std::string key = json_text(*row, "key");
      this->rows[key] = decode_base64(json_text(*row, "value"));
      this->changes.push_back({key, this->rows[key], false, 0});
    }
    const auto removed = json_array(*object, "delete");
    for (unsigned index = 0; index < removed->size(); ++index) {
      const std::string key = json_text(*removed->getObject(index), "key");
      this->rows.erase(key);
      this->changes.push_back({key, {}, true, 0});
    }
  }

  [[nodiscard]] std::string page() const {
    std::string listed;
    for (const auto& [key, value] : this->rows) {
      listed += (listed.empty() ? "" : ",") + encode_row(streams_table, key, value);
    }
    return "{\"rows\":[" + listed + R"(],"row_version":9,"now_ms":)" +
           std::to_string(this->now.count()) + "}";
  }

  [[nodiscard]] std::vector<std::string> keys(std::string_view prefix) const {
    std::vector<std::string> found;
    for (const auto& [key, value] : this->rows) {
      if (key.starts_with(prefix)) {
        found.push_back(key);
      }
    }
    return found;
  }

  [[nodiscard]] std::vector<std::string> listed_versions() const {
    std::vector<std::string> versions;
    for (const std::string& key : this->keys(versions_of_pools)) {
      versions.push_back(traffic::decode_pool_version(this->rows.at(key)).value().version);
    }
    std::sort(versions.begin(), versions.end());
    return versions;
  }

  scripted_endpoint endpoint;
  std::map<std::string, std::string> rows;
  /// All changes that gateways have made.
  std::vector<table_row> changes;
  milliseconds now = store_start;
  int status = status_success;
  /// Bodies of the writes that were called, also of the refused ones.
  std::vector<std::string> calls;
  /// Called when a write was executed, before it is answered.
  std::function<void()> before_answer;
};

/// One gateway's record of streams, with the gateway's state and clock.
struct gateway_fixture {
  gateway_fixture(traffic::event_loop& io, streams_store& streams, const std::string& name,
                  milliseconds started_before)
      : loop(io), store(streams) {
    this->time.advance(started_before);
    this->state = gateway::test_state(0);
    this->state.self = node_id{name};
    this->state.fleet.gateways = 2;
  }

  /// This gateway's clock minus the store's.
  [[nodiscard]] std::chrono::nanoseconds offset() const {
    return this->time.now().time_since_epoch() - this->store.now;
  }

  /// Applies the complete table.
  void read() {
    this->apply(this->offset());
    this->changes_read = this->store.changes.size();
  }

  /// Applies what has changed since the last read, as the store's feed reports it.
  void read_changes() {
    const auto begin =
        this->store.changes.begin() + static_cast<std::ptrdiff_t>(this->changes_read);
    table_change change;
    change.rows = gateway::newest_of_each({begin, this->store.changes.end()});
    change.as_of = this->time.now();
    this->record.apply(change, this->offset());
    this->changes_read = this->store.changes.size();
  }

  void apply(std::optional<std::chrono::nanoseconds> store_offset) {
    table_change change;
    for (const auto& [key, value] : this->store.rows) {
      change.rows.push_back({key, value, false, 1});
    }
    change.whole = true;
    change.as_of = this->time.now();
    this->record.apply(change, store_offset);
  }

  /// Forgets what is outdated, as a gateway does periodically.
  void forget() {
    update_stream_versions(this->state.streams, this->state.endpoints, this->time.now());
  }

  void list(const std::string& version) {
    note_stream_version(this->state.streams, gateway::engine_pool, version, this->time.now());
  }

  void begin_stream(std::uint64_t request, const std::string& version) {
    note_stream(this->state.streams, {request, version, gateway::engine_pool}, this->time.now());
  }

  [[nodiscard]] bool knows(std::uint64_t request, const std::string& version) const {
    const auto row = this->state.streams.rows.find(request);
    return row != this->state.streams.rows.end() && row->second.version == version;
  }

  std::string take_log() {
    std::string text;
    this->lines.flush(pipe_piece, [&text](std::string_view piece) {
      text += piece;
      return true;
    });
    return text;
  }

  traffic::event_loop& loop;
  streams_store& store;
  /// How many of the store's changes were read.
  std::size_t changes_read = 0;
  stepped_clock time;
  seeded_random random{1};
  line_ring lines;
  json_log log{this->time, "test", log_level::info, this->lines, 1'000};
  metrics_registry metrics;
  gateway::gateway_state state;
  traffic::endpoint_links links{this->loop, this->time, platform_dialect()};
  traffic::traffic_context context{this->loop, this->time,    this->random, platform_dialect(),
                                   this->log,  this->metrics, this->state,  this->links};
  stream_record record{this->context, this->store.endpoint.address};
};

/// Two gateways, whose clocks differ, before one store.
struct fleet_fixture {
  void advance(milliseconds time) {
    this->store.now += time;
    this->first.time.advance(time);
    this->second.time.advance(time);
  }

  void run_for(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += step) {
      this->loop.run_once(milliseconds{0});
      this->loop.run_once(milliseconds{0});
      this->advance(step);
      for (gateway_fixture* gateway : {&this->first, &this->second}) {
        gateway->record.tick(gateway->time.now(), gateway->offset());
      }
    }
  }

  bool run_until(const std::function<bool()>& condition) {
    constexpr seconds longest{10};
    const milliseconds deadline = this->store.now + longest;
    while (!condition() && this->store.now < deadline) {
      this->run_for(step);
    }
    return condition();
  }

  /// Runs until both gateways have written what they have to write.
  void settle() {
    this->run_for(2 * this->interval());
  }

  /// Runs for `time`, while each gateway reads the table's changes at its own interval.
  void run_and_read_for(milliseconds time) {
    const milliseconds end = this->store.now + time;
    while (this->store.now < end) {
      this->run_for(first_read_interval);
      this->first.read_changes();
      if (this->store.now % second_read_interval < first_read_interval) {
        this->second.read_changes();
      }
      this->first.forget();
      this->second.forget();
    }
  }

  /// The first gateway reads the table and knows two versions of the pool.
  void list_two_versions() {
    this->first.read();
    this->first.list("v1");
    this->first.list("v2");
    this->settle();
  }

  [[nodiscard]] milliseconds interval() const {
    return gateway::origin_record_interval(this->first.state.fleet.gateways);
  }

  [[nodiscard]] bool has_records(std::size_t count) const {
    return this->store.keys(begun_streams).size() == count;
  }

  traffic::event_loop loop;
  streams_store store{this->loop};
  gateway_fixture first{this->loop, this->store, "gateway-1", milliseconds{0}};
  gateway_fixture second{this->loop, this->store, "gateway-2", seconds{420}};
};

/// Puts the only endpoint of a pool into the gateway's list, so that its version stays.
void keep_listed(gateway_fixture& gateway, const std::string& version) {
  gateway::endpoint_listing listing = gateway::listing_of("engine", gateway::engine_pool);
  listing.version = version;
  list_endpoint(gateway.state.endpoints, listing, gateway.time.now());
}

/// A record of one stream, written at `written_at` of the store's clock.
std::string record_of(milliseconds written_at, std::uint64_t request) {
  return traffic::encode_origins({written_at, {{request, "v1", gateway::engine_pool}}});
}

}  // namespace

class stream_record_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_record_test);
  CPPUNIT_TEST(stream_is_recorded_within_the_interval);
  CPPUNIT_TEST(recorded_stream_is_dated_by_the_stores_clock);
  CPPUNIT_TEST(only_version_is_written_once_and_no_stream);
  CPPUNIT_TEST(nothing_is_written_before_the_stores_clock_is_known);
  CPPUNIT_TEST(failed_record_is_not_lost);
  CPPUNIT_TEST(failed_version_is_not_lost);
  CPPUNIT_TEST(rows_lost_by_a_new_era_are_written_again);
  CPPUNIT_TEST(acknowledgement_of_an_earlier_era_does_not_count);
  CPPUNIT_TEST(row_of_an_unreadable_kind_does_not_hide_the_others);
  CPPUNIT_TEST(outdated_record_is_not_applied);
  CPPUNIT_TEST(own_outdated_records_do_not_pile_up);
  CPPUNIT_TEST(records_of_a_dead_gateway_do_not_pile_up);
  CPPUNIT_TEST(records_that_others_may_need_are_not_removed);
  CPPUNIT_TEST(row_of_a_forgotten_version_is_removed);
  CPPUNIT_TEST(forgotten_version_is_not_kept_alive_by_two_gateways);
  CPPUNIT_TEST(undated_record_is_logged_and_applied_later);
  CPPUNIT_TEST(undated_record_is_not_taken_as_read);
  CPPUNIT_TEST(restarted_gateway_knows_streams_by_its_followers_offset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stream_is_recorded_within_the_interval() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    fleet.first.begin_stream(7, "v1");
    fleet.run_for(tolerance);
    CPPUNIT_ASSERT(fleet.has_records(1));
    // The next one has to wait for the rest of the interval, and no longer.
    fleet.first.begin_stream(8, "v2");
    fleet.run_for(fleet.interval() / 2);
    CPPUNIT_ASSERT(fleet.has_records(1));
    fleet.run_for(fleet.interval() / 2);
    CPPUNIT_ASSERT(fleet.has_records(2));
    fleet.second.read();
    CPPUNIT_ASSERT(fleet.second.knows(7, "v1"));
    CPPUNIT_ASSERT(fleet.second.knows(8, "v2"));
  }

  void recorded_stream_is_dated_by_the_stores_clock() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    fleet.first.begin_stream(7, "v1");
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(1); }));
    constexpr seconds age{5};
    fleet.advance(age);
    fleet.second.read();
    CPPUNIT_ASSERT(fleet.second.knows(7, "v1"));
    const auto noted_for = fleet.second.time.now() - fleet.second.state.streams.rows.at(7).noted_at;
    CPPUNIT_ASSERT(noted_for >= age);
    CPPUNIT_ASSERT(noted_for <= age + tolerance);
  }

  void only_version_is_written_once_and_no_stream() {
    fleet_fixture fleet;
    fleet.first.read();
    fleet.first.list("v1");
    fleet.first.begin_stream(7, "v1");
    fleet.run_for(seconds{5});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.store.calls.size());
    CPPUNIT_ASSERT(fleet.store.listed_versions() == std::vector<std::string>{"v1"});
    CPPUNIT_ASSERT(fleet.has_records(0));
  }

  void nothing_is_written_before_the_stores_clock_is_known() {
    fleet_fixture fleet;
    fleet.first.list("v1");
    fleet.first.list("v2");
    fleet.first.begin_stream(7, "v1");
    fleet.first.record.tick(fleet.first.time.now(), std::nullopt);
    fleet.loop.run_once(milliseconds{0});
    fleet.loop.run_once(milliseconds{0});
    CPPUNIT_ASSERT(fleet.store.calls.empty());
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(1); }));
  }

  void failed_record_is_not_lost() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    const std::size_t calls = fleet.store.calls.size();
    fleet.store.status = status_unavailable;
    fleet.first.begin_stream(7, "v1");
    constexpr int intervals = 5;
    fleet.run_for(intervals * fleet.interval());
    const std::size_t attempts = fleet.store.calls.size() - calls;
    CPPUNIT_ASSERT(attempts > 1);
    CPPUNIT_ASSERT(attempts <= intervals + 1);
    CPPUNIT_ASSERT(fleet.has_records(0));
    const std::string log = fleet.first.take_log();
    CPPUNIT_ASSERT_MESSAGE(log, log.find("store_write_failed") != std::string::npos);
    fleet.store.status = status_success;
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(1); }));
    fleet.second.read();
    CPPUNIT_ASSERT(fleet.second.knows(7, "v1"));
  }

  void failed_version_is_not_lost() {
    fleet_fixture fleet;
    fleet.store.status = status_unavailable;
    fleet.list_two_versions();
    CPPUNIT_ASSERT(!fleet.store.calls.empty());
    CPPUNIT_ASSERT(fleet.store.rows.empty());
    fleet.store.status = status_success;
    const std::vector<std::string> both{"v1", "v2"};
    CPPUNIT_ASSERT(fleet.run_until([&] { return fleet.store.listed_versions() == both; }));
  }

  void rows_lost_by_a_new_era_are_written_again() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    fleet.first.begin_stream(7, "v1");
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(1); }));
    fleet.settle();
    begin_era(fleet);
    fleet.first.read();
    CPPUNIT_ASSERT(fleet.run_until(
        [&fleet] { return fleet.has_records(1) && fleet.store.listed_versions().size() == 2; }));
    fleet.second.read();
    CPPUNIT_ASSERT(fleet.second.knows(7, "v1"));
  }

  /// The store loses a row that it has acknowledged, and the gateway has read the table of the
  /// new era before the answer arrives.
  void acknowledgement_of_an_earlier_era_does_not_count() {
    fleet_fixture fleet;
    bool lost = false;
    fleet.store.before_answer = [&fleet, &lost] {
      if (!std::exchange(lost, true)) {
        begin_era(fleet);
        fleet.first.read();
      }
    };
    fleet.first.read();
    fleet.first.list("v1");
    CPPUNIT_ASSERT(fleet.run_until([&lost] { return lost; }));
    CPPUNIT_ASSERT(fleet.store.rows.empty());
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.store.listed_versions().size() == 1; }));
  }

  void row_of_an_unreadable_kind_does_not_hide_the_others() {
    fleet_fixture fleet;
    const std::vector<std::string> unreadable{"another/kind", "begun/000000000699999/gateway-9",
                                              "version/12345"};
    for (const std::string& key : unreadable) {
      fleet.store.rows[key] = "no row";
    }
    fleet.store.rows["begun/000000000700000/gateway-8"] = record_of(store_start, 7);
    fleet.store.rows["version/99999"] = traffic::encode_pool_version({gateway::engine_pool, "v1"});
    fleet.second.read();
    const std::string log = fleet.second.take_log();
    CPPUNIT_ASSERT_MESSAGE(log, log.find("stream_row_ignored") != std::string::npos);
    for (const std::string& key : unreadable) {
      CPPUNIT_ASSERT_MESSAGE(log, log.find(key) != std::string::npos);
    }
    CPPUNIT_ASSERT(fleet.second.knows(7, "v1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.second.state.streams.rows.size());
    const auto& versions = fleet.second.state.streams.versions;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, versions.size());
    CPPUNIT_ASSERT(versions.at(gateway::engine_pool).contains("v1"));
  }

  void outdated_record_is_not_applied() {
    fleet_fixture fleet;
    const milliseconds oldest = fleet.store.now - gateway::origin_lifetime;
    fleet.store.rows["begun/1/gateway-8"] = record_of(oldest - step, 7);
    fleet.store.rows["begun/2/gateway-8"] = record_of(oldest, 8);
    fleet.second.read();
    CPPUNIT_ASSERT(!fleet.second.knows(7, "v1"));
    CPPUNIT_ASSERT(fleet.second.knows(8, "v1"));
  }

  void own_outdated_records_do_not_pile_up() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    fleet.first.begin_stream(7, "v1");
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(1); }));
    const std::string outdated = fleet.store.keys(begun_streams).front();
    fleet.advance(gateway::origin_lifetime + tolerance);
    fleet.first.begin_stream(8, "v2");
    CPPUNIT_ASSERT(fleet.run_until([&] { return !fleet.store.rows.contains(outdated); }));
    CPPUNIT_ASSERT(fleet.has_records(1));
    fleet.second.read();
    CPPUNIT_ASSERT(fleet.second.knows(8, "v2"));
    // What was removed is not removed again.
    fleet.settle();
    fleet.first.begin_stream(9, "v2");
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(2); }));
    CPPUNIT_ASSERT(fleet.store.calls.back().find(outdated) == std::string::npos);
  }

  void records_of_a_dead_gateway_do_not_pile_up() {
    fleet_fixture fleet;
    const std::string left_behind = "begun/000000000000001/gateway-8";
    fleet.store.rows[left_behind] =
        record_of(fleet.store.now - 2 * gateway::origin_lifetime - step, 7);
    fleet.list_two_versions();
    fleet.first.begin_stream(8, "v1");
    CPPUNIT_ASSERT(fleet.run_until([&] { return !fleet.store.rows.contains(left_behind); }));
    CPPUNIT_ASSERT(fleet.has_records(1));
  }

  /// Neither one's own records that may still be needed, nor those that the other gateway
  /// removes itself.
  void records_that_others_may_need_are_not_removed() {
    fleet_fixture fleet;
    fleet.store.rows["begun/000000000000001/gateway-2"] =
        record_of(fleet.store.now - gateway::origin_lifetime - step, 7);
    fleet.store.rows["begun/000000000000002/gateway-1"] = record_of(fleet.store.now, 8);
    fleet.list_two_versions();
    fleet.first.begin_stream(9, "v1");
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(3); }));
  }

  void row_of_a_forgotten_version_is_removed() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.store.listed_versions().size());
    keep_listed(fleet.first, "v2");
    fleet.advance(gateway::version_lifetime + step);
    fleet.first.forget();
    const std::vector<std::string> left{"v2"};
    CPPUNIT_ASSERT(fleet.run_until([&] { return fleet.store.listed_versions() == left; }));
    const std::size_t calls = fleet.store.calls.size();
    fleet.run_for(seconds{5});
    CPPUNIT_ASSERT_EQUAL(calls, fleet.store.calls.size());
  }

  /// Each gateway that reads the row counts the version for some time more; if it then wrote
  /// the row again for the other, streams of unknown origin would be refused for ever.
  void forgotten_version_is_not_kept_alive_by_two_gateways() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    // The second gateway has seen the old version's endpoint a little longer.
    fleet.second.read();
    fleet.second.list("v1");
    keep_listed(fleet.first, "v2");
    keep_listed(fleet.second, "v2");
    fleet.advance(gateway::version_lifetime - seconds{2});
    constexpr int lifetimes = 3;
    fleet.run_and_read_for(lifetimes * gateway::version_lifetime);
    CPPUNIT_ASSERT(fleet.store.listed_versions() == std::vector<std::string>{"v2"});
    for (const gateway_fixture* gateway : {&fleet.first, &fleet.second}) {
      CPPUNIT_ASSERT(!has_several_versions(gateway->state.streams, gateway::engine_pool));
    }
  }

  void undated_record_is_logged_and_applied_later() {
    fleet_fixture fleet;
    const std::string key = "begun/000000000700000/gateway-8";
    fleet.store.rows[key] = record_of(store_start, 7);
    fleet.second.apply(std::nullopt);
    CPPUNIT_ASSERT(!fleet.second.knows(7, "v1"));
    const std::string log = fleet.second.take_log();
    CPPUNIT_ASSERT_MESSAGE(log, log.find(key) != std::string::npos);
    fleet.second.read();
    CPPUNIT_ASSERT(fleet.second.knows(7, "v1"));
  }

  /// A request whose stream is in the record would not wait for it any longer.
  void undated_record_is_not_taken_as_read() {
    fleet_fixture fleet;
    fleet.store.rows["begun/000000000700000/gateway-8"] = record_of(store_start, 7);
    fleet.second.apply(std::nullopt);
    CPPUNIT_ASSERT(!fleet.second.state.streams.records_as_of);
  }

  /// The offset is known by the answer that brings the rows.
  void restarted_gateway_knows_streams_by_its_followers_offset() {
    fleet_fixture fleet;
    fleet.list_two_versions();
    fleet.first.begin_stream(7, "v1");
    CPPUNIT_ASSERT(fleet.run_until([&fleet] { return fleet.has_records(1); }));
    gateway_fixture& restarted = fleet.second;
    std::unique_ptr<table_follower> follower;
    follower = std::make_unique<table_follower>(
        fleet.loop, restarted.time, restarted.log, restarted.random, fleet.store.endpoint.address,
        follower_settings{streams_table, {}},
        [&](const table_change& change) {
          restarted.record.apply(change, follower->store_offset());
        },
        [](const gateway::table_update& /*update*/) {});
    CPPUNIT_ASSERT(fleet.run_until([&] {
      follower->tick(restarted.time.now());
      return restarted.state.streams.records_as_of.has_value();
    }));
    CPPUNIT_ASSERT(restarted.knows(7, "v1"));
    const std::string log = restarted.take_log();
    CPPUNIT_ASSERT_MESSAGE(log, log.find("stream_row_ignored") == std::string::npos);
  }

 private:
  /// The store loses its rows, and the first gateway learns of the new era.
  static void begin_era(fleet_fixture& fleet) {
    fleet.store.rows.clear();
    ++fleet.first.state.eras.era;
    fleet.first.record.begin_era(fleet.first.time.now());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_record_test);

}  // namespace chestnuthead::platform
