#include "net/server_links.hpp"

#include <poll.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

namespace woadtide::net {

using woadtide::Status;

namespace {

// The decision loop cancels an execution at its deadline. This margin only keeps a link from staying open for
// ever if it did not.
constexpr double kCancelBackstopMs = 2'000;
// How long the end of a response body may follow its last line before the link is not worth keeping.
constexpr double kBodyTailTimeoutMs = 200;
constexpr double kProbeTimeoutMs = 1'000;
// A worker may pause between two lines, but not within one: a link that stalls there will not deliver the
// result, and an idempotent query can still complete in time on another worker.
constexpr double kPartialLineTimeoutMs = 1'500;
// The last byte of a query is delayed by two round trips, as the connect showed them, but by no more than
// this; plus Limits::last_byte_delay_ms for the worker to react.
constexpr double kMaxRoundTripDelayMs = 25;
// Delay before a connect is retried after a local or network error, and the maximum number of attempts: a
// request waits for a fraction of the 0.25 s that settings allow for a connect, and may then use another
// link.
constexpr double kConnectRetryDelayMs = 5;
constexpr int kMaxConnectAttempts = 10;
// The budget that an attempt announces to its worker may exceed the time left to the client when the attempt
// begins by at most 0.15 s (operating requirement). A third of that is reserved for the delay between client
// and dispatcher, which is not observable here.
constexpr double kBudgetSlackMs = 100;
constexpr std::size_t kMaxLoadReportBytes = 512;

// SAX handler that extracts the fields used here from a worker's event line without building a tree of the
// rest. The load report is converted to the format that it has in a header, `name=value,name=value`.
struct WorkerEvent : nlohmann::json_sax<nlohmann::json> {
  bool is_object = false;
  std::string id, state;
  std::optional<std::string> result;
  std::string load;

  bool key(std::string& name) override {
    if (depth_ == 2 && in_load_) metric_name_ = std::move(name);
    if (depth_ != 1) return true;
    in_load_ = name == "load";
    if (in_load_) load.clear();
    current_field_ = name == "id"       ? Field::id
                     : name == "state"  ? Field::state
                     : name == "result" ? Field::result
                                        : Field::none;
    return true;
  }
  // Of a duplicate key the last value counts.
  bool string(std::string& text) override {
    if (current_field_ == Field::id) id = std::move(text);
    if (current_field_ == Field::state) state = std::move(text);
    if (current_field_ == Field::result) result = std::move(text);
    current_field_ = Field::none;
    return true;
  }
  bool start_object(std::size_t) override {
    is_object |= depth_ == 0;
    return enter_container();
  }
  bool start_array(std::size_t) override { return enter_container(); }
  bool end_object() override { return --depth_, true; }
  bool end_array() override { return --depth_, true; }
  bool null() override { return ignore_value(); }
  bool boolean(bool) override { return ignore_value(); }
  bool number_integer(number_integer_t value) override { return append_metric(std::to_string(value)); }
  bool number_unsigned(number_unsigned_t value) override { return append_metric(std::to_string(value)); }
  bool number_float(number_float_t, const std::string& text) override { return append_metric(text); }
  bool binary(binary_t&) override { return ignore_value(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  enum class Field { none, id, state, result };
  bool enter_container() {
    depth_ += 1;
    return ignore_value();
  }
  bool append_metric(const std::string& text) {
    if (depth_ == 2 && in_load_ && load.size() < kMaxLoadReportBytes)
      load.append(load.empty() ? "" : ",").append(metric_name_).append("=").append(text);
    return ignore_value();
  }
  // Handles a value of a type that is not used: a field that must be a string is unset by it.
  bool ignore_value() {
    if (current_field_ == Field::id) id.clear();
    if (current_field_ == Field::state) state.clear();
    if (current_field_ == Field::result) result.reset();
    current_field_ = Field::none;
    return true;
  }
  Field current_field_ = Field::none;
  int depth_ = 0;
  bool in_load_ = false;
  std::string metric_name_;  // the load report's key whose value comes next
};

std::string request_head(const core::Execution& execution, const std::string& dial,
                         double advertised_budget_ms) {
  const core::Payload& payload = execution.payload;
  std::string head;
  head.reserve(payload.target.size() + payload.header_fields.size() + 160);
  head.append(payload.method).append(" ").append(payload.target).append(" HTTP/1.1\r\nHost: ").append(dial);
  head.append("\r\n").append(payload.header_fields);
  head.append("X-Budget: ").append(std::to_string(std::llround(advertised_budget_ms))).append("m\r\n");
  std::size_t body_size = 0;
  for (const std::string_view piece : payload.body) body_size += piece.size();
  head.append("Content-Length: ").append(std::to_string(body_size)).append("\r\n\r\n");
  return head;
}

}  // namespace

ServerLinks::ServerLinks(Limits limits, core::Clock& clock, core::Inbox& inbox,
                         const EndpointListClient& endpoint_list, BufferPool& buffer_pool,
                         park::EventLoop& event_loop, park::ThreadPool& thread_pool)
    : limits_(limits),
      clock_(clock),
      inbox_(inbox),
      endpoint_list_(endpoint_list),
      buffer_pool_(buffer_pool),
      event_loop_(event_loop),
      thread_pool_(thread_pool) {}

ServerLinks::~ServerLinks() {
  {
    std::unique_lock lock(mutex_);
    for (const auto& link : links_) {
      link->cancelled = true;
      if (link->socket) link->socket.shut_down();
    }
    sending_done_.wait(lock, [this] { return sending_count_ == 0; });
    while (!links_.empty()) close_link(*links_.front());
  }
  event_loop_.quiesce();
}

// Called by the decision loop --------------------------------------------------------------------------

void ServerLinks::start(core::Execution execution) { start_task(std::move(execution), false); }

void ServerLinks::probe(const std::string& worker) {
  core::Execution execution;
  execution.worker = worker;
  execution.payload.method = "GET";
  execution.payload.target = "/stats";
  execution.deadline = clock_.now() + kProbeTimeoutMs;
  start_task(std::move(execution), true);
}

void ServerLinks::set_excluded(const std::string& worker, bool excluded) {
  const std::lock_guard lock(mutex_);
  if (excluded)
    excluded_workers_.insert(worker);
  else
    excluded_workers_.erase(worker);
}

void ServerLinks::start_task(core::Execution execution, bool is_probe) {
  const auto endpoint = endpoint_list_.find(execution.worker);
  Task task{std::move(execution), is_probe, endpoint.value_or(EndpointListClient::ResolvedEndpoint{})};
  if (!endpoint) return deliver(task, {Status::connect_failed});
  const auto link = acquire_link(task);
  // The link limit is reached: nothing was sent, and it says nothing about the worker.
  if (!link) return deliver(task, {Status::not_started});
  link->task = std::move(task);
  if (thread_pool_.try_submit([this, link] { run_task(*link); })) return;
  // No thread is available either; the thread pool has logged that.
  deliver(link->task, {Status::not_started});
  const std::lock_guard lock(mutex_);
  sending_count_ -= 1;
  release_link(*link, static_cast<bool>(link->socket));
}

// Returns an idle or new link, in phase `sending`; nullptr if the limit is reached and no link is idle.
std::shared_ptr<ServerLinks::Link> ServerLinks::acquire_link(const Task& task) {
  const std::lock_guard lock(mutex_);
  Link* link = take_idle_link(task);
  if (!link) {
    if (!evict_idle_links(limits_.max_links - 1)) {
      if (busy_log_.allow(clock_.now()))
        core::log_line("server links: all " + std::to_string(limits_.max_links) + " are busy");
      return nullptr;
    }
    const auto new_link = std::make_shared<Link>(*this);
    new_link->worker = task.execution.worker;
    new_link->dial = task.endpoint.dial;
    new_link->position = links_.insert(links_.end(), new_link);
    link = new_link.get();
  }
  link->phase = Phase::sending;
  link->cancelled = link->withdrawn = link->unprocessed_event = false;
  link->key = task.execution.key;
  sending_count_ += 1;
  return link->shared_from_this();
}

// Takes the newest idle link of the worker, so that the others can expire. A link that the worker has closed
// would end the execution in a reset, so the socket is checked before it is used again: the event loop's
// notification may still be on its way.
ServerLinks::Link* ServerLinks::take_idle_link(const Task& task) {
  for (;;) {
    const auto idle = idle_.find(task.execution.worker);
    if (idle == idle_.end()) return nullptr;
    Link* const link = idle->second.back();
    if (link->dial == task.endpoint.dial && link->socket.is_idle()) {
      remove_from_idle(*link);
      return link;
    }
    close_link(*link);
  }
}

void ServerLinks::remove_from_idle(Link& link) {
  const auto idle = idle_.find(link.worker);
  std::erase(idle->second, &link);
  if (idle->second.empty()) idle_.erase(idle);
}

// Closes the links that were idle longest until at most `max_links` are open. False if none is left to close.
bool ServerLinks::evict_idle_links(std::size_t max_links) {
  while (links_.size() > max_links) {
    Link* oldest = nullptr;
    for (const auto& [worker, idle] : idle_)
      if (!oldest || idle.front()->idle_since < oldest->idle_since) oldest = idle.front();
    if (!oldest) return false;
    close_link(*oldest);
  }
  return true;
}

void ServerLinks::set_max_links(std::size_t max_links) {
  const std::lock_guard lock(mutex_);
  limits_.max_links = max_links;
  evict_idle_links(max_links);
}

void ServerLinks::close_link(Link& link) {
  if (link.phase == Phase::closed) return;
  if (link.phase == Phase::idle) remove_from_idle(link);
  link.phase = Phase::closed;
  event_loop_.remove(link.token);
  links_.erase(link.position);
}

void ServerLinks::release_link(Link& link, bool reusable) {
  if (link.phase == Phase::closed) return;
  if (link.cancelled || !reusable) return close_link(link);
  link.phase = Phase::idle;
  link.idle_since = clock_.now();
  idle_[link.worker].push_back(&link);
  event_loop_.set_timeout(link.token, link.idle_since + limits_.idle_timeout_ms);
}

void ServerLinks::cancel(const core::ExecutionKey& key) {
  const std::lock_guard lock(mutex_);
  for (const auto& link : links_) {
    if (link->phase == Phase::idle || link->key != key) continue;
    link->cancelled = true;
    if (link->socket) link->socket.shut_down();
  }
}

// Only before the commit, which checks for it under the same mutex.
void ServerLinks::withdraw(const core::ExecutionKey& key) {
  const std::lock_guard lock(mutex_);
  for (const auto& link : links_) {
    if (link->phase != Phase::sending || link->key != key) continue;
    link->cancelled = link->withdrawn = true;
    if (link->socket) link->socket.shut_down();
  }
}

// Connecting and sending, on pool threads ------------------------------------------------------------------

void ServerLinks::run_task(Link& link) {
  std::optional<Outcome> outcome;
  try {
    outcome = connect_and_send(link);
  } catch (const std::exception& error) {
    // A local error before the last byte was sent: nothing ran, and it says nothing about the worker.
    log_local_failure(error.what());
    outcome = Outcome{Status::not_started};
  }
  // The sent count need not wake the decision loop; it is read with the next message.
  const bool report_sent = !outcome && !link.task.is_probe;
  if (report_sent) inbox_.push(core::ExecutionSent{link.task.execution.key}, core::Inbox::Notify::with_next);
  if (outcome) deliver(link.task, std::move(*outcome));
  const std::lock_guard lock(mutex_);
  sending_count_ -= 1;
  sending_done_.notify_all();
  if (outcome) return close_link(link);
  // From here on the event loop reads the response.
  link.intake.emplace(link.socket, clock_, buffer_pool_);
  link.response_deadline = link.task.execution.deadline + kCancelBackstopMs;
  link.phase = Phase::awaiting_response;
  event_loop_.set_timeout(link.token, link.response_deadline);
  if (link.unprocessed_event || link.cancelled) event_loop_.wake(link.token, {.readable = true});
}

// Connects if needed and sends the query. Returns an outcome if the last byte was not sent: then nothing ran.
// A link that was up and breaks before that says little about its worker, a reused one least of all: the
// execution is retried once on a new link.
std::optional<ServerLinks::Outcome> ServerLinks::connect_and_send(Link& link) {
  for (bool retried = false;; retried = true) {
    const bool reused = static_cast<bool>(link.socket);
    if (!reused)
      if (auto outcome = connect(link)) return outcome;
    auto outcome = send_query(link, reused);
    if (retried || !outcome || outcome->status != Status::connect_failed) return outcome;
    const std::lock_guard lock(mutex_);
    event_loop_.remove(std::exchange(link.token, park::EventLoop::kNoToken));
    link.socket = Socket{};
  }
}

std::optional<ServerLinks::Outcome> ServerLinks::connect(Link& link) {
  const double deadline = std::min(clock_.now() + limits_.connect_timeout_ms, link.task.execution.deadline);
  ConnectError error = try_connect(link, deadline);
  for (int attempts = 1; attempts < kMaxConnectAttempts; ++attempts) {
    // An error reported by the peer is final. A condition of this machine or of the network may pass in a
    // moment.
    const bool is_transient = error == ConnectError::local_shortage || error == ConnectError::unreachable;
    if (!is_transient || is_cancelled(link) || clock_.now() + kConnectRetryDelayMs >= deadline) break;
    ::poll(nullptr, 0, static_cast<int>(kConnectRetryDelayMs));
    error = try_connect(link, deadline);
  }
  if (error != ConnectError::none)
    return link_failure(link,
                        error == ConnectError::local_shortage ? Status::not_started : Status::connect_failed);
  const std::lock_guard lock(mutex_);
  link.token = event_loop_.add(link.shared_from_this(), link.socket.fd());
  return std::nullopt;
}

// A single attempt. A cancelled link gives ConnectError::own.
ConnectError ServerLinks::try_connect(Link& link, double deadline) {
  const Address& address = link.task.endpoint.address;
  Socket new_socket;
  try {
    new_socket = Socket::create(address);
  } catch (const std::system_error& error) {
    log_local_failure(error.what());
    return ConnectError::local_shortage;
  }
  {
    const std::lock_guard lock(mutex_);
    if (link.cancelled) return ConnectError::local_shortage;
    link.socket = std::move(new_socket);
  }
  const double started_at = clock_.now();
  const ConnectError error = link.socket.try_connect(address, deadline - started_at);
  link.last_byte_delay_ms =
      limits_.last_byte_delay_ms + std::min(2 * (clock_.now() - started_at), kMaxRoundTripDelayMs);
  return error;
}

void ServerLinks::log_local_failure(const char* message) {
  const std::lock_guard lock(mutex_);
  if (local_failure_log_.allow(clock_.now())) core::log_line(std::string("server link: ") + message);
}

bool ServerLinks::is_cancelled(const Link& link) {
  const std::lock_guard lock(mutex_);
  return link.cancelled;
}

// The last byte separates executions that never ran from those that may have run. A worker that closed the
// link, or resets it when a query arrives, is noticed a round trip after the first bytes. So the last byte is
// delayed for that long, and a payout on a broken link can still go to another worker.
std::optional<ServerLinks::Outcome> ServerLinks::send_query(Link& link, bool reused) {
  const Task& task = link.task;
  const core::Execution& execution = task.execution;
  // The connect may have lasted beyond a drain notice or an exclusion by an operator, and nothing new may go
  // to a worker that drains or is excluded. It says nothing about the worker.
  const auto endpoint = endpoint_list_.find(execution.worker);
  if (!endpoint || endpoint->entry.state != woadtide::WorkerState::ready || is_excluded(execution.worker))
    return Outcome{Status::not_started};
  // Nor may a repeat be sent that its worker would no longer recognise as one, because connecting or queueing
  // took too long.
  if (clock_.now() + link.last_byte_delay_ms > execution.not_after) return Outcome{Status::not_started};
  link.advertised_budget_ms = std::max(execution.deadline - clock_.now(), 0.0);
  const std::string head = request_head(execution, task.endpoint.dial, link.advertised_budget_ms);
  std::vector<std::string_view> parts{head};
  for (const std::string_view piece : execution.payload.body)
    if (!piece.empty()) parts.push_back(piece);
  const std::string_view last = parts.back().substr(parts.back().size() - 1);
  parts.back().remove_suffix(1);
  const double deadline = execution.deadline + kCancelBackstopMs;
  if (link.socket.send(parts, deadline, clock_) != IoResult::done ||
      !link.socket.stays_open(link.last_byte_delay_ms))
    return link_failure(link, Status::connect_failed);
  // Bytes on a reused link before its query is complete belong to an earlier query: the worker has answered
  // twice.
  if (reused && !link.socket.is_idle()) return link_failure(link, Status::connect_failed);
  if (auto outcome = commit(link)) return outcome;
  if (link.socket.send({last}, deadline, clock_) != IoResult::done)
    return link_failure(link, Status::connect_failed);
  return std::nullopt;
}

// The only place that decides whether an execution begins. A repeat outside its deduplication window would be
// a second payout; at the deadline its client has gone; and a worker may rely on the budget that it was
// given.
std::optional<ServerLinks::Outcome> ServerLinks::commit(Link& link) {
  const core::Execution& execution = link.task.execution;
  const std::lock_guard lock(mutex_);
  if (link.cancelled) return outcome_after_cancel(link, Status::cancelled);
  const double now = clock_.now();
  if (now > std::min(execution.deadline, execution.not_after)) return Outcome{Status::not_started};
  if (link.advertised_budget_ms > execution.deadline - now + kBudgetSlackMs)
    return Outcome{Status::not_started};
  link.phase = Phase::committed;
  return std::nullopt;
}

// Outcome of a response other than 200. Only a 503 or 504 with `X-Rejected: 1` proves that nothing ran. A 4xx
// is caused by the query.
ServerLinks::Outcome ServerLinks::outcome_for_status(const MessageHead& head) {
  const bool rejected = head.find("X-Rejected") == "1" && (head.status == 503 || head.status == 504);
  return {rejected ? Status::full : Status::error, {}, head.status >= 400 && head.status < 500};
}

// After the last byte, on the event loop thread: the execution may have run --------------------------------

void ServerLinks::handle_readiness(Link& link, park::ReadinessEvents events) {
  Phase phase = Phase::closed;
  {
    const std::lock_guard lock(mutex_);
    phase = link.phase;
    const bool has_input = events.readable || events.closed;
    if (phase == Phase::sending || phase == Phase::committed) link.unprocessed_event |= has_input;
    // Closed by the worker, or unsolicited bytes.
    if (phase == Phase::idle && has_input && !link.socket.is_idle()) close_link(link);
    if (!has_input) return;
  }
  if (phase == Phase::discarding_tail) {
    link.intake->begin_turn();
    if (discard_rest_of_body(link)) {
      const std::lock_guard lock(mutex_);
      release_link(link, true);
    }
  }
  if (phase != Phase::awaiting_response || process_available_input(link)) return;
  const double deadline = link.task.execution.deadline + kCancelBackstopMs;
  const bool message_begun =
      link.body_lines ? link.body_lines->has_partial_line() : !link.intake->view().empty();
  link.response_deadline =
      message_begun ? std::min(deadline, clock_.now() + kPartialLineTimeoutMs) : deadline;
  event_loop_.set_timeout(
      link.token, link.intake->starved() ? clock_.now() + kResumeReadDelayMs : link.response_deadline);
}

void ServerLinks::handle_timeout(Link& link) {
  {
    const std::lock_guard lock(mutex_);
    if (link.phase == Phase::idle || link.phase == Phase::discarding_tail) return close_link(link);
    if (link.phase != Phase::awaiting_response) return;
  }
  if (process_available_input(link)) return;
  const double now = clock_.now();
  if (now >= link.response_deadline) {
    link.body_lines.reset();
    return finish(link, link_failure(link, Status::reset));
  }
  event_loop_.set_timeout(link.token,
                          link.intake->starved() ? now + kResumeReadDelayMs : link.response_deadline);
}

// Reads all that has been received. True if that completed the execution.
bool ServerLinks::process_available_input(Link& link) {
  std::optional<Outcome> outcome;
  link.intake->begin_turn();
  try {
    outcome = read_response(link);
  } catch (const std::exception& error) {  // for example out of memory
    core::log_line(std::string("server link: ") + error.what());
    link.body_lines.reset();
    outcome = {Status::reset};
  }
  if (outcome) finish(link, std::move(*outcome));
  return outcome.has_value();
}

// A malformed rest of the body makes the link unusable, but does not affect the result before it.
bool ServerLinks::discard_rest_of_body(Link& link) {
  try {
    while (!link.body_lines->discard_received())
      if (link.intake->read_more(BufferedInput::kNoWait) != IoResult::done) return false;
    link.body_lines.reset();
    link.intake.reset();
    return true;
  } catch (const BadMessage&) {
    link.body_lines.reset();
    const std::lock_guard lock(mutex_);
    close_link(link);
    return false;
  }
}

// `body_lines` is set if the link can be reused once the body is complete.
void ServerLinks::finish(Link& link, Outcome outcome) {
  const Task task = std::move(link.task);
  const bool reusable = link.body_lines && discard_rest_of_body(link);
  {
    // Release the link before the outcome is delivered: the decision loop may have the next execution for
    // this worker at once.
    const std::lock_guard lock(mutex_);
    if (reusable || !link.body_lines) {
      release_link(link, reusable);
    } else if (link.phase == Phase::awaiting_response) {
      link.phase = Phase::discarding_tail;
      event_loop_.set_timeout(link.token, clock_.now() + kBodyTailTimeoutMs);
    }
  }
  deliver(task, std::move(outcome));
}

std::optional<ServerLinks::Outcome> ServerLinks::read_response(Link& link) {
  try {
    while (!link.body_lines) {
      IoResult read_status = IoResult::done;
      const auto length = link.intake->read_head(BufferedInput::kNoWait, read_status);
      if (!length && read_status == IoResult::timed_out) return std::nullopt;
      if (!length) return link_failure(link, Status::reset);
      const MessageHead head = parse_response_head(link.intake->view().substr(0, *length));
      const Framing framing = response_framing(head);
      const int status = head.status;
      Outcome outcome = outcome_for_status(head);
      outcome.load_report = head.find("X-Load-Report").value_or("");
      link.intake->consume(*length);
      if (status < 200) continue;
      link.closes_after_response = framing.closes_link;
      link.body_lines.emplace(*link.intake, framing);
      if (status == 200) break;
      if (link.closes_after_response) link.body_lines.reset();
      return outcome;
    }
    auto outcome = read_events(link);
    if (outcome && (link.closes_after_response || outcome->status == Status::reset)) link.body_lines.reset();
    return outcome;
  } catch (const BadMessage&) {
    link.body_lines.reset();
    return link_failure(link, Status::error);  // the worker answered, but the response cannot be parsed
  }
}

std::optional<ServerLinks::Outcome> ServerLinks::read_events(Link& link) {
  const core::ExecutionKey& key = link.task.execution.key;
  std::string line;
  for (;;) {
    const auto line_status = link.body_lines->next(line, BufferedInput::kNoWait);
    if (line_status == LineReader::Result::timed_out) return std::nullopt;
    if (line_status != LineReader::Result::line) return link_failure(link, Status::reset);
    if (line.empty()) continue;
    if (link.task.is_probe) return Outcome{Status::ok, std::move(line)};
    WorkerEvent event;
    // Another query's result must not reach this client.
    if (!nlohmann::json::sax_parse(line, &event) || !event.is_object || event.id != key.query)
      throw BadMessage(400, "not an event of this execution");
    const std::string& state = event.state;
    // If the final event has been received too, the decision loop is woken once for both.
    const auto call = link.body_lines->has_line() ? core::Inbox::Notify::with_next : core::Inbox::Notify::now;
    if (state == "started") inbox_.push_hint(core::ExecutionStarted{key}, call);
    if (state == "running") inbox_.push_hint(core::ExecutionProgress{key}, call);
    if (state == "failed") return Outcome{Status::error, {}, false, true, std::move(event.load)};
    if (state == "returned") return Outcome{Status::full, {}, false, false, std::move(event.load)};
    if (state == "lost") return Outcome{Status::reset, {}, false, false, std::move(event.load)};
    if (state != "done") continue;
    if (!event.result) throw BadMessage(400, "a result is not a string");
    return Outcome{Status::ok, std::move(*event.result), false, false, std::move(event.load)};
  }
}

// The outcome of a broken link; a cancelled link was shut down by this process.
ServerLinks::Outcome ServerLinks::link_failure(Link& link, Status default_status) {
  const std::lock_guard lock(mutex_);
  return outcome_after_cancel(link, default_status);
}

// Called with the mutex held.
ServerLinks::Outcome ServerLinks::outcome_after_cancel(const Link& link, Status default_status) {
  return {link.withdrawn ? Status::not_started : link.cancelled ? Status::cancelled : default_status};
}

bool ServerLinks::is_excluded(const std::string& worker) {
  const std::lock_guard lock(mutex_);
  return excluded_workers_.contains(worker);
}

void ServerLinks::deliver(const Task& task, Outcome outcome) {
  if (task.is_probe)
    inbox_.push(core::ProbeEnded{task.execution.worker, outcome.status, std::move(outcome.result)});
  else
    inbox_.push(core::ExecutionEnded{task.execution.key, outcome.status, std::move(outcome.result),
                                     outcome.bad_query, outcome.worker_failed,
                                     std::move(outcome.load_report)});
}

}  // namespace woadtide::net
