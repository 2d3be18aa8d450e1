#include "Router/choice.h"

#include <algorithm>

#include "Base/hashing.h"
#include "Router/chat_affinity_cache.h"
#include "Router/load_cache.h"

namespace chestnuthead::routing {

namespace {

bool was_tried(const request_row& row, const node_id& node) {
  return std::find(row.tried.begin(), row.tried.end(), node) != row.tried.end();
}

bool is_placed_by_hash(const request_row& row) {
  // A key goes to the agent whose ledger holds earlier calls with it, and a
  // chat to its cached prefix; plain services keep no state of a chat. Content
  // that crashes engines follows the order of its own hash, so that its next
  // copy reaches the agents that saw the crashes.
  const bool suspect = !row.failed_at.empty() || row.refusals.crashed_here > 0;
  const bool ordered = !row.facts.chat.empty() || suspect;
  return !row.facts.key.empty() || (row.model_engine && ordered);
}

// The untried members without failing links, or all untried ones if there are
// none.
std::vector<const pool_member*> untried_members(const router_state& state, const request_row& row,
                                                steady_time now) {
  std::vector<const pool_member*> untried;
  std::vector<const pool_member*> with_good_links;
  for (const pool_member& member : members_of(state.placement, row.facts.pool)) {
    if (!accepts_new_work(state, member, now) || was_tried(row, member.node)) {
      continue;
    }
    untried.push_back(&member);
    if (!link_failed_recently(*state.plane, member, now)) {
      with_good_links.push_back(&member);
    }
  }
  return with_good_links.empty() ? untried : with_good_links;
}

// Picks two members at random and returns the less loaded one.
const pool_member* choose_by_load(router_state& state, const request_row& row, steady_time now) {
  const auto untried = untried_members(state, row, now);
  if (untried.empty()) {
    return nullptr;
  }
  const pool_member* one = untried[next_below(*state.random, untried.size())];
  const pool_member* other = untried[next_below(*state.random, untried.size())];
  const double one_load = reported_utilisation(state.loads, one->node, now);
  return reported_utilisation(state.loads, other->node, now) < one_load ? other : one;
}

}  // namespace

bool accepts_new_work(const router_state& state, const pool_member& member, steady_time now) {
  if (!state.switches.skip_endpoints_out) {
    return true;
  }
  return member.in_service && !reported_leaving(state.loads, member.node, now);
}

std::vector<const pool_member*> best_untried(const router_state& state, const request_row& row,
                                             std::size_t count, steady_time now) {
  return preference_order(untried_members(state, row, now), placement_hash(row.facts), count);
}

const pool_member* next_choice(router_state& state, const request_row& row, steady_time now) {
  if (!is_placed_by_hash(row)) {
    return choose_by_load(state, row, now);
  }
  const auto order = best_untried(state, row, 1, now);
  return order.empty() ? nullptr : order.front();
}

const pool_member* least_loaded(const router_state& state, const request_row& row,
                                steady_time now) {
  const pool_member* best = nullptr;
  for (const pool_member& member : members_of(state.placement, row.facts.pool)) {
    const bool usable = accepts_new_work(state, member, now) && !was_tried(row, member.node);
    if (!usable || !has_reported_capacity(state.loads, member.node, now)) {
      continue;
    }
    if (best == nullptr || reported_utilisation(state.loads, member.node, now) <
                               reported_utilisation(state.loads, best->node, now)) {
      best = &member;
    }
  }
  return best;
}

const pool_member* cached_holder(const router_state& state, const request_row& row,
                                 steady_time now) {
  if (!state.switches.use_chat_affinity) {
    return nullptr;
  }
  const auto agent_hash = find_chat_affinity(state.chats, hash_text(row.facts.chat.value));
  if (!agent_hash) {
    return nullptr;
  }
  const auto& pool = members_of(state.placement, row.facts.pool);
  const auto found = std::find_if(pool.begin(), pool.end(), [&](const pool_member& member) {
    return member.hash == *agent_hash;
  });
  if (found == pool.end() || !accepts_new_work(state, *found, now) || was_tried(row, found->node)) {
    return nullptr;
  }
  return link_failed_recently(*state.plane, *found, now) ? nullptr : &*found;
}

}  // namespace chestnuthead::routing
