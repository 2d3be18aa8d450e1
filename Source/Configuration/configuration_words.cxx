#include "Configuration/configuration_words.h"

namespace chestnuthead {

const std::map<std::string, pool_kind>& pool_kind_words() {
  static const std::map<std::string, pool_kind> words{{"model_engine", pool_kind::model_engine},
                                                      {"plain_service", pool_kind::plain_service}};
  return words;
}

const std::map<std::string, execution_rule>& execution_rule_words() {
  static const std::map<std::string, execution_rule> words{
      {"at_most_once", execution_rule::at_most_once}, {"idempotent", execution_rule::idempotent}};
  return words;
}

}  // namespace chestnuthead
