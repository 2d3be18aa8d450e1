#include "chestnuthead/configuration.h"

#include <algorithm>
#include <string_view>

namespace chestnuthead {

namespace {

template <class Entities, class Name>
auto find_named(const Entities& entities, const Name& name) -> decltype(entities.data()) {
  const auto place = std::find_if(entities.begin(), entities.end(),
                                  [&name](const auto& entity) { return entity.name == name; });
  return place == entities.end() ? nullptr : &*place;
}

/// True if `path` is `prefix` itself or lies below it, so that "/stock" does
/// not name "/stockpile".
bool lies_below(std::string_view path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  if (path.size() == prefix.size() || (!prefix.empty() && prefix.back() == '/')) {
    return true;
  }
  const char next = path[prefix.size()];
  return next == '/' || next == '?';
}

/// True if the endpoint may read the path as another one than it seems.
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
    if (operation.method != method || !lies_below(path, operation.path_prefix)) {
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
