#include "lab/soak/run.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "lab/config_json.hpp"
#include "lab/discovery.hpp"
#include "lab/process.hpp"
#include "lab/soak/clients.hpp"
#include "lab/worker.hpp"
#include "net/line_call.hpp"

namespace woadtide::lab::soak {

namespace {

namespace fs = std::filesystem;

constexpr double kReadyTimeoutMs = 10'000, kUpgradeTimeoutMs = 6'000;
// The protocol: clients open new connections for 0.2 to 0.4 s after SIGTERM, and SIGKILL comes at the
// earliest after the longest deadline (at most 3 s) plus 0.7 s.
constexpr double kConnectsAfterTermMs = 400, kMaxDeadlineMs = 3'000, kKillSlackMs = 700;
// How long the successor of an upgrade serves alone before it is shut down.
constexpr double kSuccessorRunMs = 500;
constexpr double kUpdateBindsAfterMs = 6'000;  // a list update is binding after this time, delivered or not
constexpr double kDrainGraceMs = 300;
constexpr double kSlowAnswerMs = 4'500;  // answer time of a slow discovery
constexpr double kHangDurationMs = 60'000;
constexpr double kPauseMs = 150;  // longest pause allowed between reading the clock and writing
// Shares of executions, if workers fail.
constexpr double kFailedShare = 0.02, kRefusedShare = 0.03, kCutShare = 0.02;
constexpr int kPollIntervalMs = 5;

double hash_fraction(const std::string& id) {
  return static_cast<double>(std::hash<std::string>()(id) % 10'000) / 10'000;
}

class SoakRun {
 public:
  SoakRun(const SoakPlan& plan, const RunSettings& settings)
      : plan_(plan),
        settings_(settings),
        ports_(free_ports(3)),
        is_hanging_(static_cast<std::size_t>(plan.workers)) {
    fs::create_directories(settings_.folder);
    run_state_.dispatcher = net::Address("127.0.0.1:" + std::to_string(ports_[0]));
    for (int i = 0; i < plan_.workers; ++i) add_worker(i);
    if (plan_.ending == ShutdownMethod::upgrade) open_passed_socket();
    write_config();
  }

  RunResult run() {
    RunResult result;
    ChildProcess process = start(ports_[1]);
    wait_until_ready(ports_[1], kReadyTimeoutMs);
    load_started_at_ = clock_.now();
    {
      std::list<std::jthread> threads;
      for (int i = 0; i < plan_.clients; ++i)
        threads.emplace_back([this, i] { run_client(plan_, i, clock_, run_state_, recorder_); });
      for (int i = 0; i < plan_.bad_clients; ++i)
        threads.emplace_back([this, i] { run_bad_client(plan_, i, clock_, run_state_, recorder_); });
      apply_events(process.pid());
      if (plan_.ending == ShutdownMethod::upgrade) process = upgrade(std::move(process));
      result.shutdown_ms = shut_down(process, true);
    }
    record_drains();
    result.verdict = check_records(recorder_.take(), {kDrainGraceMs, plan_.repeat_window_ms});
    count_log_lines(result);
    return result;
  }

 private:
  std::string path_in_folder(const char* name) const { return settings_.folder + '/' + name; }

  void add_worker(int number) {
    const std::string name = "w" + std::to_string(number);
    workers_.push_back(
        std::make_unique<TestWorker>(0, "", false, [this, number, name](const ExecutionRequest& execution) {
          const lab::ExecutionPlan plan = execution_plan(number, execution);
          recorder_.add(AttemptRecord{execution.id, name, clock_.now(), execution.budget_ms,
                                      plan.outcome == lab::ExecutionPlan::Outcome::refuse});
          return plan;
        }));
    workers_.back()->set_idle_timeout_ms(plan_.worker_idle_ms);
    for (TestDiscovery& discovery : discoveries_) discovery.set_worker(name, workers_.back()->address());
  }

  lab::ExecutionPlan execution_plan(int number, const ExecutionRequest& execution) const {
    lab::ExecutionPlan plan;
    const double fraction = hash_fraction(execution.id);
    plan.duration_ms = 2 + 20 * fraction;
    if (is_hanging_[static_cast<std::size_t>(number)]) plan.duration_ms = kHangDurationMs;
    if (!plan_.workers_fail) return plan;
    if (fraction < kFailedShare)
      plan.outcome = lab::ExecutionPlan::Outcome::failed;
    else if (fraction < kFailedShare + kRefusedShare)
      plan.outcome = lab::ExecutionPlan::Outcome::refuse;
    else if (fraction < kFailedShare + kRefusedShare + kCutShare)
      plan.outcome = lab::ExecutionPlan::Outcome::cut;
    return plan;
  }

  // For an upgrade the platform owns the listening socket, and every process inherits its descriptor.
  void open_passed_socket() {
    passed_socket_ = net::Socket::listen_at(net::Address("127.0.0.1:" + std::to_string(ports_[0])));
    ::fcntl(passed_socket_.fd(), F_SETFD, 0);
  }

  void write_config() {
    nlohmann::json config =
        config_json(discoveries_[0].serialized_list(), discoveries_[active_discovery_].address(), ports_[0]);
    config["settings"]["Domain"]["TellsStart"] = true;
    config["settings"]["PolicyLimits"]["Cancel"] = true;
    config["settings"]["Categories"][0]["DeadlineUs"] = static_cast<int>(plan_.longest_deadline_ms * 1'000);
    config["settings"]["Categories"][1]["DeadlineUs"] = static_cast<int>(plan_.payout_deadline_ms * 1'000);
    if (plan_.is_pushed) config["settings"]["Discovery"] = "pushed";
    if (plan_.repeat_window_ms > 0) {
      config["settings"]["Categories"][0]["Effect"] = "deduplicated";
      config["settings"]["Categories"][0]["Group"] = "all";
      config["settings"]["Categories"][0]["WindowUs"] = static_cast<int>(plan_.repeat_window_ms * 1'000);
    }
    const std::string new_path = path_in_folder("config.new");
    std::ofstream(new_path) << config.dump(1) << '\n';
    fs::rename(new_path, path_in_folder("config.json"));
  }

  ChildProcess start(int management_port) const {
    std::map<std::string, std::string> environment{
        {"TMPDIR", settings_.folder},
        {"ROUTER_MANAGEMENT", "127.0.0.1:" + std::to_string(management_port)},
        {"WOADTIDE_FAULTS", plan_.faults},
        {"LD_PRELOAD", settings_.shim}};
    if (passed_socket_) environment["ROUTER_PASSED_SOCKET"] = std::to_string(passed_socket_.fd());
    return ChildProcess({settings_.dispatcher, "serve", "--config", path_in_folder("config.json")},
                        environment, path_in_folder("log"));
  }

  void wait_until_ready(int management_port, double timeout_ms) {
    constexpr double kCallTimeoutMs = 1'000;
    const std::string address = "127.0.0.1:" + std::to_string(management_port);
    for (const double until_ms = clock_.now() + timeout_ms; clock_.now() < until_ms;
         ::poll(nullptr, 0, kPollIntervalMs))
      if (const auto reply = net::call_line(address, "readyz", kCallTimeoutMs);
          reply && reply->starts_with("done"))
        return;
    throw std::runtime_error("the dispatcher did not become ready; see " + path_in_folder("log"));
  }

  void sleep_until(double until_ms) const {
    while (clock_.now() < until_ms) ::poll(nullptr, 0, kPollIntervalMs);
  }

  void apply_events(pid_t pid) {
    for (const Event& event : plan_.events) {
      sleep_until(load_started_at_ + event.at_ms);
      apply_event(event, pid);
    }
    sleep_until(load_started_at_ + plan_.load_ms);
  }

  void apply_event(const Event& event, pid_t pid) {
    const auto worker = static_cast<std::size_t>(event.worker);
    const std::string name = "w" + std::to_string(event.worker);
    switch (event.kind) {
      case EventKind::drain:
        drained_at_[name] = clock_.now();
        for (TestDiscovery& discovery : discoveries_)
          discovery.set_worker(name, workers_[worker]->address(), "Terminating");
        return;
      case EventKind::hang_begins:
        is_hanging_[worker] = true;
        return;
      case EventKind::hang_ends:
        is_hanging_[worker] = false;
        return;
      case EventKind::discovery_down:
        discoveries_[active_discovery_].set_down(true);
        return;
      case EventKind::discovery_slow:
        discoveries_[active_discovery_].set_answer_delay_ms(kSlowAnswerMs);
        return;
      case EventKind::discovery_recovered:
        discoveries_[active_discovery_].set_down(false);
        discovery_recovered_at_ = clock_.now();
        return;
      case EventKind::watches_silent:
        discoveries_[active_discovery_].mute_open_watches();
        return;
      case EventKind::process_paused:
        ::kill(pid, SIGSTOP);
        sleep_until(clock_.now() + kPauseMs);
        ::kill(pid, SIGCONT);
        return;
      case EventKind::reload:
        active_discovery_ = 1 - active_discovery_;
        write_config();
        ::kill(pid, SIGHUP);
        return;
    }
  }

  // Starts the next process beside the running one, which gets SIGTERM once the next one is ready.
  ChildProcess upgrade(ChildProcess old) {
    ChildProcess next = start(ports_[2]);
    wait_until_ready(ports_[2], kUpgradeTimeoutMs);
    shut_down(old, false);
    sleep_until(clock_.now() + kSuccessorRunMs);
    return next;
  }

  // Sends the plan's signals, and SIGKILL at the earliest time that the protocol allows. Returns ms from
  // SIGTERM to the exit. `is_last`: no other process takes the clients.
  double shut_down(ChildProcess& process, bool is_last) {
    const double signalled_at = clock_.now();
    if (is_last && plan_.ending == ShutdownMethod::hup_term)
      for (int i = 0; i < 2; ++i) ::kill(process.pid(), SIGHUP);
    ::kill(process.pid(), SIGTERM);
    if (is_last && plan_.ending == ShutdownMethod::term_term) ::kill(process.pid(), SIGTERM);
    if (is_last && plan_.ending == ShutdownMethod::term_hup) ::kill(process.pid(), SIGHUP);
    if (is_last) run_state_.connects_until_ms = signalled_at + kConnectsAfterTermMs;
    const double kill_at_ms =
        signalled_at + std::min(plan_.longest_deadline_ms, kMaxDeadlineMs) + kKillSlackMs;
    std::optional<int> status;
    while (!status && clock_.now() < kill_at_ms) {
      status = process.poll_exit();
      ::poll(nullptr, 0, kPollIntervalMs);
    }
    const double elapsed_ms = clock_.now() - signalled_at;
    if (is_last) run_state_.ends_at_ms = clock_.now();
    if (!status) {
      recorder_.add_process_fault("end: the process was still running when SIGKILL was due");
      process.kill();
    } else if (!WIFEXITED(*status) || WEXITSTATUS(*status) != 0) {
      recorder_.add_process_fault("crash: status " + std::to_string(*status));
    }
    return elapsed_ms;
  }

  // A drain is binding when it was first written to a client of discovery, and at the latest
  // kUpdateBindsAfterMs after discovery had it and was reachable.
  void record_drains() {
    for (const auto& [worker, at] : drained_at_) {
      double binds_ms = std::max(at, discovery_recovered_at_) + kUpdateBindsAfterMs;
      for (TestDiscovery& discovery : discoveries_)
        if (const auto first_told_at = discovery.not_ready_sent_at(worker))
          binds_ms = std::min(binds_ms, *first_told_at);
      recorder_.add(DrainRecord{worker, binds_ms});
    }
  }

  void count_log_lines(RunResult& result) const {
    std::ifstream log(path_in_folder("log"));
    for (std::string line; std::getline(log, line);) {
      result.log_lines += 1;
      result.backed_off_lines += line.find("keeps failing: backed off") != std::string::npos;
    }
  }

  const SoakPlan& plan_;
  const RunSettings& settings_;
  const core::Clock clock_;
  const std::vector<int> ports_;  // for clients, then the management port of each process
  Recorder recorder_;
  RunState run_state_;
  std::vector<std::atomic<bool>> is_hanging_;  // by worker index
  std::array<TestDiscovery, 2> discoveries_;
  std::size_t active_discovery_ = 0;
  std::vector<std::unique_ptr<TestWorker>> workers_;
  std::map<std::string, double> drained_at_;
  double load_started_at_ = 0, discovery_recovered_at_ = 0;
  net::Socket passed_socket_;
};

}  // namespace

RunResult run_soak(const SoakPlan& plan, const RunSettings& settings) {
  return SoakRun(plan, settings).run();
}

}  // namespace woadtide::lab::soak
