// Compares LMDB, SQLite and RocksDB as the store of durable jobs with a bare write and fdatasync of the same
// bytes; see docs/design/durable-jobs.md. Jobs are accepted, leased and finished, and every commit is synced
// to disk. One writer commits for all clients, as in the dispatcher, so "64 clients" is a commit of 64 jobs.
#include <fcntl.h>
#include <lmdb.h>
#include <rocksdb/db.h>
#include <rocksdb/write_batch.h>
#include <sqlite3.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;
using Batch = std::vector<std::pair<std::string, std::string>>;

// A store under comparison. `commit` returns after the pairs are durable.
class Engine {
 public:
  virtual ~Engine() = default;
  virtual void commit(const Batch& puts) = 0;
};

void require(bool good, const char* what) {
  if (!good) throw std::runtime_error(what);
}

class BareFile : public Engine {
 public:
  explicit BareFile(const fs::path& folder)
      : fd_(::open((folder / "bare").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600)) {}
  ~BareFile() override { ::close(fd_); }
  void commit(const Batch& puts) override {
    std::string all;
    for (const auto& [key, value] : puts) all += key + value;
    require(::write(fd_, all.data(), all.size()) == static_cast<ssize_t>(all.size()), "write");
    require(::fdatasync(fd_) == 0, "fdatasync");
  }

 private:
  int fd_;
};

class Lmdb : public Engine {
 public:
  explicit Lmdb(const fs::path& folder) {
    require(mdb_env_create(&env_) == 0 && mdb_env_set_mapsize(env_, std::size_t{4} << 30) == 0 &&
                mdb_env_open(env_, folder.c_str(), 0, 0600) == 0,
            "lmdb open");
    MDB_txn* txn = nullptr;
    require(mdb_txn_begin(env_, nullptr, 0, &txn) == 0 && mdb_dbi_open(txn, nullptr, 0, &dbi_) == 0 &&
                mdb_txn_commit(txn) == 0,
            "lmdb dbi");
  }
  ~Lmdb() override { mdb_env_close(env_); }
  void commit(const Batch& puts) override {
    MDB_txn* txn = nullptr;
    require(mdb_txn_begin(env_, nullptr, 0, &txn) == 0, "lmdb begin");
    for (const auto& [key, value] : puts) {
      MDB_val k{key.size(), const_cast<char*>(key.data())}, v{value.size(), const_cast<char*>(value.data())};
      require(mdb_put(txn, dbi_, &k, &v, 0) == 0, "lmdb put");
    }
    require(mdb_txn_commit(txn) == 0, "lmdb commit");
  }

 private:
  MDB_env* env_ = nullptr;
  MDB_dbi dbi_ = 0;
};

class Sqlite : public Engine {
 public:
  explicit Sqlite(const fs::path& folder) {
    require(sqlite3_open((folder / "db").c_str(), &db_) == SQLITE_OK, "sqlite open");
    run("PRAGMA locking_mode=EXCLUSIVE");
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    run("CREATE TABLE kv(k TEXT PRIMARY KEY, v BLOB)");
    require(sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO kv VALUES(?,?)", -1, &put_, nullptr) == SQLITE_OK,
            "prepare");
  }
  ~Sqlite() override {
    sqlite3_finalize(put_);
    sqlite3_close(db_);
  }
  void commit(const Batch& puts) override {
    run("BEGIN");
    for (const auto& [key, value] : puts) {
      sqlite3_bind_text(put_, 1, key.data(), static_cast<int>(key.size()), SQLITE_STATIC);
      sqlite3_bind_blob(put_, 2, value.data(), static_cast<int>(value.size()), SQLITE_STATIC);
      require(sqlite3_step(put_) == SQLITE_DONE && sqlite3_reset(put_) == SQLITE_OK, "sqlite put");
    }
    run("COMMIT");
  }

 private:
  void run(const char* sql) { require(sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sql); }
  sqlite3* db_ = nullptr;
  sqlite3_stmt* put_ = nullptr;
};

class Rocks : public Engine {
 public:
  explicit Rocks(const fs::path& folder) {
    rocksdb::Options options;
    options.create_if_missing = true;
    rocksdb::DB* db = nullptr;
    require(rocksdb::DB::Open(options, (folder / "rocks").string(), &db).ok(), "rocksdb open");
    db_.reset(db);
  }
  void commit(const Batch& puts) override {
    rocksdb::WriteBatch batch;
    for (const auto& [key, value] : puts) batch.Put(key, value);
    rocksdb::WriteOptions synced;
    synced.sync = true;
    require(db_->Write(synced, &batch).ok(), "rocksdb write");
  }

 private:
  std::unique_ptr<rocksdb::DB> db_;
};

double resident_mb() {
  std::ifstream status("/proc/self/statm");
  long total = 0, resident = 0;
  status >> total >> resident;
  return static_cast<double>(resident) * 4096 / 1e6;
}

template <typename Kind>
void measure(const char* name, const fs::path& root, std::size_t body, std::size_t clients) {
  const fs::path folder = root / name;
  fs::remove_all(folder);
  fs::create_directories(folder);
  const double before = resident_mb();
  Kind engine(folder);
  const std::string large(body, 'x'), small(160, 'y');
  const std::size_t commits = clients == 1 ? 400 : (body > 10'000 ? 12 : 40);
  std::vector<double> takes;
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  for (std::size_t round = 0; round < commits; ++round) {
    // The three commits of a job: its body and record, its lease, its result.
    for (int step = 0; step < 3; ++step) {
      Batch puts;
      for (std::size_t client = 0; client < clients; ++client) {
        const std::string key = "job-" + std::to_string((round * clients + client) * 7919 % 1'000'003);
        if (step == 0) puts.emplace_back("b" + key, large);
        puts.emplace_back("j" + key, small);
      }
      const auto commit_start = Clock::now();
      engine.commit(puts);
      if (step == 0)
        takes.push_back(std::chrono::duration<double, std::micro>(Clock::now() - commit_start).count());
    }
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
  std::nth_element(takes.begin(), takes.begin() + static_cast<std::ptrdiff_t>(takes.size() / 2), takes.end());
  std::printf("%-8s %6zu B %3zu clients  take p50 %8.1f us  whole jobs/s %9.0f  +%.1f MB\n", name, body,
              clients, takes[takes.size() / 2], static_cast<double>(commits * clients) / seconds,
              resident_mb() - before);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const fs::path root = argc > 1 ? argv[1] : "store-compare";
    for (const std::size_t body : {1'000, 60'000})
      for (const std::size_t clients : {1, 64}) {
        measure<BareFile>("bare", root, body, clients);
        measure<Lmdb>("lmdb", root, body, clients);
        measure<Sqlite>("sqlite", root, body, clients);
        measure<Rocks>("rocksdb", root, body, clients);
      }
    fs::remove_all(root);
  } catch (const std::exception& failed) {
    std::fprintf(stderr, "store_compare: %s\n", failed.what());
    return 1;
  }
  return 0;
}
