// Collects repeated measurements of one event and summarizes them as a point: time, allocations and any other
// counts of the caller.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "lab/scale/allocations.hpp"
#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

// Median and percentiles of the values. Throws std::invalid_argument if there are none.
Point summarize(double size, std::vector<double> values);

// Measurements of one event at one size.
class EventSamples {
 public:
  // Runs `operation` once and records its time and its number of allocations.
  template <class Operation>
  void measure(const Operation& operation) {
    const Allocations before = allocations();
    const auto begin = std::chrono::steady_clock::now();
    operation();
    const auto end = std::chrono::steady_clock::now();
    const Allocations after = allocations();
    microseconds_.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
    allocation_counts_.push_back(static_cast<double>(after.count - before.count));
  }
  // Time of one run, in microseconds.
  Point time_summary(double size) const { return summarize(size, microseconds_); }
  // Heap allocations of one run.
  Point allocation_summary(double size) const { return summarize(size, allocation_counts_); }

 private:
  std::vector<double> microseconds_, allocation_counts_;
};

// Two series of one event over growing sizes: its time and its allocations.
class EventSeries {
 public:
  EventSeries(const std::string& event, const std::string& against, std::vector<double> targets);
  // Adds the point of one size to both series.
  void add(double size, const EventSamples& samples);
  // Appends both series to the report.
  void append_to(Report& report) const;

 private:
  Series time_, allocations_;
};

}  // namespace woadtide::lab::scale
