#include "Gateway/service_map.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

class service_map_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(service_map_test);
  CPPUNIT_TEST(the_longest_prefix_wins);
  CPPUNIT_TEST(a_prefix_of_another_host_does_not_match);
  CPPUNIT_TEST(a_path_without_the_closing_slash_does_not_match);
  CPPUNIT_TEST(pools_are_picked_by_weight);
  CPPUNIT_TEST(a_route_whose_pools_have_no_weight_has_no_pool);
  CPPUNIT_TEST_SUITE_END();

 public:
  void the_longest_prefix_wins() {
    service_map map;
    map.routes = {named("short", "a.example", "/x/"), named("long", "a.example", "/x/y/"),
                  named("all", "a.example", "/")};
    index_routes(map);
    CPPUNIT_ASSERT_EQUAL(std::string("long"), find_route(map, "a.example", "/x/y/z")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), find_route(map, "a.example", "/x/z")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), find_route(map, "a.example", "/xy/")->name);
  }

  void a_prefix_of_another_host_does_not_match() {
    service_map map;
    map.routes = {named("one", "a.example", "/x/")};
    index_routes(map);
    CPPUNIT_ASSERT(find_route(map, "b.example", "/x/") == nullptr);
  }

  void a_path_without_the_closing_slash_does_not_match() {
    service_map map;
    map.routes = {named("one", "a.example", "/x/")};
    index_routes(map);
    CPPUNIT_ASSERT(find_route(map, "a.example", "/x") == nullptr);
    CPPUNIT_ASSERT(find_route(map, "a.example", "/xtra/") == nullptr);
  }

  void pools_are_picked_by_weight() {
    service_map map;
    map.pools["one"].name = {"one"};
    map.pools["other"].name = {"other"};
    route split = named("split", "a.example", "/");
    split.pools = {{{"one"}, 90.0}, {{"other"}, 10.0}};
    CPPUNIT_ASSERT_EQUAL(std::string("one"), pick_pool(map, split.pools, 0.0)->name.value);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), pick_pool(map, split.pools, 0.899)->name.value);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), pick_pool(map, split.pools, 0.901)->name.value);
  }

  void a_route_whose_pools_have_no_weight_has_no_pool() {
    service_map map;
    map.pools["one"].name = {"one"};
    route split = named("split", "a.example", "/");
    split.pools = {{{"one"}, 0.0}};
    CPPUNIT_ASSERT(pick_pool(map, split.pools, 0.5) == nullptr);
  }

 private:
  static route named(const std::string& name, const std::string& host, const std::string& prefix) {
    route made;
    made.name = name;
    made.host = host;
    made.prefix = prefix;
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_map_test);

}  // namespace chestnuthead::gateway
