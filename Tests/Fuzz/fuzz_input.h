#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

/// Helpers that the fuzz targets share.
namespace chestnuthead {

/// Runs the target on one input. Each target defines it.
void fuzz(std::string_view input);

/// Aborts if a property does not hold, so that the fuzzer saves the input.
inline void require(bool holds, const char* property) {
  if (!holds) {
    std::cerr << "property violated: " << property << "\n";
    std::abort();
  }
}

/// The first byte of an input, which selects a variant of the test, and the remaining bytes.
struct selected_input {
  std::size_t selector = 0;
  std::string_view rest;
};

inline selected_input split_selector(std::string_view input) {
  if (input.empty()) {
    return {};
  }
  return {static_cast<unsigned char>(input.front()), input.substr(1)};
}

}  // namespace chestnuthead
