#include "lab/cluster/schedule.hpp"

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <pcg_random.hpp>
#include <utility>

namespace woadtide::lab::cluster {

namespace {
constexpr std::array<std::pair<const char*, Kind>, 14> kWords = {{{"kill", Kind::kill},
                                                                  {"stop", Kind::stop},
                                                                  {"worker_kill", Kind::worker_kill},
                                                                  {"cut", Kind::cut},
                                                                  {"stall", Kind::stall},
                                                                  {"one_way", Kind::one_way},
                                                                  {"delay", Kind::delay},
                                                                  {"corrupt", Kind::corrupt},
                                                                  {"drain", Kind::drain},
                                                                  {"supervisor_kill", Kind::supervisor_kill},
                                                                  {"supervisor_stop", Kind::supervisor_stop},
                                                                  {"controller_kill", Kind::controller_kill},
                                                                  {"controller_stop", Kind::controller_stop},
                                                                  {"controller_old", Kind::controller_old}}};
constexpr double kLeastMs = 50, kDrainMs = 700;
}  // namespace

std::optional<Kind> kind_of(const std::string& word) {
  for (const auto& [name, kind] : kWords)
    if (word == name) return kind;
  return std::nullopt;
}

std::string word_of(Kind kind) {
  for (const auto& [name, one] : kWords)
    if (one == kind) return name;
  return {};
}

Scenario draw_change(Scenario scenario, std::uint64_t seed) {
  constexpr std::array<const char*, 8> kFlaws = {"start", "never", "load", "payouts",
                                                 "class", "slow",  "leak", "check"};
  constexpr std::array<const char*, 11> kFaults = {
      "kill",  "stop",  "supervisor_kill", "supervisor_stop", "cut", "stall", "one_way",
      "delay", "drain", "controller_kill", "controller_stop"};
  pcg32 random(seed, 77);
  const auto dice = [&](int most) {
    return boost::random::uniform_int_distribution<int>(0, most - 1)(random);
  };
  scenario.change.flaw = dice(20) < 9 ? "none" : kFlaws[static_cast<std::size_t>(dice(kFlaws.size()))];
  scenario.faults.clear();
  for (const char* fault : kFaults)
    if (const int count = std::max(0, dice(5) - 2)) scenario.faults[fault] = count;
  if (dice(8) == 0) scenario.faults["controller_old"] = 1;
  if (dice(7) == 0)
    scenario.change.abort_s = scenario.change.at_s + 1 + dice(static_cast<int>(scenario.seconds) / 2);
  return scenario;
}

std::vector<Fault> draw(const Scenario& scenario, std::uint64_t seed) {
  pcg32 random(seed);
  const auto dice = [&](int most) {
    return boost::random::uniform_int_distribution<int>(0, most - 1)(random);
  };
  const auto between = [&](double from, double to) {
    return boost::random::uniform_real_distribution<double>(from, std::max(to, from + 1))(random);
  };
  const double last = scenario.seconds * 900;
  std::vector<Fault> faults;
  for (const auto& [word, count] : scenario.faults)
    for (int i = 0; i < count; ++i) {
      Fault fault;
      fault.kind = *kind_of(word);
      fault.from_ms = between(scenario.seconds * 50, last - kLeastMs);
      fault.to_ms = std::min(fault.from_ms + between(kLeastMs, scenario.most_s * 1'000), last);
      if (fault.kind == Kind::drain) {
        // Long enough for a late send to show, while there is load.
        fault.from_ms = between(scenario.seconds * 50, scenario.seconds * 450);
        fault.to_ms = std::min(fault.from_ms + scenario.grace_ms + between(kDrainMs, 3 * kDrainMs), last);
      }
      const std::string node = "n" + std::to_string(dice(scenario.dispatchers));
      const std::string worker = "w" + std::to_string(dice(scenario.workers));
      const bool of_worker = fault.kind == Kind::worker_kill || fault.kind == Kind::drain;
      fault.at = of_worker ? worker : is_of_controller(fault.kind) ? "control" : node;
      if (is_of_link(fault.kind)) {
        // Most links are those to workers; a dispatcher has one to discovery and one from its clients.
        const int which = dice(scenario.workers + (scenario.change.on ? 4 : 2));
        fault.to = which == 0 ? "discovery" : which == 1 ? node : worker;
        if (which == 1) fault.at = "clients";
        if (which > scenario.workers + 1) {
          fault.at = "control";
          fault.to = node;
        }
      }
      faults.push_back(fault);
    }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.from_ms < b.from_ms; });
  return faults;
}

}  // namespace woadtide::lab::cluster
