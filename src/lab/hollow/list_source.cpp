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

constexpr double kCpuSampleMs = 200;
constexpr std::size_t kMostRequest = 8 * 1024;
constexpr std::int64_t kWholeList = -1;  // key of a line that goes on from no version
constexpr std::string_view kSince = "since=";
constexpr std::string_view kAnswerHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view kEmptyLine = "1\r\n\n\r\n";

std::string chunk_of(const std::string& line) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

// 0 where the request names none.
std::int64_t since_of(std::string_view request) {
  const std::size_t at = request.find(kSince);
  std::int64_t since = 0;
  if (at == std::string_view::npos) return since;
  const std::string_view digits = request.substr(at + kSince.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), since);
  return since;
}

double thread_cpu_ms() {
  timespec taken{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &taken);
  return static_cast<double>(taken.tv_sec) * 1e3 + static_cast<double>(taken.tv_nsec) / 1e6;
}

void add_one(std::vector<int>& by_second, std::size_t second) {
  if (by_second.size() <= second) by_second.resize(second + 1);
  by_second[second] += 1;
}

}  // namespace

// The address of one client.
struct ListSource::Listener : park::Guest {
  Listener(ListSource& at, std::size_t of, net::Socket from)
      : source(at), client(of), socket(std::move(from)) {}
  void ready(park::Signs) override {
    const std::lock_guard lock(source.mutex_);
    source.accept_all(*this);
  }
  void late() override {}

  ListSource& source;
  const std::size_t client;
  net::Socket socket;
};

// One call, and the watch that it may become.
struct ListSource::Connection : park::Guest {
  enum class State { reading, waiting, watching, closing };

  Connection(ListSource& at, std::size_t of, CallQueue::CallId as, net::Socket from)
      : source(at), client(of), id(as), socket(std::move(from)) {}
  void ready(park::Signs signs) override {
    const std::lock_guard lock(source.mutex_);
    if (!source.connections_.contains(id)) return;
    if (signs.writable) source.flush(*this);
    if (signs.readable || signs.closed) source.read(*this);
  }
  void late() override {
    const std::lock_guard lock(source.mutex_);
    if (source.connections_.contains(id)) source.send_empty_line(*this);
  }

  ListSource& source;
  const std::size_t client;
  const CallQueue::CallId id;
  net::Socket socket;
  park::Park::Token place = park::Park::kNone;
  State state = State::reading;
  std::string request;
  std::int64_t since = 0;         // what the client said that it knows
  std::int64_t sent_version = 0;  // what it knows once all of `out` is sent
  double last_line_at = 0;
  std::deque<Piece> out;
  std::size_t out_offset = 0;  // of the first piece, bytes that are sent
};

// Endings of calls, and outages.
struct ListSource::Timer : park::Guest {
  explicit Timer(ListSource& of) : source(of) {}
  void ready(park::Signs) override { late(); }
  void late() override {
    const std::lock_guard lock(source.mutex_);
    source.advance();
    source.publish();
    source.cpu_ms_.store(thread_cpu_ms());
  }

  ListSource& source;
};

ListSource::ListSource(ListSourceSettings settings, const core::Clock& clock)
    : settings_(std::move(settings)),
      clock_(clock),
      started_(clock.now()),
      list_(settings_.kept_versions),
      queue_(settings_.calls),
      timer_(std::make_shared<Timer>(*this)),
      park_(clock) {
  timer_place_ = park_.enter(timer_, -1);
  park_.poke(timer_place_, {});
}

ListSource::~ListSource() = default;

std::size_t ListSource::add_client() {
  net::Socket socket = net::Socket::listen_at(net::Address("127.0.0.1:0"));
  ::fcntl(socket.fd(), F_SETFL, O_NONBLOCK);
  const std::lock_guard lock(mutex_);
  const std::size_t number = clients_.size();
  const auto listener = std::make_shared<Listener>(*this, number, std::move(socket));
  clients_.push_back({listener, {}, 0});
  park_.enter(listener, listener->socket.fd());
  return number;
}

std::string ListSource::address(std::size_t client) const {
  const std::lock_guard lock(mutex_);
  return "127.0.0.1:" + std::to_string(clients_.at(client).listener->socket.port());
}

void ListSource::begin_client(std::size_t client, std::int64_t known_version) {
  const std::lock_guard lock(mutex_);
  lateness_.begin_client(client, known_version, std::max(clock_.now(), down_until_));
}

void ListSource::end_client(std::size_t client) {
  const std::lock_guard lock(mutex_);
  lateness_.end_client(client);
  close_watches([client](const Connection& connection) { return connection.client == client; });
}

std::int64_t ListSource::set(const core::Host& host) {
  const std::lock_guard lock(mutex_);
  const std::int64_t version = list_.set(host);
  lateness_.add_change(std::max(clock_.now(), down_until_));
  park_.poke(timer_place_, {});
  return version;
}

core::HostList ListSource::snapshot() const {
  const std::lock_guard lock(mutex_);
  return list_.snapshot();
}

void ListSource::fail_for(double length_ms) {
  const std::lock_guard lock(mutex_);
  go_down(clock_.now(), length_ms);
  park_.poke(timer_place_, {});
}

bool ListSource::is_up() const {
  const std::lock_guard lock(mutex_);
  return clock_.now() >= down_until_;
}

double ListSource::returned_at() const {
  const std::lock_guard lock(mutex_);
  return std::max(returned_at_, down_until_);
}

std::size_t ListSource::open_watches() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& one) { return one.second->state == Connection::State::watching; }));
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

void ListSource::forget_lateness() {
  const std::lock_guard lock(mutex_);
  lateness_.forget_told();
}

std::size_t ListSource::second() const {
  return static_cast<std::size_t>(std::max(0.0, clock_.now() - started_) / 1'000);
}

void ListSource::accept_all(Listener& listener) {
  for (;;) {
    net::Socket socket{net::Fd(::accept4(listener.socket.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!socket) return;
    socket.set_no_delay();
    const CallQueue::CallId id = next_id_++;
    const auto connection = std::make_shared<Connection>(*this, listener.client, id, std::move(socket));
    connections_.emplace(id, connection);
    connection->place = park_.enter(connection, connection->socket.fd());
  }
}

// All that has come; a client says nothing after its request but that it leaves.
void ListSource::read(Connection& connection) {
  std::array<char, 2'048> bytes{};
  for (;;) {
    std::size_t got = 0;
    const net::Io io = connection.socket.receive(bytes.data(), bytes.size(), got);
    if (io == net::Io::late) return;
    if (io != net::Io::done) break;
    clients_[connection.client].traffic.request_bytes += got;
    if (connection.state != Connection::State::reading) continue;
    connection.request.append(bytes.data(), got);
    if (connection.request.find("\r\n\r\n") != std::string::npos) take_request(connection);
    if (connection.request.size() > kMostRequest) break;
  }
  if (connection.state == Connection::State::waiting) {
    queue_.abandon(connection.id);
    counts_.abandoned += 1;
    count_failed();
  }
  close(connection.id);
}

void ListSource::take_request(Connection& connection) {
  connection.since = since_of(connection.request);
  connection.request = {};
  connection.state = Connection::State::waiting;
  counts_.calls += 1;
  add_one(counts_.calls_by_second, second());
  advance();
  queue_.arrive(connection.id, clock_.now(),
                [this, since = connection.since] { return list_.entries_since(since); });
  park_.poke(timer_place_, {});
}

void ListSource::answer(Connection& connection) {
  counts_.answered += 1;
  connection.state = Connection::State::watching;
  connection.out.push_back({std::make_shared<const std::string>(kAnswerHead), 0, false});
  send_line_since(connection, connection.since);
}

void ListSource::refuse(Connection& connection) {
  counts_.refused += 1;
  count_failed();
  connection.state = Connection::State::closing;
  connection.out.push_back({std::make_shared<const std::string>(kRefusal), 0, false});
  flush(connection);
}

void ListSource::count_failed() { add_one(counts_.failed_by_second, second()); }

// One in so many, by client and line: the same lines are cut whatever else happens.
bool ListSource::is_cut(std::size_t client) {
  const int line = clients_[client].lines++;
  const std::string name = std::to_string(settings_.seed) + ' ' + std::to_string(client);
  return woadtide::draw_of(name, line) <= settings_.cut_share;
}

std::shared_ptr<const std::string> ListSource::chunk_since(std::int64_t version, std::size_t& entries) {
  if (rendered_version_ != list_.version()) rendered_.clear();
  rendered_version_ = list_.version();
  auto& [chunk, count] = rendered_[list_.covers(version) ? version : kWholeList];
  if (!chunk) {
    const ListLine line = list_.line_since(version);
    chunk = std::make_shared<const std::string>(chunk_of(line.text));
    count = line.entries;
  }
  entries = count;
  return chunk;
}

void ListSource::send_line_since(Connection& connection, std::int64_t version) {
  std::size_t entries = 0;
  const std::shared_ptr<const std::string> chunk = chunk_since(version, entries);
  connection.last_line_at = clock_.now();
  connection.sent_version = list_.version();
  if (is_cut(connection.client)) {
    counts_.cut_lines += 1;
    connection.state = Connection::State::closing;
    connection.out.push_back(
        {std::make_shared<const std::string>(chunk->substr(0, chunk->size() / 2)), 0, false});
  } else {
    counts_.lines += 1;
    counts_.entries += entries;
    connection.out.push_back({chunk, list_.version(), false});
    park_.wake_at(connection.place, connection.last_line_at + kEmptyLineMs);
  }
  flush(connection);
}

void ListSource::send_empty_line(Connection& connection) {
  if (connection.state != Connection::State::watching) return;
  const double due = connection.last_line_at + kEmptyLineMs;
  if (clock_.now() < due) return park_.wake_at(connection.place, due);
  connection.last_line_at = clock_.now();
  park_.wake_at(connection.place, connection.last_line_at + kEmptyLineMs);
  if (!connection.out.empty()) return;  // it has not read what was sent before
  static const auto text = std::make_shared<const std::string>(kEmptyLine);
  counts_.empty_lines += 1;
  connection.out.push_back({text, 0, true});
  flush(connection);
}

// As much as the kernel takes. A watch that has been sent all goes on with what has changed meanwhile.
void ListSource::flush(Connection& connection) {
  while (!connection.out.empty()) {
    const Piece& piece = connection.out.front();
    const std::string_view left = std::string_view(*piece.text).substr(connection.out_offset);
    const std::size_t sent = connection.socket.send_some({left});
    ClientTraffic& traffic = clients_[connection.client].traffic;
    (piece.is_empty_line ? traffic.empty_bytes : traffic.list_bytes) += sent;
    counts_.bytes += sent;
    if (sent < left.size()) {
      connection.out_offset += sent;
      return;
    }
    connection.out_offset = 0;
    if (piece.version > 0) lateness_.add_told(connection.client, piece.version, clock_.now());
    connection.out.pop_front();
  }
  if (connection.state == Connection::State::closing) return close(connection.id);
  if (connection.state == Connection::State::watching && connection.sent_version < list_.version())
    send_line_since(connection, connection.sent_version);
}

void ListSource::close(CallQueue::CallId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  park_.leave(found->second->place);
  connections_.erase(found);
}

void ListSource::go_down(double at, double length_ms) {
  end_calls(at);
  down_until_ = at + length_ms;
  queue_.set_available(false);
  close_watches([](const Connection&) { return true; });
}

void ListSource::close_watches(const std::function<bool(const Connection&)>& which) {
  std::vector<CallQueue::CallId> watches;
  for (const auto& [id, connection] : connections_)
    if (connection->state == Connection::State::watching && which(*connection)) watches.push_back(id);
  for (const CallQueue::CallId id : watches) close(id);
}

void ListSource::end_calls(double until) {
  for (const CallQueue::Ended& ended : queue_.advance(until)) {
    const auto found = connections_.find(ended.call);
    if (found == connections_.end()) continue;
    const std::shared_ptr<Connection> connection = found->second;
    if (ended.ending == CallQueue::Ending::answered)
      answer(*connection);
    else
      refuse(*connection);
  }
}

// Outages and endings of calls that are due by now, in the order of their times.
void ListSource::advance() {
  const double now = clock_.now();
  if (next_outage_ < settings_.outages.size()) {
    const Outage& outage = settings_.outages[next_outage_];
    if (started_ + outage.start_ms <= now) {
      next_outage_ += 1;
      go_down(started_ + outage.start_ms, outage.length_ms);
    }
  }
  if (down_until_ > 0 && now >= down_until_) {
    end_calls(down_until_);
    returned_at_ = std::exchange(down_until_, 0);
    queue_.set_available(true);
  }
  end_calls(now);
  double next = std::min(now + kCpuSampleMs, queue_.next_due());
  if (next_outage_ < settings_.outages.size())
    next = std::min(next, started_ + settings_.outages[next_outage_].start_ms);
  if (down_until_ > 0) next = std::min(next, down_until_);
  park_.wake_at(timer_place_, next);
}

// To all watches that are behind and have been sent all before; the others go on once they have.
void ListSource::publish() {
  if (std::exchange(published_, list_.version()) == list_.version()) return;
  std::vector<std::shared_ptr<Connection>> watches;
  for (const auto& [id, connection] : connections_)
    if (connection->state == Connection::State::watching && connection->out.empty())
      watches.push_back(connection);
  for (const auto& connection : watches)
    if (connection->sent_version < list_.version()) send_line_since(*connection, connection->sent_version);
}

}  // namespace woadtide::lab::hollow
