#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/peer_table.h"
#include "Gateway/request.h"

/// Detects requests that crash every endpoint that executes them.
namespace chestnuthead::gateway {

/// Endpoints that a request may crash before all gateways refuse it. Requests that run
/// beside the faulty one become suspects too, and may see two crashes by chance while
/// endpoints flap.
inline constexpr std::size_t crashes_allowed = 3;
/// How long a crash counts against a request.
inline constexpr std::chrono::seconds suspicion_lifetime{60};
/// How long a crash is repeated in messages to the peers.
inline constexpr std::chrono::seconds suspicion_report_time{5};
/// Maximum number of suspect requests that are tracked.
inline constexpr std::size_t max_suspects = 4'096;

struct crash_suspect {
  /// Endpoints whose connection broke while they executed the request, and when.
  std::map<std::uint64_t, steady_time> endpoints;
};

struct crash_suspects {
  std::map<std::uint64_t, crash_suspect> rows;
};

/// Hash that a request shares with its retries: of method, host, path, key, prompt and body.
std::uint64_t fingerprint_of(const caller_request& request, std::string_view body);

/// Records that an endpoint crashed while it executed a request.
void record_crash(crash_suspects& table, const crash_report& report, steady_time now);

/// True if the request has crashed `crashes_allowed` endpoints.
bool is_refused(const crash_suspects& table, std::uint64_t fingerprint, steady_time now);

/// Recent crashes that are reported to the peers.
std::vector<crash_report> recent_crashes(const crash_suspects& table, steady_time now);

/// Discards expired crashes.
void drop_expired(crash_suspects& table, steady_time now);

}  // namespace chestnuthead::gateway
