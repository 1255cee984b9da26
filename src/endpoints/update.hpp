// An update of the endpoint list, as service discovery sends it: the whole list (a snapshot), or the changes
// since the last update (a delta).
#pragma once

#include <cstdint>
#include <deque>

#include "core/endpoint.hpp"

namespace woadtide::endpoints {

using core::Endpoint;

// A deque, because a vector takes up to three times the size of its content while it grows.
using EndpointSequence = std::deque<Endpoint>;

// An update of the list. `is_snapshot`: the complete list instead of a delta.
struct EndpointUpdate {
  std::int64_t sequence = 0;
  bool is_snapshot = false;
  EndpointSequence endpoints;  // names are unique; state `gone` is only meaningful in a delta
};

}  // namespace woadtide::endpoints
