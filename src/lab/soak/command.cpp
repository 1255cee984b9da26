#include "lab/soak/command.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <stdexcept>
#include <string>

#include "lab/soak/run.hpp"

namespace woadtide::lab::soak {

namespace {

namespace options = boost::program_options;

// Fault specifications of the table, run one after the other.
constexpr const char* kFaultRows[] = {
    "seed=1",
    "seed=1,accept=0.05",
    "seed=1,wait=0.05",
    "seed=1,wait=0.3",
    "seed=1,write=0.05",
    "seed=1,wall=2000:3600000",
    "seed=1,wall=2000:-3600000",
    "seed=1,read=0.05",
    "seed=1,read=0.2",
    "seed=1,socket=0.05",
    "seed=1,connect=0.05",
    "seed=1,accept=0.3,socket=0.3,connect=0.3,write=0.3",
};

void print_violations(const RunResult& result) {
  for (const std::string& violation : result.verdict.violations) std::cout << "  " << violation << '\n';
  std::cout << std::flush;
}

// Runs `count` seeds from `first` on. Returns the number of runs that violated a rule.
int run_seeds(RunSettings settings, std::uint64_t first, int count) {
  const std::string folder = settings.folder;
  int failed_runs = 0, requests = 0, attempts = 0;
  for (int i = 0; i < count; ++i) {
    const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
    const SoakPlan plan = draw_plan(seed);
    settings.folder = folder + '/' + std::to_string(seed);
    const RunResult result = run_soak(plan, settings);
    requests += result.verdict.requests;
    attempts += result.verdict.attempts;
    std::cout << (result.verdict.passed() ? "good" : "BAD ") << " seed " << seed << ": "
              << result.verdict.summary() << ", log lines " << result.log_lines
              << "\n  plan: " << describe(plan) << std::endl;
    if (result.verdict.passed()) continue;
    failed_runs += 1;
    print_violations(result);
    std::cout << "  replay: woadtide-lab soak --seed " << seed << " --count 1; log in " << settings.folder
              << std::endl;
  }
  std::cout << count << " runs, " << requests << " requests, " << attempts << " attempts, " << failed_runs
            << " bad" << std::endl;
  return failed_runs;
}

// Runs every row of the fault table. Returns the number of rows that violated a rule.
int run_fault_table(RunSettings settings) {
  const std::string folder = settings.folder;
  int failed_runs = 0, row_number = 0;
  for (const char* faults : kFaultRows) {
    settings.folder = folder + "/row" + std::to_string(++row_number);
    const RunResult result = run_soak(make_fault_plan(faults), settings);
    std::cout << (result.verdict.passed() ? "good " : "BAD  ") << faults << ": " << result.verdict.summary()
              << ", log lines " << result.log_lines << ", workers backed off " << result.backed_off_lines
              << ", end in " << static_cast<int>(result.shutdown_ms) << " ms\n";
    print_violations(result);
    failed_runs += !result.verdict.passed();
  }
  return failed_runs;
}

}  // namespace

int run_command(int argc, char** argv) {
  RunSettings settings;
  std::uint64_t seed = 1;
  int count = 1;
  bool runs_table = false;
  options::options_description known_options("woadtide-lab soak [options]");
  known_options.add_options()("help,h", "print this help")(
      "dispatcher", options::value(&settings.dispatcher)->required(), "the program under test")(
      "shim", options::value(&settings.shim)->required(),
      "the preloaded library that makes its system calls fail")(
      "folder", options::value(&settings.folder)->required(),
      "where configuration and log files are written")("seed", options::value(&seed)->default_value(seed),
                                                       "the first seed")(
      "count", options::value(&count)->default_value(count), "number of seeds, one run each")(
      "table", options::bool_switch(&runs_table), "run the table of system-call faults instead");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, known_options), values);
  if (values.count("help")) {
    std::cout << known_options;
    return 0;
  }
  options::notify(values);
  std::signal(SIGPIPE, SIG_IGN);
  return (runs_table ? run_fault_table(settings) : run_seeds(settings, seed, count)) == 0 ? 0 : 1;
}

}  // namespace woadtide::lab::soak
