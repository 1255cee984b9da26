// Load report of a worker, in the format of the protocol: `name=value,name=value`.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// Parses a load report. `x0` and `x1` are the meanings that the settings give to the values of these names.
// Returns nullopt where any pair is malformed, or its value is not a finite number in the permitted range: a
// report is used whole or not at all.
std::optional<woadtide::LoadReport> parse_load_report(std::string_view text, const std::string& x0,
                                                      const std::string& x1);

}  // namespace woadtide::core
