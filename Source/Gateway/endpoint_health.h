#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Gateway/endpoint_table.h"

/// Judges endpoints by the outcomes of their requests. Health answers may be
/// false, so they only decide when an unreachable endpoint is tried again.
namespace chestnuthead::gateway {

/// How one request ended at its endpoint.
enum class attempt_result : std::uint8_t {
  /// A whole answer that the endpoint vouched for.
  answered,
  /// An error answer of the endpoint's own.
  error_answer,
  /// No connection could be opened.
  unreachable,
  /// The connection broke or what came was not an answer.
  broken,
  /// No answer within the time after which a plain call is sent elsewhere.
  slow,
  /// No answer for so long that the endpoint is taken for lost.
  silent,
};

/// The result in lower case with underscores.
std::string_view name_of(attempt_result result);

/// Shortest silence that speaks of an endpoint that is lost rather than slow.
inline constexpr std::chrono::milliseconds shortest_silence{1'000};

/// First time that a failing endpoint is set aside; doubles each time.
inline constexpr std::chrono::milliseconds shortest_set_aside{500};
/// Longest time that an endpoint is set aside before it is tried again.
inline constexpr std::chrono::milliseconds longest_set_aside{8'000};

/// Takes in the result of one request. `peers_failing` is the share of failed
/// requests over the endpoint's pool: one that fails like all others is kept.
void note_result(endpoint& row, attempt_result result, double peers_failing, steady_time now);

/// How long after a good answer the doubts of other gateways don't count: what
/// they lost is their own way to the endpoint.
inline constexpr std::chrono::milliseconds vouched_for{1'500};

/// Another gateway can't reach the endpoint: it gets no more requests until it
/// has answered a health check, unless it has just answered this gateway.
void note_doubt(endpoint& row, steady_time now);

/// A request that can't be repeated has waited long for its endpoint. The
/// endpoint gets no more requests until it has answered a health check, unless
/// too much of its pool is set aside: then waiting is a sign of load.
void note_long_wait(endpoint& row, const std::vector<endpoint*>& pool, steady_time now);

/// The endpoint has answered a health check.
void note_healthy(endpoint& row, steady_time now);

/// A health check has failed or was not answered.
void note_unhealthy(endpoint& row, steady_time now);

/// True if the endpoint is due for a health check.
bool check_due(const endpoint& row, steady_time now);

/// True while the endpoint gets no requests because of its results.
bool is_set_aside(const endpoint& row, steady_time now);

/// Share of failed requests over the pool's recent ones.
double failing_share(const std::vector<endpoint*>& pool);

}  // namespace chestnuthead::gateway
