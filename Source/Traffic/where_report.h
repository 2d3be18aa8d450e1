#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/ids.h"

#include "Gateway/placement.h"
#include "Gateway/request.h"
#include "Traffic/traffic_context.h"

/// Explains where a request would be sent if it arrived now, and why. The explanation comes from
/// the functions that serve requests, and changes no state of the gateway.
namespace chestnuthead::traffic {

/// A request as an operator describes it.
struct described_request {
  std::string host;
  std::string path;
  /// Name of the customer; empty if the caller sends no key.
  std::string customer;
  std::vector<gateway::prompt_part> prompt;
  /// How long the caller waits, if it says so.
  std::optional<std::chrono::milliseconds> patience;
  /// The request goes on with a stream.
  bool resumes = false;
  /// ID of the request that began the stream; empty if the caller does not name it.
  std::string resumed_id;
};

struct refusal_report {
  error_kind kind = error_kind::overloaded;
  int status = 0;
  /// Bounds of the jittered time after which the caller may retry; both are zero if a retry
  /// can't succeed.
  std::chrono::milliseconds min_retry_after{0};
  std::chrono::milliseconds max_retry_after{0};
};

/// An endpoint of the pool, in the order of names.
struct endpoint_report {
  endpoint_id name;
  failure_domain_id failure_domain;
  std::string version;
  /// Why the request can't be sent to it, if it can't.
  gateway::endpoint_obstacle obstacle = gateway::endpoint_obstacle::none;
  /// Requests of this gateway.
  std::uint32_t in_flight = 0;
  /// Requests of all gateways.
  double load = 0.0;
  /// 0 if not known.
  std::uint32_t slots = 0;
  bool cold = false;
  bool holds_prefix = false;
  /// Place in the rendezvous order of the prompt's prefix, from 1 on; 0 without a prompt.
  std::size_t rank = 0;
  /// Probability that the endpoint is chosen in this pool, and why it would be.
  double share = 0.0;
  std::optional<gateway::choice_reason> reason;
};

/// A pool to which the request may be sent.
struct pool_report {
  pool_id name;
  /// The route's weight of the pool.
  double weight = 0.0;
  /// Probability that the pool is chosen.
  double share = 0.0;
  /// Load up to which endpoints are chosen by prefix; 0 without a prompt.
  double load_bound = 0.0;
  std::vector<endpoint_report> endpoints;
  std::optional<refusal_report> refused;
};

struct where_report {
  /// Empty if no route matches.
  std::string route;
  /// False if a customer was described whom the configuration does not have.
  bool customer_known = true;
  /// The customer's name; empty if the route needs no key or the request is refused before.
  customer_id customer;
  int priority = 0;
  /// How long the caller waits, and how long the gateway has for its answer.
  std::chrono::milliseconds deadline{0};
  std::chrono::milliseconds answer_by{0};
  /// The version that began the stream with which the request goes on, if it is known.
  std::optional<std::string> stream_version;
  /// The request would wait until it is known where its stream began.
  bool waits_for_origin = false;
  /// The refusal if the request does not reach the choice of an endpoint.
  std::optional<refusal_report> refused;
  std::vector<pool_report> pools;
};

/// Explains the request. Uses no random number of the context's source. Suspicions that are tied
/// to a request's body are not considered, as the body is not described.
[[nodiscard]] where_report explain_where(const traffic_context& context,
                                         const described_request& described, steady_time now);

/// The report as one JSON object.
[[nodiscard]] std::string format_where_report(const where_report& report);

}  // namespace chestnuthead::traffic
