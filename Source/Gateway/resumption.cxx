#include "Gateway/resumption.h"

#include <algorithm>
#include <vector>

namespace chestnuthead::gateway {

namespace {

/// Removes all other pools if the stream began in one of them.
void keep_pool_of_origin(std::vector<weighted_pool>& pools, const known_origin& origin) {
  const auto place =
      std::find_if(pools.begin(), pools.end(),
                   [&origin](const weighted_pool& share) { return share.pool == origin.pool; });
  if (place != pools.end()) {
    pools = {*place};
  }
}

}  // namespace

resumption_choice choose_resumption(const gateway_state& state, const admission& admitted,
                                    const resumption& wanted, double unit, steady_time now) {
  std::vector<weighted_pool> pools = pools_with_weight(*admitted.taken_route);
  resumption_choice choice;
  // An unknown stream of a split route may have begun in any of its pools.
  const bool single_pool = pools.size() == 1;
  if (const known_origin* origin = find_origin(state.streams, wanted)) {
    choice.version = origin->version;
    keep_pool_of_origin(pools, *origin);
  } else if (single_pool) {
    choice.version = version_of_stream(state.streams, pools.front().pool, wanted);
  }
  if (!choice.version) {
    const bool waits = (single_pool || wanted.began_as) && now < admitted.answer_by &&
                       may_become_known(state.streams, wanted, state.fleet.gateways, now);
    choice.step = waits ? resumption_step::wait : resumption_step::refuse;
    return choice;
  }
  std::erase_if(pools, [&state, &choice](const weighted_pool& share) {
    return !is_listed(state.endpoints, share.pool, *choice.version);
  });
  choice.taken_pool = pick_pool(*admitted.services, pools, unit);
  choice.step = choice.taken_pool == nullptr ? resumption_step::refuse : resumption_step::send;
  return choice;
}

}  // namespace chestnuthead::gateway
