#pragma once

#include <string>
#include <variant>

#include "chestnuthead/configuration.h"

#include "Control/fleet_access.h"

namespace chestnuthead {

/// Reads a document from a file that holds either answers to the questionnaire
/// or a configuration; told apart by their keys. Prints faults.
std::variant<configuration_document, command_failure> read_document_file(const std::string& path);

}  // namespace chestnuthead
