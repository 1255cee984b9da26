// Recovery of a fleet of dispatchers after an outage of service discovery: every dispatcher must have the
// current list within the time after which a drain is binding. Uses the real discovery clients; discovery
// processes their calls one at a time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "core/log.hpp"
#include "lab/hollow/hollow_fleet.hpp"

namespace woadtide::lab::hollow {
namespace {

constexpr std::size_t kDispatcherCount = 300;
constexpr double kOutageDurationMs = 8'000;
constexpr double kUpdateBindsAfterMs = 6'000;    // from the recovery of discovery, or from a later change
constexpr double kLateListTimeoutMs = 11'000;    // longer than the limit, so that late lists can be reported
constexpr double kFirstListsTimeoutMs = 10'000;  // time limit for the first lists
constexpr double kLastRestartMs = 500;           // after the recovery
constexpr double kLastChangeMs = 3'000;
constexpr std::size_t kDrainsDuringOutage = 20, kDrainsAfterOutage = 6;
constexpr std::size_t kWorkerCount = 200, kHistoryLimit = 50;
constexpr int kPollIntervalMs = 5;

// A restart of a dispatcher or a drain of a worker.
struct Step {
  enum class Kind { restart, drain };
  double at_ms = 0;  // since the outage started
  Kind kind = Kind::restart;
  std::size_t index = 0;
};

// When each dispatcher last got a list from discovery.
class ListTimes {
 public:
  explicit ListTimes(const core::Clock& clock) : clock_(clock), times_(kDispatcherCount) {}
  void record(std::size_t dispatcher, const woadtide::ListUpdate& list) {
    if (list.kind == woadtide::ListKind::full || list.kind == woadtide::ListKind::changes)
      times_[dispatcher].store(clock_.now());
  }
  void reset(std::size_t dispatcher) { times_[dispatcher].store(0); }
  std::size_t count_since(double since_ms) const {
    return static_cast<std::size_t>(std::count_if(
        times_.begin(), times_.end(), [since_ms](const auto& at) { return at.load() > since_ms; }));
  }

 private:
  const core::Clock& clock_;
  std::vector<std::atomic<double>> times_;
};

std::vector<Step> draw_steps(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto uniform = [&random](double from, double to) {
    return from + (to - from) * static_cast<double>(random() >> 11) * 0x1p-53;
  };
  std::vector<Step> steps;
  for (std::size_t i = 0; i < kDispatcherCount; i += 2)
    steps.push_back({uniform(0, kOutageDurationMs + kLastRestartMs), Step::Kind::restart, i});
  for (std::size_t i = 0; i < kDrainsDuringOutage; ++i)
    steps.push_back({uniform(0, kOutageDurationMs), Step::Kind::drain, i});
  for (std::size_t i = 0; i < kDrainsAfterOutage; ++i)
    steps.push_back(
        {kOutageDurationMs + uniform(0, kLastChangeMs), Step::Kind::drain, kDrainsDuringOutage + i});
  std::sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at_ms < b.at_ms; });
  return steps;
}

void print_by_second(const char* what, const std::vector<int>& by_second) {
  std::cout << what;
  for (const int count : by_second) std::cout << ' ' << count;
  std::cout << '\n';
}

// Guards the drain rule after an outage: discovery must get through the calls of all clients before drains
// are binding.
TEST_CASE(
    "300 dispatchers have their lists within 6 s of discovery's recovery, half of them just restarted") {
  core::set_log_sink([](std::string_view) {});
  core::Clock clock;
  ListTimes times(clock);
  HollowFleetSettings settings;
  settings.dispatchers = kDispatcherCount;
  settings.workers = kWorkerCount;
  settings.seed = 7;
  settings.source.calls.work_per_call_ms = 15;  // one call of every client takes 4.5 s
  settings.source.history_limit = kHistoryLimit;
  HollowFleet fleet(settings, clock, [&times](std::size_t dispatcher, const woadtide::ListUpdate& list) {
    times.record(dispatcher, list);
  });
  ListSource& source = fleet.source();
  const core::EndpointList remembered = source.snapshot();
  const auto wait_until = [&clock](double until_ms, const std::function<bool()>& condition) {
    while (clock.now() < until_ms && !condition()) ::poll(nullptr, 0, kPollIntervalMs);
  };

  for (std::size_t i = 0; i < kDispatcherCount; ++i) fleet.start(i, remembered);
  wait_until(clock.now() + kFirstListsTimeoutMs, [&] { return source.open_watches() == kDispatcherCount; });
  const std::size_t watches_before_outage = source.open_watches();
  CHECK(watches_before_outage == kDispatcherCount);
  // Makes the remembered list too old to continue from: a restarted dispatcher needs the complete list.
  for (std::size_t i = 0; i <= kHistoryLimit; ++i)
    source.set(HollowFleet::worker_endpoint(kWorkerCount - 1 - i, woadtide::WorkerState::ready, clock.now()));
  wait_until(clock.now() + kFirstListsTimeoutMs, [&] { return source.lateness().undelivered == 0; });

  source.reset_lateness();

  const double outage_start_ms = clock.now();
  source.start_outage(kOutageDurationMs);
  const double recovered_at_ms = source.recovered_at();
  for (const Step& step : draw_steps(settings.seed)) {
    wait_until(outage_start_ms + step.at_ms, [] { return false; });
    if (step.kind == Step::Kind::drain) {
      source.set(HollowFleet::worker_endpoint(step.index, woadtide::WorkerState::draining));
      continue;
    }
    times.reset(step.index);
    fleet.start(step.index, remembered);
  }
  // No list is sent between the start of the outage and the recovery.
  const auto all_listed = [&] { return times.count_since(recovered_at_ms) == kDispatcherCount; };
  wait_until(recovered_at_ms + kUpdateBindsAfterMs, all_listed);
  const std::size_t in_time = times.count_since(recovered_at_ms);
  wait_until(recovered_at_ms + kLateListTimeoutMs, all_listed);
  const double waited_ms = clock.now() - recovered_at_ms;
  const std::size_t listed = times.count_since(recovered_at_ms);
  const LatenessSummary lateness = source.lateness();
  const ListSourceCounts counts = source.counts();

  std::cout << "lists within 6 s of the recovery: " << in_time << " of " << kDispatcherCount << ", within "
            << waited_ms / 1'000 << " s: " << listed << '\n'
            << "changes delivered: " << lateness.delivered << ", undelivered " << lateness.undelivered
            << ", lateness in ms: p50 " << lateness.p50_ms << ", p99 " << lateness.p99_ms << ", max "
            << lateness.max_ms << '\n'
            << "calls " << counts.calls << ", answered " << counts.answered << ", refused " << counts.refused
            << ", abandoned " << counts.abandoned << ", wasted turns " << counts.wasted_turns << '\n';
  print_by_second("calls by second:", counts.calls_by_second);
  print_by_second("failed by second:", counts.failed_by_second);
  CHECK(in_time == kDispatcherCount);
  CHECK(listed == kDispatcherCount);
  CHECK(lateness.undelivered == 0);
  CHECK(lateness.max_ms <= kUpdateBindsAfterMs);
  std::size_t missing = 0;
  for (std::size_t i = 0; i < kDispatcherCount; ++i) {
    for (std::size_t drained = 0; drained < kDrainsDuringOutage + kDrainsAfterOutage; ++drained) {
      const auto known = fleet.dispatcher(i).find("worker-" + std::to_string(drained));
      if (!known || known->entry.state != woadtide::WorkerState::draining) missing += 1;
    }
  }
  CHECK(missing == 0);
}

}  // namespace
}  // namespace woadtide::lab::hollow
