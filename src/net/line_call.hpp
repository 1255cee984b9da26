// Client for the line protocol of management and control addresses: sends one line and reads the whole
// answer. Makes many calls in parallel with one deadline, without additional threads.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace woadtide::net {

// A call with its answer.
struct LineCall {
  std::string address, line;          // host:port; the line without its end
  std::optional<std::string> answer;  // without its last line end; nullopt if it was not complete in time
};

// Makes all calls, at most `max_parallel` at a time, and fills in the answers that are complete within
// `timeout_ms` ms in total.
void call_all(std::vector<LineCall>& calls, double timeout_ms, std::size_t max_parallel = 64);
// Makes a single call; nullopt if no complete answer came within `timeout_ms` ms.
std::optional<std::string> call_line(const std::string& to, const std::string& line, double timeout_ms);

}  // namespace woadtide::net
