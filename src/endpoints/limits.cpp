#include "endpoints/limits.hpp"

#include <algorithm>

namespace woadtide::endpoints {

EndpointLimits endpoint_limits(std::size_t memory_bytes_available) {
  EndpointLimits limits;
  limits.max_endpoints =
      std::max(kMinEndpoints, memory_bytes_available / kMemoryShareDivisor / kPeakBytesPerEndpoint);
  limits.max_update_bytes = limits.max_endpoints * kMaxTextBytesPerEndpoint;
  limits.max_entry_bytes = kMaxEntryBytes;
  return limits;
}

}  // namespace woadtide::endpoints
