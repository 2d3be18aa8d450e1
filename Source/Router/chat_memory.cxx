#include "Router/chat_memory.h"

namespace chestnuthead::routing {

void remember_chat(chat_memory& memory, std::uint64_t chat_hash, std::uint64_t agent_hash) {
  const auto found = memory.index.find(chat_hash);
  if (found != memory.index.end()) {
    found->second->agent_hash = agent_hash;
    memory.rows.splice(memory.rows.begin(), memory.rows, found->second);
    return;
  }
  if (memory.rows.size() >= memory.capacity) {
    memory.index.erase(memory.rows.back().chat_hash);
    memory.rows.pop_back();
  }
  memory.rows.push_front({chat_hash, agent_hash});
  memory.index[chat_hash] = memory.rows.begin();
}

std::optional<std::uint64_t> recall_chat(const chat_memory& memory, std::uint64_t chat_hash) {
  const auto found = memory.index.find(chat_hash);
  if (found == memory.index.end()) {
    return std::nullopt;
  }
  return found->second->agent_hash;
}

}  // namespace chestnuthead::routing
