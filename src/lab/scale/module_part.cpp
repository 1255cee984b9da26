// The module by event, over workers, over dispatchers and over requests in flight.
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

constexpr std::size_t kUsualInFlight = 32;
constexpr int kUsualWorkers = 800, kUsualDispatchers = 300;
// Many workers that one dispatcher may judge each by itself: only then it holds more than 64 requests.
constexpr ModuleSize kRoomy{200, 10};

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

  // Rounds of one request, its start and the outcome of the oldest; lists are rarer, and cost more.
  void measure(double size, ModuleHarness& module, int rounds, double memory_kb) {
    EventSamples request, start, outcome, limits, change, whole;
    for (int i = 0; i < rounds; ++i) {
      bool sent = false;
      request.measure([&] { sent = module.request(); });
      if (!sent) continue;
      start.measure([&] { module.note_start_of_newest(); });
      outcome.measure([&] { module.finish_oldest(); });
    }
    for (int i = 0; i < rounds; ++i) change.measure([&] { module.list_change(); });
    for (int i = 0; i < rounds / 4 + 2; ++i) whole.measure([&] { module.whole_list(); });
    for (int i = 0; i < rounds / 4 + 2; ++i) limits.measure([&] { module.update_limits(); });
    request_.add(size, request);
    start_.add(size, start);
    outcome_.add(size, outcome);
    limits_.add(size, limits);
    change_.add(size, change);
    whole_.add(size, whole);
    memory_.points.push_back(point_of(size, {memory_kb}));
  }

  void append_to(Report& report) const {
    for (const EventSeries* one : {&request_, &start_, &outcome_, &limits_, &change_, &whole_})
      one->append_to(report);
    report.series.push_back(memory_);
  }

 private:
  EventSeries request_, start_, outcome_, limits_, change_, whole_;
  Series memory_;
};

double live_kilobytes() { return static_cast<double>(allocations().live_bytes) / 1024; }

void measure_one(EventSweep& sweep, double size, ModuleSize module_size, std::size_t in_flight, bool roomy,
                 const Settings& settings) {
  const double before = live_kilobytes();
  ModuleHarness module(module_size, settings.seed);
  if (roomy) module.let_workers_report();
  module.fill(in_flight);
  sweep.measure(size, module, settings.small ? 16 : 200, live_kilobytes() - before);
}

void sweep_workers(Report& report, const Settings& settings) {
  EventSweep sweep("workers", {kTargetWorkers});
  std::vector<int> sizes{50, 100, 200, 400, 800, 1'600, 3'200, 6'400, 10'000};
  if (settings.small) sizes = {50, 100, 200, 400};
  for (const int workers : sizes)
    measure_one(sweep, workers, {workers, kUsualDispatchers}, kUsualInFlight, false, settings);
  sweep.append_to(report);
}

void sweep_dispatchers(Report& report, const Settings& settings) {
  EventSweep sweep("dispatchers", {kTargetDispatchers[0], kTargetDispatchers[1]});
  std::vector<int> sizes{10, 30, 100, 300, 1'000, 3'000};
  if (settings.small) sizes = {10, 100, 1'000};
  const int workers = settings.small ? 100 : kUsualWorkers;
  for (const int dispatchers : sizes)
    measure_one(sweep, dispatchers, {workers, dispatchers}, kUsualInFlight, false, settings);
  sweep.append_to(report);
}

void sweep_in_flight(Report& report, const Settings& settings) {
  EventSweep sweep("requests in flight",
                   {kTargetRunning / kTargetDispatchers[1], kTargetRunning / kTargetDispatchers[0]});
  std::vector<int> sizes{10, 30, 100, 300, 1'000, 3'000};
  if (settings.small) sizes = {10, 50, 250};
  for (const int in_flight : sizes)
    measure_one(sweep, in_flight, kRoomy, static_cast<std::size_t>(in_flight), true, settings);
  sweep.append_to(report);
}

// Connections of one dispatcher: how many workers it has met after so many requests, each ended before the
// next.
void sweep_workers_met(Report& report, const Settings& settings) {
  const int workers = settings.small ? 200 : static_cast<int>(kTargetWorkers);
  const int requests = settings.small ? 100 : 2'000;
  for (const double dispatchers : kTargetDispatchers) {
    ModuleHarness module({workers, static_cast<int>(dispatchers)}, settings.seed);
    std::set<std::string> met;
    Series series{"workers met by one of " + std::to_string(static_cast<int>(dispatchers)),
                  "requests",
                  "workers",
                  {},
                  {}};
    int next_point = requests / 16;
    for (int i = 1; i <= requests; ++i) {
      if (!module.request()) continue;
      met.insert(module.newest_worker());
      module.finish_oldest();
      if (i != next_point) continue;
      series.points.push_back(point_of(i, {static_cast<double>(met.size())}));
      next_point *= 2;
    }
    report.series.push_back(std::move(series));
  }
}

// What one dispatcher admits of workers that it knows too little of to judge each by itself.
void find_most_in_flight(Report& report, const Settings& settings) {
  const int workers = settings.small ? 400 : static_cast<int>(kTargetWorkers);
  for (const double dispatchers : kTargetDispatchers) {
    ModuleHarness module({workers, static_cast<int>(dispatchers)}, settings.seed);
    const std::size_t most = module.fill(10'000);
    report.facts.push_back({"most requests in flight at one of " +
                                std::to_string(static_cast<int>(dispatchers)) + " dispatchers, " +
                                std::to_string(workers) + " new workers",
                            static_cast<double>(most), "requests"});
  }
}

}  // namespace

Report run_module_part(const Settings& settings) {
  Report report{"module", settings.seed, {}, {}};
  sweep_workers(report, settings);
  sweep_dispatchers(report, settings);
  sweep_in_flight(report, settings);
  sweep_workers_met(report, settings);
  find_most_in_flight(report, settings);
  return report;
}

}  // namespace woadtide::lab::scale
