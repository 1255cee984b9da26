#include "store/store.hpp"

#include <sqlite3.h>
#include <sys/stat.h>
#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <map>
#include <utility>

namespace woadtide::store {

namespace {

constexpr int kApplication = 0x574f4144, kVersion = 1;  // "WOAD"
constexpr int kPageBytes = 4096;
constexpr std::size_t kWorthPacking = 512;
constexpr std::size_t kMostInRow = 2'000;
enum Part { kBody = 0, kResult = 1 };
enum Form { kPlain = 0, kPacked = 1 };

std::int64_t sum_of(std::string_view key, std::string_view text) {
  return static_cast<std::int64_t>(
      XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(key.data(), key.size())));
}

std::string packed(std::string_view text) {
  std::string out(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(out.data(), out.size(), text.data(), text.size(), 3);
  if (ZSTD_isError(size)) return {};
  out.resize(size);
  return out;
}

}  // namespace

class Statement;

class Store::File {
 public:
  explicit File(Options options);
  ~File();
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  void run(const char* sql) {
    usable();
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail();
  }
  std::int64_t number(const char* sql);
  void usable() const {
    if (spoiled_) throw Failed(Trouble::failed, "store: not usable after an earlier failure");
  }
  // Whatever went wrong, the file's state is not known from here on.
  [[noreturn]] void fail() {
    const int code = sqlite3_errcode(db_), system = sqlite3_system_errno(db_);
    std::string what = path_ + ": " + sqlite3_errmsg(db_);
    if (system != 0) what += std::string(" (") + std::strerror(system) + ")";
    spoiled_ = true;
    switch (code & 0xff) {
      case SQLITE_BUSY:
      case SQLITE_LOCKED:
        throw Failed(Trouble::held, "store: " + path_ + " is held by another process");
      case SQLITE_FULL:
        throw Failed(Trouble::full, "store: no room: " + what);
      case SQLITE_CORRUPT:
      case SQLITE_NOTADB:
        throw Failed(Trouble::damaged, "store: damaged: " + what);
      default:
        throw Failed(system == ENOSPC ? Trouble::full : Trouble::failed, "store: " + what);
    }
  }
  [[noreturn]] void damaged(const std::string& key) {
    throw Failed(Trouble::damaged, "store: damaged: " + path_ + ": the checksum of '" + key + "' is wrong");
  }
  std::optional<std::string> part(std::int64_t id, const std::string& key);
  void put_part(std::int64_t id, const std::string& key, std::string_view text, Form form);
  void put_open(const Record& record);
  void put_over(const Record& record);
  std::optional<std::int64_t> id_of(const std::string& key);  // in `job`
  std::optional<std::string> open_body(std::int64_t id, const std::string& key);

  std::map<std::string, std::int64_t> open_ids;  // in `open_job`, by key
  // Prepared once. `sql` must be a literal.
  Statement& prepared(const char* sql);
  sqlite3* db() const { return db_; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  sqlite3* db_ = nullptr;
  bool spoiled_ = false;
  std::map<const char*, std::unique_ptr<Statement>> prepared_;
};

// A prepared statement, bound and stepped through. Each use ends with reset().
class Statement {
 public:
  Statement(Store::File& file, const char* sql) : file_(file) {
    file_.usable();
    if (sqlite3_prepare_v3(file_.db(), sql, -1, 0, &handle_, nullptr) != SQLITE_OK) file_.fail();
  }
  ~Statement() { sqlite3_finalize(handle_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // The caller's bytes must stay until the next reset().
  Statement& text(int at, std::string_view value) {
    sqlite3_bind_blob64(handle_, at, value.empty() ? "" : value.data(), value.size(), SQLITE_STATIC);
    return *this;
  }
  Statement& number(int at, std::int64_t value) {
    sqlite3_bind_int64(handle_, at, value);
    return *this;
  }
  Statement& real(int at, double value) {
    sqlite3_bind_double(handle_, at, value);
    return *this;
  }
  Statement& nothing(int at) {
    sqlite3_bind_null(handle_, at);
    return *this;
  }
  // Whether there is a row.
  bool step() {
    const int code = sqlite3_step(handle_);
    if (code == SQLITE_ROW) return true;
    if (code != SQLITE_DONE) file_.fail();
    return false;
  }
  void reset() { sqlite3_reset(handle_); }
  void once() {
    step();
    reset();
  }
  std::string text_at(int column) const {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(handle_, column));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(handle_, column));
    return size == 0 ? std::string() : std::string(bytes, size);
  }
  std::int64_t number_at(int column) const { return sqlite3_column_int64(handle_, column); }
  double real_at(int column) const { return sqlite3_column_double(handle_, column); }

 private:
  Store::File& file_;
  sqlite3_stmt* handle_ = nullptr;
};

Store::File::~File() {
  prepared_.clear();
  sqlite3_close_v2(db_);
}

Statement& Store::File::prepared(const char* sql) {
  usable();
  auto& statement = prepared_[sql];
  if (!statement) statement = std::make_unique<Statement>(*this, sql);
  statement->reset();  // where an earlier use ended early
  return *statement;
}

Store::File::File(Options options) : path_(options.folder + "/jobs.db") {
  std::error_code error;
  std::filesystem::create_directories(options.folder, error);
  if (error) throw Failed(Trouble::failed, "store: " + options.folder + ": " + error.message());
  if (sqlite3_open_v2(path_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
                      nullptr) != SQLITE_OK) {
    const std::string what = db_ ? sqlite3_errmsg(db_) : "no memory";
    sqlite3_close_v2(std::exchange(db_, nullptr));
    throw Failed(Trouble::failed, "store: " + path_ + ": " + what);
  }
  try {
    // The version is read before anything is changed: a newer file stays as it is.
    run("PRAGMA locking_mode=EXCLUSIVE");
    const std::int64_t application = number("PRAGMA application_id"), version = number("PRAGMA user_version");
    if (application != kApplication &&
        (application != 0 || number("SELECT count(*) FROM sqlite_master") != 0))
      throw Failed(Trouble::damaged, "store: " + path_ + " is no store of this program");
    if (version > kVersion)
      throw Failed(Trouble::newer, "store: " + path_ + " has format " + std::to_string(version) +
                                       ", this program knows up to " + std::to_string(kVersion));
    if (Statement mode(*this, "PRAGMA journal_mode=WAL"); !mode.step() || mode.text_at(0) != "wal") fail();
    run(options.synced ? "PRAGMA synchronous=FULL" : "PRAGMA synchronous=OFF");
    run("PRAGMA cache_size=-2000");
    run("PRAGMA journal_size_limit=8000000");
    run(("PRAGMA max_page_count=" + std::to_string(options.most_bytes / kPageBytes + 64)).c_str());
    // Takes the lock for as long as the file is open.
    run("BEGIN IMMEDIATE");
    // An open job is one row behind the last one, so that a take changes one page; what is closed moves to a
    // table with its indexes.
    run("CREATE TABLE IF NOT EXISTS open_job(id INTEGER PRIMARY KEY, key BLOB NOT NULL, changed REAL NOT "
        "NULL,"
        " meta BLOB NOT NULL, sum INTEGER NOT NULL, body BLOB, body_sum INTEGER)");
    run("CREATE TABLE IF NOT EXISTS job(id INTEGER PRIMARY KEY, key BLOB NOT NULL UNIQUE, standing INTEGER "
        "NOT NULL,"
        " changed REAL NOT NULL, packed INTEGER NOT NULL DEFAULT 0, meta BLOB NOT NULL, sum INTEGER NOT "
        "NULL)");
    run("CREATE TABLE IF NOT EXISTS part(id INTEGER PRIMARY KEY, form INTEGER NOT NULL, data BLOB NOT NULL,"
        " sum INTEGER NOT NULL)");
    run("CREATE INDEX IF NOT EXISTS job_kept ON job(id) WHERE standing=2");
    run("CREATE INDEX IF NOT EXISTS job_closed ON job(changed) WHERE standing=0");
    run("CREATE INDEX IF NOT EXISTS job_plain ON job(id) WHERE standing=0 AND packed=0");
    if (version < kVersion) {
      run(("PRAGMA application_id=" + std::to_string(kApplication)).c_str());
      run(("PRAGMA user_version=" + std::to_string(kVersion)).c_str());
    }
    run("COMMIT");
    // What a failed sync left in the log is written and synced anew before anything rests on it.
    run("PRAGMA wal_checkpoint(TRUNCATE)");
    Statement keys(*this, "SELECT id,key FROM open_job");
    while (keys.step()) open_ids.emplace(keys.text_at(1), keys.number_at(0));
  } catch (...) {
    prepared_.clear();
    sqlite3_close_v2(std::exchange(db_, nullptr));
    throw;
  }
}

std::int64_t Store::File::number(const char* sql) {
  Statement& statement = prepared(sql);
  const std::int64_t value = statement.step() ? statement.number_at(0) : 0;
  statement.reset();
  return value;
}

void Store::File::put_part(std::int64_t id, const std::string& key, std::string_view text, Form form) {
  Statement& put = prepared("INSERT OR REPLACE INTO part VALUES(?,?,?,?)");
  put.number(1, id).number(2, form).text(3, text).number(4, sum_of(key, text)).once();
}

std::optional<std::string> Store::File::part(std::int64_t id, const std::string& key) {
  Statement& look = prepared("SELECT form, data, sum FROM part WHERE id=?");
  if (!look.number(1, id).step()) return std::nullopt;
  std::string data = look.text_at(1);
  const std::int64_t sum = look.number_at(2), form = look.number_at(0);
  look.reset();
  if (sum != sum_of(key, data)) damaged(key);
  if (form == kPlain) return data;
  const auto size = ZSTD_getFrameContentSize(data.data(), data.size());
  if (size > (1ULL << 27)) damaged(key);  // an error too
  std::string plain(size, '\0');
  if (ZSTD_decompress(plain.data(), plain.size(), data.data(), data.size()) != size) damaged(key);
  return plain;
}

std::optional<std::int64_t> Store::File::id_of(const std::string& key) {
  Statement& look = prepared("SELECT id FROM job WHERE key=?");
  if (!look.text(1, key).step()) return std::nullopt;
  const std::int64_t id = look.number_at(0);
  look.reset();
  return id;
}

// A small body lies in its row, a large one apart: a change of the row does not write it again.
void Store::File::put_open(const Record& record) {
  const bool apart = record.body && record.body->size() > kMostInRow;
  const std::int64_t sum = sum_of(record.key, record.meta);
  auto found = open_ids.find(record.key);
  if (found == open_ids.end()) {
    // One key, one record: what was closed and is taken on again leaves its old place.
    if (const auto id = id_of(record.key)) {
      prepared("DELETE FROM part WHERE id IN (?1*2,?1*2+1)").number(1, *id).once();
      prepared("DELETE FROM job WHERE id=?").number(1, *id).once();
    }
    Statement& put = prepared("INSERT INTO open_job(key,changed,meta,sum,body,body_sum) VALUES(?,?,?,?,?,?)");
    put.text(1, record.key).real(2, record.changed).text(3, record.meta).number(4, sum);
    if (record.body && !apart)
      put.text(5, *record.body).number(6, sum_of(record.key, *record.body));
    else
      put.nothing(5).nothing(6);
    put.once();
    found = open_ids.emplace(record.key, sqlite3_last_insert_rowid(db_)).first;
  } else {
    Statement& put = prepared("UPDATE open_job SET changed=?,meta=?,sum=? WHERE id=?");
    put.real(1, record.changed).text(2, record.meta).number(3, sum).number(4, found->second).once();
    if (record.body && !apart) {
      Statement& body = prepared("UPDATE open_job SET body=?,body_sum=? WHERE id=?");
      body.text(1, *record.body).number(2, sum_of(record.key, *record.body)).number(3, found->second).once();
    }
  }
  if (apart) put_part(-found->second, record.key, *record.body, kPlain);
}

std::optional<std::string> Store::File::open_body(std::int64_t id, const std::string& key) {
  Statement& look = prepared("SELECT body,body_sum FROM open_job WHERE id=? AND body IS NOT NULL");
  if (!look.number(1, id).step()) return part(-id, key);
  std::string body = look.text_at(0);
  const std::int64_t sum = look.number_at(1);
  look.reset();
  if (sum != sum_of(key, body)) damaged(key);
  return body;
}

// Closed or kept; where it was open it moves here.
void Store::File::put_over(const Record& record) {
  std::optional<std::string> body = record.body;
  if (const auto found = open_ids.find(record.key); found != open_ids.end()) {
    if (!body) body = open_body(found->second, record.key);
    prepared("DELETE FROM open_job WHERE id=?").number(1, found->second).once();
    prepared("DELETE FROM part WHERE id=?").number(1, -found->second).once();
    open_ids.erase(found);
  }
  auto id = id_of(record.key);
  Statement& put = id ? prepared("UPDATE job SET standing=?2,changed=?3,packed=0,meta=?4,sum=?5 WHERE key=?1")
                      : prepared("INSERT INTO job(key,standing,changed,meta,sum) VALUES(?1,?2,?3,?4,?5)");
  put.text(1, record.key).number(2, static_cast<int>(record.standing)).real(3, record.changed);
  put.text(4, record.meta).number(5, sum_of(record.key, record.meta)).once();
  if (!id) id = sqlite3_last_insert_rowid(db_);
  if (body) put_part(*id * 2 + kBody, record.key, *body, kPlain);
  if (record.result) put_part(*id * 2 + kResult, record.key, *record.result, kPlain);
}

Store::Store(Options options) : file_(std::make_unique<File>(std::move(options))) {}
Store::~Store() = default;
Store::Store(Store&&) noexcept = default;

void Store::append(const std::vector<Record>& records) {
  if (records.empty()) return;
  file_->prepared("BEGIN").once();
  for (const Record& record : records) {
    if (record.standing == Standing::open)
      file_->put_open(record);
    else
      file_->put_over(record);
  }
  file_->prepared("COMMIT").once();
}

namespace {
// Columns: key, standing, changed, meta, sum.
Record read_row(Statement& row, Store::File& file) {
  Record record;
  record.key = row.text_at(0);
  record.standing = static_cast<Standing>(row.number_at(1));
  record.changed = row.real_at(2);
  record.meta = row.text_at(3);
  if (row.number_at(4) != sum_of(record.key, record.meta)) file.damaged(record.key);
  return record;
}
}  // namespace

std::optional<Record> Store::find(const std::string& key) {
  const auto open = file_->open_ids.find(key);
  Statement& look = open != file_->open_ids.end()
                        ? file_->prepared("SELECT key,1,changed,meta,sum FROM open_job WHERE id=?")
                        : file_->prepared("SELECT key,standing,changed,meta,sum FROM job WHERE key=?");
  if (open != file_->open_ids.end())
    look.number(1, open->second);
  else
    look.text(1, key);
  if (!look.step()) return std::nullopt;
  Record record = read_row(look, *file_);
  look.reset();
  return record;
}

std::optional<std::string> Store::body(const std::string& key) {
  if (const auto open = file_->open_ids.find(key); open != file_->open_ids.end())
    return file_->open_body(open->second, key);
  const auto id = file_->id_of(key);
  return id ? file_->part(*id * 2 + kBody, key) : std::nullopt;
}

std::optional<std::string> Store::result(const std::string& key) {
  const auto id = file_->open_ids.contains(key) ? std::nullopt : file_->id_of(key);
  return id ? file_->part(*id * 2 + kResult, key) : std::nullopt;
}

void Store::read(Standing standing, const std::function<bool(Record)>& take) {
  const char* sql = standing == Standing::open ? "SELECT key,1,changed,meta,sum FROM open_job ORDER BY id"
                    : standing == Standing::kept
                        ? "SELECT key,2,changed,meta,sum FROM job WHERE standing=2 ORDER BY id"
                        : "SELECT key,0,changed,meta,sum FROM job WHERE standing=0 ORDER BY changed DESC";
  Statement rows(*file_, sql);
  while (rows.step() && take(read_row(rows, *file_))) {
  }
}

double Store::newest() {
  double newest = 0;
  for (const char* sql :
       {"SELECT max(changed) FROM job WHERE standing=0", "SELECT max(changed) FROM open_job",
        "SELECT max(changed) FROM job WHERE standing=2"}) {
    Statement look(*file_, sql);
    if (look.step()) newest = std::max(newest, look.real_at(0));
  }
  return newest;
}

Store::Compacted Store::compact(double older_than, std::size_t most) {
  Compacted done;
  const auto rows = [&](const char* sql) {
    std::vector<std::pair<std::int64_t, std::string>> found;
    Statement look(*file_, sql);
    look.number(1, static_cast<std::int64_t>(most)).real(2, older_than);
    while (look.step()) found.emplace_back(look.number_at(0), look.text_at(1));
    return found;
  };
  const auto old = rows("SELECT id,key FROM job WHERE standing=0 AND changed<?2 ORDER BY changed LIMIT ?1");
  const auto plain = rows("SELECT id,key FROM job WHERE standing=0 AND packed=0 AND changed>=?2 LIMIT ?1");
  if (old.empty() && plain.empty()) return done;
  file_->run("BEGIN");
  Statement drop_parts(*file_, "DELETE FROM part WHERE id IN (?1*2,?1*2+1)"),
      drop(*file_, "DELETE FROM job WHERE id=?"), mark(*file_, "UPDATE job SET packed=1 WHERE id=?");
  for (const auto& [id, key] : old) {
    drop_parts.number(1, id).once();
    drop.number(1, id).once();
    done.dropped += 1;
  }
  for (const auto& [id, key] : plain) {
    for (const Part which : {kBody, kResult}) {
      const auto text = file_->part(id * 2 + which, key);
      if (!text || text->size() < kWorthPacking) continue;
      const std::string small = packed(*text);
      if (!small.empty() && small.size() < text->size()) file_->put_part(id * 2 + which, key, small, kPacked);
    }
    mark.number(1, id).once();
    done.packed += 1;
  }
  file_->run("COMMIT");
  return done;
}

std::uint64_t Store::bytes_used() {
  const auto pages = file_->number("PRAGMA page_count") - file_->number("PRAGMA freelist_count");
  return static_cast<std::uint64_t>(pages) * kPageBytes;
}

std::size_t Store::check() {
  {
    Statement whole(*file_, "PRAGMA integrity_check(1)");
    if (whole.step() && whole.text_at(0) != "ok")
      throw Failed(Trouble::damaged, "store: damaged: " + file_->path() + ": " + whole.text_at(0));
  }
  std::size_t count = 0;
  const auto look_at = [&](const Record& record) {
    body(record.key);
    result(record.key);
    count += 1;
    return true;
  };
  for (const auto standing : {Standing::open, Standing::kept, Standing::closed}) read(standing, look_at);
  return count;
}

}  // namespace woadtide::store
