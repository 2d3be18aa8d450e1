#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

/// Caches which endpoint served a chat last, as seen by this router. Soft state
/// of bounded size: the least recently used chat is evicted first.
namespace chestnuthead::routing {

/// Chats cached at most. An entry takes about 100 bytes, list and index
/// together, so the whole cache stays under 4 MB.
inline constexpr std::size_t chat_affinity_capacity = 32'768;

struct chat_affinity {
  std::uint64_t chat_hash = 0;
  std::uint64_t agent_hash = 0;
};

struct chat_affinity_cache {
  std::size_t capacity = chat_affinity_capacity;
  /// Most recently used chat first.
  std::list<chat_affinity> rows;
  std::unordered_map<std::uint64_t, std::list<chat_affinity>::iterator> index;
};

/// Records that the agent accepted a request of the chat.
void store_chat_affinity(chat_affinity_cache& cache, std::uint64_t chat_hash,
                         std::uint64_t agent_hash);

/// Hash of the agent that accepted the chat's last request, if it is cached.
std::optional<std::uint64_t> find_chat_affinity(const chat_affinity_cache& cache,
                                                std::uint64_t chat_hash);

}  // namespace chestnuthead::routing
