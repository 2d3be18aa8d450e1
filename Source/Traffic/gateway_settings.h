#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "Net/daemon_settings.h"

/// The settings file of the gateway daemon; docs/settings.md lists the keys.
namespace chestnuthead::traffic {

struct gateway_settings {
  std::string node;
  std::string failure_domain;
  std::string region;
  /// Where callers connect.
  std::string public_address;
  /// Where the balancer asks for readiness.
  std::string ready_address;
  /// Where metrics are served.
  std::string metrics_address;
  /// Where other gateways are heard, over UDP.
  std::string peer_address;
  std::string store_address;
  /// How long a planned stop may take.
  std::chrono::milliseconds stop_grace{8'000};
  /// Within this time a revoked key must be refused.
  std::chrono::milliseconds key_lag{5'000};
  /// Within this time a leaving endpoint must get no new work.
  std::chrono::milliseconds leaving_lag{2'000};
  /// Resends as a share of requests, summed over all gateways.
  double resend_share = 0.2;
  /// Resends allowed beyond that, summed over all gateways.
  double resend_allowance = 10.0;
  std::chrono::seconds resend_window{10};
  /// Highest load of one endpoint as a multiple of its pool's mean.
  double load_multiple = 2.0;
};

settings_result<gateway_settings> parse_gateway_settings(const std::string& text);

/// All settings as JSON text, defaults included.
std::string format_settings(const gateway_settings& settings);

}  // namespace chestnuthead::traffic
