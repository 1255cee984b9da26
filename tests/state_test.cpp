// Tests of the state file: failed, torn and unsynced writes, damaged files, and files of a newer format.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "state/state.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <system_error>
#include <vector>

namespace woadtide::state {
namespace {

namespace fs = std::filesystem;

struct TemporaryDirectory {
  TemporaryDirectory() {
    char name[] = "/tmp/woadtide-state-XXXXXX";
    REQUIRE(::mkdtemp(name));
    path = name;
  }
  ~TemporaryDirectory() { fs::remove_all(path); }
  std::string file() const { return path + "/state"; }
  std::string path;
};

std::string contents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}
void overwrite(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

// Fails the operation with number `failing_operation`. With `power_loss` the power is lost there too: every
// later call fails, and lose_power() truncates what was not synced and undoes renames that no sync of the
// directory followed.
class FaultInjectingFileSystem : public FileSystem {
 public:
  FaultInjectingFileSystem(int failing_operation, bool power_loss)
      : failing_operation_(failing_operation), loses_power_(power_loss) {}
  int create(const char* path) override {
    if (!next_call_succeeds()) return -1;
    const int fd = FileSystem::create(path);
    files_[fd] = path;
    unsynced_.push_back(path);
    return fd;
  }
  ssize_t write(int fd, std::string_view bytes) override {
    if (next_call_succeeds()) return FileSystem::write(fd, bytes);
    (void)FileSystem::write(fd, bytes.substr(0, bytes.size() / 2));  // torn write
    return -1;
  }
  int sync(int fd) override {
    if (!next_call_succeeds()) return -1;
    std::erase(unsynced_, files_[fd]);
    return FileSystem::sync(fd);
  }
  int link(const char* from, const char* to) override {
    return next_call_succeeds() ? FileSystem::link(from, to) : -1;
  }
  int rename(const char* from, const char* to) override {
    if (!next_call_succeeds()) return -1;
    unsynced_renames_.emplace_back(to, fs::exists(to) ? std::optional(contents(to)) : std::nullopt);
    for (std::string& path : unsynced_)
      if (path == from) path = to;
    return FileSystem::rename(from, to);
  }
  int sync_directory(const char* path) override {
    if (!next_call_succeeds()) return -1;
    unsynced_renames_.clear();
    return FileSystem::sync_directory(path);
  }
  void lose_power() {
    for (auto it = unsynced_renames_.rbegin(); it != unsynced_renames_.rend(); ++it) {
      fs::remove(it->first);  // removed first, because it may be a hard link to a file that must not change
      if (it->second) overwrite(it->first, *it->second);
    }
    for (const std::string& path : unsynced_)
      if (fs::exists(path)) overwrite(path, contents(path).substr(0, 20));
  }
  int operations() const { return operation_count_; }

 private:
  bool next_call_succeeds() {
    if (++operation_count_ == failing_operation_) failed_ = true;
    errno = ENOSPC;
    return !(operation_count_ == failing_operation_ || (failed_ && loses_power_));
  }
  const int failing_operation_;
  const bool loses_power_;
  int operation_count_ = 0;
  bool failed_ = false;
  std::map<int, std::string> files_;
  std::vector<std::string> unsynced_;
  std::vector<std::pair<std::string, std::optional<std::string>>> unsynced_renames_;
};

TEST_CASE("a written text is read back, also by the next process, and a missing file gives no text") {
  TemporaryDirectory directory;
  CHECK_FALSE(StateFile(directory.file()).read().text);
  StateFile file(directory.file());
  for (const std::string text : {"one", "", "three\nlines\n", "four"}) {
    file.write(text);
    const ReadResult read = StateFile(directory.file()).read();
    REQUIRE(read.text);
    CHECK(*read.text == text);
    CHECK(read.warning.empty());
  }
}

// Guards against a text that is reported as stored before it is on disk. Each operation in turn fails, alone
// or with a power loss: afterwards the previous or the new text is read, and the new one if write() returned.
TEST_CASE("each operation fails in turn, with and without a power loss") {
  for (const bool power_loss : {false, true})
    for (int failing_operation = 1; failing_operation < 100; ++failing_operation) {
      CAPTURE(power_loss);
      CAPTURE(failing_operation);
      TemporaryDirectory directory;
      StateFile(directory.file()).write("first");
      StateFile(directory.file()).write("second");
      FaultInjectingFileSystem file_system(failing_operation, power_loss);
      bool written = false;
      try {
        StateFile(directory.file(), file_system).write("third");
        written = true;
      } catch (const std::system_error&) {
      }
      if (power_loss) file_system.lose_power();
      const ReadResult read = StateFile(directory.file()).read();
      REQUIRE(read.text);
      if (written)
        CHECK(*read.text == "third");
      else
        CHECK((*read.text == "second" || *read.text == "third"));
      // The next write succeeds as usual.
      StateFile(directory.file()).write("fourth");
      CHECK(StateFile(directory.file()).read().text == "fourth");
      if (file_system.operations() < failing_operation) {
        CHECK(failing_operation > 6);  // every operation was reached
        break;
      }
    }
}

TEST_CASE("a power loss after write() has returned loses nothing") {
  TemporaryDirectory directory;
  FaultInjectingFileSystem file_system(1'000, false);
  StateFile(directory.file(), file_system).write("kept");
  file_system.lose_power();
  CHECK(StateFile(directory.file()).read().text == "kept");
}

TEST_CASE("a damaged newest version falls back with a warning, and never replaces an intact version") {
  for (const int byte_position : {0, 18, 30, 60}) {  // positions in the header and in the text
    TemporaryDirectory directory;
    StateFile file(directory.file());
    file.write("the older text of some length");
    file.write("the newer text of some length");
    std::string bytes = contents(directory.file());
    bytes[static_cast<std::size_t>(byte_position) % bytes.size()] ^= 1;
    overwrite(directory.file(), bytes);
    const ReadResult read = file.read();
    CHECK(read.text == "the older text of some length");
    CHECK(read.warning.find("damaged") != std::string::npos);
    file.write("another");
    CHECK(contents(directory.file() + ".damaged") == bytes);
    CHECK(file.read().text == "another");
    overwrite(directory.file(), "x");
    CHECK(file.read().text == "the older text of some length");
  }
  TemporaryDirectory directory;
  overwrite(directory.file(), "no state at all");
  CHECK_THROWS_AS(StateFile(directory.file()).read(), std::runtime_error);
}

TEST_CASE("a file of a newer format is rejected and left unchanged") {
  TemporaryDirectory directory;
  overwrite(directory.file(), "woadtide-state 2 0000000000000000 0\n");
  CHECK_THROWS_AS(StateFile(directory.file()).read(), std::runtime_error);
  CHECK_THROWS_AS(StateFile(directory.file()).write("x"), std::runtime_error);
  CHECK(contents(directory.file()).starts_with("woadtide-state 2 "));
}

}  // namespace
}  // namespace woadtide::state
