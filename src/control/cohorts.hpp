// From samples of dispatchers' figures to what the verdict compares: what each did between two looks, laid to
// the changed or the unchanged ones of its zone, each measured by its own past. Knows no socket and no disk.
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

// A look at one dispatcher; counts run from the start of its process.
struct Sample {
  double at_ms = 0;
  int pid = 0;      // another one: the counts began anew
  int crashes = 0;  // ends that nobody ordered, in all
  double memory_mb = 0, cpu_ms = 0;
  core::Figures classes;
};

enum class Cohort { none, fresh, old };

class Cohorts {
 public:
  explicit Cohorts(std::map<std::string, std::string> zones) : zones_(std::move(zones)) {}

  // What one does before it is changed is its past: those in `learns`.
  void look(const std::map<std::string, Sample>& samples, const std::set<std::string>& learns);
  // What was done since the look before, by those that were seen both times in the same life.
  using Sides = std::map<std::string, Cohort>;
  verdict::Slice slice(const Sides& sides) const;
  // The same with the past of the fresh ones in the old ones' place, slice by slice: for a change that has
  // left nobody to compare with.
  verdict::Slice against_past(const Sides& sides);
  // The past, for the next life of the controller; slices of it are not kept. Throws std::runtime_error.
  std::string text() const;
  void remember(const std::string& text);

 private:
  struct Done {  // between two looks
    double ms = 0, memory_mb = 0, cpu_ms = 0;
    int restarts = 0;
    core::Figures classes;
  };
  struct Past {
    double ms = 0, memory_mb = 0, cpu_ms = 0;  // memory: sum over looks
    int looks = 0;
    core::Figures classes;
    std::deque<Done> each;
  };
  void add(verdict::Side& side, const std::string& member, const Done& done) const;
  std::size_t threshold(const std::string& member, const std::string& name, double share) const;
  // How many of `of` queries would have been so, where `events` of `asked` were before, and `all_events` of
  // `all_asked` at all dispatchers.
  static verdict::Counts::Usual usual(double of, double events, double asked, double all_events,
                                      double all_asked);
  // Where one tells no times, as an older program, nobody is compared by them.
  static void leave_out_times(verdict::Slice& slice);
  static bool tells_times(const Done& done);
  static std::optional<Done> between(const Sample& before, const Sample& now);

  const std::map<std::string, std::string> zones_;
  std::map<std::string, Sample> before_;
  std::map<std::string, Done> done_;
  std::map<std::string, Past> past_;
  core::Figures all_;  // of the past, all dispatchers together
  double memory_mb_ = 0, cpu_a_query_ = 0;
  std::size_t turn_ = 0;
};

}  // namespace woadtide::control
