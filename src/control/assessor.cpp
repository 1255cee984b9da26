#include "control/assessor.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace woadtide::control {

using rollout::MemberState;
using rollout::Phase;
using rollout::Rollout;

namespace {

std::map<std::string, std::string> zones_of(const config::RolloutSettings& part) {
  std::map<std::string, std::string> zones;
  for (const auto& member : part.members) zones[member.name] = member.zone;
  return zones;
}

}  // namespace

Assessor::Assessor(const config::RolloutSettings& part)
    : margin_(part.margin),
      false_stop_(part.false_stop),
      false_go_(part.false_go),
      baseline_ms_(part.look_ms),
      cohorts_(zones_of(part)) {}

void Assessor::add_samples(const std::map<std::string, Sample>& samples, const Rollout& rollout) {
  std::set<std::string> unchanged;
  for (const auto& member : rollout.plan().members) {
    const MemberState state = rollout.member_state(member.name);
    if (state == MemberState::unchecked || state == MemberState::on_old) unchanged.insert(member.name);
    if (state == MemberState::moving) move_stages_[member.name] = rollout.stage();
  }
  cohorts_.add_samples(samples, unchanged);
  has_new_samples_ = true;
}

// Compares members that this stage or an earlier one changed with those not yet changed. In the last stage,
// where no unchanged member is left, those that it changed are compared with those changed earlier.
Cohorts::Assignment Assessor::assign_cohorts(const Rollout& rollout) const {
  const auto& plan = rollout.plan();
  const bool last = rollout.stage() + 1 == static_cast<int>(plan.stages.size());
  Cohorts::Assignment assignment;
  for (const auto& member : plan.members) {
    const MemberState state = rollout.member_state(member.name);
    Cohort cohort = state == MemberState::on_new   ? Cohort::changed
                    : state == MemberState::on_old ? Cohort::reference
                                                   : Cohort::none;
    const auto moved = move_stages_.find(member.name);
    if (last && cohort == Cohort::changed && moved != move_stages_.end() && moved->second < rollout.stage())
      cohort = Cohort::reference;
    assignment[member.name] = cohort;
  }
  return assignment;
}

void Assessor::assess(double now, Rollout& rollout) {
  if (rollout.phase() != Phase::moving && rollout.phase() != Phase::baking) {
    verdict_.reset();
    return;
  }
  const auto stages = static_cast<double>(rollout.plan().stages.size());
  verdict::Limits limits;
  limits.margin = margin_;
  limits.false_stop = false_stop_ / stages / 2;  // the other half is for the comparison with the baseline
  limits.false_go = false_go_;
  if (!verdict_ || stage_ != rollout.stage()) {
    verdict_.emplace(limits);
    baseline_verdict_.emplace(limits);
    zone_baseline_verdicts_.clear();
    stage_ = rollout.stage();
    stage_started_at_ = now;
  }
  if (!std::exchange(has_new_samples_, false)) return;
  const Cohorts::Assignment assignment = assign_cohorts(rollout);
  const auto count = [&](Cohort cohort) {
    return std::count_if(assignment.begin(), assignment.end(),
                         [&](const auto& item) { return item.second == cohort; });
  };
  if (count(Cohort::changed) == 0) return;
  // Without a reference cohort the only comparison is with its own baseline.
  const bool no_reference = count(Cohort::reference) == 0;
  const bool last = rollout.stage() + 1 == static_cast<int>(rollout.plan().stages.size());
  if (no_reference)
    baseline_verdict_->add(cohorts_.slice_against_baseline(assignment));
  else
    verdict_->add(cohorts_.slice(assignment));
  const verdict::Verdict& active_verdict = no_reference ? *baseline_verdict_ : *verdict_;
  const verdict::Outcome outcome = active_verdict.outcome();
  if (outcome == verdict::Outcome::worse)
    rollout.on_assessment(now, rollout::StageAssessment::worse, active_verdict.reason());
  else if (outcome == verdict::Outcome::not_worse)
    rollout.on_assessment(now, rollout::StageAssessment::not_worse, {});
  if (no_reference || !last || rollout.finished()) return;
  const std::string why = regression_reason(now, cohorts_.slice_against_baseline(assignment), limits);
  if (!why.empty()) rollout.pause("all run it, and do worse than before: " + why);
}

// Once all members run the new version, a fault that appears only then affects both cohorts alike and is
// visible only against the baseline. So is any other change since the baseline was recorded. It must
// therefore show in every zone, within the time for which the baseline was recorded, and is a reason to wait
// for a person, not to roll back.
std::string Assessor::regression_reason(double now, const verdict::Slice& slice,
                                        const verdict::Limits& limits) {
  if (now > stage_started_at_ + baseline_ms_) return {};
  for (const auto& [zone, pair] : slice)
    zone_baseline_verdicts_.try_emplace(zone, limits).first->second.add({{zone, pair}});
  std::string why;
  for (const auto& [zone, verdict] : zone_baseline_verdicts_) {
    if (verdict.outcome() != verdict::Outcome::worse) return {};
    why += (why.empty() ? "" : "; ") + (zone.empty() ? "" : "zone " + zone + ": ") + verdict.reason();
  }
  return why;
}

void order_by_traffic(std::vector<config::RolloutSettings::Member>& members,
                      const std::map<std::string, double>& asked) {
  const auto queries_of = [&](const auto& member) {
    const auto found = asked.find(member.name);
    return found == asked.end() ? 0.0 : found->second;
  };
  std::stable_sort(members.begin(), members.end(),
                   [&](const auto& a, const auto& b) { return queries_of(a) > queries_of(b); });
  std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(members.size() / 4),
              members.end());
}

std::pair<std::string, double> Assessor::least_certain() const {
  return verdict_ ? verdict_->least_certain() : std::pair<std::string, double>{"", 1};
}

}  // namespace woadtide::control
