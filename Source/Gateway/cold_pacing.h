#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// Division of the requests that a cold endpoint supports among the gateways.
///
/// Only as many gateways send to a cold endpoint as it supports requests per second: the first
/// ones in its rendezvous order. If all of them sent, a share would be less than one request in
/// the whole time that the endpoint is cold, and their first requests could arrive together. Each
/// gateway derives the order from its own list of gateways. If a share p of the others is missing
/// in all lists, there are 1 / (1 - p) times as many senders.
namespace chestnuthead::gateway {

/// Hashes of the names of this gateway and its peers.
struct fleet_members {
  std::uint64_t self = 0;
  std::vector<std::uint64_t> peers;
};

fleet_members members_of(const gateway_state& state);

/// Number of peers that come before this gateway in the endpoint's rendezvous order.
std::uint32_t rank_for(const endpoint& row, const fleet_members& members);

/// Number of gateways that send to a cold endpoint.
std::uint32_t cold_senders(double cold_rate, std::uint32_t gateways);

/// Minimum time between two requests of one sender.
std::chrono::milliseconds cold_interval(double cold_rate, std::uint32_t senders);

/// Decides for each endpoint that is or may be cold whether this gateway may send requests to it. A
/// gateway that does not know the others may not, nor one that shuts down, since the others no
/// longer count it. The first requests of all senders are spread over the interval. A sender that
/// takes the place of another one waits for one interval, and one that has just started for some
/// seconds if the endpoint is known to be cold or no other gateway is known.
void update_cold_pacing(gateway_state& state, steady_time now);

/// Counts a health check against this gateway's share if the endpoint is cold.
void count_cold_check(endpoint& row, steady_time now);

}  // namespace chestnuthead::gateway
