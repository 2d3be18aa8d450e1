#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "Load/expected_answer.h"

namespace stand_in {

/// Limited memory of message prefixes, the least recently used one forgotten
/// first. Not safe for several threads.
class prefix_cache {
 public:
  explicit prefix_cache(std::uint64_t token_capacity);

  /// Tokens of the longest held prefix of the messages.
  std::uint32_t find(const std::vector<chestnuthead::chat_message>& messages);

  /// Holds every prefix of the messages.
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
  std::uint64_t held = 0;
  /// Most recently used first.
  std::list<entry> entries;
  std::map<std::uint64_t, std::list<entry>::iterator> places;
};

}  // namespace stand_in
