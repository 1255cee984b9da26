// Durable jobs: the store over open jobs and over the records of one commit, and the lease table.
#include <string>

#include "lab/scale/allocations.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"
#include "lab/scale/scratch_folder.hpp"
#include "lease/lease.hpp"
#include "store/store.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr std::size_t kBodyBytes = 1'000, kMetaBytes = 250, kFillBatch = 500;
constexpr std::uint64_t kMostBytes = 1ULL << 30;
constexpr double kLeaseMs = 10'000;

std::string key_of(int number) { return "job-key-" + std::to_string(number); }

store::Record record_of(int number, store::Standing standing) {
  store::Record record;
  record.key = key_of(number);
  record.meta = std::string(kMetaBytes, 'm');
  record.standing = standing;
  record.changed = number;
  record.body = std::string(kBodyBytes, 'b');
  return record;
}

store::Options options_in(const ScratchFolder& folder) { return {folder.path(), kMostBytes, true}; }

void fill(store::Store& store, int from, int to) {
  std::vector<store::Record> batch;
  for (int i = from; i < to; ++i) {
    batch.push_back(record_of(i, store::Standing::open));
    if (batch.size() < kFillBatch && i + 1 < to) continue;
    store.append(batch);
    batch.clear();
  }
}

void sweep_open_jobs(Report& report, const Settings& settings) {
  const std::string against = "open jobs";
  const std::vector<double> targets{kTargetRunning / kTargetDispatchers[1],
                                    kTargetRunning / kTargetDispatchers[0], kTargetRunning};
  EventSeries take("commit of one new job", against, targets);
  EventSeries close("commit of one job's end", against, targets);
  EventSeries start("start: open the store and read all open jobs", against, targets);
  Series bytes{"store, bytes on the disk", against, "bytes", {}, targets};
  Series memory{"store, memory of its index of keys", against, "KB", {}, targets};
  std::vector<int> sizes{10, 100, 300, 1'000, 3'000, 10'000, 33'000};
  if (settings.small) sizes = {10, 40, 160};
  const int rounds = settings.small ? 4 : 40;
  for (const int jobs : sizes) {
    const ScratchFolder folder(settings.folder);
    EventSamples of_take, of_close, of_start;
    {
      store::Store store(options_in(folder));
      fill(store, 0, jobs);
      for (int i = 0; i < rounds; ++i) {
        const std::vector<store::Record> one{record_of(jobs + i, store::Standing::open)};
        of_take.measure([&] { store.append(one); });
      }
      for (int i = 0; i < rounds; ++i) {
        store::Record end = record_of(jobs + i, store::Standing::closed);
        end.result = std::string(kBodyBytes, 'r');
        const std::vector<store::Record> one{end};
        of_close.measure([&] { store.append(one); });
      }
      bytes.points.push_back(point_of(jobs, {static_cast<double>(store.bytes_used())}));
    }
    const std::int64_t before = allocations().live_bytes;
    std::size_t read = 0;
    for (int i = 0; i < 3; ++i)
      of_start.measure([&] {
        store::Store store(options_in(folder));
        store.read(store::Standing::open, [&](const store::Record&) { return ++read, true; });
      });
    const store::Store store(options_in(folder));
    memory.points.push_back(point_of(jobs, {static_cast<double>(allocations().live_bytes - before) / 1024}));
    take.add(jobs, of_take);
    close.add(jobs, of_close);
    start.add(jobs, of_start);
  }
  for (const EventSeries* one : {&take, &close, &start}) one->append_to(report);
  report.series.push_back(std::move(bytes));
  report.series.push_back(std::move(memory));
}

void sweep_commit(Report& report, const Settings& settings) {
  EventSeries commit("commit of new jobs", "jobs in one commit", {});
  std::vector<int> sizes{1, 4, 16, 64, 256, 1'024};
  if (settings.small) sizes = {1, 4, 16};
  const ScratchFolder folder(settings.folder);
  store::Store store(options_in(folder));
  int next = 0;
  for (const int jobs : sizes) {
    EventSamples of_commit;
    for (int i = 0; i < (settings.small ? 4 : 20); ++i) {
      std::vector<store::Record> records;
      for (int k = 0; k < jobs; ++k) records.push_back(record_of(next++, store::Standing::open));
      of_commit.measure([&] { store.append(records); });
    }
    commit.add(jobs, of_commit);
  }
  commit.append_to(report);
}

// One job from its taking to its end, beside so many open ones under lease.
void sweep_lease_table(Report& report, const Settings& settings) {
  const std::vector<double> targets{kTargetRunning / kTargetDispatchers[1],
                                    kTargetRunning / kTargetDispatchers[0], kTargetRunning};
  EventSeries life("lease table: one job's life", "open jobs", targets);
  Series memory{"lease table, memory", "open jobs", "KB", {}, targets};
  std::vector<int> sizes{10, 100, 300, 1'000, 3'000, 10'000, 33'000};
  if (settings.small) sizes = {10, 40, 160};
  for (const int jobs : sizes) {
    const std::int64_t before = allocations().live_bytes;
    lease::Table table({.lease_ms = kLeaseMs});
    std::vector<lease::Effect> effects;
    double now = 0;
    const auto begin = [&](const std::string& key) {
      table.handle(now, lease::Take{key, lease::Repeat::safe, 1e9, 0}, effects);
      table.handle(now, lease::Chosen{key, "worker", "ledger", true}, effects);
      effects.clear();
    };
    for (int i = 0; i < jobs; ++i) begin(key_of(i));
    memory.points.push_back(point_of(jobs, {static_cast<double>(allocations().live_bytes - before) / 1024}));
    EventSamples of_life;
    for (int i = 0; i < (settings.small ? 8 : 500); ++i) {
      const std::string key = key_of(jobs + i);
      of_life.measure([&] {
        begin(key);
        const std::uint64_t epoch = table.find(key)->epoch;
        table.handle(now, lease::Heard{key, epoch}, effects);
        table.handle(now, lease::Ended{key, epoch, lease::End::done}, effects);
        table.forget(key);
        effects.clear();
      });
    }
    life.add(jobs, of_life);
  }
  life.append_to(report);
  report.series.push_back(std::move(memory));
}

}  // namespace

Report run_store_part(const Settings& settings) {
  Report report{"store", settings.seed, {}, {}};
  sweep_open_jobs(report, settings);
  sweep_commit(report, settings);
  sweep_lease_table(report, settings);
  return report;
}

}  // namespace woadtide::lab::scale
