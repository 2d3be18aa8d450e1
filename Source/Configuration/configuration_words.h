#pragma once

#include <map>
#include <string>

#include "chestnuthead/configuration.h"

/// Words of the document's closed lists, for its reader and its writer.
namespace chestnuthead {

const std::map<std::string, pool_kind>& pool_kind_words();
const std::map<std::string, execution_rule>& execution_rule_words();

/// The word that stands for `value` in `words`.
template <class Value>
std::string word_for(const std::map<std::string, Value>& words, Value value) {
  for (const auto& [word, meaning] : words) {
    if (meaning == value) {
      return word;
    }
  }
  return {};
}

}  // namespace chestnuthead
