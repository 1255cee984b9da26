#include "lab/hollow/fleet_day.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include "core/clock.hpp"
#include "lab/hollow/hollow_fleet.hpp"

namespace woadtide::lab::hollow {

using woadtide::WorkerState;

namespace {

// Times of the fleet, before the speed is counted in.
constexpr double kDayMs = 24 * 3'600'000.0;
constexpr double kDrainMs = 30'000;                          // from the drain of a worker to its end
constexpr double kStartMs = 30'000;                          // from its end to its next start
constexpr double kRepairMs = 600'000;                        // from the loss of a machine to its return
constexpr double kRackLossMs = 1'000, kZoneLossMs = 60'000;  // over which all of them are lost, or return
constexpr std::size_t kRackWorkers = 40;
constexpr double kLatest = 0.95;  // of the day, for what takes time to be over by its end

class Day {
 public:
  explicit Day(const FleetDaySettings& settings) : settings_(settings), random_(settings.seed) {}

  std::vector<FleetChange> draw() {
    for (int i = scaled(settings_.failures); i > 0; --i) lose(any_worker(), any_time());
    for (int i = scaled(settings_.restarts); i > 0; --i) restart(any_worker(), any_time());
    for (int i = settings_.racks; i > 0; --i) lose_rack(any_worker(), any_time());
    for (int i = settings_.zones; i > 0; --i) lose_zone(any_worker(), any_time());
    for (int i = scaled(settings_.other_changes); i > 0; --i) reweigh(any_worker(), any_time());
    std::stable_sort(changes_.begin(), changes_.end(),
                     [](const FleetChange& a, const FleetChange& b) { return a.at_ms < b.at_ms; });
    return std::move(changes_);
  }

 private:
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  double any_time() { return uniform() * kLatest * kDayMs; }
  std::size_t any_worker() { return random_() % settings_.workers; }
  int scaled(int count) const {
    const double share = static_cast<double>(settings_.workers) / FleetDaySettings::kReferenceWorkers;
    return count == 0 ? 0 : std::max(1, static_cast<int>(std::lround(count * share)));
  }
  void add(std::size_t worker, WorkerState state, double at, bool starts = false, double weight = 1) {
    const double at_ms = at / settings_.speed;
    FleetChange change{at_ms, HollowFleet::worker(worker, state, starts ? settings_.start_ms + at_ms : 0)};
    change.host.entry.weight = weight;
    changes_.push_back(std::move(change));
  }
  void lose(std::size_t worker, double at) {
    add(worker, WorkerState::gone, at);
    add(worker, WorkerState::ready, at + kRepairMs, true);
  }
  void restart(std::size_t worker, double at) {
    add(worker, WorkerState::draining, at);
    add(worker, WorkerState::gone, at + kDrainMs);
    add(worker, WorkerState::ready, at + kDrainMs + kStartMs, true);
  }
  void lose_rack(std::size_t worker, double at) {
    for (std::size_t i = 0; i < std::min(kRackWorkers, settings_.workers); ++i)
      lose((worker + i) % settings_.workers, at + uniform() * kRackLossMs);
  }
  void lose_zone(std::size_t worker, double at) {
    const std::string zone = HollowFleet::worker(worker, WorkerState::ready).entry.zone;
    for (std::size_t i = 0; i < settings_.workers; ++i)
      if (HollowFleet::worker(i, WorkerState::ready).entry.zone == zone)
        lose(i, at + uniform() * kZoneLossMs);
  }
  void reweigh(std::size_t worker, double at) { add(worker, WorkerState::ready, at, false, 0.5 + uniform()); }

  const FleetDaySettings settings_;
  std::mt19937_64 random_;
  std::vector<FleetChange> changes_;
};

}  // namespace

std::vector<FleetChange> draw_day(const FleetDaySettings& settings) { return Day(settings).draw(); }

}  // namespace woadtide::lab::hollow
