// The command line of woadtide, for the program itself and for copies of it that tests build with faults.
#pragma once

#include "node.hpp"

namespace woadtide {

// `other`: stands between the loop and the links of `serve` where the operator's file puts nothing there.
int run_program(int argc, char** argv, const Adder& other = {});

}  // namespace woadtide
