#pragma once

#include <string>
#include <variant>

#include "chestnuthead/configuration.h"

#include "Control/fleet_access.h"

namespace chestnuthead {

/// Reads a configuration from a file, or generates it if the file holds answers to the
/// questionnaire; the keys distinguish the two formats. Prints faults.
std::variant<configuration_document, command_failure> read_document_file(const std::string& path);

}  // namespace chestnuthead
