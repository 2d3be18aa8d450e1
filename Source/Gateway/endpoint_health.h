#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Gateway/endpoint_table.h"

/// Passive health checking with outlier ejection: endpoints are ejected based on the results
/// of their requests. Answers to health checks may be wrong, so they only decide when an
/// endpoint that was unreachable or is suspected receives requests again.
namespace chestnuthead::gateway {

/// How one request ended at its endpoint.
enum class attempt_result : std::uint8_t {
  /// A complete answer that the endpoint signed.
  answered,
  /// An error answer from the endpoint.
  error_answer,
  /// No connection could be opened.
  unreachable,
  /// The connection broke, or the bytes received were not a valid answer.
  broken,
  /// No answer within the time after which a plain call is sent to another endpoint.
  slow,
  /// No answer for so long that the endpoint is assumed to be down.
  silent,
};

std::string_view name_of(attempt_result result);

/// Shortest time without an answer after which an endpoint is assumed to be down rather
/// than slow.
inline constexpr std::chrono::milliseconds min_silence{1'000};

/// Duration of an endpoint's first ejection; it doubles with each consecutive one.
inline constexpr std::chrono::milliseconds min_ejection_time{500};
/// Upper bound of the duration of an ejection.
inline constexpr std::chrono::milliseconds max_ejection_time{8'000};

/// Records the result of one request. `peers_failing` is the share of failed requests over
/// the endpoint's pool: an endpoint that fails no more than the others is not ejected.
void note_result(endpoint& row, attempt_result result, double peers_failing, steady_time now);

/// How long after a good answer loss reports of other gateways are ignored: they have
/// lost their own network path to the endpoint.
inline constexpr std::chrono::milliseconds loss_report_immunity{1'500};

/// Records that another gateway can't reach the endpoint. The endpoint receives no more
/// requests until it has answered a health check, unless it has just answered this gateway.
void note_loss_report(endpoint& row, steady_time now);

/// Records that a request which can't be retried has waited long for its endpoint. The
/// endpoint receives no more requests until it has answered a health check, unless a large
/// share of its pool is already ejected: then long waits are a sign of load.
void note_long_wait(endpoint& row, const std::vector<endpoint*>& pool, steady_time now);

/// Records that the endpoint has answered a health check.
void note_healthy(endpoint& row, steady_time now);

/// Records that a health check has failed or timed out.
void note_unhealthy(endpoint& row, steady_time now);

/// True if the endpoint is due for a health check.
bool check_due(const endpoint& row, steady_time now);

/// True while the endpoint receives no requests because it was ejected or suspected.
bool is_ejected(const endpoint& row, steady_time now);

/// True if the endpoint has sent nothing for `min_silence` while a quarter of the endpoints that
/// have requests in flight have answered. In an overloaded pool, only such an endpoint is assumed
/// to be down rather than slow.
bool is_quieter_than_pool(const endpoint& row, const std::vector<endpoint*>& pool, steady_time now);

/// Share of failed requests over the pool's recent ones.
double failing_share(const std::vector<endpoint*>& pool);

}  // namespace chestnuthead::gateway
