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

constexpr int kPassedSocket = 3;
constexpr int kTurnMs = 20;
constexpr double kAskEveryMs = 100, kLookEveryMs = 500;  // a child that starts; one that leads
constexpr double kAnswerMs = 150;                        // for a child, on loopback
constexpr double kTetherMs = 300;
constexpr double kExamineMs = 5'000;  // for each of the two looks at a version
constexpr double kCallerMs = 2'000;
constexpr std::size_t kMostCallers = 16, kMostLine = 16 * 1024;

// A process by its number and its start: the number alone may be another one's by now.
struct Process {
  pid_t pid = 0;
  unsigned long long start = 0;
};

// The fields of /proc/PID/stat behind the name, from the state on.
std::vector<std::string> stat_of(pid_t pid) {
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

unsigned long long start_of(pid_t pid) {
  const auto fields = stat_of(pid);
  if (fields.size() <= kStartField || fields[kStateField] == "Z") return 0;
  return std::strtoull(fields[kStartField].c_str(), nullptr, 10);
}
bool lives(const Process& process) { return process.pid > 0 && start_of(process.pid) == process.start; }

double cpu_ms_of(pid_t pid) {
  const auto fields = stat_of(pid);
  if (fields.size() <= kSystemTicks) return 0;
  const double ticks = std::atof(fields[kUserTicks].c_str()) + std::atof(fields[kSystemTicks].c_str());
  return ticks * 1'000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}
double memory_mb_of(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string last_line(const std::string& path) {
  std::ifstream file(path);
  std::string last;
  for (std::string line; std::getline(file, line);)
    if (!line.empty()) last = line;
  return last;
}

struct Held {  // of a slot
  Process process;
  bool ours = false;    // its parent: its end comes by waitpid
  bool synced = false;  // evacuation and bans were told to it
  double asked_at = 0;
};

class Supervisor {
 public:
  explicit Supervisor(const Setup& setup)
      : setup_(setup),
        file_(setup.folder + "/state"),
        versions_(setup.folder + "/versions"),
        control_(begin()) {
    find_children();
    if (core_.newest() == 0 && core_.lead() < 0) save_or_throw();
  }

  int run() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int one : {SIGTERM, SIGINT, SIGCHLD, SIGUSR1}) sigaddset(&signals, one);
    const park::Fd told(::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!told) throw std::system_error(errno, std::generic_category(), "signals");
    for (;;) {
      signalfd_siginfo info{};
      while (::read(told.get(), &info, sizeof info) == sizeof info) {
        if (info.ssi_signo == SIGUSR1) {
          core::log_line("supervise: gone by SIGUSR1; the dispatcher goes on, the next supervisor finds it");
          return 0;
        }
        if (info.ssi_signo == SIGTERM || info.ssi_signo == SIGINT) {
          note({{"what", "end"}});
          listener_ = net::Socket();  // what comes from here on is refused, once the child listens no more
          apply([&] { return core_.end(clock_.now()); });
        }
      }
      look_after();
      if (core_.over()) return 0;
      wait(told.get());
    }
  }

 private:
  struct Caller {
    net::Socket socket;
    std::string come, answer;
    double since = 0;
    bool answered = false, over = false;
  };
  struct Examination {
    std::uint64_t number = 0;
    Version version;
    pid_t pid = 0;
    bool checking = false;  // the second look: check-config
    double until = 0;
  };

  std::string file(const std::string& name) const { return setup_.folder + '/' + name; }
  std::string tether(int slot) const { return file("child-" + std::to_string(slot) + ".sock"); }
  std::string mark(int slot) const { return file("child-" + std::to_string(slot) + ".pid"); }
  Held& held(int slot) { return held_.at(static_cast<std::size_t>(slot)); }

  // Begin ------------------------------------------------------------------------------------------------

  net::Socket begin() {
    for (const char* name : {"", "/tmp", "/versions"}) fs::create_directories(setup_.folder + name);
    lock_ = park::Fd(::open(file("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock_ || ::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
      throw std::runtime_error(setup_.folder + ": another supervisor runs here");
    const core::Config config = core::load_config(setup_.config);
    if (!config.management.empty())
      throw std::runtime_error(setup_.config +
                               ": names a second address; supervise.management does, one for each child");
    history_ =
        park::Fd(::open(file("history.jsonl").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    const state::Read read = file_.read();
    if (!read.trouble.empty()) core::log_line("supervise: " + read.trouble);
    if (read.text) {
      core_ = Core::from(*read.text, setup_.limits);
    } else {
      Version first = versions_.take(setup_.program, setup_.settings);
      first.kin = core::kKinVersion;
      core_ = Core(first, setup_.limits);
    }
    return net::Socket::listen_at(net::Address(setup_.control));
  }

  void save_or_throw() {
    file_.write(core_.text());
    saved_ = core_.text();
  }

  // Those of a former life. The socket comes back from the one that leads; without one it is opened anew.
  void find_children() {
    bool any = false;
    for (int slot = 0; slot < Core::kSlots; ++slot) {
      Process process;
      std::string id;
      std::ifstream(mark(slot)) >> process.pid >> process.start >> id;
      if (!lives(process)) continue;
      any = true;
      held(slot) = {process, false, false, 0};
      Version version = core_.wanted();
      for (const auto& one : {std::optional(core_.good()), core_.candidate(), core_.before()})
        if (one && one->id == id) version = *one;
      core_.adopt(clock_.now(), slot, version);
      net::Tethered found = net::reach(tether(slot), kTetherMs);
      if (found.pid == process.pid && found.listener) listener_ = std::move(found.listener);
      core::log_line("supervise: found process " + std::to_string(process.pid) + " of version " + id +
                     (listener_ ? "" : ", which cannot give the listening socket back"));
      note({{"what", "found"}, {"slot", slot}, {"pid", process.pid}, {"version", id}});
    }
    if (!any) listen();
    core_.set_socket(static_cast<bool>(listener_));
  }

  void listen() {
    listener_ = net::Socket::listen_at(net::Address(setup_.listen));
    core_.set_socket(true);
  }

  // Children ---------------------------------------------------------------------------------------------

  // It waits for its mark to be written: a supervisor that dies in between leaves no child that nobody knows.
  void start(int slot, const Version& version) {
    std::array<int, 2> gate{};
    if (::pipe2(gate.data(), O_CLOEXEC) != 0) return begin_failed(slot, errno);
    const park::Fd wait(gate[0]);
    park::Fd go(gate[1]);
    std::vector<std::string> words{version.program, "serve", "--config", setup_.config};
    if (!version.settings.empty()) words.insert(words.end(), {"--operator", version.settings});
    const std::map<std::string, std::string> sets{
        {"TMPDIR", file("tmp")},
        {"ROUTER_PASSED_SOCKET", std::to_string(kPassedSocket)},
        {"ROUTER_MANAGEMENT", setup_.management.at(static_cast<std::size_t>(slot))},
        {"WOADTIDE_TETHER", tether(slot)},
        {"WOADTIDE_OPERATOR", ""}};
    const pid_t pid = spawn(words, sets, listener_.fd(), -1, wait.get(), go.get());
    if (pid < 0) return begin_failed(slot, errno);
    held(slot) = {{pid, start_of(pid)}, true, false, 0};
    std::ofstream(mark(slot)) << pid << ' ' << held(slot).process.start << ' ' << version.id << '\n';
    note({{"what", "start"}, {"slot", slot}, {"pid", pid}, {"version", version.id}});
    core::log_line("supervise: process " + std::to_string(pid) + " starts, version " + version.id);
    if (::write(go.get(), "g", 1) != 1) core::log_line("supervise: a child ended at once");
  }
  void begin_failed(int slot, int error) {
    core::log_line("supervise: no child: " + std::generic_category().message(error));
    held(slot) = {};
    unborn_ = slot;
  }

  // This process has one thread, so a fork may be followed by more than an exec. `socket` becomes descriptor
  // kPassedSocket, `out` standard output; `wait`: before the exec, a byte has to come there.
  static pid_t spawn(const std::vector<std::string>& words, const std::map<std::string, std::string>& sets,
                     int socket, int out, int wait, int go) {
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    if (go >= 0) ::close(go);
    char byte = 0;
    if (wait >= 0 && ::read(wait, &byte, 1) != 1) ::_exit(1);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (out >= 0) ::dup2(out, STDOUT_FILENO);
    if (out >= 0) ::dup2(out, STDERR_FILENO);
    if (socket == kPassedSocket) ::fcntl(socket, F_SETFD, 0);
    if (socket >= 0 && socket != kPassedSocket) ::dup2(socket, kPassedSocket);
    for (const auto& [name, value] : sets)
      value.empty() ? ::unsetenv(name.c_str()) : ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> arguments;
    for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }

  void carry_out(const Effects& effects) {
    for (const Effect& effect : effects) {
      const pid_t pid = held(effect.slot).process.pid;
      switch (effect.kind) {
        case Effect::Kind::start:
          start(effect.slot, effect.version);
          break;
        case Effect::Kind::term:
          if (lives(held(effect.slot).process)) ::kill(pid, SIGTERM);
          break;
        case Effect::Kind::kill:
          if (lives(held(effect.slot).process)) ::kill(pid, SIGKILL);
          break;
        case Effect::Kind::examine:
          examine(effect);
          break;
      }
    }
  }

  // Outside of orders a state that cannot be written does not keep the dispatcher from being looked after.
  void apply(const std::function<Effects()>& event) {
    Effects effects = event();
    try {
      if (core_.text() != saved_) save_or_throw();
      unsaved_ = false;
    } catch (const std::exception& failed) {
      if (!std::exchange(unsaved_, true)) core::log_line(std::string("supervise: ") + failed.what());
    }
    carry_out(effects);
    if (unborn_ >= 0) {
      const int slot = std::exchange(unborn_, -1);
      apply([&] { return core_.ended(clock_.now(), slot); });
    }
  }

  void look_after() {
    for (int status = 0; const pid_t pid = ::waitpid(-1, &status, WNOHANG);) {
      if (pid < 0) break;
      if (examination_ && pid == examination_->pid) {
        examined(status);
        continue;
      }
      for (int slot = 0; slot < Core::kSlots; ++slot)
        if (held(slot).process.pid == pid) gone(slot, status);
    }
    for (int slot = 0; slot < Core::kSlots; ++slot) {
      if (held(slot).process.pid > 0 && !held(slot).ours && !lives(held(slot).process)) gone(slot, -1);
      if (held(slot).process.pid > 0) ask(slot);
    }
    if (!listener_ && !core_.over() && held(0).process.pid == 0 && held(1).process.pid == 0) try_listen();
    if (examination_ && clock_.now() >= examination_->until) ::kill(examination_->pid, SIGKILL);
    apply([&] { return core_.tick(clock_.now()); });
  }
  void try_listen() {
    try {
      listen();
    } catch (const std::system_error&) {  // the next turn tries again
    }
  }

  void gone(int slot, int status) {
    const pid_t pid = std::exchange(held(slot), {}).process.pid;
    const Stands stood = core_.child(slot).stands;
    const std::string how = status < 0            ? "ended"
                            : WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                                                  : "ended with " + std::to_string(WEXITSTATUS(status));
    core::log_line("supervise: process " + std::to_string(pid) + ' ' + how +
                   (stood == Stands::serving ? ", unordered" : ""));
    note({{"what", "gone"},
          {"slot", slot},
          {"pid", pid},
          {"unordered", stood == Stands::serving},
          {"how", how}});
    fs::remove(mark(slot));
    apply([&] { return core_.ended(clock_.now(), slot); });
  }

  // A child that answers at its second address serves, evacuated or not.
  void ask(int slot) {
    const Child& child = core_.child(slot);
    Held& held = this->held(slot);
    const bool starts = child.stands == Stands::starting;
    if (!starts && child.stands != Stands::serving) return;
    if (clock_.now() < held.asked_at + (starts ? kAskEveryMs : kLookEveryMs)) return;
    const std::string& at = setup_.management.at(static_cast<std::size_t>(slot));
    const auto answer = net::call(at, "readyz", kAnswerMs);
    held.asked_at = clock_.now();
    if (!answer) return;
    if (starts) {
      note({{"what", "serves"}, {"slot", slot}, {"pid", held.process.pid}, {"version", child.version.id}});
      sync(slot);  // before its predecessor is told to end
      apply([&] { return core_.serves(clock_.now(), slot); });
      if (core_.progress() == Core::Progress::done) forget_versions();
    } else if (!held.synced) {
      sync(slot);
    } else if (const bool out = *answer != "done ready"; out != core_.evacuated()) {
      core_.evacuate(out);  // somebody said so there
    }
  }
  void sync(int slot) {
    const std::string& at = setup_.management.at(static_cast<std::size_t>(slot));
    bool all = true;
    if (core_.evacuated()) all = net::call(at, "evacuate", kAnswerMs).has_value();
    for (const std::string& worker : core_.excluded()) {
      const auto said = net::call(at, "exclude " + worker, kAnswerMs);
      all = all && said && said->starts_with("done");
    }
    held(slot).synced = all;
  }

  void forget_versions() {
    std::vector<std::string> ids{core_.wanted().id, core_.good().id};
    for (const auto& one : {core_.candidate(), core_.before()})
      if (one) ids.push_back(one->id);
    for (int slot = 0; slot < Core::kSlots; ++slot) ids.push_back(core_.child(slot).version.id);
    versions_.keep_only(ids);
  }

  // Looking at a version: what it says of itself, then whether the files are good for it.
  void examine(const Effect& effect) {
    Examination look;
    look.number = effect.number;
    std::string why;
    try {
      look.version = versions_.take(effect.program, effect.settings);
    } catch (const std::exception& wrong) {
      why = wrong.what();
    }
    if (!why.empty()) return apply([&] { return core_.examined(clock_.now(), look.number, {}, why); });
    if (examination_) ::kill(examination_->pid, SIGKILL);
    examination_ = std::move(look);
    run_look({examination_->version.program, "version", "--json"});
  }
  void run_look(const std::vector<std::string>& words) {
    const park::Fd out(::open(file("look.txt").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    examination_->pid = spawn(words, {{"WOADTIDE_OPERATOR", ""}, {"ROUTER_MANAGEMENT", ""}, {"TMPDIR", ""}},
                              -1, out.get(), -1, -1);
    examination_->until = clock_.now() + kExamineMs;
  }
  void examined(int status) {
    Examination& look = *examination_;
    const bool good = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    std::string why;
    if (!look.checking) {
      // A program of before versions were told does not know the word.
      const json said = json::parse(last_line(file("look.txt")), nullptr, false);
      const bool refused = WIFEXITED(status) && WEXITSTATUS(status) == 2;
      if (good && said.is_object()) look.version.kin = said.value("kin", 1);
      if (!good && !refused) why = "it cannot say its version";
      const int mine = core_.wanted().kin;
      if (std::abs(look.version.kin - mine) > 1)
        why = "it speaks version " + std::to_string(look.version.kin) +
              " to the process that runs, which speaks " + std::to_string(mine) + ": one step is the most";
      if (why.empty()) {
        look.checking = true;
        std::vector<std::string> words{look.version.program, "check-config", "--config", setup_.config};
        if (!look.version.settings.empty()) words.insert(words.end(), {"--operator", look.version.settings});
        return run_look(words);
      }
    } else if (!good) {
      why = last_line(file("look.txt"));
      if (why.empty()) why = "check-config did not end well";
    }
    const Examination done = *std::exchange(examination_, std::nullopt);
    apply([&] { return core_.examined(clock_.now(), done.number, done.version, why); });
  }

  // Callers ----------------------------------------------------------------------------------------------

  void wait(int told) {
    std::vector<pollfd> all{{told, POLLIN, 0}, {control_.fd(), POLLIN, 0}};
    for (const Caller& caller : callers_) all.push_back({caller.socket.fd(), POLLIN, 0});
    ::poll(all.data(), all.size(), kTurnMs);
    if (all[1].revents) accept();
    for (Caller& caller : callers_) go_on(caller);
    callers_.remove_if([](const Caller& caller) { return caller.over; });
  }
  void accept() {
    net::Socket socket{park::Fd(::accept4(control_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK))};
    if (!socket) return;
    if (callers_.size() == kMostCallers) callers_.pop_front();
    callers_.push_back({std::move(socket), {}, {}, clock_.now()});
  }
  void go_on(Caller& caller) {
    std::array<char, 4096> some{};
    std::size_t got = 0;
    net::Io io = net::Io::done;
    while ((io = caller.socket.receive(some.data(), some.size(), got)) == net::Io::done)
      if (!caller.answered) caller.come.append(some.data(), got);
    if (const std::size_t end = caller.come.find('\n'); !caller.answered && end != std::string::npos) {
      caller.answered = true;
      caller.answer = answer(caller.come.substr(0, end)) + '\n';
      caller.since = clock_.now();
    }
    if (caller.answered && !caller.answer.empty()) {
      caller.answer.erase(0, caller.socket.send_some({caller.answer}));
      if (caller.answer.empty()) caller.socket.shut(SHUT_WR);
    }
    caller.over = io == net::Io::broken || (io == net::Io::ended && caller.answer.empty()) ||
                  clock_.now() > caller.since + kCallerMs || caller.come.size() > kMostLine;
  }

  std::string answer(const std::string& line) {
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::string call = line.substr(0, space), rest = line.substr(std::min(space + 1, line.size()));
    try {
      if (call == "status" && rest.empty()) return "done " + status().dump();
      if (call == "figures" && rest.empty()) return figures();
      if (call == "order") return order(json::parse(rest));
      if ((call == "evacuate" || call == "activate") && rest.empty()) return evacuate(call == "evacuate");
      if ((call == "exclude" || call == "include") && !rest.empty()) return exclude(call, rest);
    } catch (const std::exception& wrong) {
      return std::string("error ") + wrong.what();
    }
    return "error no such call";
  }

  std::string order(const json& said) {
    Order order;
    const auto kind = order_kind_of(said.at("kind"));
    if (!kind) return "error no such order";
    order.kind = *kind;
    order.controller = said.at("controller");
    order.change = said.at("change");
    order.number = said.at("number");
    order.program = said.value("program", "");
    order.settings = said.value("settings", "");
    order.take_over = said.value("take_over", false);
    if (order.kind == Order::Kind::check && order.program.empty()) order.program = core_.wanted().program;
    Core tried = core_;
    Effects effects;
    const std::string why = tried.ordered(clock_.now(), order, effects);
    if (!why.empty()) return "error " + why;
    const std::string text = tried.text();
    if (text != saved_) {
      file_.write(text);  // what cannot be kept is not taken
      saved_ = text;
    }
    core_ = std::move(tried);
    note({{"what", "order"},
          {"kind", word_of(order.kind)},
          {"number", order.number},
          {"change", order.change}});
    carry_out(effects);
    if (order.kind == Order::Kind::keep_out && core_.lead() >= 0) sync(core_.lead());
    return "done taken";
  }

  std::string evacuate(bool out) {
    core_.evacuate(out);
    save_or_throw();
    const int lead = core_.lead();
    if (lead < 0) return "done";
    held(lead).synced = false;
    const auto said = net::call(setup_.management.at(static_cast<std::size_t>(lead)),
                                out ? "evacuate" : "activate", kAnswerMs);
    held(lead).synced = said.has_value();
    return said ? "done" : "error it is not done yet";
  }
  std::string exclude(const std::string& call, const std::string& worker) {
    core_.exclude(worker, call == "exclude");
    save_or_throw();
    const int lead = core_.lead();
    if (lead < 0) return "done";
    return net::call(setup_.management.at(static_cast<std::size_t>(lead)), call + ' ' + worker, kAnswerMs)
        .value_or("error it is not done yet");
  }

  json status() {
    const int lead = core_.lead();
    const auto id = [](const std::optional<Version>& version) {
      return version ? version->id : std::string();
    };
    constexpr std::array<const char*, 4> kStands = {"none", "starting", "serving", "leaving"};
    constexpr std::array<const char*, 4> kProgress = {"none", "working", "done", "failed"};
    json children = json::array();
    for (int slot = 0; slot < Core::kSlots; ++slot)
      if (core_.child(slot).stands != Stands::none)
        children.push_back({{"pid", held(slot).process.pid},
                            {"version", core_.child(slot).version.id},
                            {"stands", kStands[static_cast<std::size_t>(core_.child(slot).stands)]},
                            {"management", setup_.management.at(static_cast<std::size_t>(slot))}});
    return {{"name", setup_.name},
            {"zone", setup_.zone},
            {"serves", lead >= 0},
            {"version", lead >= 0 ? core_.child(lead).version.id : ""},
            {"pid", lead >= 0 ? held(lead).process.pid : 0},
            {"since_ms", lead >= 0 ? clock_.now() - core_.child(lead).since : 0},
            {"wanted", core_.wanted().id},
            {"good", core_.good().id},
            {"candidate", id(core_.candidate())},
            {"before", id(core_.before())},
            {"controller", core_.controller()},
            {"change", core_.change()},
            {"newest", core_.newest()},
            {"progress", kProgress[static_cast<std::size_t>(core_.progress())]},
            {"why", core_.why()},
            {"fell_back", core_.fell_back()},
            {"evacuated", core_.evacuated()},
            {"excluded", core_.excluded()},
            {"crashes", core_.crashes()},
            {"children", std::move(children)}};
  }

  std::string figures() {
    const int lead = core_.lead();
    if (lead < 0) return "error nobody serves";
    const std::string& at = setup_.management.at(static_cast<std::size_t>(lead));
    auto said = net::call(at, "figures", kAnswerMs);
    json classes;
    if (said && said->starts_with("done ")) {
      classes = json::parse(said->substr(5));
    } else {  // a program of before there were any
      said = net::call(at, "telemetry", kAnswerMs);
      if (!said || !said->ends_with("\nend")) return "error no figures";
      classes = json::parse(core::text_of(core::read_telemetry(*said)));
    }
    const pid_t pid = held(lead).process.pid;
    return "done " + json({{"pid", pid},
                           {"version", core_.child(lead).version.id},
                           {"crashes", core_.crashes()},
                           {"memory_mb", memory_mb_of(pid)},
                           {"cpu_ms", cpu_ms_of(pid)},
                           {"classes", std::move(classes)}})
                         .dump();
  }

  void note(json line) {
    line["at_ms"] = clock_.now();
    const std::string text = line.dump() + '\n';
    if (::write(history_.get(), text.data(), text.size()) < 0)
      return;  // it helps people, nothing hangs on it
  }

  const Setup setup_;
  core::Clock clock_;
  park::Fd lock_, history_;
  state::File file_;
  Versions versions_;
  Core core_{Version{}, Limits{}};
  net::Socket control_, listener_;
  std::array<Held, Core::kSlots> held_;
  std::optional<Examination> examination_;
  std::list<Caller> callers_;
  std::string saved_;
  bool unsaved_ = false;
  int unborn_ = -1;  // a slot whose child could not be started
};

}  // namespace

int run(const Setup& setup) { return Supervisor(setup).run(); }

}  // namespace woadtide::supervise
