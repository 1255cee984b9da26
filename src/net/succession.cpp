#include "net/succession.hpp"

#include <fcntl.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <system_error>

#include "core/log.hpp"
#include "net/unix_socket.hpp"

namespace woadtide::net {

using core::SiblingMessage;

namespace {

constexpr std::size_t kMaxSiblings = 3;
// How long one send to a sibling that does not read may block; also the delay of this process's end by it.
constexpr timeval kSendTimeout{0, 300'000};
constexpr double kStopCheckIntervalMs = 50;  // of a reader that waits for the decision loop
constexpr double kReachableCheckIntervalMs = 1'000;

}  // namespace

HotRestart::HotRestart(const core::Clock& clock, core::Inbox& inbox, park::EventLoop& event_loop,
                       std::function<void(std::size_t)> on_process_count)
    : clock_(clock), inbox_(inbox), event_loop_(event_loop), on_process_count_(std::move(on_process_count)) {}

HotRestart::~HotRestart() { leave_siblings(); }

// Queued messages are sent before the connection ends: an operator may have been told `done` for them.
void HotRestart::leave_siblings() {
  stopping_ = true;
  park::EventLoop::Token token = park::EventLoop::kNoToken;
  {
    const std::lock_guard lock(mutex_);
    token = token_;
  }
  event_loop_.remove(token);
  event_loop_.quiesce();
  std::list<Sibling> closed;
  {
    const std::lock_guard lock(mutex_);
    closed.swap(siblings_);
    for (Sibling& sibling : closed) sibling.wakeup.notify_all();
  }
  for (Sibling& sibling : closed) {
    sibling.writer.join();
    sibling.socket.shut_down();
  }
}

// Connects to the current listener first, then replaces its socket file: the rename leaves no moment without
// a listener.
void HotRestart::join_siblings(const std::string& folder, const std::string& name, double wait_ms) {
  meeting_point_.emplace(folder, name);
  Socket connection = make_unix_socket();
  if (connection && meeting_point_->socket_path.call(::connect, connection)) {
    if (const int pid = peer_pid(connection); pid > 0) {
      core::log_line("upgrade: another process of this dispatcher runs");
      add_sibling(std::move(connection), pid);
    }
  }
  if (!listen_at_meeting_point())
    core::log_line("upgrade: no next process can find this one: " + std::generic_category().message(errno));
  std::unique_lock lock(mutex_);
  const bool synchronized =
      sibling_changed_.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms), [this] {
        return std::all_of(siblings_.begin(), siblings_.end(),
                           [](const Sibling& s) { return s.initial_state_received || s.closed; });
      });
  const auto incompatible =
      std::find_if(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return s.incompatible; });
  if (incompatible != siblings_.end())
    throw std::runtime_error("the running process speaks version " + std::to_string(incompatible->version) +
                             " of the protocol between processes, this one " +
                             std::to_string(core::kSiblingProtocolVersion) + ": versions may differ by one");
  if (!synchronized) core::log_line("upgrade: the other process tells nothing; going on without");
}

HotRestart::MeetingPoint::MeetingPoint(const std::string& folder, const std::string& name)
    : socket_path(folder, name), temporary_path(folder, name + '.' + std::to_string(::getpid())) {}

// Puts a socket of this process at the meeting point, in place of the one that is there. False, with the
// reason in errno, if that fails; then nothing has changed.
bool HotRestart::listen_at_meeting_point() {
  Socket listener = listen_replacing(meeting_point_->socket_path, meeting_point_->temporary_path);
  if (!listener) return false;
  const std::lock_guard lock(mutex_);
  if (stopping_) return true;
  event_loop_.remove(token_);
  listener_ = std::move(listener);
  listener_file_ = file_identity(meeting_point_->socket_path.path);
  token_ = event_loop_.add(*this, listener_.fd());
  event_loop_.set_timeout(token_, clock_.now() + kReachableCheckIntervalMs);
  return true;
}

void HotRestart::on_ready(park::ReadinessEvents) {
  accept_siblings();
  keep_reachable();
}

void HotRestart::on_timeout() {
  event_loop_.set_timeout(token_, clock_.now() + kReachableCheckIntervalMs);
  accept_siblings();
  keep_reachable();
}

// A process that started later holds the meeting point. Once it has ended, its socket file would lead the
// next process nowhere, and that one would know of no exclusion and of no query in progress here. Where yet
// another process has taken the meeting point meanwhile without finding this one, the two are connected.
void HotRestart::keep_reachable() {
  if (const bool ended = sibling_ended_.exchange(false); stopping_ || !(ended || alone_)) return;
  if (file_identity(meeting_point_->socket_path.path) == listener_file_) return;
  Socket connection = make_unix_socket();
  if (!connection) return;
  ::fcntl(connection.fd(), F_SETFL, O_NONBLOCK);  // the queue of a process that is held up may be full
  if (!meeting_point_->socket_path.call(::connect, connection)) {
    if (errno != ECONNREFUSED && errno != ENOENT) return;
    core::log_line(listen_at_meeting_point()
                       ? std::string("upgrade: the next process will find this one again")
                       : "upgrade: no next process can find this one: " +
                             std::generic_category().message(errno));
    return;
  }
  const int pid = peer_pid(connection);
  if (pid <= 0 || pid == ::getpid() || is_connected_to(pid)) return;
  ::fcntl(connection.fd(), F_SETFL, 0);
  core::log_line("upgrade: another process of this dispatcher runs");
  add_sibling(std::move(connection), pid);
}

bool HotRestart::is_connected_to(int pid) {
  const std::lock_guard lock(mutex_);
  return std::any_of(siblings_.begin(), siblings_.end(),
                     [pid](const Sibling& sibling) { return !sibling.closed && sibling.pid == pid; });
}

void HotRestart::accept_siblings() {
  while (!stopping_) {
    Socket connection{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!connection) {
      const int error = errno;
      const AcceptError accept_result = accept_error(error);
      if (accept_result == AcceptError::retry_now) continue;
      if (accept_result == AcceptError::system_refused) {
        if (accept_error_log_.allow(clock_.now()))
          core::log_line("upgrade: " + std::generic_category().message(error));
        event_loop_.set_timeout(token_, clock_.now() + kAcceptRetryMs);
      }
      return;
    }
    remove_closed();
    if (const int pid = peer_pid(connection); pid > 0) add_sibling(std::move(connection), pid);
  }
}

void HotRestart::add_sibling(Socket socket, int pid) {
  {
    const std::lock_guard lock(mutex_);
    if (siblings_.size() == kMaxSiblings) return;
    Sibling& sibling = siblings_.emplace_back();
    sibling.socket = std::move(socket);
    sibling.pid = pid;
    sibling.outbox.add_version(core::kSiblingProtocolVersion);
    if (accepts_clients_) enqueue(sibling, {SiblingMessage::Kind::ready});
    alone_ = false;
    ::setsockopt(sibling.socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout, sizeof kSendTimeout);
    sibling.writer = park::Thread("kin-writer", [this, &sibling] { write_messages(sibling); });
    sibling.reader = park::Thread("kin-reader", [this, &sibling] { read_messages(sibling); });
  }
  inbox_.push(core::SiblingJoined{});
}

// Reads until the connection or the sibling process ends.
void HotRestart::read_messages(Sibling& sibling) {
  on_process_count_(process_count());
  post_client_sharers();
  std::string received;
  std::array<char, 4096> buffer{};
  for (;;) {
    const ssize_t count = ::recv(sibling.socket.fd(), buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    received.append(buffer.data(), static_cast<std::size_t>(count));
    std::size_t line_start = 0;
    for (std::size_t end; (end = received.find('\n', line_start)) != std::string::npos; line_start = end + 1)
      handle_line(sibling, received.substr(line_start, end - line_start));
    received.erase(0, line_start);
    wait_for_decision_loop(sibling);
  }
  {
    const std::lock_guard lock(mutex_);
    sibling.closed = true;
    sibling.accepts_clients = false;
    alone_ = std::all_of(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return s.closed; });
    sibling_ended_ = true;
    event_loop_.wake(token_, {.readable = true});
    sibling.wakeup.notify_all();
    sibling_changed_.notify_all();
  }
  if (stopping_) return;
  core::log_line("upgrade: the other process has ended");
  on_process_count_(process_count());
  post_client_sharers();
}

void HotRestart::write_messages(Sibling& sibling) {
  std::unique_lock lock(mutex_);
  while (!sibling.closed) {
    sibling.wakeup.wait(lock, [&] { return sibling.closed || stopping_ || !sibling.outbox.is_empty(); });
    if (sibling.outbox.is_empty()) break;
    const std::string lines = sibling.outbox.take_lines();
    lock.unlock();
    if (!send_all(sibling, lines)) sibling.socket.shut_down();  // the reader handles the end
    lock.lock();
  }
}

// A sibling that does not read for a while, for example a stopped process, gets the newest state once it
// does: the outbox is bounded. Only where this process ends, what cannot be sent within the timeout is given
// up.
bool HotRestart::send_all(const Sibling& sibling, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(sibling.socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
      continue;
    }
    const bool may_go_on = errno == EINTR || (errno == EAGAIN && !stopping_);
    if (count == 0 || !may_go_on) return false;
  }
  return true;
}

void HotRestart::handle_line(Sibling& sibling, const std::string& line) {
  const std::size_t space = std::min(line.find(' '), line.size());
  if (line.substr(0, space) == core::kSiblingVersionName)
    return check_version(sibling, line.substr(std::min(space + 1, line.size())));
  const auto& names = core::kSiblingMessageNames;
  const auto name = std::find(names.begin(), names.end(), std::string_view(line).substr(0, space));
  if (name == names.end()) return;  // a message of another protocol version
  SiblingMessage message{static_cast<SiblingMessage::Kind>(name - names.begin()),
                         line.substr(std::min(space + 1, line.size()))};
  std::unique_lock lock(mutex_);
  switch (message.kind) {
    case SiblingMessage::Kind::told:
      sibling.initial_state_received = true;
      sibling_changed_.notify_all();
      return;
    case SiblingMessage::Kind::ready:
    case SiblingMessage::Kind::unready:
      sibling.accepts_clients = message.kind == SiblingMessage::Kind::ready;
      lock.unlock();
      return post_client_sharers();
    case SiblingMessage::Kind::exclude:
    case SiblingMessage::Kind::include:
    case SiblingMessage::Kind::query:
    case SiblingMessage::Kind::list:
      break;
  }
  for (Sibling& other : siblings_)
    if (&other != &sibling) enqueue(other, message);
  lock.unlock();
  sibling.last_queued = inbox_.push(core::SiblingMessageReceived{std::move(message)});
}

// Reads on only when the decision loop has taken what was read before: a sibling that sends faster than the
// loop handles must not fill the inbox. The kernel's buffer and the sibling's outbox hold the rest.
void HotRestart::wait_for_decision_loop(const Sibling& sibling) {
  while (!stopping_ && !inbox_.wait_until_taken(sibling.last_queued, kStopCheckIntervalMs)) {
  }
}

// A sibling that sends no version has protocol version 1. With versions more than one apart neither process
// knows what the messages of the other leave out: the connection is closed, and the process that started
// later does not start.
void HotRestart::check_version(Sibling& sibling, const std::string& version_text) {
  int version = 0;
  std::from_chars(version_text.data(), version_text.data() + version_text.size(), version);
  if (std::abs(version - core::kSiblingProtocolVersion) <= 1) return;
  core::log_line("upgrade: refused: the other process speaks version " + std::to_string(version) +
                 ", this one " + std::to_string(core::kSiblingProtocolVersion));
  const std::lock_guard lock(mutex_);
  sibling.version = version;
  sibling.incompatible = true;
  sibling.socket.shut_down();
}

void HotRestart::enqueue(Sibling& sibling, const SiblingMessage& message) {
  if (sibling.closed) return;
  sibling.outbox.add(message);
  sibling.wakeup.notify_all();
}

void HotRestart::send(const SiblingMessage& message) {
  if (alone_) return;
  const std::lock_guard lock(mutex_);
  for (Sibling& sibling : siblings_) enqueue(sibling, message);
}

void HotRestart::set_accepts_clients(bool accepts_clients) {
  const std::lock_guard lock(mutex_);
  accepts_clients_ = accepts_clients;
  for (Sibling& sibling : siblings_)
    enqueue(sibling, {accepts_clients ? SiblingMessage::Kind::ready : SiblingMessage::Kind::unready});
}

bool HotRestart::sibling_accepts_clients() {
  const std::lock_guard lock(mutex_);
  return std::any_of(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return s.accepts_clients; });
}

std::size_t HotRestart::process_count() {
  const std::lock_guard lock(mutex_);
  const auto open_count =
      std::count_if(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return !s.closed; });
  return 1 + static_cast<std::size_t>(open_count);
}

// A process that no longer accepts clients has next to nothing left to send, so its share of requests to cold
// workers goes to the others. A process always counts itself.
void HotRestart::post_client_sharers() {
  const std::lock_guard lock(mutex_);
  const auto accepting_siblings =
      std::count_if(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return s.accepts_clients; });
  inbox_.push(core::AcceptingProcesses{1 + static_cast<int>(accepting_siblings)});
}

// The threads are joined after the mutex is released, since they need it to end.
void HotRestart::remove_closed() {
  std::list<Sibling> closed;
  const std::lock_guard lock(mutex_);
  for (auto it = siblings_.begin(); it != siblings_.end();) {
    const auto next = std::next(it);
    if (it->closed) closed.splice(closed.end(), siblings_, it);
    it = next;
  }
}

}  // namespace woadtide::net
