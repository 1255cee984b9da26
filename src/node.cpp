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

// Descriptors for everything but client and server links: standard streams, listeners, the event loop, the
// connection to service discovery, wake-ups, a config being reloaded, management callers, and links that are
// about to close.
constexpr std::size_t kReservedDescriptors = 28 + net::ManagementServer::kMaxConnections;
// Memory of the program without links, and of the state of one link, both rounded up.
constexpr std::size_t kProgramBytes = 6'000'000, kLinkBytes = 20'000;

// The protocol: after SIGTERM, new client links keep arriving for 0.2 to 0.4 s, and clients use their
// existing links for as long as these stay open, because they have no other dispatcher. SIGKILL follows
// SIGTERM no sooner than the longest deadline (3 s at most) plus 0.7 s, and queries that arrived later than
// 0.7 s must be answered by then.
constexpr double kKeepAcceptingMs = 550;
constexpr double kMaxDeadlineMs = 3'000;
constexpr double kAnswerMarginMs =
    300;  // everything is answered by then, which leaves 0.4 s to write and to exit
constexpr double kLastQueriesMs =
    700;  // time for the last accepted queries: at least half complete within it
constexpr double kLastAnswersMs = 150;  // for answers to be written

// 4 s after an evacuation began, no query may have arrived in the preceding 2 s.
constexpr double kEvacuationReadMs = 1'800;

// Threads beyond those that executions may need: for the watch on service discovery and for management
// callers.
constexpr std::size_t kReservedThreads = net::ManagementServer::kMaxConnections + 2;

// The next process of an upgrade has 6 s to become ready, and so may a restarted one; this is less, which
// leaves time for it to be noticed.
constexpr double kMaxListWaitMs = 5'500;

// How long to retry opening a listener on a machine that is short of descriptors or memory; part of the 6 s
// in which the next process must become ready.
constexpr double kListenTimeoutMs = 2'000;

constexpr int kDecisionLoopTimeoutMs = 900;  // a management call must be answered within 1 s
constexpr double kHandshakeTimeoutMs = 500;  // for the running process to send its state

double longest_deadline_ms(const woadtide::Settings& settings) {
  double longest_ms = 0;
  for (const auto& query_class : settings.classes)
    longest_ms = std::max(longest_ms, core::to_ms(query_class.deadline));
  return longest_ms;
}

net::ServerLinks::Limits server_limits(const woadtide::Settings& settings, const ResourceBudget& budget) {
  net::ServerLinks::Limits limits;
  limits.max_links = budget.server_links;
  if (settings.connect_timeout.count() > 0) limits.connect_timeout_ms = core::to_ms(settings.connect_timeout);
  if (settings.link_idle.count() > 0) limits.idle_timeout_ms = core::to_ms(settings.link_idle) / 2;
  return limits;
}

}  // namespace

ResourceBudget::ResourceBudget(std::size_t descriptors, std::size_t memory_mb, std::size_t processes) {
  descriptors /= processes;
  // Each link holds one descriptor and about kLinkBytes of state. Queries of clients take up to a third of
  // the descriptors; each may need a server link, and misbehaving clients come on top.
  const std::size_t descriptors_for_links =
      std::max(descriptors, 2 * kReservedDescriptors) - kReservedDescriptors;
  const std::size_t usable_bytes = memory_mb * 1'000'000 / 100 * 85 / processes;
  const std::size_t link_memory_bytes = usable_bytes - std::min(usable_bytes, kProgramBytes);
  // Of the 15 % of memory kept free beyond that, the endpoint list may take half at its peak.
  const std::size_t reserved_bytes = memory_mb * 1'000'000 / processes - usable_bytes;
  list_limits = endpoints::endpoint_limits(reserved_bytes / 2 * endpoints::kMemoryShareDivisor);
  // Most queries take one buffer. One buffer per link gives about one and a half per client link, so links
  // take precedence over further buffers.
  const std::size_t links_by_memory = link_memory_bytes / (kLinkBytes + net::kBufferBytes);
  const std::size_t links = std::max<std::size_t>(std::min(descriptors_for_links, links_by_memory), 8);
  server_links = links * 2 / 5;
  client_links = links - server_links;
  worker_buffers = server_links / 4 + 4;
  const std::size_t used_bytes = links * kLinkBytes + worker_buffers * net::kBufferBytes;
  const std::size_t remaining_buffers =
      (link_memory_bytes - std::min(link_memory_bytes, used_bytes)) / net::kBufferBytes;
  // A client link never needs more than five buffers: they hold the largest body.
  client_buffers = std::clamp<std::size_t>(remaining_buffers, 16, 5 * client_links);
}

void validate_addresses(const core::Config& config) {
  net::Address(config.listen);
  net::Address(config.discovery);
  if (!config.management.empty()) net::Address(config.management);
  for (const core::Endpoint& host : config.known_endpoints.endpoints) net::Address(host.address);
}

Node::Node(core::Config config, core::Clock& clock, const ExtensionFactory& extension_factory,
           park::ThreadPool::ThreadFactory start)
    : clock_(clock),
      longest_deadline_ms_(longest_deadline_ms(config.settings)),
      version_line_(core::version_line(config)),
      max_descriptors_(config.max_sockets),
      max_memory_mb_(config.max_memory_mb),
      budget_(max_descriptors_, max_memory_mb_),
      listener_(config.passed_socket_fd >= 0
                    ? net::Socket::adopt_listener(config.passed_socket_fd)
                    : net::Socket::listen_with_retry(net::Address(config.listen), kListenTimeoutMs)),
      listener_duplicate_(config.control_socket_path.empty() ? net::Socket() : listener_.duplicate()),
      management_listener_(
          config.management.empty()
              ? net::Socket()
              : net::Socket::listen_with_retry(net::Address(config.management), kListenTimeoutMs)),
      port_(listener_.port()),
      management_port_(management_listener_ ? management_listener_.port() : 0),
      client_pool_(budget_.client_buffers),
      worker_pool_(budget_.worker_buffers),
      event_loop_(clock),
      thread_pool_({.max_threads = budget_.server_links, .urgent_reserve = kReservedThreads},
                   std::move(start)),
      admission_(*this, event_loop_),
      endpoint_client_(
          config.discovery, config.known_endpoints, clock, inbox_, worker_pool_, event_loop_, thread_pool_,
          config.settings.list_on_request ? net::EndpointListClient::DiscoveryMode::on_request
                                          : net::EndpointListClient::DiscoveryMode::pushed,
          net::EndpointListClient::kSilenceTimeoutMs, [this] { admission_.on_list(); }, budget_.list_limits),
      server_links_(server_limits(config.settings, budget_), clock, inbox_, endpoint_client_, worker_pool_,
                    event_loop_, thread_pool_),
      hot_restart_(clock, inbox_, event_loop_, [this](std::size_t processes) { apply_budget(processes); }),
      extension_(extension_factory ? extension_factory({config.settings, config.class_names, clock, inbox_,
                                                        server_links_, endpoint_client_, event_loop_})
                                   : nullptr),
      decision_loop_(config.settings, config.class_names, config.seed, clock, inbox_,
                     extension_ ? extension_->executor() : server_links_, endpoint_client_, hot_restart_,
                     extension_ ? extension_->observer() : nullptr),
      decision_loop_handler_(decision_loop_, inbox_, event_loop_, clock),
      http_front_(inbox_),
      client_side_{clock, client_pool_, event_loop_, http_front_},
      client_links_(std::move(listener_), budget_.client_links, client_side_),
      shutdown_{*this} {
  if (!config.shared_folder.empty()) {
    // The listen address distinguishes dispatchers that share a directory.
    char name[40];
    std::snprintf(name, sizeof name, "woadtide-%016llx",
                  static_cast<unsigned long long>(fnv1a_hash(config.name + ' ' + config.listen)));
    hot_restart_.join_siblings(config.shared_folder, name, kHandshakeTimeoutMs);
  }
  if (extension_) extension_->open();
  client_links_.start();
  admission_.start();
  // Before the management listener: a caller that sees `ready` there may then connect to the control socket.
  if (!config.control_socket_path.empty())
    control_socket_.emplace(event_loop_, config.control_socket_path, version_line_,
                            std::move(listener_duplicate_));
  if (management_listener_)
    management_.emplace(std::move(management_listener_), clock, event_loop_, thread_pool_,
                        [this](auto call, auto argument) { return handle_management_call(call, argument); });
  core::log_line("start: version " + version_line_);
  core::log_line("start: " + config.name + " serves at " + config.listen + ", client links " +
                 std::to_string(budget_.client_links) + ", server links " +
                 std::to_string(budget_.server_links));
  core::log_line("start: endpoint list of up to " + std::to_string(budget_.list_limits.max_endpoints) +
                 " workers and " + std::to_string(budget_.list_limits.max_update_bytes / 1'000) + " KB");
}

Node::DecisionLoopHandler::DecisionLoopHandler(core::DecisionLoop& decision_loop, core::Inbox& message_inbox,
                                               park::EventLoop& events, const core::Clock& time_source)
    : loop(decision_loop),
      inbox(message_inbox),
      event_loop(events),
      clock(time_source),
      token(event_loop.add(*this, -1)) {
  inbox.set_notifier([this] { event_loop.wake(token, {}); });
  event_loop.wake(token, {});  // process messages that are already queued
}

Node::DecisionLoopHandler::~DecisionLoopHandler() {
  inbox.set_notifier({});  // links, the thread pool and the extension still put messages into it until they
                           // are destroyed later
  event_loop.remove(token);
  event_loop.quiesce();
}

void Node::reload(const core::Config& config) {
  endpoint_client_.set_discovery_address(config.discovery);
  core::log_line("reload: done, discovery at " + config.discovery);
}

Node::~Node() = default;

void Node::Admission::start() {
  token_ = event_loop_.add(*this, -1);
  event_loop_.set_timeout(token_, node_.clock_.now() + kMaxListWaitMs);
  if (list_received_) on_list();
}

void Node::Admission::stop() {
  event_loop_.remove(token_);
  event_loop_.quiesce();
}

void Node::Admission::on_list() {
  list_received_ = true;
  if (token_ != park::EventLoop::kNoToken) event_loop_.wake(token_, {.readable = true});
}

void Node::begin_accepting_clients(const char* reason) {
  const std::lock_guard lock(state_mutex_);
  if (std::exchange(accepting_, true)) return;
  core::log_line(std::string("start: clients are taken in: ") + reason);
  if (!accepts_clients()) return;
  http_front_.reports_ready = true;
  hot_restart_.set_accepts_clients(true);
}

Node::Shutdown::~Shutdown() {
  node.admission_.stop();
  if (node.extension_) node.extension_->close();
  node.hot_restart_.leave_siblings();
}

// The platform counts all processes of a dispatcher as one: together they must stay within its allowance.
void Node::apply_budget(std::size_t processes) {
  const ResourceBudget budget(max_descriptors_, max_memory_mb_, processes);
  client_links_.set_max_links(budget.client_links);
  server_links_.set_max_links(budget.server_links);
  thread_pool_.set_max_threads(budget.server_links);
  client_pool_.set_max_buffers(budget.client_buffers);
  worker_pool_.set_max_buffers(budget.worker_buffers);
  core::log_line("upgrade: " + std::to_string(processes) + " process(es), client links " +
                 std::to_string(budget.client_links) + ", server links " +
                 std::to_string(budget.server_links));
}

std::string Node::handle_management_call(std::string_view call, std::string_view argument) {
  if (call == "exclude" && !argument.empty())
    return request_from_decision_loop(core::OperatorCommand::Kind::exclude, argument);
  if (call == "include" && !argument.empty())
    return request_from_decision_loop(core::OperatorCommand::Kind::include, argument);
  if (!argument.empty()) return "error no such call\n";
  if (call == "readyz") {
    const std::lock_guard lock(state_mutex_);
    return accepts_clients() ? "done ready\n" : "error not ready\n";
  }
  if (call == "version") return "done " + version_line_ + "\n";
  if (call == "figures") return request_from_decision_loop(core::OperatorCommand::Kind::figures, {});
  if (call == "telemetry") return request_from_decision_loop(core::OperatorCommand::Kind::telemetry, {});
  if (call == "evacuate") return set_evacuated(true);
  if (call == "activate") return set_evacuated(false);
  return "error no such call\n";
}

std::string Node::request_from_decision_loop(core::OperatorCommand::Kind kind, std::string_view worker) {
  core::OperatorCommand call{kind, std::string(worker), {}};
  std::future<std::string> answer = call.reply.get_future();
  inbox_.push(std::move(call));
  if (answer.wait_for(std::chrono::milliseconds(kDecisionLoopTimeoutMs)) != std::future_status::ready)
    return "error it is not done yet\n";
  return answer.get();
}

std::string Node::set_evacuated(bool evacuated) {
  const std::lock_guard lock(state_mutex_);
  if (ending_) return "error this process is ending\n";
  if (evacuated != std::exchange(evacuated_, evacuated)) {
    core::log_line(evacuated ? "evacuate: clients are sent away" : "activate: clients are taken again");
    client_side_.read_cutoff_ms =
        evacuated ? clock_.now() + kEvacuationReadMs : net::ClientLinkContext::kNoReadCutoff;
  }
  http_front_.reports_ready = accepts_clients();
  hot_restart_.set_accepts_clients(accepts_clients());
  if (extension_) extension_->set_accepting_clients(!evacuated);
  if (evacuated)
    client_links_.evacuate();
  else
    client_links_.activate();
  return "done\n";
}

void Node::shut_down() {
  const double term_ms = clock_.now();
  const double end_ms = term_ms + std::min(longest_deadline_ms_, kMaxDeadlineMs) + kAnswerMarginMs;
  core::log_line("end: SIGTERM, " + std::to_string(client_links_.open_count()) + " client links open");
  {
    const std::lock_guard lock(state_mutex_);
    ending_ = true;
    // A health check at the clients' address that reaches this process also stands for the other process.
    http_front_.reports_ready = has_successor();
    hot_restart_.set_accepts_clients(false);
  }
  if (control_socket_) control_socket_->stop_passing();
  const auto pause_until = [this](double until, bool while_busy) {
    const auto is_busy = [this] {
      return client_links_.open_count() > 0 || (extension_ && extension_->active_executions() > 0);
    };
    while (clock_.now() < until && (!while_busy || is_busy())) ::poll(nullptr, 0, 10);
  };
  // Where all deadlines are shorter than kLastQueriesMs, queries read later are still answered in time.
  const double read_until = end_ms - std::min(longest_deadline_ms_, kLastQueriesMs);
  client_side_.read_cutoff_ms = read_until;
  if (http_front_.reports_ready) {
    core::log_line("end: the next process takes the clients");
    client_links_.leave_listener_to_sibling();
  } else {
    pause_until(std::max(term_ms + kKeepAcceptingMs, read_until), false);
    client_links_.stop_accepting();
  }
  pause_until(clock_.now() + kLastAnswersMs, false);
  pause_until(end_ms, true);
  if (extension_) extension_->close();  // its open work stays recorded on disk
  inbox_.push(core::FailOpenQueries{});
  pause_until(end_ms + kLastAnswersMs, true);
  core::log_line("end: done, " + std::to_string(client_links_.open_count()) + " client links open");
}

}  // namespace woadtide
