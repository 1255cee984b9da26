#include "allocation_counter.hpp"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace woadtide::testing {
namespace {

constexpr std::size_t kBlockHeaderBytes = sizeof(std::size_t);  // per block, of glibc's malloc
std::atomic<std::size_t> allocated_bytes = 0;
std::atomic<std::size_t> peak_bytes = 0;
std::atomic<std::size_t> allocation_count = 0;

std::size_t size_of_block(void* block) { return malloc_usable_size(block) + kBlockHeaderBytes; }

// Two threads at once could miss a peak; these tests have only one thread.
void count_allocation(void* block) {
  allocation_count += 1;
  allocated_bytes += size_of_block(block);
  peak_bytes = std::max(peak_bytes.load(), allocated_bytes.load());
}

}  // namespace

HeapUsage heap_usage() { return {allocated_bytes, peak_bytes, allocation_count}; }
void reset_heap_peak() { peak_bytes = allocated_bytes.load(); }

}  // namespace woadtide::testing

void* operator new(std::size_t size) {
  void* const block = std::malloc(std::max<std::size_t>(size, 1));
  if (block == nullptr) throw std::bad_alloc();
  woadtide::testing::count_allocation(block);
  return block;
}

void operator delete(void* block) noexcept {
  if (block == nullptr) return;
  woadtide::testing::allocated_bytes -= woadtide::testing::size_of_block(block);
  std::free(block);
}

void operator delete(void* block, std::size_t) noexcept { operator delete(block); }
