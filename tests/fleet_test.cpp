// Bounds that hold for a hundred dispatchers together, each of which observes little. See fleet.hpp.
#include "fleet.hpp"

namespace woadtide {
namespace {

Settings fleet_settings() {
  Settings s = on_request_settings(10s);
  s.classes[0].aim = 400ms;
  s.classes[0].deadline = 8s;
  s.fall_multiple = 3;
  s.start_capacity = 0.12;
  s.may_probe = true;
  return s;
}

ListEntry host(int number, const std::string& zone) {
  ListEntry e = entry("w" + std::to_string(number), zone);
  e.kind = "m";
  return e;
}

// Starts all dispatchers with 60 workers of 3 cores in two zones, which can do 257 jobs of 0.7 s per second.
void start_with_sixty_workers(Fleet& fleet) {
  for (int i = 0; i < 60; ++i) fleet.workers["w" + std::to_string(i)].entry = host(i, i % 2 ? "a" : "b");
  for (int i = 0; i < fleet.settings.dispatchers; ++i) fleet.start(i);
}

// Discovery needs 60 ms for a call and also handles calls that timed out after 2 s. A hundred calls at once
// are 6 s of work, and dispatchers that ask again within that time would keep it overloaded for ever.
TEST(Fleet, RestartOfMostDispatchersDoesNotOverloadDiscovery) {
  Fleet fleet(fleet_settings(), 100, 5);
  fleet.workers["w0"].entry = host(0, "a");
  for (int i = 0; i < 100; ++i) fleet.start(i);
  fleet.run_until(12s);
  for (int i = 0; i < 70; ++i) fleet.start(i);
  fleet.run_until(30s);
  EXPECT_EQ(fleet.subscribed(), 100);
  int max_calls_per_second = 0, all_calls = 0;
  for (const auto& [second, calls] : fleet.calls)
    max_calls_per_second = std::max(max_calls_per_second, calls), all_calls += calls;
  EXPECT_LE(max_calls_per_second, 25);
  EXPECT_LE(all_calls, 200) << "hardly any call fails";
}

TEST(Fleet, DiscoveryIsNotOverloadedByCallsAfterAnOutage) {
  Fleet fleet(fleet_settings(), 100, 6);
  fleet.workers["w0"].entry = host(0, "a");
  fleet.discovery_up = false;
  for (int i = 0; i < 100; ++i) fleet.start(i);
  fleet.run_until(21s);
  int failed_calls = 0;
  for (const auto& [second, calls] : fleet.calls) failed_calls += calls;
  EXPECT_LE(failed_calls, 20 * 20) << "calls in 20 s; discovery could handle 333";
  fleet.discovery_up = true;
  fleet.run_until(45s);
  EXPECT_GE(fleet.subscribed(), 95);
}

// Each dispatcher sends only a few jobs per second to 60 workers, so the sampling window of one worker never
// fills. At 1.5 times the capacity of the fleet, admitted jobs must still be in time, and the rest be
// refused.
TEST(Fleet, OverloadIsRefusedThoughEachDispatcherHasFewSamples) {
  Fleet fleet(fleet_settings(), 100, 7);
  start_with_sixty_workers(fleet);
  for (int i = 0; i < 100; ++i) fleet.add_load(i, 3.86, 700ms, 25s);
  fleet.run_until(25s);
  const Fleet::Totals totals = fleet.totals_between(10, 25);
  EXPECT_GT(totals.in_time, 15 * 257 * 0.6) << "late " << totals.late << " refused " << totals.refused;
  EXPECT_LT(totals.late, totals.in_time / 2) << "in time " << totals.in_time << " refused " << totals.refused;
}

// When a dispatcher compared other workers each time, all of them used all workers, and most links were used
// only once. Each now compares much the same twenty of 60 workers, and each worker still has many
// dispatchers.
TEST(Fleet, EachDispatcherUsesFewWorkersAndEachWorkerHasManyDispatchers) {
  Fleet fleet(fleet_settings(), 100, 10);
  start_with_sixty_workers(fleet);
  for (int i = 0; i < 100; ++i) fleet.add_load(i, 1.7, 700ms, 30s);
  fleet.run_until(30s);
  EXPECT_LT(fleet.links.size(), 100u * 26) << "of " << fleet.totals_between(0, 30).sends << " sends";
  std::map<std::string, int> dispatchers_of;
  for (const auto& [dispatcher, worker] : fleet.links) dispatchers_of[worker] += 1;
  for (const auto& [worker, dispatchers] : dispatchers_of) EXPECT_GT(dispatchers, 10) << worker;
  EXPECT_EQ(dispatchers_of.size(), 60u);
  EXPECT_GT(fleet.totals_between(2, 30).in_time, fleet.totals_between(2, 30).requests * 0.9);
}

// In overload the class with more worth per job is refused less.
TEST(Fleet, OverloadRefusesTheClassOfLessWorthMore) {
  Settings settings = fleet_settings();
  settings.classes[1].aim = 400ms;
  settings.classes[1].deadline = 8s;
  settings.classes[1].worth = 2.5;
  Fleet fleet(settings, 100, 11);
  start_with_sixty_workers(fleet);
  for (int i = 0; i < 100; ++i) fleet.add_load(i, 1.93, 700ms, 25s), fleet.add_load(i, 1.93, 700ms, 25s, 1);
  fleet.run_until(25s);
  Fleet::Totals totals = fleet.totals_between(10, 25);
  EXPECT_GT(totals.refused_by_class[0] * 10, totals.refused_by_class[1] * 13);
}

// Six in ten workers are replaced. No dispatcher ever has two jobs at one of them, so its own jobs do not
// show how many cores they have. Counted as one core each, the new workers were idle while the others
// refused.
TEST(Fleet, ReplacementWorkersAreUsedAndNoneIsOverloaded) {
  Fleet fleet(fleet_settings(), 100, 8);
  start_with_sixty_workers(fleet);
  for (int i = 0; i < 100; ++i) fleet.add_load(i, 1.7, 700ms, 30s);
  fleet.run_until(12s);
  std::vector<ListEntry> changes;
  for (int i = 0; i < 36; ++i) {
    Fleet::Worker& old = fleet.workers["w" + std::to_string(i)];
    old.entry.state = WorkerState::gone;
    changes.push_back(old.entry);
    Fleet::Worker& replacement = fleet.workers["n" + std::to_string(i)];
    replacement.entry = host(i, i % 2 ? "a" : "b");
    replacement.entry.worker = "n" + std::to_string(i);
    replacement.entry.started = replacement.cold_since = fleet.now;
    changes.push_back(replacement.entry);
  }
  fleet.send_changes(changes);
  fleet.run_until(30s);
  double work_done_s = 0, max_peak = 0;
  for (const auto& [name, worker] : fleet.workers)
    if (worker.cold_since.count() > 0)
      work_done_s += std::chrono::duration<double>(worker.work_done).count(),
          max_peak = std::max(max_peak, worker.peak_load_ratio);
  // 12 to 100 % of 3 cores over 20 s, of which 18 s pass: 29 s of work each.
  EXPECT_GT(work_done_s, 36 * 29 * 0.33) << "seconds of work of the " << 36 * 29 << " that they can do";
  EXPECT_LT(max_peak, 1);
}

// A zone is lost for 6 s and comes back cold, and the list does not say so. If each of 100 dispatchers tried
// it with one or two jobs, they would overload the whole zone at once.
TEST(Fleet, ZoneThatComesBackIsNotOverloadedBeforeTheListSaysSo) {
  Fleet fleet(fleet_settings(), 100, 9);
  start_with_sixty_workers(fleet);
  for (int i = 0; i < 100; ++i) fleet.add_load(i, 1.7, 700ms, 22s);
  fleet.run_until(12s);
  for (int i = 1; i < 60; i += 2)
    fleet.workers["w" + std::to_string(i)].down_until = fleet.workers["w" + std::to_string(i)].cold_since =
        18s;
  fleet.run_until(22s);
  double sum = 0;
  for (const auto& [name, worker] : fleet.workers) sum += worker.peak_load_ratio;
  EXPECT_LT(sum / 30, 1.5) << "mean peak load over what a worker can bear; up to 1 is no overload";
}

}  // namespace
}  // namespace woadtide
