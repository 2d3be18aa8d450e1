#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "Load/expected_answer.h"

namespace stand_in {

/// An LRU cache of message prefixes, limited by their tokens. Not thread-safe.
class prefix_cache {
 public:
  explicit prefix_cache(std::uint64_t token_capacity);

  /// Number of tokens in the longest cached prefix of the messages.
  std::uint32_t find(const std::vector<chestnuthead::chat_message>& messages);

  /// Inserts all prefixes of the messages, then evicts down to the capacity.
  void insert(const std::vector<chestnuthead::chat_message>& messages);

  void clear();

 private:
  struct entry {
    std::uint64_t prefix_hash = 0;
    /// Tokens of the prefix's last message alone.
    std::uint32_t tokens = 0;
  };

  void evict();

  std::uint64_t capacity = 0;
  std::uint64_t cached_tokens = 0;
  /// Most recently used first.
  std::list<entry> entries;
  std::map<std::uint64_t, std::list<entry>::iterator> entry_by_hash;
};

}  // namespace stand_in
