// Durable state: records under keys, appended in commits, each synced once. It must not know what a job is,
// or sockets. One thread uses it. Built on SQLite (WAL, synchronous=FULL, exclusive lock), see
// docs/design/durable-jobs.md.
//
// Each row carries a checksum, the file a format version. After any failed write the object refuses
// everything: what it wrote is not known until a new one has read the file again.
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

enum class Trouble { held, newer, damaged, full, failed };

// One plain line for the log.
struct Failed : std::runtime_error {
  Failed(Trouble kind, const std::string& what) : std::runtime_error(what), trouble(kind) {}
  Trouble trouble;
};

// open: read at the start; kept: neither read at the start nor compacted; closed: compacted once it is old.
enum class Standing { closed = 0, open = 1, kept = 2 };

struct Record {
  std::string key;
  std::string meta;  // the owner's, opaque here
  Standing standing = Standing::open;
  double changed = 0;                                 // Unix ms; compaction goes by it
  std::optional<std::string> body = {}, result = {};  // absent: as it was
};

struct Options {
  std::string folder;  // made if it is not there
  std::uint64_t most_bytes = 1ULL << 30;
  bool synced = true;  // false: for measurements only
};

class Store {
 public:
  // Throws Failed.
  explicit Store(Options options);
  ~Store();
  Store(Store&&) noexcept;

  // All of them or none, on the disk when it returns. Throws Failed.
  void append(const std::vector<Record>& records);

  // All below throw Failed, also where a checksum is wrong.
  std::optional<Record> find(const std::string& key);  // without body and result
  std::optional<std::string> body(const std::string& key);
  std::optional<std::string> result(const std::string& key);
  // Closed ones with the newest change first, the others as they came. Ends when `take`
  // returns false.
  void read(Standing standing, const std::function<bool(Record)>& take);
  // The newest `changed` of all records, 0 where there are none.
  double newest();

  struct Compacted {
    std::size_t dropped = 0, packed = 0;
  };
  // Drops up to `most` closed records that changed before `older_than`, and compresses up to `most` others.
  // One commit; call again while it returns anything.
  Compacted compact(double older_than, std::size_t most);

  // On the disk, without what is free to be used again; for a bound by most_bytes.
  std::uint64_t bytes_used();
  // Reads every row. The number of records.
  std::size_t check();

  class File;

 private:
  std::unique_ptr<File> file_;
};

}  // namespace woadtide::store
