#include "Traffic/process_memory.h"

#include <fstream>

#include <malloc.h>
#include <unistd.h>

namespace chestnuthead::traffic {

void return_freed_buffers() {
  // By default the first large buffer that is freed raises this threshold up to 32 MB. Later
  // buffers are then parts of the heap, which one small allocation behind them keeps resident.
  constexpr int threshold = 131'072;
  ::mallopt(M_MMAP_THRESHOLD, threshold);
}

void return_free_heap() {
  ::malloc_trim(0);
}

std::size_t resident_memory() {
  std::ifstream file("/proc/self/statm");
  std::size_t all_pages = 0;
  std::size_t resident_pages = 0;
  file >> all_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace chestnuthead::traffic
