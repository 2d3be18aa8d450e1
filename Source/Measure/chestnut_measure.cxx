#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>

#include <getopt.h>
#include <unistd.h>

#include "Measure/configuration_measure.h"
#include "Measure/control_measure.h"
#include "Measure/cost_measure.h"
#include "Measure/ledger_measure.h"
#include "Measure/measures.h"
#include "Measure/rollout_experiment.h"

namespace chestnuthead {

namespace {

constexpr int usage_status = 2;

constexpr const char* help_text =
    "Usage: chestnut-measure MEASURE [OPTION...]\n"
    "       chestnut-measure experiment FILE [--seeds N] [--first-seed N]\n"
    "Runs a measure on a virtual clock and prints one line of JSON.\n"
    "\n"
    "Measures:\n"
    "  reuse          share of returning chats' prefixes found in a cache\n"
    "  skew           highest over mean load, with a customer that surges\n"
    "  domain         service while a failure domain leaves and returns\n"
    "  control        control bytes a second of each node, by kind\n"
    "  configuration  seconds until a change is in force everywhere\n"
    "  ledger         at-most-once calls a second within the table's budget\n"
    "  cost           processor time and memory of one control plane\n"
    "  experiment     many seeded roll-outs as the file describes\n"
    "\n"
    "Options:\n"
    "  --policy P     ours (default), random, two-choices, rendezvous, bounded\n"
    "                 or full-knowledge; for control and configuration ours or\n"
    "                 poll; for ledger ours or one-by-one\n"
    "  --seeds N      for experiment: number of roll-outs, instead of the file's\n"
    "  --first-seed N the first of them\n"
    "  --seed N       seed of all random choices (default 1)\n"
    "  --scenario S   for reuse: quiet (default), rolling, flapping or domain\n"
    "  --routers N    routers (default 4)\n"
    "  --endpoints N  endpoints (default 12)\n"
    "  --chats N      chats alive at once (default 1200)\n"
    "  --new-chat-choices N  choices of a new chat's first turn (default 1)\n"
    "  --chat-memory  routers remember where the chats they served are\n"
    "  --multiple M   highest load as a multiple of the mean (default 2.5)\n"
    "  --nodes N      for control, configuration and ledger: nodes\n"
    "  --help         this text\n";

using measure_function = Poco::JSON::Object::Ptr (*)(const measure_options&);

struct named_measure {
  const char* name;
  measure_function run;
};

constexpr std::array<named_measure, 3> measures{{
    {"reuse", measure_reuse},
    {"skew", measure_skew},
    {"domain", measure_domain},
}};

using control_function = Poco::JSON::Object::Ptr (*)(const control_options&);

struct named_control_measure {
  const char* name;
  control_function run;
  bool (*supports_policy)(const std::string&);
};

constexpr std::array<named_control_measure, 4> control_measures{{
    {"control", measure_control, is_control_policy},
    {"configuration", measure_configuration, is_control_policy},
    {"ledger", measure_ledger, is_ledger_policy},
    {"cost", measure_cost, is_cost_policy},
}};

struct parsed_line {
  std::string measure;
  measure_options options;
  std::size_t nodes = 0;
  /// For experiment.
  std::string file;
  std::uint64_t seeds = 0;
  std::uint64_t first_seed = 0;
  bool help = false;
};

// Parses an integer of at least 1, or returns an error message.
std::variant<std::uint64_t, std::string> parse_number(const std::string& option,
                                                      const std::string& text) {
  char* end = nullptr;
  const std::uint64_t number = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || text.front() == '-' || number == 0) {
    return "The option --" + option + " has the value \"" + text +
           "\"; expected a whole number of at least 1.";
  }
  return number;
}

std::string set_multiple(measure_options& options, const std::string& text) {
  char* end = nullptr;
  const double multiple = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(multiple >= 1.0)) {
    return "The option --multiple has the value \"" + text + "\"; expected a number of at least 1.";
  }
  options.run.shape.load_multiple = multiple;
  return "";
}

// Sets one option. Returns an error message, or an empty string on success.
std::string set_option(parsed_line& line, const std::string& name, const std::string& value) {
  measure_options& options = line.options;
  if (name == "policy") {
    options.policy = value;
    return "";
  }
  if (name == "scenario") {
    options.scenario = value;
    const bool known =
        value == "quiet" || value == "rolling" || value == "flapping" || value == "domain";
    return known ? ""
                 : "The scenario \"" + value +
                       "\" is not known; expected quiet, rolling, flapping or domain.";
  }
  if (name == "chat-memory") {
    options.run.shape.use_chat_memory = true;
    return "";
  }
  if (name == "multiple") {
    return set_multiple(options, value);
  }
  const auto parsed = parse_number(name, value);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    return *error;
  }
  const std::uint64_t number = std::get<std::uint64_t>(parsed);
  if (name == "seed") {
    options.seed = number;
  } else if (name == "seeds") {
    line.seeds = number;
  } else if (name == "first-seed") {
    line.first_seed = number;
  } else if (name == "nodes") {
    line.nodes = number;
  } else if (name == "new-chat-choices") {
    options.run.shape.new_chat_choices = static_cast<std::uint32_t>(number);
  } else if (name == "routers") {
    options.run.shape.routers = number;
  } else if (name == "endpoints") {
    options.run.shape.endpoints = number;
  } else {
    options.run.callers.chats = static_cast<std::uint32_t>(number);
  }
  return "";
}

std::variant<parsed_line, std::string> parse_line(int count, char** words) {
  const std::array<option, 14> known{{{"seeds", required_argument, nullptr, 0},
                                      {"first-seed", required_argument, nullptr, 0},
                                      {"policy", required_argument, nullptr, 0},
                                      {"seed", required_argument, nullptr, 0},
                                      {"scenario", required_argument, nullptr, 0},
                                      {"routers", required_argument, nullptr, 0},
                                      {"endpoints", required_argument, nullptr, 0},
                                      {"chats", required_argument, nullptr, 0},
                                      {"nodes", required_argument, nullptr, 0},
                                      {"new-chat-choices", required_argument, nullptr, 0},
                                      {"chat-memory", no_argument, nullptr, 0},
                                      {"multiple", required_argument, nullptr, 0},
                                      {"help", no_argument, nullptr, 'h'},
                                      {nullptr, 0, nullptr, 0}}};
  parsed_line line;
  int index = 0;
  for (int code = 0; (code = getopt_long(count, words, "h", known.data(), &index)) != -1;) {
    if (code == 'h') {
      line.help = true;
      return line;
    }
    if (code != 0) {
      return "The command line is not valid; see chestnut-measure --help.";
    }
    const std::string error = set_option(line, known.at(static_cast<std::size_t>(index)).name,
                                         optarg != nullptr ? optarg : "");
    if (!error.empty()) {
      return error;
    }
  }
  if (optind + 2 == count && std::string(words[optind]) == "experiment") {
    line.measure = words[optind];
    line.file = words[optind + 1];
    return line;
  }
  if (optind + 1 != count) {
    return "Exactly one measure is expected; see chestnut-measure --help.";
  }
  line.measure = words[optind];
  return line;
}

int print_line(const Poco::JSON::Object::Ptr& line) {
  std::ostringstream text;
  line->stringify(text);
  std::cout << text.str() << std::endl;
  return EXIT_SUCCESS;
}

int run_control_measure(const named_control_measure& measure, const parsed_line& line) {
  if (!measure.supports_policy(line.options.policy)) {
    std::cerr << "The policy \"" << line.options.policy << "\" is not one of " << measure.name
              << "; see chestnut-measure --help.\n";
    return usage_status;
  }
  return print_line(
      measure.run(control_options{line.options.policy, line.options.seed, line.nodes}));
}

int run_experiment(const parsed_line& line) {
  std::ifstream file(line.file);
  if (!file) {
    std::cerr << "The experiment file " << line.file << " can't be read.\n";
    return usage_status;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = measure::parse_rollout_setup(text.str());
  if (const auto* faults = std::get_if<std::vector<settings_fault>>(&parsed)) {
    for (const settings_fault& fault : *faults) {
      std::cerr << describe_fault(line.file, fault) << '\n';
    }
    return usage_status;
  }
  auto setup = std::get<measure::rollout_setup>(parsed);
  setup.seeds = line.seeds > 0 ? line.seeds : setup.seeds;
  setup.first_seed = line.first_seed > 0 ? line.first_seed : setup.first_seed;
  std::ostream* progress = isatty(STDERR_FILENO) != 0 ? &std::cerr : nullptr;
  return print_line(summarize_rollouts(setup, play_rollouts(setup, progress)));
}

int run_measure(parsed_line line) {
  if (line.measure == "experiment") {
    if (line.file.empty()) {
      std::cerr << "An experiment file is expected; see chestnut-measure --help.\n";
      return usage_status;
    }
    return run_experiment(line);
  }
  for (const named_control_measure& known : control_measures) {
    if (line.measure == known.name) {
      return run_control_measure(known, line);
    }
  }
  const auto policy = policy_of(line.options.policy);
  if (const auto* error = std::get_if<std::string>(&policy)) {
    std::cerr << *error << '\n';
    return usage_status;
  }
  line.options.run.policy = std::get<measured_policy>(policy);
  line.options.run.seed = line.options.seed;
  for (const named_measure& known : measures) {
    if (line.measure == known.name) {
      return print_line(known.run(line.options));
    }
  }
  std::cerr << "The measure \"" << line.measure
            << "\" is not known; see chestnut-measure --help.\n";
  return usage_status;
}

}  // namespace

}  // namespace chestnuthead

int main(int count, char** words) {
  using namespace chestnuthead;
  const auto parsed = parse_line(count, words);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    std::cerr << *error << '\n';
    return usage_status;
  }
  const auto& line = std::get<parsed_line>(parsed);
  if (line.help) {
    std::cout << help_text;
    return EXIT_SUCCESS;
  }
  return run_measure(line);
}
