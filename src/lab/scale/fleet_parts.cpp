// Simulated sweeps over the number of dispatchers: calls to fetch the endpoint list after a simultaneous
// start, and concurrent tasks at each dispatcher.
#include <algorithm>

#include "lab/scale/admission.hpp"
#include "lab/scale/list_crowd.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"

namespace woadtide::lab::scale {

namespace {

const std::vector<double> kTargetSizes{kTargetDispatchers[0], kTargetDispatchers[1]};
constexpr const char* kSweptQuantity = "dispatchers";

void sweep_crowd(Report& report, const Settings& settings, Micros call_time) {
  const std::string label_suffix = ", a call takes " + std::to_string(call_time.count() / 1'000) + " ms";
  Series worst{"calls in the worst second" + label_suffix, kSweptQuantity, "calls", {}, kTargetSizes};
  Series calls{"calls until all have the list" + label_suffix, kSweptQuantity, "calls", {}, kTargetSizes};
  Series failed{"failed calls" + label_suffix, kSweptQuantity, "calls", {}, kTargetSizes};
  Series time{"until all have the list, 120 s at most" + label_suffix, kSweptQuantity, "s", {}, kTargetSizes};
  Series without{
      "without the list after 120 s" + label_suffix, kSweptQuantity, "dispatchers", {}, kTargetSizes};
  std::vector<int> sizes{10, 30, 100, 200, 300, 600, 1'000, 3'000};
  if (settings.small) sizes = {10, 30, 60};
  for (const int dispatchers : sizes) {
    std::vector<double> all_worst, all_calls, all_failed, all_time, all_without;
    for (std::uint64_t i = 0; i < 3; ++i) {
      ListCrowdLoad load;
      load.dispatchers = dispatchers;
      load.call_time = call_time;
      const ListCrowdResult result = simulate(load, settings.seed + i);
      all_worst.push_back(result.max_calls_per_second);
      all_calls.push_back(result.calls);
      all_failed.push_back(result.failed_calls);
      all_time.push_back(result.all_subscribed_s);
      all_without.push_back(dispatchers - result.subscribed);
    }
    worst.points.push_back(summarize(dispatchers, all_worst));
    calls.points.push_back(summarize(dispatchers, all_calls));
    failed.points.push_back(summarize(dispatchers, all_failed));
    time.points.push_back(summarize(dispatchers, all_time));
    without.points.push_back(summarize(dispatchers, all_without));
  }
  for (Series* series : {&worst, &calls, &failed, &time, &without})
    report.series.push_back(std::move(*series));
}

}  // namespace

Report run_crowd_part(const Settings& settings) {
  Report report{"crowd", settings.seed, {}, {}};
  for (const int milliseconds : {60, 5})
    sweep_crowd(report, settings, std::chrono::milliseconds(milliseconds));
  return report;
}

Report run_admission_part(const Settings& settings) {
  Report report{"admission", settings.seed, {}, {}};
  Series running{"tasks that run at one dispatcher", kSweptQuantity, "tasks", {}, {}};
  Series offered{"tasks that would run, were none refused", kSweptQuantity, "tasks", {}, {}};
  Series maximum{"most tasks at once at one dispatcher", kSweptQuantity, "tasks", {}, {}};
  Series refused{"refused of its tasks", kSweptQuantity, "%", {}, {}};
  std::vector<int> sizes{100, 200, 300, 400, 500, 600, 1'000, 3'000};
  if (settings.small) sizes = {300, 3'000};
  for (const int dispatchers : sizes) {
    std::vector<double> all_running, all_max, all_refused;
    double would_run = 0;
    for (std::uint64_t i = 0; i < (settings.small ? 1 : 3); ++i) {
      AdmissionLoad load;
      load.dispatchers = dispatchers;
      if (settings.small) load.workers = 200, load.simulated_seconds = 600;
      const AdmissionResult result = simulate(load, settings.seed + i);
      all_running.push_back(result.mean_running);
      all_max.push_back(result.max_running);
      all_refused.push_back(100.0 * result.refused / std::max(result.requests, 1));
      would_run = result.offered_running;
    }
    running.points.push_back(summarize(dispatchers, all_running));
    offered.points.push_back(summarize(dispatchers, {would_run}));
    maximum.points.push_back(summarize(dispatchers, all_max));
    refused.points.push_back(summarize(dispatchers, all_refused));
  }
  for (Series* series : {&running, &offered, &maximum, &refused}) report.series.push_back(std::move(*series));
  return report;
}

}  // namespace woadtide::lab::scale
