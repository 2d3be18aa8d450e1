#include "Gateway/resumption.h"

#include <cstddef>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"
#include "Gateway/operator_orders.h"
#include "property_check.h"

namespace chestnuthead::gateway {

namespace {

constexpr std::uint64_t stream = 7;
const std::vector<pool_id> pools{{"one"}, {"two"}, {"three"}};
const std::vector<std::string> versions{"v1", "v2"};

/// A gateway that splits the chats over `shares` of the pools. Endpoints of random versions are
/// listed in each pool.
gateway_state random_state(const std::vector<double>& shares) {
  service_map map = test_services();
  map.version = 8;
  map.routes[0].pools.clear();
  gateway_state state = test_state(0);
  for (std::size_t place = 0; place < pools.size(); ++place) {
    map.pools[pools[place].value].name = pools[place];
    map.routes[0].pools.push_back({pools[place], shares[place]});
    for (const std::string& version : versions) {
      endpoint_listing listing = listing_of(pools[place].value + version, pools[place]);
      listing.version = version;
      if (*rc::gen::arbitrary<bool>()) {
        list_endpoint(state.endpoints, listing, test_start);
        note_stream_version(state.streams, listing.pool, listing.version, test_start);
      }
    }
  }
  store_orders orders;
  orders.configuration = std::move(map);
  apply_orders(state, orders, test_start);
  state.streams.endpoints_as_of = test_start;
  state.streams.records_as_of = test_start;
  return state;
}

admission admission_of(const gateway_state& state) {
  admission taken;
  taken.services = state.services;
  taken.taken_route = &state.services->routes[0];
  taken.answer_by = test_start + std::chrono::seconds{8};
  return taken;
}

double random_unit() {
  return *rc::gen::inRange(0, 1'000) / 1'000.0;
}

bool is_sent_to(const resumption_choice& choice, const pool_id& pool) {
  return choice.taken_pool != nullptr && choice.taken_pool->name == pool;
}

bool is_sent_elsewhere(const resumption_choice& choice, const pool_id& pool) {
  return choice.taken_pool != nullptr && choice.taken_pool->name != pool;
}

double share_of(const route& route, const pool_id& pool) {
  for (const weighted_pool& share : route.pools) {
    if (share.pool == pool) {
      return share.weight;
    }
  }
  return 0.0;
}

}  // namespace

class resumption_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(resumption_test);
  CPPUNIT_TEST(stream_goes_on_where_it_began_or_not_at_all);
  CPPUNIT_TEST(stream_of_an_unknown_pool_goes_on_at_its_version);
  CPPUNIT_TEST(unknown_stream_of_a_split_route_is_not_sent_anywhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stream_goes_on_where_it_began_or_not_at_all() {
    check_property("a stream goes on in its pool", [] {
      const gateway_state state = state_with_origin(*rc::gen::elementOf(pools));
      const known_origin& origin = state.streams.rows.at(stream);
      const admission taken = admission_of(state);
      const resumption_choice choice =
          choose_resumption(state, taken, {stream, test_start}, random_unit(), test_start);
      RC_ASSERT(choice.version == origin.version);
      RC_ASSERT(choice.step != resumption_step::wait);
      const bool in_route = share_of(*taken.taken_route, origin.pool) > 0.0;
      if (in_route) {
        const bool listed = is_listed(state.endpoints, origin.pool, origin.version);
        RC_ASSERT(listed == (choice.step == resumption_step::send));
        RC_ASSERT(!is_sent_elsewhere(choice, origin.pool));
      } else {
        check_version_served(state, choice);
      }
    });
  }

  void stream_of_an_unknown_pool_goes_on_at_its_version() {
    check_property("a stream goes on at its version", [] {
      const gateway_state state = state_with_origin({});
      check_version_served(
          state, choose_resumption(state, admission_of(state), {stream, test_start}, random_unit(),
                                   test_start));
    });
  }

  void unknown_stream_of_a_split_route_is_not_sent_anywhere() {
    check_property("an unknown stream is not sent anywhere", [] {
      const gateway_state state = random_state({1.0, 1.0, 1.0});
      const auto later = test_start + *rc::gen::inRange(0, 2'000) * std::chrono::milliseconds{1};
      const admission taken = admission_of(state);
      RC_ASSERT(choose_resumption(state, taken, {stream, test_start}, random_unit(), later).step !=
                resumption_step::send);
      const resumption unnamed{std::nullopt, test_start};
      RC_ASSERT(choose_resumption(state, taken, unnamed, random_unit(), later).step ==
                resumption_step::refuse);
    });
  }

 private:
  /// The stream began in the pool, at a random version. Each pool may have no weight.
  static gateway_state state_with_origin(const pool_id& pool) {
    std::vector<double> shares;
    for (std::size_t place = 0; place < pools.size(); ++place) {
      shares.push_back(*rc::gen::inRange(0, 3));
    }
    gateway_state state = random_state(shares);
    add_recorded_origin(state.streams, {stream, *rc::gen::elementOf(versions), pool}, test_start);
    return state;
  }

  /// The request is sent if and only if a pool of the route has the version, and to such a pool.
  static void check_version_served(const gateway_state& state, const resumption_choice& choice) {
    const route& chats = state.services->routes[0];
    bool served = false;
    for (const pool_id& pool : pools) {
      const bool serves =
          share_of(chats, pool) > 0.0 && is_listed(state.endpoints, pool, *choice.version);
      served = served || serves;
      RC_ASSERT(serves || !is_sent_to(choice, pool));
    }
    RC_ASSERT(served == (choice.step == resumption_step::send));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumption_test);

}  // namespace chestnuthead::gateway
