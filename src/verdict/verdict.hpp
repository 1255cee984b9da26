// Which of two cohorts of dispatchers does worse, from counts of the same seconds. Events in, an outcome out:
// it knows no process, no socket and no disk, and has no clock. Invariants are in README.md.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace woadtide::verdict {

// Of one class in one slice of time, at all dispatchers of a cohort.
struct Counts {
  int asked = 0, refused = 0, failed = 0;
  int late = 0;                  // served, but behind the class's wanted time
  std::array<int, 2> slow = {};  // over the p95 and p99 that were usual in this class before the change
  // How many of each those queries would have drawn by their dispatchers' own past, and between which bounds
  // that is known: one that always refuses more is not made worse by its version. 0: all dispatchers count
  // alike.
  struct Usual {
    double least = 0, mean = 0, most = 0;
  };
  Usual usual_refused = {}, usual_failed = {}, usual_late = {};
  std::array<Usual, 2> usual_slow = {};
};

struct Side {
  int dispatchers = 0;
  double usual_asked = 0;  // in such a slice, by their own past; 0: not known
  std::map<std::string, Counts> classes;
  int restarts = 0;      // that nobody ordered
  double memory_mb = 0;  // mean of its dispatchers; 0: not told
  double cpu_ms = 0;     // spent in the slice, all of them; 0: not told
};

// What both cohorts did in the same stretch of time, in one zone: a zone that is lost hits those in it.
struct Pair {
  Side fresh, old;
};
using Slice = std::map<std::string, Pair>;  // by zone

struct Limits {
  double false_stop =
      0.01;  // chance that equal cohorts are ever called worse, however long and often one looks
  double false_go = 0.05;      // chance that one worse by more than `margin` is ever called not worse
  double margin = 0.02;        // in shares of queries: failed, refused, late or slow
  double memory_ratio = 1.3;   // over the old cohort's, in `spell` slices in a row
  double memory_slack_mb = 4;  // and by more than this
  double cpu_ratio = 1.5;      // a query, the same
  // A side that is asked so many times what it usually is says nothing of the change in that slice.
  double surge = 1.5;
  int spell = 5;
};

enum class Outcome { cannot_tell, worse, not_worse };

class Verdict {
 public:
  explicit Verdict(Limits limits = {}) : limits_(limits) {}

  void add(const Slice& slice);
  // `cannot_tell` is no good news: who waits for not_worse waits on, and who has waited long enough stops.
  Outcome outcome() const;
  // What was found worse, in words: measure, class, shares on both sides. Empty before.
  const std::string& reason() const { return reason_; }
  // The measure of which least is known, and by how much the new cohort may be worse in it; for status.
  std::pair<std::string, double> widest() const;

 private:
  // Whether events fall on the fresh side more often than its part of the exposure says: a mixture of
  // likelihood ratios, which is a martingale while they do not, and so may be looked at after every event.
  struct Excess {
    std::array<double, 12> logs = {};  // by odds, of slices weighed and in full; see verdict.cpp
    double fresh = 0, all = 0, expected = 0;
    double usual = 0;  // events of a slice
    void add(int fresh_events, int old_events, double part);
    double log_evidence() const;
  };
  // A confidence sequence for the mean difference of shares, by empirical Bernstein bounds.
  struct Difference {
    double n = 0, sum = 0, squares = 0, weights = 0, weighted = 0, spread = 0;
    int fresh_asked = 0, old_asked = 0;  // gathered for the next point
    double fresh_events = 0, old_events = 0;
    void add(double alpha, int fresh_of, double fresh, int old_of, double old);
    double upper(double alpha) const;
  };
  struct Measure {
    Excess excess;
    Difference difference;
  };

  struct Events {
    int of = 0, events = 0;
    Counts::Usual usual = {};
  };
  void note(const std::string& name, double part, const Events& fresh, const Events& old, bool shares);
  void compare(const Pair& pair);
  void look_at_costs(const Slice& slice);
  double alpha() const;

  const Limits limits_;
  std::map<std::string, Measure> measures_;  // "failed of refund-payout"
  int heavy_ = 0, costly_ = 0;               // slices in a row
  std::string reason_;
};

}  // namespace woadtide::verdict
