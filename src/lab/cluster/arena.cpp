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

constexpr double kLeadMs = 2'000;  // for all processes to start, before the run's time begins
constexpr double kProgressMs = 5'000;
constexpr int kStepMs = 2;
constexpr double kChangeEndMs = 40'000;  // behind the load, for a change to come to its end
constexpr double kKillMs = 400;          // until a kill shows in a supervisor's history

class Arena {
 public:
  Arena(const Scenario& scenario, const RunSettings& settings) : settings_(settings) {
    plan_.scenario = scenario;
    plan_.seed = settings.seed;
    plan_.faults = draw(scenario, settings.seed);
    fs::create_directories(settings.folder);
    const auto nodes = static_cast<std::size_t>(scenario.dispatchers),
               workers = static_cast<std::size_t>(scenario.workers);
    ports_ = free_ports(nodes + workers + 1 + (scenario.change.on ? 3 * nodes : 0));
    plan_.registry_port = ports_[nodes + workers];
    const auto zone = [&](std::size_t number) {
      return std::string(1, static_cast<char>('a' + number % static_cast<std::size_t>(scenario.zones)));
    };
    for (std::size_t i = 0; i < workers; ++i) plan_.zones["w" + std::to_string(i)] = zone(i);
    for (std::size_t i = 0; i < nodes; ++i) plan_.zones["n" + std::to_string(i)] = zone(i);
    for (std::size_t i = 0; i < nodes; ++i) wire(i, nodes);
    for (std::size_t i = 0; i < workers; ++i) boxes_["w" + std::to_string(i)].port = ports_[nodes + i];
    if (scenario.change.on)
      fleet_.emplace(
          plan_, fs::absolute(settings.folder).string(),
          Programs{fs::absolute(settings.dispatcher).string(), settings.first, settings.next}, relays_,
          std::vector<int>(ports_.begin() + static_cast<std::ptrdiff_t>(nodes + workers + 1), ports_.end()));
  }

  Run run() {
    plan_.start_ms = clock_.now() + kLeadMs;
    write_plan(plan_, file("plan.json"));
    registry_ =
        Process({settings_.self, "registry", "--plan", file("plan.json"), "--record", file("told.jsonl")}, {},
                file("registry.log"));
    for (auto& [name, box] : boxes_) start(name, box);
    for (auto& [name, box] : boxes_)
      if (name.front() == 'n') await_ready(name, box);
    std::vector<Process> clients;
    for (const auto& [name, dial] : plan_.clients)
      clients.emplace_back(
          std::vector<std::string>{settings_.self, "clients", "--plan", file("plan.json"), "--to", name,
                                   "--record", file("asked-" + name + ".jsonl")},
          std::map<std::string, std::string>{}, file("clients.log"));
    play();
    await_end(clients);
    Run done;
    if (fleet_) {
      done.change = judge_change(end_of_change());
      if (!done.change->good())
        crashes_.insert(crashes_.end(), done.change->lines.begin(), done.change->lines.end());
    }
    for (auto& [name, box] : boxes_)
      if (box.process.alive()) ::kill(box.process.pid(), SIGTERM);  // all at once: an end takes seconds
    for (auto& [name, box] : boxes_) end(name, box);
    registry_.kill();
    const Books books = read_books(plan_, settings_.folder);
    done.findings = judge(plan_, books);
    Findings& found = done.findings;
    found.crashes = static_cast<int>(crashes_.size());
    found.lines.insert(found.lines.end(), crashes_.begin(), crashes_.end());
    write_report(plan_, books, found, file("report.html"));
    return done;
  }

 private:
  struct Box {
    int port = 0, down = 0;  // down: faults that keep it so
    Process process;
  };
  std::string file(const std::string& name) const { return settings_.folder + '/' + name; }
  double now() const { return clock_.now() - plan_.start_ms; }

  // What ended unordered is by a fault of the schedule, or by the new version's flaw: then its queries had no
  // chance, as with a kill.
  ChangeBooks end_of_change() {
    const double until = now() + kChangeEndMs;
    while (!fleet_->over() && now() < until) look_after();
    const ChangeBooks books = fleet_->end();
    for (const std::string& line : fleet_->crashes()) crashes_.push_back(line);
    std::map<int, std::string> versions;
    for (const Life& life : books.lives) {
      if (life.what == "start") versions[life.pid] = life.version;
      if (life.what != "gone" || !life.unordered) continue;
      const double at = life.at_ms - plan_.start_ms;
      const bool ordered = std::any_of(plan_.faults.begin(), plan_.faults.end(), [&](const Fault& fault) {
        return fault.kind == Kind::kill && fault.at == life.member && fault.from_ms - kKillMs <= at &&
               at <= fault.from_ms + kKillMs;
      });
      const bool flawed = plan_.scenario.change.flaw != "none" && versions[life.pid] != books.old_version;
      if (!ordered && !flawed) crashes_.push_back(life.member + ": a process ended, and nobody ordered it");
      if (flawed) plan_.faults.push_back({at - kKillMs, at + kKillMs, Kind::kill, life.member, {}});
    }
    return books;
  }

  void wire(std::size_t number, std::size_t nodes) {
    const std::string name = "n" + std::to_string(number);
    boxes_[name].port = ports_[number];
    const auto dial = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    plan_.clients[name] = relays_.add("clients", name, dial(ports_[number]));
    plan_.discovery[name] = relays_.add(name, "discovery", dial(plan_.registry_port));
    for (int i = 0; i < plan_.scenario.workers; ++i) {
      const std::string worker = "w" + std::to_string(i);
      plan_.workers[name][worker] =
          relays_.add(name, worker, dial(ports_[nodes + static_cast<std::size_t>(i)]));
    }
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto& [worker, at] : plan_.workers[name])
      hosts.push_back({{"host", worker},
                       {"dial", at},
                       {"site", plan_.zones.at(worker)},
                       {"class", "lab"},
                       {"health", "Ready"},
                       {"born_ms", 0}});
    nlohmann::json config =
        config_json(nlohmann::json({{"seq", 0}, {"whole", true}, {"hosts", hosts}}).dump(),
                    plan_.discovery[name], ports_[number]);
    config["name"] = name;
    config["settings"]["Balancers"] = plan_.scenario.dispatchers;
    config["settings"]["MyNumber"] = number;
    config["settings"]["MyZone"] = plan_.zones.at(name);
    config["settings"]["Domain"]["TellsStart"] = true;
    std::ofstream(file(name + ".json")) << config.dump(1) << '\n';
    fs::create_directories(file("tmp-" + name));
  }

  void start(const std::string& name, Box& box) {
    if (name.front() == 'n' && fleet_)
      box.process = fleet_->supervisor(name);
    else if (name.front() == 'n')
      box.process = Process({settings_.dispatcher, "serve", "--config", file(name + ".json")},
                            {{"TMPDIR", file("tmp-" + name)}}, file(name + ".log"));
    else
      box.process = worker(name, box);
  }
  Process worker(const std::string& name, const Box& box) const {
    std::vector<std::string> words{settings_.self,           "worker",   "--port",
                                   std::to_string(box.port), "--ledger", file(name + ".ledger")};
    if (plan_.scenario.steady) words.push_back("--steady");
    return Process(words, {}, file("workers.log"));
  }
  void await_ready(const std::string& name, Box& box) {
    while (now() < 0 && box.process.alive()) {
      if (box.process.ended()) break;
      JobClient client(box.port);
      const auto heard = client.call("GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n", clock_.now() + 200);
      if (heard && heard->status == 200) return;
      ::poll(nullptr, 0, 10);
    }
    throw std::runtime_error(name + " did not get ready; see " + file(name + ".log"));
  }

  // Begins and ends of all faults, in order.
  void play() {
    struct Turn {
      double at;
      std::size_t fault;
      bool begins;
    };
    std::vector<Turn> turns;
    for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
      turns.push_back({plan_.faults[i].from_ms, i, true});
      turns.push_back({plan_.faults[i].to_ms, i, false});
    }
    std::stable_sort(turns.begin(), turns.end(), [](const Turn& a, const Turn& b) { return a.at < b.at; });
    for (const Turn& turn : turns) {
      while (now() < turn.at) look_after();
      const Fault& fault = plan_.faults[turn.fault];
      if (is_of_link(fault.kind))
        set_link(fault);
      else if (fault.kind != Kind::drain)
        strike(fault, turn.begins);
    }
    while (now() < plan_.scenario.seconds * 1'000) look_after();
  }

  // Under a supervisor a dispatcher's own processes are struck: the supervisor starts them again.
  void strike_supervised(const Fault& fault, bool begins) {
    if (is_of_controller(fault.kind)) return fleet_->strike(fault.kind, begins);
    if (fault.kind == Kind::kill) {
      if (!begins) return;
      const auto all = fleet_->processes(fault.at);
      if (!all.empty()) ::kill(all.front(), SIGKILL);
    } else if (begins) {
      stopped_[&fault] = fleet_->processes(fault.at);
      for (const pid_t pid : stopped_[&fault]) ::kill(pid, SIGSTOP);
    } else {
      for (const pid_t pid : stopped_[&fault]) ::kill(pid, SIGCONT);
    }
  }

  void strike(const Fault& fault, bool begins) {
    const bool of_child = fault.kind == Kind::kill || fault.kind == Kind::stop;
    if (fleet_ && (of_child || is_of_controller(fault.kind))) return strike_supervised(fault, begins);
    if (is_of_controller(fault.kind)) return;  // nothing of that kind is here
    Box& box = boxes_.at(fault.at);
    if (fault.kind == Kind::stop || fault.kind == Kind::supervisor_stop) {
      if (box.process.alive()) ::kill(box.process.pid(), begins ? SIGSTOP : SIGCONT);
    } else if (begins) {
      box.process.kill();
      box.down += 1;
    } else if (--box.down == 0) {
      start(fault.at, box);
    }
  }
  // Of several on one link the newest holds.
  void set_link(const Fault& changed) {
    std::optional<Kind> kind;
    for (const Fault& fault : plan_.faults)
      if (is_of_link(fault.kind) && fault.at == changed.at && fault.to == changed.to &&
          fault.from_ms <= now() && now() < fault.to_ms)
        kind = fault.kind;
    relays_.set(changed.at, changed.to, kind);
  }

  void look_after() {
    ::poll(nullptr, 0, kStepMs);
    for (auto& [name, box] : boxes_)
      if (const auto status = box.process.ended()) {
        crashes_.push_back(name + ": ended by itself, status " + std::to_string(*status));
        start(name, box);
      }
    if (fleet_) fleet_->look_after(now());
    if (!settings_.progress || now() < said_ + kProgressMs) return;
    said_ = now();
    std::fprintf(stderr, "%.0f of %.0f s\n", said_ / 1'000, plan_.scenario.seconds);
  }
  // The clients' last queries come to their end.
  void await_end(std::vector<Process>& clients) {
    const double until = plan_.scenario.seconds * 1'000 + 3 * plan_.scenario.budget_ms + 5'000;
    for (Process& one : clients) {
      std::optional<int> status;
      while (!(status = one.ended()) && now() < until) look_after();
      if (!status || *status != 0) crashes_.push_back("clients: did not end well; see clients.log");
    }
  }
  void end(const std::string& name, Box& box) {
    if (name.front() != 'n') return box.process.kill();
    if (!box.process.alive()) return;
    const int status = box.process.end();
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
      crashes_.push_back(name + ": status " + std::to_string(status) + " at its planned end");
  }

  const RunSettings settings_;
  core::Clock clock_;
  Plan plan_;
  std::vector<int> ports_;
  Relays relays_;
  std::map<std::string, Box> boxes_;  // dispatchers n0... or their supervisors, workers w0...
  std::optional<Fleet> fleet_;
  std::map<const Fault*, std::vector<pid_t>> stopped_;
  Process registry_;
  std::vector<std::string> crashes_;
  double said_ = 0;
};

}  // namespace

Run run(const Scenario& scenario, const RunSettings& settings) { return Arena(scenario, settings).run(); }

}  // namespace woadtide::lab::cluster
