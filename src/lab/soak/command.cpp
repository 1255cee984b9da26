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

// What the table of faults plays, one after the other.
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

void print(const RunResult& result) {
  for (const std::string& line : result.verdict.breaks) std::cout << "  " << line << '\n';
  std::cout << std::flush;
}

// Returns how many runs broke a rule.
int play_seeds(RunSettings settings, std::uint64_t first, int count) {
  const std::string folder = settings.folder;
  int bad = 0, requests = 0, attempts = 0;
  for (int i = 0; i < count; ++i) {
    const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
    const SoakPlan plan = draw_plan(seed);
    settings.folder = folder + '/' + std::to_string(seed);
    const RunResult result = run(plan, settings);
    requests += result.verdict.requests;
    attempts += result.verdict.attempts;
    std::cout << (result.verdict.good() ? "good" : "BAD ") << " seed " << seed << ": "
              << result.verdict.summary() << ", log lines " << result.log_lines
              << "\n  plan: " << text_of(plan) << std::endl;
    if (result.verdict.good()) continue;
    bad += 1;
    print(result);
    std::cout << "  replay: woadtide-lab soak --seed " << seed << " --count 1; log in " << settings.folder
              << std::endl;
  }
  std::cout << count << " runs, " << requests << " requests, " << attempts << " attempts, " << bad << " bad"
            << std::endl;
  return bad;
}

int play_table(RunSettings settings) {
  const std::string folder = settings.folder;
  int bad = 0, row = 0;
  for (const char* faults : kFaultRows) {
    settings.folder = folder + "/row" + std::to_string(++row);
    const RunResult result = run(plan_of_faults(faults), settings);
    std::cout << (result.verdict.good() ? "good " : "BAD  ") << faults << ": " << result.verdict.summary()
              << ", log lines " << result.log_lines << ", workers backed off " << result.backed_off
              << ", end in " << static_cast<int>(result.end_ms) << " ms\n";
    print(result);
    bad += !result.verdict.good();
  }
  return bad;
}

}  // namespace

int run_command(int argc, char** argv) {
  RunSettings settings;
  std::uint64_t seed = 1;
  int count = 1;
  bool table = false;
  options::options_description all("woadtide-lab soak [options]");
  all.add_options()("help,h", "print this page")(
      "dispatcher", options::value(&settings.dispatcher)->required(), "the program under test")(
      "shim", options::value(&settings.shim)->required(), "the library that lets its system calls fail")(
      "folder", options::value(&settings.folder)->required(), "for configs and logs")(
      "seed", options::value(&seed)->default_value(seed), "the first seed")(
      "count", options::value(&count)->default_value(count), "how many, one run each")(
      "table", options::bool_switch(&table), "play the table of faults instead");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, all), values);
  if (values.count("help")) {
    std::cout << all;
    return 0;
  }
  options::notify(values);
  std::signal(SIGPIPE, SIG_IGN);
  return (table ? play_table(settings) : play_seeds(settings, seed, count)) == 0 ? 0 : 1;
}

}  // namespace woadtide::lab::soak
