// Faults under the store: an SQLite VFS that stands before the machine's own and counts every write,
// truncation and sync of the files. For tests and measurements; nothing of the dispatcher links it.
#pragma once

#include <atomic>
#include <string>

namespace woadtide::lab {

enum class Fault {
  none,
  kill,  // the process ends by SIGKILL before the Nth operation
  torn,  // the process ends by SIGKILL after half of the Nth operation's bytes
  dead,  // as kill, but within the test: from the Nth operation on nothing reaches the file and all fails
  tear,  // as dead, but half of the Nth operation's bytes are written
  fail,  // the Nth operation fails, the later ones go on
  full,  // the same, by ENOSPC
};

// Becomes SQLite's default VFS; once for a process.
void install_fault_vfs();
// From here on, with the count at 0. `delay_ms` is added to each sync, for a slow disk, and
// before a kill.
void set_fault(Fault fault, int nth, double delay_ms = 0);
// Operations counted since set_fault().
int fault_operations();
// Counts there from now on: another process can read it, whatever becomes of this one.
void count_faults_in(std::atomic<int>* where);
// "kill:17", "fail:3", "none:0:5" (the third is the delay): as in $WOADTIDE_FAULT. Throws
// std::invalid_argument.
void set_fault(const std::string& text);

}  // namespace woadtide::lab
