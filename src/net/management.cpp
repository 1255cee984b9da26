#include "net/management.hpp"

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <utility>

namespace woadtide::net {

namespace {
constexpr std::size_t kMaxLineBytes = 512;
// Somebody may be typing the line; when all connections are in use, such a connection is closed sooner.
constexpr double kLineTimeoutMs = 10'000;
constexpr double kSendTimeoutMs = 1'000;

std::string_view take_word(std::string_view& text) {
  constexpr std::string_view kSpace = " \t\r";
  text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
  const std::string_view word = text.substr(0, text.find_first_of(kSpace));
  text.remove_prefix(word.size());
  return word;
}
}  // namespace

ManagementServer::ManagementServer(Socket listener, const core::Clock& clock, park::EventLoop& event_loop,
                                   park::ThreadPool& thread_pool, CommandHandler handler)
    : clock_(clock),
      event_loop_(event_loop),
      thread_pool_(thread_pool),
      handler_(std::move(handler)),
      listener_(std::move(listener)) {
  // A connection that was closed between the notification and accept() must not block accept().
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  token_ = event_loop_.add(*this, listener_.fd());
}

ManagementServer::~ManagementServer() {
  event_loop_.remove(token_);
  event_loop_.quiesce();
  std::unique_lock lock(mutex_);
  for (Connection& connection : connections_) connection.socket.shut_down();
  connection_closed_.wait(lock, [this] { return connections_.empty(); });
}

void ManagementServer::on_ready(park::ReadinessEvents) { on_timeout(); }

void ManagementServer::on_timeout() {
  while (ensure_capacity() && accept_connection()) {
  }
}

// Accepts one connection. False if none waits, or none can be accepted now.
bool ManagementServer::accept_connection() {
  Socket socket{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!socket) {
    const AcceptError error = accept_error(errno);
    if (error == AcceptError::system_refused) event_loop_.set_timeout(token_, clock_.now() + kAcceptRetryMs);
    return error == AcceptError::retry_now;
  }
  const std::lock_guard lock(mutex_);
  connections_.emplace_back().socket = std::move(socket);
  const auto connection = std::prev(connections_.end());
  if (!thread_pool_.try_submit([this, connection] { serve(connection); }, true)) {
    connection->socket.send_available({"error there is no thread for it now\n"});
    connections_.erase(connection);
  }
  return true;
}

// True if another connection may be accepted. False if all are in use, or if in that case none waits. If one
// waits, the oldest connection without a pending answer is closed: some clients keep a connection for seconds
// without sending a whole line, and the next command must not wait for them.
bool ManagementServer::ensure_capacity() {
  const std::lock_guard lock(mutex_);
  if (connections_.size() < kMaxConnections) return true;
  if (poll_until(listener_.fd(), POLLIN, -1, 0, clock_).first == 0) return false;
  connection_waiting_ = true;
  if (full_log_.allow(clock_.now())) core::log_line("management: more callers than places");
  const auto evicted =
      std::find_if(connections_.begin(), connections_.end(), [](auto& c) { return !c.busy && !c.evicted; });
  const bool eviction_pending =
      std::any_of(connections_.begin(), connections_.end(), [](auto& c) { return c.evicted; });
  if (evicted != connections_.end() && !eviction_pending) {
    evicted->evicted = true;
    evicted->socket.shut_down();
  }
  return false;
}

void ManagementServer::serve(std::list<Connection>::iterator position) {
  Connection& connection = *position;
  try {
    std::string line;
    const bool complete = read_line(connection, line);
    const std::string answer = complete ? execute_line(line) : "error no whole line came\n";
    const bool sent =
        connection.socket.send({answer}, clock_.now() + kSendTimeoutMs, clock_) == IoResult::done;
    set_busy(connection, false);
    if (sent) {
      // Closing with unread input would reset the connection and could discard the answer.
      connection.socket.shut_down(SHUT_WR);
      std::array<char, 256> discarded{};
      std::size_t received = 0;
      const double deadline = clock_.now() + kSendTimeoutMs;
      while (connection.socket.receive(discarded.data(), discarded.size(), received, deadline, clock_) ==
                 IoResult::done &&
             clock_.now() < deadline) {
      }
    }
  } catch (const std::exception& error) {
    core::log_line(std::string("management: ") + error.what());
  }
  const std::lock_guard lock(mutex_);
  connections_.erase(position);
  if (std::exchange(connection_waiting_, false)) event_loop_.wake(token_, {});
  connection_closed_.notify_all();
}

// A line without its end is rejected: a truncated id could be that of another worker.
bool ManagementServer::read_line(Connection& connection, std::string& line) {
  const double deadline = clock_.now() + kLineTimeoutMs;
  std::array<char, kMaxLineBytes> buffer{};
  for (std::size_t end = std::string::npos; end == std::string::npos; end = line.find('\n')) {
    std::size_t received = 0;
    if (line.size() >= kMaxLineBytes ||
        connection.socket.receive(buffer.data(), buffer.size(), received, deadline, clock_) != IoResult::done)
      return false;
    line.append(buffer.data(), received);
  }
  line.resize(line.find('\n'));
  set_busy(connection, true);
  return true;
}

void ManagementServer::set_busy(Connection& connection, bool busy) {
  const std::lock_guard lock(mutex_);
  connection.busy = busy;
}

std::string ManagementServer::execute_line(std::string_view line) const {
  const std::string_view command = take_word(line), argument = take_word(line);
  if (!take_word(line).empty()) return "error a call has one argument at most\n";
  return handler_(command, argument);
}

}  // namespace woadtide::net
