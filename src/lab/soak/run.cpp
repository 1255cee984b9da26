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

constexpr double kReadyMs = 10'000, kUpgradeMs = 6'000;
// PROTOCOL: new connections come for 0.2 to 0.4 s after SIGTERM, and SIGKILL at the earliest the longest
// deadline, 3 s at most, plus 0.7 s after it.
constexpr double kConnectsAfterTermMs = 400, kMostDeadlineMs = 3'000, kKillSlackMs = 700;
constexpr double kNextAloneMs = 500;     // how long the next process of an upgrade serves before its own end
constexpr double kToldWithinMs = 6'000;  // STANDING: whether it arrived or not
constexpr double kDrainGraceMs = 300;
constexpr double kSlowMs = 4'500;  // of a discovery that is slow to answer
constexpr double kHangMs = 60'000;
constexpr double kHeldUpMs = 150;  // STANDING: between reading its clock and writing
constexpr double kFailed = 0.02, kTurnedAway = 0.03, kCut = 0.02;  // shares, where workers fail
constexpr int kStepMs = 5;

double share_of(const std::string& id) {
  return static_cast<double>(std::hash<std::string>()(id) % 10'000) / 10'000;
}

class SoakRun {
 public:
  SoakRun(const SoakPlan& plan, const RunSettings& settings)
      : plan_(plan),
        settings_(settings),
        ports_(free_ports(3)),
        hangs_(static_cast<std::size_t>(plan.workers)) {
    fs::create_directories(settings_.folder);
    stage_.dispatcher = net::Address("127.0.0.1:" + std::to_string(ports_[0]));
    for (int i = 0; i < plan_.workers; ++i) add_worker(i);
    if (plan_.ending == Ending::upgrade) open_passed_socket();
    write_config();
  }

  RunResult play() {
    RunResult result;
    Process process = start(ports_[1]);
    await_ready(ports_[1], kReadyMs);
    load_from_ = clock_.now();
    {
      std::list<std::jthread> threads;
      for (int i = 0; i < plan_.clients; ++i)
        threads.emplace_back([this, i] { run_client(plan_, i, clock_, stage_, book_); });
      for (int i = 0; i < plan_.bad_clients; ++i)
        threads.emplace_back([this, i] { run_bad_client(plan_, i, clock_, stage_, book_); });
      play_events(process.pid());
      if (plan_.ending == Ending::upgrade) process = upgrade(std::move(process));
      result.end_ms = end(process, true);
    }
    note_drains();
    result.verdict = judge(book_.take(), {kDrainGraceMs, plan_.repeat_window_ms});
    read_log(result);
    return result;
  }

 private:
  std::string file(const char* name) const { return settings_.folder + '/' + name; }

  void add_worker(int number) {
    const std::string name = "w" + std::to_string(number);
    workers_.push_back(std::make_unique<Worker>(0, "", false, [this, number, name](const Begun& begun) {
      const lab::Plan plan = plan_of(number, begun);
      book_.add(
          AttemptRecord{begun.id, name, clock_.now(), begun.budget_ms, plan.end == lab::Plan::End::refuse});
      return plan;
    }));
    workers_.back()->set_idle_ms(plan_.worker_idle_ms);
    for (Discovery& discovery : discoveries_) discovery.set(name, workers_.back()->dial());
  }

  lab::Plan plan_of(int number, const Begun& begun) const {
    lab::Plan plan;
    const double share = share_of(begun.id);
    plan.run_ms = 2 + 20 * share;
    if (hangs_[static_cast<std::size_t>(number)]) plan.run_ms = kHangMs;
    if (!plan_.workers_fail) return plan;
    if (share < kFailed)
      plan.end = lab::Plan::End::failed;
    else if (share < kFailed + kTurnedAway)
      plan.end = lab::Plan::End::refuse;
    else if (share < kFailed + kTurnedAway + kCut)
      plan.end = lab::Plan::End::cut;
    return plan;
  }

  // As an upgrade has it: the platform listens, and every process inherits the descriptor.
  void open_passed_socket() {
    passed_ = net::Socket::listen_at(net::Address("127.0.0.1:" + std::to_string(ports_[0])));
    ::fcntl(passed_.fd(), F_SETFD, 0);
  }

  void write_config() {
    nlohmann::json config =
        config_json(discoveries_[0].list(), discoveries_[at_discovery_].dial(), ports_[0]);
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
    const std::string fresh = file("config.new");
    std::ofstream(fresh) << config.dump(1) << '\n';
    fs::rename(fresh, file("config.json"));
  }

  Process start(int management_port) const {
    std::map<std::string, std::string> environment{
        {"TMPDIR", settings_.folder},
        {"ROUTER_MANAGEMENT", "127.0.0.1:" + std::to_string(management_port)},
        {"WOADTIDE_FAULTS", plan_.faults},
        {"LD_PRELOAD", settings_.shim}};
    if (passed_) environment["ROUTER_PASSED_SOCKET"] = std::to_string(passed_.fd());
    return Process({settings_.dispatcher, "serve", "--config", file("config.json")}, environment,
                   file("log"));
  }

  void await_ready(int management_port, double within_ms) {
    constexpr double kCallMs = 1'000;
    const std::string at = "127.0.0.1:" + std::to_string(management_port);
    for (const double until = clock_.now() + within_ms; clock_.now() < until; ::poll(nullptr, 0, kStepMs))
      if (const auto said = net::call(at, "readyz", kCallMs); said && said->starts_with("done")) return;
    throw std::runtime_error("the dispatcher did not get ready; see " + file("log"));
  }

  void sleep_until(double when) const {
    while (clock_.now() < when) ::poll(nullptr, 0, kStepMs);
  }

  void play_events(pid_t process) {
    for (const Event& event : plan_.events) {
      sleep_until(load_from_ + event.at_ms);
      play(event, process);
    }
    sleep_until(load_from_ + plan_.load_ms);
  }

  void play(const Event& event, pid_t process) {
    const auto worker = static_cast<std::size_t>(event.worker);
    const std::string name = "w" + std::to_string(event.worker);
    switch (event.kind) {
      case EventKind::drain:
        drained_[name] = clock_.now();
        for (Discovery& discovery : discoveries_)
          discovery.set(name, workers_[worker]->dial(), "Terminating");
        return;
      case EventKind::hang_begins:
        hangs_[worker] = true;
        return;
      case EventKind::hang_ends:
        hangs_[worker] = false;
        return;
      case EventKind::discovery_down:
        discoveries_[at_discovery_].set_down(true);
        return;
      case EventKind::discovery_slow:
        discoveries_[at_discovery_].set_answer_delay_ms(kSlowMs);
        return;
      case EventKind::discovery_well:
        discoveries_[at_discovery_].set_down(false);
        well_at_ = clock_.now();
        return;
      case EventKind::watches_silent:
        discoveries_[at_discovery_].silence_watches();
        return;
      case EventKind::held_up:
        ::kill(process, SIGSTOP);
        sleep_until(clock_.now() + kHeldUpMs);
        ::kill(process, SIGCONT);
        return;
      case EventKind::reload:
        at_discovery_ = 1 - at_discovery_;
        write_config();
        ::kill(process, SIGHUP);
        return;
    }
  }

  // The next process beside the one that runs, which is told to end once the next one is ready.
  Process upgrade(Process old) {
    Process next = start(ports_[2]);
    await_ready(ports_[2], kUpgradeMs);
    end(old, false);
    sleep_until(clock_.now() + kNextAloneMs);
    return next;
  }

  // SIGTERM in the plan's series, and SIGKILL at the page's earliest. `last`: clients have nowhere else to
  // go.
  double end(Process& process, bool last) {
    const double told = clock_.now();
    if (last && plan_.ending == Ending::hup_term)
      for (int i = 0; i < 2; ++i) ::kill(process.pid(), SIGHUP);
    ::kill(process.pid(), SIGTERM);
    if (last && plan_.ending == Ending::term_term) ::kill(process.pid(), SIGTERM);
    if (last && plan_.ending == Ending::term_hup) ::kill(process.pid(), SIGHUP);
    if (last) stage_.connects_until = told + kConnectsAfterTermMs;
    const double kill_at = told + std::min(plan_.longest_deadline_ms, kMostDeadlineMs) + kKillSlackMs;
    std::optional<int> status;
    while (!status && clock_.now() < kill_at) {
      status = process.ended();
      ::poll(nullptr, 0, kStepMs);
    }
    const double took = clock_.now() - told;
    if (last) stage_.over_at = clock_.now();
    if (!status) {
      book_.add_process_fault("end: it still ran when SIGKILL came");
      process.kill();
    } else if (!WIFEXITED(*status) || WEXITSTATUS(*status) != 0) {
      book_.add_process_fault("crash: status " + std::to_string(*status));
    }
    return took;
  }

  // A drain counts as told when it was written, and at the latest so long after discovery had it and could be
  // reached.
  void note_drains() {
    for (const auto& [worker, at] : drained_) {
      double binds = std::max(at, well_at_) + kToldWithinMs;
      for (Discovery& discovery : discoveries_)
        if (const auto told = discovery.told_not_ready(worker)) binds = std::min(binds, *told);
      book_.add(DrainRecord{worker, binds});
    }
  }

  void read_log(RunResult& result) const {
    std::ifstream log(file("log"));
    for (std::string line; std::getline(log, line);) {
      result.log_lines += 1;
      result.backed_off += line.find("keeps failing: backed off") != std::string::npos;
    }
  }

  const SoakPlan& plan_;
  const RunSettings& settings_;
  const core::Clock clock_;
  const std::vector<int> ports_;  // clients', then a second address of each process
  Book book_;
  Stage stage_;
  std::vector<std::atomic<bool>> hangs_;  // by worker
  std::array<Discovery, 2> discoveries_;
  std::size_t at_discovery_ = 0;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::string, double> drained_;
  double load_from_ = 0, well_at_ = 0;
  net::Socket passed_;
};

}  // namespace

RunResult run(const SoakPlan& plan, const RunSettings& settings) { return SoakRun(plan, settings).play(); }

}  // namespace woadtide::lab::soak
