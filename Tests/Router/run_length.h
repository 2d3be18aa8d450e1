#pragma once

#include <cstdlib>

namespace chestnuthead {

/// Rounds of a random run: `CHESTNUTHEAD_RUN_LENGTH`, or `usual` without it.
inline int run_length(int usual) {
  const char* text = std::getenv("CHESTNUTHEAD_RUN_LENGTH");
  return text == nullptr ? usual : std::atoi(text);
}

}  // namespace chestnuthead
