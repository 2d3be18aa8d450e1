#include "Traffic/peer_codec.h"

#include <cstdint>
#include <vector>

#include "Net/msgpack_fields.h"
#include "Traffic/rollout_codec.h"

namespace chestnuthead::traffic {

namespace {

/// To be increased when the fields change; gateways ignore messages of another version.
constexpr std::uint32_t message_version = 7;
constexpr std::size_t part_crash_fields = 4;
constexpr std::size_t check_fields = 3;
/// Most elements of one list.
constexpr std::size_t list_limit = 4'096;

/// Guards against messages whose declared sizes exceed their content: msgpack allocates memory
/// for the declared size of an array before it reads the elements.
const msgpack::unpack_limit limits(list_limit, /* map */ 0, /* str */ 4'096,
                                   /* bin */ gateway::max_update_bytes, /* ext */ 0, /* depth */ 5);

void check_length(const msgpack::object& list) {
  if (list.type != msgpack::type::ARRAY || list.via.array.size > list_limit) {
    throw msgpack::type_error();
  }
}

/// Reads the next field, which is a list of limited length.
field_reader read_limited_list(field_reader& in) {
  const msgpack::object& list = in.object();
  check_length(list);
  return field_reader(list);
}

/// Reads entries of two fields each from a list of limited length.
template <class Entry, class First, class Second>
void read_limited_pairs(const msgpack::object& list, std::vector<Entry>& entries,
                        First Entry::*first, Second Entry::*second) {
  check_length(list);
  read_pairs(list, entries, first, second);
}

void write_table(field_writer& out, const gateway::table_update& update) {
  constexpr std::size_t fields = 7;
  constexpr std::size_t row_fields = 4;
  out.array(fields);
  out.put(update.table);
  out.put(update.version);
  out.put(update.unchanged_since);
  out.put(update.store_time);
  out.put(update.rows_after);
  out.array(update.rows.size() * row_fields);
  for (const gateway::table_row& row : update.rows) {
    out.put(row.key);
    out.put_bytes(row.value);
    out.put(row.removed);
    out.put(row.version);
  }
  out.put(update.era);
}

gateway::table_update read_table(const msgpack::object& object) {
  field_reader in(object);
  gateway::table_update update;
  in.get(update.table);
  in.get(update.version);
  in.get(update.unchanged_since);
  in.get(update.store_time);
  in.get(update.rows_after);
  for (field_reader list = read_limited_list(in); !list.at_end();) {
    gateway::table_row& row = update.rows.emplace_back();
    list.get(row.key);
    list.get_bytes(row.value);
    list.get(row.removed);
    list.get(row.version);
  }
  in.get(update.era);
  return update;
}

/// Writes the fields that earlier builds do not read.
void write_proofs(field_writer& out, const gateway::peer_message& message) {
  out.array(message.checks.size() * check_fields);
  for (const gateway::check_report& report : message.checks) {
    out.put(report.endpoint);
    out.put(report.age);
    out.put(report.cold_for);
  }
  const std::vector<std::uint64_t> none;
  const std::vector<std::uint64_t>& unvouched = message.unvouched ? *message.unvouched : none;
  out.array(unvouched.size());
  for (const std::uint64_t endpoint : unvouched) {
    out.put(endpoint);
  }
}

void read_proofs(field_reader& in, gateway::peer_message& message) {
  for (field_reader list = read_limited_list(in); !list.at_end();) {
    gateway::check_report& report = message.checks.emplace_back();
    list.get(report.endpoint);
    list.get(report.age);
    list.get(report.cold_for);
  }
  message.unvouched.emplace();
  for (field_reader list = read_limited_list(in); !list.at_end();) {
    list.get(message.unvouched->emplace_back());
  }
}

/// Writes the fields that earlier builds do not read.
void write_parts(field_writer& out, const gateway::part_reports& reports) {
  out.array(reports.crashes.size() * part_crash_fields);
  for (const gateway::part_crash& crash : reports.crashes) {
    out.put(crash.part);
    out.put(crash.endpoint);
    out.put(crash.depth);
    out.put(crash.age);
  }
  write_pairs(out, reports.cleared, &gateway::part_clearance::part, &gateway::part_clearance::age);
  out.array(reports.refused.size());
  for (const std::uint64_t part : reports.refused) {
    out.put(part);
  }
}

void check_part_list(const msgpack::object& list, std::size_t fields, std::size_t most) {
  if (list.type != msgpack::type::ARRAY || list.via.array.size > fields * most) {
    throw msgpack::type_error();
  }
}

gateway::part_reports read_parts(field_reader& in) {
  gateway::part_reports reports;
  const msgpack::object& crashes = in.object();
  check_part_list(crashes, part_crash_fields, gateway::max_reported_crashes);
  for (field_reader list(crashes); !list.at_end();) {
    gateway::part_crash& crash = reports.crashes.emplace_back();
    list.get(crash.part);
    list.get(crash.endpoint);
    list.get(crash.depth);
    list.get(crash.age);
  }
  const msgpack::object& cleared = in.object();
  check_part_list(cleared, 2, gateway::max_reported_clearances);
  read_pairs(cleared, reports.cleared, &gateway::part_clearance::part,
             &gateway::part_clearance::age);
  const msgpack::object& refused = in.object();
  check_part_list(refused, 1, gateway::max_reported_refusals);
  for (field_reader list(refused); !list.at_end();) {
    list.get(reports.refused.emplace_back());
  }
  return reports;
}

}  // namespace

std::string encode_peer_message(const gateway::peer_message& message) {
  constexpr std::size_t fields = 20;
  field_writer out;
  out.array(fields);
  out.put(message_version);
  out.put(message.sender);
  out.put(message.start);
  out.put(message.sequence);
  out.put(message.leaving);
  out.put(message.current);
  out.put(message.configuration);
  write_pairs(out, message.loads, &gateway::peer_load::endpoint, &gateway::peer_load::in_flight);
  out.array(message.unreachable.size());
  for (const std::uint64_t endpoint : message.unreachable) {
    out.put(endpoint);
  }
  write_pairs(out, message.leaving_endpoints, &gateway::incarnation_id::endpoint,
              &gateway::incarnation_id::started);
  write_pairs(out, message.crashes, &gateway::crash_report::request,
              &gateway::crash_report::endpoint);
  for (const auto* placements : {&message.placements, &message.shorter_prefixes}) {
    write_pairs(out, *placements, &gateway::prefix_placement::prefix,
                &gateway::prefix_placement::endpoint);
  }
  out.array(message.tables.size());
  for (const gateway::table_update& update : message.tables) {
    write_table(out, update);
  }
  write_rollouts(out, message.rollouts);
  write_parts(out, message.parts);
  write_proofs(out, message);
  return out.text();
}

std::optional<gateway::peer_message> decode_peer_message(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
    field_reader in(handle.get());
    std::uint32_t version = 0;
    in.get(version);
    if (version != message_version) {
      return std::nullopt;
    }
    gateway::peer_message message;
    in.get(message.sender);
    in.get(message.start);
    in.get(message.sequence);
    in.get(message.leaving);
    in.get(message.current);
    in.get(message.configuration);
    read_limited_pairs(in.object(), message.loads, &gateway::peer_load::endpoint,
                       &gateway::peer_load::in_flight);
    for (field_reader list = read_limited_list(in); !list.at_end();) {
      list.get(message.unreachable.emplace_back());
    }
    read_limited_pairs(in.object(), message.leaving_endpoints, &gateway::incarnation_id::endpoint,
                       &gateway::incarnation_id::started);
    read_limited_pairs(in.object(), message.crashes, &gateway::crash_report::request,
                       &gateway::crash_report::endpoint);
    for (auto* placements : {&message.placements, &message.shorter_prefixes}) {
      read_limited_pairs(in.object(), *placements, &gateway::prefix_placement::prefix,
                         &gateway::prefix_placement::endpoint);
    }
    for (field_reader list = read_limited_list(in); !list.at_end();) {
      message.tables.push_back(read_table(list.object()));
    }
    message.rollouts = read_rollouts(in.object());
    // Messages of earlier builds end here.
    if (!in.at_end()) {
      message.parts = read_parts(in);
    }
    if (!in.at_end()) {
      read_proofs(in, message);
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnuthead::traffic
