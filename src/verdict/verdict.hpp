// Sequential comparison of two cohorts of dispatchers by counts from the same seconds. Input is slices of
// counts, output is an outcome; it has no access to processes, sockets or the disk, and no clock. Invariants:
// README.md.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace woadtide::verdict {

// Counts of one class in one slice, summed over all dispatchers of a cohort.
struct Counts {
  int accepted = 0, refused = 0, failed = 0;
  int served_late = 0;           // served, but after the class's target time
  std::array<int, 2> slow = {};  // slower than the usual p95 and p99 of the class before the change
  // How many of these events the same queries would have caused by their dispatchers' own baseline, with the
  // bounds within which that is known: a dispatcher that always refuses more is not made worse by its
  // version. 0: no baseline, all dispatchers are expected to behave alike.
  struct Expected {
    double lower = 0, mean = 0, upper = 0;
  };
  Expected expected_refused = {}, expected_failed = {}, expected_late = {};
  std::array<Expected, 2> expected_slow = {};
};

// What the dispatchers of one cohort in one zone did during a slice.
struct CohortStats {
  int dispatchers = 0;
  double expected_queries = 0;  // in such a slice, by their own baseline; 0: unknown
  std::map<std::string, Counts> classes;
  int restarts = 0;      // unplanned
  double memory_mb = 0;  // mean per dispatcher; 0: unknown
  double cpu_ms = 0;     // used in the slice by all of them; 0: unknown
};

// What both cohorts did in the same interval in one zone. Zones are compared separately because the loss of a
// zone affects only the dispatchers in it.
struct CohortPair {
  // The dispatchers on the new version, and those that they are compared with.
  CohortStats changed, reference;
};
using Slice = std::map<std::string, CohortPair>;  // by zone

struct Limits {
  double false_stop =
      0.01;  // probability that equal cohorts are ever called worse, however often it is checked
  double false_go = 0.05;         // probability that one worse by more than `margin` is ever called not worse
  double margin = 0.02;           // as a share of queries: failed, refused, late or slow
  double max_memory_ratio = 1.3;  // to the reference cohort's, in `consecutive_slices` slices
  double memory_slack_mb = 4;     // and at least this much more
  double max_cpu_ratio = 1.5;     // per query, likewise
  // A slice in which a side receives this many times its usual queries is not compared: it says nothing about
  // the change.
  double surge_factor = 1.5;
  int consecutive_slices = 5;
};

// not_worse: not worse by more than the margin.
enum class Outcome { cannot_tell, worse, not_worse };

class Verdict {
 public:
  explicit Verdict(Limits limits = {}) : limits_(limits) {}

  // Adds the counts of the next slice.
  void add(const Slice& slice);
  // The outcome so far. `cannot_tell` must not be taken for success: the caller waits, and stops after its
  // timeout.
  Outcome outcome() const;
  // What was found worse: measure, class and the shares of both sides. Empty unless the outcome is `worse`.
  const std::string& reason() const { return reason_; }
  // Returns the measure with the largest upper confidence bound, and that bound: by how much the new cohort
  // may be worse in it. For status output.
  std::pair<std::string, double> least_certain() const;

 private:
  // Tests whether events fall on the changed side more often than its share of the exposure: a mixture of
  // likelihood ratios, which is a martingale while they do not, and can therefore be checked after every
  // event.
  struct ExcessTest {
    std::array<double, 12> log_ratios =
        {};  // by odds ratio, of weighted slices and of unweighted ones; see verdict.cpp
    double changed_events = 0, total_events = 0, expected_changed_events = 0;
    double usual_events = 0;  // in a slice
    void add(int changed_count, int reference_count, double share);
    double log_evidence() const;
  };
  // Confidence sequence for the mean difference of shares, from empirical Bernstein bounds.
  struct DifferenceBound {
    double n = 0, sum = 0, squares = 0, weights = 0, weighted_sum = 0, spread = 0;
    int changed_queries = 0, reference_queries = 0;  // collected for the next sample
    double changed_events = 0, reference_events = 0;
    void add(double alpha, int changed_count, double changed_excess, int reference_count,
             double reference_excess);
    double upper(double alpha) const;
  };
  struct Measure {
    ExcessTest excess;
    DifferenceBound difference;
  };

  struct Events {
    int queries = 0, events = 0;
    Counts::Expected expected = {};
  };
  void add_events(const std::string& name, double share, const Events& changed, const Events& reference,
                  bool compares_shares);
  void compare_counts(const CohortPair& pair);
  void compare_resources(const Slice& slice);
  double alpha_per_measure() const;

  const Limits limits_;
  std::map<std::string, Measure> measures_;           // by name, such as "failed of refund-payout"
  int high_memory_slices_ = 0, high_cpu_slices_ = 0;  // in a row
  std::string reason_;
};

}  // namespace woadtide::verdict
