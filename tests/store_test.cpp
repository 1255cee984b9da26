// The store with injected faults: a kill, a failure or a torn write at each operation in turn, until a run
// completes before the fault occurs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "store/store.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "lab/fault_vfs.hpp"

namespace woadtide::store {
namespace {

using lab::StoreFault;

struct TempFolder {
  TempFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "woadtide-store-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    path = name;
    lab::install_fault_vfs();
    lab::set_fault(StoreFault::none, 0);
  }
  ~TempFolder() {
    lab::set_fault(StoreFault::none, 0);
    std::filesystem::remove_all(path);
  }
  Store open() const { return Store({path, 64ULL << 20, true}); }
  std::string path;
};

Record make_record(const std::string& key, const std::string& meta, bool open = true, double changed = 1) {
  return {key, meta, open ? RecordState::open : RecordState::closed, changed, {}, {}};
}

// The meta of each record by key. run_commits() keeps two: what was confirmed to be on disk, and the same
// including the commit in progress.
using MetaByKey = std::map<std::string, std::string>;
constexpr int kCommitCount = 12;

void run_commits(const std::string& path, MetaByKey& confirmed, MetaByKey& in_progress) {
  Store store({path, 64ULL << 20, true});
  for (int round = 0; round < kCommitCount; ++round) {
    const std::string first = "a" + std::to_string(round % 3), second = "b" + std::to_string(round);
    const std::string meta = "m" + std::to_string(round);
    in_progress = confirmed;
    in_progress[first] = in_progress[second] = meta;
    Record large = make_record(second, meta, round % 2 == 0, round);
    large.body = std::string(6'000, static_cast<char>('a' + round));
    store.append({make_record(first, meta), large});
    confirmed = in_progress;
    if (round == 8) store.compact(0, 100);
  }
}

MetaByKey read_all(Store& store) {
  MetaByKey found;
  for (const char group : {'a', 'b'})
    for (int i = 0; i < kCommitCount; ++i) {
      const std::string key = group + std::to_string(i);
      if (const auto stored = store.find(key)) {
        found[key] = stored->meta;
        if (group == 'b') CHECK(store.body(key) == std::string(6'000, static_cast<char>('a' + i)));
      }
    }
  return found;
}

// Injects the fault at the Nth operation for every N: confirmed commits stay, the one in progress is stored
// completely or not at all.
void check_fault_at_every_operation(StoreFault fault) {
  int completed_at = 0;
  for (int nth = 1; completed_at == 0; ++nth) {
    CAPTURE(nth);
    REQUIRE(nth < 500);
    TempFolder folder;
    MetaByKey confirmed, in_progress;
    lab::set_fault(fault, nth);
    try {
      run_commits(folder.path, confirmed, in_progress);
    } catch (const StoreError&) {
    }
    if (lab::vfs_operation_count() < nth) completed_at = nth;
    lab::set_fault(StoreFault::none, 0);
    Store store = folder.open();
    store.check();
    const MetaByKey found = read_all(store);
    CHECK((found == confirmed || found == in_progress));
    if (completed_at) CHECK(found.size() == 3 + kCommitCount);
  }
  CHECK(completed_at > 40);
}

TEST_CASE("a crash before any operation keeps committed records and leaves no partial commit") {
  check_fault_at_every_operation(StoreFault::dead);
}
TEST_CASE("a torn write at any operation keeps committed records and leaves no partial commit") {
  check_fault_at_every_operation(StoreFault::tear);
}
TEST_CASE("a failure of any operation keeps committed records and leaves no partial commit") {
  check_fault_at_every_operation(StoreFault::fail);
}
TEST_CASE("a full disk at any operation keeps committed records and leaves no partial commit") {
  check_fault_at_every_operation(StoreFault::full);
}

TEST_CASE("after a failed commit the store refuses everything until it is opened again") {
  TempFolder folder;
  Store store = folder.open();
  store.append({make_record("k", "one")});
  lab::set_fault(StoreFault::fail, 1);
  CHECK_THROWS_AS(store.append({make_record("k", "two")}), StoreError);
  lab::set_fault(StoreFault::none, 0);
  CHECK_THROWS_AS(store.find("k"), StoreError);
  CHECK_THROWS_AS(store.append({make_record("l", "x")}), StoreError);
}

TEST_CASE("opening a store that is already open fails with a one-line error") {
  TempFolder folder;
  Store store = folder.open();
  try {
    folder.open();
    FAIL("the store was opened twice");
  } catch (const StoreError& error) {
    CHECK(error.kind == ErrorKind::locked);
    CHECK(std::string(error.what()).find('\n') == std::string::npos);
  }
}

// Overwrites some bytes of the file, as a faulty disk might.
void corrupt(const std::string& path, const std::string& text, const std::string& replacement) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  std::string content((std::istreambuf_iterator<char>(file)), {});
  const auto position = content.find(text);
  REQUIRE(position != std::string::npos);
  file.clear();
  file.seekp(static_cast<std::streamoff>(position));
  file << replacement;
}

TEST_CASE("a changed byte is reported with its key, and a newer or foreign file is refused") {
  TempFolder folder;
  folder.open().append({make_record("some-key", "meta-of-it")});
  const std::string path = folder.path + "/jobs.db";
  corrupt(path, "meta-of-it", "meta-of-XX");
  {
    Store store = folder.open();
    try {
      store.find("some-key");
      FAIL("the checksum was not verified");
    } catch (const StoreError& error) {
      CHECK(error.kind == ErrorKind::damaged);
      CHECK(std::string(error.what()).find("some-key") != std::string::npos);
    }
  }
  const auto open_error = [&] {
    try {
      folder.open();
      return ErrorKind::failed;
    } catch (const StoreError& error) {
      return error.kind;
    }
  };
  {  // sets the last byte of the format version: user_version, big-endian, at byte 60 of the header
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(63);
    file.put(9);
  }
  CHECK(open_error() == ErrorKind::newer_format);
  {
    std::ofstream file(path, std::ios::binary);
    file << "this is some other file, and a longer one than a header, of no use here: "
         << std::string(200, 'x');
  }
  CHECK(open_error() == ErrorKind::damaged);
}

TEST_CASE("closed records are compressed and then deleted by age, and their space is reused") {
  TempFolder folder;
  Store store = folder.open();
  std::vector<Record> records;
  for (int i = 0; i < 200; ++i) {
    records.push_back(make_record("k" + std::to_string(i), "m", false, i));
    records.back().result = std::string(20'000, 'r');
  }
  store.append(records);
  const auto bytes_before = store.bytes_used();
  while (store.compact(0, 50).compressed > 0) {
  }
  CHECK(store.bytes_used() < bytes_before / 4);
  CHECK(store.result("k7") == std::string(20'000, 'r'));
  CHECK(store.newest_change() == 199);
  while (store.compact(150, 50).deleted > 0) {
  }
  CHECK_FALSE(store.find("k149"));
  CHECK(store.find("k150"));
  CHECK_FALSE(store.result("k149"));
  CHECK(store.check() == 50);
  int open_count = 0;
  store.append({make_record("o", "m", false)});
  store.append({make_record("o", "m")});  // accepted again: still one record
  CHECK(store.check() == 51);
  store.for_each(RecordState::open,
                 [&](const Record& one) { return open_count += one.key == "o" ? 1 : 100, true; });
  CHECK(open_count == 1);
}

}  // namespace
}  // namespace woadtide::store
