#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

/// Schedule of a node's reads of the configuration row and of the VM list, which
/// keeps the reads of the whole fleet within a configured rate.
namespace chestnuthead {

/// Fractions of the fleet's read rate for running nodes' reads of the
/// configuration, for their reads of the VM list, and for nodes that have just
/// started.
inline constexpr double configuration_read_share = 0.4;
inline constexpr double list_read_share = 0.2;
inline constexpr double start_read_share = 0.4;

inline constexpr std::chrono::milliseconds shortest_read_interval{1'000};
/// Maximum rate at which one node reads the configuration row, in bytes.
inline constexpr double row_bytes_per_second = 4'000.0;
/// A node that has just started first reads the list within this time.
inline constexpr std::chrono::milliseconds first_list_read_window{1'000};
/// A read without a reply is treated as failed after this time.
inline constexpr std::chrono::milliseconds read_timeout{5'000};
/// Assumed number of nodes in this node's failure domain before the first VM list.
inline constexpr std::size_t assumed_domain_size = 250;
/// Assumed number of nodes in the fleet before the first VM list.
inline constexpr std::size_t assumed_fleet_size = 3'000;

/// The fleet's size and the read rate, from which the read intervals are computed.
struct fleet_shape {
  /// Nodes in the fleet and in this node's failure domain, this node included.
  std::size_t nodes = assumed_fleet_size;
  std::size_t domain_nodes = assumed_domain_size;
  std::uint32_t reads_per_second = 1;
  /// Size of the configuration row.
  std::size_t row_bytes = 0;
};

struct read_schedule {
  bool started = false;
  steady_time next_list_read{};
  /// Empty while a read is outstanding, and until the first read of the list has
  /// succeeded or failed.
  std::optional<steady_time> next_configuration_read;
  std::optional<steady_time> list_read_since;
  std::optional<steady_time> configuration_read_since;
  std::uint32_t configuration_failures = 0;
  std::uint32_t list_failures = 0;
  std::uint64_t configuration_reads = 0;
  std::uint64_t list_reads = 0;
  /// A read of the configuration that began after this node started has succeeded.
  bool confirmed = false;
};

/// Mean interval between a running node's reads of the configuration row.
std::chrono::milliseconds configuration_interval(const fleet_shape& fleet);
/// Mean interval between a running node's reads of the VM list.
std::chrono::milliseconds list_interval(const fleet_shape& fleet);

/// Schedules the first reads of a node that has just started.
void begin_reads(read_schedule& schedule, random_source& random, steady_time now);

/// True if the list is due; the caller must then read it.
bool list_read_due(read_schedule& schedule, const fleet_shape& fleet, random_source& random,
                   steady_time now);
/// True if the configuration is due; the caller must then read it.
bool configuration_read_due(read_schedule& schedule, const fleet_shape& fleet,
                            random_source& random, steady_time now);

/// Records the result of a read of the list and schedules the next one.
void list_read_done(read_schedule& schedule, const fleet_shape& fleet, bool success,
                    random_source& random, steady_time now);
/// Records the result of a read of the configuration and schedules the next one.
void configuration_read_done(read_schedule& schedule, const fleet_shape& fleet, bool success,
                             random_source& random, steady_time now);

}  // namespace chestnuthead
