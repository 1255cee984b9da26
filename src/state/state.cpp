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

constexpr int kFormatVersion = 1;

std::string directory_of(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash);
}

// Header of the file: format version, checksum and length. The text follows.
std::string header_of(std::string_view text) {
  char header[80];
  std::snprintf(header, sizeof header, "woadtide-state %d %016" PRIx64 " %zu\n", kFormatVersion,
                static_cast<std::uint64_t>(XXH3_64bits(text.data(), text.size())), text.size());
  return header;
}

enum class FileStatus { intact, missing, damaged };
FileStatus read_file(const std::string& path, std::string& text) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return FileStatus::missing;
  const std::string file_bytes{std::istreambuf_iterator<char>(file), {}};
  const std::size_t header_end = file_bytes.find('\n');
  int format = 0;
  if (header_end == std::string::npos || std::sscanf(file_bytes.c_str(), "woadtide-state %d ", &format) != 1)
    return FileStatus::damaged;
  if (format > kFormatVersion)
    throw std::runtime_error(path + ": has format " + std::to_string(format) + ", this program reads up to " +
                             std::to_string(kFormatVersion));
  text = file_bytes.substr(header_end + 1);
  return file_bytes.substr(0, header_end + 1) == header_of(text) ? FileStatus::intact : FileStatus::damaged;
}

}  // namespace

int FileSystem::create(const char* path) {
  return ::open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
}
ssize_t FileSystem::write(int fd, std::string_view bytes) { return ::write(fd, bytes.data(), bytes.size()); }
int FileSystem::sync(int fd) { return ::fdatasync(fd); }
int FileSystem::link(const char* from, const char* to) { return ::link(from, to); }
int FileSystem::rename(const char* from, const char* to) { return ::rename(from, to); }
int FileSystem::sync_directory(const char* path) {
  const park::Fd directory(::open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return directory ? ::fsync(directory.get()) : -1;
}

FileSystem& real_file_system() {
  static FileSystem file_system;
  return file_system;
}

void StateFile::write(std::string_view text) {
  const auto fail = [this](const char* problem) {
    throw std::system_error(errno, std::generic_category(), path_ + ": " + problem);
  };
  const std::string new_path = path_ + ".new", previous_path = path_ + ".before",
                    spare_path = path_ + ".spare";
  const std::string file_bytes = header_of(text) + std::string(text);
  {
    const park::Fd fd(file_system_.create(new_path.c_str()));
    if (!fd) fail("cannot be created");
    for (std::size_t offset = 0; offset < file_bytes.size();) {
      const ssize_t written_bytes = file_system_.write(fd.get(), std::string_view(file_bytes).substr(offset));
      if (written_bytes < 0 && errno == EINTR) continue;
      if (written_bytes < 0) fail("cannot be written");
      offset += static_cast<std::size_t>(written_bytes);
    }
    if (file_system_.sync(fd.get()) != 0) fail("cannot be synced");
  }
  // The current version is kept as the previous one, unless it is damaged: a damaged file must not replace an
  // intact previous version.
  std::string current_text;
  const FileStatus current_status = read_file(path_, current_text);
  std::error_code ignored;
  if (current_status == FileStatus::intact) {
    std::filesystem::remove(spare_path, ignored);
    if (file_system_.link(path_.c_str(), spare_path.c_str()) != 0)
      fail("cannot be kept as the previous version");
    if (file_system_.rename(spare_path.c_str(), previous_path.c_str()) != 0)
      fail("cannot be kept as the previous version");
  } else if (current_status == FileStatus::damaged) {
    std::filesystem::rename(path_, path_ + ".damaged", ignored);
  }
  if (file_system_.rename(new_path.c_str(), path_.c_str()) != 0) fail("cannot be renamed into place");
  if (file_system_.sync_directory(directory_of(path_).c_str()) != 0) fail("its directory cannot be synced");
}

ReadResult StateFile::read() const {
  ReadResult read;
  std::string text;
  const FileStatus newest_status = read_file(path_, text);
  if (newest_status == FileStatus::intact) return {text, {}};
  const FileStatus previous_status = read_file(path_ + ".before", text);
  if (previous_status == FileStatus::intact) {
    read.text = text;
    read.warning = path_ + (newest_status == FileStatus::damaged ? " is damaged" : " is missing") +
                   ": using the previous version";
    return read;
  }
  if (newest_status == FileStatus::damaged || previous_status == FileStatus::damaged)
    throw std::runtime_error(path_ + ": damaged, and no previous version is intact");
  return read;
}

}  // namespace woadtide::state
