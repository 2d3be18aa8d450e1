#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <variant>

#include <getopt.h>

#include "Measure/configuration_measure.h"
#include "Measure/control_measure.h"
#include "Measure/measure.h"

/// Measures the decision cores on a virtual clock and prints one line of JSON.
namespace {

using chestnuthead::measure_fault;
using chestnuthead::measure_line;
using chestnuthead::measure_options;
using chestnuthead::measure_result;

using measurement = measure_result (*)(const measure_options&);

const std::map<std::string, measurement>& measurements() {
  static const std::map<std::string, measurement> table{
      {"configuration", chestnuthead::measure_configuration},
      {"control", chestnuthead::measure_control},
  };
  return table;
}

int print_usage() {
  std::cerr << "usage: chestnut-measure NAME [--policy P] [--seed N] [--nodes N]\nNAME is one of:";
  for (const auto& [name, unused] : measurements()) {
    std::cerr << ' ' << name;
  }
  std::cerr << '\n';
  return 2;
}

bool read_options(int argc, char** argv, measure_options& options) {
  const option known[] = {{"policy", required_argument, nullptr, 'p'},
                          {"seed", required_argument, nullptr, 's'},
                          {"nodes", required_argument, nullptr, 'n'},
                          {nullptr, 0, nullptr, 0}};
  int found = 0;
  while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
    switch (found) {
      case 'p':
        options.policy = optarg;
        break;
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        options.nodes = std::strtoull(optarg, nullptr, 10);
        break;
      default:
        return false;
    }
  }
  return optind + 1 == argc;
}

}  // namespace

int main(int argc, char** argv) {
  measure_options options;
  if (!read_options(argc, argv, options)) {
    return print_usage();
  }
  const auto chosen = measurements().find(argv[optind]);
  if (chosen == measurements().end()) {
    return print_usage();
  }
  const measure_result result = chosen->second(options);
  if (const auto* fault = std::get_if<measure_fault>(&result)) {
    std::cerr << fault->sentence << '\n';
    return 1;
  }
  std::cout << std::get<measure_line>(result).text << '\n';
  return 0;
}
