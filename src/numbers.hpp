// Arithmetic on spans and names; nothing is decided here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

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

// FNV-1a: the same at every dispatcher, on any machine.
inline std::uint64_t hash_of(const std::string& name) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return hash;
}

}  // namespace woadtide
