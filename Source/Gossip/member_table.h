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

/// The nodes of the fleet, merged from the platform's VM list, which lags, and from
/// the nodes' own announcements by gossip.
namespace chestnuthead {

/// A node's announcement that it is leaving takes precedence over the VM list for
/// this long, since the list may be older than the announcement; afterwards the
/// list decides.
inline constexpr std::chrono::seconds leaving_announcement_lifetime{60};
/// How long a node that the VM list does not show is kept on its own announcement
/// alone.
inline constexpr std::chrono::seconds announcement_lifetime{600};
/// Backoff after the first failed connection; doubles with each consecutive
/// failure.
inline constexpr std::chrono::milliseconds first_link_pause{200};
inline constexpr std::chrono::milliseconds longest_link_pause{10'000};
/// Origin of rumors saying that the platform's VM list marks a node as leaving.
/// Their sequence number is the list's version.
inline constexpr const char* list_origin = "vm-list";

/// Bookkeeping about a node in addition to its `member` row.
struct member_notes {
  /// The newest VM list shows the node.
  bool listed = false;
  bool listed_leaving = false;
  /// Sequence number and time of origin of the node's newest announcement.
  std::uint64_t announcement_sequence = 0;
  steady_time announced_at{};
  bool has_announcement = false;
  bool announced_leaving = false;
  /// Version of the VM list that marks the node as leaving according to peers; 0 if
  /// none.
  std::uint64_t leaving_list_version = 0;
  std::uint32_t link_failures = 0;
};

struct member_table {
  node_id self;
  /// Sorted by node name; does not contain this node.
  std::vector<member> rows;
  std::map<node_id, member_notes> notes;
  std::uint64_t list_version = 0;
  bool list_known = false;
  /// The newest VM list marks this node as leaving.
  bool self_listed_leaving = false;
  std::uint64_t generation = 0;
  /// Number of times an older list replaced a newer one. An invariant: must stay 0.
  std::uint64_t list_regressions = 0;
};

/// Applies a VM list unless it is not newer than the current one. Returns the nodes
/// that it newly marks as leaving.
std::vector<node_id> merge_vm_list(member_table& table, const vm_snapshot& snapshot,
                                   steady_time now);

/// Applies a rumor of kind `node_leaving` or `node_serving`.
void merge_node_rumor(member_table& table, const rumor& update, steady_time now);

/// Expires old announcements.
void age_members(member_table& table, steady_time now);

/// The row of `node`, or nullptr.
member* find_member(member_table& table, const node_id& node);
const member* find_member(const member_table& table, const node_id& node);

void mark_link_failed(member_table& table, const node_id& node, random_source& random,
                      steady_time now);
void mark_link_recovered(member_table& table, const node_id& node);

}  // namespace chestnuthead
