// Ledger of a test worker on disk: one JSON object per line for every start and end of an execution and for
// every fence. An entry is written before it takes effect; a line torn by a kill is not an entry.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace woadtide::lab {

// One line of a ledger.
struct LedgerEntry {
  std::string key;
  std::string what;  // "begun", "finished", "failed", "fence"
  std::uint64_t epoch = 0;
  bool at_most_once = false;
  std::string result = {};
  std::string called_address = {};  // address under which the worker was called
  double at_ms = 0;                 // on the machine's clock; only set in entries that were read
};

// Append-only ledger file. Thread-safe.
class Ledger {
 public:
  // Opens the file and reads its id; a new file gets a new id. Throws std::runtime_error.
  explicit Ledger(std::string path);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  const std::string& id() const { return id_; }
  // Appends an entry in a single write(). Throws std::runtime_error if that fails.
  void add(const LedgerEntry& entry);

  // Returns the complete entries of a file; none if it does not exist.
  static std::vector<LedgerEntry> read(const std::string& path);

 private:
  std::string id_;
  int fd_ = -1;
  std::mutex mutex_;
};

}  // namespace woadtide::lab
