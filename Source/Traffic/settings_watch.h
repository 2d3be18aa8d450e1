#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"

#include "Traffic/gateway_settings.h"

/// Settings that change while the gateway runs.
namespace chestnuthead::traffic {

/// Keys whose values differ between two settings.
struct settings_change {
  /// Their new values can be used at once.
  std::vector<std::string> usable;
  /// Their new values need a restart.
  std::vector<std::string> after_restart;
};

settings_change compare_settings(const gateway_settings& running, const gateway_settings& read);

/// Copies the values that can be used without a restart.
void take_usable(gateway_settings& running, const gateway_settings& read);

/// Looks whether the settings file has changed, since the platform may rewrite
/// it without a signal.
class settings_watch {
 public:
  /// `text` is what the file held when it was read last.
  settings_watch(std::string path, std::string text);

  /// The file's text, if it is another one than was seen last. Looks only now
  /// and then unless `at_once` is true. A file that can't be read or is empty
  /// counts as unchanged: it may be on its way.
  std::optional<std::string> changed(steady_time now, bool at_once);

 private:
  std::string path;
  std::string seen;
  steady_time next_at{};
};

}  // namespace chestnuthead::traffic
