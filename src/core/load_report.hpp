// A worker's load report, as PROTOCOL writes it: `name=value,name=value`.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// `x0` and `x1` are what the settings say of these values. nullopt where a pair is none, or its value is no
// finite number that a report may hold: half a report is not believed.
std::optional<woadtide::LoadReport> read_load_report(std::string_view text, const std::string& x0,
                                                     const std::string& x1);

}  // namespace woadtide::core
