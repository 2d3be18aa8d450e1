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

}  // namespace

settings_change compare_settings(const gateway_settings& running, const gateway_settings& read) {
  settings_change change;
  add_if(running.stop_grace != read.stop_grace, "stop_grace_ms", change.reloadable);
  add_if(running.key_lag != read.key_lag, "key_lag_ms", change.reloadable);
  add_if(running.leaving_lag != read.leaving_lag, "leaving_lag_ms", change.reloadable);
  add_if(running.resend_share != read.resend_share, "resend_share", change.reloadable);
  add_if(running.resend_allowance != read.resend_allowance, "resend_allowance", change.reloadable);
  add_if(running.resend_window != read.resend_window, "resend_window_s", change.reloadable);
  add_if(running.exposure_share != read.exposure_share, "exposure_share", change.reloadable);
  add_if(running.exposure_allowance != read.exposure_allowance, "exposure_allowance",
         change.reloadable);
  add_if(running.load_multiple != read.load_multiple, "load_multiple", change.reloadable);
  add_if(running.node != read.node, "node", change.after_restart);
  add_if(running.failure_domain != read.failure_domain, "failure_domain", change.after_restart);
  add_if(running.region != read.region, "region", change.after_restart);
  add_if(running.public_address != read.public_address, "public_address", change.after_restart);
  add_if(running.ready_address != read.ready_address, "ready_address", change.after_restart);
  add_if(running.metrics_address != read.metrics_address, "metrics_address", change.after_restart);
  add_if(running.peer_address != read.peer_address, "peer_address", change.after_restart);
  add_if(running.store_address != read.store_address, "store_address", change.after_restart);
  return change;
}

void apply_reloadable(gateway_settings& running, const gateway_settings& read) {
  running.stop_grace = read.stop_grace;
  running.key_lag = read.key_lag;
  running.leaving_lag = read.leaving_lag;
  running.resend_share = read.resend_share;
  running.resend_allowance = read.resend_allowance;
  running.resend_window = read.resend_window;
  running.exposure_share = read.exposure_share;
  running.exposure_allowance = read.exposure_allowance;
  running.load_multiple = read.load_multiple;
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
