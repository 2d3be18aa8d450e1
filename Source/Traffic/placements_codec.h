#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Gateway/prefix_holders.h"

/// Encodes the placements of prefixes for the store, where they survive restarts of the
/// gateways.
namespace chestnuthead::traffic {

struct placements_record {
  /// Time of the store's steady clock when the placements were recorded.
  std::chrono::milliseconds written_at{0};
  /// Ordered by latest use, the most recent first.
  std::vector<gateway::prefix_placement> placements;
};

std::string encode_placements(const placements_record& record);

/// Returns nothing if the bytes are not a valid record of this version.
std::optional<placements_record> decode_placements(std::string_view bytes);

}  // namespace chestnuthead::traffic
