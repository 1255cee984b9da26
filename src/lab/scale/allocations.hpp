// Counts of this process's heap allocations. They stay at 0 unless allocation_hook.cpp, which replaces
// operator new and delete, is linked into the program.
#pragma once

#include <atomic>
#include <cstdint>

namespace woadtide::lab::scale {

struct Allocations {
  std::uint64_t count = 0;      // calls of operator new
  std::int64_t live_bytes = 0;  // allocated and not freed yet, as the allocator rounds them up
};

struct AllocationCounters {
  std::atomic<std::uint64_t> count{0};
  std::atomic<std::int64_t> live_bytes{0};
};
// For the hook.
extern AllocationCounters allocation_counters;

Allocations allocations();

}  // namespace woadtide::lab::scale
