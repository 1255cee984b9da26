// Arithmetic on time spans, samples and worker names that several modules share.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide {

inline double seconds(Micros span) { return std::chrono::duration<double>(span).count(); }
// Rounds towards zero.
inline Micros seconds_to_micros(double span_s) { return Micros{static_cast<std::int64_t>(span_s * 1e6)}; }
// `span` times `factor`, rounded towards zero.
inline Micros scaled(Micros span, double factor) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(span.count()) * factor)};
}
// `latency` over `threshold`, of which less than 1 microsecond counts as 1.
inline double ratio(Micros latency, Micros threshold) {
  return static_cast<double>(latency.count()) / static_cast<double>(std::max(threshold, Micros{1}).count());
}

// The value after exponential decay for `age`: 1/e of it is left after `decay_time`.
inline double decayed(double value, Micros age, Micros decay_time) {
  return value * std::exp(-seconds(age) / seconds(decay_time));
}

// The `q` quantile (0 to 1) of `samples`, which must not be empty and are reordered. With fewer than
// `min_samples` a high quantile is the maximum, and one long job would cut a healthy worker's limit: there
// the largest sample is left out.
inline double quantile(std::vector<double>& samples, double q, std::size_t min_samples) {
  std::size_t rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(samples.size())));
  if (samples.size() < min_samples) rank = std::min(rank, samples.size() - 1);
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank - 1), samples.end());
  return samples[rank - 1];
}

// 64-bit FNV-1a hash, which is the same at every dispatcher and on any machine.
inline std::uint64_t fnv1a_hash(const std::string& name) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return hash;
}

// A pseudo-random number in (0, 1] that depends on the worker and `number` only.
inline double stable_draw(const std::string& worker, int number) {
  const std::uint64_t mixed = fnv1a_hash(worker + ' ' + std::to_string(number)) * 0x9E3779B97F4A7C15U;
  return static_cast<double>((mixed >> 11) + 1) * 0x1p-53;
}

// The place of dispatcher `number` in the order of all `count` dispatchers, from 0; each worker has another
// order.
inline double place_in_turn_order(const std::string& worker, int number, int count) {
  return static_cast<double>((fnv1a_hash(worker) + static_cast<std::uint64_t>(number)) %
                             static_cast<std::uint64_t>(count));
}

}  // namespace woadtide
