#include "chestnuthead/configuration.h"

#include <algorithm>
#include <string_view>

namespace chestnuthead {

namespace {

template <class Entities, class Name>
auto find_named(const Entities& entities, const Name& name) -> decltype(entities.data()) {
  const auto found = std::find_if(entities.begin(), entities.end(),
                                  [&name](const auto& entity) { return entity.name == name; });
  return found == entities.end() ? nullptr : &*found;
}

/// True if `path` is `prefix` itself or below it. Only whole path segments match, so
/// "/stock" does not match "/stockpile".
bool is_under(std::string_view path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  if (path.size() == prefix.size() || (!prefix.empty() && prefix.back() == '/')) {
    return true;
  }
  const char next = path[prefix.size()];
  return next == '/' || next == '?';
}

/// True if the endpoint may normalise the path to a different one.
bool has_dot_segments(const std::string& path) {
  return path.find("..") != std::string::npos || path.find("%2e") != std::string::npos ||
         path.find("%2E") != std::string::npos;
}

}  // namespace

const pool_configuration* find_pool(const configuration_document& document, const pool_id& name) {
  return find_named(document.pools, name);
}

const customer_configuration* find_customer(const configuration_document& document,
                                            const customer_id& name) {
  return find_named(document.customers, name);
}

execution_rule rule_for(const pool_configuration& pool, const std::string& method,
                        const std::string& path) {
  if (has_dot_segments(path)) {
    return execution_rule::at_most_once;
  }
  const operation_rule* best = nullptr;
  for (const operation_rule& operation : pool.operations) {
    if (operation.method != method || !is_under(path, operation.path_prefix)) {
      continue;
    }
    const bool longer = best == nullptr || operation.path_prefix.size() > best->path_prefix.size();
    const bool stricter = best != nullptr &&
                          operation.path_prefix.size() == best->path_prefix.size() &&
                          operation.rule == execution_rule::at_most_once;
    if (longer || stricter) {
      best = &operation;
    }
  }
  return best == nullptr ? execution_rule::at_most_once : best->rule;
}

}  // namespace chestnuthead
