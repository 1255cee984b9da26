// What a whole fleet does on a made-up clock, by the number of dispatchers: calls for the list after all have
// started at once, and the tasks that run at once.
#include <algorithm>

#include "lab/scale/admission.hpp"
#include "lab/scale/list_crowd.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"

namespace woadtide::lab::scale {

namespace {

const std::vector<double> kTargets{kTargetDispatchers[0], kTargetDispatchers[1]};
constexpr const char* kAgainst = "dispatchers";

void sweep_crowd(Report& report, const Settings& settings, Micros call_time) {
  const std::string of = ", a call takes " + std::to_string(call_time.count() / 1'000) + " ms";
  Series worst{"calls in the worst second" + of, kAgainst, "calls", {}, kTargets};
  Series calls{"calls until all have the list" + of, kAgainst, "calls", {}, kTargets};
  Series failed{"failed calls" + of, kAgainst, "calls", {}, kTargets};
  Series time{"until all have the list, 120 s at most" + of, kAgainst, "s", {}, kTargets};
  Series without{"without the list after 120 s" + of, kAgainst, "dispatchers", {}, kTargets};
  std::vector<int> sizes{10, 30, 100, 200, 300, 600, 1'000, 3'000};
  if (settings.small) sizes = {10, 30, 60};
  for (const int dispatchers : sizes) {
    std::vector<double> all_worst, all_calls, all_failed, all_time, all_without;
    for (std::uint64_t i = 0; i < 3; ++i) {
      ListCrowd crowd;
      crowd.dispatchers = dispatchers;
      crowd.call_time = call_time;
      const ListCrowdResult result = simulate(crowd, settings.seed + i);
      all_worst.push_back(result.most_calls_in_a_second);
      all_calls.push_back(result.calls);
      all_failed.push_back(result.failed_calls);
      all_time.push_back(result.all_subscribed_s);
      all_without.push_back(dispatchers - result.subscribed);
    }
    worst.points.push_back(point_of(dispatchers, all_worst));
    calls.points.push_back(point_of(dispatchers, all_calls));
    failed.points.push_back(point_of(dispatchers, all_failed));
    time.points.push_back(point_of(dispatchers, all_time));
    without.points.push_back(point_of(dispatchers, all_without));
  }
  for (Series* one : {&worst, &calls, &failed, &time, &without}) report.series.push_back(std::move(*one));
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
  Series running{"tasks that run at one dispatcher", kAgainst, "tasks", {}, {}};
  Series offered{"tasks that would run, were none refused", kAgainst, "tasks", {}, {}};
  Series most{"most tasks at once at one dispatcher", kAgainst, "tasks", {}, {}};
  Series refused{"refused of its tasks", kAgainst, "%", {}, {}};
  std::vector<int> sizes{100, 200, 300, 400, 500, 600, 1'000, 3'000};
  if (settings.small) sizes = {300, 3'000};
  for (const int dispatchers : sizes) {
    std::vector<double> all_running, all_most, all_refused;
    double would_run = 0;
    for (std::uint64_t i = 0; i < (settings.small ? 1 : 3); ++i) {
      AdmissionLoad load;
      load.dispatchers = dispatchers;
      if (settings.small) load.workers = 200, load.seconds = 600;
      const AdmissionResult result = simulate(load, settings.seed + i);
      all_running.push_back(result.mean_running);
      all_most.push_back(result.most_running);
      all_refused.push_back(100.0 * result.refused / std::max(result.asked, 1));
      would_run = result.offered_running;
    }
    running.points.push_back(point_of(dispatchers, all_running));
    offered.points.push_back(point_of(dispatchers, {would_run}));
    most.points.push_back(point_of(dispatchers, all_most));
    refused.points.push_back(point_of(dispatchers, all_refused));
  }
  for (Series* one : {&running, &offered, &most, &refused}) report.series.push_back(std::move(*one));
  return report;
}

}  // namespace woadtide::lab::scale
