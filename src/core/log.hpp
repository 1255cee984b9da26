// The log: one line for each event of interest, on standard error. docs/on-call.md lists the lines.
#pragma once

#include <string_view>

namespace woadtide::core {

void log_line(std::string_view text);

}  // namespace woadtide::core
