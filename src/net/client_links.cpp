#include "net/client_links.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string>
#include <system_error>
#include <utility>

namespace woadtide::net {

namespace {
constexpr int kMostWaiting = 1024;  // links that the machine may hold for us
constexpr int kAtOnce = 32;         // accepts before others in the park have their turn
constexpr double kSilentMs = 400;   // a query that comes in pieces may pause for so long
// An evacuation: the front asks every 0.1 s whether we are ready and deals out links for 0.2 s after the
// first no. Links stay open for that long: closed sooner, their clients would be sent here again. By 4 s none
// may be idle or have a query of the last 2 s.
constexpr double kSweepMs = 50;
constexpr double kFrontMs = 400;
constexpr double kLastFirstMs = 1'500;  // then a link that has not brought its first query goes too
constexpr double kFirstMs = 500;        // but for those that have just come, as health checks do
// For a client to close behind the last word to it. With first_ms it keeps what a client that sends nothing
// good is owed, an error or a close in 3 s, and leaves something for a late accept.
constexpr double kLastWordMs = 500;
}  // namespace

ClientLinks::ClientLinks(Socket listener, std::size_t most, ClientSide& side)
    : side_(side),
      most_(most),
      listener_(std::move(listener)),
      port_(listener_.port()),
      last_accepts_(kMostWaiting) {
  // A client that gave up between the park's word and accept must not block it.
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  looks_ = side_.park.enter(*this, -1);
}

void ClientLinks::start() { listens_ = side_.park.enter(*this, listener_.fd()); }

ClientLinks::~ClientLinks() { stop(); }

// What is at work may still be answered: to nobody.
void ClientLinks::stop() {
  side_.park.leave(listens_);
  side_.park.leave(looks_);
  side_.park.quiesce();  // a look that runs may still accept
  {
    const std::lock_guard lock(*mutex_);
    for (Links& links : links_)
      while (!links.empty()) drop(*links.front());
  }
  side_.park.quiesce();
}

void ClientLinks::stop_accepting() {
  side_.draining = true;
  evacuated_at_ = side_.clock.now() - kLastFirstMs;
  stopping_ = true;
  side_.park.poke(looks_, {});
}

void ClientLinks::leave_to_other() {
  left_to_other_ = true;
  side_.draining = true;
  evacuated_at_ = side_.clock.now() - kFrontMs;
  stopping_ = true;
  side_.park.poke(looks_, {});
}

void ClientLinks::set_most(std::size_t most) {
  most_ = most;
  side_.park.poke(looks_, {});
}

void ClientLinks::evacuate() {
  double never = 0;
  side_.draining = true;
  evacuated_at_.compare_exchange_strong(never, side_.clock.now());  // said again it does not begin anew
  side_.park.poke(looks_, {});
}

void ClientLinks::activate() {
  evacuated_at_ = 0;
  if (!stopping_) side_.draining = false;
}

std::size_t ClientLinks::open() {
  const std::lock_guard lock(*mutex_);
  return open_here();
}

std::size_t ClientLinks::count(ConnectionState state) {
  const std::lock_guard lock(*mutex_);
  return at(state).size();
}

double ClientLinks::last_moved(ConnectionState state) {
  const std::lock_guard lock(*mutex_);
  return at(state).empty() ? 0 : at(state).back()->moved_;
}

std::size_t ClientLinks::open_here() const {
  std::size_t open = 0;
  for (const Links& links : links_) open += links.size();
  return open;
}

// Where links stand, under the mutex ---------------------------------------------------------------------

// What has just been read of a link may be of one that stop() has dropped meanwhile.
void ClientLinks::put(ClientLink& link, ConnectionState state) {
  if (link.over_) return;
  at(state).splice(at(state).end(), at(link.state_), link.place_);
  link.state_ = state;
  link.moved_ = side_.clock.now();
  if (state != ConnectionState::busy) tell_waiting();  // it can give way now
}

void ClientLinks::tell_waiting() {
  if (std::exchange(waits_, false)) side_.park.poke(looks_, {});
}

// The one way in which we end a link that its client has not: our side is shut, and what still comes is read
// and passed over, until the client has closed or has had its time. Closed at once, bytes that come in that
// moment would reset the link under an answer that is on its way.
void ClientLinks::linger(ClientLink& link) {
  if (link.over_) return;
  link.socket_.shut(SHUT_WR);
  link.at_work_ = false;
  link.until_ = side_.clock.now() + kLastWordMs;
  put(link, ConnectionState::lingering);
  side_.park.wake_at(link.token_, link.until_);
  side_.park.poke(link.token_, {.readable = true});
}

void ClientLinks::drop(ClientLink& link) {
  if (std::exchange(link.over_, true)) return;
  tell_waiting();
  link.errand_.reset();
  side_.park.leave(link.token_);
  at(link.state_).erase(link.place_);
}

// The park's thread ---------------------------------------------------------------------------------------

void ClientLinks::ready(park::Signs) { look(); }
void ClientLinks::late() { look(); }

void ClientLinks::look() {
  // One look at the clock for both: nothing that falls due between them is overslept.
  const double now = side_.clock.now();
  if (evacuated_at_ > 0) side_.park.wake_at(looks_, now + kSweepMs);
  sweep(now);
  if (listener_) accept_waiting();
}

// Told to listen no more, it takes what the machine has accepted: it is answered like all else. Not without
// end, where clients connect as fast as they are turned away. Closed, not shut down: another process may
// listen there too.
void ClientLinks::accept_waiting() {
  const bool last = stopping_;
  Accepted accepted = left_to_other_ ? Accepted::none : Accepted::one;
  for (int left = kAtOnce; left > 0 && accepted == Accepted::one; --left) {
    if (last && last_accepts_-- == 0) accepted = Accepted::none;
    if (accepted == Accepted::one) accepted = make_room();
    if (accepted == Accepted::one) accepted = accept_one();
  }
  if (accepted == Accepted::later) side_.park.wake_at(looks_, side_.clock.now() + kAcceptAgainMs);
  if (accepted == Accepted::one) side_.park.poke(looks_, {});
  if (accepted == Accepted::none && last) {
    side_.park.leave(listens_);
    listener_ = Socket{};
  }
}

void ClientLinks::sweep(double now) {
  const double since = evacuated_at_;
  {
    const std::lock_guard lock(*mutex_);
    while (open_here() > most_ && shed_one()) {
    }
    if (since <= 0 || now < since + kFrontMs) return;
    for (const ConnectionState state : {ConnectionState::idle, ConnectionState::asked})
      close_quiet(state, now);
    if (now >= since + kLastFirstMs) close_quiet(ConnectionState::fresh, now - kFirstMs);
  }
  if (now > side_.read_until) refuse_half();
}

// Half a query is told that no more of it will be taken.
void ClientLinks::refuse_half() {
  std::vector<std::shared_ptr<ClientLink>> halves;
  {
    const std::lock_guard lock(*mutex_);
    for (const ConnectionState state : {ConnectionState::reading, ConnectionState::busy})
      for (const auto& link : at(state))
        if (!link->at_work_ && link->socket_.quiet()) halves.push_back(link);
  }
  for (const auto& link : halves) link->reject(503, "clients are sent away");
}

// Under the mutex. One whose bytes have come is left: its query is answered, and its link closed by that.
void ClientLinks::close_quiet(ConnectionState state, double opened_before) {
  for (auto it = at(state).begin(); it != at(state).end();) {
    ClientLink& link = **it++;
    if (link.opened_ <= opened_before && link.socket_.quiet()) linger(link);
  }
}

ClientLinks::Accepted ClientLinks::accept_one() {
  Socket socket{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!socket) return refused_by_machine(errno);
  socket.set_no_delay();
  const auto link = std::make_shared<ClientLink>(std::move(socket), side_, *this);
  const std::lock_guard lock(*mutex_);
  link->moved_ = link->opened_;
  link->place_ = at(ConnectionState::fresh).insert(at(ConnectionState::fresh).end(), link);
  try {
    link->token_ = side_.park.enter(link, link->socket_.fd());
  } catch (const std::exception& failed) {
    core::log_line(std::string("acceptor: ") + failed.what());
    drop(*link);
    return Accepted::one;
  }
  side_.park.wake_at(link->token_, link->until_);
  return Accepted::one;
}

// Where the machine gives no connection, it is not asked again and again: the client waits in its queue.
ClientLinks::Accepted ClientLinks::refused_by_machine(int error) {
  const AcceptError why = accept_error(error);
  if (why != AcceptError::machine) return why == AcceptError::nobody ? Accepted::none : Accepted::one;
  const bool no_room = error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
  if (no_room_.due(side_.clock.now()))
    core::log_line(no_room ? "acceptor: out of descriptors or memory"
                           : "acceptor: " + std::generic_category().message(error));
  return Accepted::later;
}

// Accepted::one where there is room, full where all links have a query at work: new ones wait. At the edge
// links go first that asked for health at some time and stayed, then those that are silent and never
// completed a query: clients that connect by the hundred and say nothing, or half a head, must not push out
// those that are served, nor those whose query is coming in. Then those that only wait for their client to
// close, and served ones, longest idle first.
ClientLinks::Accepted ClientLinks::make_room() {
  const std::lock_guard lock(*mutex_);
  if (open_here() < most_) return Accepted::one;
  // Nobody gives way before somebody waits; nor is one that comes behind this look taken without a place.
  if (wait_for(listener_.fd(), POLLIN, -1, 0, side_.clock).first == 0) return Accepted::none;
  if (all_open_.due(side_.clock.now()))
    core::log_line("acceptor: all " + std::to_string(most_) + " client links are open, " +
                   std::to_string(at(ConnectionState::fresh).size() + at(ConnectionState::reading).size()) +
                   " unserved, " +
                   std::to_string(at(ConnectionState::asked).size() + at(ConnectionState::idle).size()) +
                   " idle");
  waits_ = !shed_one() || open_here() >= most_;
  return waits_ ? Accepted::full : Accepted::one;
}

bool ClientLinks::shed_one() {
  const double now = side_.clock.now();
  const auto oldest = [this](ConnectionState state, double moved_before) {
    const Links& links = at(state);
    return !links.empty() && links.front()->moved_ <= moved_before ? links.front().get() : nullptr;
  };
  ClientLink* shed = oldest(ConnectionState::asked, now - kSilentMs);
  if (!shed) shed = unserved(now - kSilentMs);
  if (!shed) shed = oldest(ConnectionState::lingering, now);
  if (!shed) shed = oldest(ConnectionState::asked, now);
  if (!shed) shed = oldest(ConnectionState::idle, now);
  if (!shed) shed = unserved(now);
  if (shed) drop(*shed);
  return shed;
}

// The longest silent one. One whose bytes have come, but were not read yet, is not silent.
ClientLink* ClientLinks::unserved(double moved_before) {
  ClientLink* found = nullptr;
  for (const ConnectionState state : {ConnectionState::fresh, ConnectionState::reading})
    for (const auto& link : at(state)) {
      if (link->moved_ > moved_before || (found && found->moved_ <= link->moved_)) break;
      if (!link->socket_.quiet()) continue;
      found = link.get();
      break;
    }
  return found;
}

}  // namespace woadtide::net
