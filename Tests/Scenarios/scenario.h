#pragma once

#include <memory>
#include <string>
#include <vector>

namespace chestnuthead {

/// Runs one scenario: a Lua script that builds a simulated fleet of the product's cores,
/// advances virtual time, injects faults and checks expectations. The functions that a script
/// can call are described in docs/scenarios.md.
class scenario {
 public:
  scenario();
  ~scenario();
  scenario(const scenario&) = delete;
  scenario& operator=(const scenario&) = delete;

  /// Runs the script in this file. Returns the failed expectations, one sentence each. A script
  /// without expectations fails.
  std::vector<std::string> run(const std::string& path);

  /// The state that the functions of a script work on.
  struct simulation;

 private:
  std::unique_ptr<simulation> state;
};

}  // namespace chestnuthead
