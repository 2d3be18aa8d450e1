#pragma once

#include <cstdint>
#include <string>

#include <Poco/JSON/Object.h>

#include "Measure/fleet_run.h"

/// The measures that run callers against a modelled fleet. Each gives one line
/// of results; the same arguments give the same line.
namespace chestnuthead {

/// What `chestnut-measure` was asked for.
struct measure_options {
  std::string policy = "ours";
  std::uint64_t seed = 1;
  /// "quiet", "rolling", "flapping" or "domain", for `reuse`.
  std::string scenario = "quiet";
  run_parameters run;
};

/// Share of returning chats' prefix tokens found in a cache, in quiet times or
/// through churn.
Poco::JSON::Object::Ptr measure_reuse(const measure_options& options);

/// Highest over mean load, with a customer that surges.
Poco::JSON::Object::Ptr measure_skew(const measure_options& options);

/// Service while a failure domain is taken out, its VMs are replaced, and it is
/// brought back.
Poco::JSON::Object::Ptr measure_domain(const measure_options& options);

}  // namespace chestnuthead
