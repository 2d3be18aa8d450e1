#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Gateway/rollout_schedule.h"
#include "Net/daemon_settings.h"

/// The description of an experiment with roll-outs, read from a file; docs/experiments.md
/// lists the keys.
namespace chestnuthead::measure {

/// How a new version is bad.
enum class version_fault : std::uint8_t { none, failures, slow };

/// When the fault of a bad version shows.
enum class fault_start : std::uint8_t {
  at_once,
  /// From a random moment in the middle of the roll-out.
  later,
  /// While an endpoint carries at least three quarters of the mean load of the old ones.
  under_load,
  /// On one route only.
  one_route,
};

/// How requests are moved to the new version.
enum class schedule_kind : std::uint8_t {
  /// `gateway::choose_scope`.
  within_exposure,
  /// Fixed stages of 5, 25, 50 and 100% after fixed parts of the duration, then completion.
  staged,
};

/// What is taken as evidence of a bad version.
enum class evidence_kind : std::uint8_t {
  /// `gateway::evaluate_rollout`.
  sequential,
  /// A fixed ratio of the versions' shares of failures, or of their mean times.
  ratio,
};

/// Which gateway writes the next step.
enum class writer_kind : std::uint8_t {
  /// One after another, in the rendezvous order of the roll-out.
  turns,
  /// All gateways as soon as the step is due.
  all_at_once,
};

/// One kind of request.
struct request_kind {
  std::string name;
  /// Requests per second for each old endpoint.
  double rate = 1.0;
  bool streams = false;
  bool resumable = false;
  bool idempotent = false;
  /// Mean time of a plain call.
  double work_ms = 30.0;
  /// Requests that fail under any version.
  double failure_share = 0.0;
  std::uint32_t shared_tokens = 0;
  std::uint32_t own_tokens = 0;
  /// Number of different shared prefixes.
  std::uint32_t prefixes = 1;
  /// Mean number of events of a stream.
  double events = 0.0;
};

struct service_setup {
  std::string name;
  std::uint32_t endpoints = 4;
  std::uint32_t slots = 6;
  bool engine = false;
  std::chrono::milliseconds warm_up{0};
  double cold_rate = 0.0;
  /// Rate at which prompts are read, and time between two events of a stream that runs alone.
  double tokens_per_ms = 85.0;
  double pace_ms = 28.0;
  std::vector<request_kind> kinds;
};

struct rollout_setup {
  /// One of each is drawn for a roll-out.
  std::vector<std::uint32_t> gateways{31};
  std::vector<service_setup> services;
  std::chrono::milliseconds min_duration{8'000};
  std::chrono::milliseconds max_duration{60'000};
  version_fault fault = version_fault::none;
  fault_start start = fault_start::at_once;
  /// Requests that a failing version fails.
  double fault_share = 0.2;
  /// Factor by which the answers of a slow version take longer.
  double fault_factor = 2.0;
  /// Roll-outs beside which two kinds of trouble are drawn.
  double troubled_share = 0.5;
  gateway::rollout_terms terms;
  /// Time after the 50th bad answer from which the version must get no request.
  std::chrono::milliseconds rollback_lag{5'000};
  schedule_kind schedule = schedule_kind::within_exposure;
  evidence_kind evidence = evidence_kind::sequential;
  writer_kind writer = writer_kind::turns;
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 100;
};

settings_result<rollout_setup> parse_rollout_setup(const std::string& text);

}  // namespace chestnuthead::measure
