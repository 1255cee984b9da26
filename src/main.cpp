// Entry point of the woadtide program.
#include "program.hpp"

int main(int argc, char** argv) { return woadtide::run_program(argc, argv); }
