#include <string>
#include <variant>

#include "Fuzz/fuzz_input.h"
#include "store_rows.h"

/// Answers and rows of the platform's store: any content is either decoded or refused, and decoded
/// values can be used.
namespace chestnuthead {

namespace {

void use_configuration(const std::string& value) {
  const auto decoded = platform::decode_configuration(value);
  const auto* map = std::get_if<gateway::service_map>(&decoded);
  if (map == nullptr) {
    require(!std::get<std::string>(decoded).empty(), "a refused configuration has a reason");
    return;
  }
  for (const gateway::route& route : map->routes) {
    const gateway::route* found = find_route(*map, route.host, route.prefix + "x");
    require(found != nullptr, "a route is found under its own prefix");
    const gateway::pool* pool = pick_pool(*map, found->pools, 0.5);
    require(pool == nullptr || find_pool(*map, pool->name) == pool,
            "a picked pool is listed in the configuration");
  }
}

void use_endpoint(const std::string& value) {
  const auto decoded = platform::decode_endpoint("key", value);
  if (const auto* listing = std::get_if<gateway::endpoint_listing>(&decoded)) {
    require(listing->name.value == "key", "an endpoint is named after its row");
    require(!listing->address.empty(), "a decoded endpoint has an address");
    gateway::endpoint_table table;
    list_endpoint(table, *listing, steady_time{});
    require(find_endpoint(table, listing->name) != nullptr, "a listed endpoint is found");
  }
}

}  // namespace

void fuzz(std::string_view input) {
  const selected_input selected = split_selector(input);
  const std::string text(selected.rest);
  constexpr std::size_t kinds = 3;
  switch (selected.selector % kinds) {
    case 0:
      platform::decode_page(text);
      break;
    case 1:
      use_configuration(text);
      break;
    default:
      use_endpoint(text);
      break;
  }
}

}  // namespace chestnuthead
