// Size limits of the endpoint list that a process may read and hold, derived from its available memory.
#pragma once

#include <cstddef>

namespace woadtide::endpoints {

// Maximum size of one update.
struct EndpointLimits {
  std::size_t max_endpoints = 0;     // number of entries
  std::size_t max_update_bytes = 0;  // from the opening to the closing brace, including white space
  std::size_t max_entry_bytes = 0;   // text of one entry, and of any other key or value that is kept
};

// Heap bytes per endpoint whose text has the typical length (124 bytes), rounded up from the results of
// tests/endpoint_memory_test.cpp: in an EndpointTable, and in a reader including its set of names.
constexpr std::size_t kHeldBytesPerEndpoint = 288;
constexpr std::size_t kUpdateBytesPerEndpoint = 256;
// Peak heap bytes per endpoint: a snapshot in which every name is new, while the table holds the old and the
// new entries and the pointers of the delta.
constexpr std::size_t kPeakBytesPerEndpoint = 2 * kHeldBytesPerEndpoint + 32;

// Four times the typical length, so that indented lists fit.
constexpr std::size_t kMaxTextBytesPerEndpoint = 512;
constexpr std::size_t kMaxEntryBytes = 4096;
// Allowed however little memory is available.
constexpr std::size_t kMinEndpoints = 100;

// The list is sized for 1/kMemoryShareDivisor of the available memory. Text that consists only of long names
// is on the heap four times at the peak: the table holds each name as a key and in the endpoint, of both the
// old and the new list. That adds 4 * kMaxTextBytesPerEndpoint, so that even such a list stays within the
// available memory.
constexpr std::size_t kMemoryShareDivisor = 5;
static_assert(kPeakBytesPerEndpoint + 4 * kMaxTextBytesPerEndpoint <
              kMemoryShareDivisor * kPeakBytesPerEndpoint);

// Computes the limits from the bytes of memory that are available:
//
// - max_endpoints = memory_bytes_available / kMemoryShareDivisor / kPeakBytesPerEndpoint, at least
// kMinEndpoints
//
// - max_update_bytes = max_endpoints * kMaxTextBytesPerEndpoint
//
// - max_entry_bytes = kMaxEntryBytes
EndpointLimits endpoint_limits(std::size_t memory_bytes_available);

}  // namespace woadtide::endpoints
