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

constexpr int kExitRolledBack = 1, kExitUnfinished = 3;
constexpr double kStatusTimeoutMs = 1'000;

struct OperatorOption {
  std::string path;
  OperatorOption() {
    if (const char* value = std::getenv("WOADTIDE_OPERATOR")) path = value;
  }
  void add(options::options_description& description) {
    description.add_options()("operator,o", options::value(&path),
                              "the operator's file, TOML; $WOADTIDE_OPERATOR");
  }
  config::OperatorFile load() const {
    if (path.empty())
      throw std::runtime_error("no operator's file: give --operator or set WOADTIDE_OPERATOR");
    return config::load_operator_file(path);
  }
};

void print_status(const json& status) {
  std::cout << "change   " << status.value("change", "") << "\nphase    " << status.value("phase", "");
  if (status.contains("stage"))
    std::cout << ", stage " << status["stage"] << " of " << status["stages"].size() << ", "
              << status["on_new"] << " of " << status["allowed"] << " on the new version";
  std::cout << (status.value("runs", false) ? "" : "  (no controller runs)") << '\n';
  for (const char* key : {"paused", "reason"})
    if (!status.value(key, "").empty()) std::cout << key << "   " << status.value(key, "") << '\n';
  if (status.contains("verdict"))
    std::cout << "verdict  " << (status["verdict"].value("worse", "").empty() ? "" : "worse: ")
              << status["verdict"].value("worse", "") << " (" << status["verdict"].value("of", "")
              << " may be more by " << status["verdict"]["widest"] << ", margin "
              << status["verdict"]["margin"] << ")\n";
  for (const auto& [name, member] : status["members"].items())
    std::cout << name << '\t' << member.value("zone", "") << '\t' << member.value("place", "") << '\t'
              << (member.value("reached", false) ? member.value("version", "") : "not reached")
              << (member.value("serves", false) ? "" : "\tnobody serves")
              << (member.value("evacuated", false) ? "\tevacuated" : "")
              << (member.value("order", "").empty() ? "" : "\tordered: " + member.value("order", "")) << '\n';
}

int run_change(control::Controller& controller, bool until_paused, bool as_json) {
  const rollout::Phase phase = controller.run(
      [&](const std::string& line) {
        if (!as_json) std::cout << line << std::endl;
      },
      until_paused);
  const rollout::Rollout& rollout = controller.rollout();
  const int code = phase == rollout::Phase::complete      ? 0
                   : phase == rollout::Phase::rolled_back ? kExitRolledBack
                                                          : kExitUnfinished;
  if (as_json)
    std::cout << json({{"change", rollout.plan().change},
                       {"outcome", code == 0                 ? "complete"
                                   : code == kExitRolledBack ? "back"
                                                             : "on its way"},
                       {"paused", rollout.pause_reason()},
                       {"reason", rollout.rollback_reason()}})
                     .dump()
              << std::endl;
  return code;
}

int print_plan(const config::RolloutSettings& settings, bool as_json) {
  const rollout::Plan plan = control::make_plan(settings, "plan");
  if (const std::string error = rollout::plan_error(plan); !error.empty())
    throw std::runtime_error("rollout: " + error);
  json plan_json = {{"stages", plan.stages}, {"bake_ms", plan.bake_ms}, {"members", json::array()}};
  bool all_serving = true;
  for (const control::SupervisorStatus& status : control::query_supervisors(settings, kStatusTimeoutMs)) {
    all_serving = all_serving && status.reached && status.serving;
    plan_json["members"].push_back({{"name", status.name},
                                    {"zone", status.zone},
                                    {"reached", status.reached},
                                    {"serves", status.serving},
                                    {"version", status.version},
                                    {"controller", status.controller}});
  }
  plan_json["ready"] = all_serving;
  if (as_json) {
    std::cout << plan_json.dump(1) << '\n';
  } else {
    std::cout << "stages of";
    for (const int stage : plan.stages) std::cout << ' ' << stage;
    std::cout << " dispatchers, each observed for " << plan.bake_ms / 1'000 << " s or more\n";
    for (const auto& member : plan_json["members"])
      std::cout << member.value("name", "") << '\t' << member.value("zone", "") << '\t'
                << (member.value("reached", false) ? member.value("version", "") : "not reached") << '\n';
    if (!all_serving) std::cout << "not all of them serve now: the change would fail its checks, or wait\n";
  }
  return all_serving ? 0 : kExitUnfinished;
}

}  // namespace

int supervise_command(const std::vector<std::string>& words) {
  ArgumentParser arguments;
  OperatorOption file;
  file.add(arguments.options);
  if (!arguments.parse(words, "supervise [options]",
                       "Runs one dispatcher, and changes its program and settings in service.\n"
                       "SIGTERM shuts both down, SIGUSR1 only the supervisor.",
                       0))
    return 0;
  const config::SuperviseSettings settings = file.load().supervise;
  for (const auto& [key, value] :
       {std::pair{"folder", &settings.folder}, {"config", &settings.config}, {"control", &settings.control}})
    if (value->empty())
      throw std::runtime_error(file.path + ": supervise." + key + ": required for this command");
  if (settings.management.size() != 2)
    throw std::runtime_error(file.path + ": supervise.management: must have two addresses");
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGCHLD, SIGUSR1}) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const core::Config config = core::load_config(settings.config);
  supervise::SupervisorOptions supervisor_options;
  supervisor_options.name = config.name;
  supervisor_options.zone = settings.zone;
  supervisor_options.listen = config.listen;
  supervisor_options.config = std::filesystem::absolute(settings.config).string();
  supervisor_options.control = settings.control;
  supervisor_options.management_addresses = settings.management;
  supervisor_options.folder = std::filesystem::absolute(settings.folder).string();
  supervisor_options.program =
      settings.program.empty() ? std::filesystem::read_symlink("/proc/self/exe").string() : settings.program;
  supervisor_options.settings = settings.settings;
  supervisor_options.limits = {settings.ready_ms,   settings.end_ms,
                               settings.good_ms,    static_cast<int>(settings.crashes),
                               settings.backoff_ms, settings.most_backoff_ms};
  return supervise::run(supervisor_options);
}

int rollout_command(const std::vector<std::string>& words) {
  ArgumentParser arguments;
  OperatorOption file;
  control::ChangeRequest request;
  std::string pause_reason;
  bool as_json = false, until_paused = false;
  file.add(arguments.options);
  arguments.options.add_options()("program", options::value(&request.program),
                                  "start: the new program's file")(
      "settings", options::value(&request.settings), "start: the new operator's file for the dispatchers")(
      "take-over", options::bool_switch(&request.take_over), "start: even if another controller leads")(
      "why", options::value(&pause_reason), "pause: the reason")(
      "until-paused", options::bool_switch(&until_paused), "start, resume: exit when the change pauses")(
      "json", options::bool_switch(&as_json), "JSON instead of text");
  if (!arguments.parse(words, "rollout plan | start | status | pause | resume | abort | history [options]",
                       "Changes the program or the settings of all dispatchers, in stages.\n"
                       "start and resume keep running and lead the change until it has ended.",
                       1))
    return 0;
  const std::string command = arguments.positional.empty() ? "" : arguments.positional.front();
  const config::RolloutSettings settings = file.load().rollout;
  if (settings.folder.empty())
    throw std::runtime_error(file.path + ": rollout.folder: required for this command");
  if (command == "plan") return print_plan(settings, as_json);
  if (command == "history") {
    std::cout << control::read_history(settings);
    return 0;
  }
  if (command == "status") {
    const std::string status = control::status_json(settings);
    if (as_json)
      std::cout << status << '\n';
    else
      print_status(json::parse(status));
    return 0;
  }
  if (command == "start") {
    if (request.program.empty() && request.settings.empty())
      throw std::runtime_error("rollout start needs --program FILE, --settings FILE, or both");
    control::Controller controller(settings);
    controller.begin(request);
    return run_change(controller, until_paused, as_json);
  }
  if (command != "pause" && command != "resume" && command != "abort")
    throw std::runtime_error("rollout: plan, start, status, pause, resume, abort or history expected");
  if (const auto answer =
          control::send_command(settings, command == "pause" ? "pause " + pause_reason : command)) {
    std::cout << *answer << '\n';
    return *answer == "done" ? 0 : kExitUnfinished;
  }
  if (command == "pause") throw std::runtime_error("no controller runs, so there is nothing to pause");
  control::Controller controller(settings);
  if (!controller.has_change()) throw std::runtime_error("there is no unfinished change");
  if (command == "resume")
    controller.resume();
  else
    controller.abort();
  return run_change(controller, until_paused, as_json);
}

}  // namespace woadtide::cli
