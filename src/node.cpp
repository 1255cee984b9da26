#include "node.hpp"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <future>
#include <utility>

#include "core/log.hpp"
#include "numbers.hpp"

namespace woadtide {

namespace {

// Standard streams, listeners, the park, discovery's link, wake-ups, a config that is read again, callers at
// the second address, and links that are about to close.
constexpr std::size_t kOtherDescriptors = 28 + net::Management::kMostCallers;
// Measured, and rounded up: the program without links, and a link's state.
constexpr std::size_t kProgramBytes = 6'000'000, kLinkBytes = 20'000;

// PROTOCOL: new links keep coming for 0.2 to 0.4 s after SIGTERM, and clients use those they have as long as
// these stay open: there is no other dispatcher for them. SIGKILL comes no sooner than the longest deadline,
// 3 s at most, plus 0.7 s after it, and what came later than 0.7 s must be answered by then.
constexpr double kAcceptOnMs = 550;
constexpr double kMostDeadlineMs = 3'000;
constexpr double kFinishMs = 300;       // then all must be answered: leaves 0.4 s to write and to end
constexpr double kLastQueriesMs = 700;  // time for the last queries taken: half and more are done in it
constexpr double kLastAnswersMs = 150;

// An evacuation must have no query of its last 2 s at 4 s.
constexpr double kReadOnMs = 1'800;

// Threads beside those that executions may need: for the watch, and for callers at the second address.
constexpr std::size_t kUrgent = net::Management::kMostCallers + 2;

// An upgrade's next process gets 6 s to be ready, and so may restarted ones: less time to be heard of.
constexpr double kMostAdmissionMs = 5'500;

// Of the 6 s in which a next process is to be ready, for a machine that is short of descriptors or memory.
constexpr double kListenMs = 2'000;

constexpr int kLoopMs = 900;     // a call is owed its answer in 1 s
constexpr double kTellMs = 500;  // for the process that runs already to tell what it knows

double longest_deadline(const woadtide::Settings& settings) {
  double longest = 0;
  for (const auto& kind : settings.classes) longest = std::max(longest, core::to_ms(kind.deadline));
  return longest;
}

net::ServerLinks::Limits server_limits(const woadtide::Settings& settings, const Budget& budget) {
  net::ServerLinks::Limits limits;
  limits.most = budget.server_links;
  if (settings.connect_timeout.count() > 0) limits.connect_ms = core::to_ms(settings.connect_timeout);
  if (settings.link_idle.count() > 0) limits.idle_ms = core::to_ms(settings.link_idle) / 2;
  return limits;
}

}  // namespace

Budget::Budget(std::size_t descriptors, std::size_t memory_mb, std::size_t processes) {
  descriptors /= processes;
  // Each link holds one descriptor, and state of some kLinkBytes. Clients' queries take
  // up to a third of the descriptors; each may need a server link, and bad clients come on top of them.
  const std::size_t for_links = std::max(descriptors, 2 * kOtherDescriptors) - kOtherDescriptors;
  const std::size_t bytes = memory_mb * 1'000'000 / 100 * 85 / processes;
  const std::size_t for_all = bytes - std::min(bytes, kProgramBytes);
  // Of what is kept free beside that, the endpoint list may take half at its peak.
  const std::size_t kept_free = memory_mb * 1'000'000 / processes - bytes;
  list = endpoints::endpoint_limits(kept_free / 2 * endpoints::kMemoryShare);
  // Most queries take one buffer: with one and a half for each client link the links come first.
  const std::size_t affordable = for_all / (kLinkBytes + net::kBufferBytes);
  const std::size_t links = std::max<std::size_t>(std::min(for_links, affordable), 8);
  server_links = links * 2 / 5;
  client_links = links - server_links;
  worker_buffers = server_links / 4 + 4;
  const std::size_t taken = links * kLinkBytes + worker_buffers * net::kBufferBytes;
  const std::size_t left = (for_all - std::min(for_all, taken)) / net::kBufferBytes;
  // More than five for each client link are never needed: that is the largest body.
  client_buffers = std::clamp<std::size_t>(left, 16, 5 * client_links);
}

void check_addresses(const core::Config& config) {
  net::Address(config.listen);
  net::Address(config.discovery);
  if (!config.management.empty()) net::Address(config.management);
  for (const core::Host& host : config.known.hosts) net::Address(host.dial);
}

Node::Node(core::Config config, core::Clock& clock, const Adder& adder, park::Crew::Start start)
    : clock_(clock),
      longest_ms_(longest_deadline(config.settings)),
      version_(core::version_line(config)),
      sockets_(config.sockets),
      memory_mb_(config.memory_mb),
      budget_(sockets_, memory_mb_),
      listener_(config.passed_socket >= 0
                    ? net::Socket::adopt_listener(config.passed_socket)
                    : net::Socket::listen_patiently(net::Address(config.listen), kListenMs)),
      passed_(config.tether.empty() ? net::Socket() : listener_.another()),
      management_listener_(config.management.empty()
                               ? net::Socket()
                               : net::Socket::listen_patiently(net::Address(config.management), kListenMs)),
      port_(listener_.port()),
      management_port_(management_listener_ ? management_listener_.port() : 0),
      client_pool_(budget_.client_buffers),
      worker_pool_(budget_.worker_buffers),
      park_(clock),
      crew_({.most = budget_.server_links, .reserve = kUrgent}, std::move(start)),
      admission_(*this, park_),
      hosts_(
          config.discovery, config.known, clock, inbox_, worker_pool_, park_, crew_,
          config.settings.list_on_request ? net::HostGroup::Way::asked : net::HostGroup::Way::pushed,
          net::HostGroup::kSilenceMs, [this] { admission_.on_list(); }, budget_.list),
      servers_(server_limits(config.settings, budget_), clock, inbox_, hosts_, worker_pool_, park_, crew_),
      kin_(clock, inbox_, park_, [this](std::size_t processes) { share_out(processes); }),
      addition_(adder ? adder({config.settings, config.class_names, clock, inbox_, servers_, hosts_, park_})
                      : nullptr),
      loop_(config.settings, config.class_names, config.seed, clock, inbox_,
            addition_ ? addition_->executor() : servers_, hosts_, kin_,
            addition_ ? addition_->witness() : nullptr),
      decider_(loop_, inbox_, park_, clock),
      front_(inbox_),
      side_{clock, client_pool_, park_, front_},
      clients_(std::move(listener_), budget_.client_links, side_),
      leaving_{*this} {
  if (!config.folder.empty()) {
    // The address tells apart dispatchers that happen to share a folder.
    char name[40];
    std::snprintf(name, sizeof name, "woadtide-%016llx",
                  static_cast<unsigned long long>(hash_of(config.name + ' ' + config.listen)));
    kin_.meet(config.folder, name, kTellMs);
  }
  if (addition_) addition_->open();
  clients_.start();
  admission_.start();
  // Before it can be asked: who hears `ready` there may look for it here.
  if (!config.tether.empty()) tether_.emplace(park_, config.tether, version_, std::move(passed_));
  if (management_listener_)
    management_.emplace(std::move(management_listener_), clock, park_, crew_,
                        [this](auto call, auto argument) { return answer_call(call, argument); });
  core::log_line("start: version " + version_);
  core::log_line("start: " + config.name + " serves at " + config.listen + ", client links " +
                 std::to_string(budget_.client_links) + ", server links " +
                 std::to_string(budget_.server_links));
  core::log_line("start: endpoint list of up to " + std::to_string(budget_.list.max_endpoints) +
                 " workers and " + std::to_string(budget_.list.max_update_bytes / 1'000) + " KB");
}

Node::Decider::Decider(core::DecisionLoop& to_run, core::Inbox& from, park::Park& in, const core::Clock& on)
    : loop(to_run), inbox(from), park(in), clock(on), place(park.enter(*this, -1)) {
  inbox.set_owner([this] { park.poke(place, {}); });
  park.poke(place, {});  // what has come by now
}

Node::Decider::~Decider() {
  inbox.set_owner({});  // links, the crew and the addition put into it until they end, after this
  park.leave(place);
  park.quiesce();
}

void Node::reload(const core::Config& config) {
  hosts_.move(config.discovery);
  core::log_line("reload: done, discovery at " + config.discovery);
}

Node::~Node() = default;

void Node::Admission::start() {
  place_ = park_.enter(*this, -1);
  park_.wake_at(place_, node_.clock_.now() + kMostAdmissionMs);
  if (list_told_) on_list();
}

void Node::Admission::stop() {
  park_.leave(place_);
  park_.quiesce();
}

void Node::Admission::on_list() {
  list_told_ = true;
  if (place_ != park::Park::kNone) park_.poke(place_, {.readable = true});
}

void Node::admit(const char* why) {
  const std::lock_guard lock(state_mutex_);
  if (std::exchange(admitted_, true)) return;
  core::log_line(std::string("start: clients are taken in: ") + why);
  if (!takes_clients()) return;
  front_.ready = true;
  kin_.set_ready(true);
}

Node::Leaving::~Leaving() {
  node.admission_.stop();
  if (node.addition_) node.addition_->close();
  node.kin_.end();
}

// Two processes are one dispatcher to the platform: together they stay within what it allows.
void Node::share_out(std::size_t processes) {
  const Budget budget(sockets_, memory_mb_, processes);
  clients_.set_most(budget.client_links);
  servers_.set_most(budget.server_links);
  crew_.set_most(budget.server_links);
  client_pool_.set_most(budget.client_buffers);
  worker_pool_.set_most(budget.worker_buffers);
  core::log_line("upgrade: " + std::to_string(processes) + " process(es), client links " +
                 std::to_string(budget.client_links) + ", server links " +
                 std::to_string(budget.server_links));
}

std::string Node::answer_call(std::string_view call, std::string_view argument) {
  if (call == "exclude" && !argument.empty()) return ask_loop(core::OperatorCall::Kind::exclude, argument);
  if (call == "include" && !argument.empty()) return ask_loop(core::OperatorCall::Kind::include, argument);
  if (!argument.empty()) return "error no such call\n";
  if (call == "readyz") {
    const std::lock_guard lock(state_mutex_);
    return takes_clients() ? "done ready\n" : "error not ready\n";
  }
  if (call == "version") return "done " + version_ + "\n";
  if (call == "figures") return ask_loop(core::OperatorCall::Kind::figures, {});
  if (call == "telemetry") return ask_loop(core::OperatorCall::Kind::telemetry, {});
  if (call == "evacuate") return set_evacuated(true);
  if (call == "activate") return set_evacuated(false);
  return "error no such call\n";
}

std::string Node::ask_loop(core::OperatorCall::Kind kind, std::string_view worker) {
  core::OperatorCall call{kind, std::string(worker), {}};
  std::future<std::string> answer = call.answer.get_future();
  inbox_.put(std::move(call));
  if (answer.wait_for(std::chrono::milliseconds(kLoopMs)) != std::future_status::ready)
    return "error it is not done yet\n";
  return answer.get();
}

std::string Node::set_evacuated(bool evacuated) {
  const std::lock_guard lock(state_mutex_);
  if (ending_) return "error this process is ending\n";
  if (evacuated != std::exchange(evacuated_, evacuated)) {
    core::log_line(evacuated ? "evacuate: clients are sent away" : "activate: clients are taken again");
    side_.read_until = evacuated ? clock_.now() + kReadOnMs : net::ClientSide::kAlways;
  }
  front_.ready = takes_clients();
  kin_.set_ready(takes_clients());
  if (addition_) addition_->set_taking(!evacuated);
  if (evacuated)
    clients_.evacuate();
  else
    clients_.activate();
  return "done\n";
}

void Node::finish() {
  const double told = clock_.now();
  const double last = told + std::min(longest_ms_, kMostDeadlineMs) + kFinishMs;
  core::log_line("end: SIGTERM, " + std::to_string(clients_.open()) + " client links open");
  {
    const std::lock_guard lock(state_mutex_);
    ending_ = true;
    // Whoever asks for health at the clients' address, over a link to us, asks for the other process too.
    front_.ready = hands_over();
    kin_.set_ready(false);
  }
  if (tether_) tether_->stop_passing();
  const auto pause_until = [this](double until, bool while_open) {
    const auto is_busy = [this] { return clients_.open() > 0 || (addition_ && addition_->busy() > 0); };
    while (clock_.now() < until && (!while_open || is_busy())) ::poll(nullptr, 0, 10);
  };
  // Where all deadlines are shorter than that, what is read later is answered in time all the same.
  const double read_until = last - std::min(longest_ms_, kLastQueriesMs);
  side_.read_until = read_until;
  if (front_.ready) {
    core::log_line("end: the next process takes the clients");
    clients_.leave_to_other();
  } else {
    pause_until(std::max(told + kAcceptOnMs, read_until), false);
    clients_.stop_accepting();
  }
  pause_until(clock_.now() + kLastAnswersMs, false);
  pause_until(last, true);
  if (addition_) addition_->close();  // what it has out stays on its disk as it is
  inbox_.put(core::FinishAll{});
  pause_until(last + kLastAnswersMs, true);
  core::log_line("end: done, " + std::to_string(clients_.open()) + " client links open");
}

}  // namespace woadtide
