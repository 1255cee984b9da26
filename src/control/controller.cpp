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
using rollout::Order;
using rollout::Phase;
using rollout::Place;
using rollout::Rollout;

namespace {

constexpr int kFormat = 1;
constexpr double kMostCallMs = 800;
constexpr double kGoneMs = 3'000;  // a supervisor that does not answer for so long is down
constexpr int kAskMs = 500;        // for a word over the folder's socket
constexpr const char* kSocket = "ask";

constexpr std::array<const char*, 6> kPhases = {"checking",   "moving",   "baking",
                                                "going back", "complete", "back"};
constexpr std::array<const char*, 6> kPlaces = {"unchecked", "on old",    "moving",
                                                "on new",    "returning", "left"};
constexpr std::array<const char*, 4> kKinds = {"check", "move", "go_back", "keep_out"};
const char* word_of(Phase phase) { return kPhases[static_cast<std::size_t>(phase)]; }
const char* word_of(Place place) { return kPlaces[static_cast<std::size_t>(place)]; }
const char* word_of(Order::Kind kind) { return kKinds[static_cast<std::size_t>(kind)]; }

Standing read_standing(const config::RolloutPart::Member& member, const std::optional<std::string>& answer) {
  Standing standing;
  standing.name = member.name;
  standing.zone = member.zone;
  standing.control = member.control;
  if (!answer || !answer->starts_with("done ")) return standing;
  const json said = json::parse(answer->substr(5), nullptr, false);
  try {
    standing.serves = said.at("serves");
    standing.version = said.at("version");
    standing.wanted = said.at("wanted");
    standing.good = said.at("good");
    standing.candidate = said.at("candidate");
    standing.before = said.at("before");
    standing.controller = said.at("controller");
    standing.change = said.at("change");
    standing.progress = said.at("progress");
    standing.why = said.at("why");
    standing.fell_back = said.at("fell_back");
    standing.newest = said.at("newest");
    standing.evacuated = said.at("evacuated");
    standing.crashes = said.at("crashes");
    standing.reached = true;
  } catch (const json::exception&) {  // not a supervisor's answer: as if nobody answered
  }
  return standing;
}

std::optional<Sample> read_sample(double now, const std::optional<std::string>& answer) {
  if (!answer || !answer->starts_with("done ")) return std::nullopt;
  try {
    const json said = json::parse(answer->substr(5));
    Sample sample;
    sample.at_ms = now;
    sample.pid = said.at("pid");
    sample.crashes = said.at("crashes");
    sample.memory_mb = said.at("memory_mb");
    sample.cpu_ms = said.at("cpu_ms");
    sample.classes = core::read_figures(said.at("classes").dump());
    return sample;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Queries a second of each, over the lives of their processes.
std::map<std::string, double> traffic_of(const config::RolloutPart& part) {
  std::vector<net::LineCall> calls;
  for (const auto& member : part.members) {
    calls.push_back({member.control, "figures", std::nullopt});
    calls.push_back({member.control, "status", std::nullopt});
  }
  net::call_all(calls, kMostCallMs);
  std::map<std::string, double> traffic;
  for (std::size_t i = 0; i < part.members.size(); ++i) {
    const auto sample = read_sample(0, calls[2 * i].answer);
    const auto& said = calls[2 * i + 1].answer;
    const json status =
        said && said->starts_with("done ") ? json::parse(said->substr(5), nullptr, false) : json();
    if (!sample || !status.is_object()) continue;
    double asked = 0;
    for (const auto& [name, one] : sample->classes) asked += static_cast<double>(one.asked);
    traffic[part.members[i].name] = asked / std::max(status.value("since_ms", 0.0), 1.0);
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

json describe(const Rollout& rollout, const std::map<std::string, Standing>& standings) {
  json members = json::object();
  for (const auto& member : rollout.plan().members) {
    const auto found = standings.find(member.name);
    const Standing none, &standing = found == standings.end() ? none : found->second;
    const auto out = rollout.out(member.name);
    members[member.name] = {{"zone", member.zone},
                            {"place", word_of(rollout.place(member.name))},
                            {"reached", standing.reached},
                            {"serves", standing.serves},
                            {"version", standing.version},
                            {"crashes", standing.crashes},
                            {"evacuated", standing.evacuated},
                            {"order", out ? word_of(out->kind) : ""}};
  }
  return {{"change", rollout.plan().change}, {"phase", word_of(rollout.phase())},
          {"stage", rollout.stage() + 1},    {"stages", rollout.plan().stages},
          {"on_new", rollout.on_new()},      {"allowed", rollout.allowed()},
          {"paused", rollout.paused()},      {"reason", rollout.reason()},
          {"members", std::move(members)}};
}

}  // namespace

std::vector<Standing> ask_all(const config::RolloutPart& part, double within_ms) {
  std::vector<net::LineCall> calls;
  for (const auto& member : part.members) calls.push_back({member.control, "status", std::nullopt});
  net::call_all(calls, within_ms);
  std::vector<Standing> standings;
  for (std::size_t i = 0; i < calls.size(); ++i)
    standings.push_back(read_standing(part.members[i], calls[i].answer));
  return standings;
}

rollout::Plan plan_of(const config::RolloutPart& part, const std::string& change) {
  rollout::Plan plan;
  plan.change = change;
  for (const auto& member : part.members) plan.members.push_back({member.name, member.zone});
  plan.stages = part.stages;
  const int all = static_cast<int>(part.members.size());
  if (plan.stages.empty())
    for (const int stage : {1, (all + 3) / 4, all})
      if (plan.stages.empty() || stage > plan.stages.back()) plan.stages.push_back(stage);
  plan.look_ms = part.look_ms;
  plan.bake_ms = part.bake_ms;
  plan.patience_ms = part.patience_ms;
  plan.step_ms = part.step_ms;
  plan.tries = static_cast<int>(part.tries);
  return plan;
}

// The controller ------------------------------------------------------------------------------------------

struct Controller::State {
  explicit State(const config::RolloutPart& what)
      : part(what), file(what.folder + "/state"), past(what.folder + "/past"), assessor(what) {
    if (part.folder.empty()) throw std::runtime_error("rollout.folder is not set in the operator's file");
    fs::create_directories(part.folder);
    lock = park::Fd(::open((part.folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock || ::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
      throw std::runtime_error(part.folder + ": another controller runs here");
    history = park::Fd(
        ::open((part.folder + "/history.jsonl").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    if (!history) throw std::system_error(errno, std::generic_category(), part.folder + "/history.jsonl");
    const state::Read read = file.read();
    if (!read.trouble.empty()) note({{"what", "trouble"}, {"why", read.trouble}});
    if (read.text) load(*read.text);
    if (id.empty()) id = random_id();
  }

  void load(const std::string& text) {
    const json object = json::parse(text, nullptr, false);
    try {
      if (object.at("format") != kFormat)
        throw std::runtime_error(part.folder + ": a change of format " + object.at("format").dump() +
                                 "; this program reads " + std::to_string(kFormat));
      id = object.at("controller");
      change.program = object.at("program");
      change.settings = object.at("settings");
      change.take_over = object.at("take_over");
      object.at("candidates").get_to(candidates);
      object.at("moved_in").get_to(assessor.moved_in());
      looked = object.at("looked");
      rollout.emplace(Rollout::from(object.at("rollout")));
    } catch (const json::exception& wrong) {
      throw std::runtime_error(part.folder + ": " + wrong.what());
    } catch (const std::invalid_argument& wrong) {
      throw std::runtime_error(part.folder + ": " + wrong.what());
    }
    for (const auto& member : rollout->plan().members)
      if (!cohorts_know(member.name))
        throw std::runtime_error(part.folder + ": the change has a member " + member.name +
                                 ", which the operator's file does not name");
  }
  bool cohorts_know(const std::string& name) const {
    return std::any_of(part.members.begin(), part.members.end(),
                       [&](const auto& one) { return one.name == name; });
  }

  std::string text() {
    return json({{"format", kFormat},
                 {"controller", id},
                 {"program", change.program},
                 {"settings", change.settings},
                 {"take_over", change.take_over},
                 {"candidates", candidates},
                 {"moved_in", assessor.moved_in()},
                 {"looked", looked},
                 {"rollout", rollout->text()}})
        .dump();
  }
  // False where it is not on the disk: then no order may go out.
  bool save() {
    const std::string now = text();
    if (now == saved) return true;
    try {
      file.write(now);
      saved = now;
      unsaved = false;
      return true;
    } catch (const std::exception& failed) {
      if (!std::exchange(unsaved, true)) note({{"what", "trouble"}, {"why", failed.what()}});
      return false;
    }
  }

  void note(json line) {
    line["at_ms"] = clock.now();
    if (rollout) line["change"] = rollout->plan().change;
    const std::string text = line.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    if (::write(history.get(), text.data(), text.size()) >= 0) ::fdatasync(history.get());
  }

  // What is going on, once for each change of it.
  void tell(const Controller::Say& said) {
    const auto& plan = rollout->plan();
    std::string now = std::string(word_of(rollout->phase()));
    if (!rollout->over() && rollout->phase() != Phase::checking)
      now += ", stage " + std::to_string(rollout->stage() + 1) + " of " + std::to_string(plan.stages.size()) +
             ", " + std::to_string(rollout->on_new()) + " of " + std::to_string(rollout->allowed());
    if (!rollout->paused().empty()) now += ", paused: " + rollout->paused();
    if (!rollout->reason().empty()) now += ", because " + rollout->reason();
    std::string left;
    for (const auto& member : plan.members)
      if (rollout->place(member.name) == Place::left) left += (left.empty() ? "" : ", ") + member.name;
    if (!left.empty()) now += ", kept out: " + left;
    if (now == told) return;
    told = now;
    json places = json::object();
    for (const auto& member : plan.members) places[member.name] = word_of(rollout->place(member.name));
    note({{"what", "state"},
          {"phase", word_of(rollout->phase())},
          {"stage", rollout->stage() + 1},
          {"allowed", rollout->allowed()},
          {"on_new", rollout->on_new()},
          {"paused", rollout->paused()},
          {"reason", rollout->reason()},
          {"places", std::move(places)}});
    if (said) said(plan.change + ": " + now);
  }

  // A turn -----------------------------------------------------------------------------------------------

  void turn(const Controller::Say& said) {
    const double within = std::min(part.turn_ms, kMostCallMs);
    const double asked = clock.now();
    for (Standing& one : ask_all(part, within)) {
      if (one.reached) seen[one.name] = asked;
      standings[one.name] = std::move(one);
    }
    if (begun_at == 0) begin_life();
    for (const auto& member : rollout->plan().members) take(standings.at(member.name));
    watch();
    assessor.judge(clock.now(), *rollout);
    const auto widest = assessor.widest();
    if (widest.first != last_wide) {
      last_wide = widest.first;
      note({{"what", "verdict"}, {"of", widest.first}, {"widest", widest.second}});
    }
    rollout->tick(clock.now());
    if (!looked && rollout->phase() != Phase::checking) learn_ends();
    tell(said);  // before anybody acts on it
    if (save()) send();
  }

  // Numbers go on behind all that anybody has heard: also where this folder's state is an older one.
  void begin_life() {
    begun_at = clock.now();
    for (const auto& [name, standing] : standings) rollout->raise(standing.newest);
    const state::Read read = past.read();
    if (looked && read.text) assessor.cohorts().remember(*read.text);
  }
  // What came before the first move, for a next life of this controller.
  void learn_ends() {
    looked = true;
    try {
      past.write(assessor.cohorts().text());
    } catch (const std::exception& failed) {  // a next life judges with less
      note({{"what", "trouble"}, {"why", failed.what()}});
    }
  }

  void take(const Standing& standing) {
    const double now = clock.now();
    const auto out = rollout->out(standing.name);
    if (standing.reached && !standing.controller.empty() && standing.controller != id &&
        (!out || standing.newest >= out->number) && (out || rollout->phase() != Phase::checking)) {
      rollout->pause("controller " + standing.controller + " leads at " + standing.name);
      lost = true;
      return;
    }
    if (standing.reached && out && standing.newest == out->number && standing.controller == id) {
      if (standing.progress == "done" || standing.progress == "failed") {
        const bool done = standing.progress == "done";
        if (done && out->kind == Order::Kind::check) candidates[standing.name] = standing.candidate;
        note({{"what", "answer"},
              {"member", standing.name},
              {"kind", word_of(out->kind)},
              {"number", out->number},
              {"done", done},
              {"why", standing.why}});
        rollout->answered(now, *out, done, standing.why);
      }
      return;
    }
    if (out) return;
    const auto candidate = candidates.find(standing.name);
    const bool ours = candidate != candidates.end() && !candidate->second.empty();
    if (ours && !standing.fell_back.empty() && standing.change == rollout->plan().change) {
      rollout->fell_back(now, standing.name, standing.fell_back);
      return;
    }
    const bool gone = !standing.reached && now > seen[standing.name] + kGoneMs;
    if (!standing.reached && !gone) return;
    const bool serves = standing.reached && standing.serves;
    const bool runs_new =
        ours && standing.version == candidate->second && standing.before != candidate->second;
    rollout->found(now, standing.name, serves, runs_new);
  }

  // What was done since the last slice.
  void watch() {
    std::vector<net::LineCall> calls;
    std::vector<std::string> names;
    for (const auto& member : part.members) {
      if (!standings.at(member.name).serves) continue;
      calls.push_back({member.control, "figures", std::nullopt});
      names.push_back(member.name);
    }
    net::call_all(calls, std::min(part.turn_ms, kMostCallMs));
    std::map<std::string, Sample> samples;
    for (std::size_t i = 0; i < calls.size(); ++i)
      if (const auto sample = read_sample(clock.now(), calls[i].answer)) samples[names[i]] = *sample;
    assessor.look(samples, *rollout);
  }

  // By what is on the disk: all that is ordered and that its member has not heard of.
  void send() {
    std::vector<net::LineCall> calls;
    std::vector<Order> orders;
    for (const auto& member : part.members) {
      if (!cohort_member(member.name)) continue;
      const auto out = rollout->out(member.name);
      const Standing& standing = standings.at(member.name);
      if (!out || !standing.reached || (standing.newest >= out->number && standing.controller == id))
        continue;
      const bool is_check = out->kind == Order::Kind::check;
      calls.push_back({member.control,
                       "order " + json({{"kind", word_of(out->kind)},
                                        {"controller", id},
                                        {"change", rollout->plan().change},
                                        {"number", out->number},
                                        {"program", is_check ? change.program : ""},
                                        {"settings", is_check ? change.settings : ""},
                                        {"take_over", is_check && change.take_over}})
                                      .dump(),
                       std::nullopt});
      orders.push_back(*out);
    }
    if (calls.empty()) return;
    net::call_all(calls, std::min(part.turn_ms, kMostCallMs));
    for (std::size_t i = 0; i < calls.size(); ++i) {
      note({{"what", "order"},
            {"member", orders[i].member},
            {"kind", word_of(orders[i].kind)},
            {"number", orders[i].number},
            {"said", calls[i].answer.value_or("nothing")}});
      if (calls[i].answer && calls[i].answer->starts_with("error "))
        rollout->answered(clock.now(), orders[i], false, calls[i].answer->substr(6));
    }
  }
  bool cohort_member(const std::string& name) const {
    const auto& members = rollout->plan().members;
    return std::any_of(members.begin(), members.end(), [&](const auto& one) { return one.name == name; });
  }

  // Words over the folder's socket
  // ----------------------------------------------------------------------------

  void hear(const Controller::Say& said) {
    for (;;) {
      net::Socket caller{park::Fd(::accept4(asked.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
      if (!caller) return;
      const core::Clock own;
      std::string line;
      char some[512];
      std::size_t got = 0;
      while (line.find('\n') == std::string::npos && line.size() < sizeof some &&
             caller.receive(some, sizeof some, got, own.now() + kAskMs, own) == net::Io::done)
        line.append(some, got);
      const std::size_t end = line.find('\n');
      if (end == std::string::npos) continue;
      caller.send({answer(line.substr(0, end)) + "\n"}, own.now() + kAskMs, own);
      tell(said);
    }
  }
  std::string answer(const std::string& word) {
    const std::size_t space = std::min(word.find(' '), word.size());
    const std::string call = word.substr(0, space), rest = word.substr(std::min(space + 1, word.size()));
    if (call == "status") {
      json said = describe(*rollout, standings);
      said["runs"] = true;
      said["verdict"] = {{"worse", assessor.worse()},
                         {"of", assessor.widest().first},
                         {"widest", assessor.widest().second},
                         {"margin", part.margin}};
      return said.dump();
    }
    if (call == "pause") rollout->pause(rest);
    if (call == "resume") resume();
    if (call == "abort") rollout->abort(clock.now());
    if (call != "pause" && call != "resume" && call != "abort") return "error no such word";
    note({{"what", "word"}, {"word", word}});
    return save() ? "done" : "error it could not be written down";
  }
  void resume() {
    lost = false;
    assessor.begin_again();
    rollout->resume(clock.now());
  }

  const config::RolloutPart part;
  core::Clock clock;
  park::Fd lock, history;
  state::File file, past;
  Assessor assessor;
  std::string id;
  Change change;
  std::optional<Rollout> rollout;
  std::map<std::string, std::string> candidates;
  bool looked = false, lost = false, unsaved = false;
  std::string saved, told;
  std::map<std::string, Standing> standings;
  std::map<std::string, double> seen;
  double begun_at = 0;
  std::string last_wide;  // the measure of which least was known
  net::Socket asked;
};

Controller::Controller(const config::RolloutPart& part) : state_(std::make_unique<State>(part)) {}
Controller::~Controller() = default;

bool Controller::has_change() const { return state_->rollout && !state_->rollout->over(); }
const Rollout& Controller::rollout() const { return *state_->rollout; }

void Controller::begin(const Change& change) {
  State& state = *state_;
  if (has_change())
    throw std::runtime_error("change " + state.rollout->plan().change +
                             " is not over: see `rollout status`, then resume or abort it");
  if (state.part.members.empty()) throw std::runtime_error("rollout.members is empty in the operator's file");
  state.change = change;
  for (std::string* path : {&state.change.program, &state.change.settings})
    if (!path->empty()) *path = fs::absolute(*path).string();
  state.candidates.clear();
  state.assessor.moved_in().clear();
  state.looked = false;
  const std::uint64_t heard = state.rollout ? state.rollout->newest() : 0;
  config::RolloutPart ordered = state.part;
  order_by_traffic(ordered.members, traffic_of(state.part));
  try {
    state.rollout.emplace(plan_of(ordered, "c-" + random_id().substr(0, 8)));
  } catch (const std::invalid_argument& wrong) {
    throw std::runtime_error(std::string("rollout: ") + wrong.what());
  }
  state.rollout->raise(heard);
  if (!state.save()) throw std::runtime_error(state.part.folder + ": the change cannot be written down");
  state.note({{"what", "begin"}, {"program", state.change.program}, {"settings", state.change.settings}});
}

void Controller::resume() { state_->resume(); }
void Controller::abort() { state_->rollout->abort(state_->clock.now()); }

Phase Controller::run(const Say& said, bool until_paused) {
  State& state = *state_;
  const net::UnixPlace place(state.part.folder, kSocket),
      fresh(state.part.folder, std::string(kSocket) + ".new");
  state.asked = net::listen_over(place, fresh);
  if (!state.asked)
    throw std::system_error(errno, std::generic_category(), state.part.folder + ": no socket in it");
  sigset_t signals;
  sigemptyset(&signals);
  for (const int one : {SIGTERM, SIGINT}) sigaddset(&signals, one);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const park::Fd ends(::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  while (!state.rollout->over()) {
    const double began = state.clock.now();
    state.turn(said);
    if (state.lost || (until_paused && !state.rollout->paused().empty())) break;
    for (double left;
         (left = began + state.part.turn_ms - state.clock.now()) > 0 && !state.rollout->over();) {
      std::array<pollfd, 2> all{{{ends.get(), POLLIN, 0}, {state.asked.fd(), POLLIN, 0}}};
      ::poll(all.data(), all.size(), static_cast<int>(left) + 1);
      if (all[0].revents) {
        if (said) said("ended by a signal; nothing moves until `rollout resume`");
        return state.rollout->phase();
      }
      if (all[1].revents) state.hear(said);
    }
  }
  state.save();
  state.tell(said);
  return state.rollout->phase();
}

// Without a controller
// ------------------------------------------------------------------------------------------

std::optional<std::string> tell(const config::RolloutPart& part, const std::string& word) {
  if (part.folder.empty()) throw std::runtime_error("rollout.folder is not set in the operator's file");
  const core::Clock clock;
  net::Socket link = net::make_unix();
  if (!link || !net::UnixPlace(part.folder, kSocket).call(::connect, link)) return std::nullopt;
  // A turn may be under way: it answers behind it.
  const double until = clock.now() + 4 * kMostCallMs + part.turn_ms;
  const timeval patience{static_cast<time_t>(5 + part.turn_ms / 1'000), 0};
  ::setsockopt(link.fd(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  if (link.send({word + "\n"}, until, clock) != net::Io::done) return std::nullopt;
  std::string all;
  char some[16 * 1024];
  std::size_t got = 0;
  while (link.receive(some, sizeof some, got, until, clock) == net::Io::done) all.append(some, got);
  if (all.empty() || all.back() != '\n') return std::nullopt;
  all.pop_back();
  return all;
}

std::string status_text(const config::RolloutPart& part) {
  if (const auto said = tell(part, "status")) return *said;
  std::map<std::string, Standing> standings;
  for (Standing& one : ask_all(part, kMostCallMs)) standings[one.name] = std::move(one);
  json out;
  const state::Read read = state::File(part.folder + "/state").read();
  if (read.text) {
    const json object = json::parse(*read.text);
    out = describe(Rollout::from(object.at("rollout")), standings);
  } else {
    out = {{"change", ""}, {"phase", "none"}, {"members", json::object()}};
    for (const auto& [name, one] : standings)
      out["members"][name] = {{"zone", one.zone},           {"place", ""},
                              {"reached", one.reached},     {"serves", one.serves},
                              {"version", one.version},     {"crashes", one.crashes},
                              {"evacuated", one.evacuated}, {"order", ""}};
  }
  out["runs"] = false;
  return out.dump();
}

std::string history_text(const config::RolloutPart& part) { return contents(part.folder + "/history.jsonl"); }

}  // namespace woadtide::control
