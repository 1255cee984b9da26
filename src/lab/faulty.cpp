// Linked into a copy of the dispatcher for tests: $WOADTIDE_FAULT sets what its store's files do.
#include <cstdlib>

#include "lab/fault_vfs.hpp"

namespace {
const bool installed = [] {
  if (const char* fault = std::getenv("WOADTIDE_FAULT")) {
    woadtide::lab::install_fault_vfs();
    woadtide::lab::set_fault(fault);
  }
  return true;
}();
}  // namespace
