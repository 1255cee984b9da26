// Durable store: records under keys, written in commits that are synced once each. It must not know what a
// job is, nor sockets. Used by one thread at a time. Built on SQLite (WAL, synchronous=FULL, exclusive lock),
// see docs/design/durable-jobs.md.
//
// Each row carries a checksum, the file a format version. After any failed write the object refuses every
// further call: the state of the file is unknown until a new Store has read it again.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace woadtide::store {

// Why a call failed: another process holds the file, its format is newer than this program, it is damaged or
// foreign, there is no space, anything else.
enum class ErrorKind { locked, newer_format, damaged, full, failed };

// what() is a single line of plain text for the log.
struct StoreError : std::runtime_error {
  StoreError(ErrorKind error_kind, const std::string& what) : std::runtime_error(what), kind(error_kind) {}
  ErrorKind kind;
};

// The numbers are stored in the file.
// open: read at the start; retained: neither read at the start nor compacted; closed: compacted once it is
// old.
enum class RecordState { closed = 0, open = 1, retained = 2 };

// What the store holds under one key.
struct Record {
  std::string key;
  std::string meta;  // defined by the owner, opaque to the store
  RecordState state = RecordState::open;
  double changed_at = 0;                              // Unix time in ms; compaction selects records by it
  std::optional<std::string> body = {}, result = {};  // absent: unchanged
};

struct Options {
  std::string folder;                    // created if it does not exist
  std::uint64_t max_bytes = 1ULL << 30;  // limit of the file's size
  bool sync_commits = true;              // whether commits are synced; false is for measurements only
};

// The open store file. Every call may throw StoreError, also if a checksum does not match.
class Store {
 public:
  // Opens the file, creating it if necessary, and locks it against other processes.
  explicit Store(Options options);
  ~Store();
  Store(Store&&) noexcept;

  // Writes all of the records in one commit, or none if it throws. They are on disk when it returns.
  void append(const std::vector<Record>& records);

  // The record of this key, without body and result.
  std::optional<Record> find(const std::string& key);
  std::optional<std::string> body(const std::string& key);
  std::optional<std::string> result(const std::string& key);
  // Passes the records of this standing to `take`: closed ones by descending time of change, others in the
  // order of insertion. Stops when `take` returns false.
  void for_each(RecordState standing, const std::function<bool(Record)>& take);
  // The latest `changed` of all records (Unix time in ms), 0 if there are none.
  double newest_change();

  // The number of records that compact() deleted and compressed.
  struct CompactionCounts {
    std::size_t deleted = 0, compressed = 0;
  };
  // Deletes up to `max_records` closed records that changed before `older_than` (Unix time in ms), and
  // compresses up to `max_records` of the other closed ones. One commit; call it again until both counts are
  // 0.
  CompactionCounts compact(double older_than, std::size_t max_records);

  // Bytes of the file in use, without free pages that can be reused; to be compared with Options::max_bytes.
  std::uint64_t bytes_used();
  // Reads and verifies every row. Returns the number of records.
  std::size_t check();

  class File;

 private:
  std::unique_ptr<File> file_;
};

}  // namespace woadtide::store
