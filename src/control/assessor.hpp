// Between what dispatchers did and the rollout: who is compared with whom in which stage, and what the
// verdict on that means for the change. Knows no socket and no disk; its owner brings samples and a time.
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
  explicit Assessor(const config::RolloutPart& part);

  // What was seen of all that could be reached. Those that are not changed yet learn their past by it.
  void look(const std::map<std::string, Sample>& samples, const rollout::Rollout& rollout);
  // Tells the rollout what the verdict says of its stage, where something new was seen.
  void judge(double now, rollout::Rollout& rollout);
  void begin_again() { verdict_.reset(); }  // after a pause
  // Stages at which members were moved, from 0; kept by the owner across its lives.
  std::map<std::string, int>& moved_in() { return moved_in_; }
  Cohorts& cohorts() { return cohorts_; }
  // The verdict's word on the stage so far: empty, or what is worse; and what is least known.
  std::string worse() const { return verdict_ ? verdict_->reason() : ""; }
  std::pair<std::string, double> widest() const;

 private:
  Cohorts::Sides sides(const rollout::Rollout& rollout) const;
  std::string worse_than_before(double now, const verdict::Slice& slice, const verdict::Limits& limits);

  const double margin_, false_stop_, false_go_, look_ms_;
  Cohorts cohorts_;
  std::map<std::string, int> moved_in_;
  std::optional<verdict::Verdict> verdict_, past_verdict_;
  std::map<std::string, verdict::Verdict> past_by_zone_;
  int stage_ = -1;
  double stage_since_ = 0;
  bool fresh_look_ = false;
};

// In which order members are changed: those first that are asked much, so that something can be told of them
// soon, but not the busiest quarter.
void order_by_traffic(std::vector<config::RolloutPart::Member>& members,
                      const std::map<std::string, double>& asked);

}  // namespace woadtide::control
