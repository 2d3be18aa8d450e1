#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

#include "Gateway/rollout.h"
#include "Gateway/service_map.h"

/// Decides which requests are sent to a new version while its roll-out is in progress.
///
/// Each gateway keeps its own requests to the new version within its part of the exposure
/// that the operators allow, whatever the version does and whether or not the gateway reaches
/// its peers: a version may turn bad at any moment until the deadline. Within this bound a
/// trial on a few of the new endpoints comes first, at the load that they will have after the
/// roll-out. Shortly before the deadline all requests move, those first that take longest and
/// can't be resumed, as the old endpoints stop without draining.
namespace chestnuthead::gateway {

/// Bounds of the requests that an unproven version may get.
struct rollout_terms {
  /// Share of a pool's requests between an order and its deadline, over all gateways.
  double exposure_share = 0.1;
  /// Requests beyond this share, over all gateways.
  double exposure_allowance = 50.0;
};

/// The outcome is written this long before the deadline: enough for a slow call to the store
/// and a second try by another gateway.
inline constexpr std::chrono::milliseconds outcome_lead{400};

/// Why a request may be sent to certain versions.
enum class version_choice : std::uint8_t {
  /// No roll-out is in progress, or the request does not take part in it.
  settled,
  /// Part of the trial.
  trial,
  /// The traffic moves to the new version.
  shift,
};

std::string_view name_of(version_choice choice);

struct chosen_scope {
  version_scope scope;
  version_choice choice = version_choice::settled;
};

/// Requests that this gateway may still send to the new version.
double exposure_left(const rollout& row, const rollout_terms& terms, std::uint32_t gateways);

/// The first new endpoints in the order's rendezvous order, on which the version is tried: the
/// same ones for all gateways.
std::vector<std::uint64_t> trial_endpoints(const rollout& row,
                                           const std::vector<endpoint*>& endpoints,
                                           std::size_t count);

/// How long before the outcome the route's requests move to the new version.
std::chrono::milliseconds shift_lead(const route& route);

/// What a choice of versions depends on besides the roll-out.
struct scope_request {
  const std::vector<endpoint*>& endpoints;
  const pool& target;
  const route& taken_route;
  /// `affinity_of` the request. A trial takes all requests with certain prefixes, so that the
  /// caches of its endpoints serve them as well as those of the old ones do.
  std::uint64_t prefix = 0;
  std::uint32_t gateways = 1;
};

/// Chooses the versions for one send of a request. Does not count it.
chosen_scope choose_scope(const rollout_table& table, const scope_request& request,
                          const rollout_terms& terms, random_source& random, steady_time now);

/// The scope of a request whose stream began at `version`, as far as a roll-out still allows
/// that version.
version_scope scope_of_stream(const rollout_table& table, const scope_request& request,
                              const rollout_terms& terms, const std::string& version,
                              steady_time now);

/// Counts a request that was sent to an endpoint of the pool.
void count_send(rollout_table& table, const endpoint& row, const route& route, steady_time now);

}  // namespace chestnuthead::gateway
