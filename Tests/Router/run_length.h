#pragma once

#include <cstdlib>

namespace chestnuthead {

/// Number of rounds of a randomised test: `CHESTNUTHEAD_RUN_LENGTH` if set,
/// else `usual`.
inline int run_length(int usual) {
  const char* text = std::getenv("CHESTNUTHEAD_RUN_LENGTH");
  return text == nullptr ? usual : std::atoi(text);
}

}  // namespace chestnuthead
