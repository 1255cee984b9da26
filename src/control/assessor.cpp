#include "control/assessor.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace woadtide::control {

using rollout::Phase;
using rollout::Place;
using rollout::Rollout;

namespace {

std::map<std::string, std::string> zones_of(const config::RolloutPart& part) {
  std::map<std::string, std::string> zones;
  for (const auto& member : part.members) zones[member.name] = member.zone;
  return zones;
}

}  // namespace

Assessor::Assessor(const config::RolloutPart& part)
    : margin_(part.margin),
      false_stop_(part.false_stop),
      false_go_(part.false_go),
      look_ms_(part.look_ms),
      cohorts_(zones_of(part)) {}

void Assessor::look(const std::map<std::string, Sample>& samples, const Rollout& rollout) {
  std::set<std::string> learns;
  for (const auto& member : rollout.plan().members) {
    const Place place = rollout.place(member.name);
    if (place == Place::unchecked || place == Place::on_old) learns.insert(member.name);
    if (place == Place::moving) moved_in_[member.name] = rollout.stage();
  }
  cohorts_.look(samples, learns);
  fresh_look_ = true;
}

// Those that this stage or an earlier one changed against those that are not; in the last stage, where nobody
// is left, those that it changed against those before them.
Cohorts::Sides Assessor::sides(const Rollout& rollout) const {
  const auto& plan = rollout.plan();
  const bool last = rollout.stage() + 1 == static_cast<int>(plan.stages.size());
  Cohorts::Sides sides;
  for (const auto& member : plan.members) {
    const Place place = rollout.place(member.name);
    Cohort cohort = place == Place::on_new   ? Cohort::fresh
                    : place == Place::on_old ? Cohort::old
                                             : Cohort::none;
    const auto moved = moved_in_.find(member.name);
    if (last && cohort == Cohort::fresh && moved != moved_in_.end() && moved->second < rollout.stage())
      cohort = Cohort::old;
    sides[member.name] = cohort;
  }
  return sides;
}

void Assessor::judge(double now, Rollout& rollout) {
  if (rollout.phase() != Phase::moving && rollout.phase() != Phase::baking) {
    verdict_.reset();
    return;
  }
  const auto stages = static_cast<double>(rollout.plan().stages.size());
  verdict::Limits limits;
  limits.margin = margin_;
  limits.false_stop = false_stop_ / stages / 2;  // half for the look at the past
  limits.false_go = false_go_;
  if (!verdict_ || stage_ != rollout.stage()) {
    verdict_.emplace(limits);
    past_verdict_.emplace(limits);
    past_by_zone_.clear();
    stage_ = rollout.stage();
    stage_since_ = now;
  }
  if (!std::exchange(fresh_look_, false)) return;
  const Cohorts::Sides cohort = sides(rollout);
  const auto count = [&](Cohort which) {
    return std::count_if(cohort.begin(), cohort.end(), [&](const auto& one) { return one.second == which; });
  };
  if (count(Cohort::fresh) == 0) return;
  // Alone, it has only its own past.
  const bool alone = count(Cohort::old) == 0;
  const bool last = rollout.stage() + 1 == static_cast<int>(rollout.plan().stages.size());
  if (alone)
    past_verdict_->add(cohorts_.against_past(cohort));
  else
    verdict_->add(cohorts_.slice(cohort));
  const verdict::Verdict& heard = alone ? *past_verdict_ : *verdict_;
  const verdict::Outcome outcome = heard.outcome();
  if (outcome == verdict::Outcome::worse)
    rollout.judged(now, rollout::Word::worse, heard.reason());
  else if (outcome == verdict::Outcome::not_worse)
    rollout.judged(now, rollout::Word::not_worse, {});
  if (alone || !last || rollout.over()) return;
  const std::string why = worse_than_before(now, cohorts_.against_past(cohort), limits);
  if (!why.empty()) rollout.pause("all run it, and do worse than before: " + why);
}

// Where all run it, what is wrong only then hits both sides alike and shows against the past only. So does
// what came meanwhile: it has to show in every zone, in no more time than the past was looked at, and is then
// a reason to wait for a person, not to go back.
std::string Assessor::worse_than_before(double now, const verdict::Slice& slice,
                                        const verdict::Limits& limits) {
  if (now > stage_since_ + look_ms_) return {};
  for (const auto& [zone, pair] : slice)
    past_by_zone_.try_emplace(zone, limits).first->second.add({{zone, pair}});
  std::string why;
  for (const auto& [zone, verdict] : past_by_zone_) {
    if (verdict.outcome() != verdict::Outcome::worse) return {};
    why += (why.empty() ? "" : "; ") + (zone.empty() ? "" : "zone " + zone + ": ") + verdict.reason();
  }
  return why;
}

void order_by_traffic(std::vector<config::RolloutPart::Member>& members,
                      const std::map<std::string, double>& asked) {
  const auto of = [&](const auto& member) {
    const auto found = asked.find(member.name);
    return found == asked.end() ? 0.0 : found->second;
  };
  std::stable_sort(members.begin(), members.end(),
                   [&](const auto& a, const auto& b) { return of(a) > of(b); });
  std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(members.size() / 4),
              members.end());
}

std::pair<std::string, double> Assessor::widest() const {
  return verdict_ ? verdict_->widest() : std::pair<std::string, double>{"", 1};
}

}  // namespace woadtide::control
