#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/ids.h"

#include "Gateway/stream_origins.h"

/// Encodes the origins of streams for the store, where they survive restarts of the gateways.
namespace chestnuthead::traffic {

/// Most origins in one record: about 12 KB.
inline constexpr std::size_t max_recorded_origins = 1'000;

struct origins_record {
  /// Time of the store's steady clock when the origins were recorded.
  std::chrono::milliseconds written_at{0};
  std::vector<gateway::stream_origin> origins;
};

std::string encode_origins(const origins_record& record);

/// Returns nothing if the bytes are not a valid record of this format.
std::optional<origins_record> decode_origins(std::string_view bytes);

/// A software version that has served a pool.
struct pool_version {
  pool_id pool;
  std::string version;
};

std::string encode_pool_version(const pool_version& row);

/// Returns nothing if the bytes are not a valid row of this format.
std::optional<pool_version> decode_pool_version(std::string_view bytes);

}  // namespace chestnuthead::traffic
