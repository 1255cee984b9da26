// The latency samples of one sampling window at one worker. It must not know limits, workers or clocks.
//
// Invariant: at most kMaxSamples are held, whatever the rate of answers. Beyond that each sample of the
// window is held with the same probability (reservoir sampling, Vitter's algorithm R), so quantiles stay
// unbiased.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "numbers.hpp"

namespace woadtide {

class LatencyWindow {
 public:
  // Enough for a 95th percentile that 50 samples exceed.
  static constexpr std::size_t kMaxSamples = 1024;

  // Adds one sample. `draw_random` returns uniform 64-bit numbers; it is called only where the window is
  // full.
  template <class DrawRandom>
  void add(double sample, DrawRandom&& draw_random) {
    seen_ += 1;
    if (samples_.size() < kMaxSamples) return samples_.push_back(sample);
    const std::uint64_t index = draw_random() % seen_;
    if (index < kMaxSamples) samples_[index] = sample;
  }

  // Number of samples that are held.
  std::size_t size() const { return samples_.size(); }

  // The `q` quantile (0 to 1) of the samples, of which there must be one at least; with fewer than
  // `min_samples` as quantile() in numbers.hpp says.
  double quantile_of_samples(double q, std::size_t min_samples) { return quantile(samples_, q, min_samples); }

  // Begins the next window.
  void clear() {
    samples_.clear();
    seen_ = 0;
  }

 private:
  std::vector<double> samples_;
  std::uint64_t seen_ = 0;  // samples added since the window began
};

}  // namespace woadtide
