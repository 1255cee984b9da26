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

constexpr std::size_t kMostOutbox = 2'000'000;  // more than all ids that a process remembers
constexpr std::size_t kMostPeers = 3;
constexpr std::array<std::string_view, 7> kNames = {"exclude", "include", "query", "told",
                                                    "ready",   "unready", "list"};
constexpr std::string_view kVersion = "version";

}  // namespace

Succession::Succession(const core::Clock& clock, core::Inbox& inbox, park::Park& park,
                       std::function<void(std::size_t)> shared)
    : clock_(clock), inbox_(inbox), park_(park), shared_(std::move(shared)) {}

Succession::~Succession() { end(); }

// What an operator was told `done` for goes out before the link ends.
void Succession::end() {
  stopping_ = true;
  park_.leave(token_);
  park_.quiesce();
  std::list<Peer> ended;
  {
    const std::lock_guard lock(mutex_);
    ended.swap(peers_);
    for (Peer& peer : ended) peer.wake.notify_all();
  }
  for (Peer& peer : ended) {
    peer.writer.join();
    peer.socket.shut();
  }
}

// First to whoever listens there, then the place is taken over: the rename leaves no moment without a
// listener.
void Succession::meet(const std::string& folder, const std::string& name, double wait_ms) {
  Socket link = make_unix();
  const UnixPlace place(folder, name), fresh(folder, name + '.' + std::to_string(::getpid()));
  if (link && place.call(::connect, link) && peer_of(link) > 0) {
    core::log_line("upgrade: another process of this dispatcher runs");
    join(std::move(link));
  }
  listener_ = listen_over(place, fresh);
  if (listener_) {
    token_ = park_.enter(*this, listener_.fd());
  } else {
    core::log_line("upgrade: no next process can find this one: " + std::generic_category().message(errno));
  }
  std::unique_lock lock(mutex_);
  const bool told = news_.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms), [this] {
    return std::all_of(peers_.begin(), peers_.end(), [](const Peer& p) { return p.told || p.over; });
  });
  const auto unlike = std::find_if(peers_.begin(), peers_.end(), [](const Peer& p) { return p.unlike; });
  if (unlike != peers_.end())
    throw std::runtime_error("the process that runs speaks version " + std::to_string(unlike->version) +
                             " between processes, this one " + std::to_string(core::kKinVersion) +
                             ": they may be one step apart");
  if (!told) core::log_line("upgrade: the other process tells nothing; going on without");
}

void Succession::ready(park::Signs) {
  while (!stopping_) {
    Socket link{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
    if (!link) {
      const int error = errno;
      const AcceptError why = accept_error(error);
      if (why == AcceptError::this_one) continue;
      if (why == AcceptError::machine) {
        if (no_accept_.due(clock_.now()))
          core::log_line("upgrade: " + std::generic_category().message(error));
        park_.wake_at(token_, clock_.now() + kAcceptAgainMs);
      }
      return;
    }
    reap();
    if (peer_of(link) > 0) join(std::move(link));
  }
}

void Succession::join(Socket socket) {
  {
    const std::lock_guard lock(mutex_);
    if (peers_.size() == kMostPeers) return;
    Peer& peer = peers_.emplace_back();
    peer.socket = std::move(socket);
    peer.outbox = std::string(kVersion) + ' ' + std::to_string(core::kKinVersion) + '\n';
    if (ready_) put(peer, {Word::Kind::ready});
    alone_ = false;
    const timeval patience{0, 300'000};  // for a process that reads nothing, as one that was stopped
    ::setsockopt(peer.socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    peer.writer = park::Thread("kin-writer", [this, &peer] { write(peer); });
    peer.reader = park::Thread("kin-reader", [this, &peer] { read(peer); });
  }
  inbox_.put(core::KinJoined{});
}

// Until the other one ends, or its process does.
void Succession::read(Peer& peer) {
  shared_(processes());
  tell_sharers();
  std::string come;
  std::array<char, 4096> bytes{};
  for (;;) {
    const ssize_t got = ::recv(peer.socket.fd(), bytes.data(), bytes.size(), 0);
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) break;
    come.append(bytes.data(), static_cast<std::size_t>(got));
    std::size_t from = 0;
    for (std::size_t end; (end = come.find('\n', from)) != std::string::npos; from = end + 1)
      take(peer, come.substr(from, end - from));
    come.erase(0, from);
  }
  {
    const std::lock_guard lock(mutex_);
    peer.over = true;
    peer.ready = false;
    alone_ = std::all_of(peers_.begin(), peers_.end(), [](const Peer& p) { return p.over; });
    peer.wake.notify_all();
    news_.notify_all();
  }
  if (stopping_) return;
  core::log_line("upgrade: the other process has ended");
  shared_(processes());
  tell_sharers();
}

void Succession::write(Peer& peer) {
  std::unique_lock lock(mutex_);
  while (!peer.over) {
    peer.wake.wait(lock, [&] { return peer.over || stopping_ || !peer.outbox.empty(); });
    if (peer.outbox.empty()) break;
    const std::string out = std::exchange(peer.outbox, {});
    lock.unlock();
    for (std::size_t sent = 0; sent < out.size();) {
      const ssize_t count = ::send(peer.socket.fd(), out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) {  // its reader sees the end
        peer.socket.shut();
        break;
      }
      sent += static_cast<std::size_t>(count);
    }
    lock.lock();
  }
}

void Succession::take(Peer& peer, const std::string& line) {
  const std::size_t space = std::min(line.find(' '), line.size());
  if (line.substr(0, space) == kVersion)
    return meet_version(peer, line.substr(std::min(space + 1, line.size())));
  const auto name = std::find(kNames.begin(), kNames.end(), std::string_view(line).substr(0, space));
  if (name == kNames.end()) return;  // another version's
  Word word{static_cast<Word::Kind>(name - kNames.begin()), line.substr(std::min(space + 1, line.size()))};
  std::unique_lock lock(mutex_);
  switch (word.kind) {
    case Word::Kind::told:
      peer.told = true;
      news_.notify_all();
      return;
    case Word::Kind::ready:
    case Word::Kind::unready:
      peer.ready = word.kind == Word::Kind::ready;
      lock.unlock();
      return tell_sharers();
    case Word::Kind::exclude:
    case Word::Kind::include:
    case Word::Kind::query:
    case Word::Kind::list:
      break;
  }
  for (Peer& other : peers_)
    if (&other != &peer) put(other, word);
  lock.unlock();
  inbox_.put(core::KinSaid{std::move(word)});
}

// One that says none is of the version before there were any. More than a step apart neither knows what the
// other one's words leave out: the link ends, and who came second does not start.
void Succession::meet_version(Peer& peer, const std::string& text) {
  int version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  if (std::abs(version - core::kKinVersion) <= 1) return;
  core::log_line("upgrade: refused: the other process speaks version " + std::to_string(version) +
                 ", this one " + std::to_string(core::kKinVersion));
  const std::lock_guard lock(mutex_);
  peer.version = version;
  peer.unlike = true;
  peer.socket.shut();
}

void Succession::put(Peer& peer, const Word& word) {
  if (peer.over) return;
  if (peer.outbox.size() > kMostOutbox) return peer.socket.shut();  // it reads nothing: as good as ended
  peer.outbox.append(kNames[static_cast<std::size_t>(word.kind)]);
  if (!word.id.empty()) peer.outbox.append(" ").append(word.id);
  peer.outbox.push_back('\n');
  peer.wake.notify_all();
}

void Succession::tell(const Word& word) {
  if (alone_) return;
  const std::lock_guard lock(mutex_);
  for (Peer& peer : peers_) put(peer, word);
}

void Succession::set_ready(bool ready) {
  const std::lock_guard lock(mutex_);
  ready_ = ready;
  for (Peer& peer : peers_) put(peer, {ready ? Word::Kind::ready : Word::Kind::unready});
}

bool Succession::other_ready() {
  const std::lock_guard lock(mutex_);
  return std::any_of(peers_.begin(), peers_.end(), [](const Peer& p) { return p.ready; });
}

std::size_t Succession::processes() {
  const std::lock_guard lock(mutex_);
  const auto live = std::count_if(peers_.begin(), peers_.end(), [](const Peer& p) { return !p.over; });
  return 1 + static_cast<std::size_t>(live);
}

// One that takes no clients any more has next to nothing left to send: its turns at cold workers go to the
// others. Itself a process always counts.
void Succession::tell_sharers() {
  const std::lock_guard lock(mutex_);
  const auto others = std::count_if(peers_.begin(), peers_.end(), [](const Peer& p) { return p.ready; });
  inbox_.put(core::Sharers{1 + static_cast<int>(others)});
}

// Threads are joined outside the mutex, which they need for their end.
void Succession::reap() {
  std::list<Peer> ended;
  const std::lock_guard lock(mutex_);
  for (auto it = peers_.begin(); it != peers_.end();) {
    const auto next = std::next(it);
    if (it->over) ended.splice(ended.end(), peers_, it);
    it = next;
  }
}

}  // namespace woadtide::net
