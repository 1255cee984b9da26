// The data of a scaling sweep: series of measured points, and single facts. Independent of the swept part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab::scale {

// The measurements at one size, summarized.
struct Point {
  double size = 0;
  double median = 0, low = 0, high = 0;  // low and high: the 10th and 90th percentiles
  std::size_t samples = 0;
};

// One measured quantity over growing sizes.
struct Series {
  std::string name;     // the measured quantity, for example "request, time"
  std::string against;  // the quantity that grows, for example "workers"
  std::string unit;
  std::vector<Point> points;
  std::vector<double> targets;  // sizes at which the fitted line is evaluated in the report
};

// A single measured value.
struct Fact {
  std::string name;
  double value = 0;
  std::string unit;
};

// All results of one sweep.
struct Report {
  std::string part;
  std::uint64_t seed = 0;
  std::vector<Series> series;
  std::vector<Fact> facts;
};

// Options common to all sweeps.
struct Settings {
  std::uint64_t seed = 1;
  bool small = false;  // few sizes and few samples, for tests
  // Existing folder in which the parts that write files create a temporary one, removed at the end; empty:
  // the system's temporary folder.
  std::string folder;
};

// The fleet sizes that operators plan for; the sweeps extrapolate to them.
constexpr double kTargetWorkers = 3'200;
constexpr double kTargetRunningTasks = 33'000;
constexpr double kTargetDispatchers[] = {300, 3'000};

}  // namespace woadtide::lab::scale
