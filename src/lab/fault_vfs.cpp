#include "lab/fault_vfs.hpp"

#include <sqlite3.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <thread>

namespace woadtide::lab {

namespace {

std::atomic<StoreFault> active_fault{StoreFault::none};
std::atomic<int> fault_operation{0}, own_counter{0};
std::atomic<int>* counter = &own_counter;
std::atomic<double> sync_delay_ms{0};
sqlite3_vfs* base_vfs = nullptr;

struct File {
  sqlite3_file base;
  // followed in memory by the file of the wrapped VFS
};
sqlite3_file* base_file(sqlite3_file* file) {
  return reinterpret_cast<sqlite3_file*>(reinterpret_cast<File*>(file) + 1);
}

// Delays like a slow disk, then kills the process. Within the delay an answer that was sent before its record
// was stored reaches the client, so that the fault is detected.
void delay_then_kill() {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(sync_delay_ms.load()));
  std::raise(SIGKILL);
}

enum class Outcome { pass, half_written, io_error, disk_full };

Outcome next_outcome() {
  const int number = counter->fetch_add(1) + 1, target = fault_operation;
  switch (active_fault) {
    case StoreFault::none:
      return Outcome::pass;
    case StoreFault::kill:
      if (number == target) delay_then_kill();
      return Outcome::pass;
    case StoreFault::torn:
      return number == target ? Outcome::half_written : Outcome::pass;
    case StoreFault::dead:
      return number < target ? Outcome::pass : Outcome::io_error;
    case StoreFault::tear:
      return number < target ? Outcome::pass : number == target ? Outcome::half_written : Outcome::io_error;
    case StoreFault::fail:
      return number == target ? Outcome::io_error : Outcome::pass;
    case StoreFault::full:
      return number == target ? Outcome::disk_full : Outcome::pass;
  }
  return Outcome::pass;
}

int close_file(sqlite3_file* file) { return base_file(file)->pMethods->xClose(base_file(file)); }
int read_file(sqlite3_file* file, void* to, int size, sqlite3_int64 at) {
  return base_file(file)->pMethods->xRead(base_file(file), to, size, at);
}
int write_file(sqlite3_file* file, const void* from, int size, sqlite3_int64 at) {
  const auto write = [&](int count) {
    return base_file(file)->pMethods->xWrite(base_file(file), from, count, at);
  };
  switch (next_outcome()) {
    case Outcome::pass:
      return write(size);
    case Outcome::half_written:
      write(size / 2);
      if (active_fault == StoreFault::torn) delay_then_kill();
      return SQLITE_IOERR_WRITE;
    case Outcome::io_error:
      return SQLITE_IOERR_WRITE;
    case Outcome::disk_full:
      return SQLITE_FULL;
  }
  return SQLITE_IOERR_WRITE;
}
int truncate_file(sqlite3_file* file, sqlite3_int64 size) {
  const Outcome outcome = next_outcome();
  if (outcome == Outcome::half_written && active_fault == StoreFault::torn) delay_then_kill();
  return outcome == Outcome::pass ? base_file(file)->pMethods->xTruncate(base_file(file), size)
                                  : SQLITE_IOERR_TRUNCATE;
}
int sync_file(sqlite3_file* file, int flags) {
  const Outcome outcome = next_outcome();
  if (outcome == Outcome::half_written && active_fault == StoreFault::torn) delay_then_kill();
  if (outcome != Outcome::pass) return SQLITE_IOERR_FSYNC;
  const double ms = sync_delay_ms;
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  return base_file(file)->pMethods->xSync(base_file(file), flags);
}
int file_size(sqlite3_file* file, sqlite3_int64* size) {
  return base_file(file)->pMethods->xFileSize(base_file(file), size);
}
int lock_file(sqlite3_file* file, int level) {
  return base_file(file)->pMethods->xLock(base_file(file), level);
}
int unlock_file(sqlite3_file* file, int level) {
  return base_file(file)->pMethods->xUnlock(base_file(file), level);
}
int check_reserved_lock(sqlite3_file* file, int* result) {
  return base_file(file)->pMethods->xCheckReservedLock(base_file(file), result);
}
int file_control(sqlite3_file* file, int op, void* arg) {
  return base_file(file)->pMethods->xFileControl(base_file(file), op, arg);
}
int sector_size(sqlite3_file* file) { return base_file(file)->pMethods->xSectorSize(base_file(file)); }
int device_characteristics(sqlite3_file* file) {
  return base_file(file)->pMethods->xDeviceCharacteristics(base_file(file));
}

// Version 1 has no shared memory, which a store that locks its file exclusively does not need.
const sqlite3_io_methods kIoMethods = {1,
                                       close_file,
                                       read_file,
                                       write_file,
                                       truncate_file,
                                       sync_file,
                                       file_size,
                                       lock_file,
                                       unlock_file,
                                       check_reserved_lock,
                                       file_control,
                                       sector_size,
                                       device_characteristics,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr};

int open_file(sqlite3_vfs*, const char* name, sqlite3_file* file, int flags, int* result) {
  file->pMethods = nullptr;
  const int code = base_vfs->xOpen(base_vfs, name, base_file(file), flags, result);
  if (base_file(file)->pMethods) file->pMethods = &kIoMethods;
  return code;
}

}  // namespace

void install_fault_vfs() {
  static sqlite3_vfs fault_vfs;
  if (base_vfs) return;
  base_vfs = sqlite3_vfs_find(nullptr);
  fault_vfs = *base_vfs;
  fault_vfs.zName = "woadtide-faults";
  fault_vfs.szOsFile = static_cast<int>(sizeof(File)) + base_vfs->szOsFile;
  fault_vfs.pNext = nullptr;
  fault_vfs.xOpen = open_file;
  // The other methods use the VFS pointer only for the data of the wrapped VFS.
  if (sqlite3_vfs_register(&fault_vfs, 1) != SQLITE_OK)
    throw std::runtime_error("the fault VFS cannot be registered");
}

void set_fault(StoreFault new_fault, int operation_number, double delay_ms) {
  active_fault = StoreFault::none;
  fault_operation = operation_number;
  *counter = 0;
  sync_delay_ms = delay_ms;
  active_fault = new_fault;
}

int vfs_operation_count() { return *counter; }

void count_operations_in(std::atomic<int>* counter_location) { counter = counter_location; }

void set_fault(const std::string& text) {
  constexpr std::array<const char*, 7> names = {"none", "kill", "torn", "dead", "tear", "fail", "full"};
  const auto first_colon = text.find(':');
  if (first_colon == std::string::npos)
    throw std::invalid_argument("expected a fault as KIND:N or KIND:N:DELAY");
  const auto second_colon = text.find(':', first_colon + 1);
  for (std::size_t i = 0; i < names.size(); ++i)
    if (text.substr(0, first_colon) == names[i])
      return set_fault(static_cast<StoreFault>(i), std::stoi(text.substr(first_colon + 1)),
                       second_colon == std::string::npos ? 0 : std::stod(text.substr(second_colon + 1)));
  throw std::invalid_argument("unknown kind of fault: " + text);
}

}  // namespace woadtide::lab
