// Compares three methods of detecting that the changed cohort does worse, on the same generated pairs of
// cohorts: fixed thresholds, a z-test on fixed windows, and the sequential test that is in use. Prints
// the false stops of 400 equal pairs within ten minutes, and for each defect how many of 400 are detected
// within ten minutes, with the median second of detection.
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "tests/verdict_world.hpp"

namespace {

using namespace woadtide::verdict;

constexpr int kMaxSeconds = 600, kRunCount = 400, kWindowSeconds = 60;

// Sums of each measure over the current window, for both cohorts (0: new version, 1: old version).
struct Window {
  struct Sum {
    double asked[2] = {}, events[2] = {};
  };
  std::map<std::string, Sum> sums;
  int seconds = 0;
  void add(const Slice& slice) {
    seconds += 1;
    for (const auto& [zone, pair] : slice)
      for (int side = 0; side < 2; ++side)
        for (const auto& [name, counts] : (side == 0 ? pair.changed : pair.reference).classes) {
          const std::array<int, 5> events = {counts.failed, counts.refused, counts.served_late,
                                             counts.slow[0], counts.slow[1]};
          for (std::size_t i = 0; i < events.size(); ++i) {
            Sum& sum = sums[name + std::to_string(i)];
            sum.asked[side] += counts.accepted;
            sum.events[side] += events[i];
          }
        }
  }
};

using Method = std::function<std::optional<int>(const std::vector<Slice>&)>;

// Applies `is_worse` to the sums of each complete window; returns the second at which it is first true.
std::optional<int> test_windows(const std::vector<Slice>& slices,
                                const std::function<bool(const Window::Sum&)>& is_worse) {
  Window window;
  for (std::size_t second = 0; second < slices.size(); ++second) {
    window.add(slices[second]);
    if (window.seconds < kWindowSeconds) continue;
    for (const auto& [name, sum] : window.sums)
      if (sum.asked[0] > 0 && sum.asked[1] > 0 && is_worse(sum)) return static_cast<int>(second);
    window = {};
  }
  return std::nullopt;
}

// More than one percentage point and more than a quarter above the old version's share of events.
bool exceeds_threshold(const Window::Sum& sum) {
  const double fresh = sum.events[0] / sum.asked[0], old = sum.events[1] / sum.asked[1];
  return fresh > old + 0.01 && fresh > 1.25 * old;
}

// One-sided two-proportion z-test at 1%.
bool exceeds_z_score(const Window::Sum& sum) {
  const double n = sum.asked[0], m = sum.asked[1], pooled = (sum.events[0] + sum.events[1]) / (n + m);
  const double standard_error = std::sqrt(pooled * (1 - pooled) * (1 / n + 1 / m));
  return standard_error > 0 && (sum.events[0] / n - sum.events[1] / m) / standard_error > 2.33;
}

std::optional<int> test_sequentially(const std::vector<Slice>& slices) {
  Verdict verdict;
  for (std::size_t second = 0; second < slices.size(); ++second) {
    verdict.add(slices[second]);
    if (verdict.outcome() == Outcome::worse) return static_cast<int>(second);
  }
  return std::nullopt;
}

}  // namespace

int main() {
  std::vector<std::pair<std::string, SimulatedFleet>> fleets(6);
  fleets[0].first = "equal, 1 of 12 changed";
  fleets[1].first = "equal, 6 of 12 changed";
  fleets[1].second.changed_dispatchers = 6;
  fleets[2].first = "2% of payouts fail";
  fleets[2].second.extra_failed_share = 0.02;
  fleets[3].first = "all payouts fail";
  fleets[3].second.extra_failed_share = 1;
  fleets[4].first = "60% more over p95, p99";
  fleets[4].second.extra_slow_share = 0.6;
  fleets[5].first = "25% more over p95, p99; 6 of 12";
  fleets[5].second.extra_slow_share = 0.25;
  fleets[5].second.changed_dispatchers = 6;
  const std::vector<std::pair<const char*, Method>> methods = {
      {"fixed thresholds", [](const auto& s) { return test_windows(s, exceeds_threshold); }},
      {"windows, z at 1%", [](const auto& s) { return test_windows(s, exceeds_z_score); }},
      {"sequential", test_sequentially}};
  std::printf("%-34s", "of 400 pairs called worse (median s)");
  for (const auto& [name, method] : methods) std::printf(" %20s", name);
  std::printf("\n");
  for (const auto& [name, fleet] : fleets) {
    std::printf("%-34s", name.c_str());
    std::vector<std::vector<int>> found(methods.size());
    for (int run = 0; run < kRunCount; ++run) {
      pcg32 random(static_cast<std::uint64_t>(run) + 50'000);
      std::vector<Slice> slices;
      for (int at = 0; at < kMaxSeconds; ++at) slices.push_back(fleet.next_slice(random, at));
      for (std::size_t i = 0; i < methods.size(); ++i)
        if (const auto at = methods[i].second(slices)) found[i].push_back(*at);
    }
    for (auto& times : found) {
      std::sort(times.begin(), times.end());
      std::printf(" %12zu (%4d)", times.size(), times.empty() ? -1 : times[times.size() / 2]);
    }
    std::printf("\n");
  }
}
