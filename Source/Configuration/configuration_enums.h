#pragma once

#include <map>
#include <string>

#include "chestnuthead/configuration.h"

/// Names of the configuration document's enum values, used to parse and to format it.
namespace chestnuthead {

const std::map<std::string, pool_kind>& pool_kind_names();
const std::map<std::string, execution_rule>& execution_rule_names();

/// The name of `value` in `names`; empty if it has none.
template <class Value>
std::string enum_name(const std::map<std::string, Value>& names, Value value) {
  for (const auto& [name, named_value] : names) {
    if (named_value == value) {
      return name;
    }
  }
  return {};
}

}  // namespace chestnuthead
