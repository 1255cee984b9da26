// Time in the dispatcher: milliseconds as double, from one Clock. The module's Micros are made and read here
// and nowhere else.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// Milliseconds since the Unix epoch. Unix time is read once, at the start, and steady time added to it: the
// module compares it with a worker's born_ms, and must never see it go back.
class Clock {
 public:
  // `wall_step_ms`: for tests, as if the wall clock stood so far off when the process began.
  explicit Clock(double wall_step_ms = 0) : unix_at_start_(unix_now() + wall_step_ms) {}

  double now() const {
    const double held = held_.load();
    if (held >= 0) return held;
    const auto elapsed = std::chrono::steady_clock::now() - steady_at_start_;
    return unix_at_start_ + std::chrono::duration<double, std::milli>(elapsed).count();
  }
  // The same points on the machine's monotonic clock, which all its processes share: for what they tell each
  // other. Each read the wall clock at its own start, and it may have been stepped between.
  double to_monotonic(double ms) const { return ms - unix_at_start_ + steady_ms_at_start(); }
  double from_monotonic(double ms) const { return ms - steady_ms_at_start() + unix_at_start_; }
  // So many ms of real time ago; a clock that stands has none.
  double ago(double ms) const { return held_.load() >= 0 ? now() : now() - ms; }
  // For tests: from here on the clock stands at `ms` until it is set again.
  void set(double ms) { held_.store(ms); }

 private:
  static double unix_now() {
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  double steady_ms_at_start() const {
    return std::chrono::duration<double, std::milli>(steady_at_start_.time_since_epoch()).count();
  }
  double unix_at_start_;
  std::chrono::steady_clock::time_point steady_at_start_ = std::chrono::steady_clock::now();
  std::atomic<double> held_{-1};
};

// What Micros cannot hold, or is no number, must not come out as a time in the past or as anything at all.
inline woadtide::Micros to_micros(double ms) {
  constexpr double kMost = 4e18;  // two of them can be added
  const double micros = std::isnan(ms) ? 0 : std::min(std::max(ms * 1000, -kMost), kMost);
  return woadtide::Micros{static_cast<std::int64_t>(std::llround(micros))};
}
inline double to_ms(woadtide::Micros span) { return static_cast<double>(span.count()) / 1000; }

}  // namespace woadtide::core
