// Endpoint list: service discovery's list of workers, decoded. It comes from the watch, and as `known` in the
// config file.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoint.hpp"

namespace woadtide::core {

// By the protocol, an update of service discovery is binding so long after discovery had it and could be
// reached, whether it arrived or not.
inline constexpr double kUpdateBindsAfterMs = 6'000;

// An endpoint list, or the changes of one.
struct EndpointList {
  std::int64_t seq = 0;   // sequence number at discovery
  bool complete = false;  // all endpoints; else only those that have changed
  std::vector<Endpoint> endpoints;
  // Only between sibling processes: the last time at which it was certain that discovery had no newer list,
  // in ms of the machine's monotonic clock.
  std::optional<double> as_of_monotonic_ms = {};
};

// Decodes a list. Throws std::runtime_error, with the name of the field, where the list is invalid.
EndpointList parse_endpoint_list(const nlohmann::json& object);
// Returns the list in the same format, in one line.
std::string serialize(const EndpointList& list);

}  // namespace woadtide::core
