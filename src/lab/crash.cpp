#include "lab/crash.hpp"

#include <poll.h>
#include <sys/wait.h>

#include <atomic>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <list>
#include <mutex>
#include <pcg_random.hpp>
#include <thread>

#include "lab/config_json.hpp"
#include "lab/discovery.hpp"
#include "lab/job_client.hpp"
#include "lab/process.hpp"

namespace woadtide::lab {

namespace {

namespace fs = std::filesystem;

constexpr int kPollIntervalMs = 10;
constexpr const char* kDelaySuffix = ":8";  // delay in ms before a kill and at each sync, as of a slow disk

constexpr double kWorkerDowntimeMs = 80;
constexpr int kMaxFaultOperation = 80, kMaxSweepRuns = 200;

struct WorkerProcess {
  std::string name;
  int port = 0, incarnation = 0;
  ChildProcess process;
  double restart_at_ms = 0;  // not restarted before
};

class CrashTest {
 public:
  CrashTest(const CrashSettings& settings, std::string lab_program)
      : settings_(settings),
        lab_program_(std::move(lab_program)),
        random_(settings.seed),
        ports_(free_ports(static_cast<std::size_t>(settings.workers) + 3)) {
    fs::create_directories(settings_.folder);
    for (int i = 0; i < settings_.workers; ++i) {
      WorkerProcess& worker = workers_.emplace_back();
      worker.name = "w" + std::to_string(i);
      worker.port = ports_[static_cast<std::size_t>(i) + 3];
      discovery_.set_worker(worker.name, "127.0.0.1:" + std::to_string(worker.port));
      start_worker(worker);
    }
    write_files();
  }

  CrashReport run() {
    start_dispatcher();
    std::list<std::thread> clients;
    for (int i = 0; i < settings_.clients; ++i) clients.emplace_back([this, i] { run_client(i); });
    for (int killed = 0; killed < settings_.kills; killed = kill_count()) {
      const double deadline_ms = clock_.now() + boost::random::exponential_distribution<double>(
                                                    1 / settings_.mean_kill_interval_ms)(random_);
      while (clock_.now() < deadline_ms) restart_ended();
      kill_random();
      if (kill_count() / 50 != killed / 50)
        std::fprintf(stderr, "%d of %d kills, %d jobs\n", kill_count(), settings_.kills, job_count_.load());
    }
    clients_stop_ = true;
    // Jobs in progress finish with all processes running.
    faults_paused_ = true;
    std::thread restarter([this] {
      while (!test_over_) restart_ended();
    });
    for (auto& client : clients) client.join();
    repeat_inquiries();
    test_over_ = true;
    restarter.join();
    dispatcher_.terminate();
    for (WorkerProcess& worker : workers_) worker.process.kill();
    check_records();
    return report_;
  }

  FaultSweepReport run_fault_sweep(const std::string& kind) {
    FaultSweepReport report;
    start_dispatcher();
    run_job("first", false);  // creates the store, whose first operations are not part of the sweep
    for (int operation_number = 1; report.runs < kMaxSweepRuns; ++operation_number) {
      dispatcher_.terminate();
      start_dispatcher({{"WOADTIDE_FAULT", kind + ':' + std::to_string(operation_number) + kDelaySuffix},
                        {"WOADTIDE_FAULT_COUNT", count_path()}});
      bool killed_by_fault = false;
      std::atomic<bool> job_over = false;
      std::thread restarter([&] {
        while (!job_over) {
          ::poll(nullptr, 0, 2);
          if (!dispatcher_.poll_exit()) continue;
          killed_by_fault = true;
          start_dispatcher();
        }
      });
      const std::string name = kind + std::to_string(operation_number);
      run_job(name + "-once", true);
      run_job(name + "-safe", false);
      job_over = true;
      restarter.join();
      report.runs += 1;
      report.deaths += killed_by_fault ? 1 : 0;
      dispatcher_.kill();
      int operation_count = 0;
      std::ifstream(count_path(), std::ios::binary)
          .read(reinterpret_cast<char*>(&operation_count), sizeof operation_count);
      start_dispatcher();
      if (!killed_by_fault && operation_count < operation_number) break;
    }
    repeat_inquiries();
    dispatcher_.kill();
    for (WorkerProcess& worker : workers_) worker.process.kill();
    check_records();
    report.verdict = report_.verdict;
    if (report.runs == kMaxSweepRuns) report.verdict.lines.push_back("every run reached its fault");
    return report;
  }

 private:
  std::string count_path() const { return settings_.folder + "/operations"; }
  void run_job(const std::string& key, bool once) {
    JobClient client(ports_[1]);
    record({key, "asked", once, 0, {}, {}});
    record(client.run_job(key, once, "body of " + key, settings_.budget_ms));
  }
  int kill_count() const {
    return report_.dispatcher_kills + report_.store_kills + report_.worker_kills + report_.both_kills;
  }
  int random_below(int limit) { return boost::random::uniform_int_distribution<int>(0, limit - 1)(random_); }

  void write_files() {
    const std::string jobs_port = std::to_string(ports_[1]);
    // The addresses of plain clients differ, because no listening socket is passed on here; the address for
    // jobs is the same.
    for (const int config_index : {0, 1})
      std::ofstream(config_path(config_index))
          << config_json(discovery_.serialized_list(), discovery_.address(),
                         ports_[config_index == 0 ? 0 : 2])
                 .dump(2)
          << '\n';
    std::ofstream(settings_.folder + "/operator.toml")
        << "[jobs]\nenabled = true\nlisten = \"127.0.0.1:" << jobs_port << "\"\nfolder = \""
        << settings_.folder << "/store\"\nlease_ms = 600\nask_every_ms = 30\nanswering_kinds = ["
        << (settings_.workers_answer_inquiries ? "\"lab\"" : "") << "]\n";
  }

  void start_dispatcher(std::map<std::string, std::string> environment = {}) {
    // Half of the dispatcher processes end within a store operation.
    if (settings_.store_faults && !faults_paused_ && random_below(2) == 0)
      environment["WOADTIDE_FAULT"] =
          "kill:" + std::to_string(1 + random_below(kMaxFaultOperation)) + kDelaySuffix;
    dispatcher_ =
        ChildProcess({settings_.dispatcher_program, "serve", "--config", config_path(active_config_),
                      "--operator", settings_.folder + "/operator.toml"},
                     environment, settings_.folder + "/dispatcher.log");
  }
  std::string config_path(int config_index) const {
    return settings_.folder + "/config-" + std::to_string(config_index) + ".json";
  }
  // The successor starts beside the running process, which then shuts down and releases the store.
  void hot_restart() {
    if (replaced_.is_running()) return;
    replaced_ = std::move(dispatcher_);
    active_config_ = 1 - active_config_;
    start_dispatcher();
    ::kill(replaced_.pid(), SIGTERM);
    report_.hot_restarts += 1;
  }
  std::string ledger_path(const WorkerProcess& worker) const {
    return settings_.folder + '/' + worker.name + '-' + std::to_string(worker.incarnation) + ".ledger";
  }
  void start_worker(WorkerProcess& worker) {
    std::vector<std::string> arguments = {
        lab_program_, "worker", "--port", std::to_string(worker.port), "--ledger", ledger_path(worker)};
    if (settings_.workers_answer_inquiries) arguments.push_back("--answers");
    worker.process = ChildProcess(arguments, {}, settings_.folder + "/workers.log");
  }

  // Restarts processes that have exited.
  void restart_ended() {
    ::poll(nullptr, 0, kPollIntervalMs);
    if (const auto status = dispatcher_.poll_exit()) {
      if (WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL) {
        report_.store_kills += 1;
      } else {
        report_.unexpected_exits += 1;
        std::fprintf(stderr, "the dispatcher exited unexpectedly, status %d\n", *status);
      }
    }
    if (const auto status = replaced_.poll_exit(); status && *status != 0 && !WIFSIGNALED(*status))
      report_.unexpected_exits += 1;
    if (!dispatcher_.is_running()) start_dispatcher();
    for (WorkerProcess& worker : workers_)
      if (!worker.process.is_running() && clock_.now() >= worker.restart_at_ms) start_worker(worker);
  }
  void kill_random() {
    const int choice = random_below(10);
    if (settings_.hot_restarts && random_below(8) == 0) hot_restart();
    if (choice < 6) {
      dispatcher_.kill();
      report_.dispatcher_kills += 1;
      return;
    }
    WorkerProcess& worker = workers_[static_cast<std::size_t>(random_below(settings_.workers))];
    worker.process.kill();
    if (choice == 9) dispatcher_.kill();
    (choice == 9 ? report_.both_kills : report_.worker_kills) += 1;
    worker.restart_at_ms = clock_.now() + kWorkerDowntimeMs;
    if (random_below(5) == 0) {  // the worker restarts with an empty ledger
      worker.incarnation += 1;
      report_.emptied_workers += 1;
    }
  }

  void run_client(int client_index) {
    pcg32 random(settings_.seed, static_cast<std::uint64_t>(client_index) + 1);
    JobClient client(ports_[1]);
    for (int i = 0; !clients_stop_; ++i) {
      const std::string key = "c" + std::to_string(client_index) + '-' + std::to_string(i);
      const bool once = random() % 5 < 3;
      record({key, "asked", once, 0, {}, {}});
      job_count_ += 1;
      record(client.run_job(key, once, "body of " + key + std::string(random() % 2'000, 'x'),
                            settings_.budget_ms));
      ::poll(nullptr, 0, static_cast<int>(random() % 20));
    }
  }
  void record(const ClientObservation& observation) {
    const std::lock_guard lock(mutex_);
    observations_.push_back(observation);
  }
  // Asks for each final answer again; it must be the same.
  void repeat_inquiries() {
    JobClient client(ports_[1]);
    for (const ClientObservation& observation : std::vector<ClientObservation>(observations_)) {
      if (observation.what != "told" || observation.state == "refused") continue;
      std::optional<JobResponse> response;
      for (int i = 0; i < 300 && (!response || (response->status == 503 && response->state.empty())); ++i) {
        if (i > 0) ::poll(nullptr, 0, kPollIntervalMs);
        response = client.get_state(observation.key, 0, client.now() + 1'000);
      }
      if (response)
        record(
            {observation.key, "told", observation.once, response->status, response->state, response->body});
    }
  }
  void check_records() {
    {
      std::ofstream history(history_path(settings_.folder));
      for (const ClientObservation& observation : observations_) history << to_json_line(observation) << '\n';
    }
    report_.verdict = check_folder(settings_.folder);
  }

  const CrashSettings settings_;
  const std::string lab_program_;
  core::Clock clock_;
  pcg32 random_;
  const std::vector<int> ports_;
  TestDiscovery discovery_;
  std::vector<WorkerProcess> workers_;
  ChildProcess dispatcher_, replaced_;
  int active_config_ = 0;  // configuration of the running dispatcher
  std::mutex mutex_;
  std::vector<ClientObservation> observations_;
  std::atomic<int> job_count_{0};
  std::atomic<bool> clients_stop_{false}, faults_paused_{false}, test_over_{false};
  CrashReport report_;
};

}  // namespace

FaultSweepReport run_fault_sweep(const CrashSettings& settings, const std::string& kind,
                                 const std::string& lab_program) {
  CrashSettings sweep_settings = settings;
  sweep_settings.workers = 1;
  sweep_settings.store_faults = false;
  return CrashTest(sweep_settings, lab_program).run_fault_sweep(kind);
}

CrashReport run_crash_test(const CrashSettings& settings, const std::string& lab_program) {
  return CrashTest(settings, lab_program).run();
}

}  // namespace woadtide::lab
