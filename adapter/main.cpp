// Serves the line protocol of wire.hpp on standard input and output.
#include <iostream>

#include "wire.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  return woadtide::wire::serve(std::cin, std::cout, std::cerr);
}
