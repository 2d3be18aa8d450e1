#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "chestnuthead/clock.h"

/// How much a gateway may send to a pool: its learnt concurrency limit, and the load up to which
/// one endpoint of the pool is used. Gateways exchange no messages about these numbers.
namespace chestnuthead::overload {

/// How a request fared at an endpoint, as far as it shows the capacity of the pool.
enum class capacity_sign : std::uint8_t {
  /// The first event or the plain answer came well within the objective.
  in_time,
  /// It came after `late_share` of the objective or later.
  late,
  /// The endpoint rejected the request because it was full.
  rejected,
};

/// Share of the latency objective from which on an answer counts as late.
inline constexpr double late_share = 0.8;

struct capacity_result {
  steady_time at{};
  /// `gateway::endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  bool is_good = false;
};

struct pool_capacity {
  /// Requests that this gateway may have in flight; unlimited if not set.
  std::optional<double> limit;
  /// Load of an endpoint up to which it is used, as a multiple of its slots.
  double ratio = 1.0;
  std::uint32_t in_flight = 0;
  /// Recent results, oldest first.
  std::deque<capacity_result> results;
  /// Average time that a request is in flight.
  std::chrono::duration<double> answer_time{0.0};
  /// Requests that have ended, with exponential decay since `ended_at`, and the time in seconds
  /// over which they were counted, with the same decay.
  double ended = 0.0;
  double counted_for = 0.0;
  steady_time ended_at{};
  /// Average number of prompt and answer tokens of a request.
  double tokens_per_request = 0.0;
  /// Requests that may be in flight until `start_limit_until`.
  double start_limit = 0.0;
  steady_time start_limit_until{};
  /// Share of the endpoints' load bounds that was free when last looked at.
  double idle_share = 0.0;
  /// This gateway's part of the requests in flight if all gateways had equal parts.
  double even_load = 0.0;
  steady_time reduced_at{};
  steady_time limit_reached_at{};
  steady_time bound_reached_at{};
  steady_time grown_at{};
  /// The pool counts as short of capacity until this time.
  steady_time short_until{};
};

/// Initial `pool_capacity::ratio`. An engine that holds more requests than it has slots answers
/// late at once (620 ms with 78 requests on 64 slots, objective 400 ms), so the first requests of
/// a surge must be bounded before any answer has come. Requests of plain services are short: one
/// that waits for another to end is still in time.
double initial_ratio(bool is_engine);

/// The room in the endpoints of a pool as one gateway knows it.
struct pool_room {
  /// Requests that the endpoints can take before they reach their load bounds.
  double room = 0.0;
  /// Requests in flight of this gateway and of all gateways.
  double own = 0.0;
  double load = 0.0;
  std::uint32_t gateways = 1;
};

/// Sets how many more requests may be in flight until the peers' loads are next known. In a surge
/// all gateways see the same free room at the same time; each takes about its share of it.
void renew_start_limit(pool_capacity& capacity, const pool_room& room,
                       std::chrono::milliseconds interval, steady_time now);

/// True if a request may be sent within that number; `reserve` as in `is_below_limit`.
bool is_below_start_limit(const pool_capacity& capacity, double reserve);

/// Counts a request that is sent to an endpoint of the pool.
void note_start(pool_capacity& capacity, std::uint32_t tokens);

/// Counts the end of a request at its endpoint, whatever its result. Answers the question at what
/// rate room for waiting requests appears in an overloaded pool.
void note_end(pool_capacity& capacity, std::chrono::duration<double> taken, steady_time now);

/// Applies what the result of a request shows. In a surge, late answers and rejections on a
/// quarter of the used endpoints reduce the limit and the ratio; one slow endpoint does not.
void note_sign(pool_capacity& capacity, std::uint64_t endpoint, capacity_sign sign,
               steady_time now);

/// Why a request can't be sent now.
enum class no_room : std::uint8_t {
  /// This gateway's limit is reached.
  limit_reached,
  /// All endpoints have reached their load bounds.
  endpoints_full,
  /// This gateway has taken its share of the room that it knows of.
  share_taken,
};

/// Records that a request found no room. Only limits that are reached grow. The first time that
/// the endpoints are full sets the limit.
void note_no_room(pool_capacity& capacity, no_room why, steady_time now);

/// Removes a limit that has not been reached for some seconds, after a surge.
void drop_unused_limit(pool_capacity& capacity, steady_time now);

/// True if this gateway may send one more request to the pool that leaves the share `reserve` of
/// the limit to more urgent ones.
bool is_below_limit(const pool_capacity& capacity, double reserve);

/// `pool_capacity::ratio` for a request, with the same reserve.
double ratio_for(const pool_capacity& capacity, double reserve);

/// True if the endpoints have nearly reached their load bounds. Otherwise a surge has just ended,
/// and no request needs to be refused for the sake of others.
bool is_filled(const pool_capacity& capacity);

/// True while the pool has too little capacity for the requests that arrive. Resends would add to
/// the load, and slow answers and rejections say nothing about the health of an endpoint.
bool is_short(const pool_capacity& capacity, steady_time now);

/// Requests of this gateway that end per second.
double completion_rate(const pool_capacity& capacity, steady_time now);

/// Requests per second that this gateway can expect to send while the pool is short: the requests
/// in flight end within an answer's time. At the start of a surge few have ended yet.
double expected_rate(const pool_capacity& capacity);

/// A report of an endpoint about the speed of its VM.
struct vm_report {
  /// How long work takes, where 1 means as usual; 0 if never reported.
  double slowdown = 0.0;
  steady_time at{};
};

/// How long work takes on the VM as far as the latest report still tells. Reports change many
/// times a second, so an older one counts for less.
double slowdown_of(const vm_report& report, steady_time now);

/// Load up to which an endpoint is used, at least one request. A slow VM in an otherwise healthy
/// pool gets fewer requests.
double load_bound(double ratio, std::uint32_t slots, double slowdown);

/// Tokens of the requests at an endpoint.
struct token_load {
  /// Of this gateway's requests.
  double own = 0.0;
  /// Number of requests of the other gateways.
  double peers_in_flight = 0.0;
};

/// True if a request fits into an engine's memory; an engine that holds more tokens crashes. An
/// idle engine takes any request.
bool fits_memory(const pool_capacity& capacity, const token_load& load, std::uint32_t tokens,
                 std::uint64_t memory_tokens);

}  // namespace chestnuthead::overload
