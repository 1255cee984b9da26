#include "lab/cluster/schedule.hpp"

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <pcg_random.hpp>
#include <utility>

namespace woadtide::lab::cluster {

namespace {
constexpr std::array<std::pair<const char*, FaultKind>, 14> kKindNames = {
    {{"kill", FaultKind::kill},
     {"stop", FaultKind::stop},
     {"worker_kill", FaultKind::worker_kill},
     {"cut", FaultKind::cut},
     {"stall", FaultKind::stall},
     {"one_way", FaultKind::one_way},
     {"delay", FaultKind::delay},
     {"corrupt", FaultKind::corrupt},
     {"drain", FaultKind::drain},
     {"supervisor_kill", FaultKind::supervisor_kill},
     {"supervisor_stop", FaultKind::supervisor_stop},
     {"controller_kill", FaultKind::controller_kill},
     {"controller_stop", FaultKind::controller_stop},
     {"controller_old", FaultKind::controller_old}}};
constexpr double kMinFaultMs = 50, kMinDrainMs = 700;
}  // namespace

std::optional<FaultKind> fault_kind_from_name(const std::string& name) {
  for (const auto& [candidate, kind] : kKindNames)
    if (name == candidate) return kind;
  return std::nullopt;
}

std::string fault_kind_name(FaultKind kind) {
  for (const auto& [name, candidate] : kKindNames)
    if (candidate == kind) return name;
  return {};
}

Scenario draw_change_scenario(Scenario scenario, std::uint64_t seed) {
  constexpr std::array<const char*, 8> kFlaws = {"start", "never", "load", "payouts",
                                                 "class", "slow",  "leak", "check"};
  constexpr std::array<const char*, 11> kFaults = {
      "kill",  "stop",  "supervisor_kill", "supervisor_stop", "cut", "stall", "one_way",
      "delay", "drain", "controller_kill", "controller_stop"};
  pcg32 random(seed, 77);
  const auto random_below = [&](int limit) {
    return boost::random::uniform_int_distribution<int>(0, limit - 1)(random);
  };
  scenario.change.flaw =
      random_below(20) < 9 ? "none" : kFlaws[static_cast<std::size_t>(random_below(kFlaws.size()))];
  scenario.faults.clear();
  for (const char* fault : kFaults)
    if (const int count = std::max(0, random_below(5) - 2)) scenario.faults[fault] = count;
  if (random_below(8) == 0) scenario.faults["controller_old"] = 1;
  if (random_below(7) == 0)
    scenario.change.abort_s = scenario.change.at_s + 1 + random_below(static_cast<int>(scenario.seconds) / 2);
  return scenario;
}

std::vector<Fault> draw_faults(const Scenario& scenario, std::uint64_t seed) {
  pcg32 random(seed);
  const auto random_below = [&](int limit) {
    return boost::random::uniform_int_distribution<int>(0, limit - 1)(random);
  };
  const auto random_between = [&](double from, double to) {
    return boost::random::uniform_real_distribution<double>(from, std::max(to, from + 1))(random);
  };
  const double last_end_ms = scenario.seconds * 900;
  std::vector<Fault> faults;
  for (const auto& [name, count] : scenario.faults)
    for (int i = 0; i < count; ++i) {
      Fault fault;
      fault.kind = *fault_kind_from_name(name);
      fault.from_ms = random_between(scenario.seconds * 50, last_end_ms - kMinFaultMs);
      fault.to_ms =
          std::min(fault.from_ms + random_between(kMinFaultMs, scenario.most_s * 1'000), last_end_ms);
      if (fault.kind == FaultKind::drain) {
        // Long enough for a send after the grace period to show up, while there is still load.
        fault.from_ms = random_between(scenario.seconds * 50, scenario.seconds * 450);
        fault.to_ms = std::min(
            fault.from_ms + scenario.grace_ms + random_between(kMinDrainMs, 3 * kMinDrainMs), last_end_ms);
      }
      const std::string dispatcher = "n" + std::to_string(random_below(scenario.dispatchers));
      const std::string worker = "w" + std::to_string(random_below(scenario.workers));
      const bool targets_worker = fault.kind == FaultKind::worker_kill || fault.kind == FaultKind::drain;
      fault.process = targets_worker ? worker : is_controller_fault(fault.kind) ? "control" : dispatcher;
      if (is_link_fault(fault.kind)) {
        // Most links lead to workers; a dispatcher has one link to discovery and one from its clients.
        const int link_index = random_below(scenario.workers + (scenario.change.enabled ? 4 : 2));
        fault.peer = link_index == 0 ? "discovery" : link_index == 1 ? dispatcher : worker;
        if (link_index == 1) fault.process = "clients";
        if (link_index > scenario.workers + 1) {
          fault.process = "control";
          fault.peer = dispatcher;
        }
      }
      faults.push_back(fault);
    }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.from_ms < b.from_ms; });
  return faults;
}

}  // namespace woadtide::lab::cluster
