// A stand-in worker's books, on disk: a JSON object a line for every effect that was begun and ended, and for
// every fence. Written before it is acted on; a line that a kill tore is no entry.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace woadtide::lab {

struct Entry {
  std::string key;
  std::string what;  // "begun", "finished", "failed", "fence"
  std::uint64_t epoch = 0;
  bool once = false;
  std::string result = {};
  std::string via = {};  // the address that it was called by
  double at_ms = 0;      // on the machine's clock; of a line that was read
};

class Ledger {
 public:
  // Reads what is there. A new file gets an id of its own. Throws std::runtime_error.
  explicit Ledger(std::string path);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  const std::string& id() const { return id_; }
  void add(const Entry& entry);

  // The file's entries, whole lines only. Missing: none.
  static std::vector<Entry> read(const std::string& path);

 private:
  std::string id_;
  int fd_ = -1;
  std::mutex mutex_;
};

}  // namespace woadtide::lab
