#include "control/controller.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/signalfd.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "control/assessor.hpp"
#include "core/clock.hpp"
#include "net/line_call.hpp"
#include "net/socket.hpp"
#include "net/unix_socket.hpp"
#include "park/fd.hpp"
#include "state/state.hpp"
#include "supervise/supervise.hpp"

namespace woadtide::control {

namespace fs = std::filesystem;
using nlohmann::json;
using rollout::MemberState;
using rollout::Order;
using rollout::Phase;
using rollout::Rollout;

namespace {

constexpr int kStateFormat = 1;
constexpr double kMaxCallMs = 800;      // for a call to a supervisor
constexpr double kDownAfterMs = 3'000;  // a supervisor without an answer for this long counts as down
constexpr int kCommandTimeoutMs = 500;  // for a command over the folder's socket
constexpr const char* kCommandSocketName = "ask";

constexpr std::array<const char*, 6> kPhaseNames = {"checking",   "moving",   "baking",
                                                    "going back", "complete", "back"};
constexpr std::array<const char*, 6> kMemberStateNames = {"unchecked", "on old",    "moving",
                                                          "on new",    "returning", "left"};
constexpr std::array<const char*, 4> kOrderNames = {"check", "move", "go_back", "keep_out"};
const char* name_of(Phase phase) { return kPhaseNames[static_cast<std::size_t>(phase)]; }
const char* name_of(MemberState state) { return kMemberStateNames[static_cast<std::size_t>(state)]; }
const char* name_of(Order::Kind kind) { return kOrderNames[static_cast<std::size_t>(kind)]; }

SupervisorStatus read_standing(const config::RolloutSettings::Member& member,
                               const std::optional<std::string>& answer) {
  SupervisorStatus standing;
  standing.name = member.name;
  standing.zone = member.zone;
  standing.control = member.control;
  if (!answer || !answer->starts_with("done ")) return standing;
  const json status = json::parse(answer->substr(5), nullptr, false);
  try {
    standing.serving = status.at("serves");
    standing.version = status.at("version");
    standing.desired = status.at("wanted");
    standing.last_good = status.at("good");
    standing.candidate = status.at("candidate");
    standing.previous = status.at("before");
    standing.controller = status.at("controller");
    standing.change = status.at("change");
    standing.progress = status.at("progress");
    standing.failure_reason = status.at("why");
    standing.fallback_reason = status.at("fell_back");
    standing.last_order_number = status.at("newest");
    standing.evacuated = status.at("evacuated");
    standing.crashes = status.at("crashes");
    standing.reached = true;
  } catch (const json::exception&) {  // not a supervisor's answer: treated as not reached
  }
  return standing;
}

// Parses a supervisor's answer to `figures`; nothing if it is not one.
std::optional<Sample> read_sample(double now, const std::optional<std::string>& answer) {
  if (!answer || !answer->starts_with("done ")) return std::nullopt;
  try {
    const json stats = json::parse(answer->substr(5));
    Sample sample;
    sample.at_ms = now;
    sample.pid = stats.at("pid");
    sample.crashes = stats.at("crashes");
    sample.memory_mb = stats.at("memory_mb");
    sample.cpu_ms = stats.at("cpu_ms");
    sample.classes = core::parse_stats(stats.at("classes").dump());
    return sample;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Returns the queries per second of each member, averaged over the life of its process.
std::map<std::string, double> traffic_of(const config::RolloutSettings& settings) {
  std::vector<net::LineCall> calls;
  for (const auto& member : settings.members) {
    calls.push_back({member.control, "figures", std::nullopt});
    calls.push_back({member.control, "status", std::nullopt});
  }
  net::call_all(calls, kMaxCallMs);
  std::map<std::string, double> traffic;
  for (std::size_t i = 0; i < settings.members.size(); ++i) {
    const auto sample = read_sample(0, calls[2 * i].answer);
    const auto& answer = calls[2 * i + 1].answer;
    const json status =
        answer && answer->starts_with("done ") ? json::parse(answer->substr(5), nullptr, false) : json();
    if (!sample || !status.is_object()) continue;
    double queries = 0;
    for (const auto& [name, counts] : sample->classes) queries += static_cast<double>(counts.accepted);
    traffic[settings.members[i].name] = queries / std::max(status.value("since_ms", 0.0), 1.0);
  }
  return traffic;
}

std::string random_id() {
  std::random_device random;
  char id[17];
  std::snprintf(id, sizeof id, "%08x%08x", random(), random());
  return id;
}

std::string contents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the rollout and its members as JSON, in the form of `status`.
json describe(const Rollout& rollout, const std::map<std::string, SupervisorStatus>& standings) {
  json members = json::object();
  for (const auto& member : rollout.plan().members) {
    const auto found = standings.find(member.name);
    const SupervisorStatus none, &standing = found == standings.end() ? none : found->second;
    const auto order = rollout.outstanding_order(member.name);
    members[member.name] = {{"zone", member.zone},
                            {"place", name_of(rollout.member_state(member.name))},
                            {"reached", standing.reached},
                            {"serves", standing.serving},
                            {"version", standing.version},
                            {"crashes", standing.crashes},
                            {"evacuated", standing.evacuated},
                            {"order", order ? name_of(order->kind) : ""}};
  }
  return {{"change", rollout.plan().change},       {"phase", name_of(rollout.phase())},
          {"stage", rollout.stage() + 1},          {"stages", rollout.plan().stages},
          {"on_new", rollout.new_version_count()}, {"allowed", rollout.allowed_on_new()},
          {"paused", rollout.pause_reason()},      {"reason", rollout.rollback_reason()},
          {"members", std::move(members)}};
}

}  // namespace

std::vector<SupervisorStatus> query_supervisors(const config::RolloutSettings& settings, double within_ms) {
  std::vector<net::LineCall> calls;
  for (const auto& member : settings.members) calls.push_back({member.control, "status", std::nullopt});
  net::call_all(calls, within_ms);
  std::vector<SupervisorStatus> standings;
  for (std::size_t i = 0; i < calls.size(); ++i)
    standings.push_back(read_standing(settings.members[i], calls[i].answer));
  return standings;
}

rollout::Plan make_plan(const config::RolloutSettings& settings, const std::string& change) {
  rollout::Plan plan;
  plan.change = change;
  for (const auto& member : settings.members) plan.members.push_back({member.name, member.zone});
  plan.stages = settings.stages;
  const int total = static_cast<int>(settings.members.size());
  if (plan.stages.empty())
    for (const int stage : {1, (total + 3) / 4, total})
      if (plan.stages.empty() || stage > plan.stages.back()) plan.stages.push_back(stage);
  plan.baseline_ms = settings.look_ms;
  plan.bake_ms = settings.bake_ms;
  plan.stage_timeout_ms = settings.patience_ms;
  plan.order_timeout_ms = settings.step_ms;
  plan.max_attempts = static_cast<int>(settings.tries);
  return plan;
}

// Controller ----------------------------------------------------------------------------------------------

struct Controller::State {
  explicit State(const config::RolloutSettings& initial)
      : rollout_settings(initial),
        state_file(initial.folder + "/state"),
        baseline_file(initial.folder + "/past"),
        assessor(initial) {
    if (rollout_settings.folder.empty())
      throw std::runtime_error("rollout.folder is not set in the operator's file");
    fs::create_directories(rollout_settings.folder);
    lock = park::Fd(::open((rollout_settings.folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock || ::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
      throw std::runtime_error(rollout_settings.folder + ": another controller runs in this folder");
    history = park::Fd(::open((rollout_settings.folder + "/history.jsonl").c_str(),
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    if (!history)
      throw std::system_error(errno, std::generic_category(), rollout_settings.folder + "/history.jsonl");
    const state::ReadResult read = state_file.read();
    if (!read.warning.empty()) append_history({{"what", "trouble"}, {"why", read.warning}});
    if (read.text) restore(*read.text);
    if (id.empty()) id = random_id();
  }

  // Restores the state. Throws std::runtime_error if it is malformed or does not fit the operator's file.
  void restore(const std::string& text) {
    const json object = json::parse(text, nullptr, false);
    try {
      if (object.at("format") != kStateFormat)
        throw std::runtime_error(rollout_settings.folder + ": the stored change has format " +
                                 object.at("format").dump() + "; this program reads format " +
                                 std::to_string(kStateFormat));
      id = object.at("controller");
      change.program = object.at("program");
      change.settings = object.at("settings");
      change.take_over = object.at("take_over");
      object.at("candidates").get_to(candidates);
      object.at("moved_in").get_to(assessor.move_stages());
      baselines_complete = object.at("looked");
      rollout.emplace(Rollout::parse(object.at("rollout")));
    } catch (const json::exception& error) {
      throw std::runtime_error(rollout_settings.folder + ": " + error.what());
    } catch (const std::invalid_argument& error) {
      throw std::runtime_error(rollout_settings.folder + ": " + error.what());
    }
    for (const auto& member : rollout->plan().members)
      if (!is_configured(member.name))
        throw std::runtime_error(rollout_settings.folder + ": the stored change has member " + member.name +
                                 ", which is not in the operator's file");
  }
  bool is_configured(const std::string& name) const {
    return std::any_of(rollout_settings.members.begin(), rollout_settings.members.end(),
                       [&](const auto& member) { return member.name == name; });
  }

  std::string serialize() {
    return json({{"format", kStateFormat},
                 {"controller", id},
                 {"program", change.program},
                 {"settings", change.settings},
                 {"take_over", change.take_over},
                 {"candidates", candidates},
                 {"moved_in", assessor.move_stages()},
                 {"looked", baselines_complete},
                 {"rollout", rollout->serialize()}})
        .dump();
  }
  // Returns false if the state could not be stored; then no order may be sent.
  bool save() {
    const std::string state_text = serialize();
    if (state_text == saved_text) return true;
    try {
      state_file.write(state_text);
      saved_text = state_text;
      save_failed = false;
      return true;
    } catch (const std::exception& error) {
      if (!std::exchange(save_failed, true)) append_history({{"what", "trouble"}, {"why", error.what()}});
      return false;
    }
  }

  void append_history(json line) {
    line["at_ms"] = clock.now();
    if (rollout) line["change"] = rollout->plan().change;
    const std::string text = line.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    if (::write(history.get(), text.data(), text.size()) >= 0) ::fdatasync(history.get());
  }

  // Reports the progress whenever it has changed.
  void report_progress(const Controller::ProgressCallback& on_progress) {
    const auto& plan = rollout->plan();
    std::string summary = std::string(name_of(rollout->phase()));
    if (!rollout->finished() && rollout->phase() != Phase::checking)
      summary += ", stage " + std::to_string(rollout->stage() + 1) + " of " +
                 std::to_string(plan.stages.size()) + ", " + std::to_string(rollout->new_version_count()) +
                 " of " + std::to_string(rollout->allowed_on_new());
    if (!rollout->pause_reason().empty()) summary += ", paused: " + rollout->pause_reason();
    if (!rollout->rollback_reason().empty()) summary += ", because " + rollout->rollback_reason();
    std::string kept_out;
    for (const auto& member : plan.members)
      if (rollout->member_state(member.name) == MemberState::kept_out)
        kept_out += (kept_out.empty() ? "" : ", ") + member.name;
    if (!kept_out.empty()) summary += ", kept out: " + kept_out;
    if (summary == reported_progress) return;
    reported_progress = summary;
    json places = json::object();
    for (const auto& member : plan.members) places[member.name] = name_of(rollout->member_state(member.name));
    append_history({{"what", "state"},
                    {"phase", name_of(rollout->phase())},
                    {"stage", rollout->stage() + 1},
                    {"allowed", rollout->allowed_on_new()},
                    {"on_new", rollout->new_version_count()},
                    {"paused", rollout->pause_reason()},
                    {"reason", rollout->rollback_reason()},
                    {"places", std::move(places)}});
    if (on_progress) on_progress(plan.change + ": " + summary);
  }

  // Control cycle -----------------------------------------------------------------------------------------

  // Queries all supervisors, advances the rollout and sends the resulting orders.
  void run_cycle(const Controller::ProgressCallback& on_progress) {
    const double timeout_ms = std::min(rollout_settings.turn_ms, kMaxCallMs);
    const double queried_at = clock.now();
    for (SupervisorStatus& standing : query_supervisors(rollout_settings, timeout_ms)) {
      if (standing.reached) last_reached_at[standing.name] = queried_at;
      standings[standing.name] = std::move(standing);
    }
    if (started_at == 0) restore_after_start();
    for (const auto& member : rollout->plan().members) process_status(standings.at(member.name));
    collect_statistics();
    assessor.assess(clock.now(), *rollout);
    const auto least_certain = assessor.least_certain();
    if (least_certain.first != last_least_certain) {
      last_least_certain = least_certain.first;
      append_history({{"what", "verdict"}, {"of", least_certain.first}, {"widest", least_certain.second}});
    }
    rollout->tick(clock.now());
    if (!baselines_complete && rollout->phase() != Phase::checking) save_baselines();
    report_progress(on_progress);  // reported before any supervisor acts on it
    if (save()) send_orders();
  }

  // Order numbers continue above all that any supervisor has received, in case the stored state is outdated.
  void restore_after_start() {
    started_at = clock.now();
    for (const auto& [name, standing] : standings) rollout->raise_order_number(standing.last_order_number);
    const state::ReadResult read = baseline_file.read();
    if (baselines_complete && read.text) assessor.cohorts().restore_baselines(*read.text);
  }
  // Stores the baselines, recorded before the first move, for the next run of this controller.
  void save_baselines() {
    baselines_complete = true;
    try {
      baseline_file.write(assessor.cohorts().serialize_baselines());
    } catch (const std::exception& error) {  // the next run compares with less data
      append_history({{"what", "trouble"}, {"why", error.what()}});
    }
  }

  // Passes what a supervisor reports to the rollout: the result of an order, a fallback, or the version that
  // runs. Pauses if another controller leads there.
  void process_status(const SupervisorStatus& standing) {
    const double now = clock.now();
    const auto order = rollout->outstanding_order(standing.name);
    if (standing.reached && !standing.controller.empty() && standing.controller != id &&
        (!order || standing.last_order_number >= order->number) &&
        (order || rollout->phase() != Phase::checking)) {
      rollout->pause("controller " + standing.controller + " leads at " + standing.name);
      superseded = true;
      return;
    }
    if (standing.reached && order && standing.last_order_number == order->number &&
        standing.controller == id) {
      if (standing.progress == "done" || standing.progress == "failed") {
        const bool done = standing.progress == "done";
        if (done && order->kind == Order::Kind::check) candidates[standing.name] = standing.candidate;
        append_history({{"what", "answer"},
                        {"member", standing.name},
                        {"kind", name_of(order->kind)},
                        {"number", order->number},
                        {"done", done},
                        {"why", standing.failure_reason}});
        rollout->on_order_result(now, *order, done, standing.failure_reason);
      }
      return;
    }
    if (order) return;
    const auto candidate = candidates.find(standing.name);
    const bool has_candidate = candidate != candidates.end() && !candidate->second.empty();
    if (has_candidate && !standing.fallback_reason.empty() && standing.change == rollout->plan().change) {
      rollout->on_fallback(now, standing.name, standing.fallback_reason);
      return;
    }
    const bool down = !standing.reached && now > last_reached_at[standing.name] + kDownAfterMs;
    if (!standing.reached && !down) return;
    const bool alive = standing.reached && standing.serving;
    const bool runs_new =
        has_candidate && standing.version == candidate->second && standing.previous != candidate->second;
    rollout->on_member_status(now, standing.name, alive, runs_new);
  }

  // Collects the statistics of all dispatchers and adds them as a new slice.
  void collect_statistics() {
    std::vector<net::LineCall> calls;
    std::vector<std::string> names;
    for (const auto& member : rollout_settings.members) {
      if (!standings.at(member.name).serving) continue;
      calls.push_back({member.control, "figures", std::nullopt});
      names.push_back(member.name);
    }
    net::call_all(calls, std::min(rollout_settings.turn_ms, kMaxCallMs));
    std::map<std::string, Sample> samples;
    for (std::size_t i = 0; i < calls.size(); ++i)
      if (const auto sample = read_sample(clock.now(), calls[i].answer)) samples[names[i]] = *sample;
    assessor.add_samples(samples, *rollout);
  }

  // Sends the orders of the stored state that their members have not received yet.
  void send_orders() {
    std::vector<net::LineCall> calls;
    std::vector<Order> orders;
    for (const auto& member : rollout_settings.members) {
      if (!is_plan_member(member.name)) continue;
      const auto order = rollout->outstanding_order(member.name);
      const SupervisorStatus& standing = standings.at(member.name);
      if (!order || !standing.reached ||
          (standing.last_order_number >= order->number && standing.controller == id))
        continue;
      const bool is_check = order->kind == Order::Kind::check;
      calls.push_back({member.control,
                       "order " + json({{"kind", name_of(order->kind)},
                                        {"controller", id},
                                        {"change", rollout->plan().change},
                                        {"number", order->number},
                                        {"program", is_check ? change.program : ""},
                                        {"settings", is_check ? change.settings : ""},
                                        {"take_over", is_check && change.take_over}})
                                      .dump(),
                       std::nullopt});
      orders.push_back(*order);
    }
    if (calls.empty()) return;
    net::call_all(calls, std::min(rollout_settings.turn_ms, kMaxCallMs));
    for (std::size_t i = 0; i < calls.size(); ++i) {
      append_history({{"what", "order"},
                      {"member", orders[i].member},
                      {"kind", name_of(orders[i].kind)},
                      {"number", orders[i].number},
                      {"said", calls[i].answer.value_or("nothing")}});
      if (calls[i].answer && calls[i].answer->starts_with("error "))
        rollout->on_order_result(clock.now(), orders[i], false, calls[i].answer->substr(6));
    }
  }
  // Returns true if the current plan, not only the operator's file, has the member.
  bool is_plan_member(const std::string& name) const {
    const auto& members = rollout->plan().members;
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& member) { return member.name == name; });
  }

  // Commands over the folder's socket ---------------------------------------------------------------------

  void accept_commands(const Controller::ProgressCallback& on_progress) {
    for (;;) {
      net::Socket client{park::Fd(::accept4(command_socket.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
      if (!client) return;
      const core::Clock deadline_clock;
      std::string line;
      char received[512];
      std::size_t got = 0;
      while (line.find('\n') == std::string::npos && line.size() < sizeof received &&
             client.receive(received, sizeof received, got, deadline_clock.now() + kCommandTimeoutMs,
                            deadline_clock) == net::IoResult::done)
        line.append(received, got);
      const std::size_t end = line.find('\n');
      if (end == std::string::npos) continue;
      client.send({handle_command(line.substr(0, end)) + "\n"}, deadline_clock.now() + kCommandTimeoutMs,
                  deadline_clock);
      report_progress(on_progress);
    }
  }
  // Executes one command and returns its answer, a line.
  std::string handle_command(const std::string& line) {
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::string command = line.substr(0, space),
                      argument = line.substr(std::min(space + 1, line.size()));
    if (command == "status") {
      json status = describe(*rollout, standings);
      status["runs"] = true;
      status["verdict"] = {{"worse", assessor.worse_reason()},
                           {"of", assessor.least_certain().first},
                           {"widest", assessor.least_certain().second},
                           {"margin", rollout_settings.margin}};
      return status.dump();
    }
    if (command == "pause") rollout->pause(argument);
    if (command == "resume") resume();
    if (command == "abort") rollout->abort(clock.now());
    if (command != "pause" && command != "resume" && command != "abort") return "error no such word";
    append_history({{"what", "word"}, {"word", line}});
    return save() ? "done" : "error it could not be written down";
  }
  void resume() {
    superseded = false;
    assessor.restart_comparison();
    rollout->resume(clock.now());
  }

  const config::RolloutSettings rollout_settings;
  core::Clock clock;
  park::Fd lock, history;
  state::StateFile state_file, baseline_file;
  Assessor assessor;
  std::string id;
  ChangeRequest change;
  std::optional<Rollout> rollout;
  std::map<std::string, std::string> candidates;
  bool baselines_complete = false, superseded = false, save_failed = false;
  std::string saved_text, reported_progress;
  std::map<std::string, SupervisorStatus> standings;
  std::map<std::string, double> last_reached_at;
  double started_at = 0;
  std::string last_least_certain;  // the measure that was least certain when last noted
  net::Socket command_socket;
};

Controller::Controller(const config::RolloutSettings& settings) : state_(std::make_unique<State>(settings)) {}
Controller::~Controller() = default;

bool Controller::has_change() const { return state_->rollout && !state_->rollout->finished(); }
const Rollout& Controller::rollout() const { return *state_->rollout; }

void Controller::begin(const ChangeRequest& request) {
  State& state = *state_;
  if (has_change())
    throw std::runtime_error("change " + state.rollout->plan().change +
                             " has not ended: see `rollout status`, then resume or abort it");
  if (state.rollout_settings.members.empty())
    throw std::runtime_error("rollout.members is empty in the operator's file");
  state.change = request;
  for (std::string* path : {&state.change.program, &state.change.settings})
    if (!path->empty()) *path = fs::absolute(*path).string();
  state.candidates.clear();
  state.assessor.move_stages().clear();
  state.baselines_complete = false;
  const std::uint64_t last_order_number = state.rollout ? state.rollout->last_order_number() : 0;
  config::RolloutSettings sorted = state.rollout_settings;
  order_by_traffic(sorted.members, traffic_of(state.rollout_settings));
  try {
    state.rollout.emplace(make_plan(sorted, "c-" + random_id().substr(0, 8)));
  } catch (const std::invalid_argument& error) {
    throw std::runtime_error(std::string("rollout: ") + error.what());
  }
  state.rollout->raise_order_number(last_order_number);
  if (!state.save())
    throw std::runtime_error(state.rollout_settings.folder + ": the change could not be stored");
  state.append_history(
      {{"what", "begin"}, {"program", state.change.program}, {"settings", state.change.settings}});
}

void Controller::resume() { state_->resume(); }
void Controller::abort() { state_->rollout->abort(state_->clock.now()); }

Phase Controller::run(const ProgressCallback& on_progress, bool until_paused) {
  State& state = *state_;
  const net::UnixSocketPath socket_path(state.rollout_settings.folder, kCommandSocketName),
      temporary_path(state.rollout_settings.folder, std::string(kCommandSocketName) + ".new");
  state.command_socket = net::listen_replacing(socket_path, temporary_path);
  if (!state.command_socket)
    throw std::system_error(errno, std::generic_category(),
                            state.rollout_settings.folder + ": cannot listen on the command socket");
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT}) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const park::Fd signal_fd(::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  while (!state.rollout->finished()) {
    const double cycle_started_at = state.clock.now();
    state.run_cycle(on_progress);
    if (state.superseded || (until_paused && !state.rollout->pause_reason().empty())) break;
    for (double remaining_ms;
         (remaining_ms = cycle_started_at + state.rollout_settings.turn_ms - state.clock.now()) > 0 &&
         !state.rollout->finished();) {
      std::array<pollfd, 2> polled{{{signal_fd.get(), POLLIN, 0}, {state.command_socket.fd(), POLLIN, 0}}};
      ::poll(polled.data(), polled.size(), static_cast<int>(remaining_ms) + 1);
      if (polled[0].revents) {
        if (on_progress) on_progress("ended by a signal; no orders are sent until `rollout resume`");
        return state.rollout->phase();
      }
      if (polled[1].revents) state.accept_commands(on_progress);
    }
  }
  state.save();
  state.report_progress(on_progress);
  return state.rollout->phase();
}

// Access from other processes -----------------------------------------------------------------------------

std::optional<std::string> send_command(const config::RolloutSettings& settings, const std::string& command) {
  if (settings.folder.empty()) throw std::runtime_error("rollout.folder is not set in the operator's file");
  const core::Clock clock;
  net::Socket link = net::make_unix_socket();
  if (!link || !net::UnixSocketPath(settings.folder, kCommandSocketName).call(::connect, link))
    return std::nullopt;
  // A cycle may be in progress; the controller answers after it.
  const double deadline = clock.now() + 4 * kMaxCallMs + settings.turn_ms;
  const timeval timeout{static_cast<time_t>(5 + settings.turn_ms / 1'000), 0};
  ::setsockopt(link.fd(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (link.send({command + "\n"}, deadline, clock) != net::IoResult::done) return std::nullopt;
  std::string answer;
  char received[16 * 1024];
  std::size_t got = 0;
  while (link.receive(received, sizeof received, got, deadline, clock) == net::IoResult::done)
    answer.append(received, got);
  if (answer.empty() || answer.back() != '\n') return std::nullopt;
  answer.pop_back();
  return answer;
}

std::string status_json(const config::RolloutSettings& settings) {
  if (const auto answer = send_command(settings, "status")) return *answer;
  std::map<std::string, SupervisorStatus> standings;
  for (SupervisorStatus& standing : query_supervisors(settings, kMaxCallMs))
    standings[standing.name] = std::move(standing);
  json status;
  const state::ReadResult read = state::StateFile(settings.folder + "/state").read();
  if (read.text) {
    const json object = json::parse(*read.text);
    status = describe(Rollout::parse(object.at("rollout")), standings);
  } else {
    status = {{"change", ""}, {"phase", "none"}, {"members", json::object()}};
    for (const auto& [name, standing] : standings)
      status["members"][name] = {{"zone", standing.zone},           {"place", ""},
                                 {"reached", standing.reached},     {"serves", standing.serving},
                                 {"version", standing.version},     {"crashes", standing.crashes},
                                 {"evacuated", standing.evacuated}, {"order", ""}};
  }
  status["runs"] = false;
  return status.dump();
}

std::string read_history(const config::RolloutSettings& settings) {
  return contents(settings.folder + "/history.jsonl");
}

}  // namespace woadtide::control
