#include "Fuzz/fuzz_input.h"

/// Entry point that libFuzzer calls with each input.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  chestnuthead::fuzz({reinterpret_cast<const char*>(data), size});
  return 0;
}
