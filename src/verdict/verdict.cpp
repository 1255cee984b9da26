#include "verdict/verdict.hpp"

#include <algorithm>
#include <cmath>

namespace woadtide::verdict {

namespace {

// How much more likely an event is on the fresh side, where it does worse: mixed with equal weights.
constexpr std::array<double, 6> kOdds = {1.25, 1.6, 2.5, 5, 12, 40};
// What can be told apart at all: per class failed, refused, late, two kinds of slow, and restarts. The chance
// of a false stop is shared out over so many, whatever number turns up.
constexpr double kMeasures = 24;
constexpr double kUnusual = 2, kFewEvents = 1, kUsualShare = 0.05;  // events of a slice that weigh in full
constexpr int kFewest = 12;  // queries on each side that make a point of a difference
constexpr double kMostBet = 0.75;
constexpr double kBySurge = 1;  // standard deviations that a side with few queries may be over its usual
// Differences are taken for this at most, either way: the bounds are as wide as what they must reckon with,
// and what differs by more, for long, is called worse by the other test long before.
constexpr double kRange = 0.25;

int asked_of(const Side& side) {
  int sum = 0;
  for (const auto& [name, counts] : side.classes) sum += counts.asked;
  return sum;
}

}  // namespace

// Given how many events there were, each was the fresh side's with the chance `part` if both do alike: what
// hits both at once, as a lost zone, moves the number and not the part. But it also drowns what only one side
// does, so in one half of the mixture a slice with far more events than usual weighs less: a power under one
// of a likelihood ratio has a mean of one at most, too (Jensen), and the number is known before the events
// are dealt out. In the other half it counts in full: what fails all at once is unusual as well.
void Verdict::Excess::add(int fresh_events, int old_events, double part) {
  const double count = fresh_events + old_events;
  fresh += fresh_events;
  all += count;
  expected += part * count;
  const double most = kUnusual * usual + kFewEvents, over = std::max(count / most, 1.0);
  const double weight = 1 / (over * over);
  usual += kUsualShare * (std::min(count, most) - usual);
  for (std::size_t i = 0; i < kOdds.size(); ++i) {
    const double worse = kOdds[i] * part / (kOdds[i] * part + 1 - part);
    const double told =
        fresh_events * std::log(worse / part) + old_events * std::log((1 - worse) / (1 - part));
    logs[i] += weight * told;
    logs[i + kOdds.size()] += told;
  }
}

double Verdict::Excess::log_evidence() const {
  const double most = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  for (const double one : logs) sum += std::exp(one - most);
  return most + std::log(sum / static_cast<double>(logs.size()));
}

// Predictable plug-in empirical Bernstein (Waudby-Smith and Ramdas), on the difference laid out over [0, 1].
void Verdict::Difference::add(double alpha, int fresh_of, double fresh, int old_of, double old) {
  fresh_asked += fresh_of;
  old_asked += old_of;
  fresh_events += fresh;
  old_events += old;
  if (fresh_asked < kFewest || old_asked < kFewest) return;
  const double share = fresh_events / fresh_asked - old_events / old_asked;
  const double x = (std::clamp(share, -kRange, kRange) / kRange + 1) / 2;
  fresh_asked = old_asked = 0;
  fresh_events = old_events = 0;
  const double mean_before = (0.5 + sum) / (n + 1), variance = (0.25 + squares) / (n + 1);
  n += 1;
  const double bet =
      std::min(std::sqrt(2 * std::log(1 / alpha) / (variance * n * std::log(1 + n))), kMostBet);
  sum += x;
  squares += (x - (0.5 + sum) / (n + 1)) * (x - (0.5 + sum) / (n + 1));
  weights += bet;
  weighted += bet * x;
  spread += 4 * (x - mean_before) * (x - mean_before) * (-std::log(1 - bet) - bet) / 4;
}

double Verdict::Difference::upper(double alpha) const {
  if (weights <= 0) return kRange;
  return kRange * (2 * (weighted + std::log(1 / alpha) + spread) / weights - 1);
}

double Verdict::alpha() const { return limits_.false_stop / kMeasures; }

// Where the past says how many events a side's queries would have drawn, its exposure may be more than its
// part of the queries: the most that the changed side's may be, against the least of the other one's. Never
// less: what the other side drew more of before may have been a trouble of that time, and exposures that are
// never too small for the changed side keep the ratios under a mean of one.
void Verdict::note(const std::string& name, double part, const Events& fresh, const Events& old,
                   bool shares) {
  if (fresh.usual.most > 0 && old.usual.least > 0)
    part = std::max(part, fresh.usual.most / (fresh.usual.most + old.usual.least));
  if (part <= 0 || part >= 1) return;  // one side was not there: nothing can be compared
  Measure& measure = measures_[name];
  measure.excess.add(fresh.events, old.events, part);
  if (shares)
    measure.difference.add(limits_.false_go, fresh.of, fresh.events - fresh.usual.mean, old.of,
                           old.events - old.usual.mean);
  if (!reason_.empty() || measure.excess.log_evidence() < std::log(1 / alpha())) return;
  reason_ = name + ": " + std::to_string(static_cast<int>(measure.excess.fresh)) + " of " +
            std::to_string(static_cast<int>(measure.excess.all)) + " are the new cohort's, " +
            std::to_string(static_cast<int>(std::lround(measure.excess.expected))) + " would be its part";
}

void Verdict::add(const Slice& slice) {
  for (const auto& [zone, pair] : slice) {
    const auto surges = [this](const Side& side) {
      const double by_chance = kBySurge * std::sqrt(side.usual_asked);
      return side.usual_asked > 0 && asked_of(side) > limits_.surge * side.usual_asked + by_chance;
    };
    if (!surges(pair.fresh) && !surges(pair.old)) compare(pair);
  }
  look_at_costs(slice);
}

void Verdict::compare(const Pair& pair) {
  const Side &fresh = pair.fresh, &old = pair.old;
  for (const auto& [name, a] : fresh.classes) {
    const auto found = old.classes.find(name);
    if (found == old.classes.end() || a.asked == 0 || found->second.asked == 0) continue;
    const Counts& b = found->second;
    const double part = static_cast<double>(a.asked) / (a.asked + b.asked);
    const auto one = [&](const char* what, int of_fresh, const Counts::Usual& usual_fresh, int of_old,
                         const Counts::Usual& usual_old) {
      note(std::string(what) + " of " + name, part, {a.asked, of_fresh, usual_fresh},
           {b.asked, of_old, usual_old}, true);
    };
    one("failed", a.failed, a.usual_failed, b.failed, b.usual_failed);
    one("refused", a.refused, a.usual_refused, b.refused, b.usual_refused);
    one("late", a.late, a.usual_late, b.late, b.usual_late);
    one("slower than p95", a.slow[0], a.usual_slow[0], b.slow[0], b.usual_slow[0]);
    one("slower than p99", a.slow[1], a.usual_slow[1], b.slow[1], b.usual_slow[1]);
  }
  if (fresh.dispatchers > 0 && old.dispatchers > 0) {
    const double part = static_cast<double>(fresh.dispatchers) / (fresh.dispatchers + old.dispatchers);
    note("restarts", part, {0, fresh.restarts}, {0, old.restarts}, false);
  }
}

// What grows is no matter of chance: a fixed ratio, over some slices in a row.
void Verdict::look_at_costs(const Slice& slice) {
  struct Sum {
    double memory_mb = 0, cpu_ms = 0;
    int dispatchers = 0, asked = 0;
    void add(const Side& side) {
      memory_mb += side.memory_mb * side.dispatchers;
      cpu_ms += side.cpu_ms;
      dispatchers += side.dispatchers;
      asked += asked_of(side);
    }
  } fresh, old;
  for (const auto& [zone, pair] : slice) {
    fresh.add(pair.fresh);
    old.add(pair.old);
  }
  if (fresh.dispatchers == 0 || old.dispatchers == 0) return;
  const double fresh_mb = fresh.memory_mb / fresh.dispatchers, old_mb = old.memory_mb / old.dispatchers;
  const bool told = fresh.asked >= kFewest && old.asked >= kFewest && old.cpu_ms > 0;
  const double more = told ? fresh.cpu_ms / fresh.asked / (old.cpu_ms / old.asked) : 0;
  const bool heavy = fresh_mb > std::max(limits_.memory_ratio * old_mb, old_mb + limits_.memory_slack_mb);
  heavy_ = old_mb > 0 && heavy ? heavy_ + 1 : 0;
  if (told) costly_ = more > limits_.cpu_ratio ? costly_ + 1 : 0;
  if (!reason_.empty()) return;
  if (heavy_ >= limits_.spell)
    reason_ = "memory: " + std::to_string(std::lround(fresh_mb)) + " MB against " +
              std::to_string(std::lround(old_mb)) + " MB";
  else if (costly_ >= limits_.spell)
    reason_ = "CPU a query: " + std::to_string(std::lround(100 * more)) + "% of the old cohort's";
}

std::pair<std::string, double> Verdict::widest() const {
  std::pair<std::string, double> most{"", measures_.empty() ? 1 : -1};
  for (const auto& [name, measure] : measures_) {
    const double upper = measure.difference.upper(limits_.false_go);
    if (name != "restarts" && upper > most.second) most = {name, upper};
  }
  return most;
}

Outcome Verdict::outcome() const {
  if (!reason_.empty()) return Outcome::worse;
  return widest().second < limits_.margin ? Outcome::not_worse : Outcome::cannot_tell;
}

}  // namespace woadtide::verdict
