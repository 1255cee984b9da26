// Arithmetic on spans and names; nothing is decided here.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide {

inline double seconds(Micros span) { return std::chrono::duration<double>(span).count(); }
inline Micros seconds_span(double span) { return Micros{static_cast<std::int64_t>(span * 1e6)}; }
inline Micros scaled(Micros span, double factor) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(span.count()) * factor)};
}
inline double ratio(Micros latency, Micros threshold) {
  return static_cast<double>(latency.count()) / static_cast<double>(std::max(threshold, Micros{1}).count());
}

// What is left of a value that is `age` old.
inline double faded(double value, Micros age, Micros memory) {
  return value * std::exp(-seconds(age) / seconds(memory));
}

// Under `full` samples a high quantile is the maximum, and one long job would halve a healthy worker's limit:
// there the largest is left out.
inline double quantile(std::vector<double>& samples, double q, std::size_t full) {
  std::size_t rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(samples.size())));
  if (samples.size() < full) rank = std::min(rank, samples.size() - 1);
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank - 1), samples.end());
  return samples[rank - 1];
}

// FNV-1a: the same at every dispatcher, on any machine.
inline std::uint64_t hash_of(const std::string& name) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return hash;
}

// In (0, 1], of its own for each worker and number, and always the same one.
inline double draw_of(const std::string& worker, int number) {
  const std::uint64_t mixed = hash_of(worker + ' ' + std::to_string(number)) * 0x9E3779B97F4A7C15U;
  return static_cast<double>((mixed >> 11) + 1) * 0x1p-53;
}

// One's place among `count`, another one at each worker.
inline double place_in_turn(const std::string& worker, int number, int count) {
  return static_cast<double>((hash_of(worker) + static_cast<std::uint64_t>(number)) %
                             static_cast<std::uint64_t>(count));
}

}  // namespace woadtide
