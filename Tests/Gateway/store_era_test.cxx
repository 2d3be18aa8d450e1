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
#include "Gateway/peer_news.h"
#include "Gateway/readiness.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The store's rows, as operators and endpoints write them.
struct model_rows {
  std::uint64_t configuration = 1;
  /// Keys are named by the version of the configuration that takes them away.
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
  /// Answer of the store on its way.
  struct answer {
    milliseconds asked_at{0};
    milliseconds arrives{0};
    std::uint64_t era = 0;
    bool lost = false;
    model_rows rows;
  };
  std::optional<answer> under_way;
  std::multimap<milliseconds, peer_word> inbox;
  milliseconds frozen_until{0};
  milliseconds next_question{0};
  std::uint64_t start = 1;
  std::uint64_t sequence = 0;
  /// Endpoints that this gateway has seen leave or go, with their starts.
  std::set<std::pair<endpoint_id, std::int64_t>> seen_gone;
  std::uint64_t newest_in_force = 0;
};

constexpr milliseconds trust{3'900};
constexpr milliseconds revoke_bound{5'000};

/// Gateways whose store comes back from copies that are some seconds old.
class era_play {
 public:
  explicit era_play(std::uint64_t seed) : random(seed) {
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

  /// Requests with revoked keys that were let in too late, configurations that went back,
  /// and endpoints in service that had been seen gone.
  int late_keys = 0;
  int older_configurations = 0;
  int ghosts = 0;
  /// Gateways that were seen to trust keys again after an era had begun.
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

  /// Writes go to the store only while it is there; operators write again what was lost.
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
    // Entries of endpoints that are gone lapse.
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
      take_word(gateway.state, gateway.inbox.begin()->second, this->local());
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
      this->tell(gateway, place);
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
    hear_era(state.eras, answer.era, this->local());
    service_map map = test_services();
    map.version = answer.rows.configuration;
    take_orders(state, {std::move(map), answer.rows.domains_out, {}, true, as_of}, this->local());
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
    end_grace(state.endpoints, this->local());
    state.endpoints_known = true;
    for (const auto& [name, row] : state.endpoints.rows) {
      if (!row.listed || row.listing.leaving) {
        gateway.seen_gone.emplace(name, row.listing.started);
      }
    }
    forget_unlisted(state.endpoints, this->local());
  }

  void tell(model_gateway& sender, std::size_t place) {
    peer_word word;
    word.sender = node_id{"edge-" + std::to_string(place)};
    word.start = sender.start;
    word.sequence = ++sender.sequence;
    word.configuration = sender.state.services == nullptr ? 0 : sender.state.services->version;
    for (model_gateway& hearer : this->fleet) {
      if (&hearer != &sender && next_unit(this->random) >= 0.1) {
        hearer.inbox.emplace(this->now + this->between(1, 20), word);
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
      // Each version takes keys away that the one before still holds.
      const bool late = newer > version && this->now > at + revoke_bound;
      this->late_keys += trusted && late ? 1 : 0;
    }
    this->trusted_again += trusted && state.eras.era > 0 ? 1 : 0;
    for (const auto& [name, row] : state.endpoints.rows) {
      const bool seen = gateway.seen_gone.contains({name, row.listing.started});
      this->ghosts += seen && in_service(row, state.fleet, this->local()) ? 1 : 0;
    }
  }

  seeded_random random;
  model_rows rows;
  /// What operators want to be in force.
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
  CPPUNIT_TEST(an_era_is_settled_after_a_while_or_once_noted);
  CPPUNIT_TEST(an_old_configuration_does_not_come_back);
  CPPUNIT_TEST(what_the_store_lost_confirms_nothing);
  CPPUNIT_TEST(a_domain_stays_out_until_the_era_is_settled);
  CPPUNIT_TEST(an_entry_of_the_copy_does_not_bring_an_endpoint_back);
  CPPUNIT_TEST(a_heartbeat_that_was_missed_is_no_sign_of_life);
  CPPUNIT_TEST(an_endpoint_whose_entry_was_lost_stays);
  CPPUNIT_TEST(nothing_comes_back_that_was_seen_to_end);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_era_is_settled_after_a_while_or_once_noted() {
    store_eras eras;
    CPPUNIT_ASSERT(is_settled(eras, test_start));
    CPPUNIT_ASSERT(!copied_at(eras));
    CPPUNIT_ASSERT(hear_era(eras, 3, test_start));
    CPPUNIT_ASSERT(!hear_era(eras, 3, test_start + seconds{1}));
    CPPUNIT_ASSERT(!hear_era(eras, 2, test_start + seconds{1}));
    CPPUNIT_ASSERT(!is_settled(eras, test_start + rewrite_time - milliseconds{1}));
    CPPUNIT_ASSERT(!is_note_due(eras, test_start));
    CPPUNIT_ASSERT(is_note_due(eras, test_start + rewrite_time));
    eras.settled_era = 3;
    CPPUNIT_ASSERT(is_settled(eras, test_start));
    CPPUNIT_ASSERT(!is_note_due(eras, test_start + rewrite_time));
  }

  void an_old_configuration_does_not_come_back() {
    gateway_state state = test_state();
    hear_era(state.eras, 1, test_start);
    const steady_time later = test_start + seconds{30};
    const orders_effect effect = take_orders(state, orders(6, later), later);
    CPPUNIT_ASSERT(effect.configuration_outdated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.services->version);
    // The store's own word that it holds an older one: nothing is confirmed.
    CPPUNIT_ASSERT(state.confirmed_at == test_start);
    // What operators change after that counts.
    take_orders(state, orders(9, later), later);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, state.services->version);
    CPPUNIT_ASSERT(state.confirmed_at == later);
  }

  void what_the_store_lost_confirms_nothing() {
    gateway_state state = test_state();
    const steady_time later = test_start + seconds{1};
    hear_era(state.eras, 1, later);
    take_orders(state, orders(7, later), later);
    CPPUNIT_ASSERT(state.confirmed_at == test_start);
    const steady_time settled = later + rewrite_time;
    take_orders(state, orders(7, settled), settled);
    CPPUNIT_ASSERT(state.confirmed_at == settled);
    // A gateway that started meanwhile hears that a peer knows a newer configuration.
    peer_word word;
    word.sender = node_id{"edge-1"};
    word.sequence = 1;
    word.configuration = 8;
    take_word(state, word, settled);
    take_orders(state, orders(7, settled + milliseconds{1}), settled + milliseconds{1});
    CPPUNIT_ASSERT(state.confirmed_at == settled);
  }

  void a_domain_stays_out_until_the_era_is_settled() {
    gateway_state state = test_state();
    state.fleet.domains_out = {{"north"}};
    hear_era(state.eras, 1, test_start);
    take_orders(state, orders(7, test_start), test_start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.fleet.domains_out.size());
    // Operators take it back in the new era.
    orders_change back{std::nullopt, {}, {{"north"}}, false, test_start};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         take_orders(state, std::move(back), test_start).domains_back.size());
    state.fleet.domains_out = {{"south"}};
    const steady_time settled = test_start + rewrite_time;
    const orders_effect effect = take_orders(state, orders(7, settled), settled);
    CPPUNIT_ASSERT_EQUAL(std::string("south"), effect.domains_back.at(0).value);
  }

  void an_entry_of_the_copy_does_not_bring_an_endpoint_back() {
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
    forget_unlisted(state.endpoints, test_start);
    CPPUNIT_ASSERT(is_outdated(state.endpoints, older, test_start, test_start + seconds{1}));
    CPPUNIT_ASSERT(is_outdated(state.endpoints, entry, test_start, test_start + seconds{1}));
    // Without a copy an entry is as new as it comes, and a later heartbeat or start is.
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, entry, std::nullopt, test_start + seconds{1}));
    endpoint_listing lives = older;
    lives.heartbeat = 6;
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, lives, test_start, test_start + seconds{1}));
    lives.heartbeat = 1;
    lives.started = 2;
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, lives, test_start, test_start + seconds{1}));
  }

  void a_heartbeat_that_was_missed_is_no_sign_of_life() {
    gateway_state state = test_state(1);
    endpoint_listing entry = state.endpoints.rows.begin()->second.listing;
    unlist_endpoint(state.endpoints, entry.name, test_start, test_start);
    forget_unlisted(state.endpoints, test_start);
    entry.heartbeat = 6;
    CPPUNIT_ASSERT(is_outdated(state.endpoints, entry, test_start, test_start));
    CPPUNIT_ASSERT(is_outdated(state.endpoints, entry, test_start, test_start));
    entry.heartbeat = 7;
    CPPUNIT_ASSERT(!is_outdated(state.endpoints, entry, test_start, test_start));
  }

  void an_endpoint_whose_entry_was_lost_stays() {
    gateway_state state = test_state(1);
    hear_era(state.eras, 1, test_start);
    const endpoint_id name = state.endpoints.rows.begin()->first;
    unlist_endpoint(state.endpoints, name, settled_from(state.eras), test_start);
    const endpoint& row = state.endpoints.rows.begin()->second;
    end_grace(state.endpoints, test_start + rewrite_time - milliseconds{1});
    CPPUNIT_ASSERT(in_service(row, {}, test_start));
    end_grace(state.endpoints, test_start + rewrite_time);
    CPPUNIT_ASSERT(!in_service(row, {}, test_start));
  }

  /// The store comes back from copies while operators and endpoints write, answers are
  /// lost, news is late or lost, and gateways freeze and restart.
  void nothing_comes_back_that_was_seen_to_end() {
    std::uint64_t eras = 0;
    int trusted_again = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      era_play play(seed);
      play.run(seconds{60});
      const std::string label = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ", keys", 0, play.late_keys);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ", configurations", 0, play.older_configurations);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ", endpoints", 0, play.ghosts);
      eras += play.eras();
      trusted_again += play.trusted_again;
    }
    CPPUNIT_ASSERT(eras > 80);
    CPPUNIT_ASSERT(trusted_again > 0);
  }

 private:
  static orders_change orders(std::uint64_t version, steady_time as_of) {
    service_map map = test_services();
    map.version = version;
    return {std::move(map), {}, {}, true, as_of};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_era_test);

}  // namespace chestnuthead::gateway
