// Discovery's list of workers, decoded: it comes from the watch, and as `known` in the config.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoint.hpp"

namespace woadtide::core {

// PROTOCOL: what discovery has to tell counts as told so long after it had it and could be reached, whether
// it arrived or not.
inline constexpr double kToldWithinMs = 6'000;

using Host = Endpoint;  // its earlier name, which the discovery client still uses

struct HostList {
  std::int64_t seq = 0;
  bool whole = false;
  std::vector<Host> hosts;
  // Between processes of one dispatcher: when discovery could last tell nothing newer, in ms of the machine's
  // monotonic clock.
  std::optional<double> as_of_monotonic_ms = {};
};

// Throws std::runtime_error, naming the field, where the list is not what discovery may write.
HostList read_host_list(const nlohmann::json& object);
// In the same form, on one line.
std::string text_of(const HostList& list);

}  // namespace woadtide::core
