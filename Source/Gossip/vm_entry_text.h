#pragma once

#include <optional>
#include <string>

#include "chestnuthead/vm_list.h"

namespace chestnuthead {

/// Packs an entry, its node's name left out, as a short JSON array.
std::string pack_vm_entry(const vm_entry& entry);

/// Unpacks what `pack_vm_entry` gave for `node`; empty if it is anything else.
std::optional<vm_entry> unpack_vm_entry(const node_id& node, const std::string& text);

}  // namespace chestnuthead
