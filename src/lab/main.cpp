// woadtide-lab: test workers, fault injection, simulations and checkers for woadtide, all on loopback.
#include <poll.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/cluster/arena.hpp"
#include "lab/cluster/clients.hpp"
#include "lab/cluster/registry.hpp"
#include "lab/crash.hpp"
#include "lab/fleet_sim.hpp"
#include "lab/hollow/hollow_command.hpp"
#include "lab/scale/command.hpp"
#include "lab/soak/command.hpp"
#include "lab/worker.hpp"

namespace {

namespace options = boost::program_options;
namespace lab = woadtide::lab;

int run_worker(int port, const std::string& ledger_path, bool answers, bool steady) {
  lab::TestWorker worker(port, ledger_path, answers, [steady](const lab::ExecutionRequest& begun) {
    // The behaviour depends on the key alone, so that it does not matter which worker gets the execution.
    const std::size_t hash = std::hash<std::string>()(begun.key);
    lab::ExecutionPlan execution;
    execution.duration_ms = static_cast<double>(steady ? 5 + hash % 26 : 2 + hash % 60);
    if (steady) return execution;
    execution.heartbeat_interval_ms = hash % 3 == 0 ? 10 : 0;
    if (hash % 97 == 0) execution.duration_ms = 900;  // longer than a lease, with or without heartbeats
    if (hash % 41 == 0) execution.outcome = lab::ExecutionPlan::Outcome::failed;
    if (hash % 43 == 0) execution.outcome = lab::ExecutionPlan::Outcome::refuse;
    return execution;
  });
  for (;;) ::poll(nullptr, 0, 1'000);
}

int run_cluster(const std::string& scenario_path, const lab::cluster::RunSettings& settings) {
  const lab::cluster::RunResult run = lab::cluster::run(lab::cluster::read_scenario(scenario_path), settings);
  const lab::cluster::Findings& found = run.findings;
  std::cout << "seed " << settings.seed << ": " << found.summary() << '\n';
  if (run.change) std::cout << "seed " << settings.seed << ": " << run.change->summary() << '\n';
  for (const std::string& line : found.lines) std::cout << "  " << line << '\n';
  if (run.good()) return 0;
  std::cout << "replay: woadtide-lab cluster --dispatcher " << settings.dispatcher_program << " --scenario "
            << scenario_path << " --seed " << settings.seed << " --folder NEW; files in " << settings.folder
            << '\n';
  return 1;
}

// Simulates the same change with several seeds and prints outcomes and medians.
int run_fleet(const lab::FleetSimSettings& simulation, std::uint64_t seed, int count) {
  std::vector<double> seconds, stopped_s, lost_s, max_on_new, cpu_ms;
  std::map<std::string, int> outcomes;
  for (int i = 0; i < count; ++i) {
    const lab::FleetSimResult result = lab::simulate_change(simulation, seed + static_cast<std::uint64_t>(i));
    outcomes[result.outcome] += 1;
    if (!result.reason.empty())
      std::cout << "  seed " << seed + static_cast<std::uint64_t>(i) << ": " << result.reason << '\n';
    seconds.push_back(result.duration_s);
    if (result.rolled_back_after_s > 0) stopped_s.push_back(result.rolled_back_after_s);
    lost_s.push_back(result.lost_load_s);
    max_on_new.push_back(result.max_on_new);
    cpu_ms.push_back(result.cpu_ms_per_step);
  }
  const auto median = [](std::vector<double> values) {
    if (values.empty()) return 0.0;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2),
                     values.end());
    return values[values.size() / 2];
  };
  std::cout << simulation.dispatchers << " dispatchers, stages";
  for (const int stage : simulation.stages) std::cout << ' ' << stage;
  std::cout << ", fails " << simulation.failed_payout_share << ", slower " << simulation.latency_increase
            << ":";
  for (const auto& [outcome, number] : outcomes) std::cout << ' ' << outcome << ' ' << number;
  std::cout << "; ends at " << median(seconds) << " s, rolled back after " << median(stopped_s)
            << " s, most on the new version " << median(max_on_new) << ", lost " << median(lost_s)
            << " s of the fleet's load, CPU per step " << median(cpu_ms) << " ms" << std::endl;
  return 0;
}

// Runs changes drawn from consecutive seeds; prints a line for each and then the number of outcomes.
int run_changes(const std::string& path, lab::cluster::RunSettings settings, int count) {
  const lab::cluster::Scenario base_scenario = lab::cluster::read_scenario(path);
  const std::string folder = settings.folder;
  std::map<std::string, int> outcomes;
  int failed_runs = 0;
  for (int i = 0; i < count; ++i, ++settings.seed) {
    settings.folder = folder + "/" + std::to_string(settings.seed);
    const lab::cluster::Scenario drawn_scenario =
        lab::cluster::draw_change_scenario(base_scenario, settings.seed);
    const lab::cluster::RunResult run = lab::cluster::run(drawn_scenario, settings);
    std::cout << (run.good() ? "good" : "BAD ") << " seed " << settings.seed << " flaw "
              << drawn_scenario.change.flaw << (drawn_scenario.change.abort_s > 0 ? " aborted" : "") << ": "
              << run.change->summary() << '\n';
    outcomes[(drawn_scenario.change.flaw == "none" ? "clean " : "flawed ") + run.change->outcome] += 1;
    if (run.good()) {
      std::filesystem::remove_all(settings.folder);
      continue;
    }
    failed_runs += 1;
    std::cout << "  " << run.findings.summary() << '\n';
    for (const std::string& line : run.findings.lines) std::cout << "  " << line << '\n';
    std::cout << "  replay: woadtide-lab changes --dispatcher " << settings.dispatcher_program
              << " --scenario " << path << " --seed " << settings.seed << " --count 1 --folder NEW"
              << std::endl;
  }
  for (const auto& [outcome, number] : outcomes) std::cout << outcome << ": " << number << '\n';
  std::cout << count << " changes, " << failed_runs << " bad\n";
  return failed_runs == 0 ? 0 : 1;
}

int run(int argc, char** argv) {
  std::string command, ledger_path, fault_kind, plan_path, record_path, dispatcher, scenario_path,
      old_program, new_program;
  lab::CrashSettings crash_settings;
  int port = 0, count = 1;
  lab::FleetSimSettings simulation;
  lab::scale::CommandOptions scale;
  bool no_inquiries = false, no_faults = false, steady = false;
  options::options_description visible_options("Options");
  visible_options.add_options()("help,h", "print this help")(
      "port", options::value(&port), "worker: port to listen on")("ledger", options::value(&ledger_path),
                                                                  "worker: path of its ledger")(
      "answers", "worker: answer inquiries about jobs")("steady", options::bool_switch(&steady),
                                                        "worker: executions take 5 to 30 ms and succeed")(
      "dispatcher", options::value(&crash_settings.dispatcher_program),
      "crash, points, cluster, changes: the program under test")(
      "folder", options::value(&crash_settings.folder), "folder for all files")(
      "kills", options::value(&crash_settings.kills)->default_value(crash_settings.kills),
      "crash: number of kills")(
      "clients", options::value(&crash_settings.clients)->default_value(crash_settings.clients),
      "crash: number of concurrent clients")("gap",
                                             options::value(&crash_settings.mean_kill_interval_ms)
                                                 ->default_value(crash_settings.mean_kill_interval_ms),
                                             "crash: mean time between two kills, ms")(
      "count", options::value(&count)->default_value(count), "changes, fleet: number of runs, one seed each")(
      "seed", options::value(&crash_settings.seed)->default_value(crash_settings.seed),
      "seed of all random numbers")("plain", options::bool_switch(&no_inquiries),
                                    "crash: workers do not answer inquiries")(
      "no-faults", options::bool_switch(&no_faults), "crash: no faults within store operations")(
      "kind", options::value(&fault_kind), "points: kind of fault: kill, torn, fail or full")(
      "first", options::value(&old_program),
      "cluster, changes: program before the change (default: the program under test)")(
      "next", options::value(&new_program),
      "cluster, changes: program after the change (default: a copy with the flaw)")(
      "scenario", options::value(&scenario_path), "cluster, changes: scenario file (TOML)")(
      "plan", options::value(&plan_path), "registry, clients: plan file of the run")(
      "record", options::value(&record_path), "registry, clients: file for their records")(
      "to", options::value(&dispatcher), "clients: name of the dispatcher");
  visible_options.add_options()("dispatchers", options::value(&simulation.dispatchers),
                                "fleet: number of dispatchers")(
      "stages", options::value(&simulation.stages)->multitoken(),
      "fleet: number of changed dispatchers after each stage")(
      "fails", options::value(&simulation.failed_payout_share),
      "fleet: additional share of payouts that fail on the new version")(
      "slower", options::value(&simulation.latency_increase), "fleet: relative increase of its latency")(
      "bake", options::value(&simulation.bake_s), "fleet: minimum duration of a stage, s")(
      "margin", options::value(&simulation.margin), "fleet: non-inferiority margin")(
      "part", options::value(&scale.part), "scale: part to sweep; an unknown name lists all parts")(
      "json", options::value(&scale.json_file), "scale: file for the report as JSON")(
      "svg", options::value(&scale.svg_file), "scale: file for a plot")(
      "small", options::bool_switch(&scale.settings.small), "scale: few sizes and few samples");
  options::options_description all(visible_options);
  all.add_options()("command", options::value(&command));
  options::positional_options_description positional;
  positional.add("command", 1);
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
  options::notify(values);
  if (values.count("help") || command.empty()) {
    std::cout << "Usage: woadtide-lab COMMAND [options]\n\n"
                 "  crash    kill the dispatcher and workers at random, and check the history\n"
                 "  check    check the history and the ledgers in the folder of a run\n"
                 "  points   inject a fault at each operation of the dispatcher's store in turn\n"
                 "  cluster  run many processes with faults by a scenario, and check their records\n"
                 "  changes  run rolling changes, each with a flaw, faults and an abort drawn from its seed\n"
                 "  fleet    simulate a change of hundreds of dispatchers on a virtual clock\n"
                 "  hollow   many dispatchers without traffic and their service discovery; see its own "
                 "--help\n"
                 "  soak     a dispatcher under failing system calls, signals and other faults; see its own "
                 "--help\n"
                 "  scale    sweep one part over growing sizes: cost by size, slopes, breakpoints\n"
                 "  worker   a test worker\n"
                 "  registry, clients   processes that cluster starts\n\n"
              << visible_options;
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (command == "fleet") {
    if (simulation.stages.empty())
      simulation.stages = {1, simulation.dispatchers / 10, simulation.dispatchers};
    return run_fleet(simulation, crash_settings.seed, count);
  }
  if (command == "scale") {
    scale.settings.seed = crash_settings.seed;
    scale.settings.folder = crash_settings.folder;
    return lab::scale::run_command(scale);
  }
  if (command == "worker") return run_worker(port, ledger_path, values.count("answers") > 0, steady);
  if (command == "registry") lab::cluster::run_registry(plan_path, record_path);
  if (command == "clients") return lab::cluster::run_clients(plan_path, dispatcher, record_path), 0;
  if (command == "check") {
    const lab::HistoryFindings findings = lab::check_folder(crash_settings.folder);
    std::cout << findings.summary() << '\n';
    for (const std::string& line : findings.lines) std::cout << "  " << line << '\n';
    return findings.good() ? 0 : 1;
  }
  if (command != "crash" && command != "points" && command != "cluster" && command != "changes")
    throw std::runtime_error("unknown command '" + command + "'");
  if (crash_settings.dispatcher_program.empty() || crash_settings.folder.empty())
    throw std::runtime_error(command + " requires --dispatcher PROGRAM and --folder FOLDER");
  if (std::filesystem::exists(crash_settings.folder))
    throw std::runtime_error(crash_settings.folder + " already exists");
  crash_settings.workers_answer_inquiries = !no_inquiries;
  crash_settings.store_faults = !no_faults;
  const std::string lab_program = std::filesystem::read_symlink("/proc/self/exe").string();
  if (command == "cluster" || command == "changes") {
    if (scenario_path.empty()) throw std::runtime_error(command + " requires --scenario FILE");
    if (command == "changes")
      return run_changes(scenario_path,
                         {crash_settings.dispatcher_program, lab_program, crash_settings.folder, old_program,
                          new_program, crash_settings.seed, false},
                         count);
    return run_cluster(scenario_path, {crash_settings.dispatcher_program, lab_program, crash_settings.folder,
                                       old_program, new_program, crash_settings.seed, true});
  }
  if (command == "points") {
    const auto sweep = lab::run_fault_sweep(crash_settings, fault_kind, lab_program);
    std::cout << fault_kind << ": " << sweep.runs
              << " runs, the last one without a fault; the dispatcher died in " << sweep.deaths << "; "
              << sweep.verdict.summary() << '\n';
    for (const std::string& line : sweep.verdict.lines) std::cout << "  " << line << '\n';
    return sweep.verdict.good() && sweep.verdict.lines.empty() ? 0 : 1;
  }
  const auto report = lab::run_crash_test(crash_settings, lab_program);
  const lab::HistoryFindings& findings = report.verdict;
  std::cout << findings.summary() << "\nkills: dispatcher " << report.dispatcher_kills
            << ", within its store " << report.store_kills << ", worker " << report.worker_kills << ", both "
            << report.both_kills << "; workers started empty " << report.emptied_workers << "; upgrades "
            << report.hot_restarts << "; unexpected exits " << report.unexpected_exits << '\n';
  for (const std::string& line : findings.lines) std::cout << "  " << line << '\n';
  if (findings.good() && report.unexpected_exits == 0) return 0;
  std::cout << "replay: woadtide-lab crash --seed " << crash_settings.seed << " --kills "
            << crash_settings.kills << "; files in " << crash_settings.folder << '\n';
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "hollow") return lab::hollow::run_command(argc - 1, argv + 1);
    if (command == "soak") return lab::soak::run_command(argc - 1, argv + 1);
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "woadtide-lab: " << error.what() << std::endl;
    return 2;
  }
}
