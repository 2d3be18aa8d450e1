#include "Traffic/settings_watch.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace chestnuthead::traffic {

namespace {

/// Interval between two reads of the file: it changes rarely, and each read costs three system
/// calls.
constexpr std::chrono::seconds file_check_interval{2};

void add_if(bool differs, const char* key, std::vector<std::string>& keys) {
  if (differs) {
    keys.emplace_back(key);
  }
}

/// Calls `visit` with the key and both values of each setting that needs no restart.
template <class Running, class Visit>
void visit_reloadable(Running& running, const gateway_settings& read, Visit visit) {
  visit("stop_grace_ms", running.stop_grace, read.stop_grace);
  visit("key_lag_ms", running.key_lag, read.key_lag);
  visit("leaving_lag_ms", running.leaving_lag, read.leaving_lag);
  visit("resend_share", running.resend_share, read.resend_share);
  visit("resend_allowance", running.resend_allowance, read.resend_allowance);
  visit("resend_window_s", running.resend_window, read.resend_window);
  visit("exposure_share", running.exposure_share, read.exposure_share);
  visit("exposure_allowance", running.exposure_allowance, read.exposure_allowance);
  visit("load_multiple", running.load_multiple, read.load_multiple);
  visit("platform_terms", running.platform_terms, read.platform_terms);
  visit("overload_control", running.overload_control, read.overload_control);
  visit("extra_try_share", running.extra_try_share, read.extra_try_share);
}

}  // namespace

settings_change compare_settings(const gateway_settings& running, const gateway_settings& read) {
  settings_change change;
  visit_reloadable(running, read, [&change](const char* key, const auto& old, const auto& now) {
    add_if(old != now, key, change.reloadable);
  });
  add_if(running.node != read.node, "node", change.after_restart);
  add_if(running.failure_domain != read.failure_domain, "failure_domain", change.after_restart);
  add_if(running.region != read.region, "region", change.after_restart);
  add_if(running.public_address != read.public_address, "public_address", change.after_restart);
  add_if(running.ready_address != read.ready_address, "ready_address", change.after_restart);
  add_if(running.metrics_address != read.metrics_address, "metrics_address", change.after_restart);
  add_if(running.peer_address != read.peer_address, "peer_address", change.after_restart);
  add_if(running.store_address != read.store_address, "store_address", change.after_restart);
  add_if(running.memory_limit_mb != read.memory_limit_mb, "memory_limit_mb", change.after_restart);
  add_if(running.descriptor_limit != read.descriptor_limit, "descriptor_limit",
         change.after_restart);
  return change;
}

void apply_reloadable(gateway_settings& running, const gateway_settings& read) {
  visit_reloadable(running, read, [](const char*, auto& old, const auto& now) { old = now; });
}

settings_watch::settings_watch(std::string file, std::string text)
    : path(std::move(file)), seen(std::move(text)) {}

std::optional<std::string> settings_watch::changed(steady_time now, bool at_once) {
  if (now < this->next_at && !at_once) {
    return std::nullopt;
  }
  this->next_at = now + file_check_interval;
  std::ifstream in(this->path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad() || text.empty() || text == this->seen) {
    return std::nullopt;
  }
  this->seen = text;
  return text;
}

}  // namespace chestnuthead::traffic
