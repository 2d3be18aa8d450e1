#pragma once

#include <cstddef>
#include <vector>

#include "chestnuthead/gossip.h"

/// Estimated size of gossip messages in MessagePack encoding, for bandwidth limits
/// and metrics. The estimate is an upper bound, off by a few bytes per field.
namespace chestnuthead {

std::size_t encoded_size(const rumor& update);
std::size_t encoded_size(const load_entry& load);
std::size_t encoded_size(const configuration_change& change);
std::size_t encoded_size(const gossip_message& message);

/// Total size of the entries.
std::size_t encoded_size(const std::vector<rumor>& rumors);
std::size_t encoded_size(const std::vector<load_entry>& loads);
std::size_t encoded_size(const std::vector<configuration_change>& changes);

}  // namespace chestnuthead
