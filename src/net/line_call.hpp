// One line to an address, and all that comes back: how the second address and control addresses are called.
// Many at once, each within its time, without a thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace woadtide::net {

struct LineCall {
  std::string to, line;               // host:port; the line without its end
  std::optional<std::string> answer;  // without its last end of line; nothing: it did not come whole in time
};

// All of them, `at_once` at a time.
void call_all(std::vector<LineCall>& calls, double within_ms, std::size_t at_once = 64);
std::optional<std::string> call(const std::string& to, const std::string& line, double within_ms);

}  // namespace woadtide::net
