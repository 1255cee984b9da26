// What a scaling sweep yields: series of measured points, and single facts. Knows no part by itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab::scale {

struct Point {
  double size = 0;
  double median = 0, low = 0, high = 0;  // low and high: the tenth and the ninetieth percentile
  std::size_t samples = 0;
};

struct Series {
  std::string name;     // what is measured, for example "request, time"
  std::string against;  // what grows, for example "workers"
  std::string unit;
  std::vector<Point> points;
  std::vector<double> targets;  // sizes at which the fitted line is told
};

struct Fact {
  std::string name;
  double value = 0;
  std::string unit;
};

struct Report {
  std::string part;
  std::uint64_t seed = 0;
  std::vector<Series> series;
  std::vector<Fact> facts;
};

struct Settings {
  std::uint64_t seed = 1;
  bool small = false;  // few sizes and few samples: for tests
  std::string folder;  // where the store part writes; empty: a temporary folder, removed at its end
};

// The operators' sizes, for which the capacity page is written.
constexpr double kTargetWorkers = 3'200;
constexpr double kTargetRunning = 33'000;
constexpr double kTargetDispatchers[] = {300, 3'000};

}  // namespace woadtide::lab::scale
