#include "Configuration/configuration_enums.h"

namespace chestnuthead {

const std::map<std::string, pool_kind>& pool_kind_names() {
  static const std::map<std::string, pool_kind> names{{"model_engine", pool_kind::model_engine},
                                                      {"plain_service", pool_kind::plain_service}};
  return names;
}

const std::map<std::string, execution_rule>& execution_rule_names() {
  static const std::map<std::string, execution_rule> names{
      {"at_most_once", execution_rule::at_most_once}, {"idempotent", execution_rule::idempotent}};
  return names;
}

}  // namespace chestnuthead
