// Replaces the global operators new and delete with counting ones. Linked only into measuring programs and
// tests, never into the dispatcher. The standard library's array and
// sized forms call these operators.
#include <malloc.h>

#include <cstdlib>
#include <new>

#include "lab/scale/allocations.hpp"

namespace {

using woadtide::lab::scale::allocation_counters;

void record_allocation(void* memory) {
  allocation_counters.count.fetch_add(1, std::memory_order_relaxed);
  allocation_counters.live_bytes.fetch_add(static_cast<std::int64_t>(::malloc_usable_size(memory)),
                                           std::memory_order_relaxed);
}

void record_free(void* memory) {
  allocation_counters.live_bytes.fetch_sub(static_cast<std::int64_t>(::malloc_usable_size(memory)),
                                           std::memory_order_relaxed);
}

}  // namespace

void* operator new(std::size_t size) {
  void* const memory = std::malloc(size == 0 ? 1 : size);
  if (!memory) throw std::bad_alloc();
  record_allocation(memory);
  return memory;
}

void operator delete(void* memory) noexcept {
  if (!memory) return;
  record_free(memory);
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }
