// One text kept on the disk through kills, torn and refused writes: written whole to a new file, synced, and
// renamed over the old one, which is kept beside it. Knows nothing of what the text says. See README.md.
#pragma once

#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace woadtide::state {

// The calls that a disk can fail, by the C library's meaning: below 0 with errno set.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual int create(const char* path);
  virtual ssize_t write(int fd, std::string_view bytes);
  virtual int sync(int fd);
  virtual int link(const char* from, const char* to);
  virtual int rename(const char* from, const char* to);
  virtual int sync_folder(const char* path);
};
Disk& real_disk();

struct Read {
  std::optional<std::string> text;  // nothing: there is none
  std::string trouble;              // why the newest was not the one that was read; empty: it was
};

class File {
 public:
  explicit File(std::string path, Disk& disk = real_disk()) : path_(std::move(path)), disk_(disk) {}

  // Once this returns the text is on the disk. Throws std::system_error where it is not, or may not be: the
  // text before is then still there.
  void write(std::string_view text);
  // The newest whole one. A damaged file is left as it is beside the next one that is written, as
  // PATH.damaged. Throws std::runtime_error where there are some, and none of them is whole, or one is of a
  // newer format.
  Read read() const;

 private:
  const std::string path_;
  Disk& disk_;
};

}  // namespace woadtide::state
