// Counts the heap use of the test program, whose operator new and delete are replaced in
// allocation_counter.cpp.
#pragma once

#include <cstddef>

namespace woadtide::testing {

// Heap use of the program.
struct HeapUsage {
  std::size_t bytes = 0;       // currently allocated, including the allocator's header of each block
  std::size_t peak_bytes = 0;  // maximum since reset_heap_peak()
  std::size_t allocations = 0;
};

// The current figures.
HeapUsage heap_usage();
// Sets the peak to the current use.
void reset_heap_peak();

}  // namespace woadtide::testing
