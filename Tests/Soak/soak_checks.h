#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "soak_caller.h"
#include "soak_endpoint.h"

namespace chestnuthead::soak {

/// The platform's bounds, as its settings give them.
inline constexpr std::chrono::milliseconds key_lag{5'000};
inline constexpr std::chrono::milliseconds leaving_lag{2'000};
inline constexpr std::chrono::milliseconds contact_time{3'000};
inline constexpr std::chrono::milliseconds recovery_time{12'000};

/// A span of time in which something was disturbed.
struct disturbance {
  /// The gateway or the endpoint that was disturbed.
  std::string process;
  steady_time from{};
  steady_time until{};
};

/// What the soak itself did, as far as the checks need it.
struct soak_history {
  std::vector<asked_request> requests;
  std::vector<disturbance> disturbances;
  /// When the store took the revocation of each key.
  std::map<std::string, steady_time> revoked;
  /// When the store took each endpoint's word that it is leaving, and when it
  /// came back under its name.
  std::map<std::string, std::vector<std::pair<steady_time, steady_time>>> left;
  /// Planned stops of gateways.
  std::vector<disturbance> stops;
};

/// All promises that were not kept, one sentence each.
std::vector<std::string> broken_promises(const soak_history& history, const execution_book& book);

}  // namespace chestnuthead::soak
