// Collects repeated measurements of one event and condenses them to a point: time, allocations and whatever
// the caller counts.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "lab/scale/allocations.hpp"
#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

// Throws std::invalid_argument where there are no values.
Point point_of(double size, std::vector<double> values);

// One event measured many times at one size.
class EventSamples {
 public:
  // Runs `work` once, and notes its time and its allocations.
  template <class Work>
  void measure(const Work& work) {
    const Allocations before = allocations();
    const auto begin = std::chrono::steady_clock::now();
    work();
    const auto end = std::chrono::steady_clock::now();
    const Allocations after = allocations();
    microseconds_.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
    counts_.push_back(static_cast<double>(after.count - before.count));
  }
  Point time(double size) const { return point_of(size, microseconds_); }
  Point allocated(double size) const { return point_of(size, counts_); }

 private:
  std::vector<double> microseconds_, counts_;
};

// The series of one event's time and of its allocations, over growing sizes.
class EventSeries {
 public:
  EventSeries(const std::string& event, const std::string& against, std::vector<double> targets);
  void add(double size, const EventSamples& samples);
  void append_to(Report& report) const;

 private:
  Series time_, allocations_;
};

}  // namespace woadtide::lab::scale
