#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

/// When a node reads the configuration's row and the VM list, so that the whole
/// fleet's reads stay within a number a second.
namespace chestnuthead {

/// Shares of the fleet's reads: running nodes' reads of the configuration and
/// of the list, and the reads of nodes that have just started.
inline constexpr double configuration_read_share = 0.4;
inline constexpr double list_read_share = 0.2;
inline constexpr double start_read_share = 0.4;

inline constexpr std::chrono::milliseconds shortest_read_interval{1'000};
/// Bytes of the configuration's row that one node reads a second at most.
inline constexpr double row_bytes_per_second = 4'000.0;
/// A node that has just started reads the list within this time.
inline constexpr std::chrono::milliseconds first_list_read_window{1'000};
/// A call without any answer is given up after this time.
inline constexpr std::chrono::milliseconds read_timeout{5'000};
/// Nodes of its failure domain that a node supposes while it knows no list.
inline constexpr std::size_t supposed_domain_size = 250;
/// Nodes of the fleet that a node supposes while it knows no list.
inline constexpr std::size_t supposed_fleet_size = 3'000;

/// What the rates are worked out from.
struct fleet_shape {
  /// Nodes of the fleet and of this node's failure domain, this one included.
  std::size_t nodes = supposed_fleet_size;
  std::size_t domain_nodes = supposed_domain_size;
  std::uint32_t reads_per_second = 1;
  /// Size of the configuration's text.
  std::size_t row_bytes = 0;
};

struct read_schedule {
  bool started = false;
  steady_time next_list_read{};
  /// Empty while a call is under way, and until the list has been read or
  /// asked for in vain.
  std::optional<steady_time> next_configuration_read;
  std::optional<steady_time> list_read_since;
  std::optional<steady_time> configuration_read_since;
  std::uint32_t configuration_failures = 0;
  std::uint32_t list_failures = 0;
  std::uint64_t configuration_reads = 0;
  std::uint64_t list_reads = 0;
  /// A read that was begun after this node's start has succeeded.
  bool confirmed = false;
};

/// Mean time between a running node's reads of the configuration's row.
std::chrono::milliseconds configuration_interval(const fleet_shape& fleet);
/// Mean time between a running node's reads of the VM list.
std::chrono::milliseconds list_interval(const fleet_shape& fleet);

/// Sets the first reads of a node that has just started.
void begin_reads(read_schedule& schedule, random_source& random, steady_time now);

/// True if the list is to be read now; the caller then reads it.
bool list_read_due(read_schedule& schedule, const fleet_shape& fleet, random_source& random,
                   steady_time now);
/// True if the configuration is to be read now; the caller then reads it.
bool configuration_read_due(read_schedule& schedule, const fleet_shape& fleet,
                            random_source& random, steady_time now);

/// The list was read (`success`) or could not be read.
void list_read_done(read_schedule& schedule, const fleet_shape& fleet, bool success,
                    random_source& random, steady_time now);
/// The configuration was read or could not be read.
void configuration_read_done(read_schedule& schedule, const fleet_shape& fleet, bool success,
                             random_source& random, steady_time now);

}  // namespace chestnuthead
