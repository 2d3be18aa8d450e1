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

/// Applies the headers of the answer to a request or a health check of the incarnation `asked`.
/// A report that it is leaving is kept, also if the endpoint is not listed any more. A later
/// incarnation that is listed by now is not concerned. Returns true if this is the first such
/// report to this gateway.
bool apply_answer_headers(endpoint_table& table, const incarnation_id& asked,
                          const endpoint_answer& answer, random_source& random, steady_time now);

/// True during a pause that the endpoint has requested from this gateway.
bool is_paused(const endpoint& row, steady_time now);

/// How long reports on removed endpoints are forwarded, as a delayed entry may list them again at
/// the peers too, and most such reports in one message.
inline constexpr std::chrono::seconds removed_report_time{10};
inline constexpr std::size_t max_removed_reports = 64;

/// The endpoints that have reported to this gateway directly that they are leaving.
std::vector<incarnation_id> leaving_reports(const endpoint_table& table, steady_time now);

/// Applies a report that a peer has forwarded, also on an incarnation that is not listed.
void apply_leaving_report(endpoint_table& table, const incarnation_id& report, steady_time now);

}  // namespace chestnuthead::gateway
