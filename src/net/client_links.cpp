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
constexpr int kMaxFinalAccepts = 1024;        // the most connections that the kernel's queue may hold for us
constexpr int kMaxAcceptsPerTurn = 32;        // then other handlers of the event loop have their turn
constexpr double kMinSilenceToEvictMs = 400;  // a query that arrives in pieces may pause for this long
// Timing of an evacuation. The load balancer in front of us asks every 0.1 s whether we are ready, and goes
// on assigning links to us for 0.2 s after the first negative answer. Links stay open for that long: if they
// were closed sooner, their clients would be sent here again. By 4 s after the start no link may be idle, or
// carry a query that arrived within the last 2 s.
constexpr double kSweepIntervalMs = 50;
constexpr double kBalancerNoticeMs = 400;
// After this, links without a byte of their first query are closed too, unless they are younger than
// kMinFreshAgeMs, as the links of health checks are.
constexpr double kCloseFreshAfterMs = 1'500;
constexpr double kMinFreshAgeMs = 500;
// How long a client has to close after our side is shut down. A client that sends nothing valid is owed an
// error or a close within 3 s: read_timeout_ms and this time stay below that and leave a margin for a late
// accept.
constexpr double kLingerMs = 500;
}  // namespace

ClientLinks::ClientLinks(Socket listener, std::size_t max_links, ClientLinkContext& context)
    : context_(context),
      max_links_(max_links),
      listener_(std::move(listener)),
      port_(listener_.port()),
      final_accepts_left_(kMaxFinalAccepts) {
  // Otherwise accept() would block if the client gave up between the event loop's notification and the call.
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  timer_token_ = context_.event_loop.add(*this, -1);
}

void ClientLinks::start() { listener_token_ = context_.event_loop.add(*this, listener_.fd()); }

ClientLinks::~ClientLinks() { stop(); }

// Messages that are being processed may still be answered; the response then goes nowhere.
void ClientLinks::stop() {
  context_.event_loop.remove(listener_token_);
  context_.event_loop.remove(timer_token_);
  context_.event_loop.quiesce();  // a sweep_and_accept() that is running may still accept
  {
    const std::lock_guard lock(*mutex_);
    for (Links& links : links_)
      while (!links.empty()) remove_link(*links.front());
  }
  context_.event_loop.quiesce();
}

void ClientLinks::stop_accepting() {
  context_.draining = true;
  evacuating_since_ = context_.clock.now() - kCloseFreshAfterMs;
  stopping_ = true;
  context_.event_loop.wake(timer_token_, {});
}

void ClientLinks::leave_listener_to_sibling() {
  left_to_sibling_ = true;
  context_.draining = true;
  evacuating_since_ = context_.clock.now() - kBalancerNoticeMs;
  stopping_ = true;
  context_.event_loop.wake(timer_token_, {});
}

void ClientLinks::set_max_links(std::size_t max_links) {
  max_links_ = max_links;
  context_.event_loop.wake(timer_token_, {});
}

void ClientLinks::evacuate() {
  double not_evacuating = 0;
  context_.draining = true;
  evacuating_since_.compare_exchange_strong(not_evacuating,
                                            context_.clock.now());  // a repeated call does not restart it
  context_.event_loop.wake(timer_token_, {});
}

void ClientLinks::activate() {
  evacuating_since_ = 0;
  if (!stopping_) context_.draining = false;
}

std::size_t ClientLinks::open_count() {
  const std::lock_guard lock(*mutex_);
  return open_links();
}

std::size_t ClientLinks::count(ConnectionState state) {
  const std::lock_guard lock(*mutex_);
  return in_state(state).size();
}

double ClientLinks::last_activity(ConnectionState state) {
  const std::lock_guard lock(*mutex_);
  return in_state(state).empty() ? 0 : in_state(state).back()->state_since_;
}

std::size_t ClientLinks::open_links() const {
  std::size_t open = 0;
  for (const Links& links : links_) open += links.size();
  return open;
}

// State of links; the mutex is held ----------------------------------------------------------------------

// The link may have been removed by stop() while its bytes were being read.
void ClientLinks::set_state(ClientLink& link, ConnectionState state) {
  if (link.closed_) return;
  in_state(state).splice(in_state(state).end(), in_state(link.state_), link.position_);
  link.state_ = state;
  link.state_since_ = context_.clock.now();
  if (state != ConnectionState::busy) wake_waiting_accept();  // it may be evicted now
}

void ClientLinks::wake_waiting_accept() {
  if (std::exchange(accept_waiting_, false)) context_.event_loop.wake(timer_token_, {});
}

// The only way in which we end a link that its client has not closed: our side is shut down, and input is
// read and discarded until the client closes or its time is up. If the socket were closed at once, bytes that
// arrive at that moment would reset the connection while a response is still on its way.
void ClientLinks::begin_linger(ClientLink& link) {
  if (link.closed_) return;
  link.socket_.shut_down(SHUT_WR);
  link.processing_ = false;
  link.read_deadline_ = context_.clock.now() + kLingerMs;
  set_state(link, ConnectionState::lingering);
  context_.event_loop.set_timeout(link.token_, link.read_deadline_);
  context_.event_loop.wake(link.token_, {.readable = true});
}

void ClientLinks::remove_link(ClientLink& link) {
  if (std::exchange(link.closed_, true)) return;
  wake_waiting_accept();
  link.pending_request_.reset();
  context_.event_loop.remove(link.token_);
  in_state(link.state_).erase(link.position_);
}

// On the event loop's thread ------------------------------------------------------------------------------

void ClientLinks::on_ready(park::ReadinessEvents) { sweep_and_accept(); }
void ClientLinks::on_timeout() { sweep_and_accept(); }

void ClientLinks::sweep_and_accept() {
  // One time for both: with a second reading of the clock, what falls due between the two would be missed.
  const double now = context_.clock.now();
  if (evacuating_since_ > 0) context_.event_loop.set_timeout(timer_token_, now + kSweepIntervalMs);
  sweep(now);
  if (listener_) accept_pending();
}

// After stop_accepting() it accepts what the kernel has queued, which is answered like everything else. This
// is bounded, because clients may connect as fast as they are turned away. The listening socket is closed and
// not shut down: another process may listen on it too.
void ClientLinks::accept_pending() {
  const bool stopping = stopping_;
  AcceptResult result = left_to_sibling_ ? AcceptResult::none_pending : AcceptResult::accepted;
  for (int accepts_left = kMaxAcceptsPerTurn; accepts_left > 0 && result == AcceptResult::accepted;
       --accepts_left) {
    if (stopping && final_accepts_left_-- == 0) result = AcceptResult::none_pending;
    if (result == AcceptResult::accepted) result = make_room();
    if (result == AcceptResult::accepted) result = accept_one();
  }
  if (result == AcceptResult::retry_later)
    context_.event_loop.set_timeout(timer_token_, context_.clock.now() + kAcceptRetryMs);
  if (result == AcceptResult::accepted) context_.event_loop.wake(timer_token_, {});
  if (result == AcceptResult::none_pending && stopping) {
    context_.event_loop.remove(listener_token_);
    listener_ = Socket{};
  }
}

void ClientLinks::sweep(double now) {
  const double evacuating_since = evacuating_since_;
  {
    const std::lock_guard lock(*mutex_);
    while (open_links() > max_links_ && evict_one()) {
    }
    if (evacuating_since <= 0 || now < evacuating_since + kBalancerNoticeMs) return;
    for (const ConnectionState state : {ConnectionState::idle, ConnectionState::idle_no_query})
      close_silent(state, now);
    if (now >= evacuating_since + kCloseFreshAfterMs)
      close_silent(ConnectionState::fresh, now - kMinFreshAgeMs);
  }
  if (now > context_.read_cutoff_ms) reject_partial_messages();
}

// Rejects the messages that have arrived in part: no more of them will be read.
void ClientLinks::reject_partial_messages() {
  std::vector<std::shared_ptr<ClientLink>> partial;
  {
    const std::lock_guard lock(*mutex_);
    for (const ConnectionState state : {ConnectionState::reading, ConnectionState::busy})
      for (const auto& link : in_state(state))
        if (!link->processing_ && link->socket_.is_idle()) partial.push_back(link);
  }
  for (const auto& link : partial) link->reject(503, "clients are sent away");
}

// The mutex is held. Skips links on which bytes have arrived: the response to their query closes them.
void ClientLinks::close_silent(ConnectionState state, double opened_before) {
  for (auto it = in_state(state).begin(); it != in_state(state).end();) {
    ClientLink& link = **it++;
    if (link.opened_at_ <= opened_before && link.socket_.is_idle()) begin_linger(link);
  }
}

ClientLinks::AcceptResult ClientLinks::accept_one() {
  Socket socket{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!socket) return handle_accept_error(errno);
  socket.set_no_delay();
  const auto link = std::make_shared<ClientLink>(std::move(socket), context_, *this);
  const std::lock_guard lock(*mutex_);
  link->state_since_ = link->opened_at_;
  link->position_ = in_state(ConnectionState::fresh).insert(in_state(ConnectionState::fresh).end(), link);
  try {
    link->token_ = context_.event_loop.add(link, link->socket_.fd());
  } catch (const std::exception& error) {
    core::log_line(std::string("acceptor: ") + error.what());
    remove_link(*link);
    return AcceptResult::accepted;
  }
  context_.event_loop.set_timeout(link->token_, link->read_deadline_);
  return AcceptResult::accepted;
}

// If the system is out of resources, accept() is not retried at once: the client waits in the kernel's queue.
ClientLinks::AcceptResult ClientLinks::handle_accept_error(int error) {
  const AcceptError kind = accept_error(error);
  if (kind != AcceptError::system_refused)
    return kind == AcceptError::none_pending ? AcceptResult::none_pending : AcceptResult::accepted;
  const bool out_of_resources = error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
  if (accept_error_log_.allow(context_.clock.now()))
    core::log_line(out_of_resources ? "acceptor: out of descriptors or memory"
                                    : "acceptor: " + std::generic_category().message(error));
  return AcceptResult::retry_later;
}

// AcceptResult::accepted: there is room for one more link. all_busy: every link has a query being processed
// or arriving, and new connections wait. At the limit links are evicted in this order: of those without
// activity for kMinSilenceToEvictMs, first the ones that were answered but never carried a query (health
// checks that stayed), then the silent ones that never completed a message. Clients that connect by the
// hundred and send nothing, or half a head, must not displace links that are being served, nor those whose
// query is arriving. Then come links that only wait for their client to close, the more recent links without
// a query, links that served queries, longest idle first, and at last the more recent silent ones.
ClientLinks::AcceptResult ClientLinks::make_room() {
  const std::lock_guard lock(*mutex_);
  if (open_links() < max_links_) return AcceptResult::accepted;
  // No link is evicted unless a connection waits; and one that arrives after this check is not accepted, as
  // there is no place for it yet.
  if (poll_until(listener_.fd(), POLLIN, -1, 0, context_.clock).first == 0) return AcceptResult::none_pending;
  if (all_open_log_.allow(context_.clock.now()))
    core::log_line(
        "acceptor: all " + std::to_string(max_links_) + " client links are open, " +
        std::to_string(in_state(ConnectionState::fresh).size() + in_state(ConnectionState::reading).size()) +
        " unserved, " +
        std::to_string(in_state(ConnectionState::idle_no_query).size() +
                       in_state(ConnectionState::idle).size()) +
        " idle");
  accept_waiting_ = !evict_one() || open_links() >= max_links_;
  return accept_waiting_ ? AcceptResult::all_busy : AcceptResult::accepted;
}

// Closes one link to make room; see make_room() for the order. False if every link is in use.
bool ClientLinks::evict_one() {
  const double now = context_.clock.now();
  const auto oldest = [this](ConnectionState state, double active_before) {
    const Links& links = in_state(state);
    return !links.empty() && links.front()->state_since_ <= active_before ? links.front().get() : nullptr;
  };
  ClientLink* victim = oldest(ConnectionState::idle_no_query, now - kMinSilenceToEvictMs);
  if (!victim) victim = longest_silent_unserved(now - kMinSilenceToEvictMs);
  if (!victim) victim = oldest(ConnectionState::lingering, now);
  if (!victim) victim = oldest(ConnectionState::idle_no_query, now);
  if (!victim) victim = oldest(ConnectionState::idle, now);
  if (!victim) victim = longest_silent_unserved(now);
  if (victim) remove_link(*victim);
  return victim;
}

// The longest silent link that has not completed a message, or null. A link with bytes that were not read yet
// is not silent.
ClientLink* ClientLinks::longest_silent_unserved(double active_before) {
  ClientLink* found = nullptr;
  for (const ConnectionState state : {ConnectionState::fresh, ConnectionState::reading})
    for (const auto& link : in_state(state)) {
      if (link->state_since_ > active_before || (found && found->state_since_ <= link->state_since_)) break;
      if (!link->socket_.is_idle()) continue;
      found = link.get();
      break;
    }
  return found;
}

}  // namespace woadtide::net
