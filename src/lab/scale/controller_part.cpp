// The rollout controller over dispatchers: its calls to all supervisors, a turn of its cores, and a whole
// change.
#include <fstream>
#include <stdexcept>
#include <string>

#include "config/operator_file.hpp"
#include "control/controller.hpp"
#include "core/figures.hpp"
#include "lab/scale/allocations.hpp"
#include "lab/scale/change_harness.hpp"
#include "lab/scale/parts.hpp"
#include "lab/scale/samples.hpp"
#include "lab/scale/scratch_folder.hpp"
#include "lab/scale/stand_in_supervisors.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr double kCallsWithinMs = 800;  // as the controller gives itself
const std::vector<double> kTargets{kTargetDispatchers[0], kTargetDispatchers[1]};
constexpr const char* kAgainst = "dispatchers";

double live_kilobytes() { return static_cast<double>(allocations().live_bytes) / 1024; }

// A turn while a stage is looked at, a whole change, and the state that goes to the disk.
void sweep_cores(Report& report, const Settings& settings) {
  EventSeries turn("turn", kAgainst, kTargets), change("all moves of a change", kAgainst, kTargets);
  EventSeries text("state's text", kAgainst, kTargets);
  Series bytes{"state, bytes", kAgainst, "bytes", {}, kTargets};
  Series orders{"orders in the first tick", kAgainst, "orders", {}, kTargets};
  Series memory{"memory of one look at all", kAgainst, "KB", {}, kTargets};
  std::vector<int> sizes{10, 30, 60, 100, 150, 200, 300, 450};
  if (settings.small) sizes = {10, 20, 40};
  const int turns = settings.small ? 4 : 12;
  for (const int members : sizes) {
    ChangeHarness fleet(members, settings.seed);
    fleet.finish_checks();
    fleet.serve_second();
    fleet.turn();
    EventSamples of_turn, of_change, of_text;
    const double before = live_kilobytes();
    for (int i = 0; i < turns; ++i) {
      fleet.serve_second();
      of_turn.measure([&] { fleet.turn(); });
    }
    const double of_look = (live_kilobytes() - before) / turns;
    std::string state;
    for (int i = 0; i < turns; ++i) of_text.measure([&] { state = fleet.rollout().text(); });
    of_change.measure([&] {
      while (!fleet.rollout().over()) {
        fleet.move_stage();
        fleet.next_stage();
      }
    });
    turn.add(members, of_turn);
    change.add(members, of_change);
    text.add(members, of_text);
    bytes.points.push_back(point_of(members, {static_cast<double>(state.size())}));
    orders.points.push_back(point_of(members, {static_cast<double>(fleet.orders_at_first_tick())}));
    memory.points.push_back(point_of(members, {of_look}));
  }
  for (const EventSeries* one : {&turn, &change, &text}) one->append_to(report);
  for (Series* one : {&bytes, &orders, &memory}) report.series.push_back(std::move(*one));
}

// What the looks at 100 dispatchers before their change take: the past that a verdict is measured by.
void sweep_looks(Report& report, const Settings& settings) {
  Series memory{"memory of looks at 100 dispatchers", "looks", "KB", {}, {}};
  ChangeHarness fleet(settings.small ? 10 : 100, settings.seed);
  fleet.finish_checks();
  const double before = live_kilobytes();
  const int most = settings.small ? 32 : 1'000;
  int next_point = most / 8;
  for (int looks = 1; looks <= most; ++looks) {
    fleet.serve_second();
    fleet.turn();
    if (looks != next_point) continue;
    memory.points.push_back(point_of(looks, {live_kilobytes() - before}));
    next_point += most / 8;
  }
  report.series.push_back(std::move(memory));
}

// All supervisors are asked how they stand, over loopback; they answer at once.
void sweep_calls(Report& report, const Settings& settings) {
  const StandInSupervisors supervisors;
  EventSeries asking("status of all", kAgainst, kTargets);
  Series reached{"supervisors that answered in time", kAgainst, "supervisors", {}, kTargets};
  Series received{"bytes received for the status of all", kAgainst, "bytes", {}, kTargets};
  std::vector<int> sizes{10, 30, 100, 300, 1'000, 3'000};
  if (settings.small) sizes = {10, 20, 40};
  for (const int members : sizes) {
    config::RolloutPart part = rollout_part(members);
    for (auto& member : part.members) member.control = supervisors.address();
    EventSamples of_asking;
    std::vector<double> answered;
    for (int i = 0; i < (settings.small ? 2 : 8); ++i) {
      std::vector<control::Standing> standings;
      of_asking.measure([&] { standings = control::ask_all(part, kCallsWithinMs); });
      double count = 0;
      for (const control::Standing& one : standings) count += one.reached;
      answered.push_back(count);
    }
    asking.add(members, of_asking);
    const Point point = point_of(members, answered);
    reached.points.push_back(point);
    received.points.push_back(
        point_of(members, {point.median * static_cast<double>(supervisors.status_bytes())}));
  }
  asking.append_to(report);
  report.series.push_back(std::move(reached));
  report.series.push_back(std::move(received));
}

bool file_takes(const std::string& path, int members) {
  std::ofstream file(path, std::ios::trunc);
  file << "[rollout]\nfolder = \"/tmp\"\nmembers = [\n";
  for (const auto& member : rollout_part(members).members)
    file << "  {name = \"" << member.name << "\", zone = \"" << member.zone << "\", control = \""
         << member.control << "\"},\n";
  file << "]\n";
  file.close();
  try {
    config::load_operator_file(path);
    return true;
  } catch (const std::runtime_error&) {
    return false;
  }
}

void find_most_members(Report& report, const Settings& settings) {
  const ScratchFolder folder(settings.folder);
  const std::string path = folder.path() + "/operator.toml";
  constexpr int kMost = 4'096;
  int takes = 1, refuses = kMost;
  while (refuses - takes > 1) {
    const int middle = (takes + refuses) / 2;
    (file_takes(path, middle) ? takes : refuses) = middle;
  }
  report.facts.push_back(
      {"most members that the operator's file may name", static_cast<double>(takes), "dispatchers"});
}

// A dispatcher's figures at their largest: two classes, with answers in each bin.
void tell_figures_bytes(Report& report) {
  core::Figures figures;
  for (const char* name : {"receipt-check", "refund-payout"})
    for (std::size_t bin = 0; bin < core::kBins; ++bin) figures[name].add_served(core::top_of(bin), false);
  report.facts.push_back({"one dispatcher's figures, two classes, all bins in use",
                          static_cast<double>(core::text_of(figures).size()), "bytes"});
}

}  // namespace

Report run_controller_part(const Settings& settings) {
  Report report{"controller", settings.seed, {}, {}};
  sweep_cores(report, settings);
  sweep_looks(report, settings);
  sweep_calls(report, settings);
  find_most_members(report, settings);
  tell_figures_bytes(report);
  return report;
}

}  // namespace woadtide::lab::scale
