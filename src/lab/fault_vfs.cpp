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

std::atomic<Fault> fault{Fault::none};
std::atomic<int> wanted{0}, own_count{0};
std::atomic<int>* counted = &own_count;
std::atomic<double> delay{0};
sqlite3_vfs* real = nullptr;

struct File {
  sqlite3_file base;
  // Behind it lies the real VFS's own file.
};
sqlite3_file* inner(sqlite3_file* file) {
  return reinterpret_cast<sqlite3_file*>(reinterpret_cast<File*>(file) + 1);
}

// A disk that hangs, and then the end: what was let out too early has the time to arrive.
void die() {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(delay.load()));
  std::raise(SIGKILL);
}

enum class Verdict { pass, half, refuse, no_room };

Verdict next() {
  const int now = counted->fetch_add(1) + 1, nth = wanted;
  switch (fault) {
    case Fault::none:
      return Verdict::pass;
    case Fault::kill:
      if (now == nth) die();
      return Verdict::pass;
    case Fault::torn:
      return now == nth ? Verdict::half : Verdict::pass;
    case Fault::dead:
      return now < nth ? Verdict::pass : Verdict::refuse;
    case Fault::tear:
      return now < nth ? Verdict::pass : now == nth ? Verdict::half : Verdict::refuse;
    case Fault::fail:
      return now == nth ? Verdict::refuse : Verdict::pass;
    case Fault::full:
      return now == nth ? Verdict::no_room : Verdict::pass;
  }
  return Verdict::pass;
}

int close_file(sqlite3_file* file) { return inner(file)->pMethods->xClose(inner(file)); }
int read_file(sqlite3_file* file, void* to, int size, sqlite3_int64 at) {
  return inner(file)->pMethods->xRead(inner(file), to, size, at);
}
int write_file(sqlite3_file* file, const void* from, int size, sqlite3_int64 at) {
  const auto write = [&](int count) { return inner(file)->pMethods->xWrite(inner(file), from, count, at); };
  switch (next()) {
    case Verdict::pass:
      return write(size);
    case Verdict::half:
      write(size / 2);
      if (fault == Fault::torn) die();
      return SQLITE_IOERR_WRITE;
    case Verdict::refuse:
      return SQLITE_IOERR_WRITE;
    case Verdict::no_room:
      return SQLITE_FULL;
  }
  return SQLITE_IOERR_WRITE;
}
int truncate_file(sqlite3_file* file, sqlite3_int64 size) {
  const Verdict verdict = next();
  if (verdict == Verdict::half && fault == Fault::torn) die();
  return verdict == Verdict::pass ? inner(file)->pMethods->xTruncate(inner(file), size)
                                  : SQLITE_IOERR_TRUNCATE;
}
int sync_file(sqlite3_file* file, int flags) {
  const Verdict verdict = next();
  if (verdict == Verdict::half && fault == Fault::torn) die();
  if (verdict != Verdict::pass) return SQLITE_IOERR_FSYNC;
  const double ms = delay;
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  return inner(file)->pMethods->xSync(inner(file), flags);
}
int size_of(sqlite3_file* file, sqlite3_int64* size) {
  return inner(file)->pMethods->xFileSize(inner(file), size);
}
int lock_file(sqlite3_file* file, int level) { return inner(file)->pMethods->xLock(inner(file), level); }
int unlock_file(sqlite3_file* file, int level) { return inner(file)->pMethods->xUnlock(inner(file), level); }
int reserved(sqlite3_file* file, int* out) {
  return inner(file)->pMethods->xCheckReservedLock(inner(file), out);
}
int control(sqlite3_file* file, int op, void* arg) {
  return inner(file)->pMethods->xFileControl(inner(file), op, arg);
}
int sector(sqlite3_file* file) { return inner(file)->pMethods->xSectorSize(inner(file)); }
int traits(sqlite3_file* file) { return inner(file)->pMethods->xDeviceCharacteristics(inner(file)); }

// Version 1: no shared memory, which a store that holds its file alone does not need.
const sqlite3_io_methods kMethods = {1,         close_file, read_file, write_file,  truncate_file,
                                     sync_file, size_of,    lock_file, unlock_file, reserved,
                                     control,   sector,     traits,    nullptr,     nullptr,
                                     nullptr,   nullptr,    nullptr,   nullptr};

int open_file(sqlite3_vfs*, const char* name, sqlite3_file* file, int flags, int* out) {
  file->pMethods = nullptr;
  const int code = real->xOpen(real, name, inner(file), flags, out);
  if (inner(file)->pMethods) file->pMethods = &kMethods;
  return code;
}

}  // namespace

void install_fault_vfs() {
  static sqlite3_vfs ours;
  if (real) return;
  real = sqlite3_vfs_find(nullptr);
  ours = *real;
  ours.zName = "woadtide-faults";
  ours.szOsFile = static_cast<int>(sizeof(File)) + real->szOsFile;
  ours.pNext = nullptr;
  ours.xOpen = open_file;
  // The other calls take our VFS's pointer for the real one's data alone.
  if (sqlite3_vfs_register(&ours, 1) != SQLITE_OK) throw std::runtime_error("the fault VFS was not taken");
}

void set_fault(Fault wanted_fault, int nth, double delay_ms) {
  fault = Fault::none;
  wanted = nth;
  *counted = 0;
  delay = delay_ms;
  fault = wanted_fault;
}

int fault_operations() { return *counted; }

void count_faults_in(std::atomic<int>* where) { counted = where; }

void set_fault(const std::string& text) {
  constexpr std::array<const char*, 7> names = {"none", "kill", "torn", "dead", "tear", "fail", "full"};
  const auto colon = text.find(':');
  if (colon == std::string::npos) throw std::invalid_argument("a fault is KIND:N or KIND:N:DELAY");
  const auto again = text.find(':', colon + 1);
  for (std::size_t i = 0; i < names.size(); ++i)
    if (text.substr(0, colon) == names[i])
      return set_fault(static_cast<Fault>(i), std::stoi(text.substr(colon + 1)),
                       again == std::string::npos ? 0 : std::stod(text.substr(again + 1)));
  throw std::invalid_argument("no such fault: " + text);
}

}  // namespace woadtide::lab
