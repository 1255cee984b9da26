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

constexpr int kApplicationId = 0x574f4144, kFormatVersion = 1;  // "WOAD"
constexpr int kPageBytes = 4096;
constexpr std::size_t kMinCompressBytes = 512;  // smaller parts are not worth compressing
constexpr std::size_t kMaxInlineBodyBytes = 2'000;
// Stored numbers: a part of job `id` has the id 2*id + Part, and its column `form` holds a Form. The body of
// an open job that is too large for its row has the id -id.
enum Part { kBody = 0, kResult = 1 };
enum Form { kPlain = 0, kCompressed = 1 };

std::int64_t checksum_of(std::string_view key, std::string_view text) {
  return static_cast<std::int64_t>(
      XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(key.data(), key.size())));
}

std::string compress(std::string_view text) {
  std::string compressed(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), text.data(), text.size(), 3);
  if (ZSTD_isError(size)) return {};
  compressed.resize(size);
  return compressed;
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
    require_usable();
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) throw_last_error();
  }
  std::int64_t query_number(const char* sql);
  void require_usable() const {
    if (failed_) throw StoreError(ErrorKind::failed, "store: not usable after an earlier failure");
  }
  // Throws the error of the last SQLite call. From here on the state of the file is unknown.
  [[noreturn]] void throw_last_error() {
    const int code = sqlite3_errcode(db_), system_errno = sqlite3_system_errno(db_);
    std::string what = path_ + ": " + sqlite3_errmsg(db_);
    if (system_errno != 0) what += std::string(" (") + std::strerror(system_errno) + ")";
    failed_ = true;
    switch (code & 0xff) {
      case SQLITE_BUSY:
      case SQLITE_LOCKED:
        throw StoreError(ErrorKind::locked, "store: " + path_ + " is held by another process");
      case SQLITE_FULL:
        throw StoreError(ErrorKind::full, "store: no room: " + what);
      case SQLITE_CORRUPT:
      case SQLITE_NOTADB:
        throw StoreError(ErrorKind::damaged, "store: damaged: " + what);
      default:
        throw StoreError(system_errno == ENOSPC ? ErrorKind::full : ErrorKind::failed, "store: " + what);
    }
  }
  [[noreturn]] void throw_damaged(const std::string& key) {
    throw StoreError(ErrorKind::damaged,
                     "store: damaged: " + path_ + ": the checksum of '" + key + "' is wrong");
  }
  std::optional<std::string> read_part(std::int64_t id, const std::string& key);
  void write_part(std::int64_t id, const std::string& key, std::string_view text, Form form);
  void write_open(const Record& record);
  void write_ended(const Record& record);
  std::optional<std::int64_t> find_job_id(const std::string& key);  // the id in the table `job`
  std::optional<std::string> read_open_body(std::int64_t id, const std::string& key);

  std::map<std::string, std::int64_t> open_job_ids;  // ids in the table `open_job`, by key
  // The statement for `sql`, prepared at its first use. `sql` must be a literal: its address is the key.
  Statement& prepare(const char* sql);
  sqlite3* db() const { return db_; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  sqlite3* db_ = nullptr;
  bool failed_ = false;
  std::map<const char*, std::unique_ptr<Statement>> statements_;
};

// A prepared statement whose parameters are bound and whose rows are stepped through. Each use ends with
// reset().
class Statement {
 public:
  Statement(Store::File& file, const char* sql) : file_(file) {
    file_.require_usable();
    if (sqlite3_prepare_v3(file_.db(), sql, -1, 0, &handle_, nullptr) != SQLITE_OK) file_.throw_last_error();
  }
  ~Statement() { sqlite3_finalize(handle_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // `index` counts from 1. The bytes of `value` are not copied and must stay valid until the next reset().
  Statement& bind_text(int index, std::string_view value) {
    sqlite3_bind_blob64(handle_, index, value.empty() ? "" : value.data(), value.size(), SQLITE_STATIC);
    return *this;
  }
  Statement& bind_number(int index, std::int64_t value) {
    sqlite3_bind_int64(handle_, index, value);
    return *this;
  }
  Statement& bind_real(int index, double value) {
    sqlite3_bind_double(handle_, index, value);
    return *this;
  }
  Statement& bind_null(int index) {
    sqlite3_bind_null(handle_, index);
    return *this;
  }
  // Moves to the next row. Returns false if there is none.
  bool step() {
    const int code = sqlite3_step(handle_);
    if (code == SQLITE_ROW) return true;
    if (code != SQLITE_DONE) file_.throw_last_error();
    return false;
  }
  void reset() { sqlite3_reset(handle_); }
  // Runs the statement to its end, for statements that return no rows.
  void execute() {
    step();
    reset();
  }
  std::string column_text(int column) const {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(handle_, column));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(handle_, column));
    return size == 0 ? std::string() : std::string(bytes, size);
  }
  std::int64_t column_number(int column) const { return sqlite3_column_int64(handle_, column); }
  double column_real(int column) const { return sqlite3_column_double(handle_, column); }

 private:
  Store::File& file_;
  sqlite3_stmt* handle_ = nullptr;
};

Store::File::~File() {
  statements_.clear();
  sqlite3_close_v2(db_);
}

Statement& Store::File::prepare(const char* sql) {
  require_usable();
  auto& statement = statements_[sql];
  if (!statement) statement = std::make_unique<Statement>(*this, sql);
  statement->reset();  // an earlier use may have ended without a reset
  return *statement;
}

Store::File::File(Options options) : path_(options.folder + "/jobs.db") {
  std::error_code error;
  std::filesystem::create_directories(options.folder, error);
  if (error) throw StoreError(ErrorKind::failed, "store: " + options.folder + ": " + error.message());
  if (sqlite3_open_v2(path_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
                      nullptr) != SQLITE_OK) {
    const std::string what = db_ ? sqlite3_errmsg(db_) : "out of memory";
    sqlite3_close_v2(std::exchange(db_, nullptr));
    throw StoreError(ErrorKind::failed, "store: " + path_ + ": " + what);
  }
  try {
    // The version is read before anything is changed: a file of a newer format stays as it is.
    run("PRAGMA locking_mode=EXCLUSIVE");
    const std::int64_t application = query_number("PRAGMA application_id"),
                       version = query_number("PRAGMA user_version");
    if (application != kApplicationId &&
        (application != 0 || query_number("SELECT count(*) FROM sqlite_master") != 0))
      throw StoreError(ErrorKind::damaged, "store: " + path_ + " is not a store of this program");
    if (version > kFormatVersion)
      throw StoreError(ErrorKind::newer_format, "store: " + path_ + " has format " + std::to_string(version) +
                                                    ", this program knows up to " +
                                                    std::to_string(kFormatVersion));
    if (Statement set_mode(*this, "PRAGMA journal_mode=WAL");
        !set_mode.step() || set_mode.column_text(0) != "wal")
      throw_last_error();
    run(options.sync_commits ? "PRAGMA synchronous=FULL" : "PRAGMA synchronous=OFF");
    run("PRAGMA cache_size=-2000");
    run("PRAGMA journal_size_limit=8000000");
    run(("PRAGMA max_page_count=" + std::to_string(options.max_bytes / kPageBytes + 64)).c_str());
    // Acquires the lock, which is held until the file is closed.
    run("BEGIN IMMEDIATE");
    // A new open job is a row after the last one, so that accepting a job changes one page; once it is closed
    // it moves to a table with indexes.
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
    if (version < kFormatVersion) {
      run(("PRAGMA application_id=" + std::to_string(kApplicationId)).c_str());
      run(("PRAGMA user_version=" + std::to_string(kFormatVersion)).c_str());
    }
    run("COMMIT");
    // What a failed sync left in the log is written and synced again before anything relies on it.
    run("PRAGMA wal_checkpoint(TRUNCATE)");
    Statement keys(*this, "SELECT id,key FROM open_job");
    while (keys.step()) open_job_ids.emplace(keys.column_text(1), keys.column_number(0));
  } catch (...) {
    statements_.clear();
    sqlite3_close_v2(std::exchange(db_, nullptr));
    throw;
  }
}

std::int64_t Store::File::query_number(const char* sql) {
  Statement& statement = prepare(sql);
  const std::int64_t value = statement.step() ? statement.column_number(0) : 0;
  statement.reset();
  return value;
}

void Store::File::write_part(std::int64_t id, const std::string& key, std::string_view text, Form form) {
  Statement& write = prepare("INSERT OR REPLACE INTO part VALUES(?,?,?,?)");
  write.bind_number(1, id)
      .bind_number(2, form)
      .bind_text(3, text)
      .bind_number(4, checksum_of(key, text))
      .execute();
}

std::optional<std::string> Store::File::read_part(std::int64_t id, const std::string& key) {
  Statement& select = prepare("SELECT form, data, sum FROM part WHERE id=?");
  if (!select.bind_number(1, id).step()) return std::nullopt;
  std::string data = select.column_text(1);
  const std::int64_t sum = select.column_number(2), form = select.column_number(0);
  select.reset();
  if (sum != checksum_of(key, data)) throw_damaged(key);
  if (form == kPlain) return data;
  const auto size = ZSTD_getFrameContentSize(data.data(), data.size());
  if (size > (1ULL << 27)) throw_damaged(key);  // holds for the error values of zstd, too
  std::string plain(size, '\0');
  if (ZSTD_decompress(plain.data(), plain.size(), data.data(), data.size()) != size) throw_damaged(key);
  return plain;
}

std::optional<std::int64_t> Store::File::find_job_id(const std::string& key) {
  Statement& select = prepare("SELECT id FROM job WHERE key=?");
  if (!select.bind_text(1, key).step()) return std::nullopt;
  const std::int64_t id = select.column_number(0);
  select.reset();
  return id;
}

// A small body is stored in its row, a large one in `part`, so that a change of the row does not write it
// again.
void Store::File::write_open(const Record& record) {
  const bool separate_body = record.body && record.body->size() > kMaxInlineBodyBytes;
  const std::int64_t sum = checksum_of(record.key, record.meta);
  auto found = open_job_ids.find(record.key);
  if (found == open_job_ids.end()) {
    // A key has one record: when a closed job is accepted again, its old row is deleted.
    if (const auto id = find_job_id(record.key)) {
      prepare("DELETE FROM part WHERE id IN (?1*2,?1*2+1)").bind_number(1, *id).execute();
      prepare("DELETE FROM job WHERE id=?").bind_number(1, *id).execute();
    }
    Statement& write =
        prepare("INSERT INTO open_job(key,changed,meta,sum,body,body_sum) VALUES(?,?,?,?,?,?)");
    write.bind_text(1, record.key)
        .bind_real(2, record.changed_at)
        .bind_text(3, record.meta)
        .bind_number(4, sum);
    if (record.body && !separate_body)
      write.bind_text(5, *record.body).bind_number(6, checksum_of(record.key, *record.body));
    else
      write.bind_null(5).bind_null(6);
    write.execute();
    found = open_job_ids.emplace(record.key, sqlite3_last_insert_rowid(db_)).first;
  } else {
    Statement& write = prepare("UPDATE open_job SET changed=?,meta=?,sum=? WHERE id=?");
    write.bind_real(1, record.changed_at)
        .bind_text(2, record.meta)
        .bind_number(3, sum)
        .bind_number(4, found->second)
        .execute();
    if (record.body && !separate_body) {
      Statement& body = prepare("UPDATE open_job SET body=?,body_sum=? WHERE id=?");
      body.bind_text(1, *record.body)
          .bind_number(2, checksum_of(record.key, *record.body))
          .bind_number(3, found->second)
          .execute();
    }
  }
  if (separate_body) write_part(-found->second, record.key, *record.body, kPlain);
}

std::optional<std::string> Store::File::read_open_body(std::int64_t id, const std::string& key) {
  Statement& select = prepare("SELECT body,body_sum FROM open_job WHERE id=? AND body IS NOT NULL");
  if (!select.bind_number(1, id).step()) return read_part(-id, key);
  std::string body = select.column_text(0);
  const std::int64_t sum = select.column_number(1);
  select.reset();
  if (sum != checksum_of(key, body)) throw_damaged(key);
  return body;
}

// Writes a closed or retained record. If it was open, it is moved from `open_job` to `job`.
void Store::File::write_ended(const Record& record) {
  std::optional<std::string> body = record.body;
  if (const auto found = open_job_ids.find(record.key); found != open_job_ids.end()) {
    if (!body) body = read_open_body(found->second, record.key);
    prepare("DELETE FROM open_job WHERE id=?").bind_number(1, found->second).execute();
    prepare("DELETE FROM part WHERE id=?").bind_number(1, -found->second).execute();
    open_job_ids.erase(found);
  }
  auto id = find_job_id(record.key);
  Statement& write =
      id ? prepare("UPDATE job SET standing=?2,changed=?3,packed=0,meta=?4,sum=?5 WHERE key=?1")
         : prepare("INSERT INTO job(key,standing,changed,meta,sum) VALUES(?1,?2,?3,?4,?5)");
  write.bind_text(1, record.key)
      .bind_number(2, static_cast<int>(record.state))
      .bind_real(3, record.changed_at);
  write.bind_text(4, record.meta).bind_number(5, checksum_of(record.key, record.meta)).execute();
  if (!id) id = sqlite3_last_insert_rowid(db_);
  if (body) write_part(*id * 2 + kBody, record.key, *body, kPlain);
  if (record.result) write_part(*id * 2 + kResult, record.key, *record.result, kPlain);
}

Store::Store(Options options) : file_(std::make_unique<File>(std::move(options))) {}
Store::~Store() = default;
Store::Store(Store&&) noexcept = default;

void Store::append(const std::vector<Record>& records) {
  if (records.empty()) return;
  file_->prepare("BEGIN").execute();
  for (const Record& record : records) {
    if (record.state == RecordState::open)
      file_->write_open(record);
    else
      file_->write_ended(record);
  }
  file_->prepare("COMMIT").execute();
}

namespace {
// Columns: key, standing, changed, meta, sum.
Record read_record(Statement& row, Store::File& file) {
  Record record;
  record.key = row.column_text(0);
  record.state = static_cast<RecordState>(row.column_number(1));
  record.changed_at = row.column_real(2);
  record.meta = row.column_text(3);
  if (row.column_number(4) != checksum_of(record.key, record.meta)) file.throw_damaged(record.key);
  return record;
}
}  // namespace

std::optional<Record> Store::find(const std::string& key) {
  const auto open = file_->open_job_ids.find(key);
  Statement& select = open != file_->open_job_ids.end()
                          ? file_->prepare("SELECT key,1,changed,meta,sum FROM open_job WHERE id=?")
                          : file_->prepare("SELECT key,standing,changed,meta,sum FROM job WHERE key=?");
  if (open != file_->open_job_ids.end())
    select.bind_number(1, open->second);
  else
    select.bind_text(1, key);
  if (!select.step()) return std::nullopt;
  Record record = read_record(select, *file_);
  select.reset();
  return record;
}

std::optional<std::string> Store::body(const std::string& key) {
  if (const auto open = file_->open_job_ids.find(key); open != file_->open_job_ids.end())
    return file_->read_open_body(open->second, key);
  const auto id = file_->find_job_id(key);
  return id ? file_->read_part(*id * 2 + kBody, key) : std::nullopt;
}

std::optional<std::string> Store::result(const std::string& key) {
  const auto id = file_->open_job_ids.contains(key) ? std::nullopt : file_->find_job_id(key);
  return id ? file_->read_part(*id * 2 + kResult, key) : std::nullopt;
}

void Store::for_each(RecordState standing, const std::function<bool(Record)>& take) {
  const char* sql = standing == RecordState::open ? "SELECT key,1,changed,meta,sum FROM open_job ORDER BY id"
                    : standing == RecordState::retained
                        ? "SELECT key,2,changed,meta,sum FROM job WHERE standing=2 ORDER BY id"
                        : "SELECT key,0,changed,meta,sum FROM job WHERE standing=0 ORDER BY changed DESC";
  Statement rows(*file_, sql);
  while (rows.step() && take(read_record(rows, *file_))) {
  }
}

double Store::newest_change() {
  double newest_change = 0;
  for (const char* sql :
       {"SELECT max(changed) FROM job WHERE standing=0", "SELECT max(changed) FROM open_job",
        "SELECT max(changed) FROM job WHERE standing=2"}) {
    Statement select(*file_, sql);
    if (select.step()) newest_change = std::max(newest_change, select.column_real(0));
  }
  return newest_change;
}

Store::CompactionCounts Store::compact(double older_than, std::size_t max_records) {
  CompactionCounts compacted;
  const auto select_rows = [&](const char* sql) {
    std::vector<std::pair<std::int64_t, std::string>> found;
    Statement select(*file_, sql);
    select.bind_number(1, static_cast<std::int64_t>(max_records)).bind_real(2, older_than);
    while (select.step()) found.emplace_back(select.column_number(0), select.column_text(1));
    return found;
  };
  const auto expired =
      select_rows("SELECT id,key FROM job WHERE standing=0 AND changed<?2 ORDER BY changed LIMIT ?1");
  const auto uncompressed =
      select_rows("SELECT id,key FROM job WHERE standing=0 AND packed=0 AND changed>=?2 LIMIT ?1");
  if (expired.empty() && uncompressed.empty()) return compacted;
  file_->run("BEGIN");
  Statement delete_parts(*file_, "DELETE FROM part WHERE id IN (?1*2,?1*2+1)"),
      delete_job(*file_, "DELETE FROM job WHERE id=?"),
      mark_packed(*file_, "UPDATE job SET packed=1 WHERE id=?");
  for (const auto& [id, key] : expired) {
    delete_parts.bind_number(1, id).execute();
    delete_job.bind_number(1, id).execute();
    compacted.deleted += 1;
  }
  for (const auto& [id, key] : uncompressed) {
    for (const Part which : {kBody, kResult}) {
      const auto text = file_->read_part(id * 2 + which, key);
      if (!text || text->size() < kMinCompressBytes) continue;
      const std::string smaller = compress(*text);
      if (!smaller.empty() && smaller.size() < text->size())
        file_->write_part(id * 2 + which, key, smaller, kCompressed);
    }
    mark_packed.bind_number(1, id).execute();
    compacted.compressed += 1;
  }
  file_->run("COMMIT");
  return compacted;
}

std::uint64_t Store::bytes_used() {
  const auto pages = file_->query_number("PRAGMA page_count") - file_->query_number("PRAGMA freelist_count");
  return static_cast<std::uint64_t>(pages) * kPageBytes;
}

std::size_t Store::check() {
  {
    Statement integrity(*file_, "PRAGMA integrity_check(1)");
    if (integrity.step() && integrity.column_text(0) != "ok")
      throw StoreError(ErrorKind::damaged,
                       "store: damaged: " + file_->path() + ": " + integrity.column_text(0));
  }
  std::size_t count = 0;
  const auto verify = [&](const Record& record) {
    body(record.key);
    result(record.key);
    count += 1;
    return true;
  };
  for (const auto standing : {RecordState::open, RecordState::retained, RecordState::closed})
    for_each(standing, verify);
  return count;
}

}  // namespace woadtide::store
