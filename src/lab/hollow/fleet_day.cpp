#include "lab/hollow/fleet_day.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include "core/clock.hpp"
#include "lab/hollow/hollow_fleet.hpp"

namespace woadtide::lab::hollow {

using woadtide::WorkerState;

namespace {

// Times of the simulated day, before division by the speed.
constexpr double kDayMs = 24 * 3'600'000.0;
constexpr double kDrainDurationMs = 30'000;    // from the start of a worker's drain to its stop
constexpr double kRestartDelayMs = 30'000;     // from its stop to its next start
constexpr double kRepairDurationMs = 600'000;  // from a machine's failure to its return
// Time within which all machines of a rack or zone fail, and later return.
constexpr double kRackFailureSpreadMs = 1'000, kZoneFailureSpreadMs = 60'000;
constexpr std::size_t kRackWorkers = 40;
// Share of the day in which events start, so that those that take time are over by its end.
constexpr double kLatestStartShare = 0.95;

class DayGenerator {
 public:
  explicit DayGenerator(const FleetDaySettings& settings) : settings_(settings), random_(settings.seed) {}

  std::vector<FleetChange> generate() {
    for (int i = scale_count(settings_.failures); i > 0; --i) add_failure(random_worker(), random_time());
    for (int i = scale_count(settings_.restarts); i > 0; --i) add_restart(random_worker(), random_time());
    for (int i = settings_.rack_failures; i > 0; --i) add_rack_failure(random_worker(), random_time());
    for (int i = settings_.zone_failures; i > 0; --i) add_zone_failure(random_worker(), random_time());
    for (int i = scale_count(settings_.weight_changes); i > 0; --i)
      add_weight_change(random_worker(), random_time());
    std::stable_sort(changes_.begin(), changes_.end(),
                     [](const FleetChange& a, const FleetChange& b) { return a.at_ms < b.at_ms; });
    return std::move(changes_);
  }

 private:
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  double random_time() { return uniform() * kLatestStartShare * kDayMs; }
  std::size_t random_worker() { return random_() % settings_.workers; }
  int scale_count(int count) const {
    const double share = static_cast<double>(settings_.workers) / FleetDaySettings::kReferenceWorkers;
    return count == 0 ? 0 : std::max(1, static_cast<int>(std::lround(count * share)));
  }
  void add_change(std::size_t worker, WorkerState state, double day_ms, bool starts = false,
                  double weight = 1) {
    const double at_ms = day_ms / settings_.speed;
    FleetChange change{at_ms,
                       HollowFleet::worker_endpoint(worker, state, starts ? settings_.start_ms + at_ms : 0)};
    change.endpoint.entry.weight = weight;
    changes_.push_back(std::move(change));
  }
  void add_failure(std::size_t worker, double day_ms) {
    add_change(worker, WorkerState::gone, day_ms);
    add_change(worker, WorkerState::ready, day_ms + kRepairDurationMs, true);
  }
  void add_restart(std::size_t worker, double day_ms) {
    add_change(worker, WorkerState::draining, day_ms);
    add_change(worker, WorkerState::gone, day_ms + kDrainDurationMs);
    add_change(worker, WorkerState::ready, day_ms + kDrainDurationMs + kRestartDelayMs, true);
  }
  void add_rack_failure(std::size_t worker, double day_ms) {
    for (std::size_t i = 0; i < std::min(kRackWorkers, settings_.workers); ++i)
      add_failure((worker + i) % settings_.workers, day_ms + uniform() * kRackFailureSpreadMs);
  }
  void add_zone_failure(std::size_t worker, double day_ms) {
    const std::string zone = HollowFleet::worker_endpoint(worker, WorkerState::ready).entry.zone;
    for (std::size_t i = 0; i < settings_.workers; ++i)
      if (HollowFleet::worker_endpoint(i, WorkerState::ready).entry.zone == zone)
        add_failure(i, day_ms + uniform() * kZoneFailureSpreadMs);
  }
  void add_weight_change(std::size_t worker, double day_ms) {
    add_change(worker, WorkerState::ready, day_ms, false, 0.5 + uniform());
  }

  const FleetDaySettings settings_;
  std::mt19937_64 random_;
  std::vector<FleetChange> changes_;
};

}  // namespace

std::vector<FleetChange> generate_day(const FleetDaySettings& settings) {
  return DayGenerator(settings).generate();
}

}  // namespace woadtide::lab::hollow
