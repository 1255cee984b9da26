// Statistics of a dispatcher by class: counters that start at zero with the process, so that two dispatchers,
// or two points in time of one, can be compared. Sent on the management address as text, one JSON object.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace woadtide::core {

// Histogram bins of the time from a query's last byte to its answer. Bins grow by 8%: from 1 ms to 17 s.
constexpr std::size_t kLatencyBinCount = 128;
// Returns the bin of a latency in ms. All latencies up to 1 ms, and NaN, are in the first bin; those above
// the range are in the last.
std::size_t latency_bin_of(double ms);
// Returns the upper limit of a bin in ms; slower answers are in later bins.
double latency_bin_limit_ms(std::size_t bin);

// Statistics of one class.
struct ClassStats {
  std::uint64_t accepted = 0, served = 0, refused = 0, failed = 0;
  std::uint64_t served_late = 0;  // of those served: after the class's target time
  std::array<std::uint64_t, kLatencyBinCount> latency_bins = {};

  // Counts a query that was answered after `ms`.
  void add_served(double ms, bool is_late);
  bool operator==(const ClassStats&) const = default;
};
// Statistics by the name of the class.
using DispatcherStats = std::map<std::string, ClassStats>;

// Returns the statistics as one JSON object in one line.
std::string serialize(const DispatcherStats& stats);
// Parses the text that serialize() returns. Throws std::runtime_error with a message of one line.
DispatcherStats parse_stats(const std::string& text);
// Parses the reply to the command `telemetry`, for programs from before these statistics: without latencies,
// and with no query counted as late.
DispatcherStats parse_telemetry(const std::string& text);

}  // namespace woadtide::core
