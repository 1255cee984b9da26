// Three ways to tell whether the changed cohort does worse, on the same recorded pairs: fixed thresholds, a
// test on fixed windows, and the sequential test that is used. Prints false stops of 400 equal pairs over ten
// minutes, and for each defect how many of 400 are found within ten minutes, and the median second.
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

constexpr int kSeconds = 600, kRuns = 400, kWindow = 60;

// Sums of a measure over the last window, of both sides.
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
        for (const auto& [name, counts] : (side == 0 ? pair.fresh : pair.old).classes) {
          const std::array<int, 5> events = {counts.failed, counts.refused, counts.late, counts.slow[0],
                                             counts.slow[1]};
          for (std::size_t i = 0; i < events.size(); ++i) {
            Sum& sum = sums[name + std::to_string(i)];
            sum.asked[side] += counts.asked;
            sum.events[side] += events[i];
          }
        }
  }
};

using Way = std::function<std::optional<int>(const std::vector<Slice>&)>;

// `bad` of each whole window: the second at which it said so.
std::optional<int> by_windows(const std::vector<Slice>& slices,
                              const std::function<bool(const Window::Sum&)>& bad) {
  Window window;
  for (std::size_t at = 0; at < slices.size(); ++at) {
    window.add(slices[at]);
    if (window.seconds < kWindow) continue;
    for (const auto& [name, sum] : window.sums)
      if (sum.asked[0] > 0 && sum.asked[1] > 0 && bad(sum)) return static_cast<int>(at);
    window = {};
  }
  return std::nullopt;
}

bool over_threshold(const Window::Sum& sum) {
  const double fresh = sum.events[0] / sum.asked[0], old = sum.events[1] / sum.asked[1];
  return fresh > old + 0.01 && fresh > 1.25 * old;
}

bool by_z(const Window::Sum& sum) {
  const double n = sum.asked[0], m = sum.asked[1], all = (sum.events[0] + sum.events[1]) / (n + m);
  const double spread = std::sqrt(all * (1 - all) * (1 / n + 1 / m));
  return spread > 0 && (sum.events[0] / n - sum.events[1] / m) / spread > 2.33;
}

std::optional<int> sequential(const std::vector<Slice>& slices) {
  Verdict verdict;
  for (std::size_t at = 0; at < slices.size(); ++at) {
    verdict.add(slices[at]);
    if (verdict.outcome() == Outcome::worse) return static_cast<int>(at);
  }
  return std::nullopt;
}

}  // namespace

int main() {
  std::vector<std::pair<std::string, World>> worlds(6);
  worlds[0].first = "equal, 1 of 12 changed";
  worlds[1].first = "equal, 6 of 12 changed";
  worlds[1].second.fresh = 6;
  worlds[2].first = "2% of payouts fail";
  worlds[2].second.failed = 0.02;
  worlds[3].first = "all payouts fail";
  worlds[3].second.failed = 1;
  worlds[4].first = "60% more over p95, p99";
  worlds[4].second.slow = 0.6;
  worlds[5].first = "25% more over p95, p99; 6 of 12";
  worlds[5].second.slow = 0.25;
  worlds[5].second.fresh = 6;
  const std::vector<std::pair<const char*, Way>> ways = {
      {"fixed thresholds", [](const auto& s) { return by_windows(s, over_threshold); }},
      {"windows, z at 1%", [](const auto& s) { return by_windows(s, by_z); }},
      {"sequential", sequential}};
  std::printf("%-34s", "of 400 pairs called worse (median s)");
  for (const auto& [name, way] : ways) std::printf(" %20s", name);
  std::printf("\n");
  for (const auto& [name, world] : worlds) {
    std::printf("%-34s", name.c_str());
    std::vector<std::vector<int>> found(ways.size());
    for (int run = 0; run < kRuns; ++run) {
      pcg32 random(static_cast<std::uint64_t>(run) + 50'000);
      std::vector<Slice> slices;
      for (int at = 0; at < kSeconds; ++at) slices.push_back(world.second(random, at));
      for (std::size_t i = 0; i < ways.size(); ++i)
        if (const auto at = ways[i].second(slices)) found[i].push_back(*at);
    }
    for (auto& times : found) {
      std::sort(times.begin(), times.end());
      std::printf(" %12zu (%4d)", times.size(), times.empty() ? -1 : times[times.size() / 2]);
    }
    std::printf("\n");
  }
}
