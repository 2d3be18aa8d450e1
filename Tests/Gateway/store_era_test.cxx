#include "Gateway/store_era.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"
#include "Gateway/operator_orders.h"
#include "Gateway/peer_message.h"
#include "Gateway/readiness.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The store's rows, written by operators and endpoints.
struct model_rows {
  /// Version of the configuration. Each version revokes keys that the one before accepts.
  std::uint64_t configuration = 1;
  std::set<failure_domain_id> domains_out;
  std::map<endpoint_id, endpoint_listing> endpoints;
};

struct model_endpoint {
  endpoint_listing entry;
  bool gone = false;
  milliseconds next_heartbeat{0};
};

struct model_gateway {
  gateway_state state;
  /// An answer from the store in transit.
  struct answer {
    milliseconds asked_at{0};
    milliseconds arrives{0};
    std::uint64_t era = 0;
    bool lost = false;
    model_rows rows;
  };
  std::optional<answer> under_way;
  std::multimap<milliseconds, peer_message> inbox;
  milliseconds frozen_until{0};
  milliseconds next_question{0};
  std::uint64_t start = 1;
  std::uint64_t sequence = 0;
  /// Endpoints that this gateway has seen leaving or removed, with their start times.
  std::set<std::pair<endpoint_id, std::int64_t>> seen_gone;
  /// Latest start time of each endpoint that this gateway has seen.
  std::map<endpoint_id, std::int64_t> latest_starts;
  std::uint64_t newest_in_force = 0;
};

constexpr milliseconds trust{3'900};
constexpr milliseconds revoke_bound{5'000};

/// Simulates gateways whose store is restored from copies that are some seconds old.
class era_simulation {
 public:
  explicit era_simulation(std::uint64_t seed) : random(seed) {
    for (int number = 0; number < 4; ++number) {
      this->add_endpoint(milliseconds{0});
    }
    this->fleet.resize(5);
    for (model_gateway& gateway : this->fleet) {
      this->restart(gateway);
    }
  }

  void run(milliseconds length) {
    for (milliseconds at{0}; at < length; at += step) {
      this->now = at;
      this->step_operator();
      this->step_endpoints();
      this->step_store();
      for (std::size_t place = 0; place < this->fleet.size(); ++place) {
        this->step_gateway(this->fleet[place], place);
      }
    }
  }

  /// Errors counted: revoked keys accepted after the bound, configurations replaced by an older
  /// one, and removed endpoints that are in service again.
  int late_keys = 0;
  int older_configurations = 0;
  int restored_endpoints = 0;
  /// Endpoints in service with an entry from before a restart that the gateway has seen.
  int earlier_incarnations = 0;
  int restarts = 0;
  /// Number of checks that found keys trusted in a new era.
  int trusted_again = 0;
  std::uint64_t eras() const {
    return this->era;
  }

 private:
  static constexpr milliseconds step{5};

  bool chance(double a_second) {
    return next_unit(this->random) < a_second * 0.005;
  }
  milliseconds between(int least, int most) {
    return milliseconds{least + static_cast<int>(next_below(
                                    this->random, static_cast<std::uint64_t>(most - least) + 1))};
  }
  [[nodiscard]] steady_time local() const {
    return test_start + this->now;
  }

  void add_endpoint(milliseconds at) {
    model_endpoint made;
    made.entry = listing_of("engine-" + std::to_string(this->endpoints.size()), engine_pool);
    made.entry.started = 1'000 + at.count();
    made.entry.heartbeat = 1;
    this->rows.endpoints[made.entry.name] = made.entry;
    this->endpoints.push_back(made);
  }

  /// Operators write only while the store is available, and repeat writes that it has lost.
  void step_operator() {
    if (this->chance(0.5)) {
      ++this->wanted.configuration;
      this->pending = true;
    }
    if (this->chance(0.2)) {
      const failure_domain_id domain{"north"};
      if (this->wanted.domains_out.erase(domain) == 0) {
        this->wanted.domains_out.insert(domain);
      }
      this->pending = true;
    }
    if (this->pending && !this->is_away() && this->now >= this->rewrite_at) {
      this->pending = false;
      this->rows.configuration = this->wanted.configuration;
      this->rows.domains_out = this->wanted.domains_out;
      this->acknowledged.emplace_back(this->wanted.configuration, this->now);
    }
  }

  void step_endpoints() {
    if (this->chance(0.3)) {
      this->add_endpoint(this->now);
    }
    for (model_endpoint& one : this->endpoints) {
      if (one.gone) {
        continue;
      }
      if (this->chance(0.05)) {
        // The endpoint starts again under its name.
        ++this->restarts;
        one.entry.started = 1'000 + this->now.count();
        one.entry.heartbeat = 0;
        one.entry.leaving = false;
        one.next_heartbeat = this->now;
      }
      if (this->chance(0.03)) {
        one.entry.leaving = true;
      } else if (one.entry.leaving && this->chance(0.5)) {
        one.gone = true;
        if (!this->is_away()) {
          this->rows.endpoints.erase(one.entry.name);
        }
        continue;
      }
      if (this->now >= one.next_heartbeat) {
        ++one.entry.heartbeat;
        one.next_heartbeat = this->now + milliseconds{1'200};
        if (!this->is_away()) {
          this->rows.endpoints[one.entry.name] = one.entry;
        }
      }
    }
  }

  [[nodiscard]] bool is_away() const {
    return this->now < this->away_until;
  }

  void step_store() {
    if (!this->is_away() && this->now >= this->next_copy) {
      this->copies.push_back(this->rows);
      this->next_copy = this->now + milliseconds{1'000};
      if (this->copies.size() > 5) {
        this->copies.pop_front();
      }
    }
    if (!this->is_away() && this->chance(0.08) && this->copies.size() > 4) {
      this->away_until = this->now + this->between(50, 2'500);
      this->rows = this->copies[next_below(this->random, this->copies.size())];
      ++this->era;
      this->rewrite_at = this->away_until + this->between(0, 2'000);
      this->pending = true;
      this->copies.clear();
    }
    // The entries of removed endpoints expire.
    if (!this->is_away() && this->now >= this->away_until + milliseconds{3'600}) {
      for (const model_endpoint& one : this->endpoints) {
        if (one.gone) {
          this->rows.endpoints.erase(one.entry.name);
        }
      }
    }
  }

  void restart(model_gateway& gateway) {
    const std::uint64_t start = gateway.start + 1;
    gateway = model_gateway{};
    gateway.start = start;
    gateway.state = test_state(0);
    gateway.state.services = nullptr;
    gateway.state.endpoints_known = false;
    gateway.state.confirmed_at = steady_time{};
    gateway.state.key_trust = trust;
    gateway.state.eras.settled_era = this->settled_note;
  }

  void step_gateway(model_gateway& gateway, std::size_t place) {
    if (this->now < gateway.frozen_until) {
      return;
    }
    if (this->chance(0.03)) {
      gateway.frozen_until = this->now + this->between(500, 5'000);
      return;
    }
    if (this->chance(0.03)) {
      this->restart(gateway);
    }
    this->check(gateway);
    while (!gateway.inbox.empty() && gateway.inbox.begin()->first <= this->now) {
      apply_peer_message(gateway.state, gateway.inbox.begin()->second, this->local());
      gateway.inbox.erase(gateway.inbox.begin());
    }
    if (gateway.under_way && gateway.under_way->arrives <= this->now) {
      this->take(gateway, *std::exchange(gateway.under_way, std::nullopt));
    }
    if (!gateway.under_way && this->now >= gateway.next_question) {
      this->ask(gateway);
    }
    if (is_note_due(gateway.state.eras, this->local()) && !this->is_away() && this->chance(2.0)) {
      this->settled_note = std::max(this->settled_note, gateway.state.eras.era);
      gateway.state.eras.settled_era = this->settled_note;
    }
    if (this->now % milliseconds{200} == milliseconds{0}) {
      this->send_message(gateway, place);
    }
    this->check(gateway);
  }

  void ask(model_gateway& gateway) {
    model_gateway::answer made;
    made.asked_at = this->now;
    made.era = this->era;
    made.rows = this->rows;
    made.lost = this->is_away() || next_unit(this->random) < 0.05;
    made.arrives = this->now + (made.lost ? milliseconds{700} : this->between(2, 60));
    gateway.under_way = std::move(made);
    gateway.next_question = this->now + this->between(100, 500);
  }

  void take(model_gateway& gateway, const model_gateway::answer& answer) {
    if (answer.lost) {
      return;
    }
    const steady_time as_of = test_start + answer.asked_at;
    gateway_state& state = gateway.state;
    record_era(state.eras, answer.era, this->local());
    service_map map = test_services();
    map.version = answer.rows.configuration;
    apply_orders(state, {std::move(map), answer.rows.domains_out, {}, {}, {}, true, as_of},
                 this->local());
    for (const auto& [name, entry] : answer.rows.endpoints) {
      if (!is_outdated(state.endpoints, entry, copied_at(state.eras), this->local())) {
        list_endpoint(state.endpoints, entry, this->local());
      }
    }
    const steady_time gone_at =
        is_settled(state.eras, as_of) ? this->local() : settled_from(state.eras);
    for (auto& [name, row] : state.endpoints.rows) {
      if (row.listed && !answer.rows.endpoints.contains(name)) {
        unlist_endpoint(state.endpoints, name, gone_at, this->local());
      }
    }
    expire_missing(state.endpoints, this->local());
    state.endpoints_known = true;
    for (const auto& [name, row] : state.endpoints.rows) {
      if (!row.listed || row.listing.leaving) {
        gateway.seen_gone.emplace(name, row.listing.started);
      }
    }
    drop_unlisted(state.endpoints, this->local());
  }

  void send_message(model_gateway& sender, std::size_t place) {
    peer_message message;
    message.sender = node_id{"edge-" + std::to_string(place)};
    message.start = sender.start;
    message.sequence = ++sender.sequence;
    message.configuration = sender.state.services == nullptr ? 0 : sender.state.services->version;
    for (model_gateway& receiver : this->fleet) {
      if (&receiver != &sender && next_unit(this->random) >= 0.1) {
        receiver.inbox.emplace(this->now + this->between(1, 20), message);
      }
    }
  }

  void check(model_gateway& gateway) {
    const gateway_state& state = gateway.state;
    if (state.services == nullptr) {
      return;
    }
    const std::uint64_t version = state.services->version;
    this->older_configurations += version < gateway.newest_in_force ? 1 : 0;
    gateway.newest_in_force = version;
    const bool trusted = keys_trusted(state, this->local());
    for (const auto& [newer, at] : this->acknowledged) {
      // A newer version revokes keys that this gateway may still accept.
      const bool late = newer > version && this->now > at + revoke_bound;
      this->late_keys += trusted && late ? 1 : 0;
    }
    this->trusted_again += trusted && state.eras.era > 0 ? 1 : 0;
    for (const auto& [name, row] : state.endpoints.rows) {
      const bool seen = gateway.seen_gone.contains({name, row.listing.started});
      std::int64_t& latest = gateway.latest_starts[name];
      latest = std::max(latest, row.listing.started);
      this->earlier_incarnations +=
          row.listing.started < latest && in_service(row, state.fleet, this->local()) ? 1 : 0;
      this->restored_endpoints += seen && in_service(row, state.fleet, this->local()) ? 1 : 0;
    }
  }

  seeded_random random;
  model_rows rows;
  /// The state that operators want.
  model_rows wanted;
  bool pending = false;
  milliseconds rewrite_at{0};
  std::vector<std::pair<std::uint64_t, milliseconds>> acknowledged;
  std::vector<model_endpoint> endpoints;
  std::deque<model_rows> copies;
  milliseconds next_copy{0};
  milliseconds away_until{0};
  std::uint64_t era = 0;
  std::uint64_t settled_note = 0;
  std::vector<model_gateway> fleet;
  milliseconds now{0};
};

}  // namespace

class store_era_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_era_test);
  CPPUNIT_TEST(an_era_is_settled_after_the_rewrite_time_or_once_marked);
  CPPUNIT_TEST(an_old_configuration_is_not_restored);
  CPPUNIT_TEST(a_store_that_lost_writes_confirms_nothing);
  CPPUNIT_TEST(a_domain_stays_out_until_the_era_is_settled);
  CPPUNIT_TEST(a_copied_entry_does_not_restore_an_endpoint);
  CPPUNIT_TEST(a_copied_entry_does_not_restore_an_earlier_incarnation);
  CPPUNIT_TEST(a_copied_entry_does_not_restore_what_came_before_a_removed_endpoint);
  CPPUNIT_TEST(an_endpoint_whose_clock_was_set_back_returns);
  CPPUNIT_TEST(an_endpoint_without_growing_heartbeats_returns_in_the_end);
  CPPUNIT_TEST(two_incarnations_that_both_write_do_not_alternate);
  CPPUNIT_TEST(a_second_copy_is_no_heartbeat);
  CPPUNIT_TEST(a_missed_heartbeat_does_not_restore_an_endpoint);
  CPPUNIT_TEST(an_endpoint_whose_entry_was_lost_stays);
  CPPUNIT_TEST(removed_state_is_never_restored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_era_is_settled_after_the_rewrite_time_or_once_marked() {
    store_eras eras;
    CPPUNIT_ASSERT(is_settled(eras, test_start));
    CPPUNIT_ASSERT(!copied_at(eras));
    CPPUNIT_ASSERT(record_era(eras, 3, test_start));
    CPPUNIT_ASSERT(!record_era(eras, 3, test_start + seconds{1}));
    CPPUNIT_ASSERT(!record_era(eras, 2, test_start + seconds{1}));
    CPPUNIT_ASSERT(!is_settled(eras, test_start + rewrite_time - milliseconds{1}));
    CPPUNIT_ASSERT(!is_note_due(eras, test_start));
    CPPUNIT_ASSERT(is_note_due(eras, test_start + rewrite_time));
    eras.settled_era = 3;
    CPPUNIT_ASSERT(is_settled(eras, test_start));
    CPPUNIT_ASSERT(!is_note_due(eras, test_start + rewrite_time));
  }

  void an_old_configuration_is_not_restored() {
    gateway_state state = test_state();
    record_era(state.eras, 1, test_start);
    const steady_time later = test_start + seconds{30};
    const orders_effect effect = apply_orders(state, orders(6, later), later);
    CPPUNIT_ASSERT(effect.configuration_outdated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.services->version);
    // The store contains an older version, so nothing is confirmed.
    CPPUNIT_ASSERT(state.confirmed_at == test_start);
    // A later change by operators is applied.
    apply_orders(state, orders(9, later), later);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, state.services->version);
    CPPUNIT_ASSERT(state.confirmed_at == later);
  }

  void a_store_that_lost_writes_confirms_nothing() {
    gateway_state state = test_state();
    const steady_time later = test_start + seconds{1};
    record_era(state.eras, 1, later);
    apply_orders(state, orders(7, later), later);
    CPPUNIT_ASSERT(state.confirmed_at == test_start);
    const steady_time settled = later + rewrite_time;
    apply_orders(state, orders(7, settled), settled);
    CPPUNIT_ASSERT(state.confirmed_at == settled);
    // A gateway that has started since then learns from a peer of a newer configuration.
    peer_message message;
    message.sender = node_id{"edge-1"};
    message.sequence = 1;
    message.configuration = 8;
    apply_peer_message(state, message, settled);
    apply_orders(state, orders(7, settled + milliseconds{1}), settled + milliseconds{1});
    CPPUNIT_ASSERT(state.confirmed_at == settled);
  }

  void a_domain_stays_out_until_the_era_is_settled() {
    gateway_state state = test_state();
    state.fleet.domains_out = {{"north"}};
    record_era(state.eras, 1, test_start);
    apply_orders(state, orders(7, test_start), test_start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.fleet.domains_out.size());
    // Operators put the domain back into service in the new era.
    store_orders back{std::nullopt, {}, {{"north"}}, {}, {}, false, test_start};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         apply_orders(state, std::move(back), test_start).domains_back.size());
    state.fleet.domains_out = {{"south"}};
    const steady_time settled = test_start + rewrite_time;
    const orders_effect effect = apply_orders(state, orders(7, settled), settled);
    CPPUNIT_ASSERT_EQUAL(std::string("south"), effect.domains_back.at(0).value);
  }

  void a_copied_entry_does_not_restore_an_endpoint() {
    gateway_state state = test_state(2);
    endpoint_listing entry = state.endpoints.rows.begin()->second.listing;
    entry.heartbeat = 5;
    entry.leaving = true;
    list_endpoint(state.endpoints, entry, test_start);
    endpoint_listing older = entry;
    older.heartbeat = 4;
    older.leaving = false;
    CPPUNIT_ASSERT(is_outdated(state.endpoints, older, test_start, test_start));
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, entry, test_start, test_start));

    unlist_endpoint(state.endpoints, entry.name, test_start, test_start);
    drop_unlisted(state.endpoints, test_start);
    CPPUNIT_ASSERT(is_outdated(state.endpoints, older, test_start, test_start + seconds{1}));
    CPPUNIT_ASSERT(is_outdated(state.endpoints, entry, test_start, test_start + seconds{1}));
    // Without a restore, the entry of a removed endpoint is current. After one, it is current
    // only with a later heartbeat or another start time.
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, entry, std::nullopt, test_start + seconds{1}));
    endpoint_listing lives = older;
    lives.heartbeat = 6;
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, lives, test_start, test_start + seconds{1}));
    lives.heartbeat = 1;
    lives.started = 2;
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, lives, test_start, test_start + seconds{1}));
  }

  /// Guards against streams that go on at an endpoint whose version is taken for an older one.
  void a_copied_entry_does_not_restore_an_earlier_incarnation() {
    gateway_state state = test_state(1);
    const endpoint_listing newer = this->restarted(state);
    CPPUNIT_ASSERT(take(state, newer, std::nullopt, test_start));
    for (const std::optional<steady_time>& copied : {std::optional(test_start), no_copy}) {
      CPPUNIT_ASSERT(!take(state, this->before, copied, test_start));
      CPPUNIT_ASSERT(!take(state, this->before, copied, test_start + seconds{1}));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), this->version_of(state));
    // The endpoint writes its own entry again.
    endpoint_listing next = newer;
    ++next.heartbeat;
    CPPUNIT_ASSERT(take(state, next, test_start, test_start + seconds{1}));
  }

  void a_copied_entry_does_not_restore_what_came_before_a_removed_endpoint() {
    gateway_state state = test_state(1);
    const endpoint_listing newer = this->restarted(state);
    take(state, newer, std::nullopt, test_start);
    unlist_endpoint(state.endpoints, newer.name, test_start, test_start);
    drop_unlisted(state.endpoints, test_start);
    CPPUNIT_ASSERT(!take(state, this->before, test_start, test_start + seconds{1}));
    CPPUNIT_ASSERT(!take(state, this->before, test_start, test_start + seconds{2}));
    // A heartbeat after the restore shows that the endpoint runs, with its clock set back.
    ++this->before.heartbeat;
    CPPUNIT_ASSERT(take(state, this->before, test_start, test_start + seconds{3}));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), this->version_of(state));
  }

  void an_endpoint_whose_clock_was_set_back_returns() {
    for (const std::optional<steady_time>& copied : {std::optional(test_start), no_copy}) {
      gateway_state state = test_state(1);
      take(state, this->restarted(state), std::nullopt, test_start);
      this->before.heartbeat = 1;
      CPPUNIT_ASSERT(!take(state, this->before, copied, test_start + seconds{1}));
      ++this->before.heartbeat;
      CPPUNIT_ASSERT(take(state, this->before, copied, test_start + milliseconds{2'200}));
      CPPUNIT_ASSERT_EQUAL(std::string("v1"), this->version_of(state));
      ++this->before.heartbeat;
      CPPUNIT_ASSERT(take(state, this->before, copied, test_start + milliseconds{3'400}));
    }
  }

  /// Entries whose heartbeats do not grow are believed once no copy can contain them.
  void an_endpoint_without_growing_heartbeats_returns_in_the_end() {
    gateway_state state = test_state(1);
    take(state, this->restarted(state), std::nullopt, test_start);
    this->before.heartbeat = 0;
    const steady_time first = test_start + seconds{1};
    CPPUNIT_ASSERT(!take(state, this->before, test_start, first));
    CPPUNIT_ASSERT(!take(state, this->before, test_start, first + gone_retention / 2));
    CPPUNIT_ASSERT(take(state, this->before, test_start, first + gone_retention));
  }

  /// The endpoint's last process is slow to end while the next one runs.
  void two_incarnations_that_both_write_do_not_alternate() {
    gateway_state state = test_state(1);
    endpoint_listing newer = this->restarted(state);
    for (int round = 0; round < 5; ++round) {
      ++newer.heartbeat;
      ++this->before.heartbeat;
      CPPUNIT_ASSERT(take(state, newer, std::nullopt, test_start + seconds{2 * round}));
      CPPUNIT_ASSERT(!take(state, this->before, std::nullopt, test_start + seconds{2 * round + 1}));
    }
  }

  void a_second_copy_is_no_heartbeat() {
    gateway_state state = test_state(1);
    take(state, this->restarted(state), std::nullopt, test_start);
    CPPUNIT_ASSERT(!take(state, this->before, test_start, test_start));
    ++this->before.heartbeat;
    const steady_time again = test_start + seconds{3};
    CPPUNIT_ASSERT(!take(state, this->before, again, again));
  }

  void a_missed_heartbeat_does_not_restore_an_endpoint() {
    gateway_state state = test_state(1);
    endpoint_listing entry = state.endpoints.rows.begin()->second.listing;
    unlist_endpoint(state.endpoints, entry.name, test_start, test_start);
    drop_unlisted(state.endpoints, test_start);
    entry.heartbeat = 6;
    CPPUNIT_ASSERT(is_outdated(state.endpoints, entry, test_start, test_start));
    CPPUNIT_ASSERT(is_outdated(state.endpoints, entry, test_start, test_start));
    entry.heartbeat = 7;
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, entry, test_start, test_start));
  }

  void an_endpoint_whose_entry_was_lost_stays() {
    gateway_state state = test_state(1);
    record_era(state.eras, 1, test_start);
    const endpoint_id name = state.endpoints.rows.begin()->first;
    unlist_endpoint(state.endpoints, name, settled_from(state.eras), test_start);
    const endpoint& row = state.endpoints.rows.begin()->second;
    expire_missing(state.endpoints, test_start + rewrite_time - milliseconds{1});
    CPPUNIT_ASSERT(in_service(row, {}, test_start));
    expire_missing(state.endpoints, test_start + rewrite_time);
    CPPUNIT_ASSERT(!in_service(row, {}, test_start));
  }

  /// The store is restored from copies while operators and endpoints write, answers are lost,
  /// messages are delayed or lost, and gateways freeze and restart.
  void removed_state_is_never_restored() {
    std::uint64_t eras = 0;
    int trusted_again = 0;
    int restarts = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      era_simulation play(seed);
      play.run(seconds{60});
      const std::string label = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ", keys", 0, play.late_keys);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ", configurations", 0, play.older_configurations);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ", endpoints", 0, play.restored_endpoints);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ", incarnations", 0, play.earlier_incarnations);
      restarts += play.restarts;
      eras += play.eras();
      trusted_again += play.trusted_again;
    }
    CPPUNIT_ASSERT(eras > 80);
    CPPUNIT_ASSERT(restarts > 80);
    CPPUNIT_ASSERT(trusted_again > 0);
  }

 private:
  static constexpr std::optional<steady_time> no_copy{};

  /// An entry with version v1 of the only endpoint.
  endpoint_listing before;

  /// Lists the entry `before`. Returns that of the endpoint's next incarnation, with version v2.
  endpoint_listing restarted(gateway_state& state) {
    this->before = state.endpoints.rows.begin()->second.listing;
    this->before.started = 1'000;
    this->before.heartbeat = 5;
    this->before.version = "v1";
    take(state, this->before, std::nullopt, test_start);
    endpoint_listing newer = this->before;
    newer.started = 2'000;
    newer.heartbeat = 1;
    newer.version = "v2";
    return newer;
  }

  /// Applies an entry of the store unless it is outdated. Returns true if it was applied.
  static bool take(gateway_state& state, const endpoint_listing& entry,
                   const std::optional<steady_time>& copied, steady_time now) {
    const bool applied = !is_outdated(state.endpoints, entry, copied, now);
    if (applied) {
      list_endpoint(state.endpoints, entry, now);
    }
    return applied;
  }

  [[nodiscard]] std::string version_of(gateway_state& state) const {
    return find_endpoint(state.endpoints, this->before.name)->listing.version;
  }

  static store_orders orders(std::uint64_t version, steady_time as_of) {
    service_map map = test_services();
    map.version = version;
    return {std::move(map), {}, {}, {}, {}, true, as_of};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_era_test);

}  // namespace chestnuthead::gateway
