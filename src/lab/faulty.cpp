// Linked into a copy of the dispatcher for tests. $WOADTIDE_FAULT sets the fault of the store's files, and
// the file named by $WOADTIDE_FAULT_COUNT holds the number of operations so far, as an int.
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>

#include "lab/fault_vfs.hpp"

namespace {

void map_operation_count(const char* path) {
  const int fd = ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || ::ftruncate(fd, sizeof(std::atomic<int>)) != 0) std::abort();
  void* mapping = ::mmap(nullptr, sizeof(std::atomic<int>), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (mapping == MAP_FAILED) std::abort();
  woadtide::lab::count_operations_in(static_cast<std::atomic<int>*>(mapping));
}

const bool installed = [] {
  if (const char* path = std::getenv("WOADTIDE_FAULT_COUNT")) map_operation_count(path);
  if (const char* fault = std::getenv("WOADTIDE_FAULT")) {
    woadtide::lab::install_fault_vfs();
    woadtide::lab::set_fault(fault);
  }
  return true;
}();

}  // namespace
