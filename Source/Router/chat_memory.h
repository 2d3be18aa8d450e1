#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

/// Which endpoint served a chat last, as far as this router saw it. Soft
/// state, bounded: the chat that was away longest is forgotten first.
namespace chestnuthead::routing {

/// Chats remembered at most; a row takes about 100 bytes, list and index
/// together, so that the whole stays under 4 MB.
inline constexpr std::size_t chat_memory_rows = 32'768;

struct chat_memory_row {
  std::uint64_t chat_hash = 0;
  std::uint64_t agent_hash = 0;
};

struct chat_memory {
  std::size_t capacity = chat_memory_rows;
  /// The chat that was seen last comes first.
  std::list<chat_memory_row> rows;
  std::unordered_map<std::uint64_t, std::list<chat_memory_row>::iterator> index;
};

/// Notes that the agent has taken a turn of the chat.
void remember_chat(chat_memory& memory, std::uint64_t chat_hash, std::uint64_t agent_hash);

/// Hash of the agent that took the chat's last turn, if it is remembered.
std::optional<std::uint64_t> recall_chat(const chat_memory& memory, std::uint64_t chat_hash);

}  // namespace chestnuthead::routing
