// What a fleet of dispatchers owes once service discovery has returned: every one of them has its list within
// the time by which a drain counts as told. The clients are the real ones; discovery takes their calls in
// turn.
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

constexpr std::size_t kDispatchers = 300;
constexpr double kOutageMs = 8'000;
constexpr double kToldWithinMs = 6'000;   // from the return of discovery, or from a later change
constexpr double kPatienceMs = 11'000;    // for lists that come later than that, so that they can be reported
constexpr double kStartMs = 10'000;       // for the first lists of all
constexpr double kRestartsUntilMs = 500;  // after the return
constexpr double kChangesUntilMs = 3'000;
constexpr std::size_t kDrainsDuring = 20, kDrainsAfter = 6;
constexpr std::size_t kWorkers = 200, kKeptVersions = 50;
constexpr int kStepMs = 5;

// What happens to one dispatcher or worker, at a time after the outage began.
struct Step {
  enum class Kind { restart, drain };
  double at = 0;
  Kind kind = Kind::restart;
  std::size_t number = 0;
};

// When each dispatcher had its newest list from discovery.
class ListTimes {
 public:
  explicit ListTimes(const core::Clock& clock) : clock_(clock), times_(kDispatchers) {}
  void take(std::size_t dispatcher, const woadtide::ListUpdate& list) {
    if (list.kind == woadtide::ListKind::full || list.kind == woadtide::ListKind::changes)
      times_[dispatcher].store(clock_.now());
  }
  void forget(std::size_t dispatcher) { times_[dispatcher].store(0); }
  std::size_t count_since(double since) const {
    return static_cast<std::size_t>(
        std::count_if(times_.begin(), times_.end(), [since](const auto& at) { return at.load() > since; }));
  }

 private:
  const core::Clock& clock_;
  std::vector<std::atomic<double>> times_;
};

std::vector<Step> draw_steps(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto between = [&random](double from, double to) {
    return from + (to - from) * static_cast<double>(random() >> 11) * 0x1p-53;
  };
  std::vector<Step> steps;
  for (std::size_t i = 0; i < kDispatchers; i += 2)
    steps.push_back({between(0, kOutageMs + kRestartsUntilMs), Step::Kind::restart, i});
  for (std::size_t i = 0; i < kDrainsDuring; ++i)
    steps.push_back({between(0, kOutageMs), Step::Kind::drain, i});
  for (std::size_t i = 0; i < kDrainsAfter; ++i)
    steps.push_back({kOutageMs + between(0, kChangesUntilMs), Step::Kind::drain, kDrainsDuring + i});
  std::sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return steps;
}

void print_by_second(const char* what, const std::vector<int>& by_second) {
  std::cout << what;
  for (const int count : by_second) std::cout << ' ' << count;
  std::cout << '\n';
}

// Guards the drain rule over discovery's return: all clients together have to come through its turns in time.
TEST_CASE("300 dispatchers have their lists within 6 s of discovery's return, half of them just restarted") {
  core::set_log_sink([](std::string_view) {});
  core::Clock clock;
  ListTimes times(clock);
  HollowFleetSettings settings;
  settings.dispatchers = kDispatchers;
  settings.workers = kWorkers;
  settings.seed = 7;
  settings.source.calls.work_per_call_ms = 15;  // all clients once: 4.5 s
  settings.source.kept_versions = kKeptVersions;
  HollowFleet fleet(settings, clock, [&times](std::size_t dispatcher, const woadtide::ListUpdate& list) {
    times.take(dispatcher, list);
  });
  ListSource& source = fleet.source();
  const core::HostList remembered = source.snapshot();
  const auto pause_until = [&clock](double until, const std::function<bool()>& done) {
    while (clock.now() < until && !done()) ::poll(nullptr, 0, kStepMs);
  };

  for (std::size_t i = 0; i < kDispatchers; ++i) fleet.start(i, remembered);
  pause_until(clock.now() + kStartMs, [&] { return source.open_watches() == kDispatchers; });
  const std::size_t open_at_first = source.open_watches();
  CHECK(open_at_first == kDispatchers);
  // What is remembered becomes too old to go on from: who starts again has to be sent the whole list.
  for (std::size_t i = 0; i <= kKeptVersions; ++i)
    source.set(HollowFleet::worker(kWorkers - 1 - i, woadtide::WorkerState::ready, clock.now()));
  pause_until(clock.now() + kStartMs, [&] { return source.lateness().untold == 0; });

  source.forget_lateness();

  const double outage = clock.now();
  source.fail_for(kOutageMs);
  const double returned = source.returned_at();
  for (const Step& step : draw_steps(settings.seed)) {
    pause_until(outage + step.at, [] { return false; });
    if (step.kind == Step::Kind::drain) {
      source.set(HollowFleet::worker(step.number, woadtide::WorkerState::draining));
      continue;
    }
    times.forget(step.number);
    fleet.start(step.number, remembered);
  }
  // A list of before the outage's end is of before the return: none comes between.
  const auto all_listed = [&] { return times.count_since(returned) == kDispatchers; };
  pause_until(returned + kToldWithinMs, all_listed);
  const std::size_t in_time = times.count_since(returned);
  pause_until(returned + kPatienceMs, all_listed);
  const double took = clock.now() - returned;
  const std::size_t listed = times.count_since(returned);
  const LatenessSummary lateness = source.lateness();
  const ListSourceCounts counts = source.counts();

  std::cout << "lists within 6 s of the return: " << in_time << " of " << kDispatchers << ", within "
            << took / 1'000 << " s: " << listed << '\n'
            << "changes told: " << lateness.told << ", not yet " << lateness.untold << ", late by ms: p50 "
            << lateness.p50_ms << ", p99 " << lateness.p99_ms << ", most " << lateness.max_ms << '\n'
            << "calls " << counts.calls << ", answered " << counts.answered << ", refused " << counts.refused
            << ", abandoned " << counts.abandoned << ", wasted turns " << counts.wasted_turns << '\n';
  print_by_second("calls by second:", counts.calls_by_second);
  print_by_second("failed by second:", counts.failed_by_second);
  CHECK(in_time == kDispatchers);
  CHECK(listed == kDispatchers);
  CHECK(lateness.untold == 0);
  CHECK(lateness.max_ms <= kToldWithinMs);
  std::size_t missing = 0;
  for (std::size_t i = 0; i < kDispatchers; ++i) {
    for (std::size_t drained = 0; drained < kDrainsDuring + kDrainsAfter; ++drained) {
      const auto known = fleet.dispatcher(i).find("worker-" + std::to_string(drained));
      if (!known || known->entry.state != woadtide::WorkerState::draining) missing += 1;
    }
  }
  CHECK(missing == 0);
}

}  // namespace
}  // namespace woadtide::lab::hollow
