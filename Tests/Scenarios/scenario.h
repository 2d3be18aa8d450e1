#pragma once

#include <memory>
#include <string>
#include <vector>

namespace chestnuthead {

/// Runs one scenario: a Lua script whose verbs build a modelled fleet of the
/// product's cores, let time pass, cause faults and state what must hold. The
/// verbs are described in docs/scenarios.md.
class scenario {
 public:
  scenario();
  ~scenario();
  scenario(const scenario&) = delete;
  scenario& operator=(const scenario&) = delete;

  /// Plays the script of that file. The result lists what did not hold, one
  /// sentence each; empty if all did. A script that expects nothing fails.
  std::vector<std::string> play(const std::string& path);

  /// The tables behind the verbs.
  struct world;

 private:
  std::unique_ptr<world> state;
};

}  // namespace chestnuthead
