#include "Router/chat_affinity_cache.h"

namespace chestnuthead::routing {

void store_chat_affinity(chat_affinity_cache& cache, std::uint64_t chat_hash,
                         std::uint64_t agent_hash) {
  const auto found = cache.index.find(chat_hash);
  if (found != cache.index.end()) {
    found->second->agent_hash = agent_hash;
    cache.rows.splice(cache.rows.begin(), cache.rows, found->second);
    return;
  }
  if (cache.rows.size() >= cache.capacity) {
    cache.index.erase(cache.rows.back().chat_hash);
    cache.rows.pop_back();
  }
  cache.rows.push_front({chat_hash, agent_hash});
  cache.index[chat_hash] = cache.rows.begin();
}

std::optional<std::uint64_t> find_chat_affinity(const chat_affinity_cache& cache,
                                                std::uint64_t chat_hash) {
  const auto found = cache.index.find(chat_hash);
  if (found == cache.index.end()) {
    return std::nullopt;
  }
  return found->second->agent_hash;
}

}  // namespace chestnuthead::routing
