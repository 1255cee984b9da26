// How large an endpoint list a process may read and hold, by the memory that it has left.
#pragma once

#include <cstddef>

namespace woadtide::endpoints {

// What one update may have at most.
struct EndpointLimits {
  std::size_t max_endpoints = 0;     // in one update
  std::size_t max_update_bytes = 0;  // of text, from the opening brace to the closing one, with white space
  std::size_t max_entry_bytes = 0;   // of one entry's text, and of any other key or value that is kept
};

// Heap bytes per endpoint of typical text (124 bytes), rounded up from what tests/endpoint_memory_test.cpp
// measures: in an EndpointTable, and in a reader with its set of the names seen.
constexpr std::size_t kHeldBytesPerEndpoint = 288;
constexpr std::size_t kUpdateBytesPerEndpoint = 256;
// The most at a time: a snapshot in which every name is another. The table has the old and the new ones, and
// the pointers of the delta.
constexpr std::size_t kPeakBytesPerEndpoint = 2 * kHeldBytesPerEndpoint + 32;

// Four times the typical text, so that indented lists fit.
constexpr std::size_t kMaxTextBytesPerEndpoint = 512;
constexpr std::size_t kMaxEntryBytes = 4096;
constexpr std::size_t kMinEndpoints = 100;

// The list's part of the memory available. A text of long names only is on the heap four times at the peak:
// the table has each name as key and in the endpoint, of the old and the new list. That adds 4 *
// kMaxTextBytesPerEndpoint, so that even such a list stays within the memory available.
constexpr std::size_t kMemoryShare = 5;
static_assert(kPeakBytesPerEndpoint + 4 * kMaxTextBytesPerEndpoint < kMemoryShare * kPeakBytesPerEndpoint);

// max_endpoints    = memory_bytes_available / kMemoryShare / kPeakBytesPerEndpoint, at least kMinEndpoints
// max_update_bytes = max_endpoints * kMaxTextBytesPerEndpoint
// max_entry_bytes  = kMaxEntryBytes
EndpointLimits endpoint_limits(std::size_t memory_bytes_available);

}  // namespace woadtide::endpoints
