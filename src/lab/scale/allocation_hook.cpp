// Replaces the global operator new and delete by ones that count. Linked into measuring programs and tests
// only, never into the dispatcher. The array and sized forms of the standard library call these.
#include <malloc.h>

#include <cstdlib>
#include <new>

#include "lab/scale/allocations.hpp"

namespace {

using woadtide::lab::scale::allocation_counters;

void note_allocated(void* memory) {
  allocation_counters.count.fetch_add(1, std::memory_order_relaxed);
  allocation_counters.live_bytes.fetch_add(static_cast<std::int64_t>(::malloc_usable_size(memory)),
                                           std::memory_order_relaxed);
}

void note_freed(void* memory) {
  allocation_counters.live_bytes.fetch_sub(static_cast<std::int64_t>(::malloc_usable_size(memory)),
                                           std::memory_order_relaxed);
}

}  // namespace

void* operator new(std::size_t size) {
  void* const memory = std::malloc(size == 0 ? 1 : size);
  if (!memory) throw std::bad_alloc();
  note_allocated(memory);
  return memory;
}

void operator delete(void* memory) noexcept {
  if (!memory) return;
  note_freed(memory);
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }
