#include "net/succession.hpp"

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

using core::Word;

namespace {

constexpr std::size_t kMaxOutboxBytes = 2'000'000;  // more than all ids that a process remembers
constexpr std::size_t kMaxSiblings = 3;
constexpr std::array<std::string_view, 7> kMessageNames = {"exclude", "include", "query", "told",
                                                           "ready",   "unready", "list"};
constexpr std::string_view kVersionMessage = "version";

}  // namespace

Succession::Succession(const core::Clock& clock, core::Inbox& inbox, park::Park& event_loop,
                       std::function<void(std::size_t)> on_process_count)
    : clock_(clock), inbox_(inbox), event_loop_(event_loop), on_process_count_(std::move(on_process_count)) {}

Succession::~Succession() { end(); }

// Queued messages are sent before the connection ends: an operator may have been told `done` for them.
void Succession::end() {
  stopping_ = true;
  event_loop_.leave(token_);
  event_loop_.quiesce();
  std::list<Sibling> closed;
  {
    const std::lock_guard lock(mutex_);
    closed.swap(siblings_);
    for (Sibling& sibling : closed) sibling.wakeup.notify_all();
  }
  for (Sibling& sibling : closed) {
    sibling.writer.join();
    sibling.socket.shut();
  }
}

// Connects to the current listener first, then replaces its socket file: the rename leaves no moment without
// a listener.
void Succession::meet(const std::string& folder, const std::string& name, double wait_ms) {
  Socket connection = make_unix();
  const UnixPlace socket_path(folder, name), temporary_path(folder, name + '.' + std::to_string(::getpid()));
  if (connection && socket_path.call(::connect, connection) && peer_pid(connection) > 0) {
    core::log_line("upgrade: another process of this dispatcher runs");
    add_sibling(std::move(connection));
  }
  listener_ = listen_over(socket_path, temporary_path);
  if (listener_) {
    token_ = event_loop_.enter(*this, listener_.fd());
  } else {
    core::log_line("upgrade: no next process can find this one: " + std::generic_category().message(errno));
  }
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
                             std::to_string(core::kKinVersion) + ": versions may differ by one");
  if (!synchronized) core::log_line("upgrade: the other process tells nothing; going on without");
}

void Succession::ready(park::Signs) {
  while (!stopping_) {
    Socket connection{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!connection) {
      const int error = errno;
      const AcceptError accept_result = accept_error(error);
      if (accept_result == AcceptError::this_one) continue;
      if (accept_result == AcceptError::machine) {
        if (accept_error_log_.due(clock_.now()))
          core::log_line("upgrade: " + std::generic_category().message(error));
        event_loop_.wake_at(token_, clock_.now() + kAcceptAgainMs);
      }
      return;
    }
    remove_closed();
    if (peer_pid(connection) > 0) add_sibling(std::move(connection));
  }
}

void Succession::add_sibling(Socket socket) {
  {
    const std::lock_guard lock(mutex_);
    if (siblings_.size() == kMaxSiblings) return;
    Sibling& sibling = siblings_.emplace_back();
    sibling.socket = std::move(socket);
    sibling.outbox = std::string(kVersionMessage) + ' ' + std::to_string(core::kKinVersion) + '\n';
    if (accepts_clients_) enqueue(sibling, {Word::Kind::ready});
    alone_ = false;
    const timeval send_timeout{0, 300'000};  // for a process that does not read, for example a stopped one
    ::setsockopt(sibling.socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
    sibling.writer = park::Thread("kin-writer", [this, &sibling] { write_messages(sibling); });
    sibling.reader = park::Thread("kin-reader", [this, &sibling] { read_messages(sibling); });
  }
  inbox_.put(core::KinJoined{});
}

// Reads until the connection or the sibling process ends.
void Succession::read_messages(Sibling& sibling) {
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
  }
  {
    const std::lock_guard lock(mutex_);
    sibling.closed = true;
    sibling.accepts_clients = false;
    alone_ = std::all_of(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return s.closed; });
    sibling.wakeup.notify_all();
    sibling_changed_.notify_all();
  }
  if (stopping_) return;
  core::log_line("upgrade: the other process has ended");
  on_process_count_(process_count());
  post_client_sharers();
}

void Succession::write_messages(Sibling& sibling) {
  std::unique_lock lock(mutex_);
  while (!sibling.closed) {
    sibling.wakeup.wait(lock, [&] { return sibling.closed || stopping_ || !sibling.outbox.empty(); });
    if (sibling.outbox.empty()) break;
    const std::string batch = std::exchange(sibling.outbox, {});
    lock.unlock();
    for (std::size_t sent = 0; sent < batch.size();) {
      const ssize_t count =
          ::send(sibling.socket.fd(), batch.data() + sent, batch.size() - sent, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) {  // the reader handles the end
        sibling.socket.shut();
        break;
      }
      sent += static_cast<std::size_t>(count);
    }
    lock.lock();
  }
}

void Succession::handle_line(Sibling& sibling, const std::string& line) {
  const std::size_t space = std::min(line.find(' '), line.size());
  if (line.substr(0, space) == kVersionMessage)
    return check_version(sibling, line.substr(std::min(space + 1, line.size())));
  const auto name =
      std::find(kMessageNames.begin(), kMessageNames.end(), std::string_view(line).substr(0, space));
  if (name == kMessageNames.end()) return;  // a message of another protocol version
  Word message{static_cast<Word::Kind>(name - kMessageNames.begin()),
               line.substr(std::min(space + 1, line.size()))};
  std::unique_lock lock(mutex_);
  switch (message.kind) {
    case Word::Kind::told:
      sibling.initial_state_received = true;
      sibling_changed_.notify_all();
      return;
    case Word::Kind::ready:
    case Word::Kind::unready:
      sibling.accepts_clients = message.kind == Word::Kind::ready;
      lock.unlock();
      return post_client_sharers();
    case Word::Kind::exclude:
    case Word::Kind::include:
    case Word::Kind::query:
    case Word::Kind::list:
      break;
  }
  for (Sibling& other : siblings_)
    if (&other != &sibling) enqueue(other, message);
  lock.unlock();
  inbox_.put(core::KinSaid{std::move(message)});
}

// A sibling that sends no version has protocol version 1. With versions more than one apart neither process
// knows what the messages of the other leave out: the connection is closed, and the process that started
// later does not start.
void Succession::check_version(Sibling& sibling, const std::string& version_text) {
  int version = 0;
  std::from_chars(version_text.data(), version_text.data() + version_text.size(), version);
  if (std::abs(version - core::kKinVersion) <= 1) return;
  core::log_line("upgrade: refused: the other process speaks version " + std::to_string(version) +
                 ", this one " + std::to_string(core::kKinVersion));
  const std::lock_guard lock(mutex_);
  sibling.version = version;
  sibling.incompatible = true;
  sibling.socket.shut();
}

void Succession::enqueue(Sibling& sibling, const Word& message) {
  if (sibling.closed) return;
  if (sibling.outbox.size() > kMaxOutboxBytes)
    return sibling.socket.shut();  // it does not read: treated as closed
  sibling.outbox.append(kMessageNames[static_cast<std::size_t>(message.kind)]);
  if (!message.id.empty()) sibling.outbox.append(" ").append(message.id);
  sibling.outbox.push_back('\n');
  sibling.wakeup.notify_all();
}

void Succession::tell(const Word& message) {
  if (alone_) return;
  const std::lock_guard lock(mutex_);
  for (Sibling& sibling : siblings_) enqueue(sibling, message);
}

void Succession::set_ready(bool accepts_clients) {
  const std::lock_guard lock(mutex_);
  accepts_clients_ = accepts_clients;
  for (Sibling& sibling : siblings_)
    enqueue(sibling, {accepts_clients ? Word::Kind::ready : Word::Kind::unready});
}

bool Succession::other_ready() {
  const std::lock_guard lock(mutex_);
  return std::any_of(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return s.accepts_clients; });
}

std::size_t Succession::process_count() {
  const std::lock_guard lock(mutex_);
  const auto open_count =
      std::count_if(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return !s.closed; });
  return 1 + static_cast<std::size_t>(open_count);
}

// A process that no longer accepts clients has next to nothing left to send, so its share of requests to cold
// workers goes to the others. A process always counts itself.
void Succession::post_client_sharers() {
  const std::lock_guard lock(mutex_);
  const auto accepting_siblings =
      std::count_if(siblings_.begin(), siblings_.end(), [](const Sibling& s) { return s.accepts_clients; });
  inbox_.put(core::Sharers{1 + static_cast<int>(accepting_siblings)});
}

// The threads are joined after the mutex is released, since they need it to end.
void Succession::remove_closed() {
  std::list<Sibling> closed;
  const std::lock_guard lock(mutex_);
  for (auto it = siblings_.begin(); it != siblings_.end();) {
    const auto next = std::next(it);
    if (it->closed) closed.splice(closed.end(), siblings_, it);
    it = next;
  }
}

}  // namespace woadtide::net
