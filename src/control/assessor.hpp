// Connects the dispatchers' statistics with the rollout: decides who is compared with whom in each stage, and
// what the verdict means for the rollout. It has no access to sockets or the disk; its owner supplies samples
// and time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "config/operator_file.hpp"
#include "control/cohorts.hpp"
#include "rollout/rollout.hpp"
#include "verdict/verdict.hpp"

namespace woadtide::control {

class Assessor {
 public:
  explicit Assessor(const config::RolloutSettings& part);

  // Adds the samples of all dispatchers that were reached. Those that are not changed yet extend their
  // baseline.
  void add_samples(const std::map<std::string, Sample>& samples, const rollout::Rollout& rollout);
  // Compares the cohorts of the current stage, if there are new samples, and passes the assessment to the
  // rollout. `now` is in milliseconds.
  void assess(double now, rollout::Rollout& rollout);
  // Starts the comparison of the stage anew, after a pause.
  void restart_comparison() { verdict_.reset(); }
  // The stage, from 0, in which each member was moved; stored by the owner between its runs.
  std::map<std::string, int>& move_stages() { return move_stages_; }
  Cohorts& cohorts() { return cohorts_; }
  // Returns what is worse in the current stage, or an empty string.
  std::string worse_reason() const { return verdict_ ? verdict_->reason() : ""; }
  // Returns the measure that is least certain, and its upper confidence bound. See Verdict::least_certain().
  std::pair<std::string, double> least_certain() const;

 private:
  Cohorts::Assignment assign_cohorts(const rollout::Rollout& rollout) const;
  std::string regression_reason(double now, const verdict::Slice& slice, const verdict::Limits& limits);

  const double margin_, false_stop_, false_go_, baseline_ms_;
  Cohorts cohorts_;
  std::map<std::string, int> move_stages_;
  std::optional<verdict::Verdict> verdict_, baseline_verdict_;
  std::map<std::string, verdict::Verdict> zone_baseline_verdicts_;
  int stage_ = -1;
  double stage_started_at_ = 0;
  bool has_new_samples_ = false;
};

// Sorts members into the order in which they are changed: busy ones first, because the comparison needs
// queries for an early result, but the busiest quarter last. `asked`: queries per second by member.
void order_by_traffic(std::vector<config::RolloutSettings::Member>& members,
                      const std::map<std::string, double>& asked);

}  // namespace woadtide::control
