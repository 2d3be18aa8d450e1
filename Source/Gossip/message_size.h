#pragma once

#include <cstddef>
#include <vector>

#include "chestnuthead/gossip.h"

/// Size of gossip in its MessagePack encoding, for budgets and metrics. The
/// estimate is an upper bound within a few bytes a field.
namespace chestnuthead {

std::size_t encoded_size(const rumor& news);
std::size_t encoded_size(const load_entry& load);
std::size_t encoded_size(const configuration_change& change);
std::size_t encoded_size(const gossip_message& message);

/// Sizes of the entries of one kind together.
std::size_t encoded_size(const std::vector<rumor>& rumors);
std::size_t encoded_size(const std::vector<load_entry>& loads);
std::size_t encoded_size(const std::vector<configuration_change>& changes);

}  // namespace chestnuthead
