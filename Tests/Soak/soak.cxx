#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include <getopt.h>

#include "soak_run.h"

namespace {

constexpr std::array<option, 19> long_options{{
    {"seed", required_argument, nullptr, 's'},
    {"seeds", required_argument, nullptr, 'n'},
    {"length", required_argument, nullptr, 'l'},
    {"gateway", required_argument, nullptr, 'g'},
    {"folder", required_argument, nullptr, 'f'},
    {"gateways", required_argument, nullptr, 'c'},
    {"leave-out", required_argument, nullptr, 'o'},
    {"shrink", no_argument, nullptr, 'r'},
    {"store-copies", required_argument, nullptr, 'e'},
    {"silences", required_argument, nullptr, 'q'},
    {"crashing-part", no_argument, nullptr, 'p'},
    {"unframed", no_argument, nullptr, 'u'},
    {"releases", required_argument, nullptr, 'v'},
    {"split-writers", no_argument, nullptr, 'w'},
    {"cold-starts", required_argument, nullptr, 'd'},
    {"flood-crashes", no_argument, nullptr, 'x'},
    {"callers", required_argument, nullptr, 'a'},
    {"engines", required_argument, nullptr, 'm'},
    {nullptr, 0, nullptr, 0},
}};

using chestnuthead::soak::soak_options;

struct outcome {
  bool passed = false;
  std::size_t fault_count = 0;
};

/// Runs the schedule of one seed and prints the violations that it found.
outcome run_seed(soak_options options) {
  options.folder += "/seed-" + std::to_string(options.seed);
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  const std::uint64_t seed = options.seed;
  const std::string folder = options.folder;
  chestnuthead::soak::soak_run run(std::move(options));
  const auto violations = run.run_schedule();
  std::cout << "seed " << seed << ": " << (violations.empty() ? "passed" : "FAILED") << " ("
            << folder << ")" << std::endl;
  for (const std::string& violation : violations) {
    std::cout << "  " << violation << std::endl;
  }
  return {violations.empty(), run.scheduled_faults()};
}

/// Minimises a failing schedule: skips ever smaller ranges of its faults and keeps each
/// reduction that still fails. For an intermittent failure the result may not be minimal.
void shrink_schedule(soak_options options, std::size_t fault_count) {
  for (std::size_t range_size = fault_count / 2; range_size > 0; range_size /= 2) {
    for (std::size_t range_begin = 0; range_begin < fault_count; range_begin += range_size) {
      soak_options reduced = options;
      for (std::size_t number = range_begin;
           number < std::min(fault_count, range_begin + range_size); ++number) {
        reduced.left_out.insert(number);
      }
      if (reduced.left_out.size() == options.left_out.size()) {
        continue;
      }
      if (!run_seed(reduced).passed) {
        options = reduced;
      }
    }
  }
  std::cout << "shortest failing schedule found: " << fault_count - options.left_out.size()
            << " of " << fault_count << " faults, with --leave-out ";
  const char* comma = "";
  for (const std::size_t number : options.left_out) {
    std::cout << std::exchange(comma, ",") << number;
  }
  std::cout << std::endl;
}

std::set<std::size_t> read_numbers(const std::string& text) {
  std::set<std::size_t> numbers;
  std::istringstream in(text);
  for (std::string word; std::getline(in, word, ',');) {
    numbers.insert(std::strtoull(word.c_str(), nullptr, 10));
  }
  return numbers;
}

struct command_line {
  soak_options options;
  int seeds = 1;
  bool shrink_failures = false;
};

/// Applies one option. Returns false if it is unknown.
bool read_option(int code, command_line& line) {
  soak_options& options = line.options;
  switch (code) {
    case 's':
      options.seed = std::strtoull(optarg, nullptr, 10);
      return true;
    case 'n':
      line.seeds = std::atoi(optarg);
      return true;
    case 'l':
      options.length = std::chrono::seconds{std::atoi(optarg)};
      return true;
    case 'g':
      options.gateway_program = optarg;
      return true;
    case 'f':
      options.folder = optarg;
      return true;
    case 'c':
      options.gateways = std::atoi(optarg);
      return true;
    case 'o':
      options.left_out = read_numbers(optarg);
      return true;
    case 'e':
      options.store_copies = std::atoi(optarg);
      return true;
    case 'q':
      options.silences = std::atoi(optarg);
      return true;
    case 'p':
      options.crashing_part = true;
      return true;
    case 'u':
      options.unframed = true;
      return true;
    case 'v':
      options.releases = std::atoi(optarg);
      return true;
    case 'w':
      options.split_writers = true;
      return true;
    case 'd':
      options.cold_starts = std::atoi(optarg);
      return true;
    case 'x':
      options.flood_crashes = true;
      return true;
    case 'a':
      options.callers = std::atoi(optarg);
      return true;
    case 'm':
      options.engines = std::atoi(optarg);
      return true;
    case 'r':
      line.shrink_failures = true;
      return true;
    default:
      return false;
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  command_line line;
  line.options.gateway_program = "build/bin/chestnut-gateway";
  line.options.folder = "/tmp/chestnut-soak";
  for (int code = getopt_long(argc, argv, "", long_options.data(), nullptr); code != -1;
       code = getopt_long(argc, argv, "", long_options.data(), nullptr)) {
    if (!read_option(code, line)) {
      std::cerr << "usage: soak [--seed N] [--seeds COUNT] [--length SECONDS] "
                   "[--gateway PROGRAM] [--gateways COUNT] [--folder FOLDER] "
                   "[--leave-out NUMBERS] [--shrink] [--store-copies COUNT] "
                   "[--silences COUNT] [--crashing-part] [--unframed] [--releases COUNT] "
                   "[--split-writers] [--cold-starts COUNT] [--flood-crashes] [--callers COUNT] "
                   "[--engines COUNT]\n";
      return 2;
    }
  }
  bool all_passed = true;
  for (int count = 0; count < line.seeds; ++count) {
    const outcome result = run_seed(line.options);
    if (!result.passed && line.shrink_failures) {
      shrink_schedule(line.options, result.fault_count);
    }
    all_passed = result.passed && all_passed;
    ++line.options.seed;
  }
  return all_passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
