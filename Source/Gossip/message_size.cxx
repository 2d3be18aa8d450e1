#include "Gossip/message_size.h"

#include <cstdint>
#include <string>

namespace chestnuthead {

namespace {

constexpr std::size_t flag_bytes = 1;
constexpr std::size_t array_bytes = 3;

// The thresholds are those of the MessagePack integer formats.
std::size_t size_of(std::uint64_t number) {
  if (number < 0x80) {
    return 1;
  }
  if (number <= UINT8_MAX) {
    return 2;
  }
  if (number <= UINT16_MAX) {
    return 3;
  }
  return number <= UINT32_MAX ? 5 : 9;
}

std::size_t size_of(const std::string& text) {
  const std::size_t length = text.size();
  if (length < 32) {
    return 1 + length;
  }
  if (length <= UINT8_MAX) {
    return 2 + length;
  }
  return (length <= UINT16_MAX ? 3 : 5) + length;
}

std::size_t size_of(std::chrono::milliseconds age) {
  return size_of(static_cast<std::uint64_t>(age.count()));
}

template <class Items>
std::size_t size_of_all(const Items& items) {
  std::size_t bytes = 0;
  for (const auto& item : items) {
    bytes += encoded_size(item);
  }
  return bytes;
}

}  // namespace

std::size_t encoded_size(const rumor& update) {
  return array_bytes + flag_bytes + size_of(update.origin.value) + size_of(update.sequence) +
         size_of(update.subject) + size_of(update.detail) + size_of(update.age);
}

std::size_t encoded_size(const load_entry& load) {
  return array_bytes + size_of(load.endpoint.value) + size_of(std::uint64_t{load.in_flight}) +
         size_of(std::uint64_t{load.limit}) + size_of(load.age);
}

std::size_t encoded_size(const configuration_change& change) {
  return array_bytes + size_of(change.version) + flag_bytes + size_of(change.text) +
         size_of(change.base_version) + size_of(change.checksum);
}

std::size_t encoded_size(const std::vector<rumor>& rumors) {
  return size_of_all(rumors);
}

std::size_t encoded_size(const std::vector<load_entry>& loads) {
  return size_of_all(loads);
}

std::size_t encoded_size(const std::vector<configuration_change>& changes) {
  return size_of_all(changes);
}

std::size_t encoded_size(const gossip_message& message) {
  return 4 * array_bytes + size_of(message.from.value) + size_of(message.configuration_version) +
         2 * flag_bytes + size_of_all(message.rumors) + size_of_all(message.loads) +
         size_of_all(message.changes);
}

}  // namespace chestnuthead
