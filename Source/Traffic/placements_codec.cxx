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
  write_pairs(out, record.placements, &gateway::prefix_placement::prefix,
              &gateway::prefix_placement::endpoint);
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
    read_pairs(in.object(), record.placements, &gateway::prefix_placement::prefix,
               &gateway::prefix_placement::endpoint);
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnuthead::traffic
