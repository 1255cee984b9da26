// The sub-commands `supervise`, which runs the supervisor of one dispatcher, and `rollout`, which leads a
// change of the whole fleet or reports on it.
#pragma once

#include <string>
#include <vector>

namespace woadtide::cli {

// Both return the exit code and throw std::runtime_error with one line.
// Runs the supervisor until it has shut down.
int supervise_command(const std::vector<std::string>& words);
// Exit code 0: done, or the change is complete; 1: the change was rolled back; 3: it is paused or unfinished.
int rollout_command(const std::vector<std::string>& words);

}  // namespace woadtide::cli
