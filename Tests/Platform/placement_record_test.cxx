#include "placement_record.h"

#include <functional>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Fakes/scripted_endpoint.h"
#include "Fakes/stepped_clock.h"
#include "Gateway/gateway_fixture.h"
#include "Net/json_text.h"
#include "Traffic/placements_codec.h"

namespace chestnuthead::platform {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

constexpr milliseconds store_time{700'000};

/// A store that holds at most one row.
struct single_row_store {
  single_row_store()
      : log(this->time, "test", log_level::info, this->lines, 1'000), store(this->loop) {
    this->store.scripts = {[this](connection& caller) { this->serve(caller); }};
  }

  void serve(connection& caller) {
    const auto& asked = this->store.requests.back();
    if (asked.head.method == "POST") {
      const auto object = parse_json_object(asked.body);
      const auto rows = json_array(*object, "set_keys");
      this->row = json_text(*rows->getObject(0), "value");
      ++this->writes;
    }
    const std::string rows = this->row.empty()
                                 ? ""
                                 : R"({"table":"prefixes","part":"","key":"recent","value":")" +
                                       this->row + R"(","row_version":3})";
    const std::string body = "{\"rows\":[" + rows + R"(],"row_version":9,"now_ms":)" +
                             std::to_string(this->store_clock.count()) + "}";
    caller.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body);
  }

  bool run_until(placement_record& record, const std::function<bool()>& condition) {
    const steady_time deadline = this->time.now() + std::chrono::seconds{60};
    while (!condition() && this->time.now() < deadline) {
      this->loop.run_once(milliseconds{0});
      this->loop.run_once(milliseconds{0});
      this->time.advance(milliseconds{1});
      record.tick(this->time.now(), store_time);
    }
    return condition();
  }

  stepped_clock time;
  line_ring lines;
  json_log log;
  seeded_random random{1};
  traffic::event_loop loop;
  scripted_endpoint store;
  /// Value of the row in base64; empty if there is no row.
  std::string row;
  milliseconds store_clock = store_time;
  int writes = 0;
};

/// The placement record of one gateway, with the gateway's state.
struct gateway_fixture {
  gateway_fixture(single_row_store& bench, gateway::gateway_state tables)
      : state(std::move(tables)),
        record(bench.loop, bench.time, bench.log, bench.random, this->state, bench.store.address) {}

  gateway::gateway_state state;
  placement_record record;
};

}  // namespace

class placement_record_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(placement_record_test);
  CPPUNIT_TEST(placements_survive_a_restart_of_all_gateways);
  CPPUNIT_TEST(placements_are_applied_once_the_endpoints_are_known);
  CPPUNIT_TEST(an_expired_record_is_ignored);
  CPPUNIT_TEST(a_malformed_record_is_ignored);
  CPPUNIT_TEST(the_write_interval_grows_with_the_fleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// All gateways restart at the same time after endpoints were added. Chats must be sent to
  /// the endpoints that have their prefixes cached, which are not their first choice among
  /// the current endpoints.
  void placements_survive_a_restart_of_all_gateways() {
    single_row_store bench;
    {
      gateway_fixture before(bench, gateway::test_state(4));
      for (std::uint64_t chat = 0; chat < 100; ++chat) {
        this->place(before.state, chat);
      }
      CPPUNIT_ASSERT(bench.run_until(before.record, [&] { return bench.writes == 1; }));
      this->homes.clear();
      for (std::uint64_t chat = 0; chat < 100; ++chat) {
        this->homes.push_back(this->place(before.state, chat));
      }
    }
    gateway_fixture after(bench, gateway::test_state(12));
    CPPUNIT_ASSERT(
        bench.run_until(after.record, [&] { return !after.state.holders.rows.empty(); }));
    for (std::uint64_t chat = 0; chat < 100; ++chat) {
      CPPUNIT_ASSERT(this->place(after.state, chat) == this->homes[chat]);
    }
  }

  void placements_are_applied_once_the_endpoints_are_known() {
    single_row_store bench;
    bench.row = record_of(store_time);
    gateway_fixture gateway(bench, gateway::test_state(0));
    gateway.state.endpoints_known = false;
    bench.run_until(gateway.record, [&] { return bench.store.requests.size() == 1; });
    const steady_time asked = bench.time.now();
    bench.run_until(gateway.record, [&] { return bench.time.now() - asked > milliseconds{50}; });
    CPPUNIT_ASSERT(gateway.state.holders.rows.empty());
    list_endpoint(gateway.state.endpoints, gateway::listing_of("engine-0", gateway::engine_pool),
                  bench.time.now());
    gateway.state.endpoints_known = true;
    CPPUNIT_ASSERT(
        bench.run_until(gateway.record, [&] { return !gateway.state.holders.rows.empty(); }));
    // The endpoint of the other placement does not exist.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.state.holders.rows.size());
  }

  void an_expired_record_is_ignored() {
    single_row_store bench;
    bench.row = record_of(store_time);
    bench.store_clock = store_time + gateway::holder_lifetime;
    gateway_fixture gateway(bench, gateway::test_state(4));
    bench.run_until(gateway.record, [&] { return bench.writes > 0; });
    CPPUNIT_ASSERT(gateway.state.holders.rows.empty());
  }

  void a_malformed_record_is_ignored() {
    single_row_store bench;
    bench.row = encode_base64("no record");
    gateway_fixture gateway(bench, gateway::test_state(4));
    bench.run_until(gateway.record, [&] { return bench.writes > 0; });
    CPPUNIT_ASSERT(gateway.state.holders.rows.empty());
    bool logged = false;
    bench.lines.flush(pipe_piece, [&logged](std::string_view piece) {
      logged = logged || piece.find("placements_ignored") != std::string_view::npos;
      return true;
    });
    CPPUNIT_ASSERT(logged);
  }

  void the_write_interval_grows_with_the_fleet() {
    single_row_store bench;
    gateway_fixture gateway(bench, gateway::test_state(4));
    gateway.state.fleet.gateways = 5;
    this->place(gateway.state, 1);
    const steady_time began = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until(gateway.record, [&] { return bench.writes == 3; }));
    // The first write was scheduled before the size of the fleet was known.
    CPPUNIT_ASSERT(bench.time.now() - began > 5 * record_interval);
  }

 private:
  endpoint_id place(gateway::gateway_state& state, std::uint64_t chat) {
    const gateway::caller_request request = gateway::chat_request(chat);
    gateway::placement_hints hints;
    const std::uint64_t prefix = affinity_of(request);
    hints.holders = holders_of(state.holders, prefix, gateway::test_start);
    const auto choice = choose_endpoint(endpoints_of(state.endpoints, gateway::engine_pool),
                                        gateway::engine_pool_settings(), request, hints,
                                        state.fleet, this->random, gateway::test_start);
    const gateway::endpoint& row = *std::get<gateway::placement>(choice).row;
    record_own_placement(state.holders, {prefix, row.hash}, gateway::test_start);
    return row.listing.name;
  }

  static std::string record_of(milliseconds written_at) {
    return encode_base64(traffic::encode_placements(
        {written_at, {{1, hash_text("engine-0")}, {2, hash_text("engine-99")}}}));
  }

  std::vector<endpoint_id> homes;
  seeded_random random{3};
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_record_test);

}  // namespace chestnuthead::platform
