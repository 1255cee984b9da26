// Sweeps of the decision module by event: over workers, over dispatchers and over requests in flight.
#include <map>
#include <memory>
#include <set>
#include <string>

#include "lab/scale/allocations.hpp"
#include "lab/scale/module_harness.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr std::size_t kDefaultInFlight = 32;
constexpr int kDefaultWorkers = 800, kDefaultDispatchers = 300;
// A fleet in which one dispatcher gets enough samples of each worker to limit it individually; only then does
// it have more than 64 requests in flight.
constexpr ModuleSize kSampledWorkers{200, 10};

// The series of all events over one growing quantity.
class EventSweep {
 public:
  EventSweep(const std::string& against, const std::vector<double>& targets)
      : request_("request over " + against, against, targets),
        start_("start over " + against, against, targets),
        outcome_("outcome over " + against, against, targets),
        limits_("limits timer over " + against, against, targets),
        change_("list change over " + against, against, targets),
        whole_("whole list over " + against, against, targets),
        memory_{"memory over " + against, against, "KB", {}, targets} {}

  // Repeats one request, its start and the outcome of the oldest request. Complete lists and limit updates
  // are repeated less: they are less frequent and cost more.
  void measure(double size, ModuleHarness& module, int repetitions, double memory_kb) {
    EventSamples request, start, outcome, limits, change, whole;
    for (int i = 0; i < repetitions; ++i) {
      bool sent = false;
      request.measure([&] { sent = module.send_request(); });
      if (!sent) continue;
      start.measure([&] { module.report_start_of_newest(); });
      outcome.measure([&] { module.finish_oldest(); });
    }
    for (int i = 0; i < repetitions; ++i) change.measure([&] { module.send_list_change(); });
    for (int i = 0; i < repetitions / 4 + 2; ++i) whole.measure([&] { module.send_whole_list(); });
    for (int i = 0; i < repetitions / 4 + 2; ++i) limits.measure([&] { module.fire_limits_timer(); });
    request_.add(size, request);
    start_.add(size, start);
    outcome_.add(size, outcome);
    limits_.add(size, limits);
    change_.add(size, change);
    whole_.add(size, whole);
    memory_.points.push_back(summarize(size, {memory_kb}));
  }

  void append_to(Report& report) const {
    for (const EventSeries* series : {&request_, &start_, &outcome_, &limits_, &change_, &whole_})
      series->append_to(report);
    report.series.push_back(memory_);
  }

 private:
  EventSeries request_, start_, outcome_, limits_, change_, whole_;
  Series memory_;
};

double live_heap_kb() { return static_cast<double>(allocations().live_bytes) / 1024; }

// Measures all events at one size. `warm_up`: workers have responded and report free slots.
void measure_size(EventSweep& sweep, double size, ModuleSize module_size, std::size_t in_flight, bool warm_up,
                  const Settings& settings) {
  const double start_kb = live_heap_kb();
  ModuleHarness module(module_size, settings.seed);
  if (warm_up) module.warm_up_workers();
  module.fill_to(in_flight);
  sweep.measure(size, module, settings.small ? 16 : 200, live_heap_kb() - start_kb);
}

void sweep_workers(Report& report, const Settings& settings) {
  EventSweep sweep("workers", {kTargetWorkers});
  std::vector<int> sizes{50, 100, 200, 400, 800, 1'600, 3'200, 6'400, 10'000};
  if (settings.small) sizes = {50, 100, 200, 400};
  for (const int workers : sizes)
    measure_size(sweep, workers, {workers, kDefaultDispatchers}, kDefaultInFlight, false, settings);
  sweep.append_to(report);
}

void sweep_dispatchers(Report& report, const Settings& settings) {
  EventSweep sweep("dispatchers", {kTargetDispatchers[0], kTargetDispatchers[1]});
  std::vector<int> sizes{10, 30, 100, 300, 1'000, 3'000};
  if (settings.small) sizes = {10, 100, 1'000};
  const int workers = settings.small ? 100 : kDefaultWorkers;
  for (const int dispatchers : sizes)
    measure_size(sweep, dispatchers, {workers, dispatchers}, kDefaultInFlight, false, settings);
  sweep.append_to(report);
}

void sweep_in_flight(Report& report, const Settings& settings) {
  EventSweep sweep("requests in flight", {kTargetRunningTasks / kTargetDispatchers[1],
                                          kTargetRunningTasks / kTargetDispatchers[0]});
  std::vector<int> sizes{10, 30, 100, 300, 1'000, 3'000};
  if (settings.small) sizes = {10, 50, 250};
  for (const int in_flight : sizes)
    measure_size(sweep, in_flight, kSampledWorkers, static_cast<std::size_t>(in_flight), true, settings);
  sweep.append_to(report);
}

// How many distinct workers (and so connections) one dispatcher has used after this many requests, each ended
// before the next.
void sweep_distinct_workers(Report& report, const Settings& settings) {
  const int workers = settings.small ? 200 : static_cast<int>(kTargetWorkers);
  const int requests = settings.small ? 100 : 2'000;
  for (const double dispatchers : kTargetDispatchers) {
    ModuleHarness module({workers, static_cast<int>(dispatchers)}, settings.seed);
    std::set<std::string> distinct_workers;
    Series series{"workers met by one of " + std::to_string(static_cast<int>(dispatchers)),
                  "requests",
                  "workers",
                  {},
                  {}};
    int next_point = requests / 16;
    for (int i = 1; i <= requests; ++i) {
      if (!module.send_request()) continue;
      distinct_workers.insert(module.newest_worker());
      module.finish_oldest();
      if (i != next_point) continue;
      series.points.push_back(summarize(i, {static_cast<double>(distinct_workers.size())}));
      next_point *= 2;
    }
    report.series.push_back(std::move(series));
  }
}

// How many requests one dispatcher admits while it has too few samples of each worker to limit it
// individually.
void find_max_in_flight(Report& report, const Settings& settings) {
  const int workers = settings.small ? 400 : static_cast<int>(kTargetWorkers);
  for (const double dispatchers : kTargetDispatchers) {
    ModuleHarness module({workers, static_cast<int>(dispatchers)}, settings.seed);
    const std::size_t admitted = module.fill_to(10'000);
    report.facts.push_back({"most requests in flight at one of " +
                                std::to_string(static_cast<int>(dispatchers)) + " dispatchers, " +
                                std::to_string(workers) + " new workers",
                            static_cast<double>(admitted), "requests"});
  }
}

}  // namespace

Report run_module_part(const Settings& settings) {
  Report report{"module", settings.seed, {}, {}};
  sweep_workers(report, settings);
  sweep_dispatchers(report, settings);
  sweep_in_flight(report, settings);
  sweep_distinct_workers(report, settings);
  find_max_in_flight(report, settings);
  return report;
}

}  // namespace woadtide::lab::scale
