#include "Gossip/member_table.h"

#include <algorithm>
#include <optional>
#include <set>

#include "Gossip/vm_entry_text.h"

namespace chestnuthead {

namespace {

// The upper 32 bits of a sequence number identify one run of the origin process,
// the lower 32 bits count within that run.
constexpr unsigned int run_shift = 32;

template <class Rows>
auto find_row(Rows& rows, const node_id& node) -> decltype(rows.data()) {
  const auto place =
      std::lower_bound(rows.begin(), rows.end(), node,
                       [](const member& row, const node_id& name) { return row.vm.node < name; });
  return place == rows.end() || place->vm.node != node ? nullptr : &*place;
}

member& row_for(member_table& table, const vm_entry& vm) {
  if (member* known = find_member(table, vm.node)) {
    return *known;
  }
  const auto place =
      std::lower_bound(table.rows.begin(), table.rows.end(), vm.node,
                       [](const member& row, const node_id& name) { return row.vm.node < name; });
  ++table.generation;
  return *table.rows.insert(place, member{vm, false, false, steady_time{}});
}

bool same_entry(const vm_entry& one, const vm_entry& other) {
  return one.role == other.role && one.pool == other.pool &&
         one.failure_domain == other.failure_domain && one.region == other.region &&
         one.address == other.address;
}

void set_entry(member_table& table, member& row, const vm_entry& vm) {
  if (!same_entry(row.vm, vm)) {
    ++table.generation;
  }
  const bool leaving = row.vm.leaving;
  row.vm = vm;
  row.vm.leaving = leaving;
}

/// Computes whether a node is leaving from the VM list and announcements.
void update_leaving(member_table& table, member& row, const member_notes& notes) {
  const bool marked_by_peers = notes.leaving_list_version > table.list_version;
  const bool leaving = notes.announced_leaving || notes.listed_leaving || marked_by_peers;
  if (row.leaving != leaving) {
    ++table.generation;
  }
  row.leaving = leaving;
  row.vm.leaving = notes.listed_leaving || marked_by_peers;
  row.announced = notes.has_announcement && !notes.announced_leaving;
}

/// True if the rumor is newer than the node's last announcement. Sequence numbers
/// are comparable within one run of the node only; between runs the time of origin
/// decides.
bool is_newer_announcement(const member_notes& notes, const rumor& update, steady_time now) {
  if (!notes.has_announcement) {
    return true;
  }
  if (notes.announcement_sequence >> run_shift == update.sequence >> run_shift) {
    return update.sequence > notes.announcement_sequence;
  }
  return now - update.age > notes.announced_at;
}

void apply_announcement(member_table& table, const rumor& update, const node_id& node,
                        steady_time now) {
  member_notes& notes = table.notes[node];
  if (!is_newer_announcement(notes, update, now)) {
    return;
  }
  notes.has_announcement = true;
  notes.announcement_sequence = update.sequence;
  notes.announced_at = now - update.age;
  notes.announced_leaving = update.kind == rumor_kind::node_leaving;
  if (!notes.announced_leaving) {
    // A serving announcement overrides earlier lists that marked the node as
    // leaving.
    notes.listed_leaving = false;
    notes.leaving_list_version = 0;
    if (const std::optional<vm_entry> vm = unpack_vm_entry(node, update.detail)) {
      set_entry(table, row_for(table, *vm), *vm);
    }
  }
  if (member* row = find_member(table, node)) {
    update_leaving(table, *row, notes);
  }
}

void apply_list_rumor(member_table& table, const rumor& update, const node_id& node) {
  member* row = find_member(table, node);
  if (row == nullptr || update.sequence <= table.list_version) {
    return;
  }
  member_notes& notes = table.notes[node];
  notes.leaving_list_version = std::max(notes.leaving_list_version, update.sequence);
  update_leaving(table, *row, notes);
}

bool is_known(const member_notes& notes) {
  return notes.listed || notes.has_announcement;
}

/// Removes nodes that are neither in the VM list nor have a valid announcement.
void drop_unknown(member_table& table) {
  const std::size_t before = table.rows.size();
  std::erase_if(table.rows, [&table](const member& row) {
    const auto notes = table.notes.find(row.vm.node);
    return notes == table.notes.end() || !is_known(notes->second);
  });
  std::erase_if(table.notes, [](const auto& entry) { return !is_known(entry.second); });
  if (table.rows.size() != before) {
    ++table.generation;
  }
}

/// Clears the listed flag and the announcement of nodes that the new list has
/// dropped: an announcement only bridges the time until the list first shows the
/// node.
void clear_dropped_nodes(member_table& table, const vm_snapshot& snapshot) {
  std::set<node_id> shown;
  for (const vm_entry& vm : snapshot.vms) {
    shown.insert(vm.node);
  }
  for (auto& [node, notes] : table.notes) {
    if (shown.count(node) == 0 && notes.listed) {
      notes.listed = false;
      notes.has_announcement = false;
    }
  }
}

/// Adds rows for all new nodes of a list at once, so that the rows are sorted only
/// once.
void add_rows(member_table& table, const vm_snapshot& snapshot) {
  const std::size_t before = table.rows.size();
  std::vector<member> fresh;
  for (const vm_entry& vm : snapshot.vms) {
    if (vm.node != table.self && find_member(table, vm.node) == nullptr) {
      fresh.push_back(member{vm, false, false, steady_time{}});
    }
  }
  table.rows.insert(table.rows.end(), fresh.begin(), fresh.end());
  const auto by_name = [](const member& one, const member& other) {
    return one.vm.node < other.vm.node;
  };
  std::stable_sort(table.rows.begin(), table.rows.end(), by_name);
  // A node that is listed twice gets one row.
  const auto same_name = [](const member& one, const member& other) {
    return one.vm.node == other.vm.node;
  };
  table.rows.erase(std::unique(table.rows.begin(), table.rows.end(), same_name), table.rows.end());
  if (table.rows.size() != before) {
    ++table.generation;
  }
}

void merge_entry(member_table& table, const vm_entry& vm, std::vector<node_id>& newly_leaving) {
  member& row = row_for(table, vm);
  set_entry(table, row, vm);
  member_notes& notes = table.notes[vm.node];
  if (vm.leaving && !row.leaving) {
    newly_leaving.push_back(vm.node);
  }
  notes.listed = true;
  notes.listed_leaving = vm.leaving;
  update_leaving(table, row, notes);
}

}  // namespace

std::vector<node_id> merge_vm_list(member_table& table, const vm_snapshot& snapshot,
                                   steady_time now) {
  std::vector<node_id> newly_leaving;
  if (table.list_known && snapshot.version <= table.list_version) {
    return newly_leaving;
  }
  if (snapshot.version < table.list_version) {
    ++table.list_regressions;
  }
  table.list_known = true;
  table.list_version = snapshot.version;
  clear_dropped_nodes(table, snapshot);
  add_rows(table, snapshot);
  for (const vm_entry& vm : snapshot.vms) {
    if (vm.node == table.self) {
      table.self_listed_leaving = vm.leaving;
    } else {
      merge_entry(table, vm, newly_leaving);
    }
  }
  drop_unknown(table);
  age_members(table, now);
  return newly_leaving;
}

void merge_node_rumor(member_table& table, const rumor& update, steady_time now) {
  const node_id node{update.subject};
  if (node == table.self) {
    return;
  }
  if (update.origin == node) {
    apply_announcement(table, update, node, now);
  } else if (update.origin.value == list_origin && update.kind == rumor_kind::node_leaving) {
    apply_list_rumor(table, update, node);
  }
}

void age_members(member_table& table, steady_time now) {
  for (auto& [node, notes] : table.notes) {
    if (notes.announced_leaving && notes.listed &&
        now - notes.announced_at > leaving_announcement_lifetime) {
      notes.announced_leaving = false;
    }
    if (notes.has_announcement && now - notes.announced_at > announcement_lifetime) {
      notes.has_announcement = false;
    }
    if (member* row = find_member(table, node)) {
      update_leaving(table, *row, notes);
    }
  }
  drop_unknown(table);
}

member* find_member(member_table& table, const node_id& node) {
  return find_row(table.rows, node);
}

const member* find_member(const member_table& table, const node_id& node) {
  return find_row(table.rows, node);
}

void mark_link_failed(member_table& table, const node_id& node, random_source& random,
                      steady_time now) {
  member* row = find_member(table, node);
  if (row == nullptr) {
    return;
  }
  constexpr std::uint32_t longest_doubling = 6;
  member_notes& notes = table.notes[node];
  const auto doubled = first_link_pause * (1U << std::min(notes.link_failures, longest_doubling));
  const auto pause = std::min<std::chrono::milliseconds>(doubled, longest_link_pause);
  ++notes.link_failures;
  // Jitter, so that not all nodes reconnect to a recovered one at the same time.
  const auto jitter = static_cast<std::int64_t>(
      next_below(random, static_cast<std::uint64_t>(pause.count() / 2 + 1)));
  row->avoid_until = now + pause - std::chrono::milliseconds{jitter};
}

void mark_link_recovered(member_table& table, const node_id& node) {
  member* row = find_member(table, node);
  if (row == nullptr) {
    return;
  }
  table.notes[node].link_failures = 0;
  row->avoid_until = steady_time{};
}

}  // namespace chestnuthead
