#include "lab/scale/allocations.hpp"

namespace woadtide::lab::scale {

constinit AllocationCounters allocation_counters;

Allocations allocations() {
  return {allocation_counters.count.load(std::memory_order_relaxed),
          allocation_counters.live_bytes.load(std::memory_order_relaxed)};
}

}  // namespace woadtide::lab::scale
