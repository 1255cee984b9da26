// Turns samples of dispatchers' statistics into the slices that the verdict compares: what each dispatcher
// did between two samples, assigned to the changed or the unchanged cohort of its zone and normalised by its
// own baseline. It has no access to sockets or the disk.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/figures.hpp"
#include "verdict/verdict.hpp"

namespace woadtide::control {

// Statistics of one dispatcher at one time. Counts run from the start of its process.
struct Sample {
  double at_ms = 0;
  int pid = 0;      // a different one: the counts started again
  int crashes = 0;  // unplanned process ends, in total
  double memory_mb = 0, cpu_ms = 0;
  core::DispatcherStats classes;
};

// The cohort of a dispatcher: `changed` runs the new version, `reference` is what it is compared with.
enum class Cohort { none, changed, reference };

class Cohorts {
 public:
  // `zones`: the zone of each dispatcher, by name.
  explicit Cohorts(std::map<std::string, std::string> zones) : zones_(std::move(zones)) {}

  // Adds the next samples. For the dispatchers in `unchanged` they also extend the baseline.
  void add_samples(const std::map<std::string, Sample>& samples, const std::set<std::string>& unchanged);
  // Returns what happened since the previous samples, for dispatchers sampled both times in the same process.
  using Assignment = std::map<std::string, Cohort>;
  verdict::Slice slice(const Assignment& assignment) const;
  // The same, but with the baselines of the changed dispatchers in place of the reference cohort, one
  // interval per call: for a stage that leaves no dispatcher to compare with.
  verdict::Slice slice_against_baseline(const Assignment& assignment);
  // The baselines as JSON, for the next run of the controller; their single intervals are not included.
  std::string serialize_baselines() const;
  // Throws std::runtime_error if the text is malformed.
  void restore_baselines(const std::string& text);

 private:
  // What a dispatcher did between two samples.
  struct Interval {
    double ms = 0, memory_mb = 0, cpu_ms = 0;
    int restarts = 0;
    core::DispatcherStats classes;
  };
  // What a dispatcher did before it was changed.
  struct Baseline {
    double ms = 0, memory_mb = 0, cpu_ms = 0;  // memory_mb: sum over samples
    int samples = 0;
    core::DispatcherStats classes;
    std::deque<Interval> intervals;  // the latest
  };
  void add(verdict::CohortStats& side, const std::string& member, const Interval& interval) const;
  std::size_t slow_bin(const std::string& member, const std::string& class_name, double share) const;
  // Returns how many of `queries` queries would have had an event, given `events` of `asked` in the
  // dispatcher's baseline and `all_events` of `all_asked` in the baselines of all dispatchers.
  static verdict::Counts::Expected expected_events(double queries, double events, double asked,
                                                   double all_events, double all_asked);
  // Removes late and slow counts: if one dispatcher reports no latencies, as older versions do, none are
  // compared.
  static void drop_latencies(verdict::Slice& slice);
  static bool has_latencies(const Interval& interval);
  static std::optional<Interval> interval_between(const Sample& before, const Sample& now);

  const std::map<std::string, std::string> zones_;
  std::map<std::string, Sample> last_samples_;
  std::map<std::string, Interval> last_intervals_;
  std::map<std::string, Baseline> baselines_;
  core::DispatcherStats all_baselines_;  // sum over all dispatchers
  double mean_memory_mb_ = 0, cpu_ms_per_query_ = 0;
  std::size_t baseline_slices_ = 0;  // number of calls to slice_against_baseline()
};

}  // namespace woadtide::control
