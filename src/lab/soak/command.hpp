// `woadtide-lab soak`: seeded runs of a dispatcher under faults, and a table of system-call fault runs.
#pragma once

namespace woadtide::lab::soak {

// Runs the command; argv[0] is its name. Returns the exit code: 0 if no run violated a rule, else 1.
// Throws std::exception for unusable options or a dispatcher that does not become ready.
int run_command(int argc, char** argv);

}  // namespace woadtide::lab::soak
