#include "lab/scale/samples.hpp"

#include <algorithm>
#include <cstddef>
#include <stdexcept>

namespace woadtide::lab::scale {

namespace {

// The quantile of sorted values, without interpolation.
double quantile(const std::vector<double>& values, double fraction) {
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(fraction * last + 0.5)];
}

}  // namespace

Point summarize(double size, std::vector<double> values) {
  if (values.empty()) throw std::invalid_argument("scale: no samples to summarize");
  std::sort(values.begin(), values.end());
  return {size, quantile(values, 0.5), quantile(values, 0.1), quantile(values, 0.9), values.size()};
}

EventSeries::EventSeries(const std::string& event, const std::string& against, std::vector<double> targets)
    : time_{event + ", time", against, "us", {}, targets},
      allocations_{event + ", allocations", against, "", {}, std::move(targets)} {}

void EventSeries::add(double size, const EventSamples& samples) {
  time_.points.push_back(samples.time_summary(size));
  allocations_.points.push_back(samples.allocation_summary(size));
}

void EventSeries::append_to(Report& report) const {
  report.series.push_back(time_);
  report.series.push_back(allocations_);
}

}  // namespace woadtide::lab::scale
