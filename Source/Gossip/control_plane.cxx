#include "Gossip/control_plane.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "Gossip/control_plane_state.h"
#include "Gossip/exchange.h"
#include "Gossip/message_size.h"
#include "Gossip/vm_entry_text.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::seconds ageing_interval{2};
constexpr std::chrono::seconds member_ageing_interval{10};
constexpr std::chrono::seconds refutation_pause{1};
constexpr std::uint32_t history_request_limit = 3;
/// Outstanding reads that are tracked; replies to older ones are ignored.
constexpr std::size_t pending_read_limit = 8;
constexpr std::uint32_t extra_sends = 2;
constexpr std::uint64_t sequence_counter_mask = 0xFFFF'FFFF;

/// How often each node forwards a rumor: grows with the logarithm of the fleet's
/// size.
std::uint32_t sends_for(const control_plane& plane) {
  const auto nodes = static_cast<double>(plane.members.rows.size() + 2);
  return static_cast<std::uint32_t>(std::ceil(std::log2(nodes))) + extra_sends;
}

const fleet_shape& shape_of(control_plane& plane) {
  plane.shape.reads_per_second = plane.configuration.document.policy.fleet_reads_per_second;
  plane.shape.row_bytes = plane.configuration.text.size();
  const member_table& table = plane.members;
  if (!table.list_known || plane.shape_generation == table.generation) {
    return plane.shape;
  }
  const auto in_domain = std::count_if(
      table.rows.begin(), table.rows.end(),
      [&plane](const member& row) { return row.vm.failure_domain == plane.self.failure_domain; });
  plane.shape.nodes = table.rows.size() + 1;
  plane.shape.domain_nodes = static_cast<std::size_t>(in_domain) + 1;
  plane.shape_generation = table.generation;
  return plane.shape;
}

void report_increase(std::uint64_t count, std::uint64_t& reported, const char* name,
                     control_plane& plane, control_output& output) {
  if (count > reported) {
    output.broken.push_back({name, std::to_string(count) + " in all"});
    plane.counters.invariants_broken += count - reported;
    reported = count;
  }
}

/// Reports invariants that were violated since the last event.
void check_invariants(control_plane& plane, control_output& output) {
  report_increase(plane.configuration.version_regressions, plane.reported_version_regressions,
                  "configuration_stepped_back", plane, output);
  report_increase(plane.configuration.diverged, plane.reported_divergences,
                  "configuration_diverged", plane, output);
  report_increase(plane.members.list_regressions, plane.reported_list_regressions,
                  "vm_list_stepped_back", plane, output);
}

void start_schedules(control_plane& plane, steady_time now) {
  begin_reads(plane.reads, *plane.random, now);
  plane.next_gossip = now;
  plane.next_ageing = now + ageing_interval;
  plane.exchange_budget.filled_at = now;
  plane.push_budget.filled_at = now;
  plane.bulk_budget.filled_at = now;
}

void start_due_reads(control_plane& plane, control_output& output, steady_time now) {
  const fleet_shape& shape = shape_of(plane);
  if (list_read_due(plane.reads, shape, *plane.random, now)) {
    ++plane.counters.vm_list_reads;
    output.read_vm_list = true;
  }
  if (!configuration_read_due(plane.reads, shape, *plane.random, now)) {
    return;
  }
  const std::uint64_t ticket = control_ticket_bit | ++plane.next_ticket;
  plane.pending_reads[ticket] = plane.configuration.document.version;
  if (plane.pending_reads.size() > pending_read_limit) {
    plane.pending_reads.erase(plane.pending_reads.begin());
  }
  ++plane.counters.configuration_reads;
  output.table_calls.push_back({ticket, table_read_group{{configuration_row_key}}});
}

void age_tables(control_plane& plane, steady_time now) {
  if (now < plane.next_ageing) {
    return;
  }
  plane.next_ageing = now + ageing_interval;
  expire_rumors(plane.rumors, now);
  expire_crashes(plane.crashes, plane.configuration.document.policy.crash_memory, now);
  expire_loads(plane.loads, now);
  if (now >= plane.next_member_ageing) {
    plane.next_member_ageing = now + member_ageing_interval;
    age_members(plane.members, now);
  }
}

void note_adopted(control_plane& plane) {
  if (plane.newer && plane.newer->version <= plane.configuration.document.version) {
    plane.newer.reset();
  }
  schedule_push(plane);
}

/// Applies the configuration row read from the table; true if the active version is
/// now at least the table's.
bool apply_row(control_plane& plane, const std::optional<table_row>& row,
               std::uint64_t version_at_read, control_output& output) {
  const std::uint64_t version = row ? row->version : 0;
  if (version < version_at_read) {
    // This node has seen a newer version than the table holds: the row was removed
    // or reset without the operator's tool.
    output.broken.push_back({"table_behind_node", "row at version " + std::to_string(version)});
    ++plane.counters.invariants_broken;
  }
  if (!row) {
    return false;
  }
  if (adopt_document(plane.configuration, version, row->value) == adoption::adopted) {
    note_adopted(plane);
  }
  return plane.configuration.document.version >= version;
}

void apply_changes(control_plane& plane, const gossip_message& message) {
  bool adopted = false;
  for (const configuration_change& change : message.changes) {
    adopted = adopt_change(plane.configuration, change) == adoption::adopted || adopted;
  }
  if (adopted) {
    note_adopted(plane);
  }
  note_newer_peer(plane, message.from, message.configuration_version);
}

rumor own_rumor(control_plane& plane, rumor_kind kind, const std::string& subject,
                const std::string& detail) {
  rumor update;
  update.kind = kind;
  update.origin = plane.self.node;
  update.sequence = ++plane.next_sequence;
  update.subject = subject;
  update.detail = detail;
  return update;
}

void spread(control_plane& plane, const rumor& update, steady_time now) {
  store_rumor(plane.rumors, update, sends_for(plane), now);
  schedule_push(plane);
}

/// Refutes a leaving rumor from an earlier run of this node, which would otherwise
/// keep it out of service, by announcing the node as serving.
void refute(control_plane& plane, const rumor& update, steady_time now) {
  const bool concerns_self = update.kind == rumor_kind::node_leaving &&
                             update.subject == plane.self.node.value &&
                             update.origin == plane.self.node;
  const bool of_this_run =
      (update.sequence & ~sequence_counter_mask) == (plane.next_sequence & ~sequence_counter_mask);
  if (!concerns_self || of_this_run || plane.announced_leaving || now < plane.next_refutation) {
    return;
  }
  plane.next_refutation = now + refutation_pause;
  start_rumor(plane, rumor_kind::node_serving, plane.self.node.value, "", now);
}

/// Applies a rumor to the table that it concerns; true if that changed the table.
bool apply_rumor(control_plane& plane, const rumor& update, steady_time now) {
  if (update.kind == rumor_kind::request_crashed) {
    return note_crash(plane.crashes, update, now);
  }
  const std::uint64_t generation = plane.members.generation;
  merge_node_rumor(plane.members, update, now);
  return plane.members.generation != generation;
}

void apply_rumors(control_plane& plane, const gossip_message& message, steady_time now) {
  for (const rumor& update : message.rumors) {
    if (contains_rumor(plane.rumors, update)) {
      store_rumor(plane.rumors, update, 0, now);
      continue;
    }
    refute(plane, update, now);
    // A rumor that changes nothing here is forwarded only once, since the VM list
    // or other rumors have already spread its content.
    const bool is_new = apply_rumor(plane, update, now);
    store_rumor(plane.rumors, update, is_new ? sends_for(plane) : 1, now);
    if (is_new) {
      schedule_push(plane);
    }
  }
}

void apply_loads(control_plane& plane, const gossip_message& message, steady_time now) {
  for (const load_entry& load : message.loads) {
    if (load.endpoint.value != plane.self.node.value) {
      merge_load(plane.loads, load, now);
    }
  }
}

std::vector<endpoint_id> pool_in_service(const control_plane& plane) {
  std::vector<endpoint_id> endpoints;
  const endpoint_id own{plane.self.node.value};
  if (!is_taken_out(plane.configuration.document, own, plane.self.failure_domain)) {
    endpoints.push_back(own);
  }
  for (const member& row : plane.members.rows) {
    const bool in_pool = row.vm.role == vm_role::agent && row.vm.pool == plane.self.pool;
    if (in_pool && !is_out_of_service(plane, row)) {
      endpoints.push_back(endpoint_id{row.vm.node.value});
    }
  }
  return endpoints;
}

}  // namespace

void control_plane_deleter::operator()(control_plane* plane) const {
  delete plane;
}

control_plane_ptr make_control_plane(const vm_entry& self, random_source& random) {
  control_plane_ptr plane(new control_plane);
  plane->self = self;
  plane->random = &random;
  plane->members.self = self.node;
  plane->next_sequence = random.next() & ~sequence_counter_mask;
  plane->history_requests_left = history_request_limit;
  plane->exchange_budget = make_send_budget(exchange_bytes_per_second, exchange_burst_bytes);
  plane->push_budget = make_send_budget(push_bytes_per_second, push_burst_bytes);
  plane->bulk_budget = make_send_budget(bulk_bytes_per_second, bulk_burst_bytes);
  return plane;
}

control_output control_tick(control_plane& plane, steady_time now) {
  control_output output;
  if (!plane.reads.started) {
    start_schedules(plane, now);
  }
  age_tables(plane, now);
  start_due_reads(plane, output, now);
  send_due_messages(plane, output, now);
  check_invariants(plane, output);
  return output;
}

control_output handle_table_reply(control_plane& plane, std::uint64_t ticket,
                                  const table_reply& reply, steady_time now) {
  control_output output;
  const auto pending = plane.pending_reads.find(ticket);
  if (pending == plane.pending_reads.end()) {
    return output;
  }
  const std::uint64_t version_at_read = pending->second;
  plane.pending_reads.erase(pending);
  const auto* rows = std::get_if<table_rows>(&reply);
  const bool answered = rows != nullptr && rows->rows.size() == 1;
  if (answered && apply_row(plane, rows->rows.front(), version_at_read, output)) {
    plane.reads.confirmed = true;
  }
  configuration_read_done(plane.reads, shape_of(plane), answered, *plane.random, now);
  check_invariants(plane, output);
  return output;
}

control_output handle_vm_list(control_plane& plane, const vm_list_reply& reply, steady_time now) {
  control_output output;
  const auto* snapshot = std::get_if<vm_snapshot>(&reply);
  if (snapshot != nullptr) {
    const bool first = !plane.members.list_known;
    const std::vector<node_id> leaving = merge_vm_list(plane.members, *snapshot, now);
    for (const node_id& node : first ? std::vector<node_id>{} : leaving) {
      rumor update;
      update.kind = rumor_kind::node_leaving;
      update.origin.value = list_origin;
      update.sequence = snapshot->version;
      update.subject = node.value;
      spread(plane, update, now);
    }
  }
  list_read_done(plane.reads, shape_of(plane), snapshot != nullptr, *plane.random, now);
  check_invariants(plane, output);
  return output;
}

control_output handle_gossip(control_plane& plane, const gossip_message& message, steady_time now) {
  control_output output;
  ++plane.counters.messages_received;
  plane.counters.bytes_received += encoded_size(message);
  if (message.from == plane.self.node) {
    return output;
  }
  apply_changes(plane, message);
  apply_rumors(plane, message, now);
  apply_loads(plane, message, now);
  answer_peer(plane, message, output, now);
  check_invariants(plane, output);
  return output;
}

void note_peer_version(control_plane& plane, const node_id& peer, std::uint64_t version) {
  note_newer_peer(plane, peer, version);
}

void note_link_failed(control_plane& plane, const node_id& node, steady_time now) {
  mark_link_failed(plane.members, node, *plane.random, now);
}

void note_link_recovered(control_plane& plane, const node_id& node) {
  mark_link_recovered(plane.members, node);
}

void start_rumor(control_plane& plane, rumor_kind kind, const std::string& subject,
                 const std::string& detail, steady_time now) {
  const bool own = subject == plane.self.node.value;
  if (own && kind != rumor_kind::request_crashed) {
    plane.announced_leaving = kind == rumor_kind::node_leaving;
  }
  const bool announces = own && kind == rumor_kind::node_serving;
  const rumor update =
      own_rumor(plane, kind, subject, announces ? pack_vm_entry(plane.self) : detail);
  apply_rumor(plane, update, now);
  spread(plane, update, now);
}

void report_own_load(control_plane& plane, std::uint32_t in_flight, std::uint32_t limit,
                     steady_time now) {
  plane.loads.loads[endpoint_id{plane.self.node.value}] = known_load{in_flight, limit, now};
}

const configuration_document& current_configuration(const control_plane& plane) {
  return plane.configuration.document;
}

bool configuration_confirmed(const control_plane& plane) {
  return plane.reads.confirmed;
}

bool listed_as_leaving(const control_plane& plane) {
  return plane.members.self_listed_leaving;
}

const std::vector<member>& members(const control_plane& plane) {
  return plane.members.rows;
}

std::uint64_t view_generation(const control_plane& plane) {
  return plane.members.generation + plane.configuration.document.version;
}

std::optional<double> pool_mean(const control_plane& plane, steady_time now) {
  return mean_load(plane.loads, pool_in_service(plane), now);
}

std::uint32_t endpoints_crashed_by(const control_plane& plane, std::uint64_t fingerprint,
                                   steady_time now) {
  return count_crashed(plane.crashes, fingerprint, plane.configuration.document.policy.crash_memory,
                       now);
}

bool is_out_of_service(const control_plane& plane, const member& node) {
  return node.leaving || is_taken_out(plane.configuration.document, endpoint_id{node.vm.node.value},
                                      node.vm.failure_domain);
}

bool is_taken_out(const configuration_document& document, const endpoint_id& endpoint,
                  const failure_domain_id& domain) {
  return document.endpoints_out.count(endpoint) > 0 ||
         document.failure_domains_out.count(domain) > 0;
}

const control_counters& counters_of(const control_plane& plane) {
  return plane.counters;
}

}  // namespace chestnuthead
