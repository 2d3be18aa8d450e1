#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/vm_list.h"

#include "Gossip/control_plane.h"

/// The nodes of the fleet, merged from the platform's lagging list and from
/// what nodes say of themselves.
namespace chestnuthead {

/// A node's word that it leaves stands against lists for this long, since a
/// list may be older than the word; after that the list decides.
inline constexpr std::chrono::seconds leaving_hold{60};
/// A node that is not in the list yet is known from its own word this long.
inline constexpr std::chrono::seconds announcement_hold{600};
/// First pause after a failed link; doubles with each failure in a row.
inline constexpr std::chrono::milliseconds first_link_pause{200};
inline constexpr std::chrono::milliseconds longest_link_pause{10'000};
/// Origin of the news that the platform's list shows a node as leaving; the
/// sequence is the list's version.
inline constexpr const char* list_origin = "vm-list";

/// What is known of a node beside its `member` row.
struct member_notes {
  /// Shown by the newest list that was read.
  bool listed = false;
  bool listed_leaving = false;
  /// The node's newest word of itself, and when it was said.
  std::uint64_t word_sequence = 0;
  steady_time word_said_at{};
  bool has_word = false;
  bool said_leaving = false;
  /// Version of the list by which peers told that the node leaves.
  std::uint64_t told_leaving_by_list = 0;
  std::uint32_t link_failures = 0;
};

struct member_table {
  node_id self;
  /// In the order of the nodes' names, this node left out.
  std::vector<member> rows;
  std::map<node_id, member_notes> notes;
  std::uint64_t list_version = 0;
  bool list_known = false;
  /// The newest list shows this node as leaving.
  bool self_listed_leaving = false;
  std::uint64_t generation = 0;
  /// Times an older list replaced a newer one; stays 0.
  std::uint64_t lists_stepped_back = 0;
};

/// Takes in a list unless a newer one is known. Returns the nodes that it newly
/// shows as leaving.
std::vector<node_id> merge_vm_list(member_table& table, const vm_snapshot& snapshot,
                                   steady_time now);

/// Takes in a rumor of kind `node_leaving` or `node_serving`.
void merge_node_rumor(member_table& table, const rumor& news, steady_time now);

/// Lets announcements and words lapse.
void age_members(member_table& table, steady_time now);

/// The row of `node`, or nullptr.
member* find_member(member_table& table, const node_id& node);
const member* find_member(const member_table& table, const node_id& node);

void mark_link_lost(member_table& table, const node_id& node, random_source& random,
                    steady_time now);
void mark_link_good(member_table& table, const node_id& node);

}  // namespace chestnuthead
