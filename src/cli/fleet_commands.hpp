// `supervise` runs the parent of one dispatcher; `rollout` leads a change of the whole fleet, or asks about
// it.
#pragma once

#include <string>
#include <vector>

namespace woadtide::cli {

// The exit code. Both throw std::runtime_error with one line.
int supervise_command(const std::vector<std::string>& words);
// 0: done, or complete; 1: the change went back; 3: it is paused, or was left on its way.
int rollout_command(const std::vector<std::string>& words);

}  // namespace woadtide::cli
