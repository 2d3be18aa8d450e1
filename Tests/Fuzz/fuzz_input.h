#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

/// What the fuzzers share.
namespace chestnuthead {

/// Takes one input; each target defines it.
void fuzz(std::string_view input);

/// Ends the process if a promise does not hold, so that the fuzzer keeps the input.
inline void require(bool holds, const char* promise) {
  if (!holds) {
    std::cerr << "broken: " << promise << "\n";
    std::abort();
  }
}

/// The first byte of an input as a choice, and the rest of it.
struct fuzz_choice {
  std::size_t number = 0;
  std::string_view rest;
};

inline fuzz_choice choose(std::string_view input) {
  if (input.empty()) {
    return {};
  }
  return {static_cast<unsigned char>(input.front()), input.substr(1)};
}

}  // namespace chestnuthead
