#include "lab/hollow/hollow_command.hpp"

#include <boost/program_options.hpp>
#include <iostream>
#include <stdexcept>

#include "lab/hollow/hollow_run.hpp"

namespace woadtide::lab::hollow {

namespace options = boost::program_options;

namespace {

// Each dispatcher needs a few descriptors; these limits keep a run within the usual descriptor limit.
constexpr int kMaxDispatchers = 3'000, kMaxWorkers = 100'000;
constexpr double kMaxSeconds = 24 * 3'600;

void check(const HollowRunSettings& settings) {
  if (settings.dispatchers < 1 || settings.dispatchers > kMaxDispatchers)
    throw std::runtime_error("--dispatchers: must be from 1 to 3000");
  if (settings.workers < 1 || settings.workers > kMaxWorkers)
    throw std::runtime_error("--workers: must be from 1 to 100000");
  if (!(settings.seconds >= 1 && settings.seconds <= kMaxSeconds))
    throw std::runtime_error("--seconds: must be from 1 to 86400");
  if (!(settings.speed > 0)) throw std::runtime_error("--speed: must be greater than 0");
  if (!(settings.cut_share >= 0 && settings.cut_share < 1))
    throw std::runtime_error("--cut-share: must be at least 0 and less than 1");
}

}  // namespace

int run_command(int argc, const char* const* argv) {
  HollowRunSettings settings;
  options::options_description known_options("Options");
  const auto add = [&known_options](const char* name, auto& value, const char* description) {
    known_options.add_options()(name, options::value(&value)->default_value(value), description);
  };
  known_options.add_options()("help,h", "print this help");
  add("workers", settings.workers, "number of workers on discovery's list");
  add("dispatchers", settings.dispatchers, "number of dispatchers that watch it, all in this process");
  add("seconds", settings.seconds, "real time to run, in s");
  add("speed", settings.speed, "factor by which the day passes faster than 24 h");
  add("seed", settings.seed, "seed of all random choices");
  add("outage-at", settings.outage_at_s,
      "start of discovery's outage, in s of real time after the day starts");
  add("outage-s", settings.outage_s, "length of the outage, in s; 0: no outage");
  add("cut-share", settings.cut_share, "share of discovery's lines that are cut off in the middle");
  add("call-ms", settings.work_per_call_ms, "discovery's processing time for a call, in ms");
  add("line-ms", settings.work_per_line_ms, "its processing time for each entry of an answer, in ms");
  add("patience-ms", settings.patience_ms, "time after which it refuses a waiting call, in ms");
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv).options(known_options).positional({}).run(),
                 values);
  options::notify(values);
  if (values.count("help")) {
    std::cout << "Usage: woadtide-lab hollow [options]\n\nMany dispatchers without traffic watch one service "
                 "discovery over a time-compressed day. Prints one JSON object.\n\n"
              << known_options;
    return 0;
  }
  check(settings);
  const HollowRunResult result = run_hollow(settings);
  std::cout << result.report << '\n';
  return result.passed() ? 0 : 1;
}

}  // namespace woadtide::lab::hollow
