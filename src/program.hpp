// Command line of woadtide, shared by the program itself and by the fault-injecting builds that tests use.
#pragma once

#include "node.hpp"

namespace woadtide {

// Parses the arguments and runs the command; returns the process's exit status. `default_extension`:
// extension of the node that `serve` runs, used if the operator's file enables none.
int run_program(int argc, char** argv, const ExtensionFactory& default_extension = {});

}  // namespace woadtide
