#include "Router/choice.h"

#include <algorithm>

#include "Base/hashing.h"
#include "Router/chat_memory.h"
#include "Router/load_memory.h"

namespace chestnuthead::routing {

namespace {

bool was_tried(const request_row& row, const node_id& node) {
  return std::find(row.tried.begin(), row.tried.end(), node) != row.tried.end();
}

bool placed_by_hash(const request_row& row) {
  // A key meets earlier calls with it in one agent's memory, and a chat its
  // cached prefix; plain services keep nothing of a chat. Content that crashes
  // engines goes on in the order of its own hash, so that its next copy meets
  // the agents that saw it.
  const bool suspect = !row.failed_at.empty() || row.refusals.crashed_here > 0;
  const bool ordered = !row.facts.chat.empty() || suspect;
  return !row.facts.key.empty() || (row.model_engine && ordered);
}

// The untried members with good links, or, if there is none, all untried ones.
std::vector<const pool_member*> untried_members(const router_state& state, const request_row& row,
                                                steady_time now) {
  std::vector<const pool_member*> untried;
  std::vector<const pool_member*> with_good_links;
  for (const pool_member& member : members_of(state.placement, row.facts.pool)) {
    if (!takes_work(state, member, now) || was_tried(row, member.node)) {
      continue;
    }
    untried.push_back(&member);
    if (!avoided(*state.plane, member, now)) {
      with_good_links.push_back(&member);
    }
  }
  return with_good_links.empty() ? untried : with_good_links;
}

// Two random choices, the less loaded one taken.
const pool_member* choose_by_load(router_state& state, const request_row& row, steady_time now) {
  const auto untried = untried_members(state, row, now);
  if (untried.empty()) {
    return nullptr;
  }
  const pool_member* one = untried[next_below(*state.random, untried.size())];
  const pool_member* other = untried[next_below(*state.random, untried.size())];
  const double one_load = known_load(state.loads, one->node, now);
  return known_load(state.loads, other->node, now) < one_load ? other : one;
}

}  // namespace

bool takes_work(const router_state& state, const pool_member& member, steady_time now) {
  if (!state.switches.skip_endpoints_out) {
    return true;
  }
  return member.in_service && !said_leaving(state.loads, member.node, now);
}

std::vector<const pool_member*> best_untried(const router_state& state, const request_row& row,
                                             std::size_t count, steady_time now) {
  return preference_order(untried_members(state, row, now), placement_hash(row.facts), count);
}

const pool_member* next_choice(router_state& state, const request_row& row, steady_time now) {
  if (!placed_by_hash(row)) {
    return choose_by_load(state, row, now);
  }
  const auto order = best_untried(state, row, 1, now);
  return order.empty() ? nullptr : order.front();
}

const pool_member* least_loaded(const router_state& state, const request_row& row,
                                steady_time now) {
  const pool_member* best = nullptr;
  for (const pool_member& member : members_of(state.placement, row.facts.pool)) {
    const bool usable = takes_work(state, member, now) && !was_tried(row, member.node);
    if (!usable || !has_known_room(state.loads, member.node, now)) {
      continue;
    }
    if (best == nullptr ||
        known_load(state.loads, member.node, now) < known_load(state.loads, best->node, now)) {
      best = &member;
    }
  }
  return best;
}

const pool_member* remembered_holder(const router_state& state, const request_row& row,
                                     steady_time now) {
  if (!state.switches.use_chat_memory) {
    return nullptr;
  }
  const auto agent_hash = recall_chat(state.chats, hash_text(row.facts.chat.value));
  if (!agent_hash) {
    return nullptr;
  }
  const auto& pool = members_of(state.placement, row.facts.pool);
  const auto found = std::find_if(pool.begin(), pool.end(), [&](const pool_member& member) {
    return member.hash == *agent_hash;
  });
  if (found == pool.end() || !takes_work(state, *found, now) || was_tried(row, found->node)) {
    return nullptr;
  }
  return avoided(*state.plane, *found, now) ? nullptr : &*found;
}

}  // namespace chestnuthead::routing
