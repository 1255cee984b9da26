#include "control/cohorts.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

namespace woadtide::control {

using core::ClassStats;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxIntervals = 600;  // latest intervals of a baseline that are kept
// Served queries from which a dispatcher's own latency threshold is used.
constexpr double kMinOwnServed = 200;
// Standard deviations from the fleet's share that are attributed to chance.
constexpr double kChanceDeviations = 1.5;
constexpr double kWilsonZ = 2.5;  // z of the Wilson interval of a baseline share

std::uint64_t sum_of(const std::array<std::uint64_t, core::kLatencyBinCount>& bins) {
  return std::accumulate(bins.begin(), bins.end(), std::uint64_t{0});
}

void add_to(core::DispatcherStats& total, const core::DispatcherStats& added) {
  for (const auto& [name, figures] : added) {
    ClassStats& sum = total[name];
    sum.accepted += figures.accepted;
    sum.served += figures.served;
    sum.refused += figures.refused;
    sum.failed += figures.failed;
    sum.served_late += figures.served_late;
    for (std::size_t i = 0; i < core::kLatencyBinCount; ++i) sum.latency_bins[i] += figures.latency_bins[i];
  }
}

std::uint64_t accepted_of(const core::DispatcherStats& classes) {
  std::uint64_t sum = 0;
  for (const auto& [name, figures] : classes) sum += figures.accepted;
  return sum;
}

}  // namespace

std::optional<Cohorts::Interval> Cohorts::interval_between(const Sample& before, const Sample& now) {
  if (before.pid != now.pid || now.at_ms <= before.at_ms) return std::nullopt;
  Interval interval;
  interval.ms = now.at_ms - before.at_ms;
  interval.memory_mb = now.memory_mb;
  interval.cpu_ms = now.cpu_ms - before.cpu_ms;
  interval.restarts = now.crashes - before.crashes;
  for (const auto& [name, figures] : now.classes) {
    const auto found = before.classes.find(name);
    const ClassStats none, &was = found == before.classes.end() ? none : found->second;
    ClassStats& counts = interval.classes[name];
    counts.accepted = figures.accepted - was.accepted;
    counts.served = figures.served - was.served;
    counts.refused = figures.refused - was.refused;
    counts.failed = figures.failed - was.failed;
    counts.served_late = figures.served_late - was.served_late;
    for (std::size_t i = 0; i < core::kLatencyBinCount; ++i)
      counts.latency_bins[i] = figures.latency_bins[i] - was.latency_bins[i];
  }
  return interval;
}

void Cohorts::add_samples(const std::map<std::string, Sample>& samples,
                          const std::set<std::string>& unchanged) {
  last_intervals_.clear();
  for (const auto& [member, sample] : samples) {
    const auto was = last_samples_.find(member);
    if (was == last_samples_.end()) continue;
    if (const auto interval = interval_between(was->second, sample)) {
      last_intervals_[member] = *interval;
    } else if (sample.crashes > was->second.crashes) {
      // A new process: its counts have no known start, but the restart itself is an event.
      Interval restarted;
      restarted.restarts = sample.crashes - was->second.crashes;
      last_intervals_[member] = restarted;
    }
  }
  last_samples_ = samples;
  for (const auto& [member, interval] : last_intervals_) {
    if (interval.ms <= 0 || !unchanged.contains(member)) continue;
    Baseline& baseline = baselines_[member];
    baseline.ms += interval.ms;
    baseline.memory_mb += interval.memory_mb;
    baseline.cpu_ms += interval.cpu_ms;
    baseline.samples += 1;
    add_to(baseline.classes, interval.classes);
    add_to(all_baselines_, interval.classes);
    baseline.intervals.push_back(interval);
    if (baseline.intervals.size() > kMaxIntervals) baseline.intervals.pop_front();
  }
  double sample_count = 0, cpu = 0;
  mean_memory_mb_ = 0;
  for (const auto& [member, baseline] : baselines_) {
    mean_memory_mb_ += baseline.memory_mb;
    sample_count += baseline.samples;
    cpu += baseline.cpu_ms;
  }
  mean_memory_mb_ = sample_count > 0 ? mean_memory_mb_ / sample_count : 0;
  const auto asked = accepted_of(all_baselines_);
  cpu_ms_per_query_ = asked > 0 ? cpu / static_cast<double>(asked) : 0;
}

// Returns the latency bin above which a query is slower than `share` of those in the baseline: the
// dispatcher's own if it has served enough, otherwise the fleet's.
std::size_t Cohorts::slow_bin(const std::string& member, const std::string& class_name, double share) const {
  const ClassStats* from = nullptr;
  const auto baseline = baselines_.find(member);
  if (baseline != baselines_.end() && baseline->second.classes.contains(class_name))
    from = &baseline->second.classes.at(class_name);
  if (!from || static_cast<double>(sum_of(from->latency_bins)) < kMinOwnServed) {
    const auto all = all_baselines_.find(class_name);
    if (all == all_baselines_.end()) return core::kLatencyBinCount;
    from = &all->second;
  }
  const double required = share * static_cast<double>(sum_of(from->latency_bins));
  double sum = 0;
  for (std::size_t bin = 0; bin < core::kLatencyBinCount; ++bin) {
    sum += static_cast<double>(from->latency_bins[bin]);
    if (sum >= required) return bin;
  }
  return core::kLatencyBinCount;
}

// A dispatcher whose baseline matches the fleet's is measured by the fleet's share. One that differed by more
// than chance explains is measured by its own share with Wilson bounds: it counts as worse than its baseline
// only if it exceeds the most that this baseline allows.
verdict::Counts::Expected Cohorts::expected_events(double queries, double events, double asked,
                                                   double all_events, double all_asked) {
  if (all_asked <= 0) return {};
  const double common = (all_events + 0.5) / (all_asked + 1);
  const double chance_deviation = kChanceDeviations * std::sqrt(asked * common * (1 - common)) + 1;
  if (std::abs(events - asked * common) <= chance_deviation)
    return {queries * common, queries * common, queries * common};
  const double share = events / asked, z = kWilsonZ;
  const double middle = (share + z * z / (2 * asked)) / (1 + z * z / asked);
  const double spread =
      z / (1 + z * z / asked) * std::sqrt(share * (1 - share) / asked + z * z / (4 * asked * asked));
  return {queries * std::max(middle - spread, 0.5 / (asked + 1)), queries * share,
          queries * (middle + spread)};
}

void Cohorts::add(verdict::CohortStats& side, const std::string& member, const Interval& interval) const {
  const auto baseline = baselines_.find(member);
  side.restarts += interval.restarts;
  if (interval.ms <= 0) {  // it was restarted: there is nothing else to compare
    side.dispatchers += 1;
    return;
  }
  // Normalised by its own baseline: a dispatcher that is large and busy was so before.
  double memory = interval.memory_mb, cpu = interval.cpu_ms;
  if (baseline != baselines_.end() && baseline->second.samples > 0) {
    const Baseline& own = baseline->second;
    const double asked = static_cast<double>(accepted_of(own.classes));
    if (own.memory_mb > 0) memory *= mean_memory_mb_ / (own.memory_mb / own.samples);
    if (own.cpu_ms > 0 && asked > 0) cpu *= cpu_ms_per_query_ / (own.cpu_ms / asked);
    side.expected_queries += asked / own.ms * interval.ms;
  }
  side.memory_mb = (side.memory_mb * side.dispatchers + memory) / (side.dispatchers + 1);
  side.cpu_ms += cpu;
  side.dispatchers += 1;
  for (const auto& [name, figures] : interval.classes) {
    verdict::Counts& counts = side.classes[name];
    const auto asked = static_cast<double>(figures.accepted);
    counts.accepted += static_cast<int>(figures.accepted);
    counts.refused += static_cast<int>(figures.refused);
    counts.failed += static_cast<int>(figures.failed);
    counts.served_late += static_cast<int>(figures.served_late);
    const core::ClassStats none;
    const auto class_of = [&](const core::DispatcherStats& classes) -> const ClassStats& {
      const auto found = classes.find(name);
      return found == classes.end() ? none : found->second;
    };
    const ClassStats &own = baseline == baselines_.end() ? none : class_of(baseline->second.classes),
                     &all = class_of(all_baselines_);
    const auto add = [](verdict::Counts::Expected& to, const verdict::Counts::Expected& added) {
      to.lower += added.lower;
      to.mean += added.mean;
      to.upper += added.upper;
    };
    const auto expected = [&](std::uint64_t ClassStats::*what) {
      return expected_events(asked, static_cast<double>(own.*what), static_cast<double>(own.accepted),
                             static_cast<double>(all.*what), static_cast<double>(all.accepted));
    };
    add(counts.expected_refused, expected(&ClassStats::refused));
    add(counts.expected_failed, expected(&ClassStats::failed));
    add(counts.expected_late, expected(&ClassStats::served_late));
    for (const auto& [index, share] : {std::pair<std::size_t, double>{0, 0.95}, {1, 0.99}}) {
      const std::size_t from = slow_bin(member, name, share) + 1;
      const auto slower_than_bin = [&](const ClassStats& counted) {
        std::uint64_t sum = 0;
        for (std::size_t bin = from; bin < core::kLatencyBinCount; ++bin) sum += counted.latency_bins[bin];
        return static_cast<double>(sum);
      };
      counts.slow[index] += static_cast<int>(slower_than_bin(figures));
      add(counts.expected_slow[index],
          expected_events(asked, slower_than_bin(own), static_cast<double>(own.accepted),
                          slower_than_bin(all), static_cast<double>(all.accepted)));
    }
  }
}

bool Cohorts::has_latencies(const Interval& interval) {
  return std::none_of(interval.classes.begin(), interval.classes.end(), [](const auto& item) {
    return item.second.served > 0 && sum_of(item.second.latency_bins) == 0;
  });
}

void Cohorts::drop_latencies(verdict::Slice& slice) {
  for (auto& [zone, pair] : slice)
    for (verdict::CohortStats* side : {&pair.changed, &pair.reference})
      for (auto& [name, counts] : side->classes) {
        counts.served_late = 0;
        counts.slow = {};
      }
}

verdict::Slice Cohorts::slice(const Assignment& assignment) const {
  verdict::Slice slice;
  bool latencies = true;
  for (const auto& [member, interval] : last_intervals_) {
    const auto found = assignment.find(member);
    const Cohort cohort = found == assignment.end() ? Cohort::none : found->second;
    if (cohort == Cohort::none) continue;
    verdict::CohortPair& pair = slice[zones_.at(member)];
    add(cohort == Cohort::changed ? pair.changed : pair.reference, member, interval);
    latencies = latencies && has_latencies(interval);
  }
  if (!latencies) drop_latencies(slice);
  return slice;
}

verdict::Slice Cohorts::slice_against_baseline(const Assignment& assignment) {
  verdict::Slice slice;
  bool latencies = true;
  baseline_slices_ += 1;
  for (const auto& [member, interval] : last_intervals_) {
    const auto found = assignment.find(member);
    const auto baseline = baselines_.find(member);
    if (found == assignment.end() || found->second != Cohort::changed || baseline == baselines_.end())
      continue;
    if (baseline->second.intervals.empty()) continue;
    verdict::CohortPair& pair = slice[zones_.at(member)];
    add(pair.changed, member, interval);
    add(pair.reference, member,
        baseline->second.intervals[baseline_slices_ % baseline->second.intervals.size()]);
    latencies =
        latencies && has_latencies(interval) &&
        has_latencies(baseline->second.intervals[baseline_slices_ % baseline->second.intervals.size()]);
  }
  if (!latencies) drop_latencies(slice);
  return slice;
}

std::string Cohorts::serialize_baselines() const {
  json members = json::object();
  for (const auto& [member, baseline] : baselines_)
    members[member] = {{"ms", baseline.ms},
                       {"memory_mb", baseline.memory_mb},
                       {"cpu_ms", baseline.cpu_ms},
                       {"looks", baseline.samples},
                       {"classes", core::serialize(baseline.classes)}};
  return members.dump();
}

void Cohorts::restore_baselines(const std::string& text) {
  try {
    const json members = json::parse(text);
    for (const auto& [member, fields] : members.items()) {
      Baseline& baseline = baselines_[member];
      baseline.ms = fields.at("ms");
      baseline.memory_mb = fields.at("memory_mb");
      baseline.cpu_ms = fields.at("cpu_ms");
      baseline.samples = fields.at("looks");
      baseline.classes = core::parse_stats(fields.at("classes"));
      add_to(all_baselines_, baseline.classes);
    }
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("malformed baselines of dispatchers: ") + error.what());
  }
}

}  // namespace woadtide::control
