#include "Traffic/peer_codec.h"

#include <cstdint>
#include <vector>

#include "Net/msgpack_fields.h"

namespace chestnuthead::traffic {

namespace {

/// Changes when the fields do; gateways ignore messages of another version.
constexpr std::uint32_t message_version = 3;
/// Entries of one list that are taken at most.
constexpr std::size_t list_limit = 4'096;

/// Limits against messages that claim more than they hold: memory is taken for
/// what an array claims before its elements are read.
const msgpack::unpack_limit limits(list_limit, /* map */ 0, /* str */ 4'096, /* bin */ 0,
                                   /* ext */ 0, /* depth */ 3);

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

}  // namespace

std::string encode_word(const gateway::peer_word& word) {
  constexpr std::size_t fields = 10;
  field_writer out;
  out.array(fields);
  out.put(message_version);
  out.put(word.sender);
  out.put(word.start);
  out.put(word.sequence);
  out.put(word.leaving);
  out.put(word.current);
  out.array(word.loads.size() * 2);
  for (const gateway::peer_load& load : word.loads) {
    out.put(load.endpoint);
    out.put(load.in_flight);
  }
  out.array(word.unreachable.size());
  for (const std::uint64_t endpoint : word.unreachable) {
    out.put(endpoint);
  }
  out.array(word.crashes.size() * 2);
  for (const gateway::crash_word& crash : word.crashes) {
    out.put(crash.request);
    out.put(crash.endpoint);
  }
  out.array(word.placements.size() * 2);
  for (const gateway::prefix_word& placement : word.placements) {
    out.put(placement.prefix);
    out.put(placement.endpoint);
  }
  return out.text();
}

std::optional<gateway::peer_word> decode_word(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
    field_reader in(handle.get());
    std::uint32_t version = 0;
    in.get(version);
    if (version != message_version) {
      return std::nullopt;
    }
    gateway::peer_word word;
    in.get(word.sender);
    in.get(word.start);
    in.get(word.sequence);
    in.get(word.leaving);
    in.get(word.current);
    read_pairs(in.object(), word.loads, &gateway::peer_load::endpoint,
               &gateway::peer_load::in_flight);
    const msgpack::object& unreachable = in.object();
    check_length(unreachable);
    for (field_reader list(unreachable); !list.at_end();) {
      list.get(word.unreachable.emplace_back());
    }
    read_pairs(in.object(), word.crashes, &gateway::crash_word::request,
               &gateway::crash_word::endpoint);
    read_pairs(in.object(), word.placements, &gateway::prefix_word::prefix,
               &gateway::prefix_word::endpoint);
    return word;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnuthead::traffic
