// Time in the dispatcher: milliseconds as double, all from one Clock. Conversions from and to the decision
// module's Micros are made here and nowhere else.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "woadtide/balance.hpp"

namespace woadtide::core {

// Clock that counts milliseconds since the Unix epoch. The wall clock is read once, at the start, and steady
// time is added to it: the module compares the time with a worker's born_ms, and must never see it go
// backwards.
class Clock {
 public:
  // `wall_clock_offset_ms`: for tests, as if the wall clock had been off by so much at the start.
  explicit Clock(double wall_clock_offset_ms = 0) : unix_at_start_(unix_now() + wall_clock_offset_ms) {}

  // Returns the current time.
  double now() const {
    const double frozen_at = frozen_at_.load();
    if (frozen_at >= 0) return frozen_at;
    const auto elapsed = std::chrono::steady_clock::now() - steady_at_start_;
    return unix_at_start_ + std::chrono::duration<double, std::milli>(elapsed).count();
  }
  // Convert a time to and from the machine's monotonic clock, which all processes share. For messages between
  // processes: each of them read the wall clock at its own start, and it may have been stepped in between.
  double to_monotonic(double ms) const { return ms - unix_at_start_ + steady_ms_at_start(); }
  double from_monotonic(double ms) const { return ms - steady_ms_at_start() + unix_at_start_; }
  // Returns the time `ms` milliseconds of real time ago; for a clock that tests have stopped, the current
  // time.
  double before_now(double ms) const { return frozen_at_.load() >= 0 ? now() : now() - ms; }
  // For tests: stops the clock at `ms` until it is set again.
  void set(double ms) { frozen_at_.store(ms); }

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
  std::atomic<double> frozen_at_{-1};  // set by tests; negative: the clock runs
};

// Converts to Micros. Values out of range are clamped and NaN becomes 0: the conversion of either is
// undefined, and could give a time in the past or any other value.
inline woadtide::Micros to_micros(double ms) {
  constexpr double kMaxMicros = 4e18;  // the sum of two of them does not overflow
  const double micros = std::isnan(ms) ? 0 : std::min(std::max(ms * 1000, -kMaxMicros), kMaxMicros);
  return woadtide::Micros{static_cast<std::int64_t>(std::llround(micros))};
}
// Converts to milliseconds.
inline double to_ms(woadtide::Micros span) { return static_cast<double>(span.count()) / 1000; }

}  // namespace woadtide::core
