#include "Traffic/placements_codec.h"

#include <cstdint>

#include "Net/msgpack_fields.h"

namespace chestnuthead::traffic {

namespace {

/// To be increased when the fields change; records of another version are ignored.
constexpr std::uint32_t record_version = 1;
/// Most numbers in the list, two for each placement.
constexpr std::size_t numbers_limit = 8'192;

/// Limits the declared sizes, as msgpack allocates memory for the declared size of an array
/// before it reads the elements.
const msgpack::unpack_limit record_limits(numbers_limit, /* map */ 0, /* str */ 0, /* bin */ 0,
                                          /* ext */ 0,
                                          /* depth */ 2);

}  // namespace

std::string encode_placements(const placements_record& record) {
  constexpr std::size_t fields = 3;
  field_writer out;
  out.array(fields);
  out.put(record_version);
  out.put(record.written_at);
  out.array(record.placements.size() * 2);
  for (const gateway::prefix_placement& placement : record.placements) {
    out.put(placement.prefix);
    out.put(placement.endpoint);
  }
  return out.text();
}

std::optional<placements_record> decode_placements(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, record_limits);
    field_reader in(handle.get());
    std::uint32_t version = 0;
    in.get(version);
    if (version != record_version) {
      return std::nullopt;
    }
    placements_record record;
    in.get(record.written_at);
    for (field_reader list(in.object()); !list.at_end();) {
      gateway::prefix_placement& placement = record.placements.emplace_back();
      list.get(placement.prefix);
      list.get(placement.endpoint);
    }
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnuthead::traffic
