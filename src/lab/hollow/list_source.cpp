#include "lab/hollow/list_source.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <deque>
#include <string_view>
#include <utility>

#include "numbers.hpp"

namespace woadtide::lab::hollow {

namespace {

constexpr double kCpuSampleIntervalMs = 200;
constexpr std::size_t kMaxRequestBytes = 8 * 1024;
constexpr std::int64_t kCompleteListKey = -1;  // cache key of the complete list
constexpr std::string_view kSinceParameter = "since=";
constexpr std::string_view kAnswerHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view kEmptyLine = "1\r\n\n\r\n";

std::string make_chunk(const std::string& line) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

// The version that the request asks to continue from; 0 if it names none.
std::int64_t parse_since(std::string_view request) {
  const std::size_t at = request.find(kSinceParameter);
  std::int64_t since = 0;
  if (at == std::string_view::npos) return since;
  const std::string_view digits = request.substr(at + kSinceParameter.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), since);
  return since;
}

double thread_cpu_ms() {
  timespec cpu_time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) * 1e3 + static_cast<double>(cpu_time.tv_nsec) / 1e6;
}

void count_in_second(std::vector<int>& by_second, std::size_t index) {
  if (by_second.size() <= index) by_second.resize(index + 1);
  by_second[index] += 1;
}

}  // namespace

// Listener on the address of one client.
struct ListSource::Listener : park::EventHandler {
  Listener(ListSource& at, std::size_t of, net::Socket from)
      : source(at), client(of), socket(std::move(from)) {}
  void on_ready(park::ReadinessEvents) override {
    const std::lock_guard lock(source.mutex_);
    source.accept_pending(*this);
  }
  void on_timeout() override {}

  ListSource& source;
  const std::size_t client;
  net::Socket socket;
};

// One call, and the watch that it becomes once answered.
struct ListSource::Connection : park::EventHandler {
  enum class State { reading, waiting, watching, closing };

  Connection(ListSource& at, std::size_t of, CallQueue::CallId as, net::Socket from)
      : source(at), client(of), id(as), socket(std::move(from)) {}
  void on_ready(park::ReadinessEvents signs) override {
    const std::lock_guard lock(source.mutex_);
    if (!source.connections_.contains(id)) return;
    if (signs.writable) source.flush(*this);
    if (signs.readable || signs.closed) source.read_available(*this);
  }
  void on_timeout() override {
    const std::lock_guard lock(source.mutex_);
    if (source.connections_.contains(id)) source.send_empty_line(*this);
  }

  ListSource& source;
  const std::size_t client;
  const CallQueue::CallId id;
  net::Socket socket;
  park::EventLoop::Token token = park::EventLoop::kNoToken;
  State state = State::reading;
  std::string request;
  std::int64_t since = 0;         // the version that the client said it has
  std::int64_t sent_version = 0;  // the version it has once all of `output` is sent
  double last_line_at_ms = 0;
  std::deque<OutputItem> output;
  std::size_t output_offset = 0;  // bytes of the first item that were sent
};

// Handles timed events: outcomes of calls, and outages.
struct ListSource::Timer : park::EventHandler {
  explicit Timer(ListSource& of) : source(of) {}
  void on_ready(park::ReadinessEvents) override { on_timeout(); }
  void on_timeout() override {
    const std::lock_guard lock(source.mutex_);
    source.process_due_events();
    source.publish_changes();
    source.cpu_ms_.store(thread_cpu_ms());
  }

  ListSource& source;
};

ListSource::ListSource(ListSourceSettings settings, const core::Clock& clock)
    : settings_(std::move(settings)),
      clock_(clock),
      started_at_ms_(clock.now()),
      list_(settings_.history_limit),
      queue_(settings_.calls),
      timer_(std::make_shared<Timer>(*this)),
      event_loop_(clock) {
  timer_token_ = event_loop_.add(timer_, -1);
  event_loop_.wake(timer_token_, {});
}

ListSource::~ListSource() = default;

std::size_t ListSource::add_client() {
  net::Socket socket = net::Socket::listen_at(net::Address("127.0.0.1:0"));
  ::fcntl(socket.fd(), F_SETFL, O_NONBLOCK);
  const std::lock_guard lock(mutex_);
  const std::size_t number = clients_.size();
  const auto listener = std::make_shared<Listener>(*this, number, std::move(socket));
  clients_.push_back({listener, {}, 0});
  event_loop_.add(listener, listener->socket.fd());
  return number;
}

std::string ListSource::address(std::size_t client) const {
  const std::lock_guard lock(mutex_);
  return "127.0.0.1:" + std::to_string(clients_.at(client).listener->socket.port());
}

void ListSource::start_client(std::size_t client, std::int64_t known_version) {
  const std::lock_guard lock(mutex_);
  lateness_.start_client(client, known_version, std::max(clock_.now(), outage_until_ms_));
}

void ListSource::stop_client(std::size_t client) {
  const std::lock_guard lock(mutex_);
  lateness_.stop_client(client);
  close_watches([client](const Connection& connection) { return connection.client == client; });
}

std::int64_t ListSource::set(const core::Endpoint& host) {
  const std::lock_guard lock(mutex_);
  const std::int64_t version = list_.set(host);
  lateness_.add_change(std::max(clock_.now(), outage_until_ms_));
  event_loop_.wake(timer_token_, {});
  return version;
}

core::EndpointList ListSource::snapshot() const {
  const std::lock_guard lock(mutex_);
  return list_.snapshot();
}

void ListSource::start_outage(double length_ms) {
  const std::lock_guard lock(mutex_);
  begin_outage(clock_.now(), length_ms);
  event_loop_.wake(timer_token_, {});
}

bool ListSource::is_up() const {
  const std::lock_guard lock(mutex_);
  return clock_.now() >= outage_until_ms_;
}

double ListSource::recovered_at() const {
  const std::lock_guard lock(mutex_);
  return std::max(recovered_at_ms_, outage_until_ms_);
}

std::size_t ListSource::open_watches() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second->state == Connection::State::watching; }));
}

ListSourceCounts ListSource::counts() const {
  const std::lock_guard lock(mutex_);
  ListSourceCounts counts = counts_;
  counts.wasted_turns = queue_.wasted_turns();
  return counts;
}

ClientTraffic ListSource::traffic(std::size_t client) const {
  const std::lock_guard lock(mutex_);
  return clients_.at(client).traffic;
}

LatenessSummary ListSource::lateness() const {
  const std::lock_guard lock(mutex_);
  return lateness_.summary();
}

void ListSource::reset_lateness() {
  const std::lock_guard lock(mutex_);
  lateness_.clear_deliveries();
}

std::size_t ListSource::elapsed_seconds() const {
  return static_cast<std::size_t>(std::max(0.0, clock_.now() - started_at_ms_) / 1'000);
}

void ListSource::accept_pending(Listener& listener) {
  for (;;) {
    net::Socket socket{net::Fd(::accept4(listener.socket.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!socket) return;
    socket.set_no_delay();
    const CallQueue::CallId id = next_id_++;
    const auto connection = std::make_shared<Connection>(*this, listener.client, id, std::move(socket));
    connections_.emplace(id, connection);
    connection->token = event_loop_.add(connection, connection->socket.fd());
  }
}

// Reads all available bytes. After its request a client sends nothing more: end of stream is its disconnect.
void ListSource::read_available(Connection& connection) {
  std::array<char, 2'048> bytes{};
  for (;;) {
    std::size_t received_bytes = 0;
    const net::IoResult io = connection.socket.receive(bytes.data(), bytes.size(), received_bytes);
    if (io == net::IoResult::timed_out) return;
    if (io != net::IoResult::done) break;
    clients_[connection.client].traffic.request_bytes += received_bytes;
    if (connection.state != Connection::State::reading) continue;
    connection.request.append(bytes.data(), received_bytes);
    if (connection.request.find("\r\n\r\n") != std::string::npos) enqueue_request(connection);
    if (connection.request.size() > kMaxRequestBytes) break;
  }
  if (connection.state == Connection::State::waiting) {
    queue_.abandon(connection.id);
    counts_.abandoned += 1;
    count_failed();
  }
  close(connection.id);
}

void ListSource::enqueue_request(Connection& connection) {
  connection.since = parse_since(connection.request);
  connection.request = {};
  connection.state = Connection::State::waiting;
  counts_.calls += 1;
  count_in_second(counts_.calls_by_second, elapsed_seconds());
  process_due_events();
  queue_.add_call(connection.id, clock_.now(),
                  [this, since = connection.since] { return list_.entries_since(since); });
  event_loop_.wake(timer_token_, {});
}

void ListSource::send_answer(Connection& connection) {
  counts_.answered += 1;
  connection.state = Connection::State::watching;
  connection.output.push_back({std::make_shared<const std::string>(kAnswerHead), 0, false});
  send_line_since(connection, connection.since);
}

void ListSource::send_refusal(Connection& connection) {
  counts_.refused += 1;
  count_failed();
  connection.state = Connection::State::closing;
  connection.output.push_back({std::make_shared<const std::string>(kRefusal), 0, false});
  flush(connection);
}

void ListSource::count_failed() { count_in_second(counts_.failed_by_second, elapsed_seconds()); }

// Decides by seed, client and line number, so that the same lines are cut whatever else happens.
bool ListSource::is_cut(std::size_t client) {
  const int line = clients_[client].lines++;
  const std::string name = std::to_string(settings_.seed) + ' ' + std::to_string(client);
  return woadtide::stable_draw(name, line) <= settings_.cut_share;
}

std::shared_ptr<const std::string> ListSource::chunk_since(std::int64_t version, std::size_t& entries) {
  if (chunk_cache_version_ != list_.version()) chunk_cache_.clear();
  chunk_cache_version_ = list_.version();
  auto& [chunk, count] = chunk_cache_[list_.covers(version) ? version : kCompleteListKey];
  if (!chunk) {
    const ListLine line = list_.line_since(version);
    chunk = std::make_shared<const std::string>(make_chunk(line.text));
    count = line.entries;
  }
  entries = count;
  return chunk;
}

void ListSource::send_line_since(Connection& connection, std::int64_t version) {
  std::size_t entries = 0;
  const std::shared_ptr<const std::string> chunk = chunk_since(version, entries);
  connection.last_line_at_ms = clock_.now();
  connection.sent_version = list_.version();
  if (is_cut(connection.client)) {
    counts_.cut_lines += 1;
    connection.state = Connection::State::closing;
    connection.output.push_back(
        {std::make_shared<const std::string>(chunk->substr(0, chunk->size() / 2)), 0, false});
  } else {
    counts_.lines += 1;
    counts_.entries += entries;
    connection.output.push_back({chunk, list_.version(), false});
    event_loop_.set_timeout(connection.token, connection.last_line_at_ms + kEmptyLineMs);
  }
  flush(connection);
}

void ListSource::send_empty_line(Connection& connection) {
  if (connection.state != Connection::State::watching) return;
  const double due_ms = connection.last_line_at_ms + kEmptyLineMs;
  if (clock_.now() < due_ms) return event_loop_.set_timeout(connection.token, due_ms);
  connection.last_line_at_ms = clock_.now();
  event_loop_.set_timeout(connection.token, connection.last_line_at_ms + kEmptyLineMs);
  if (!connection.output.empty()) return;  // the client has not read the previous output
  static const auto text = std::make_shared<const std::string>(kEmptyLine);
  counts_.empty_lines += 1;
  connection.output.push_back({text, 0, true});
  flush(connection);
}

// Sends as much as the kernel accepts. A watch whose output is all sent gets the changes made meanwhile.
void ListSource::flush(Connection& connection) {
  while (!connection.output.empty()) {
    const OutputItem& item = connection.output.front();
    const std::string_view unsent = std::string_view(*item.text).substr(connection.output_offset);
    const std::size_t sent = connection.socket.send_available({unsent});
    ClientTraffic& traffic = clients_[connection.client].traffic;
    (item.is_empty_line ? traffic.empty_bytes : traffic.list_bytes) += sent;
    counts_.bytes += sent;
    if (sent < unsent.size()) {
      connection.output_offset += sent;
      return;
    }
    connection.output_offset = 0;
    if (item.version > 0) lateness_.add_delivery(connection.client, item.version, clock_.now());
    connection.output.pop_front();
  }
  if (connection.state == Connection::State::closing) return close(connection.id);
  if (connection.state == Connection::State::watching && connection.sent_version < list_.version())
    send_line_since(connection, connection.sent_version);
}

void ListSource::close(CallQueue::CallId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  event_loop_.remove(found->second->token);
  connections_.erase(found);
}

void ListSource::begin_outage(double start_ms, double length_ms) {
  complete_calls(start_ms);
  outage_until_ms_ = start_ms + length_ms;
  queue_.set_available(false);
  close_watches([](const Connection&) { return true; });
}

void ListSource::close_watches(const std::function<bool(const Connection&)>& which) {
  std::vector<CallQueue::CallId> watches;
  for (const auto& [id, connection] : connections_)
    if (connection->state == Connection::State::watching && which(*connection)) watches.push_back(id);
  for (const CallQueue::CallId id : watches) close(id);
}

void ListSource::complete_calls(double until_ms) {
  for (const CallQueue::CompletedCall& completed : queue_.advance(until_ms)) {
    const auto found = connections_.find(completed.call);
    if (found == connections_.end()) continue;
    const std::shared_ptr<Connection> connection = found->second;
    if (completed.outcome == CallQueue::Outcome::answered)
      send_answer(*connection);
    else
      send_refusal(*connection);
  }
}

// Processes outages and call outcomes that are due by now, in order of time.
void ListSource::process_due_events() {
  const double now = clock_.now();
  if (next_outage_ < settings_.outages.size()) {
    const Outage& outage = settings_.outages[next_outage_];
    if (started_at_ms_ + outage.start_ms <= now) {
      next_outage_ += 1;
      begin_outage(started_at_ms_ + outage.start_ms, outage.length_ms);
    }
  }
  if (outage_until_ms_ > 0 && now >= outage_until_ms_) {
    complete_calls(outage_until_ms_);
    recovered_at_ms_ = std::exchange(outage_until_ms_, 0);
    queue_.set_available(true);
  }
  complete_calls(now);
  double next_ms = std::min(now + kCpuSampleIntervalMs, queue_.next_due());
  if (next_outage_ < settings_.outages.size())
    next_ms = std::min(next_ms, started_at_ms_ + settings_.outages[next_outage_].start_ms);
  if (outage_until_ms_ > 0) next_ms = std::min(next_ms, outage_until_ms_);
  event_loop_.set_timeout(timer_token_, next_ms);
}

// Sends new changes to all watches without pending output; flush() continues the others once theirs is sent.
void ListSource::publish_changes() {
  if (std::exchange(published_version_, list_.version()) == list_.version()) return;
  std::vector<std::shared_ptr<Connection>> watches;
  for (const auto& [id, connection] : connections_)
    if (connection->state == Connection::State::watching && connection->output.empty())
      watches.push_back(connection);
  for (const auto& connection : watches)
    if (connection->sent_version < list_.version()) send_line_since(*connection, connection->sent_version);
}

}  // namespace woadtide::lab::hollow
