#pragma once

#include <compare>
#include <map>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

/// Who sends how much to a pool, and how a short pool's capacity is divided among them.
namespace chestnuthead::overload {

/// Requests that are treated alike while a pool is short of capacity, in the order of urgency.
struct request_group {
  /// Of a customer that sends much more than usual while the others do not.
  bool surging = false;
  /// 0 is the most urgent.
  int priority = 0;

  auto operator<=>(const request_group&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Recent requests, with exponential decay since `at`.
struct request_count {
  double offered = 0.0;
  double served = 0.0;
  /// Requests over a longer time while the pool was not short, with decay since `usual_at` of
  /// `demand::usual_clock`.
  double usual = 0.0;
  steady_time usual_at{};
  steady_time at{};
};

struct demand {
  std::map<request_group, request_count> groups;
  std::map<customer_id, request_count> customers;
  request_count all;
  /// Clock that runs while the pool is not short, and the seconds, with decay, for which usual
  /// traffic was counted.
  steady_time usual_clock{};
  double usual_time = 0.0;
  steady_time updated_at{};
};

/// Counts a request for the pool and returns its group. A customer whose traffic has grown much
/// more than the others' is told apart, so that its surge does not displace their requests.
request_group note_offered(demand& demand, const customer_id& customer, int priority, bool is_short,
                           steady_time now);

/// Counts a request that was sent to an endpoint.
void note_served(demand& demand, const customer_id& customer, const request_group& group,
                 steady_time now);

/// Share of recent requests that were sent to endpoints.
double served_share(const request_count& count);

/// True if the group's or the customer's requests are sent much less often than the best served
/// ones; they then go before all others.
bool is_starved(const demand& demand, const request_group& group);
bool is_starved(const demand& demand, const customer_id& customer);

/// Share of a group's requests that a pool which completes `rate` requests per second can serve,
/// once the more urgent groups are served and none is starved. Gateways of a large fleet complete
/// few requests per second each, so a queue of an eighth of the objective holds one request at
/// most: urgent requests find room only if others have left it free beforehand.
double admission_share(const demand& demand, const request_group& group, double rate,
                       steady_time now);

/// Share of the pool's room that requests of the group leave to more urgent ones, if not all can be
/// served at `rate`. Room appears a few times a second at a small gateway, and an urgent request
/// waits for an eighth of its objective only. Starved groups leave nothing.
double reserve_left(const demand& demand, const request_group& group, double rate, steady_time now);

/// Drops the counts of customers that have sent nothing for long.
void drop_old_counts(demand& demand);

}  // namespace chestnuthead::overload
