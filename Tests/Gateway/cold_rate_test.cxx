#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/cold_pacing.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/gateway_fixture.h"
#include "Gateway/incarnation_proof.h"
#include "Gateway/peer_table.h"
#include "Gateway/placement.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Requests per second that a cold endpoint supports, and how many it may get in one second.
constexpr double cold_rate = 14.0;
constexpr std::size_t cold_rate_bound = 26;
constexpr seconds warm_up{3};
constexpr milliseconds step{10};

node_id gateway_name(int number) {
  return {"gateway-" + std::to_string(number)};
}

/// Gateways with states of their own before one endpoint that turns cold. Each sends as often as
/// it may, with gaps of `pause`.
class cold_fleet {
 public:
  explicit cold_fleet(int gateways) {
    for (int number = 0; number < gateways; ++number) {
      this->members.push_back(std::make_unique<member>());
      this->members.back()->offset = milliseconds{next_below(this->random, 500)};
    }
    for (int number = 0; number < gateways; ++number) {
      this->start(number);
      // The gateways have run for longer than any wait after a start.
      this->members[static_cast<std::size_t>(number)]->state.started_at -= std::chrono::minutes{1};
    }
  }

  /// Starts the gateway anew. It reads the list of gateways from the store unless that fails.
  void start(int number, bool reads_peers = true) {
    member& one = *this->members[static_cast<std::size_t>(number)];
    one.state = test_state(1);
    one.state.self = gateway_name(number);
    one.state.services = this->services;
    one.state.started_at = this->now;
    one.state.peers_known = reads_peers;
    for (int other = 0; reads_peers && other < this->size(); ++other) {
      if (other != number) {
        list_peer(one.state.peers, gateway_name(other), "10.0.0.2:7340", this->now);
      }
    }
  }

  /// All gateways start anew when the list of gateways is empty, and each learns of each other
  /// one within `lag`.
  void start_with_empty_list(milliseconds lag) {
    const auto range = static_cast<std::uint64_t>(lag.count()) + 1;
    for (int number = 0; number < this->size(); ++number) {
      this->start(number);
      member& one = *this->members[static_cast<std::size_t>(number)];
      for (const auto& [name, row] : std::exchange(one.state.peers.rows, {})) {
        one.unread.emplace(this->now + milliseconds{next_below(this->random, range)}, name);
      }
    }
  }

  /// The gateway begins a graceful shutdown. The others learn it at once.
  void begin_stop(int number) {
    this->members[static_cast<std::size_t>(number)]->state.stopping = true;
    for (const auto& one : this->members) {
      one->state.peers.rows.erase(gateway_name(number));
    }
  }

  /// True if the gateway may send to the endpoint while that is cold.
  [[nodiscard]] bool is_sender(int number) const {
    return row_of(*this->members[static_cast<std::size_t>(number)]).pacing.is_sender;
  }

  /// All gateways learn now that the endpoint has started anew and is cold.
  void restart_endpoint() {
    for (const auto& one : this->members) {
      endpoint_listing listing = row_of(*one).listing;
      ++listing.started;
      listing.cold_for = warm_up;
      list_endpoint(one->state.endpoints, listing, this->now);
    }
  }

  /// The endpoint starts again, cold, at the same time as all gateways or as every second one. They
  /// read its previous entry; the next one follows after `entry_lag`. The others have lost their
  /// connections to it.
  void restart_with_endpoint(int every, milliseconds entry_lag) {
    this->cold_until = this->now + warm_up;
    this->listed_at = this->now + entry_lag;
    for (int number = 0; number < this->size(); ++number) {
      endpoint_table& table = this->members[static_cast<std::size_t>(number)]->state.endpoints;
      if (number % every == 0) {
        this->start(number);
        list_endpoint(table = {}, listing_of("engine-0", engine_pool), std::nullopt, this->now);
      } else {
        doubt_incarnation(table.rows.begin()->second, incarnation_doubt::may_have_restarted,
                          this->now);
      }
    }
  }

  /// All gateways lose the endpoint and have to check it.
  void lose_endpoint() {
    for (const auto& one : this->members) {
      note_loss_report(row_of(*one), this->now);
    }
  }

  /// The gateway does not know of a share of the others.
  void hide_peers(int number, double share) {
    peer_table& peers = this->members[static_cast<std::size_t>(number)]->state.peers;
    std::erase_if(peers.rows, [&](const auto&) { return next_unit(this->random) < share; });
  }

  /// All gateways learn, each with a delay, that the endpoint is cold.
  void turn_cold() {
    for (const auto& one : this->members) {
      one->cold_at = this->now + one->offset;
    }
  }

  void run_for(milliseconds length) {
    const steady_time end = this->now + length;
    for (; this->now < end; this->now += step) {
      for (const auto& one : this->members) {
        this->tick(*one);
        this->check(*one);
        this->send(*one);
      }
    }
  }

  [[nodiscard]] int size() const {
    return static_cast<int>(this->members.size());
  }
  [[nodiscard]] std::size_t requests() const {
    return this->sent.size();
  }

  /// The highest number of requests in any second.
  [[nodiscard]] std::size_t most_in_a_second() const {
    std::size_t most = 0;
    for (auto first = this->sent.begin(); first != this->sent.end(); ++first) {
      const auto last = std::lower_bound(first, this->sent.end(), *first + seconds{1});
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

  /// Mean time between two requests that a gateway wants to send to the endpoint.
  milliseconds pause{0};

 private:
  struct member {
    gateway_state state;
    /// Delay with which the gateway learns that the endpoint is cold.
    milliseconds offset{0};
    steady_time cold_at{};
    steady_time next_wanted{};
    /// Gateways that this one has not learnt of yet, by the time at which it does.
    std::multimap<steady_time, node_id> unread;
  };

  void tick(member& one) {
    if (one.cold_at != steady_time{} && this->now >= one.cold_at) {
      one.cold_at = {};
      row_of(one).cold_until = this->now + warm_up;
    }
    while (!one.unread.empty() && one.unread.begin()->first <= this->now) {
      list_peer(one.state.peers, one.unread.begin()->second, "10.0.0.2:7340", this->now);
      one.unread.erase(one.unread.begin());
    }
    if (this->listed_at && this->now == *this->listed_at) {
      endpoint_listing listing = row_of(one).listing;
      ++listing.started;
      listing.cold_for = std::chrono::duration_cast<milliseconds>(this->cold_until - this->now);
      list_endpoint(one.state.endpoints, listing, this->now);
    }
    update_cold_pacing(one.state, this->now);
    schedule_proof_checks(one.state, this->now);
    const std::uint32_t known = count_gateways(one.state.peers, this->now);
    one.state.fleet.gateways = one.state.peers_known ? known : std::max(known, gateways_assumed);
  }

  /// Checks the endpoint's health if that is due. Checks count as requests.
  void check(member& one) {
    endpoint& row = row_of(one);
    if (check_due(row, this->now) || proof_check_due(row, this->now)) {
      count_cold_check(row, this->now);
      this->sent.push_back(this->now);
      note_healthy(row, this->now);
      prove_incarnation(row);
      row.cold_until = std::max(row.cold_until, this->cold_until);
    }
  }

  void send(member& one) {
    endpoint& row = row_of(one);
    const bool is_really_cold = is_cold(row, this->now) || this->now < this->cold_until;
    if (!is_really_cold || this->now < one.next_wanted) {
      return;
    }
    count_request(one.state.resend_budgets[engine_pool], one.state.resends, this->now);
    const pool& settings = *find_pool(*one.state.services, engine_pool);
    const auto choice =
        choose_endpoint(endpoints_of(one.state.endpoints, engine_pool), settings, chat_request(1),
                        {}, one.state.fleet, this->random, this->now);
    if (!std::holds_alternative<placement>(choice)) {
      return;
    }
    begin_request(row, this->now);
    end_request(row);
    this->sent.push_back(this->now);
    const auto spread = static_cast<std::uint64_t>(this->pause.count());
    if (spread > 0) {
      one.next_wanted = this->now + milliseconds{next_below(this->random, 2 * spread)};
    }
  }

  static endpoint& row_of(member& one) {
    return one.state.endpoints.rows.begin()->second;
  }

  static service_map_ptr make_services() {
    service_map map = test_services();
    map.pools[engine_pool.value].cold_rate = cold_rate;
    return std::make_shared<const service_map>(std::move(map));
  }

  seeded_random random{53};
  service_map_ptr services = make_services();
  steady_time now = test_start;
  /// Until when the endpoint is cold, and when its entry says so, after a start that the gateways
  /// have not seen.
  steady_time cold_until{};
  std::optional<steady_time> listed_at;
  std::vector<std::unique_ptr<member>> members;
  std::vector<steady_time> sent;
};

}  // namespace

/// Guards against floods of cold endpoints: each gateway alone kept to its share, but all together
/// sent more than the endpoint supports.
class cold_rate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(cold_rate_test);
  CPPUNIT_TEST(first_requests_of_many_gateways_flood_no_cold_endpoint);
  CPPUNIT_TEST(restarted_gateways_flood_no_cold_endpoint);
  CPPUNIT_TEST(gateways_that_know_no_others_flood_no_cold_endpoint);
  CPPUNIT_TEST(gateways_that_miss_a_third_of_the_others_flood_no_cold_endpoint);
  CPPUNIT_TEST(an_endpoint_that_turns_cold_again_is_not_flooded);
  CPPUNIT_TEST(gateways_that_start_before_the_others_are_listed_flood_no_cold_endpoint);
  CPPUNIT_TEST(stopping_gateways_and_their_successors_flood_no_cold_endpoint);
  CPPUNIT_TEST(an_endpoint_that_starts_again_while_cold_is_not_flooded);
  CPPUNIT_TEST(health_checks_of_many_gateways_flood_no_cold_endpoint);
  CPPUNIT_TEST(gateways_that_read_the_previous_entry_flood_no_cold_endpoint);
  CPPUNIT_TEST(a_cold_endpoint_is_used_up_to_its_rate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void first_requests_of_many_gateways_flood_no_cold_endpoint() {
    for (const int gateways : {29, 68, 350}) {
      cold_fleet fleet(gateways);
      fleet.turn_cold();
      fleet.run_for(warm_up);
      check_bound(fleet);
    }
  }

  void restarted_gateways_flood_no_cold_endpoint() {
    for (const int gateways : {5, 68, 350}) {
      cold_fleet fleet(gateways);
      fleet.turn_cold();
      fleet.run_for(milliseconds{1'000});
      for (int number = 0; number < gateways; ++number) {
        fleet.start(number);
      }
      for (int times = 0; times < 3; ++times) {
        fleet.turn_cold();
        fleet.run_for(warm_up);
      }
      check_bound(fleet);
    }
  }

  void gateways_that_know_no_others_flood_no_cold_endpoint() {
    cold_fleet fleet(68);
    for (int number = 0; number < fleet.size(); ++number) {
      fleet.start(number, false);
    }
    fleet.turn_cold();
    fleet.run_for(warm_up);
    check_bound(fleet);
  }

  void gateways_that_miss_a_third_of_the_others_flood_no_cold_endpoint() {
    cold_fleet fleet(68);
    for (int number = 0; number < fleet.size(); ++number) {
      fleet.hide_peers(number, 1.0 / 3.0);
    }
    fleet.turn_cold();
    fleet.run_for(warm_up);
    check_bound(fleet);
  }

  void an_endpoint_that_turns_cold_again_is_not_flooded() {
    cold_fleet fleet(68);
    for (int times = 0; times < 3; ++times) {
      fleet.turn_cold();
      fleet.run_for(seconds{5});
    }
    check_bound(fleet);
  }

  void gateways_that_start_before_the_others_are_listed_flood_no_cold_endpoint() {
    for (const int gateways : {5, 68, 350}) {
      cold_fleet fleet(gateways);
      fleet.start_with_empty_list(milliseconds{4'250});
      for (int times = 0; times < 3; ++times) {
        fleet.turn_cold();
        fleet.run_for(warm_up);
      }
      check_bound(fleet);
    }
  }

  void stopping_gateways_and_their_successors_flood_no_cold_endpoint() {
    cold_fleet fleet(68);
    fleet.turn_cold();
    fleet.run_for(milliseconds{1'000});
    for (int number = 0; number < fleet.size(); ++number) {
      if (fleet.is_sender(number)) {
        fleet.begin_stop(number);
      }
    }
    fleet.run_for(milliseconds{2'000});
    check_bound(fleet);
  }

  void an_endpoint_that_starts_again_while_cold_is_not_flooded() {
    cold_fleet fleet(68);
    for (int number = 0; number < fleet.size(); ++number) {
      fleet.start(number);
    }
    fleet.run_for(seconds{4});
    fleet.turn_cold();
    // The first requests of all senders fall together here: each waited since its start.
    while (fleet.requests() == 0) {
      fleet.run_for(step);
    }
    fleet.run_for(milliseconds{50});
    fleet.restart_endpoint();
    fleet.run_for(warm_up);
    check_bound(fleet);
  }

  void health_checks_of_many_gateways_flood_no_cold_endpoint() {
    for (const int gateways : {5, 68, 350}) {
      cold_fleet fleet(gateways);
      fleet.turn_cold();
      fleet.run_for(milliseconds{1'000});
      fleet.lose_endpoint();
      fleet.run_for(milliseconds{1'500});
      check_bound(fleet);
    }
  }

  /// Review case 10 and three seeds of the soak: gateways start together with a cold endpoint,
  /// whose entry is still that of its previous incarnation.
  void gateways_that_read_the_previous_entry_flood_no_cold_endpoint() {
    for (const int gateways : {2, 68, 350}) {
      for (const int every : {1, 2}) {
        cold_fleet fleet(gateways);
        fleet.restart_with_endpoint(every, milliseconds{1'000});
        fleet.run_for(warm_up);
        CPPUNIT_ASSERT(fleet.requests() > 0);
        check_bound(fleet);
      }
    }
  }

  /// Each gateway wants to send twice a second, as one does before a pool that is short.
  void a_cold_endpoint_is_used_up_to_its_rate() {
    for (const int gateways : {1, 5, 29, 68, 350}) {
      cold_fleet fleet(gateways);
      fleet.pause = gateways < 29 ? milliseconds{0} : milliseconds{500};
      fleet.turn_cold();
      fleet.run_for(warm_up);
      const double possible = cold_rate * std::chrono::duration<double>(warm_up).count();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " gateways sent " +
                                 std::to_string(fleet.requests()) + " requests",
                             static_cast<double>(fleet.requests()) > possible / 2.0);
    }
  }

 private:
  static void check_bound(const cold_fleet& fleet) {
    const std::size_t most = fleet.most_in_a_second();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.size()) + " gateways sent " + std::to_string(most) +
                               " requests in one second",
                           most <= cold_rate_bound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_rate_test);

}  // namespace chestnuthead::gateway
