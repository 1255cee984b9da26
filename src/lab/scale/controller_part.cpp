// Sweep of the rollout controller over the number of dispatchers: its calls to all supervisors, one polling
// cycle of its state machines, and a whole rollout.
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

constexpr double kCallTimeoutMs = 800;  // the same as the controller's own timeout
const std::vector<double> kTargetSizes{kTargetDispatchers[0], kTargetDispatchers[1]};
constexpr const char* kSweptQuantity = "dispatchers";

double live_heap_kb() { return static_cast<double>(allocations().live_bytes) / 1024; }

// A polling cycle while a stage is observed, a whole rollout, and the state that is written to disk.
void sweep_turns_and_changes(Report& report, const Settings& settings) {
  EventSeries turn("turn", kSweptQuantity, kTargetSizes),
      change("all moves of a change", kSweptQuantity, kTargetSizes);
  EventSeries text("state's text", kSweptQuantity, kTargetSizes);
  Series bytes{"state, bytes", kSweptQuantity, "bytes", {}, kTargetSizes};
  Series orders{"orders in the first tick", kSweptQuantity, "orders", {}, kTargetSizes};
  Series memory{"memory of one look at all", kSweptQuantity, "KB", {}, kTargetSizes};
  std::vector<int> sizes{10, 30, 60, 100, 150, 200, 300, 450};
  if (settings.small) sizes = {10, 20, 40};
  const int turns = settings.small ? 4 : 12;
  for (const int members : sizes) {
    ChangeHarness fleet(members, settings.seed);
    fleet.complete_checks();
    fleet.serve_one_second();
    fleet.run_turn();
    EventSamples turn_samples, change_samples, text_samples;
    const double start_kb = live_heap_kb();
    for (int i = 0; i < turns; ++i) {
      fleet.serve_one_second();
      turn_samples.measure([&] { fleet.run_turn(); });
    }
    const double kb_per_turn = (live_heap_kb() - start_kb) / turns;
    std::string state;
    for (int i = 0; i < turns; ++i) text_samples.measure([&] { state = fleet.rollout().serialize(); });
    change_samples.measure([&] {
      while (!fleet.rollout().finished()) {
        fleet.move_allowed_members();
        fleet.approve_stage();
      }
    });
    turn.add(members, turn_samples);
    change.add(members, change_samples);
    text.add(members, text_samples);
    bytes.points.push_back(summarize(members, {static_cast<double>(state.size())}));
    orders.points.push_back(summarize(members, {static_cast<double>(fleet.orders_at_first_tick())}));
    memory.points.push_back(summarize(members, {kb_per_turn}));
  }
  for (const EventSeries* series : {&turn, &change, &text}) series->append_to(report);
  for (Series* series : {&bytes, &orders, &memory}) report.series.push_back(std::move(*series));
}

// Memory of the samples taken of 100 dispatchers before their change: the baseline of the verdict.
void sweep_history_memory(Report& report, const Settings& settings) {
  Series memory{"memory of looks at 100 dispatchers", "looks", "KB", {}, {}};
  ChangeHarness fleet(settings.small ? 10 : 100, settings.seed);
  fleet.complete_checks();
  const double start_kb = live_heap_kb();
  const int max_turns = settings.small ? 32 : 1'000;
  int next_point = max_turns / 8;
  for (int turns = 1; turns <= max_turns; ++turns) {
    fleet.serve_one_second();
    fleet.run_turn();
    if (turns != next_point) continue;
    memory.points.push_back(summarize(turns, {live_heap_kb() - start_kb}));
    next_point += max_turns / 8;
  }
  report.series.push_back(std::move(memory));
}

// Status calls to all supervisors, over loopback; the supervisors answer at once.
void sweep_calls(Report& report, const Settings& settings) {
  const FakeSupervisors supervisors;
  EventSeries status_calls("status of all", kSweptQuantity, kTargetSizes);
  Series reached{"supervisors that answered in time", kSweptQuantity, "supervisors", {}, kTargetSizes};
  Series received{"bytes received for the status of all", kSweptQuantity, "bytes", {}, kTargetSizes};
  std::vector<int> sizes{10, 30, 100, 300, 1'000, 3'000};
  if (settings.small) sizes = {10, 20, 40};
  for (const int members : sizes) {
    config::RolloutSettings part = rollout_settings(members);
    for (auto& member : part.members) member.control = supervisors.address();
    EventSamples call_samples;
    std::vector<double> reached_counts;
    for (int i = 0; i < (settings.small ? 2 : 8); ++i) {
      std::vector<control::SupervisorStatus> standings;
      call_samples.measure([&] { standings = control::query_supervisors(part, kCallTimeoutMs); });
      double count = 0;
      for (const control::SupervisorStatus& standing : standings) count += standing.reached;
      reached_counts.push_back(count);
    }
    status_calls.add(members, call_samples);
    const Point point = summarize(members, reached_counts);
    reached.points.push_back(point);
    received.points.push_back(
        summarize(members, {point.median * static_cast<double>(supervisors.status_bytes())}));
  }
  status_calls.append_to(report);
  report.series.push_back(std::move(reached));
  report.series.push_back(std::move(received));
}

// Whether the operator file is accepted with this many members.
bool is_file_accepted(const std::string& path, int members) {
  std::ofstream file(path, std::ios::trunc);
  file << "[rollout]\nfolder = \"/tmp\"\nmembers = [\n";
  for (const auto& member : rollout_settings(members).members)
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

// Finds the largest accepted number of members by bisection.
void find_max_members(Report& report, const Settings& settings) {
  const ScratchFolder folder(settings.folder);
  const std::string path = folder.path() + "/operator.toml";
  constexpr int kMaxMembers = 4'096;
  int accepted = 1, rejected = kMaxMembers;
  while (rejected - accepted > 1) {
    const int middle = (accepted + rejected) / 2;
    (is_file_accepted(path, middle) ? accepted : rejected) = middle;
  }
  report.facts.push_back(
      {"most members that the operator's file may name", static_cast<double>(accepted), "dispatchers"});
}

// The largest statistics of one dispatcher: two classes, with responses in each latency bin.
void add_stats_size(Report& report) {
  core::DispatcherStats stats;
  for (const char* name : {"receipt-check", "refund-payout"})
    for (std::size_t bin = 0; bin < core::kLatencyBinCount; ++bin)
      stats[name].add_served(core::latency_bin_limit_ms(bin), false);
  report.facts.push_back({"one dispatcher's figures, two classes, all bins in use",
                          static_cast<double>(core::serialize(stats).size()), "bytes"});
}

}  // namespace

Report run_controller_part(const Settings& settings) {
  Report report{"controller", settings.seed, {}, {}};
  sweep_turns_and_changes(report, settings);
  sweep_history_memory(report, settings);
  sweep_calls(report, settings);
  find_max_members(report, settings);
  add_stats_size(report);
  return report;
}

}  // namespace woadtide::lab::scale
