#pragma once

#include <string>
#include <vector>

/// Comparison of two JSON documents.
namespace chestnuthead {

/// A key whose values differ; an absent value is an empty string.
struct difference {
  /// Path such as "pools.chestnut-llm.warm_limit".
  std::string key;
  std::string before;
  std::string after;
};

/// All differences, ordered by key. A text that is not a JSON object counts as an
/// empty object. The top-level key `operation` is ignored, as it is unique to each
/// change.
std::vector<difference> compare_documents(const std::string& before, const std::string& after);

/// One line of text, such as "policy.prefix_probes: 3 becomes 5".
std::string describe(const difference& change);

}  // namespace chestnuthead
