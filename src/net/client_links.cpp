#include "net/client_links.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <iterator>
#include <system_error>

namespace woadtide::net {

namespace {
constexpr double kReapMs = 1'000;   // threads of ended links are joined this often at least
constexpr int kMostWaiting = 1024;  // links that the machine may hold for us
constexpr double kSilentMs = 400;   // a query that comes in pieces may pause for so long
constexpr int kFullMs = 5;          // how long to wait where there is no room, before another look
// An evacuation: the front asks every 0.1 s whether we are ready and deals out links for 0.2 s after the
// first no. Links stay open for that long: closed sooner, their clients would be sent here again. By 4 s none
// may be idle or have a query of the last 2 s.
constexpr double kSweepMs = 50;
constexpr double kFrontMs = 400;
constexpr double kLastFirstMs = 1'500;  // then a link that has not brought its first query goes too
constexpr double kFirstMs = 500;        // but for those that have just come, as health checks do
}  // namespace

ClientLinks::ClientLinks(Socket listener, std::size_t most, ClientSide& side)
    : side_(side), most_(most), listener_(std::move(listener)), wake_(::eventfd(0, EFD_CLOEXEC)) {
  if (!wake_) throw std::system_error(errno, std::generic_category(), "eventfd");
  // A client that gave up between poll and accept must not block the acceptor.
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
}

void ClientLinks::start() {
  thread_ = Thread("acceptor", [this] { run(); });
}

// No link may be torn down while its thread could still say where it stands.
ClientLinks::~ClientLinks() {
  stopping_ = over_ = true;
  wake();
  thread_.join();
  std::unique_lock lock(mutex_);
  for (Links& links : links_)
    for (const auto& link : links) {
      link->closing_ = true;
      if (link->socket_) link->socket_.shut();
      link->mailbox_->leave();
    }
  ended_.wait(lock, [this] { return open_here() == 0; });
}

void ClientLinks::stop_accepting() {
  side_.draining = true;
  evacuated_at_ = side_.clock.now() - kLastFirstMs;
  stopping_ = true;
  wake();
}

void ClientLinks::leave_to_other() {
  left_to_other_ = true;
  side_.draining = true;
  evacuated_at_ = side_.clock.now() - kFrontMs;
  stopping_ = true;
  wake();
}

void ClientLinks::set_most(std::size_t most) {
  most_ = most;
  wake();
}

void ClientLinks::evacuate() {
  double never = 0;
  side_.draining = true;
  evacuated_at_.compare_exchange_strong(never, side_.clock.now());  // said again it does not begin anew
  wake();
}

void ClientLinks::activate() {
  evacuated_at_ = 0;
  if (!stopping_) side_.draining = false;
}

void ClientLinks::wake() {
  const std::uint64_t one = 1;
  if (::write(wake_.get(), &one, sizeof one) < 0) core::log_line("acceptor: cannot be woken");
}

std::size_t ClientLinks::open() {
  const std::lock_guard lock(mutex_);
  return open_here();
}

std::size_t ClientLinks::count(Standing standing) {
  const std::lock_guard lock(mutex_);
  return at(standing).size();
}

double ClientLinks::last_moved(Standing standing) {
  const std::lock_guard lock(mutex_);
  return at(standing).empty() ? 0 : at(standing).back()->moved_;
}

std::size_t ClientLinks::open_here() const {
  std::size_t open = 0;
  for (const Links& links : links_) open += links.size();
  return open - links_[static_cast<std::size_t>(Standing::over)].size();
}

bool ClientLinks::stand(ClientLink& link, Standing standing) {
  const std::lock_guard lock(mutex_);
  if (link.closing_) return false;
  put(link, standing);
  return true;
}

void ClientLinks::end(ClientLink& link) {
  const std::lock_guard lock(mutex_);
  if (link.closing_) closing_ -= 1;
  link.socket_ = Socket{};
  put(link, Standing::over);
  ended_.notify_all();
}

void ClientLinks::put(ClientLink& link, Standing standing) {
  at(standing).splice(at(standing).end(), at(link.standing_), link.place_);
  link.standing_ = standing;
  link.moved_ = side_.clock.now();
}

// Wakes its thread, which then ends. Only for a link that has no query at work.
void ClientLinks::close(ClientLink& link) {
  link.closing_ = true;
  closing_ += 1;
  link.socket_.shut();
  put(link, Standing::busy);
}

void ClientLinks::run() {
  while (!over_) {
    // One look at the clock for both: nothing that falls due between them is overslept.
    const double now = side_.clock.now(), until = now + (evacuated_at_ > 0 ? kSweepMs : kReapMs);
    sweep(now);
    const auto [come, woken] = wait_for(listener_.fd(), POLLIN, wake_.get(), until, side_.clock);
    std::uint64_t count = 0;
    if (woken != 0 && ::read(wake_.get(), &count, sizeof count) < 0) core::log_line("acceptor: wake-up lost");
    reap();
    if (come != 0 && !stopping_) accept_one();
    if (stopping_ && listener_) {
      // What the machine accepted has been taken: it is answered like all else. Not without end, where
      // clients connect as fast as they are turned away. Closed, not shut down: another process may listen
      // there too.
      if (!left_to_other_)
        for (int left = kMostWaiting; left > 0 && accept_one(); --left) {
        }
      listener_ = Socket{};
    }
  }
}

void ClientLinks::sweep(double now) {
  const double since = evacuated_at_;
  const std::lock_guard lock(mutex_);
  while (open_here() - closing_ > most_ && shed_one()) {
  }
  if (since <= 0 || now < since + kFrontMs) return;
  for (const Standing standing : {Standing::idle, Standing::asked}) close_quiet(standing, now);
  if (now >= since + kLastFirstMs) close_quiet(Standing::fresh, now - kFirstMs);
  // Half a query is told that no more of it will be taken: its thread, woken, sees to that.
  if (now <= side_.read_until) return;
  for (const auto& link : at(Standing::reading))
    if (link->socket_.quiet()) link->socket_.shut(SHUT_RD);
}

// Under the mutex. One whose bytes have come is left: its query is answered, and its link closed by that.
void ClientLinks::close_quiet(Standing standing, double opened_before) {
  for (auto it = at(standing).begin(); it != at(standing).end();) {
    ClientLink& link = **it++;
    if (link.opened_ <= opened_before && link.socket_.quiet()) close(link);
  }
}

// False where nobody is waiting.
bool ClientLinks::accept_one() {
  make_room();
  Socket socket{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!socket) {
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      // Not expected inside the budget of links; the client waits in the machine's queue meanwhile.
      if (no_room_.due(side_.clock.now())) core::log_line("acceptor: out of descriptors or memory");
      ::poll(nullptr, 0, kFullMs);
      return true;
    }
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EBADF && errno != EINVAL;
  }
  socket.set_no_delay();
  try {
    // Under the mutex until it is in the list: its thread may say at once where it stands.
    const std::lock_guard lock(mutex_);
    Links& fresh = at(Standing::fresh);
    fresh.push_back(std::make_unique<ClientLink>(std::move(socket), side_, *this));
    fresh.back()->place_ = std::prev(fresh.end());
    fresh.back()->moved_ = side_.clock.now();
  } catch (const std::exception& failed) {
    core::log_line(std::string("acceptor: ") + failed.what());
  }
  return true;
}

// At the edge links go first that asked for health at some time and stayed, then those that are silent and
// never completed a query: clients that connect by the hundred and say nothing, or half a head, must not push
// out those that are served, nor those whose query is coming in. Then served ones, longest idle first. Where
// all have a query at work, new ones wait.
void ClientLinks::make_room() {
  std::unique_lock lock(mutex_);
  while (open_here() >= most_ && !over_) {
    if (all_open_.due(side_.clock.now()))
      core::log_line("acceptor: all " + std::to_string(most_) + " client links are open, " +
                     std::to_string(at(Standing::fresh).size() + at(Standing::reading).size()) +
                     " unserved, " + std::to_string(at(Standing::asked).size() + at(Standing::idle).size()) +
                     " idle");
    // One at a time: what was told to close is about to make the room.
    if (closing_ == 0) shed_one();
    ended_.wait_for(lock, std::chrono::milliseconds(kFullMs));
  }
}

bool ClientLinks::shed_one() {
  const double now = side_.clock.now();
  const auto oldest = [this](Standing standing, double moved_before) {
    const Links& links = at(standing);
    return !links.empty() && links.front()->moved_ <= moved_before ? links.front().get() : nullptr;
  };
  ClientLink* shed = oldest(Standing::asked, now - kSilentMs);
  if (!shed) shed = unserved(now - kSilentMs);
  if (!shed) shed = oldest(Standing::asked, now);
  if (!shed) shed = oldest(Standing::idle, now);
  if (!shed) shed = unserved(now);
  if (shed) close(*shed);
  return shed;
}

// The longest silent one. One whose bytes have come, but whose thread had no turn yet, is not silent.
ClientLink* ClientLinks::unserved(double moved_before) {
  ClientLink* found = nullptr;
  for (const Standing standing : {Standing::fresh, Standing::reading})
    for (const auto& link : at(standing)) {
      if (link->moved_ > moved_before || (found && found->moved_ <= link->moved_)) break;
      if (!link->socket_.quiet()) continue;
      found = link.get();
      break;
    }
  return found;
}

// Threads are joined outside the mutex, which they need for their end.
void ClientLinks::reap() {
  Links ended;
  const std::lock_guard lock(mutex_);
  ended.swap(at(Standing::over));
}

}  // namespace woadtide::net
