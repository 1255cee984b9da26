#include "lab/cluster/fleet.hpp"

#include <poll.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "net/line_call.hpp"

namespace woadtide::lab::cluster {

namespace fs = std::filesystem;
using nlohmann::json;

namespace {

constexpr double kStatusTimeoutMs = 400;
constexpr int kMaxStatusTries = 10;
constexpr int kExitRolledBack = 1, kExitInProgress = 3;

// A JSON string is a valid TOML string.
std::string toml_string(const std::string& text) { return json(text).dump(); }

}  // namespace

Fleet::Fleet(const Plan& plan, std::string folder, const Programs& programs, Relays& relays,
             const std::vector<int>& ports)
    : plan_(plan), folder_(std::move(folder)), program_(programs.supervisor_program) {
  const ChangeScenario& change = plan.scenario.change;
  const auto local_address = [](int port) { return toml_string("127.0.0.1:" + std::to_string(port)); };
  std::string members;
  std::size_t next_port = 0;
  for (const auto& [dispatcher, address] : plan.client_addresses) {
    auto& own_ports = ports_[dispatcher];
    own_ports.assign(ports.begin() + static_cast<std::ptrdiff_t>(next_port),
                     ports.begin() + static_cast<std::ptrdiff_t>(next_port + 3));
    next_port += 3;
    std::ofstream(file("supervise-" + dispatcher + ".toml"))
        << "[supervise]\nfolder = " << toml_string(file("sup-" + dispatcher))
        << "\nconfig = " << toml_string(file(dispatcher + ".json"))
        << "\ncontrol = " << local_address(own_ports[0]) << "\nmanagement = [" << local_address(own_ports[1])
        << ", " << local_address(own_ports[2]) << "]\nzone = " << toml_string(plan.zones.at(dispatcher))
        << "\nprogram = " << toml_string(programs.old_program)
        << "\nready_ms = 3000\nend_ms = 5000\ngood_ms = 2000\nbackoff_ms = 50\nmost_backoff_ms = 800\n";
    const std::string relayed_address =
        relays.add_route("control", dispatcher, "127.0.0.1:" + std::to_string(own_ports[0]));
    members += "  {name = " + toml_string(dispatcher) + ", zone = " + toml_string(plan.zones.at(dispatcher)) +
               ", control = " + toml_string(relayed_address) + "},\n";
  }
  std::ofstream controller_config(file("control.toml"));
  controller_config << "[rollout]\nfolder = " << toml_string(file("control")) << "\nmembers = [\n"
                    << members << "]\nstages = [";
  for (const int stage : change.stages) controller_config << stage << ", ";
  controller_config << "]\nlook_ms = " << static_cast<int>(change.look_ms)
                    << "\nbake_ms = " << static_cast<int>(change.bake_ms)
                    << "\npatience_ms = " << static_cast<int>(change.patience_ms)
                    << "\nstep_ms = " << static_cast<int>(change.step_ms)
                    << "\nturn_ms = " << static_cast<int>(change.turn_ms) << "\nmargin = " << change.margin
                    << "\nfalse_stop = " << change.false_stop << "\nfalse_go = " << change.false_go << "\n";
  // The version of a program is a hash of its file, so the new version needs different contents.
  std::ifstream source(programs.new_program.empty() ? program_ : programs.new_program, std::ios::binary);
  std::ofstream target(file("new-version"), std::ios::binary);
  target << std::string{std::istreambuf_iterator<char>(source), {}};
  if (programs.new_program.empty()) target << "\nflaw:" << change.flaw << "\n";
  target.close();
  fs::permissions(file("new-version"), fs::perms::owner_all);
}

ChildProcess Fleet::start_supervisor(const std::string& dispatcher) const {
  return ChildProcess({program_, "supervise", "--operator", file("supervise-" + dispatcher + ".toml")}, {},
                      file(dispatcher + ".log"));
}

std::vector<pid_t> Fleet::process_ids(const std::string& dispatcher) const {
  std::vector<pid_t> pids;
  const auto reply = net::call_line(control_address(dispatcher), "status", kStatusTimeoutMs);
  const json status =
      reply && reply->starts_with("done ") ? json::parse(reply->substr(5), nullptr, false) : json();
  if (!status.is_object()) return pids;
  if (status.at("pid") != 0) pids.push_back(status.at("pid"));
  for (const json& child : status.at("children"))
    if (child.at("pid") != status.at("pid")) pids.push_back(child.at("pid"));
  return pids;
}

void Fleet::start_controller(const std::string& command) {
  std::vector<std::string> arguments{program_,        "rollout", command, "--operator", file("control.toml"),
                                     "--until-paused"};
  if (command == "start") arguments.insert(arguments.end(), {"--program", file("new-version")});
  controller_ = ChildProcess(arguments, {}, file("control.log"));
}

// Restarts a controller that has exited or was killed. After the first pause the simulated operator resumes
// the change, after any further pause it aborts it.
void Fleet::poll_controller(double now_ms) {
  const ChangeScenario& change = plan_.scenario.change;
  if (!change_started_ && now_ms >= change.at_s * 1'000 && active_outages_ == 0) {
    change_started_ = true;
    start_controller("start");
  }
  if (change.abort_s > 0 && !abort_requested_ && change_started_ && now_ms >= change.abort_s * 1'000) {
    abort_requested_ = true;
    if (controller_.is_running())
      abort_command_ = ChildProcess({program_, "rollout", "abort", "--operator", file("control.toml")}, {},
                                    file("control.log"));
    else
      next_command_ = "abort";
  }
  abort_command_.poll_exit();
  if (!change_started_ || change_finished_) return;
  if (const auto status = controller_.poll_exit()) {
    const int exit_code = WIFEXITED(*status) ? WEXITSTATUS(*status) : -1;
    if (exit_code == 0 || exit_code == kExitRolledBack) {
      change_finished_ = true;
      return;
    }
    if (exit_code == kExitInProgress)
      next_command_ = ++pause_count_ == 1 ? "resume" : "abort";
    else
      crashes_.push_back("controller: exited unexpectedly, status " + std::to_string(*status) +
                         "; see control.log");
  }
  if (controller_.is_running() || active_outages_ > 0) return;
  if (next_command_.empty()) next_command_ = "resume";
  // A controller that was killed before it stored the change gets the start command again.
  const bool state_exists = fs::exists(file("control") + "/state");
  start_controller(state_exists ? std::exchange(next_command_, {}) : "start");
}

void Fleet::inject_fault(FaultKind kind, bool begins) {
  if (kind == FaultKind::controller_stop) {
    if (controller_.is_running()) ::kill(controller_.pid(), begins ? SIGSTOP : SIGCONT);
    return;
  }
  if (!begins) {
    active_outages_ -= 1;
    return;
  }
  active_outages_ += 1;
  controller_.kill();
  // As after a power failure with a disk that acknowledged writes without storing them.
  std::error_code ignored_error;
  if (kind == FaultKind::controller_old && fs::exists(file("control") + "/state.before"))
    fs::rename(file("control") + "/state.before", file("control") + "/state", ignored_error);
}

ChangeRecords Fleet::finish() {
  controller_.kill();
  abort_command_.kill();
  std::map<std::string, std::string> histories;
  for (const auto& [dispatcher, ports] : ports_)
    histories[dispatcher] = file("sup-" + dispatcher) + "/history.jsonl";
  ChangeRecords records = read_change_records(histories, file("control") + "/history.jsonl");
  for (const auto& [dispatcher, ports] : ports_) {
    // A process that has just crashed may still be restarting.
    std::optional<std::string> reply;
    for (int attempt = 0; attempt < kMaxStatusTries; ++attempt) {
      reply = net::call_line(control_address(dispatcher), "status", kStatusTimeoutMs);
      if (reply && reply->find("\"serves\":true") != std::string::npos) break;
      ::poll(nullptr, 0, static_cast<int>(kStatusTimeoutMs));
    }
    const json status =
        reply && reply->starts_with("done ") ? json::parse(reply->substr(5), nullptr, false) : json();
    records.final_versions[dispatcher] = status.is_object() ? status.value("version", "") : "";
  }
  return records;
}

}  // namespace woadtide::lab::cluster
