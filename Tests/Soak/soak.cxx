#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include <getopt.h>

#include "soak_run.h"

namespace {

constexpr std::array<option, 7> switches{{
    {"seed", required_argument, nullptr, 's'},
    {"seeds", required_argument, nullptr, 'n'},
    {"length", required_argument, nullptr, 'l'},
    {"gateway", required_argument, nullptr, 'g'},
    {"folder", required_argument, nullptr, 'f'},
    {"gateways", required_argument, nullptr, 'c'},
    {nullptr, 0, nullptr, 0},
}};

/// Plays one seed; true if every promise was kept.
bool play(chestnuthead::soak::soak_options options) {
  options.folder += "/seed-" + std::to_string(options.seed);
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  const std::uint64_t seed = options.seed;
  const std::string folder = options.folder;
  chestnuthead::soak::soak_run run(std::move(options));
  const auto broken = run.play();
  std::cout << "seed " << seed << ": " << (broken.empty() ? "kept" : "BROKEN") << " (" << folder
            << ")\n";
  for (const std::string& sentence : broken) {
    std::cout << "  " << sentence << "\n";
  }
  return broken.empty();
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  chestnuthead::soak::soak_options options;
  options.gateway_program = "build/bin/chestnut-gateway";
  options.folder = "/tmp/chestnut-soak";
  int seeds = 1;
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
      default:
        std::cerr << "usage: soak [--seed N] [--seeds COUNT] [--length SECONDS] "
                     "[--gateway PROGRAM] [--gateways COUNT] [--folder FOLDER]\n";
        return 2;
    }
  }
  bool all_kept = true;
  for (int played = 0; played < seeds; ++played) {
    all_kept = play(options) && all_kept;
    ++options.seed;
  }
  return all_kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
