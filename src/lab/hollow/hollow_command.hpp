// `woadtide-lab hollow`: command line of a run of hollow dispatchers.
#pragma once

namespace woadtide::lab::hollow {

// Runs the command; `argv[0]` is its name. Returns the exit code: 0 if all findings hold, else 1. Throws
// std::exception with a one-line message if an option is unusable.
int run_command(int argc, const char* const* argv);

}  // namespace woadtide::lab::hollow
