// `woadtide-lab hollow`: the command line of a hollow fleet's run.
#pragma once

namespace woadtide::lab::hollow {

// `argv[0]` is the command's name. Returns the exit code: 0 where all that is asserted holds, else 1. Throws
// std::exception, with one line, where an option cannot be used.
int run_command(int argc, const char* const* argv);

}  // namespace woadtide::lab::hollow
