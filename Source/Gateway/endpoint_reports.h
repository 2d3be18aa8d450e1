#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

#include "Gateway/endpoint_table.h"
#include "Gateway/request.h"

/// State that endpoints report in the headers of their answers: their load, that they are
/// cold or leaving, and that they request a pause.
namespace chestnuthead::gateway {

/// Longest pause that is granted, so that a faulty value does not take an endpoint out of use
/// for long.
inline constexpr std::chrono::minutes longest_pause{5};

/// Applies the headers of an endpoint's answer to a request or a health check. Returns true
/// if this is the endpoint's first report to this gateway that it is leaving.
bool apply_answer_headers(endpoint& row, const endpoint_answer& answer, random_source& random,
                          steady_time now);

/// True during a pause that the endpoint has requested from this gateway.
bool is_paused(const endpoint& row, steady_time now);

/// A report that an endpoint is leaving, as gateways forward it to each other.
struct leaving_report {
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  /// `endpoint_listing::started` of the endpoint.
  std::int64_t started = 0;

  auto operator<=>(const leaving_report&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// How long reports on removed endpoints are forwarded, as a delayed entry may list them again at
/// the peers too, and most such reports in one message.
inline constexpr std::chrono::seconds removed_report_time{10};
inline constexpr std::size_t max_removed_reports = 64;

/// The endpoints that have reported to this gateway directly that they are leaving.
std::vector<leaving_report> leaving_reports(const endpoint_table& table, steady_time now);

/// Applies a report that a peer has forwarded, also to an endpoint that was removed. Reports on
/// another incarnation of the endpoint are ignored.
void apply_leaving_report(endpoint_table& table, const leaving_report& report, steady_time now);

}  // namespace chestnuthead::gateway
