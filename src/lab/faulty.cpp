// Linked into a copy of the dispatcher for tests: $WOADTIDE_FAULT sets what its store's files do, and the
// file that $WOADTIDE_FAULT_COUNT names holds the number of operations so far, as an int.
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>

#include "lab/fault_vfs.hpp"

namespace {

void count_in(const char* path) {
  const int fd = ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || ::ftruncate(fd, sizeof(std::atomic<int>)) != 0) std::abort();
  void* page = ::mmap(nullptr, sizeof(std::atomic<int>), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (page == MAP_FAILED) std::abort();
  woadtide::lab::count_faults_in(static_cast<std::atomic<int>*>(page));
}

const bool installed = [] {
  if (const char* path = std::getenv("WOADTIDE_FAULT_COUNT")) count_in(path);
  if (const char* fault = std::getenv("WOADTIDE_FAULT")) {
    woadtide::lab::install_fault_vfs();
    woadtide::lab::set_fault(fault);
  }
  return true;
}();

}  // namespace
