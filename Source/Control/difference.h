#pragma once

#include <string>
#include <vector>

/// What sets two JSON documents apart.
namespace chestnuthead {

/// One key whose value differs; an absent value is an empty text.
struct difference {
  /// Path such as "pools.chestnut-llm.warm_limit".
  std::string key;
  std::string before;
  std::string after;
};

/// All differences in the order of their keys. Texts that are no JSON object
/// count as empty ones. The top key `operation` is left out: it differs always.
std::vector<difference> compare_documents(const std::string& before, const std::string& after);

/// One line for people, such as "policy.prefix_probes: 3 becomes 5".
std::string describe(const difference& change);

}  // namespace chestnuthead
