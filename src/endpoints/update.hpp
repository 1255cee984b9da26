// One update of the endpoint list, as service discovery writes it: the whole list (a snapshot), or what has
// changed since the last update (a delta).
#pragma once

#include <cstdint>
#include <deque>

#include "core/endpoint.hpp"

namespace woadtide::endpoints {

using core::Endpoint;

// A deque, because a vector holds up to three times its content while it grows.
using EndpointSequence = std::deque<Endpoint>;

struct EndpointUpdate {
  std::int64_t sequence = 0;
  bool whole = false;
  EndpointSequence endpoints;  // names are unique; `gone` only means something in a delta
};

}  // namespace woadtide::endpoints
