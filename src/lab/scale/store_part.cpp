// Sweeps of durable jobs: the store over open jobs and over records per commit, and the lease table.
#include <string>

#include "lab/scale/allocations.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"
#include "lab/scale/scratch_folder.hpp"
#include "lease/lease.hpp"
#include "store/store.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr std::size_t kBodyBytes = 1'000, kMetaBytes = 250, kFillBatchRecords = 500;
constexpr std::uint64_t kMaxStoreBytes = 1ULL << 30;
constexpr double kLeaseDurationMs = 10'000;

std::string key_of(int number) { return "job-key-" + std::to_string(number); }

store::Record make_record(int number, store::RecordState standing) {
  store::Record record;
  record.key = key_of(number);
  record.meta = std::string(kMetaBytes, 'm');
  record.state = standing;
  record.changed_at = number;
  record.body = std::string(kBodyBytes, 'b');
  return record;
}

store::Options options_in(const ScratchFolder& folder) { return {folder.path(), kMaxStoreBytes, true}; }

// Appends open jobs `begin` to `end` - 1, in batches.
void append_open_jobs(store::Store& store, int begin, int end) {
  std::vector<store::Record> batch;
  for (int i = begin; i < end; ++i) {
    batch.push_back(make_record(i, store::RecordState::open));
    if (batch.size() < kFillBatchRecords && i + 1 < end) continue;
    store.append(batch);
    batch.clear();
  }
}

void sweep_open_jobs(Report& report, const Settings& settings) {
  const std::string against = "open jobs";
  const std::vector<double> targets{kTargetRunningTasks / kTargetDispatchers[1],
                                    kTargetRunningTasks / kTargetDispatchers[0], kTargetRunningTasks};
  EventSeries take("commit of one new job", against, targets);
  EventSeries close("commit of one job's end", against, targets);
  EventSeries start("start: open the store and read all open jobs", against, targets);
  Series bytes{"store, bytes on the disk", against, "bytes", {}, targets};
  Series memory{"store, memory of its index of keys", against, "KB", {}, targets};
  std::vector<int> sizes{10, 100, 300, 1'000, 3'000, 10'000, 33'000};
  if (settings.small) sizes = {10, 40, 160};
  const int repetitions = settings.small ? 4 : 40;
  for (const int jobs : sizes) {
    const ScratchFolder folder(settings.folder);
    EventSamples take_samples, close_samples, start_samples;
    {
      store::Store store(options_in(folder));
      append_open_jobs(store, 0, jobs);
      for (int i = 0; i < repetitions; ++i) {
        const std::vector<store::Record> records{make_record(jobs + i, store::RecordState::open)};
        take_samples.measure([&] { store.append(records); });
      }
      for (int i = 0; i < repetitions; ++i) {
        store::Record end = make_record(jobs + i, store::RecordState::closed);
        end.result = std::string(kBodyBytes, 'r');
        const std::vector<store::Record> records{end};
        close_samples.measure([&] { store.append(records); });
      }
      bytes.points.push_back(summarize(jobs, {static_cast<double>(store.bytes_used())}));
    }
    const std::int64_t start_bytes = allocations().live_bytes;
    std::size_t read = 0;
    for (int i = 0; i < 3; ++i)
      start_samples.measure([&] {
        store::Store store(options_in(folder));
        store.for_each(store::RecordState::open, [&](const store::Record&) { return ++read, true; });
      });
    const store::Store store(options_in(folder));
    memory.points.push_back(
        summarize(jobs, {static_cast<double>(allocations().live_bytes - start_bytes) / 1024}));
    take.add(jobs, take_samples);
    close.add(jobs, close_samples);
    start.add(jobs, start_samples);
  }
  for (const EventSeries* series : {&take, &close, &start}) series->append_to(report);
  report.series.push_back(std::move(bytes));
  report.series.push_back(std::move(memory));
}

void sweep_commit(Report& report, const Settings& settings) {
  EventSeries commit("commit of new jobs", "jobs in one commit", {});
  std::vector<int> sizes{1, 4, 16, 64, 256, 1'024};
  if (settings.small) sizes = {1, 4, 16};
  const ScratchFolder folder(settings.folder);
  store::Store store(options_in(folder));
  int next_job = 0;
  for (const int jobs : sizes) {
    EventSamples commit_samples;
    for (int i = 0; i < (settings.small ? 4 : 20); ++i) {
      std::vector<store::Record> records;
      for (int k = 0; k < jobs; ++k) records.push_back(make_record(next_job++, store::RecordState::open));
      commit_samples.measure([&] { store.append(records); });
    }
    commit.add(jobs, commit_samples);
  }
  commit.append_to(report);
}

// The whole life of one job, from its submission to its end, while this many other jobs are leased.
void sweep_lease_table(Report& report, const Settings& settings) {
  const std::vector<double> targets{kTargetRunningTasks / kTargetDispatchers[1],
                                    kTargetRunningTasks / kTargetDispatchers[0], kTargetRunningTasks};
  EventSeries life("lease table: one job's life", "open jobs", targets);
  Series memory{"lease table, memory", "open jobs", "KB", {}, targets};
  std::vector<int> sizes{10, 100, 300, 1'000, 3'000, 10'000, 33'000};
  if (settings.small) sizes = {10, 40, 160};
  for (const int jobs : sizes) {
    const std::int64_t start_bytes = allocations().live_bytes;
    lease::LeaseTable table({.lease_ms = kLeaseDurationMs});
    std::vector<lease::Effect> effects;
    double now = 0;
    const auto start_job = [&](const std::string& key) {
      table.handle(now, lease::Submitted{key, lease::RepeatPolicy::idempotent, 1e9, 0}, effects);
      table.handle(now, lease::WorkerChosen{key, "worker", "ledger", true}, effects);
      effects.clear();
    };
    for (int i = 0; i < jobs; ++i) start_job(key_of(i));
    memory.points.push_back(
        summarize(jobs, {static_cast<double>(allocations().live_bytes - start_bytes) / 1024}));
    EventSamples life_samples;
    for (int i = 0; i < (settings.small ? 8 : 500); ++i) {
      const std::string key = key_of(jobs + i);
      life_samples.measure([&] {
        start_job(key);
        const std::uint64_t epoch = table.find(key)->epoch;
        table.handle(now, lease::HeartbeatReceived{key, epoch}, effects);
        table.handle(now, lease::LeasedExecutionEnded{key, epoch, lease::ExecutionOutcome::done}, effects);
        table.forget(key);
        effects.clear();
      });
    }
    life.add(jobs, life_samples);
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
