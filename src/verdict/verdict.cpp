#include "verdict/verdict.hpp"

#include <algorithm>
#include <cmath>

namespace woadtide::verdict {

namespace {

// Odds ratios by which an event is more likely on the changed side if that side is worse; mixed with equal
// weights.
constexpr std::array<double, 6> kOddsRatios = {1.25, 1.6, 2.5, 5, 12, 40};
// Upper limit of the number of measures: for each class failed, refused, late and two kinds of slow, plus
// restarts. The probability of a false stop is divided by this, whatever the actual number is.
constexpr double kMaxMeasures = 24;
// A slice has full weight up to kUnusualFactor times the usual number of events plus kMinFullWeightEvents;
// the usual number is an exponential moving average with kUsualSmoothing.
constexpr double kUnusualFactor = 2, kMinFullWeightEvents = 1, kUsualSmoothing = 0.05;
constexpr int kMinQueriesPerSide = 12;  // per sample of a difference
constexpr double kMaxBet = 0.75;
// Standard deviations by which a side with few queries may exceed its usual number.
constexpr double kSurgeDeviations = 1;
// Differences are clamped to this, either way: the bounds widen with the range they must cover, and a side
// that differs by more, for long, is called worse by the excess test much earlier.
constexpr double kMaxDifference = 0.25;

int queries_of(const CohortStats& side) {
  int sum = 0;
  for (const auto& [name, counts] : side.classes) sum += counts.accepted;
  return sum;
}

}  // namespace

// Given the number of events, each belongs to the changed side with probability `share` if both sides behave
// alike: a fault that hits both at once, such as a lost zone, changes the number but not the share. But such
// a fault also hides what only one side does, so in one half of the mixture a slice with far more events than
// usual weighs less: a power below one of a likelihood ratio also has a mean of at most one (Jensen's
// inequality), and the number is known before the events are assigned to sides. In the other half the slice
// counts in full, because a version that fails every query is unusual as well.
void Verdict::ExcessTest::add(int changed_count, int reference_count, double share) {
  const double count = changed_count + reference_count;
  changed_events += changed_count;
  total_events += count;
  expected_changed_events += share * count;
  const double full_weight_events = kUnusualFactor * usual_events + kMinFullWeightEvents,
               excess_factor = std::max(count / full_weight_events, 1.0);
  const double weight = 1 / (excess_factor * excess_factor);
  usual_events += kUsualSmoothing * (std::min(count, full_weight_events) - usual_events);
  for (std::size_t i = 0; i < kOddsRatios.size(); ++i) {
    const double worse_share = kOddsRatios[i] * share / (kOddsRatios[i] * share + 1 - share);
    const double log_ratio = changed_count * std::log(worse_share / share) +
                             reference_count * std::log((1 - worse_share) / (1 - share));
    log_ratios[i] += weight * log_ratio;
    log_ratios[i + kOddsRatios.size()] += log_ratio;
  }
}

double Verdict::ExcessTest::log_evidence() const {
  const double max_log = *std::max_element(log_ratios.begin(), log_ratios.end());
  double sum = 0;
  for (const double log_ratio : log_ratios) sum += std::exp(log_ratio - max_log);
  return max_log + std::log(sum / static_cast<double>(log_ratios.size()));
}

// Predictable plug-in empirical Bernstein bound (Waudby-Smith and Ramdas); the difference is mapped to 0..1.
void Verdict::DifferenceBound::add(double alpha, int changed_count, double changed_excess,
                                   int reference_count, double reference_excess) {
  changed_queries += changed_count;
  reference_queries += reference_count;
  changed_events += changed_excess;
  reference_events += reference_excess;
  if (changed_queries < kMinQueriesPerSide || reference_queries < kMinQueriesPerSide) return;
  const double difference = changed_events / changed_queries - reference_events / reference_queries;
  const double x = (std::clamp(difference, -kMaxDifference, kMaxDifference) / kMaxDifference + 1) / 2;
  changed_queries = reference_queries = 0;
  changed_events = reference_events = 0;
  const double mean_before = (0.5 + sum) / (n + 1), variance = (0.25 + squares) / (n + 1);
  n += 1;
  const double bet = std::min(std::sqrt(2 * std::log(1 / alpha) / (variance * n * std::log(1 + n))), kMaxBet);
  sum += x;
  squares += (x - (0.5 + sum) / (n + 1)) * (x - (0.5 + sum) / (n + 1));
  weights += bet;
  weighted_sum += bet * x;
  spread += 4 * (x - mean_before) * (x - mean_before) * (-std::log(1 - bet) - bet) / 4;
}

double Verdict::DifferenceBound::upper(double alpha) const {
  if (weights <= 0) return kMaxDifference;
  return kMaxDifference * (2 * (weighted_sum + std::log(1 / alpha) + spread) / weights - 1);
}

double Verdict::alpha_per_measure() const { return limits_.false_stop / kMaxMeasures; }

// Where the baselines say how many events a side's queries would have caused, the changed side's exposure may
// be larger than its share of the queries: its upper bound against the lower bound of the other side. It is
// never taken as smaller: the other side's higher rate in the baseline may have been a temporary fault, and
// an exposure that is never too small for the changed side keeps the mean of the likelihood ratios at or
// below one.
void Verdict::add_events(const std::string& name, double share, const Events& changed,
                         const Events& reference, bool compares_shares) {
  if (changed.expected.upper > 0 && reference.expected.lower > 0)
    share = std::max(share, changed.expected.upper / (changed.expected.upper + reference.expected.lower));
  if (share <= 0 || share >= 1) return;  // one side is missing: nothing to compare
  Measure& measure = measures_[name];
  measure.excess.add(changed.events, reference.events, share);
  if (compares_shares)
    measure.difference.add(limits_.false_go, changed.queries, changed.events - changed.expected.mean,
                           reference.queries, reference.events - reference.expected.mean);
  if (!reason_.empty() || measure.excess.log_evidence() < std::log(1 / alpha_per_measure())) return;
  reason_ = name + ": " + std::to_string(static_cast<int>(measure.excess.changed_events)) + " of " +
            std::to_string(static_cast<int>(measure.excess.total_events)) + " are the new cohort's, " +
            std::to_string(static_cast<int>(std::lround(measure.excess.expected_changed_events))) +
            " would be its part";
}

void Verdict::add(const Slice& slice) {
  for (const auto& [zone, pair] : slice) {
    const auto has_surge = [this](const CohortStats& side) {
      const double chance_deviation = kSurgeDeviations * std::sqrt(side.expected_queries);
      return side.expected_queries > 0 &&
             queries_of(side) > limits_.surge_factor * side.expected_queries + chance_deviation;
    };
    if (!has_surge(pair.changed) && !has_surge(pair.reference)) compare_counts(pair);
  }
  compare_resources(slice);
}

void Verdict::compare_counts(const CohortPair& pair) {
  const CohortStats &changed = pair.changed, &reference = pair.reference;
  for (const auto& [name, a] : changed.classes) {
    const auto found = reference.classes.find(name);
    if (found == reference.classes.end() || a.accepted == 0 || found->second.accepted == 0) continue;
    const Counts& b = found->second;
    const double share = static_cast<double>(a.accepted) / (a.accepted + b.accepted);
    const auto compare = [&](const char* what, int events_changed, const Counts::Expected& expected_changed,
                             int events_reference, const Counts::Expected& expected_reference) {
      add_events(std::string(what) + " of " + name, share, {a.accepted, events_changed, expected_changed},
                 {b.accepted, events_reference, expected_reference}, true);
    };
    compare("failed", a.failed, a.expected_failed, b.failed, b.expected_failed);
    compare("refused", a.refused, a.expected_refused, b.refused, b.expected_refused);
    compare("late", a.served_late, a.expected_late, b.served_late, b.expected_late);
    compare("slower than p95", a.slow[0], a.expected_slow[0], b.slow[0], b.expected_slow[0]);
    compare("slower than p99", a.slow[1], a.expected_slow[1], b.slow[1], b.expected_slow[1]);
  }
  if (changed.dispatchers > 0 && reference.dispatchers > 0) {
    const double share =
        static_cast<double>(changed.dispatchers) / (changed.dispatchers + reference.dispatchers);
    add_events("restarts", share, {0, changed.restarts}, {0, reference.restarts}, false);
  }
}

// Resource use is not random: a fixed ratio must be exceeded in several slices in a row.
void Verdict::compare_resources(const Slice& slice) {
  struct Totals {
    double memory_mb = 0, cpu_ms = 0;
    int dispatchers = 0, asked = 0;
    void add(const CohortStats& side) {
      memory_mb += side.memory_mb * side.dispatchers;
      cpu_ms += side.cpu_ms;
      dispatchers += side.dispatchers;
      asked += queries_of(side);
    }
  } changed, reference;
  for (const auto& [zone, pair] : slice) {
    changed.add(pair.changed);
    reference.add(pair.reference);
  }
  if (changed.dispatchers == 0 || reference.dispatchers == 0) return;
  const double changed_mb = changed.memory_mb / changed.dispatchers,
               reference_mb = reference.memory_mb / reference.dispatchers;
  const bool has_cpu =
      changed.asked >= kMinQueriesPerSide && reference.asked >= kMinQueriesPerSide && reference.cpu_ms > 0;
  const double cpu_ratio =
      has_cpu ? changed.cpu_ms / changed.asked / (reference.cpu_ms / reference.asked) : 0;
  const bool high_memory =
      changed_mb > std::max(limits_.max_memory_ratio * reference_mb, reference_mb + limits_.memory_slack_mb);
  high_memory_slices_ = reference_mb > 0 && high_memory ? high_memory_slices_ + 1 : 0;
  if (has_cpu) high_cpu_slices_ = cpu_ratio > limits_.max_cpu_ratio ? high_cpu_slices_ + 1 : 0;
  if (!reason_.empty()) return;
  if (high_memory_slices_ >= limits_.consecutive_slices)
    reason_ = "memory: " + std::to_string(std::lround(changed_mb)) + " MB against " +
              std::to_string(std::lround(reference_mb)) + " MB";
  else if (high_cpu_slices_ >= limits_.consecutive_slices)
    reason_ = "CPU a query: " + std::to_string(std::lround(100 * cpu_ratio)) + "% of the old cohort's";
}

std::pair<std::string, double> Verdict::least_certain() const {
  std::pair<std::string, double> least_certain{"", measures_.empty() ? 1 : -1};
  for (const auto& [name, measure] : measures_) {
    const double upper = measure.difference.upper(limits_.false_go);
    if (name != "restarts" && upper > least_certain.second) least_certain = {name, upper};
  }
  return least_certain;
}

Outcome Verdict::outcome() const {
  if (!reason_.empty()) return Outcome::worse;
  return least_certain().second < limits_.margin ? Outcome::not_worse : Outcome::cannot_tell;
}

}  // namespace woadtide::verdict
