#include "control/cohorts.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

namespace woadtide::control {

using core::ClassFigures;
using nlohmann::json;

namespace {

constexpr std::size_t kMostPast = 600;  // looks of a past that are kept one by one
constexpr double kFewOwn = 200;         // served queries that make a past of one's own
constexpr double kUnlike = 1.5;         // standard deviations from the others' share that are still by chance
constexpr double kSigmas = 2.5;         // of the bounds within which a past is taken to be known

std::uint64_t sum_of(const std::array<std::uint64_t, core::kBins>& bins) {
  return std::accumulate(bins.begin(), bins.end(), std::uint64_t{0});
}

void add_to(core::Figures& all, const core::Figures& some) {
  for (const auto& [name, one] : some) {
    ClassFigures& sum = all[name];
    sum.asked += one.asked;
    sum.served += one.served;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.late += one.late;
    for (std::size_t i = 0; i < core::kBins; ++i) sum.bins[i] += one.bins[i];
  }
}

std::uint64_t asked_of(const core::Figures& figures) {
  std::uint64_t sum = 0;
  for (const auto& [name, one] : figures) sum += one.asked;
  return sum;
}

}  // namespace

std::optional<Cohorts::Done> Cohorts::between(const Sample& before, const Sample& now) {
  if (before.pid != now.pid || now.at_ms <= before.at_ms) return std::nullopt;
  Done done;
  done.ms = now.at_ms - before.at_ms;
  done.memory_mb = now.memory_mb;
  done.cpu_ms = now.cpu_ms - before.cpu_ms;
  done.restarts = now.crashes - before.crashes;
  for (const auto& [name, one] : now.classes) {
    const auto found = before.classes.find(name);
    const ClassFigures none, &was = found == before.classes.end() ? none : found->second;
    ClassFigures& some = done.classes[name];
    some.asked = one.asked - was.asked;
    some.served = one.served - was.served;
    some.refused = one.refused - was.refused;
    some.failed = one.failed - was.failed;
    some.late = one.late - was.late;
    for (std::size_t i = 0; i < core::kBins; ++i) some.bins[i] = one.bins[i] - was.bins[i];
  }
  return done;
}

void Cohorts::look(const std::map<std::string, Sample>& samples, const std::set<std::string>& learns) {
  done_.clear();
  for (const auto& [member, sample] : samples) {
    const auto was = before_.find(member);
    if (was == before_.end()) continue;
    if (const auto done = between(was->second, sample)) {
      done_[member] = *done;
    } else if (sample.crashes > was->second.crashes) {
      // Another process: its counts have no beginning here, but that it had to be started is an event.
      Done restarted;
      restarted.restarts = sample.crashes - was->second.crashes;
      done_[member] = restarted;
    }
  }
  before_ = samples;
  for (const auto& [member, done] : done_) {
    if (done.ms <= 0 || !learns.contains(member)) continue;
    Past& past = past_[member];
    past.ms += done.ms;
    past.memory_mb += done.memory_mb;
    past.cpu_ms += done.cpu_ms;
    past.looks += 1;
    add_to(past.classes, done.classes);
    add_to(all_, done.classes);
    past.each.push_back(done);
    if (past.each.size() > kMostPast) past.each.pop_front();
  }
  double looks = 0, cpu = 0;
  memory_mb_ = 0;
  for (const auto& [member, past] : past_) {
    memory_mb_ += past.memory_mb;
    looks += past.looks;
    cpu += past.cpu_ms;
  }
  memory_mb_ = looks > 0 ? memory_mb_ / looks : 0;
  const auto asked = asked_of(all_);
  cpu_a_query_ = asked > 0 ? cpu / static_cast<double>(asked) : 0;
}

// The bin over which an answer is slower than `share` of those before; one's own where there were enough.
std::size_t Cohorts::threshold(const std::string& member, const std::string& name, double share) const {
  const ClassFigures* from = nullptr;
  const auto past = past_.find(member);
  if (past != past_.end() && past->second.classes.contains(name)) from = &past->second.classes.at(name);
  if (!from || static_cast<double>(sum_of(from->bins)) < kFewOwn) {
    const auto all = all_.find(name);
    if (all == all_.end()) return core::kBins;
    from = &all->second;
  }
  const double wanted = share * static_cast<double>(sum_of(from->bins));
  double sum = 0;
  for (std::size_t bin = 0; bin < core::kBins; ++bin) {
    sum += static_cast<double>(from->bins[bin]);
    if (sum >= wanted) return bin;
  }
  return core::kBins;
}

// One whose past is as the others' counts as they do. One that has differed by more than chance makes likely
// is measured by its own share, within Wilson's bounds: it may be said to be worse than its past only where
// it is so by the most that this past allows.
verdict::Counts::Usual Cohorts::usual(double of, double events, double asked, double all_events,
                                      double all_asked) {
  if (all_asked <= 0) return {};
  const double common = (all_events + 0.5) / (all_asked + 1);
  const double by_chance = kUnlike * std::sqrt(asked * common * (1 - common)) + 1;
  if (std::abs(events - asked * common) <= by_chance) return {of * common, of * common, of * common};
  const double share = events / asked, z = kSigmas;
  const double middle = (share + z * z / (2 * asked)) / (1 + z * z / asked);
  const double spread =
      z / (1 + z * z / asked) * std::sqrt(share * (1 - share) / asked + z * z / (4 * asked * asked));
  return {of * std::max(middle - spread, 0.5 / (asked + 1)), of * share, of * (middle + spread)};
}

void Cohorts::add(verdict::Side& side, const std::string& member, const Done& done) const {
  const auto past = past_.find(member);
  side.restarts += done.restarts;
  if (done.ms <= 0) {  // it had to be started again: of what it did there is nothing to compare
    side.dispatchers += 1;
    return;
  }
  // By its own past: what is big and busy was so before.
  double memory = done.memory_mb, cpu = done.cpu_ms;
  if (past != past_.end() && past->second.looks > 0) {
    const Past& own = past->second;
    const double asked = static_cast<double>(asked_of(own.classes));
    if (own.memory_mb > 0) memory *= memory_mb_ / (own.memory_mb / own.looks);
    if (own.cpu_ms > 0 && asked > 0) cpu *= cpu_a_query_ / (own.cpu_ms / asked);
    side.usual_asked += asked / own.ms * done.ms;
  }
  side.memory_mb = (side.memory_mb * side.dispatchers + memory) / (side.dispatchers + 1);
  side.cpu_ms += cpu;
  side.dispatchers += 1;
  for (const auto& [name, one] : done.classes) {
    verdict::Counts& counts = side.classes[name];
    const auto asked = static_cast<double>(one.asked);
    counts.asked += static_cast<int>(one.asked);
    counts.refused += static_cast<int>(one.refused);
    counts.failed += static_cast<int>(one.failed);
    counts.late += static_cast<int>(one.late);
    const core::ClassFigures none;
    const auto past_of = [&](const core::Figures& figures) -> const ClassFigures& {
      const auto found = figures.find(name);
      return found == figures.end() ? none : found->second;
    };
    const ClassFigures &own = past == past_.end() ? none : past_of(past->second.classes),
                       &all = past_of(all_);
    const auto add = [](verdict::Counts::Usual& to, const verdict::Counts::Usual& some) {
      to.least += some.least;
      to.mean += some.mean;
      to.most += some.most;
    };
    const auto usually = [&](std::uint64_t ClassFigures::*what) {
      return usual(asked, static_cast<double>(own.*what), static_cast<double>(own.asked),
                   static_cast<double>(all.*what), static_cast<double>(all.asked));
    };
    add(counts.usual_refused, usually(&ClassFigures::refused));
    add(counts.usual_failed, usually(&ClassFigures::failed));
    add(counts.usual_late, usually(&ClassFigures::late));
    for (const auto& [place, share] : {std::pair<std::size_t, double>{0, 0.95}, {1, 0.99}}) {
      const std::size_t from = threshold(member, name, share) + 1;
      const auto over = [&](const ClassFigures& figures) {
        std::uint64_t sum = 0;
        for (std::size_t bin = from; bin < core::kBins; ++bin) sum += figures.bins[bin];
        return static_cast<double>(sum);
      };
      counts.slow[place] += static_cast<int>(over(one));
      add(counts.usual_slow[place],
          usual(asked, over(own), static_cast<double>(own.asked), over(all), static_cast<double>(all.asked)));
    }
  }
}

bool Cohorts::tells_times(const Done& done) {
  return std::none_of(done.classes.begin(), done.classes.end(), [](const auto& item) {
    return item.second.served > 0 && sum_of(item.second.bins) == 0;
  });
}

void Cohorts::leave_out_times(verdict::Slice& slice) {
  for (auto& [zone, pair] : slice)
    for (verdict::Side* side : {&pair.fresh, &pair.old})
      for (auto& [name, counts] : side->classes) {
        counts.late = 0;
        counts.slow = {};
      }
}

verdict::Slice Cohorts::slice(const Sides& sides) const {
  verdict::Slice slice;
  bool times = true;
  for (const auto& [member, done] : done_) {
    const auto found = sides.find(member);
    const Cohort cohort = found == sides.end() ? Cohort::none : found->second;
    if (cohort == Cohort::none) continue;
    verdict::Pair& pair = slice[zones_.at(member)];
    add(cohort == Cohort::fresh ? pair.fresh : pair.old, member, done);
    times = times && tells_times(done);
  }
  if (!times) leave_out_times(slice);
  return slice;
}

verdict::Slice Cohorts::against_past(const Sides& sides) {
  verdict::Slice slice;
  bool times = true;
  turn_ += 1;
  for (const auto& [member, done] : done_) {
    const auto found = sides.find(member);
    const auto past = past_.find(member);
    if (found == sides.end() || found->second != Cohort::fresh || past == past_.end()) continue;
    if (past->second.each.empty()) continue;
    verdict::Pair& pair = slice[zones_.at(member)];
    add(pair.fresh, member, done);
    add(pair.old, member, past->second.each[turn_ % past->second.each.size()]);
    times = times && tells_times(done) && tells_times(past->second.each[turn_ % past->second.each.size()]);
  }
  if (!times) leave_out_times(slice);
  return slice;
}

std::string Cohorts::text() const {
  json members = json::object();
  for (const auto& [member, past] : past_)
    members[member] = {{"ms", past.ms},
                       {"memory_mb", past.memory_mb},
                       {"cpu_ms", past.cpu_ms},
                       {"looks", past.looks},
                       {"classes", core::text_of(past.classes)}};
  return members.dump();
}

void Cohorts::remember(const std::string& text) {
  try {
    const json members = json::parse(text);
    for (const auto& [member, one] : members.items()) {
      Past& past = past_[member];
      past.ms = one.at("ms");
      past.memory_mb = one.at("memory_mb");
      past.cpu_ms = one.at("cpu_ms");
      past.looks = one.at("looks");
      past.classes = core::read_figures(one.at("classes"));
      add_to(all_, past.classes);
    }
  } catch (const json::exception& wrong) {
    throw std::runtime_error(std::string("no past of dispatchers: ") + wrong.what());
  }
}

}  // namespace woadtide::control
