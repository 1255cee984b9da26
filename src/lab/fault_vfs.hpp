// Fault injection below the store: an SQLite VFS that wraps the default one and counts every write,
// truncation and sync of files. For tests and benchmarks; the dispatcher does not link it.
#pragma once

#include <atomic>
#include <string>

namespace woadtide::lab {

// What happens at the Nth operation. The names are those of $WOADTIDE_FAULT, in this order.
enum class StoreFault {
  none,
  kill,  // the process gets SIGKILL before the Nth operation
  torn,  // the process gets SIGKILL after half of the bytes of the Nth operation
  dead,  // simulates kill within the test: from the Nth operation on all fail and nothing reaches the file
  tear,  // as dead, but half of the bytes of the Nth operation are written
  fail,  // the Nth operation fails, later ones succeed
  full,  // as fail, with a full disk (ENOSPC)
};

// Installs the VFS as SQLite's default; further calls do nothing.
void install_fault_vfs();
// Sets the fault and resets the count to 0. `delay_ms` is added to each sync, as of a slow disk, and before a
// kill.
void set_fault(StoreFault fault, int operation_number, double delay_ms = 0);
// Number of operations since set_fault().
int vfs_operation_count();
// Counts in `counter` from now on: in shared memory it outlives this process.
void count_operations_in(std::atomic<int>* counter);
// Sets a fault from the text form of $WOADTIDE_FAULT, KIND:N or KIND:N:DELAY_MS, such as "kill:17" or
// "none:0:5". Throws std::invalid_argument.
void set_fault(const std::string& text);

}  // namespace woadtide::lab
