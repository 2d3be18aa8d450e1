#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/configuration.h"

#include "Net/json_log.h"

/// Settings files of the router and agent daemons; docs/settings.md lists the
/// keys.
namespace chestnuthead {

/// Settings common to router and agent.
struct node_settings {
  std::string node;
  std::string failure_domain;
  std::string region;
  std::string platform_address;
  std::string peer_host = "127.0.0.1";
  std::uint16_t peer_port = 0;
  std::string status_host = "127.0.0.1";
  std::uint16_t status_port = 0;
  std::string ready_file;
  std::chrono::milliseconds platform_timeout{1'000};
};

struct router_file_settings {
  node_settings common;
  std::string public_host = "127.0.0.1";
  std::uint16_t public_port = 0;
  std::uint32_t public_threads = 512;
};

struct agent_file_settings {
  node_settings common;
  std::string endpoint_address;
  std::string pool;
  pool_kind kind = pool_kind::model_engine;
  std::uint32_t endpoint_threads = 64;
};

template <class Settings>
using settings_result = std::variant<Settings, std::vector<settings_fault>>;

settings_result<router_file_settings> parse_router_settings(const std::string& text);
settings_result<agent_file_settings> parse_agent_settings(const std::string& text);

/// All settings as JSON text, defaults included.
std::string format_settings(const router_file_settings& settings);
std::string format_settings(const agent_file_settings& settings);

/// Formats a fault as one sentence with the file, the key, the value found and
/// the value expected.
std::string describe_fault(const std::string& file, const settings_fault& fault);

/// True for a numeric IP address with a port above zero, such as "10.0.0.1:80".
bool is_ip_and_port(const std::string& address);
bool is_ip_address(const std::string& host);

}  // namespace chestnuthead
