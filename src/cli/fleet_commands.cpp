#include "cli/fleet_commands.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "cli/command_line.hpp"
#include "config/operator_file.hpp"
#include "control/controller.hpp"
#include "core/config.hpp"
#include "core/log.hpp"
#include "supervise/supervisor.hpp"

namespace woadtide::cli {

namespace {

namespace options = boost::program_options;
using nlohmann::json;

constexpr int kWentBack = 1, kOnItsWay = 3;
constexpr double kAskMs = 1'000;

struct OperatorOption {
  std::string path;
  OperatorOption() {
    if (const char* told = std::getenv("WOADTIDE_OPERATOR")) path = told;
  }
  void add(options::options_description& to) {
    to.add_options()("operator,o", options::value(&path), "the operator's file, TOML; $WOADTIDE_OPERATOR");
  }
  config::OperatorFile load() const {
    if (path.empty())
      throw std::runtime_error("no operator's file: give --operator or set WOADTIDE_OPERATOR");
    return config::load_operator_file(path);
  }
};

void print_status(const json& said) {
  std::cout << "change   " << said.value("change", "") << "\nphase    " << said.value("phase", "");
  if (said.contains("stage"))
    std::cout << ", stage " << said["stage"] << " of " << said["stages"].size() << ", " << said["on_new"]
              << " of " << said["allowed"] << " on the new version";
  std::cout << (said.value("runs", false) ? "" : "  (no controller runs)") << '\n';
  for (const char* key : {"paused", "reason"})
    if (!said.value(key, "").empty()) std::cout << key << "   " << said.value(key, "") << '\n';
  if (said.contains("verdict"))
    std::cout << "verdict  " << (said["verdict"].value("worse", "").empty() ? "" : "worse: ")
              << said["verdict"].value("worse", "") << " (" << said["verdict"].value("of", "")
              << " may be more by " << said["verdict"]["widest"] << ", margin " << said["verdict"]["margin"]
              << ")\n";
  for (const auto& [name, one] : said["members"].items())
    std::cout << name << '\t' << one.value("zone", "") << '\t' << one.value("place", "") << '\t'
              << (one.value("reached", false) ? one.value("version", "") : "not reached")
              << (one.value("serves", false) ? "" : "\tnobody serves")
              << (one.value("evacuated", false) ? "\tevacuated" : "")
              << (one.value("order", "").empty() ? "" : "\tordered: " + one.value("order", "")) << '\n';
}

int lead(control::Controller& controller, bool until_paused, bool as_json) {
  const rollout::Phase phase = controller.run(
      [&](const std::string& line) {
        if (!as_json) std::cout << line << std::endl;
      },
      until_paused);
  const rollout::Rollout& rollout = controller.rollout();
  const int code = phase == rollout::Phase::complete ? 0
                   : phase == rollout::Phase::back   ? kWentBack
                                                     : kOnItsWay;
  if (as_json)
    std::cout << json({{"change", rollout.plan().change},
                       {"outcome", code == 0           ? "complete"
                                   : code == kWentBack ? "back"
                                                       : "on its way"},
                       {"paused", rollout.paused()},
                       {"reason", rollout.reason()}})
                     .dump()
              << std::endl;
  return code;
}

int print_plan(const config::RolloutPart& part, bool as_json) {
  const rollout::Plan plan = control::plan_of(part, "plan");
  if (const std::string wrong = rollout::wrong_with(plan); !wrong.empty())
    throw std::runtime_error("rollout: " + wrong);
  json out = {{"stages", plan.stages}, {"bake_ms", plan.bake_ms}, {"members", json::array()}};
  bool all = true;
  for (const control::Standing& one : control::ask_all(part, kAskMs)) {
    all = all && one.reached && one.serves;
    out["members"].push_back({{"name", one.name},
                              {"zone", one.zone},
                              {"reached", one.reached},
                              {"serves", one.serves},
                              {"version", one.version},
                              {"controller", one.controller}});
  }
  out["ready"] = all;
  if (as_json) {
    std::cout << out.dump(1) << '\n';
  } else {
    std::cout << "stages of";
    for (const int stage : plan.stages) std::cout << ' ' << stage;
    std::cout << " dispatchers, each looked at for " << plan.bake_ms / 1'000 << " s or more\n";
    for (const auto& one : out["members"])
      std::cout << one.value("name", "") << '\t' << one.value("zone", "") << '\t'
                << (one.value("reached", false) ? one.value("version", "") : "not reached") << '\n';
    if (!all) std::cout << "not all serve now: the change would end at its checks, or wait\n";
  }
  return all ? 0 : kOnItsWay;
}

}  // namespace

int supervise_command(const std::vector<std::string>& words) {
  Arguments arguments;
  OperatorOption file;
  file.add(arguments.options);
  if (!arguments.read(words, "supervise [options]",
                      "Runs one dispatcher, and changes its program and settings in service.\n"
                      "SIGTERM ends both in order, SIGUSR1 only the supervisor.",
                      0))
    return 0;
  const config::SupervisePart part = file.load().supervise;
  for (const auto& [key, value] :
       {std::pair{"folder", &part.folder}, {"config", &part.config}, {"control", &part.control}})
    if (value->empty()) throw std::runtime_error(file.path + ": supervise." + key + ": wanted here");
  if (part.management.size() != 2)
    throw std::runtime_error(file.path + ": supervise.management: two addresses wanted");
  sigset_t signals;
  sigemptyset(&signals);
  for (const int one : {SIGTERM, SIGINT, SIGCHLD, SIGUSR1}) sigaddset(&signals, one);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const core::Config config = core::load_config(part.config);
  supervise::Setup setup;
  setup.name = config.name;
  setup.zone = part.zone;
  setup.listen = config.listen;
  setup.config = std::filesystem::absolute(part.config).string();
  setup.control = part.control;
  setup.management = part.management;
  setup.folder = std::filesystem::absolute(part.folder).string();
  setup.program =
      part.program.empty() ? std::filesystem::read_symlink("/proc/self/exe").string() : part.program;
  setup.settings = part.settings;
  setup.limits = {part.ready_ms,   part.end_ms,         part.good_ms, static_cast<int>(part.crashes),
                  part.backoff_ms, part.most_backoff_ms};
  return supervise::run(setup);
}

int rollout_command(const std::vector<std::string>& words) {
  Arguments arguments;
  OperatorOption file;
  control::Change change;
  std::string why;
  bool as_json = false, until_paused = false;
  file.add(arguments.options);
  arguments.options.add_options()("program", options::value(&change.program),
                                  "start: the new program's file")(
      "settings", options::value(&change.settings), "start: the new operator's file for the dispatchers")(
      "take-over", options::bool_switch(&change.take_over), "start: also from another controller's hands")(
      "why", options::value(&why), "pause: and why")("until-paused", options::bool_switch(&until_paused),
                                                     "start, resume: end where the change pauses")(
      "json", options::bool_switch(&as_json), "JSON instead of text");
  if (!arguments.read(words, "rollout plan | start | status | pause | resume | abort | history [options]",
                      "Changes the program or the settings of all dispatchers, in stages.\n"
                      "start and resume stay, and lead the change, until it is over.",
                      1))
    return 0;
  const std::string what = arguments.words.empty() ? "" : arguments.words.front();
  const config::RolloutPart part = file.load().rollout;
  if (part.folder.empty()) throw std::runtime_error(file.path + ": rollout.folder: wanted here");
  if (what == "plan") return print_plan(part, as_json);
  if (what == "history") {
    std::cout << control::history_text(part);
    return 0;
  }
  if (what == "status") {
    const std::string said = control::status_text(part);
    if (as_json)
      std::cout << said << '\n';
    else
      print_status(json::parse(said));
    return 0;
  }
  if (what == "start") {
    if (change.program.empty() && change.settings.empty())
      throw std::runtime_error("rollout start wants --program FILE, --settings FILE, or both");
    control::Controller controller(part);
    controller.begin(change);
    return lead(controller, until_paused, as_json);
  }
  if (what != "pause" && what != "resume" && what != "abort")
    throw std::runtime_error("rollout: plan, start, status, pause, resume, abort or history wanted");
  if (const auto said = control::tell(part, what == "pause" ? "pause " + why : what)) {
    std::cout << *said << '\n';
    return *said == "done" ? 0 : kOnItsWay;
  }
  if (what == "pause") throw std::runtime_error("no controller runs: nothing moves");
  control::Controller controller(part);
  if (!controller.has_change()) throw std::runtime_error("there is no change that is not over");
  if (what == "resume")
    controller.resume();
  else
    controller.abort();
  return lead(controller, until_paused, as_json);
}

}  // namespace woadtide::cli
