#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

#include "Measure/rollout_setup.h"

/// A model of an endpoint of either version, as far as roll-outs depend on it: waiting for a
/// slot or for the reading of other prompts, a cache of prefixes, and the pace of streams.
namespace chestnuthead::measure {

struct modelled_endpoint {
  bool is_new = false;
  bool listed = true;
  steady_time started_at{};
  /// The endpoint resets all requests before this time.
  steady_time down_until{};
  /// Counts crashes and the stop, so that requests in flight can tell.
  std::uint32_t incarnation = 0;
  /// Failures and slowness that are not its version's, until `trouble_until`.
  double failing = 0.0;
  double slowness = 1.0;
  steady_time trouble_until{};
  std::uint32_t running = 0;
  /// When each slot of a plain endpoint is free again.
  std::vector<steady_time> slots_free;
  /// When an engine has read all prompts that it was sent.
  steady_time read_until{};
  /// Prefixes in an engine's cache by last use.
  std::list<std::uint64_t> by_last_use;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
};

/// How the endpoint answers one request.
struct modelled_answer {
  bool failed = false;
  std::chrono::nanoseconds first{0};
  std::uint32_t events = 0;
  std::chrono::nanoseconds events_time{0};
  /// The version's fault affected the answer.
  bool is_bad = false;
};

/// The fault of the endpoint's version for one request.
struct active_fault {
  double failing = 0.0;
  double factor = 1.0;
};

/// Starts a request of this kind at the endpoint.
modelled_answer answer_request(modelled_endpoint& row, const service_setup& service,
                               const request_kind& kind, std::uint64_t prefix,
                               const active_fault& fault, random_source& random, steady_time now);

}  // namespace chestnuthead::measure
