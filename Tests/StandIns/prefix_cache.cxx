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
    const auto place = this->places.find(hash);
    if (place == this->places.end()) {
      break;
    }
    tokens += place->second->tokens;
  }
  return tokens;
}

void prefix_cache::insert(const std::vector<chat_message>& messages) {
  const std::vector<std::uint64_t> hashes = prefix_hashes(messages);
  // From the longest to the shortest, so that a chat's last messages are
  // forgotten before its first ones.
  for (std::size_t index = hashes.size(); index > 0; --index) {
    const std::uint64_t hash = hashes[index - 1];
    const auto place = this->places.find(hash);
    if (place != this->places.end()) {
      this->entries.splice(this->entries.begin(), this->entries, place->second);
      continue;
    }
    const std::uint32_t tokens = chestnuthead::count_tokens(messages[index - 1]);
    this->entries.push_front({hash, tokens});
    this->places[hash] = this->entries.begin();
    this->held += tokens;
  }
  this->evict();
}

void prefix_cache::clear() {
  this->entries.clear();
  this->places.clear();
  this->held = 0;
}

void prefix_cache::evict() {
  while (this->held > this->capacity && !this->entries.empty()) {
    this->held -= this->entries.back().tokens;
    this->places.erase(this->entries.back().prefix_hash);
    this->entries.pop_back();
  }
}

}  // namespace stand_in
