#pragma once

#include <cstdint>
#include <string>

#include <Poco/JSON/Object.h>

#include "Measure/fleet_run.h"

/// Measures that run a workload against a modelled fleet. Each returns one result
/// line; the same options give the same line.
namespace chestnuthead {

/// Options of `chestnut-measure`.
struct measure_options {
  std::string policy = "ours";
  std::uint64_t seed = 1;
  /// "quiet", "rolling", "flapping" or "domain", for `reuse`.
  std::string scenario = "quiet";
  run_parameters run;
};

/// Measures the share of returning chats' prefix tokens that are found in a cache,
/// without faults or with endpoints restarting, flapping or out of service.
Poco::JSON::Object::Ptr measure_reuse(const measure_options& options);

/// Measures the ratio of highest to mean load while one customer surges.
Poco::JSON::Object::Ptr measure_skew(const measure_options& options);

/// Measures service while a failure domain is taken out of service, its VMs are
/// replaced, and it is brought back.
Poco::JSON::Object::Ptr measure_domain(const measure_options& options);

}  // namespace chestnuthead
