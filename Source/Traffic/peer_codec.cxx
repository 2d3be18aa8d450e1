#include "Traffic/peer_codec.h"

#include <cstdint>
#include <vector>

#include "Net/msgpack_fields.h"

namespace chestnuthead::traffic {

namespace {

/// Changes when the fields do; gateways ignore messages of another version.
constexpr std::uint32_t message_version = 6;
/// Entries of one list that are taken at most.
constexpr std::size_t list_limit = 4'096;

/// Limits against messages that claim more than they hold: memory is taken for
/// what an array claims before its elements are read.
const msgpack::unpack_limit limits(list_limit, /* map */ 0, /* str */ 4'096,
                                   /* bin */ gateway::max_update_bytes, /* ext */ 0, /* depth */ 5);

void check_length(const msgpack::object& list) {
  if (list.type != msgpack::type::ARRAY || list.via.array.size > list_limit) {
    throw msgpack::type_error();
  }
}

/// Reads entries whose two fields stand in turn in one list.
template <class Entry, class First, class Second>
void read_pairs(const msgpack::object& list, std::vector<Entry>& entries, First Entry::*first,
                Second Entry::*second) {
  check_length(list);
  for (field_reader fields(list); !fields.at_end();) {
    Entry entry;
    fields.get(entry.*first);
    fields.get(entry.*second);
    entries.push_back(entry);
  }
}

/// Writes entries as `read_pairs` reads them.
template <class Entry, class First, class Second>
void put_pairs(field_writer& out, const std::vector<Entry>& entries, First Entry::*first,
               Second Entry::*second) {
  out.array(entries.size() * 2);
  for (const Entry& entry : entries) {
    out.put(entry.*first);
    out.put(entry.*second);
  }
}

void put_table(field_writer& out, const gateway::table_update& news) {
  constexpr std::size_t fields = 7;
  constexpr std::size_t row_fields = 3;
  out.array(fields);
  out.put(news.table);
  out.put(news.version);
  out.put(news.unchanged_since);
  out.put(news.store_time);
  out.put(news.rows_after);
  out.array(news.rows.size() * row_fields);
  for (const gateway::table_row& row : news.rows) {
    out.put(row.key);
    out.put_bytes(row.value);
    out.put(row.removed);
  }
  out.put(news.era);
}

gateway::table_update read_table(const msgpack::object& object) {
  field_reader in(object);
  gateway::table_update news;
  in.get(news.table);
  in.get(news.version);
  in.get(news.unchanged_since);
  in.get(news.store_time);
  in.get(news.rows_after);
  const msgpack::object& rows = in.object();
  check_length(rows);
  for (field_reader list(rows); !list.at_end();) {
    gateway::table_row& row = news.rows.emplace_back();
    list.get(row.key);
    list.get_bytes(row.value);
    list.get(row.removed);
  }
  in.get(news.era);
  return news;
}

}  // namespace

std::string encode_word(const gateway::peer_message& word) {
  constexpr std::size_t fields = 14;
  field_writer out;
  out.array(fields);
  out.put(message_version);
  out.put(word.sender);
  out.put(word.start);
  out.put(word.sequence);
  out.put(word.leaving);
  out.put(word.current);
  out.put(word.configuration);
  put_pairs(out, word.loads, &gateway::peer_load::endpoint, &gateway::peer_load::in_flight);
  out.array(word.unreachable.size());
  for (const std::uint64_t endpoint : word.unreachable) {
    out.put(endpoint);
  }
  put_pairs(out, word.leaving_endpoints, &gateway::leaving_report::endpoint,
            &gateway::leaving_report::started);
  put_pairs(out, word.crashes, &gateway::crash_report::request, &gateway::crash_report::endpoint);
  for (const auto* placements : {&word.placements, &word.shorter_prefixes}) {
    put_pairs(out, *placements, &gateway::prefix_placement::prefix,
              &gateway::prefix_placement::endpoint);
  }
  out.array(word.tables.size());
  for (const gateway::table_update& news : word.tables) {
    put_table(out, news);
  }
  return out.text();
}

std::optional<gateway::peer_message> decode_word(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
    field_reader in(handle.get());
    std::uint32_t version = 0;
    in.get(version);
    if (version != message_version) {
      return std::nullopt;
    }
    gateway::peer_message word;
    in.get(word.sender);
    in.get(word.start);
    in.get(word.sequence);
    in.get(word.leaving);
    in.get(word.current);
    in.get(word.configuration);
    read_pairs(in.object(), word.loads, &gateway::peer_load::endpoint,
               &gateway::peer_load::in_flight);
    const msgpack::object& unreachable = in.object();
    check_length(unreachable);
    for (field_reader list(unreachable); !list.at_end();) {
      list.get(word.unreachable.emplace_back());
    }
    read_pairs(in.object(), word.leaving_endpoints, &gateway::leaving_report::endpoint,
               &gateway::leaving_report::started);
    read_pairs(in.object(), word.crashes, &gateway::crash_report::request,
               &gateway::crash_report::endpoint);
    for (auto* placements : {&word.placements, &word.shorter_prefixes}) {
      read_pairs(in.object(), *placements, &gateway::prefix_placement::prefix,
                 &gateway::prefix_placement::endpoint);
    }
    const msgpack::object& tables = in.object();
    check_length(tables);
    for (field_reader list(tables); !list.at_end();) {
      word.tables.push_back(read_table(list.object()));
    }
    return word;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnuthead::traffic
