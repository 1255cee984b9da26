#include "supervise/supervisor.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/signalfd.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "core/clock.hpp"
#include "core/config.hpp"
#include "core/figures.hpp"
#include "core/kin.hpp"
#include "core/log.hpp"
#include "net/line_call.hpp"
#include "net/socket.hpp"
#include "net/tether.hpp"
#include "park/fd.hpp"
#include "state/state.hpp"
#include "supervise/versions.hpp"

namespace woadtide::supervise {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kPassedSocketFd = 3;
constexpr int kPollIntervalMs = 20;
constexpr double kStartingProbeMs = 100, kServingProbeMs = 500;  // for a starting and for a serving child
constexpr double kChildCallTimeoutMs = 150;                      // for a call to a child over loopback
constexpr double kControlSocketTimeoutMs = 300;
constexpr double kExaminationTimeoutMs = 5'000;  // for each of the two steps of an examination
constexpr double kConnectionTimeoutMs = 2'000;
constexpr std::size_t kMaxConnections = 16, kMaxRequestBytes = 16 * 1024;

// A process, identified by its pid and its start time, because the pid alone may have been reused.
struct ProcessId {
  pid_t pid = 0;
  unsigned long long start_ticks = 0;
};

// Returns the fields of /proc/PID/stat after the command name, starting with the state.
std::vector<std::string> proc_stat_fields(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return {};
  std::istringstream rest(text.substr(name_end + 1));
  std::vector<std::string> fields;
  for (std::string field; rest >> field;) fields.push_back(field);
  return fields;
}
constexpr std::size_t kStateField = 0, kUserTicks = 11, kSystemTicks = 12, kStartField = 19;

unsigned long long start_ticks_of(pid_t pid) {
  const auto fields = proc_stat_fields(pid);
  if (fields.size() <= kStartField || fields[kStateField] == "Z") return 0;
  return std::strtoull(fields[kStartField].c_str(), nullptr, 10);
}
bool is_running(const ProcessId& process) {
  return process.pid > 0 && start_ticks_of(process.pid) == process.start_ticks;
}

double cpu_ms_of(pid_t pid) {
  const auto fields = proc_stat_fields(pid);
  if (fields.size() <= kSystemTicks) return 0;
  const double ticks = std::atof(fields[kUserTicks].c_str()) + std::atof(fields[kSystemTicks].c_str());
  return ticks * 1'000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}
double resident_mb_of(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0, resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string last_line(const std::string& path) {
  std::ifstream file(path);
  std::string last;
  for (std::string line; std::getline(file, line);)
    if (!line.empty()) last = line;
  return last;
}

// The process in a slot.
struct ChildProcess {
  ProcessId id;
  bool is_child = false;             // started by this supervisor, so its end is reported by waitpid
  bool operator_state_sent = false;  // the evacuation and the excluded workers were sent to it
  double probed_at = 0;
};

class Supervisor {
 public:
  explicit Supervisor(const SupervisorOptions& options)
      : options_(options),
        file_(options.folder + "/state"),
        versions_(options.folder + "/versions"),
        control_(open_folder()) {
    find_children();
    if (core_.last_order_number() == 0 && core_.active_slot() < 0) save_or_throw();
  }

  int run() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGCHLD, SIGUSR1}) sigaddset(&signals, signal);
    const park::Fd signal_fd(::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!signal_fd) throw std::system_error(errno, std::generic_category(), "signals");
    for (;;) {
      signalfd_siginfo info{};
      while (::read(signal_fd.get(), &info, sizeof info) == sizeof info) {
        if (info.ssi_signo == SIGUSR1) {
          core::log_line(
              "supervise: ended by SIGUSR1; the dispatcher continues, and the next supervisor will find it");
          return 0;
        }
        if (info.ssi_signo == SIGTERM || info.ssi_signo == SIGINT) {
          append_history({{"what", "end"}});
          // Connections are refused from here on, once the child has stopped listening.
          listener_ = net::Socket();
          apply_event([&] { return core_.begin_shutdown(clock_.now()); });
        }
      }
      poll_children();
      if (core_.shutdown_complete()) return 0;
      wait_for_events(signal_fd.get());
    }
  }

 private:
  struct Connection {
    net::Socket socket;
    std::string input, output;
    double started_at = 0;  // when it was accepted, or when its answer was ready
    bool answered = false, closed = false;
  };
  struct Examination {
    std::uint64_t number = 0;
    Version version;
    pid_t pid = 0;
    bool checking_config = false;  // the second step: check-config
    double deadline = 0;
  };

  std::string file(const std::string& name) const { return options_.folder + '/' + name; }
  std::string control_socket_path(int slot) const { return file("child-" + std::to_string(slot) + ".sock"); }
  std::string pid_file(int slot) const { return file("child-" + std::to_string(slot) + ".pid"); }
  ChildProcess& child_process(int slot) { return child_processes_.at(static_cast<std::size_t>(slot)); }

  // Start -------------------------------------------------------------------------------------------------

  // Locks the folder, restores the state and returns the socket at the control address.
  net::Socket open_folder() {
    for (const char* name : {"", "/tmp", "/versions"}) fs::create_directories(options_.folder + name);
    lock_ = park::Fd(::open(file("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock_ || ::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
      throw std::runtime_error(options_.folder + ": another supervisor runs in this folder");
    const core::Config config = core::load_config(options_.config);
    if (!config.management.empty())
      throw std::runtime_error(
          options_.config +
          ": must not set a management address; supervise.management sets one for each child");
    history_ =
        park::Fd(::open(file("history.jsonl").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    const state::ReadResult read = file_.read();
    if (!read.warning.empty()) core::log_line("supervise: " + read.warning);
    if (read.text) {
      core_ = SupervisorCore::parse(*read.text, options_.limits);
    } else {
      Version first = versions_.copy(options_.program, options_.settings);
      first.protocol_version = core::kSiblingProtocolVersion;
      core_ = SupervisorCore(first, options_.limits);
    }
    return net::Socket::listen_at(net::Address(options_.control));
  }

  void save_or_throw() {
    file_.write(core_.serialize());
    stored_state_ = core_.serialize();
  }

  // Finds the children of a previous supervisor. The active one passes the listening socket back; without any
  // child it is opened anew.
  void find_children() {
    bool found_child = false;
    for (int slot = 0; slot < SupervisorCore::kSlots; ++slot) {
      ProcessId process;
      std::string version_id;
      std::ifstream(pid_file(slot)) >> process.pid >> process.start_ticks >> version_id;
      if (!is_running(process)) continue;
      found_child = true;
      child_process(slot) = {process, false, false, 0};
      Version version = core_.desired();
      for (const auto& known : {std::optional(core_.last_good()), core_.candidate(), core_.previous()})
        if (known && known->id == version_id) version = *known;
      core_.adopt(clock_.now(), slot, version);
      net::ControlSocketConnection connection =
          net::connect_control_socket(control_socket_path(slot), kControlSocketTimeoutMs);
      if (connection.pid == process.pid && connection.listener) listener_ = std::move(connection.listener);
      core::log_line("supervise: found process " + std::to_string(process.pid) + " of version " + version_id +
                     (listener_ ? "" : ", which cannot give the listening socket back"));
      append_history({{"what", "found"}, {"slot", slot}, {"pid", process.pid}, {"version", version_id}});
    }
    if (!found_child) listen();
    core_.set_has_socket(static_cast<bool>(listener_));
  }

  void listen() {
    listener_ = net::Socket::listen_at(net::Address(options_.listen));
    core_.set_has_socket(true);
  }

  // Children ----------------------------------------------------------------------------------------------

  // The child waits until its pid file is written, so that a supervisor that dies in between does not leave
  // an unknown child.
  void start(int slot, const Version& version) {
    std::array<int, 2> gate{};
    if (::pipe2(gate.data(), O_CLOEXEC) != 0) return handle_start_failure(slot, errno);
    const park::Fd gate_reader(gate[0]);
    park::Fd gate_writer(gate[1]);
    std::vector<std::string> arguments{version.program, "serve", "--config", options_.config};
    if (!version.settings.empty()) arguments.insert(arguments.end(), {"--operator", version.settings});
    const std::map<std::string, std::string> environment{
        {"TMPDIR", file("tmp")},
        {"ROUTER_PASSED_SOCKET", std::to_string(kPassedSocketFd)},
        {"ROUTER_MANAGEMENT", options_.management_addresses.at(static_cast<std::size_t>(slot))},
        {"WOADTIDE_TETHER", control_socket_path(slot)},
        {"WOADTIDE_OPERATOR", ""}};
    const pid_t pid = spawn(arguments, environment, listener_.fd(), -1, gate_reader.get(), gate_writer.get());
    if (pid < 0) return handle_start_failure(slot, errno);
    child_process(slot) = {{pid, start_ticks_of(pid)}, true, false, 0};
    std::ofstream(pid_file(slot)) << pid << ' ' << child_process(slot).id.start_ticks << ' ' << version.id
                                  << '\n';
    append_history({{"what", "start"}, {"slot", slot}, {"pid", pid}, {"version", version.id}});
    core::log_line("supervise: process " + std::to_string(pid) + " starts, version " + version.id);
    if (::write(gate_writer.get(), "g", 1) != 1)
      core::log_line("supervise: a child ended before its program was started");
  }
  void handle_start_failure(int slot, int error) {
    core::log_line("supervise: cannot start a child: " + std::generic_category().message(error));
    child_process(slot) = {};
    failed_start_slot_ = slot;
  }

  // This process has a single thread, so more than an exec may follow the fork. `passed_socket` becomes
  // descriptor kPassedSocketFd, `output` standard output and error; the child waits for a byte on `gate`
  // before the exec.
  static pid_t spawn(const std::vector<std::string>& arguments,
                     const std::map<std::string, std::string>& environment, int passed_socket, int output,
                     int gate, int gate_writer) {
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    if (gate_writer >= 0) ::close(gate_writer);
    char byte = 0;
    if (gate >= 0 && ::read(gate, &byte, 1) != 1) ::_exit(1);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (output >= 0) ::dup2(output, STDOUT_FILENO);
    if (output >= 0) ::dup2(output, STDERR_FILENO);
    if (passed_socket == kPassedSocketFd) ::fcntl(passed_socket, F_SETFD, 0);
    if (passed_socket >= 0 && passed_socket != kPassedSocketFd) ::dup2(passed_socket, kPassedSocketFd);
    for (const auto& [name, value] : environment)
      value.empty() ? ::unsetenv(name.c_str()) : ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> argv;
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }

  void execute(const Effects& effects) {
    for (const Effect& effect : effects) {
      const pid_t pid = child_process(effect.slot).id.pid;
      switch (effect.kind) {
        case Effect::Kind::start:
          start(effect.slot, effect.version);
          break;
        case Effect::Kind::term:
          if (is_running(child_process(effect.slot).id)) ::kill(pid, SIGTERM);
          break;
        case Effect::Kind::kill:
          if (is_running(child_process(effect.slot).id)) ::kill(pid, SIGKILL);
          break;
        case Effect::Kind::examine:
          examine(effect);
          break;
      }
    }
  }

  // Applies an event and executes its effects. Except for orders, a state that cannot be written must not
  // stop the supervision.
  void apply_event(const std::function<Effects()>& event) {
    Effects effects = event();
    try {
      if (core_.serialize() != stored_state_) save_or_throw();
      save_failed_ = false;
    } catch (const std::exception& error) {
      if (!std::exchange(save_failed_, true)) core::log_line(std::string("supervise: ") + error.what());
    }
    execute(effects);
    if (failed_start_slot_ >= 0) {
      const int slot = std::exchange(failed_start_slot_, -1);
      apply_event([&] { return core_.on_exit(clock_.now(), slot); });
    }
  }

  // Handles children that have ended, probes the others, and advances the state machine.
  void poll_children() {
    for (int status = 0; const pid_t pid = ::waitpid(-1, &status, WNOHANG);) {
      if (pid < 0) break;
      if (examination_ && pid == examination_->pid) {
        finish_examination_step(status);
        continue;
      }
      for (int slot = 0; slot < SupervisorCore::kSlots; ++slot)
        if (child_process(slot).id.pid == pid) handle_exit(slot, status);
    }
    for (int slot = 0; slot < SupervisorCore::kSlots; ++slot) {
      if (child_process(slot).id.pid > 0 && !child_process(slot).is_child &&
          !is_running(child_process(slot).id))
        handle_exit(slot, -1);
      if (child_process(slot).id.pid > 0) probe(slot);
    }
    if (!listener_ && !core_.shutdown_complete() && child_process(0).id.pid == 0 &&
        child_process(1).id.pid == 0)
      try_listen();
    if (examination_ && clock_.now() >= examination_->deadline) ::kill(examination_->pid, SIGKILL);
    apply_event([&] { return core_.tick(clock_.now()); });
  }
  void try_listen() {
    try {
      listen();
    } catch (const std::system_error&) {  // tried again in the next cycle
    }
  }

  void handle_exit(int slot, int status) {
    const pid_t pid = std::exchange(child_process(slot), {}).id.pid;
    const ChildState state = core_.child(slot).state;
    const std::string how = status < 0            ? "ended"
                            : WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                                                  : "ended with " + std::to_string(WEXITSTATUS(status));
    core::log_line("supervise: process " + std::to_string(pid) + ' ' + how +
                   (state == ChildState::serving ? ", unordered" : ""));
    append_history({{"what", "gone"},
                    {"slot", slot},
                    {"pid", pid},
                    {"unordered", state == ChildState::serving},
                    {"how", how}});
    fs::remove(pid_file(slot));
    apply_event([&] { return core_.on_exit(clock_.now(), slot); });
  }

  // Probes a child: once it answers at its management address it serves, evacuated or not.
  void probe(int slot) {
    const Child& child = core_.child(slot);
    ChildProcess& process = child_process(slot);
    const bool starting = child.state == ChildState::starting;
    if (!starting && child.state != ChildState::serving) return;
    if (clock_.now() < process.probed_at + (starting ? kStartingProbeMs : kServingProbeMs)) return;
    const std::string& address = options_.management_addresses.at(static_cast<std::size_t>(slot));
    const auto answer = net::call_line(address, "readyz", kChildCallTimeoutMs);
    process.probed_at = clock_.now();
    if (!answer) return;
    if (starting) {
      append_history(
          {{"what", "serves"}, {"slot", slot}, {"pid", process.id.pid}, {"version", child.version.id}});
      send_operator_state(slot);  // before its predecessor is told to stop
      apply_event([&] { return core_.on_ready(clock_.now(), slot); });
      if (core_.progress() == SupervisorCore::Progress::done) remove_unused_versions();
    } else if (!process.operator_state_sent) {
      send_operator_state(slot);
    } else if (const bool evacuated = *answer != "done ready"; evacuated != core_.evacuated()) {
      core_.set_evacuated(evacuated);  // set by an operator directly at the child
    }
  }
  // Sends the evacuation and the excluded workers to the child in `slot`.
  void send_operator_state(int slot) {
    const std::string& address = options_.management_addresses.at(static_cast<std::size_t>(slot));
    bool all_confirmed = true;
    if (core_.evacuated())
      all_confirmed = net::call_line(address, "evacuate", kChildCallTimeoutMs).has_value();
    for (const std::string& worker : core_.excluded_workers()) {
      const auto answer = net::call_line(address, "exclude " + worker, kChildCallTimeoutMs);
      all_confirmed = all_confirmed && answer && answer->starts_with("done");
    }
    child_process(slot).operator_state_sent = all_confirmed;
  }

  // Deletes the copies of versions that can no longer be started.
  void remove_unused_versions() {
    std::vector<std::string> ids{core_.desired().id, core_.last_good().id};
    for (const auto& version : {core_.candidate(), core_.previous()})
      if (version) ids.push_back(version->id);
    for (int slot = 0; slot < SupervisorCore::kSlots; ++slot) ids.push_back(core_.child(slot).version.id);
    versions_.keep_only(ids);
  }

  // Examines a version in two steps: it is asked for its protocol version, then whether the files are valid
  // for it.
  void examine(const Effect& effect) {
    Examination examination;
    examination.number = effect.number;
    std::string failure;
    try {
      examination.version = versions_.copy(effect.program, effect.settings);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (!failure.empty())
      return apply_event([&] { return core_.on_examined(clock_.now(), examination.number, {}, failure); });
    if (examination_) ::kill(examination_->pid, SIGKILL);
    examination_ = std::move(examination);
    run_examination_step({examination_->version.program, "version", "--json"});
  }
  void run_examination_step(const std::vector<std::string>& arguments) {
    const park::Fd output(::open(file("look.txt").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    examination_->pid =
        spawn(arguments, {{"WOADTIDE_OPERATOR", ""}, {"ROUTER_MANAGEMENT", ""}, {"TMPDIR", ""}}, -1,
              output.get(), -1, -1);
    examination_->deadline = clock_.now() + kExaminationTimeoutMs;
  }
  void finish_examination_step(int status) {
    Examination& examination = *examination_;
    const bool succeeded = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    std::string failure;
    if (!examination.checking_config) {
      // A program from before protocol versions does not know the command and exits with 2.
      const json version_report = json::parse(last_line(file("look.txt")), nullptr, false);
      const bool unknown_command = WIFEXITED(status) && WEXITSTATUS(status) == 2;
      if (succeeded && version_report.is_object())
        examination.version.protocol_version = version_report.value("kin", 1);
      if (!succeeded && !unknown_command) failure = "it cannot say its version";
      const int running_version = core_.desired().protocol_version;
      if (std::abs(examination.version.protocol_version - running_version) > 1)
        failure = "it speaks version " + std::to_string(examination.version.protocol_version) +
                  " to the process that runs, which speaks " + std::to_string(running_version) +
                  ": one step is the most";
      if (failure.empty()) {
        examination.checking_config = true;
        std::vector<std::string> arguments{examination.version.program, "check-config", "--config",
                                           options_.config};
        if (!examination.version.settings.empty())
          arguments.insert(arguments.end(), {"--operator", examination.version.settings});
        return run_examination_step(arguments);
      }
    } else if (!succeeded) {
      failure = last_line(file("look.txt"));
      if (failure.empty()) failure = "check-config did not end well";
    }
    const Examination finished = *std::exchange(examination_, std::nullopt);
    apply_event([&] { return core_.on_examined(clock_.now(), finished.number, finished.version, failure); });
  }

  // Connections -------------------------------------------------------------------------------------------

  void wait_for_events(int signal_fd) {
    std::vector<pollfd> polled{{signal_fd, POLLIN, 0}, {control_.fd(), POLLIN, 0}};
    for (const Connection& connection : connections_) polled.push_back({connection.socket.fd(), POLLIN, 0});
    ::poll(polled.data(), polled.size(), kPollIntervalMs);
    if (polled[1].revents) accept_pending();
    for (Connection& connection : connections_) serve_connection(connection);
    connections_.remove_if([](const Connection& connection) { return connection.closed; });
  }
  void accept_pending() {
    net::Socket socket{park::Fd(::accept4(control_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK))};
    if (!socket) return;
    if (connections_.size() == kMaxConnections) connections_.pop_front();
    connections_.push_back({std::move(socket), {}, {}, clock_.now()});
  }
  void serve_connection(Connection& connection) {
    std::array<char, 4096> received{};
    std::size_t got = 0;
    net::IoResult io = net::IoResult::done;
    while ((io = connection.socket.receive(received.data(), received.size(), got)) == net::IoResult::done)
      if (!connection.answered) connection.input.append(received.data(), got);
    if (const std::size_t end = connection.input.find('\n');
        !connection.answered && end != std::string::npos) {
      connection.answered = true;
      connection.output = handle_request(connection.input.substr(0, end)) + '\n';
      connection.started_at = clock_.now();
    }
    if (connection.answered && !connection.output.empty()) {
      connection.output.erase(0, connection.socket.send_available({connection.output}));
      if (connection.output.empty()) connection.socket.shut_down(SHUT_WR);
    }
    connection.closed = io == net::IoResult::failed ||
                        (io == net::IoResult::end_of_stream && connection.output.empty()) ||
                        clock_.now() > connection.started_at + kConnectionTimeoutMs ||
                        connection.input.size() > kMaxRequestBytes;
  }

  std::string handle_request(const std::string& line) {
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::string command = line.substr(0, space),
                      argument = line.substr(std::min(space + 1, line.size()));
    try {
      if (command == "status" && argument.empty()) return "done " + status().dump();
      if (command == "figures" && argument.empty()) return statistics();
      if (command == "order") return accept_order(json::parse(argument));
      if ((command == "evacuate" || command == "activate") && argument.empty())
        return set_evacuated(command == "evacuate");
      if ((command == "exclude" || command == "include") && !argument.empty())
        return set_excluded(command, argument);
    } catch (const std::exception& error) {
      return std::string("error ") + error.what();
    }
    return "error no such call";
  }

  // Stores and executes an order of a controller.
  std::string accept_order(const json& request) {
    Order order;
    const auto kind = order_kind_from(request.at("kind"));
    if (!kind) return "error no such order";
    order.kind = *kind;
    order.controller = request.at("controller");
    order.change = request.at("change");
    order.number = request.at("number");
    order.program = request.value("program", "");
    order.settings = request.value("settings", "");
    order.take_over = request.value("take_over", false);
    if (order.kind == Order::Kind::check && order.program.empty()) order.program = core_.desired().program;
    SupervisorCore updated = core_;
    Effects effects;
    const std::string why = updated.handle_order(clock_.now(), order, effects);
    if (!why.empty()) return "error " + why;
    const std::string text = updated.serialize();
    if (text != stored_state_) {
      file_.write(text);  // an order that cannot be stored is not accepted
      stored_state_ = text;
    }
    core_ = std::move(updated);
    append_history({{"what", "order"},
                    {"kind", name_of(order.kind)},
                    {"number", order.number},
                    {"change", order.change}});
    execute(effects);
    if (order.kind == Order::Kind::keep_out && core_.active_slot() >= 0)
      send_operator_state(core_.active_slot());
    return "done taken";
  }

  std::string set_evacuated(bool evacuated) {
    core_.set_evacuated(evacuated);
    save_or_throw();
    const int active = core_.active_slot();
    if (active < 0) return "done";
    child_process(active).operator_state_sent = false;
    const auto answer = net::call_line(options_.management_addresses.at(static_cast<std::size_t>(active)),
                                       evacuated ? "evacuate" : "activate", kChildCallTimeoutMs);
    child_process(active).operator_state_sent = answer.has_value();
    return answer ? "done" : "error it is not done yet";
  }
  std::string set_excluded(const std::string& command, const std::string& worker) {
    core_.set_excluded(worker, command == "exclude");
    save_or_throw();
    const int active = core_.active_slot();
    if (active < 0) return "done";
    return net::call_line(options_.management_addresses.at(static_cast<std::size_t>(active)),
                          command + ' ' + worker, kChildCallTimeoutMs)
        .value_or("error it is not done yet");
  }

  json status() {
    const int active = core_.active_slot();
    const auto id = [](const std::optional<Version>& version) {
      return version ? version->id : std::string();
    };
    constexpr std::array<const char*, 4> kChildStateNames = {"none", "starting", "serving", "leaving"};
    constexpr std::array<const char*, 4> kProgressNames = {"none", "working", "done", "failed"};
    json children = json::array();
    for (int slot = 0; slot < SupervisorCore::kSlots; ++slot)
      if (core_.child(slot).state != ChildState::none)
        children.push_back(
            {{"pid", child_process(slot).id.pid},
             {"version", core_.child(slot).version.id},
             {"stands", kChildStateNames[static_cast<std::size_t>(core_.child(slot).state)]},
             {"management", options_.management_addresses.at(static_cast<std::size_t>(slot))}});
    return {{"name", options_.name},
            {"zone", options_.zone},
            {"serves", active >= 0},
            {"version", active >= 0 ? core_.child(active).version.id : ""},
            {"pid", active >= 0 ? child_process(active).id.pid : 0},
            {"since_ms", active >= 0 ? clock_.now() - core_.child(active).state_since : 0},
            {"wanted", core_.desired().id},
            {"good", core_.last_good().id},
            {"candidate", id(core_.candidate())},
            {"before", id(core_.previous())},
            {"controller", core_.controller()},
            {"change", core_.change()},
            {"newest", core_.last_order_number()},
            {"progress", kProgressNames[static_cast<std::size_t>(core_.progress())]},
            {"why", core_.failure_reason()},
            {"fell_back", core_.fallback_reason()},
            {"evacuated", core_.evacuated()},
            {"excluded", core_.excluded_workers()},
            {"crashes", core_.total_crashes()},
            {"children", std::move(children)}};
  }

  std::string statistics() {
    const int active = core_.active_slot();
    if (active < 0) return "error nobody serves";
    const std::string& address = options_.management_addresses.at(static_cast<std::size_t>(active));
    auto answer = net::call_line(address, "figures", kChildCallTimeoutMs);
    json classes;
    if (answer && answer->starts_with("done ")) {
      classes = json::parse(answer->substr(5));
    } else {  // an older program without this command
      answer = net::call_line(address, "telemetry", kChildCallTimeoutMs);
      if (!answer || !answer->ends_with("\nend")) return "error no figures";
      classes = json::parse(core::serialize(core::parse_telemetry(*answer)));
    }
    const pid_t pid = child_process(active).id.pid;
    return "done " + json({{"pid", pid},
                           {"version", core_.child(active).version.id},
                           {"crashes", core_.total_crashes()},
                           {"memory_mb", resident_mb_of(pid)},
                           {"cpu_ms", cpu_ms_of(pid)},
                           {"classes", std::move(classes)}})
                         .dump();
  }

  void append_history(json line) {
    line["at_ms"] = clock_.now();
    const std::string text = line.dump() + '\n';
    if (::write(history_.get(), text.data(), text.size()) < 0)
      return;  // the history is for operators only; nothing depends on it
  }

  const SupervisorOptions options_;
  core::Clock clock_;
  park::Fd lock_, history_;
  state::StateFile file_;
  Versions versions_;
  SupervisorCore core_{Version{}, Limits{}};
  net::Socket control_, listener_;
  std::array<ChildProcess, SupervisorCore::kSlots> child_processes_;
  std::optional<Examination> examination_;
  std::list<Connection> connections_;
  std::string stored_state_;
  bool save_failed_ = false;
  int failed_start_slot_ = -1;  // a slot whose child could not be started
};

}  // namespace

int run(const SupervisorOptions& options) { return Supervisor(options).run(); }

}  // namespace woadtide::supervise
