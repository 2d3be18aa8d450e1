#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/attempt_rules.h"
#include "Gateway/service_map.h"

/// Hedged requests: a request whose endpoint is slow compared with what its kind usually takes is
/// also sent to a second endpoint, and the first usable answer is passed on.
namespace chestnuthead::gateway {

/// Requests of one kind take similar times: those of a route, by the pool that they are sent to.
using request_kind = std::pair<std::string, pool_id>;

/// Number of buckets of a `wait_distribution`. They cover 1 ms to 65 s.
inline constexpr std::size_t wait_buckets = 64;

/// Distribution of the time to the first event or the answer, with buckets whose bounds grow by a
/// constant factor. The weights are halved at `max_wait_weight`, so that old samples fade.
struct wait_distribution {
  std::array<float, wait_buckets> weights{};
  float total = 0.0F;
  /// When the latest sample was added.
  steady_time latest{};
};

/// Number of recent samples from which a quantile is derived, at most. A 0.95 quantile rests on
/// 6 to 12 slower samples, and follows a shift to longer times within as many.
inline constexpr float max_wait_weight = 256.0F;
/// A quantile of fewer samples is too inaccurate: the 0.95 quantile of 20 is their maximum.
inline constexpr float min_wait_weight = 20.0F;

/// The shortest wait before a hedged request. Requests are checked every 25 ms; a shorter wait
/// would cost an execution to gain less than that.
inline constexpr std::chrono::milliseconds min_hedge_wait{25};

/// Most tokens that a bucket holds: the number of hedged requests to a pool that may be sent at
/// once, e.g. while one endpoint is stopped for a second.
inline constexpr double max_hedge_tokens = 5.0;

/// Kinds for which distributions are kept. One takes about 350 bytes, so that all of them take
/// about 0.7 MB of the 160 MB of a small VM.
inline constexpr std::size_t max_kinds = 2'048;
/// The distribution of a kind without a sample for this long is dropped if there is no room for
/// a new one.
inline constexpr std::chrono::minutes kind_lifetime{10};

/// What a gateway needs to know for hedged requests.
struct extra_tries {
  /// Hedged requests as a share of the requests that may be repeated; 0 disables them.
  double share = 0.0;
  std::map<request_kind, wait_distribution> waits;
  /// Tokens of each pool. A request that may be repeated adds `share` tokens, a hedged request
  /// takes one. Time alone adds none, so that none are saved up during a pause.
  std::map<pool_id, double> tokens;
  /// When expired kinds were last searched for.
  steady_time searched_at{};
};

/// Adds a sample.
void add_wait(wait_distribution& waits, std::chrono::duration<double> wait, steady_time now);

/// Time that this share of the samples does not exceed; nothing if there are too few samples.
std::optional<std::chrono::duration<double>> wait_quantile(const wait_distribution& waits,
                                                           double share);

/// Records how long a request waited for the first event or the answer of the endpoint that it
/// was sent to first. If that attempt was cancelled for being slow, the time until then counts:
/// without it the distribution would lack its slowest part, and hedged requests would become due
/// earlier and earlier. Nothing is recorded while hedged requests are disabled.
void record_wait(extra_tries& tries, const request_kind& kind, std::chrono::duration<double> wait,
                 steady_time now);

/// The quantile of the wait after which a hedged request is due. It follows from the share: an
/// earlier time would use up the tokens for requests that are a little slow, and leave none for
/// those that are very slow.
double hedge_quantile(double share);

/// Times of a request that waits for its first answer.
struct hedge_times {
  steady_time arrived_at{};
  /// When it was sent to its present endpoint.
  steady_time sent_at{};
  /// The route's; zero if it has none.
  std::chrono::milliseconds latency_objective{0};
};

/// When a hedged request is due: after the quantile of the kind's waits, never later than when
/// half of the latency objective is left, but not before `min_hedge_wait`. Nothing if neither is
/// known.
std::optional<steady_time> hedge_due(const extra_tries& tries, const request_kind& kind,
                                     const hedge_times& times);

/// Why a request is not sent to a second endpoint at the same time.
enum class hedge_obstacle : std::uint8_t {
  none,
  /// Hedged requests are switched off.
  switched_off,
  /// It may run at most once.
  not_repeatable,
  /// A part of the answer was forwarded.
  answer_begun,
  /// It continues a stream that began earlier.
  resumption,
  /// Its route allows no further execution.
  executions_used,
  /// It was sent as often as its route allows.
  sends_used,
  /// The gateway is stopping.
  stopping,
  /// The pool is short of capacity.
  pool_short,
  /// Half of the pool's resend budget is used up; the rest is for requests that failed.
  budget_low,
  /// The share of hedged requests is used up.
  share_used,
  /// No other endpoint is warm, within its load bound and reachable. `obstacle_to_hedge` does not
  /// return it: the caller finds out when it looks for an endpoint.
  no_endpoint,
};

std::string_view name_of(hedge_obstacle obstacle);

/// A request for which a hedged request is due.
struct hedge_candidate {
  const route& taken_route;
  const pool_id& pool;
  const attempt_history& history;
  /// It continues a stream that began as an earlier request.
  bool is_resumption = false;
  /// The gateway has begun a planned stop.
  bool stopping = false;
  /// The pool is short of capacity: a second attempt would take the place of another request.
  bool pool_short = false;
};

/// The retry budget of the candidate's pool.
struct hedge_budget {
  const resend_budget& budget;
  const resend_terms& terms;
  std::uint32_t gateways = 1;
};

/// True if requests of the route may ever be hedged.
bool may_be_hedged(const route& route);

/// Adds tokens for a request to the pool. Call it once for each request of a route that
/// `may_be_hedged`.
void count_repeatable(extra_tries& tries, const pool_id& pool);

/// The first obstacle to a hedged request, apart from whether there is an endpoint for it.
hedge_obstacle obstacle_to_hedge(const extra_tries& tries, const hedge_candidate& candidate,
                                 const hedge_budget& resends, steady_time now);

/// Takes the token of a hedged request that is sent now.
void count_hedge(extra_tries& tries, const pool_id& pool);

/// Returns the token of a hedged request of which no byte was sent.
void return_hedge(extra_tries& tries, const pool_id& pool);

}  // namespace chestnuthead::gateway
