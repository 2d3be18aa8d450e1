#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Gateway/prefix_holders.h"

/// Placements of prefixes as bytes that outlast the gateways.
namespace chestnuthead::traffic {

struct placements_record {
  /// The store's steady clock when the placements were recorded.
  std::chrono::milliseconds written_at{0};
  /// The one used last comes first.
  std::vector<gateway::prefix_placement> placements;
};

std::string encode_placements(const placements_record& record);

/// Reads a record; nothing if the bytes are none.
std::optional<placements_record> decode_placements(std::string_view bytes);

}  // namespace chestnuthead::traffic
