#include "StandIns/prefix_cache.h"

namespace stand_in {

namespace {

using chestnuthead::chat_message;

std::vector<std::uint64_t> prefix_hashes(const std::vector<chat_message>& messages) {
  std::vector<std::uint64_t> hashes;
  std::vector<chat_message> prefix;
  for (const chat_message& message : messages) {
    prefix.push_back(message);
    hashes.push_back(chestnuthead::hash_messages(prefix));
  }
  return hashes;
}

}  // namespace

prefix_cache::prefix_cache(std::uint64_t token_capacity) : capacity(token_capacity) {}

std::uint32_t prefix_cache::find(const std::vector<chat_message>& messages) {
  std::uint32_t tokens = 0;
  for (const std::uint64_t hash : prefix_hashes(messages)) {
    const auto found = this->entry_by_hash.find(hash);
    if (found == this->entry_by_hash.end()) {
      break;
    }
    tokens += found->second->tokens;
  }
  return tokens;
}

void prefix_cache::insert(const std::vector<chat_message>& messages) {
  const std::vector<std::uint64_t> hashes = prefix_hashes(messages);
  // From the longest to the shortest prefix, so that the last messages of a chat are evicted
  // before its first ones.
  for (std::size_t index = hashes.size(); index > 0; --index) {
    const std::uint64_t hash = hashes[index - 1];
    const auto found = this->entry_by_hash.find(hash);
    if (found != this->entry_by_hash.end()) {
      this->entries.splice(this->entries.begin(), this->entries, found->second);
      continue;
    }
    const std::uint32_t tokens = chestnuthead::count_tokens(messages[index - 1]);
    this->entries.push_front({hash, tokens});
    this->entry_by_hash[hash] = this->entries.begin();
    this->cached_tokens += tokens;
  }
  this->evict();
}

void prefix_cache::clear() {
  this->entries.clear();
  this->entry_by_hash.clear();
  this->cached_tokens = 0;
}

void prefix_cache::evict() {
  while (this->cached_tokens > this->capacity && !this->entries.empty()) {
    this->cached_tokens -= this->entries.back().tokens;
    this->entry_by_hash.erase(this->entries.back().prefix_hash);
    this->entries.pop_back();
  }
}

}  // namespace stand_in
