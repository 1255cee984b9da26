#include "state/state.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include "park/fd.hpp"

namespace woadtide::state {

namespace {

constexpr int kFormat = 1;

std::string folder_of(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash);
}

// Format, checksum, length: then the text.
std::string head_of(std::string_view text) {
  char head[80];
  std::snprintf(head, sizeof head, "woadtide-state %d %016" PRIx64 " %zu\n", kFormat,
                static_cast<std::uint64_t>(XXH3_64bits(text.data(), text.size())), text.size());
  return head;
}

enum class What { whole, missing, damaged };
What read_one(const std::string& path, std::string& text) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return What::missing;
  const std::string all{std::istreambuf_iterator<char>(file), {}};
  const std::size_t end = all.find('\n');
  int format = 0;
  if (end == std::string::npos || std::sscanf(all.c_str(), "woadtide-state %d ", &format) != 1)
    return What::damaged;
  if (format > kFormat)
    throw std::runtime_error(path + ": has format " + std::to_string(format) + ", this program reads up to " +
                             std::to_string(kFormat));
  text = all.substr(end + 1);
  return all.substr(0, end + 1) == head_of(text) ? What::whole : What::damaged;
}

}  // namespace

int Disk::create(const char* path) { return ::open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600); }
ssize_t Disk::write(int fd, std::string_view bytes) { return ::write(fd, bytes.data(), bytes.size()); }
int Disk::sync(int fd) { return ::fdatasync(fd); }
int Disk::link(const char* from, const char* to) { return ::link(from, to); }
int Disk::rename(const char* from, const char* to) { return ::rename(from, to); }
int Disk::sync_folder(const char* path) {
  const park::Fd folder(::open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return folder ? ::fsync(folder.get()) : -1;
}

Disk& real_disk() {
  static Disk disk;
  return disk;
}

void File::write(std::string_view text) {
  const auto fail = [this](const char* what) {
    throw std::system_error(errno, std::generic_category(), path_ + ": " + what);
  };
  const std::string fresh = path_ + ".new", before = path_ + ".before", spare = path_ + ".spare";
  const std::string all = head_of(text) + std::string(text);
  {
    const park::Fd fd(disk_.create(fresh.c_str()));
    if (!fd) fail("cannot be made");
    for (std::size_t at = 0; at < all.size();) {
      const ssize_t went = disk_.write(fd.get(), std::string_view(all).substr(at));
      if (went < 0 && errno == EINTR) continue;
      if (went < 0) fail("cannot be written");
      at += static_cast<std::size_t>(went);
    }
    if (disk_.sync(fd.get()) != 0) fail("cannot be synced");
  }
  // The one that stood so far stays as well, but a damaged one must not push out a whole one.
  std::string old;
  const What stood = read_one(path_, old);
  std::error_code ignored;
  if (stood == What::whole) {
    std::filesystem::remove(spare, ignored);
    if (disk_.link(path_.c_str(), spare.c_str()) != 0) fail("cannot be kept");
    if (disk_.rename(spare.c_str(), before.c_str()) != 0) fail("cannot be kept");
  } else if (stood == What::damaged) {
    std::filesystem::rename(path_, path_ + ".damaged", ignored);
  }
  if (disk_.rename(fresh.c_str(), path_.c_str()) != 0) fail("cannot be put in place");
  if (disk_.sync_folder(folder_of(path_).c_str()) != 0) fail("its folder cannot be synced");
}

Read File::read() const {
  Read read;
  std::string text;
  const What newest = read_one(path_, text);
  if (newest == What::whole) return {text, {}};
  const What older = read_one(path_ + ".before", text);
  if (older == What::whole) {
    read.text = text;
    read.trouble =
        path_ + (newest == What::damaged ? " is damaged" : " is gone") + ": the one before it is used";
    return read;
  }
  if (newest == What::damaged || older == What::damaged)
    throw std::runtime_error(path_ + ": damaged, and no older one is whole");
  return read;
}

}  // namespace woadtide::state
