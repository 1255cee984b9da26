// Heap allocation counters of this process. They stay at 0 unless allocation_hook.cpp, which replaces
// operator new and delete, is linked into the program.
#pragma once

#include <atomic>
#include <cstdint>

namespace woadtide::lab::scale {

// A snapshot of the counters.
struct Allocations {
  std::uint64_t count = 0;      // calls of operator new
  std::int64_t live_bytes = 0;  // allocated and not yet freed, including the allocator's rounding
};

// The counters, updated by the allocation hook from any thread.
struct AllocationCounters {
  std::atomic<std::uint64_t> count{0};
  std::atomic<std::int64_t> live_bytes{0};
};
// Written by allocation_hook.cpp only.
extern AllocationCounters allocation_counters;

// Reads the current counters. Thread-safe; the two values are read one after the other.
Allocations allocations();

}  // namespace woadtide::lab::scale
