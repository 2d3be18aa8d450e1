#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Gateway/gateway_state.h"
#include "Gateway/request.h"

/// Test fixture: a gateway's state with one engine pool and one plain pool.
namespace chestnuthead::gateway {

inline const pool_id engine_pool{"engines"};
inline const pool_id plain_pool{"orders"};
inline constexpr steady_time test_start{std::chrono::hours{1}};

inline endpoint_listing listing_of(const std::string& name, const pool_id& pool,
                                   const std::string& domain = "north") {
  return {{name}, pool, "10.0.0.1:80", {domain}, false, 64, std::chrono::milliseconds{0}, 1, 0, {}};
}

/// An engine pool whose cold endpoints support `cold_rate` requests per second.
inline pool engine_pool_settings(double cold_rate = 17.0) {
  pool settings;
  settings.name = engine_pool;
  settings.health_path = "/healthz";
  settings.max_connections = 370;
  settings.warm_up = std::chrono::seconds{3};
  settings.cold_rate = cold_rate;
  settings.engine = true;
  settings.slots = 64;
  return settings;
}

/// A request of a chat. Its prompt has a part shared by many chats, a part of this chat, and
/// a part of this turn.
inline caller_request chat_request(std::uint64_t chat, std::uint64_t turn = 0) {
  caller_request request;
  request.id = std::to_string(chat) + "-" + std::to_string(turn);
  request.method = "POST";
  request.host = "chats.example";
  request.target = "/chat/1?turn=" + std::to_string(turn);
  request.key = "key-1";
  request.patience = std::chrono::seconds{10};
  request.prompt = {{1, 500}, {chat, 1'000}, {~turn, 100}};
  request.prompt_tokens = 1'600;
  request.answer_tokens = 300;
  return request;
}

inline route chat_route() {
  route chats;
  chats.name = "chats";
  chats.host = "chats.example";
  chats.prefix = "/chat/";
  chats.executions = execution_limit::idempotent;
  chats.streams = true;
  chats.resumable = true;
  chats.timeout = std::chrono::seconds{8};
  chats.max_attempts = 2;
  chats.pools = {{engine_pool, 1.0}};
  return chats;
}

inline route payment_route() {
  route payments;
  payments.name = "payments";
  payments.host = "chats.example";
  payments.prefix = "/pay/";
  payments.pools = {{plain_pool, 1.0}};
  payments.timeout = std::chrono::seconds{2};
  return payments;
}

inline service_map test_services() {
  service_map map;
  map.version = 7;
  map.routes = {chat_route(), payment_route()};
  map.pools[engine_pool.value] = engine_pool_settings();
  map.pools[plain_pool.value].name = plain_pool;
  map.has_customers = true;
  map.customers_by_key["key-1"] = {{"schools"}, 1};
  index_routes(map);
  return map;
}

/// A state that is ready at `test_start`.
inline gateway_state test_state(int engines = 12) {
  gateway_state state;
  state.services = std::make_shared<const service_map>(test_services());
  state.key_trust = std::chrono::milliseconds{3'900};
  state.confirmed_at = test_start;
  state.peers_known = true;
  state.endpoints_known = true;
  for (int engine = 0; engine < engines; ++engine) {
    list_endpoint(state.endpoints, listing_of("engine-" + std::to_string(engine), engine_pool),
                  test_start);
  }
  return state;
}

}  // namespace chestnuthead::gateway
