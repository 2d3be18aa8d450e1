#include "Gossip/member_table.h"

#include <algorithm>
#include <optional>
#include <set>

#include "Gossip/vm_entry_text.h"

namespace chestnuthead {

namespace {

// The upper half of a sequence names one run of its origin, the lower half
// counts within the run.
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

/// Works out whether a node is leaving from all that is known of it.
void settle_leaving(member_table& table, member& row, const member_notes& notes) {
  const bool told = notes.told_leaving_by_list > table.list_version;
  const bool leaving = notes.said_leaving || notes.listed_leaving || told;
  if (row.leaving != leaving) {
    ++table.generation;
  }
  row.leaving = leaving;
  row.vm.leaving = notes.listed_leaving || told;
  row.announced = notes.has_word && !notes.said_leaving;
}

/// True if `news` is the node's own word and newer than what it said before.
/// Within one run the sequences tell; between runs only the time can.
bool is_newer_word(const member_notes& notes, const rumor& news, steady_time now) {
  if (!notes.has_word) {
    return true;
  }
  if (notes.word_sequence >> run_shift == news.sequence >> run_shift) {
    return news.sequence > notes.word_sequence;
  }
  return now - news.age > notes.word_said_at;
}

void take_own_word(member_table& table, const rumor& news, const node_id& node, steady_time now) {
  member_notes& notes = table.notes[node];
  if (!is_newer_word(notes, news, now)) {
    return;
  }
  notes.has_word = true;
  notes.word_sequence = news.sequence;
  notes.word_said_at = now - news.age;
  notes.said_leaving = news.kind == rumor_kind::node_leaving;
  if (!notes.said_leaving) {
    // A node that serves again has outlived what a list said of it before.
    notes.listed_leaving = false;
    notes.told_leaving_by_list = 0;
    if (const std::optional<vm_entry> vm = unpack_vm_entry(node, news.detail)) {
      set_entry(table, row_for(table, *vm), *vm);
    }
  }
  if (member* row = find_member(table, node)) {
    settle_leaving(table, *row, notes);
  }
}

void take_word_of_list(member_table& table, const rumor& news, const node_id& node) {
  member* row = find_member(table, node);
  if (row == nullptr || news.sequence <= table.list_version) {
    return;
  }
  member_notes& notes = table.notes[node];
  notes.told_leaving_by_list = std::max(notes.told_leaving_by_list, news.sequence);
  settle_leaving(table, *row, notes);
}

bool is_known(const member_notes& notes) {
  return notes.listed || notes.has_word;
}

/// Removes the nodes that neither the list nor their own word knows.
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

/// Marks the nodes of the list as listed and those that it has dropped as
/// unknown: their own word counts only until the list has shown them.
void mark_listed(member_table& table, const vm_snapshot& snapshot) {
  std::set<node_id> shown;
  for (const vm_entry& vm : snapshot.vms) {
    shown.insert(vm.node);
  }
  for (auto& [node, notes] : table.notes) {
    if (shown.count(node) == 0 && notes.listed) {
      notes.listed = false;
      notes.has_word = false;
    }
  }
}

/// Adds rows for the nodes of a list that are not known yet, all at once.
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
  // A list that names a node twice adds it once.
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
  settle_leaving(table, row, notes);
}

}  // namespace

std::vector<node_id> merge_vm_list(member_table& table, const vm_snapshot& snapshot,
                                   steady_time now) {
  std::vector<node_id> newly_leaving;
  if (table.list_known && snapshot.version <= table.list_version) {
    return newly_leaving;
  }
  if (snapshot.version < table.list_version) {
    ++table.lists_stepped_back;
  }
  table.list_known = true;
  table.list_version = snapshot.version;
  mark_listed(table, snapshot);
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

void merge_node_rumor(member_table& table, const rumor& news, steady_time now) {
  const node_id node{news.subject};
  if (node == table.self) {
    return;
  }
  if (news.origin == node) {
    take_own_word(table, news, node, now);
  } else if (news.origin.value == list_origin && news.kind == rumor_kind::node_leaving) {
    take_word_of_list(table, news, node);
  }
}

void age_members(member_table& table, steady_time now) {
  for (auto& [node, notes] : table.notes) {
    if (notes.said_leaving && notes.listed && now - notes.word_said_at > leaving_hold) {
      notes.said_leaving = false;
    }
    if (notes.has_word && now - notes.word_said_at > announcement_hold) {
      notes.has_word = false;
    }
    if (member* row = find_member(table, node)) {
      settle_leaving(table, *row, notes);
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

void mark_link_lost(member_table& table, const node_id& node, random_source& random,
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
  // Spread, so that not all nodes try a returning one at the same time.
  const auto jitter = static_cast<std::int64_t>(
      next_below(random, static_cast<std::uint64_t>(pause.count() / 2 + 1)));
  row->avoid_until = now + pause - std::chrono::milliseconds{jitter};
}

void mark_link_good(member_table& table, const node_id& node) {
  member* row = find_member(table, node);
  if (row == nullptr) {
    return;
  }
  table.notes[node].link_failures = 0;
  row->avoid_until = steady_time{};
}

}  // namespace chestnuthead
