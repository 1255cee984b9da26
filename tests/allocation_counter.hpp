// Counts the heap of the test program: its operator new and delete are replaced in allocation_counter.cpp.
#pragma once

#include <cstddef>

namespace woadtide::testing {

struct HeapUse {
  std::size_t bytes = 0;       // held now, with the allocator's header of each block
  std::size_t peak_bytes = 0;  // the most since reset_heap_peak()
  std::size_t allocations = 0;
};

HeapUse heap_use();
void reset_heap_peak();

}  // namespace woadtide::testing
