#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Net/daemon_settings.h"

/// The settings file of the gateway daemon; docs/settings.md lists the keys.
namespace chestnuthead::traffic {

/// For which pools overload control is active.
enum class overload_mode : std::uint8_t {
  /// For none.
  off,
  /// For all pools if the platform's terms ask for it, and for each pool whose endpoints report
  /// the speed of their VMs.
  reported,
  /// For all pools.
  on,
};

struct gateway_settings {
  std::string node;
  std::string failure_domain;
  std::string region;
  /// Address that callers connect to.
  std::string public_address;
  /// Address at which the load balancer checks readiness.
  std::string ready_address;
  /// Address at which metrics are served.
  std::string metrics_address;
  /// UDP address at which messages of other gateways are received.
  std::string peer_address;
  std::string store_address;
  /// Longest duration of a graceful shutdown.
  std::chrono::milliseconds stop_grace{8'000};
  /// Time within which a revoked API key must be refused.
  std::chrono::milliseconds key_lag{5'000};
  /// Time after which a leaving endpoint must receive no new requests.
  std::chrono::milliseconds leaving_lag{2'000};
  /// Resends as a share of requests, summed over all gateways.
  double resend_share = 0.2;
  /// Number of resends allowed beyond that share, summed over all gateways.
  double resend_allowance = 10.0;
  std::chrono::seconds resend_window{10};
  /// Share of a pool's requests that a new version may get before it has proved good, summed
  /// over all gateways.
  double exposure_share = 0.1;
  /// Number of these requests allowed beyond that share, summed over all gateways.
  double exposure_allowance = 50.0;
  /// Highest load of one endpoint, as a multiple of its pool's mean load.
  double load_multiple = 2.0;
  /// Memory of the VM in megabytes; the default is that of the smallest entry VM.
  std::uint32_t memory_limit_mb = 160;
  /// Open descriptors that the process may have.
  std::uint32_t descriptor_limit = 4'096;
  /// Parts of the platform's rules that are in force, by the platform's names.
  std::vector<std::string> platform_terms;
  overload_mode overload_control = overload_mode::reported;
  /// Hedged requests as a share of the requests that may be repeated; 0 disables them.
  double extra_try_share = 0.0;
};

settings_result<gateway_settings> parse_gateway_settings(const std::string& text);

/// All settings as JSON text, defaults included.
std::string format_settings(const gateway_settings& settings);

}  // namespace chestnuthead::traffic
