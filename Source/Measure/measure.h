#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

/// What the measurements of `chestnut-measure` have in common.
namespace chestnuthead {

struct measure_options {
  /// Name of the policy to measure; "ours" is this project's.
  std::string policy = "ours";
  std::uint64_t seed = 1;
  /// Nodes of the fleet; 0 for the sizes that the measurement chooses.
  std::size_t nodes = 0;
};

/// One line of JSON.
struct measure_line {
  std::string text;
};

/// Why nothing was measured, as one sentence.
struct measure_fault {
  std::string sentence;
};

using measure_result = std::variant<measure_line, measure_fault>;

/// Routers and agents of a fleet with the target's proportions.
struct fleet_size {
  std::size_t routers = 0;
  std::size_t agents = 0;
  std::size_t pools = 1;
};

fleet_size fleet_size_for(std::size_t nodes);

/// Rounds to three decimals, so that lines are short and the same on each run.
double rounded(double number);

}  // namespace chestnuthead
