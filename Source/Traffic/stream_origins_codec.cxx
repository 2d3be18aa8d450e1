#include "Traffic/stream_origins_codec.h"

#include <algorithm>
#include <cstdint>

#include "Net/msgpack_fields.h"

namespace chestnuthead::traffic {

namespace {

/// To be increased when the fields change; rows of another format are ignored.
constexpr std::uint32_t row_format = 1;

/// Limits the declared sizes, as msgpack allocates memory for the declared size of an array
/// before it reads the elements.
const msgpack::unpack_limit row_limits(/* array */ 2 * max_recorded_origins, /* map */ 0,
                                       /* str */ 4'096, /* bin */ 0, /* ext */ 0, /* depth */ 2);

/// An origin whose version is a place in the record's list of versions.
struct indexed_origin {
  std::uint64_t request = 0;
  std::uint32_t version = 0;
};

/// The place of `text` in `list`, to which it is added if it is missing.
std::uint32_t index_of(std::vector<std::string>& list, const std::string& text) {
  const auto place = std::find(list.begin(), list.end(), text);
  const auto index = static_cast<std::uint32_t>(place - list.begin());
  if (place == list.end()) {
    list.push_back(text);
  }
  return index;
}

std::vector<std::string> read_texts(field_reader list) {
  std::vector<std::string> texts;
  while (!list.at_end()) {
    list.get(texts.emplace_back());
  }
  return texts;
}

void write_texts(field_writer& out, const std::vector<std::string>& texts) {
  out.array(texts.size());
  for (const std::string& text : texts) {
    out.put(text);
  }
}

/// Reads the pools of the origins, which follow the fields that earlier builds write and read:
/// a list of names, and for each origin the place of its pool in that list.
void read_pools(field_reader& in, std::vector<gateway::stream_origin>& origins) {
  const std::vector<std::string> pools = read_texts(in.array());
  field_reader places = in.array();
  for (gateway::stream_origin& origin : origins) {
    std::uint32_t place = 0;
    places.get(place);
    origin.pool.value = pools.at(place);
  }
}

/// Reads the format of a row; throws if it is another one.
void check_format(field_reader& in) {
  std::uint32_t format = 0;
  in.get(format);
  if (format != row_format) {
    throw msgpack::type_error();
  }
}

origins_record read_origins(field_reader& in) {
  origins_record record;
  in.get(record.written_at);
  const std::vector<std::string> versions = read_texts(in.array());
  std::vector<indexed_origin> origins;
  read_pairs(in.object(), origins, &indexed_origin::request, &indexed_origin::version);
  for (const indexed_origin& origin : origins) {
    record.origins.push_back({origin.request, versions.at(origin.version), {}});
  }
  if (!in.at_end()) {
    read_pools(in, record.origins);
  }
  return record;
}

/// Decodes a row with `read`; nothing if it is malformed.
template <class Row>
std::optional<Row> decode_row(std::string_view bytes, Row (*read)(field_reader&)) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, row_limits);
    field_reader in(handle.get());
    check_format(in);
    return read(in);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string encode_origins(const origins_record& record) {
  constexpr std::size_t fields = 6;
  std::vector<std::string> versions;
  std::vector<std::string> pools;
  std::vector<indexed_origin> origins;
  std::vector<std::uint32_t> pools_of_origins;
  for (const gateway::stream_origin& origin : record.origins) {
    origins.push_back({origin.request, index_of(versions, origin.version)});
    pools_of_origins.push_back(index_of(pools, origin.pool.value));
  }
  field_writer out;
  out.array(fields);
  out.put(row_format);
  out.put(record.written_at);
  write_texts(out, versions);
  write_pairs(out, origins, &indexed_origin::request, &indexed_origin::version);
  write_texts(out, pools);
  out.array(pools_of_origins.size());
  for (const std::uint32_t place : pools_of_origins) {
    out.put(place);
  }
  return out.text();
}

std::optional<origins_record> decode_origins(std::string_view bytes) {
  return decode_row<origins_record>(bytes, read_origins);
}

std::string encode_pool_version(const pool_version& row) {
  constexpr std::size_t fields = 3;
  field_writer out;
  out.array(fields);
  out.put(row_format);
  out.put(row.pool);
  out.put(row.version);
  return out.text();
}

std::optional<pool_version> decode_pool_version(std::string_view bytes) {
  return decode_row<pool_version>(bytes, [](field_reader& in) {
    pool_version row;
    in.get(row.pool);
    in.get(row.version);
    return row;
  });
}

}  // namespace chestnuthead::traffic
