#pragma once

#include <atomic>
#include <cstdint>

namespace chestnuthead {

/// HTTP/2 request paths between nodes.
inline constexpr const char* attempt_path = "/attempt";
inline constexpr const char* probe_path = "/probe";
inline constexpr const char* gossip_path = "/gossip";

/// Byte counters of the traffic with peers, by kind. Probes and gossip count
/// the size of their messages; `link` counts all bytes on the connections.
struct peer_traffic {
  std::atomic<std::uint64_t> probe_sent{0};
  std::atomic<std::uint64_t> probe_received{0};
  std::atomic<std::uint64_t> gossip_sent{0};
  std::atomic<std::uint64_t> gossip_received{0};
  std::atomic<std::uint64_t> link_sent{0};
  std::atomic<std::uint64_t> link_received{0};
};

}  // namespace chestnuthead
