// Crash-safe storage of one text, which survives kills, torn writes and failed writes: the text is written to
// a new file, synced, and renamed over the old file, which is kept as the previous version. The content of
// the text is not interpreted. See README.md.
#pragma once

#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace woadtide::state {

// File system calls that can fail, with the C library's conventions: a result below 0, with errno set. Tests
// override them.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual int create(const char* path);
  virtual ssize_t write(int fd, std::string_view bytes);
  virtual int sync(int fd);
  virtual int link(const char* from, const char* to);
  virtual int rename(const char* from, const char* to);
  virtual int sync_directory(const char* path);
};
// The file system of the machine.
FileSystem& real_file_system();

// Result of reading a state file.
struct ReadResult {
  std::optional<std::string> text;  // empty if nothing was stored yet
  std::string warning;              // why the newest version could not be used; empty if it was
};

// A file that holds one text, and its previous version.
class StateFile {
 public:
  explicit StateFile(std::string path, FileSystem& file_system = real_file_system())
      : path_(std::move(path)), file_system_(file_system) {}

  // Stores the text; it is on disk once this returns. Throws std::system_error if it is not, or may not be,
  // in which case the previous text is still there.
  void write(std::string_view text);
  // Reads the newest intact version. The next write() keeps a damaged file as PATH.damaged. Throws
  // std::runtime_error if versions exist but none is intact, or if one has a newer format.
  ReadResult read() const;

 private:
  const std::string path_;
  FileSystem& file_system_;
};

}  // namespace woadtide::state
