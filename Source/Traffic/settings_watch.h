#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"

#include "Traffic/gateway_settings.h"

/// Reloads settings that change while the gateway runs.
namespace chestnuthead::traffic {

/// Keys whose values differ between the running and the new settings.
struct settings_change {
  /// Keys whose new values can be applied at once.
  std::vector<std::string> reloadable;
  /// Keys whose new values require a restart.
  std::vector<std::string> after_restart;
};

settings_change compare_settings(const gateway_settings& running, const gateway_settings& read);

/// Copies the values that can be applied without a restart.
void apply_reloadable(gateway_settings& running, const gateway_settings& read);

/// Polls the settings file for changes, since the platform may rewrite it without sending a
/// signal.
class settings_watch {
 public:
  /// `text` is the content of the file when it was last read.
  settings_watch(std::string path, std::string text);

  /// Returns the content of the file if it has changed. Reads the file only at intervals unless
  /// `at_once` is true. An unreadable or empty file counts as unchanged, as it may be in the
  /// middle of a rewrite.
  std::optional<std::string> changed(steady_time now, bool at_once);

 private:
  std::string path;
  std::string seen;
  steady_time next_at{};
};

}  // namespace chestnuthead::traffic
