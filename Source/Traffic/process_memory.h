#pragma once

#include <cstddef>

/// Memory of this process as the operating system sees it.
namespace chestnuthead::traffic {

/// Makes the allocator return large buffers to the system as soon as they are freed. Call it
/// before the first large allocation.
void return_freed_buffers();

/// Returns free memory of the heap to the system, which takes some milliseconds.
void return_free_heap();

/// Resident memory in bytes; 0 if it can't be read.
std::size_t resident_memory();

}  // namespace chestnuthead::traffic
