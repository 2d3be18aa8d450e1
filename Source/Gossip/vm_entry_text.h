#pragma once

#include <optional>
#include <string>

#include "chestnuthead/vm_list.h"

namespace chestnuthead {

/// Encodes an entry without its node name as a JSON array.
std::string pack_vm_entry(const vm_entry& entry);

/// Decodes the result of `pack_vm_entry` for `node`; empty if the text is
/// malformed.
std::optional<vm_entry> unpack_vm_entry(const node_id& node, const std::string& text);

}  // namespace chestnuthead
