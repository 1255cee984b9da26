// One text on the disk: through failed, torn and unsynced writes, damage, and files of a newer program.
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

struct Folder {
  Folder() {
    char name[] = "/tmp/woadtide-state-XXXXXX";
    REQUIRE(::mkdtemp(name));
    path = name;
  }
  ~Folder() { fs::remove_all(path); }
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

// Fails operation number `at`; with `cut` it also loses power there: every later call fails, and what was not
// synced is torn, and renames that no folder's sync has followed are undone.
class Unkind : public Disk {
 public:
  Unkind(int at, bool cut) : at_(at), cut_(cut) {}
  int create(const char* path) override {
    if (!goes()) return -1;
    const int fd = Disk::create(path);
    files_[fd] = path;
    unsynced_.push_back(path);
    return fd;
  }
  ssize_t write(int fd, std::string_view bytes) override {
    if (goes()) return Disk::write(fd, bytes);
    (void)Disk::write(fd, bytes.substr(0, bytes.size() / 2));  // torn
    return -1;
  }
  int sync(int fd) override {
    if (!goes()) return -1;
    std::erase(unsynced_, files_[fd]);
    return Disk::sync(fd);
  }
  int link(const char* from, const char* to) override { return goes() ? Disk::link(from, to) : -1; }
  int rename(const char* from, const char* to) override {
    if (!goes()) return -1;
    undo_.emplace_back(to, fs::exists(to) ? std::optional(contents(to)) : std::nullopt);
    for (std::string& path : unsynced_)
      if (path == from) path = to;
    return Disk::rename(from, to);
  }
  int sync_folder(const char* path) override {
    if (!goes()) return -1;
    undo_.clear();
    return Disk::sync_folder(path);
  }
  void lose_power() {
    for (auto it = undo_.rbegin(); it != undo_.rend(); ++it) {
      fs::remove(it->first);  // it may be another name of a file that stays
      if (it->second) overwrite(it->first, *it->second);
    }
    for (const std::string& path : unsynced_)
      if (fs::exists(path)) overwrite(path, contents(path).substr(0, 20));
  }
  int operations() const { return count_; }

 private:
  bool goes() {
    if (++count_ == at_) over_ = true;
    errno = ENOSPC;
    return !(count_ == at_ || (over_ && cut_));
  }
  const int at_;
  const bool cut_;
  int count_ = 0;
  bool over_ = false;
  std::map<int, std::string> files_;
  std::vector<std::string> unsynced_;
  std::vector<std::pair<std::string, std::optional<std::string>>> undo_;
};

TEST_CASE("what is written is read, by the next process too, and nothing where nothing was") {
  Folder folder;
  CHECK_FALSE(File(folder.file()).read().text);
  File file(folder.file());
  for (const std::string text : {"one", "", "three\nlines\n", "four"}) {
    file.write(text);
    const Read read = File(folder.file()).read();
    REQUIRE(read.text);
    CHECK(*read.text == text);
    CHECK(read.trouble.empty());
  }
}

// Guards that a promise is on the disk before it is given: for each operation in turn, failed alone or with
// the power gone there, the text before or the new one is read, and the new one wherever write() returned.
TEST_CASE("every operation failed in turn, and the power lost there") {
  for (const bool cut : {false, true})
    for (int at = 1; at < 100; ++at) {
      CAPTURE(cut);
      CAPTURE(at);
      Folder folder;
      File(folder.file()).write("first");
      File(folder.file()).write("second");
      Unkind disk(at, cut);
      bool written = false;
      try {
        File(folder.file(), disk).write("third");
        written = true;
      } catch (const std::system_error&) {
      }
      if (cut) disk.lose_power();
      const Read read = File(folder.file()).read();
      REQUIRE(read.text);
      if (written)
        CHECK(*read.text == "third");
      else
        CHECK((*read.text == "second" || *read.text == "third"));
      // And the next one goes as if nothing had been.
      File(folder.file()).write("fourth");
      CHECK(File(folder.file()).read().text == "fourth");
      if (disk.operations() < at) {
        CHECK(at > 6);  // all were reached
        break;
      }
    }
}

TEST_CASE("the power lost behind a write that returned loses nothing of it") {
  Folder folder;
  Unkind disk(1'000, false);
  File(folder.file(), disk).write("kept");
  disk.lose_power();
  CHECK(File(folder.file()).read().text == "kept");
}

TEST_CASE("a damaged newest falls back with a word, and never pushes out the whole one") {
  for (const int at : {0, 18, 30, 60}) {  // head and text
    Folder folder;
    File file(folder.file());
    file.write("the older text of some length");
    file.write("the newer text of some length");
    std::string bytes = contents(folder.file());
    bytes[static_cast<std::size_t>(at) % bytes.size()] ^= 1;
    overwrite(folder.file(), bytes);
    const Read read = file.read();
    CHECK(read.text == "the older text of some length");
    CHECK(read.trouble.find("damaged") != std::string::npos);
    file.write("another");
    CHECK(contents(folder.file() + ".damaged") == bytes);
    CHECK(file.read().text == "another");
    overwrite(folder.file(), "x");
    CHECK(file.read().text == "the older text of some length");
  }
  Folder folder;
  overwrite(folder.file(), "no state at all");
  CHECK_THROWS_AS(File(folder.file()).read(), std::runtime_error);
}

TEST_CASE("a file of a newer program is refused in words, and stays") {
  Folder folder;
  overwrite(folder.file(), "woadtide-state 2 0000000000000000 0\n");
  CHECK_THROWS_AS(File(folder.file()).read(), std::runtime_error);
  CHECK_THROWS_AS(File(folder.file()).write("x"), std::runtime_error);
  CHECK(contents(folder.file()).starts_with("woadtide-state 2 "));
}

}  // namespace
}  // namespace woadtide::state
