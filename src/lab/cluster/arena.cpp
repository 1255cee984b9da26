#include "lab/cluster/arena.hpp"

#include <poll.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "lab/cluster/fleet.hpp"
#include "lab/cluster/relay.hpp"
#include "lab/cluster/report.hpp"
#include "lab/config_json.hpp"
#include "lab/job_client.hpp"
#include "lab/process.hpp"

namespace woadtide::lab::cluster {

namespace {

namespace fs = std::filesystem;

constexpr double kStartupMs = 2'000;  // for all processes to start before the time of the run begins
constexpr double kProgressIntervalMs = 5'000;
constexpr int kPollIntervalMs = 2;
constexpr double kChangeTimeoutMs = 40'000;  // for a change to finish after the load has ended
constexpr double kKillObservationMs = 400;   // until a kill appears in a supervisor's history

class TestCluster {
 public:
  TestCluster(const Scenario& scenario, const RunSettings& settings) : settings_(settings) {
    plan_.scenario = scenario;
    plan_.seed = settings.seed;
    plan_.faults = draw_faults(scenario, settings.seed);
    fs::create_directories(settings.folder);
    const auto dispatcher_count = static_cast<std::size_t>(scenario.dispatchers),
               worker_count = static_cast<std::size_t>(scenario.workers);
    ports_ = free_ports(dispatcher_count + worker_count + 1 +
                        (scenario.change.enabled ? 3 * dispatcher_count : 0));
    plan_.registry_port = ports_[dispatcher_count + worker_count];
    const auto zone_of = [&](std::size_t index) {
      return std::string(1, static_cast<char>('a' + index % static_cast<std::size_t>(scenario.zones)));
    };
    for (std::size_t i = 0; i < worker_count; ++i) plan_.zones["w" + std::to_string(i)] = zone_of(i);
    for (std::size_t i = 0; i < dispatcher_count; ++i) plan_.zones["n" + std::to_string(i)] = zone_of(i);
    for (std::size_t i = 0; i < dispatcher_count; ++i) configure_dispatcher(i, dispatcher_count);
    for (std::size_t i = 0; i < worker_count; ++i)
      processes_["w" + std::to_string(i)].port = ports_[dispatcher_count + i];
    if (scenario.change.enabled)
      fleet_.emplace(
          plan_, fs::absolute(settings.folder).string(),
          Programs{fs::absolute(settings.dispatcher_program).string(), settings.old_program,
                   settings.new_program},
          relays_,
          std::vector<int>(ports_.begin() + static_cast<std::ptrdiff_t>(dispatcher_count + worker_count + 1),
                           ports_.end()));
  }

  RunResult run() {
    plan_.start_ms = clock_.now() + kStartupMs;
    write_plan(plan_, file("plan.json"));
    registry_ = ChildProcess(
        {settings_.lab_program, "registry", "--plan", file("plan.json"), "--record", file("told.jsonl")}, {},
        file("registry.log"));
    for (auto& [name, managed] : processes_) start(name, managed);
    for (auto& [name, managed] : processes_)
      if (name.front() == 'n') await_ready(name, managed);
    std::vector<ChildProcess> clients;
    for (const auto& [name, address] : plan_.client_addresses)
      clients.emplace_back(
          std::vector<std::string>{settings_.lab_program, "clients", "--plan", file("plan.json"), "--to",
                                   name, "--record", file("asked-" + name + ".jsonl")},
          std::map<std::string, std::string>{}, file("clients.log"));
    run_schedule();
    await_clients(clients);
    RunResult result;
    if (fleet_) {
      result.change = check_change(finish_change());
      if (!result.change->good())
        crashes_.insert(crashes_.end(), result.change->lines.begin(), result.change->lines.end());
    }
    for (auto& [name, managed] : processes_)
      if (managed.process.is_running())
        ::kill(managed.process.pid(), SIGTERM);  // all at once, since a shutdown takes seconds
    for (auto& [name, managed] : processes_) stop(name, managed);
    registry_.kill();
    const RunRecords records = read_run_records(plan_, settings_.folder);
    result.findings = check_run(plan_, records);
    Findings& findings = result.findings;
    findings.crashes = static_cast<int>(crashes_.size());
    findings.lines.insert(findings.lines.end(), crashes_.begin(), crashes_.end());
    write_report(plan_, records, findings, file("report.html"));
    return result;
  }

 private:
  struct ManagedProcess {
    int port = 0, active_outages = 0;  // active_outages: faults that keep the process down
    ChildProcess process;
  };
  std::string file(const std::string& name) const { return settings_.folder + '/' + name; }
  double now() const { return clock_.now() - plan_.start_ms; }

  // Attributes each unexpected exit under a supervisor to a scheduled fault or to the defect of the new
  // version, and reports the others. An exit by the defect is added to the faults, because it interrupts
  // queries as a kill does.
  ChangeRecords finish_change() {
    const double deadline_ms = now() + kChangeTimeoutMs;
    while (!fleet_->finished() && now() < deadline_ms) poll_processes();
    const ChangeRecords records = fleet_->finish();
    for (const std::string& line : fleet_->crashes()) crashes_.push_back(line);
    std::map<int, std::string> versions;
    for (const SupervisorEvent& life : records.events) {
      if (life.event == "start") versions[life.pid] = life.version;
      if (life.event != "gone" || !life.unexpected) continue;
      const double at_ms = life.at_ms - plan_.start_ms;
      const bool expected = std::any_of(plan_.faults.begin(), plan_.faults.end(), [&](const Fault& fault) {
        return fault.kind == FaultKind::kill && fault.process == life.member &&
               fault.from_ms - kKillObservationMs <= at_ms && at_ms <= fault.from_ms + kKillObservationMs;
      });
      const bool caused_by_flaw =
          plan_.scenario.change.flaw != "none" && versions[life.pid] != records.old_version;
      if (!expected && !caused_by_flaw) crashes_.push_back(life.member + ": a process exited unexpectedly");
      if (caused_by_flaw)
        plan_.faults.push_back(
            {at_ms - kKillObservationMs, at_ms + kKillObservationMs, FaultKind::kill, life.member, {}});
    }
    return records;
  }

  void configure_dispatcher(std::size_t index, std::size_t dispatcher_count) {
    const std::string name = "n" + std::to_string(index);
    processes_[name].port = ports_[index];
    const auto local_address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    plan_.client_addresses[name] = relays_.add_route("clients", name, local_address(ports_[index]));
    plan_.discovery_addresses[name] =
        relays_.add_route(name, "discovery", local_address(plan_.registry_port));
    for (int i = 0; i < plan_.scenario.workers; ++i) {
      const std::string worker = "w" + std::to_string(i);
      plan_.worker_addresses[name][worker] = relays_.add_route(
          name, worker, local_address(ports_[dispatcher_count + static_cast<std::size_t>(i)]));
    }
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto& [worker, address] : plan_.worker_addresses[name])
      endpoints.push_back({{"host", worker},
                           {"dial", address},
                           {"site", plan_.zones.at(worker)},
                           {"class", "lab"},
                           {"health", "Ready"},
                           {"born_ms", 0}});
    nlohmann::json config =
        config_json(nlohmann::json({{"seq", 0}, {"whole", true}, {"hosts", endpoints}}).dump(),
                    plan_.discovery_addresses[name], ports_[index]);
    config["name"] = name;
    config["settings"]["Balancers"] = plan_.scenario.dispatchers;
    config["settings"]["MyNumber"] = index;
    config["settings"]["MyZone"] = plan_.zones.at(name);
    config["settings"]["Domain"]["TellsStart"] = true;
    std::ofstream(file(name + ".json")) << config.dump(1) << '\n';
    fs::create_directories(file("tmp-" + name));
  }

  void start(const std::string& name, ManagedProcess& managed) {
    if (name.front() == 'n' && fleet_)
      managed.process = fleet_->start_supervisor(name);
    else if (name.front() == 'n')
      managed.process =
          ChildProcess({settings_.dispatcher_program, "serve", "--config", file(name + ".json")},
                       {{"TMPDIR", file("tmp-" + name)}}, file(name + ".log"));
    else
      managed.process = start_worker(name, managed);
  }
  ChildProcess start_worker(const std::string& name, const ManagedProcess& managed) const {
    std::vector<std::string> arguments{settings_.lab_program,        "worker",   "--port",
                                       std::to_string(managed.port), "--ledger", file(name + ".ledger")};
    if (plan_.scenario.steady) arguments.push_back("--steady");
    return ChildProcess(arguments, {}, file("workers.log"));
  }
  void await_ready(const std::string& name, ManagedProcess& managed) {
    while (now() < 0 && managed.process.is_running()) {
      if (managed.process.poll_exit()) break;
      JobClient client(managed.port);
      const auto response =
          client.send_request("GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n", clock_.now() + 200);
      if (response && response->status == 200) return;
      ::poll(nullptr, 0, 10);
    }
    throw std::runtime_error(name + " did not become ready; see " + file(name + ".log"));
  }

  // Begins and ends all faults in order of time.
  void run_schedule() {
    struct ScheduleEvent {
      double at_ms;
      std::size_t fault_index;
      bool begins;
    };
    std::vector<ScheduleEvent> events;
    for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
      events.push_back({plan_.faults[i].from_ms, i, true});
      events.push_back({plan_.faults[i].to_ms, i, false});
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const ScheduleEvent& a, const ScheduleEvent& b) { return a.at_ms < b.at_ms; });
    for (const ScheduleEvent& event : events) {
      while (now() < event.at_ms) poll_processes();
      const Fault& fault = plan_.faults[event.fault_index];
      if (is_link_fault(fault.kind))
        apply_link_fault(fault);
      else if (fault.kind != FaultKind::drain)
        inject_fault(fault, event.begins);
    }
    while (now() < plan_.scenario.seconds * 1'000) poll_processes();
  }

  // Faults of a supervised dispatcher go to its own processes; the supervisor restarts them.
  void inject_supervised_fault(const Fault& fault, bool begins) {
    if (is_controller_fault(fault.kind)) return fleet_->inject_fault(fault.kind, begins);
    if (fault.kind == FaultKind::kill) {
      if (!begins) return;
      const auto pids = fleet_->process_ids(fault.process);
      if (!pids.empty()) ::kill(pids.front(), SIGKILL);
    } else if (begins) {
      stopped_pids_[&fault] = fleet_->process_ids(fault.process);
      for (const pid_t pid : stopped_pids_[&fault]) ::kill(pid, SIGSTOP);
    } else {
      for (const pid_t pid : stopped_pids_[&fault]) ::kill(pid, SIGCONT);
    }
  }

  void inject_fault(const Fault& fault, bool begins) {
    const bool is_dispatcher_fault = fault.kind == FaultKind::kill || fault.kind == FaultKind::stop;
    if (fleet_ && (is_dispatcher_fault || is_controller_fault(fault.kind)))
      return inject_supervised_fault(fault, begins);
    if (is_controller_fault(fault.kind)) return;  // no controller in this run
    ManagedProcess& managed = processes_.at(fault.process);
    if (fault.kind == FaultKind::stop || fault.kind == FaultKind::supervisor_stop) {
      if (managed.process.is_running()) ::kill(managed.process.pid(), begins ? SIGSTOP : SIGCONT);
    } else if (begins) {
      managed.process.kill();
      managed.active_outages += 1;
    } else if (--managed.active_outages == 0) {
      start(fault.process, managed);
    }
  }
  // Of several active faults on one link the last one started applies.
  void apply_link_fault(const Fault& changed) {
    std::optional<FaultKind> kind;
    for (const Fault& fault : plan_.faults)
      if (is_link_fault(fault.kind) && fault.process == changed.process && fault.peer == changed.peer &&
          fault.from_ms <= now() && now() < fault.to_ms)
        kind = fault.kind;
    relays_.set_fault(changed.process, changed.peer, kind);
  }

  void poll_processes() {
    ::poll(nullptr, 0, kPollIntervalMs);
    for (auto& [name, managed] : processes_)
      if (const auto status = managed.process.poll_exit()) {
        crashes_.push_back(name + ": exited unexpectedly, status " + std::to_string(*status));
        start(name, managed);
      }
    if (fleet_) fleet_->poll_controller(now());
    if (!settings_.progress || now() < last_progress_ms_ + kProgressIntervalMs) return;
    last_progress_ms_ = now();
    std::fprintf(stderr, "%.0f of %.0f s\n", last_progress_ms_ / 1'000, plan_.scenario.seconds);
  }
  // Waits until the last queries of the clients have ended.
  void await_clients(std::vector<ChildProcess>& clients) {
    const double deadline_ms = plan_.scenario.seconds * 1'000 + 3 * plan_.scenario.budget_ms + 5'000;
    for (ChildProcess& client : clients) {
      std::optional<int> status;
      while (!(status = client.poll_exit()) && now() < deadline_ms) poll_processes();
      if (!status || *status != 0)
        crashes_.push_back("clients: failed or did not exit in time; see clients.log");
    }
  }
  void stop(const std::string& name, ManagedProcess& managed) {
    if (name.front() != 'n') return managed.process.kill();
    if (!managed.process.is_running()) return;
    const int status = managed.process.terminate();
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
      crashes_.push_back(name + ": status " + std::to_string(status) + " when it was stopped");
  }

  const RunSettings settings_;
  core::Clock clock_;
  Plan plan_;
  std::vector<int> ports_;
  Relays relays_;
  // Dispatchers n0, n1... or their supervisors, and workers w0, w1...
  std::map<std::string, ManagedProcess> processes_;
  std::optional<Fleet> fleet_;
  std::map<const Fault*, std::vector<pid_t>> stopped_pids_;
  ChildProcess registry_;
  std::vector<std::string> crashes_;
  double last_progress_ms_ = 0;
};

}  // namespace

RunResult run(const Scenario& scenario, const RunSettings& settings) {
  return TestCluster(scenario, settings).run();
}

}  // namespace woadtide::lab::cluster
