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

constexpr std::array<option, 10> switches{{
    {"seed", required_argument, nullptr, 's'},
    {"seeds", required_argument, nullptr, 'n'},
    {"length", required_argument, nullptr, 'l'},
    {"gateway", required_argument, nullptr, 'g'},
    {"folder", required_argument, nullptr, 'f'},
    {"gateways", required_argument, nullptr, 'c'},
    {"leave-out", required_argument, nullptr, 'o'},
    {"shrink", no_argument, nullptr, 'r'},
    {"store-copies", required_argument, nullptr, 'e'},
    {nullptr, 0, nullptr, 0},
}};

using chestnuthead::soak::soak_options;

struct outcome {
  bool kept = false;
  std::size_t faults = 0;
};

/// Plays one seed.
outcome play(soak_options options) {
  options.folder += "/seed-" + std::to_string(options.seed);
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  const std::uint64_t seed = options.seed;
  const std::string folder = options.folder;
  chestnuthead::soak::soak_run run(std::move(options));
  const auto broken = run.play();
  std::cout << "seed " << seed << ": " << (broken.empty() ? "kept" : "BROKEN") << " (" << folder
            << ")" << std::endl;
  for (const std::string& sentence : broken) {
    std::cout << "  " << sentence << std::endl;
  }
  return {broken.empty(), run.faults()};
}

/// Leaves out ever smaller parts of a schedule that broke a promise, as long as it
/// still does. A promise that is broken now and then only may come out too long.
void shrink(soak_options options, std::size_t faults) {
  for (std::size_t part = faults / 2; part > 0; part /= 2) {
    for (std::size_t first = 0; first < faults; first += part) {
      soak_options fewer = options;
      for (std::size_t number = first; number < std::min(faults, first + part); ++number) {
        fewer.left_out.insert(number);
      }
      if (fewer.left_out.size() == options.left_out.size()) {
        continue;
      }
      if (!play(fewer).kept) {
        options = fewer;
      }
    }
  }
  std::cout << "shortest schedule found: " << faults - options.left_out.size() << " of " << faults
            << " faults, with --leave-out ";
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

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  chestnuthead::soak::soak_options options;
  options.gateway_program = "build/bin/chestnut-gateway";
  options.folder = "/tmp/chestnut-soak";
  int seeds = 1;
  bool shrinks = false;
  for (int letter = getopt_long(argc, argv, "", switches.data(), nullptr); letter != -1;
       letter = getopt_long(argc, argv, "", switches.data(), nullptr)) {
    switch (letter) {
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        seeds = std::atoi(optarg);
        break;
      case 'l':
        options.length = std::chrono::seconds{std::atoi(optarg)};
        break;
      case 'g':
        options.gateway_program = optarg;
        break;
      case 'f':
        options.folder = optarg;
        break;
      case 'c':
        options.gateways = std::atoi(optarg);
        break;
      case 'o':
        options.left_out = read_numbers(optarg);
        break;
      case 'e':
        options.store_copies = std::atoi(optarg);
        break;
      case 'r':
        shrinks = true;
        break;
      default:
        std::cerr << "usage: soak [--seed N] [--seeds COUNT] [--length SECONDS] "
                     "[--gateway PROGRAM] [--gateways COUNT] [--folder FOLDER] "
                     "[--leave-out NUMBERS] [--shrink] [--store-copies COUNT]\n";
        return 2;
    }
  }
  bool all_kept = true;
  for (int played = 0; played < seeds; ++played) {
    const outcome played_seed = play(options);
    if (!played_seed.kept && shrinks) {
      shrink(options, played_seed.faults);
    }
    all_kept = played_seed.kept && all_kept;
    ++options.seed;
  }
  return all_kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
