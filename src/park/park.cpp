#include "park/park.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <system_error>
#include <utility>

namespace woadtide::park {

namespace {
constexpr double kMaxWaitMs = 1'000;  // bounded because the clock may be set while the loop waits
constexpr EventLoop::Token kWakeToken = EventLoop::kNoToken;

void add_to_epoll(int epoll, int fd, std::uint32_t events, EventLoop::Token token) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = token;
  if (::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void run_logging_exceptions(const std::function<void()>& call) {
  try {
    call();
  } catch (const std::exception& error) {
    core::log_line(std::string("park: ") + error.what());
  }
}
}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

EventLoop::EventLoop(const core::Clock& clock)
    : clock_(clock),
      epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_fd_ || !wake_fd_) throw std::system_error(errno, std::generic_category(), "park");
  add_to_epoll(epoll_fd_.get(), wake_fd_.get(), EPOLLIN, kWakeToken);
  thread_ = Thread("park", [this] { run(); });
}

EventLoop::~EventLoop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  interrupt_wait();
}

void EventLoop::interrupt_wait() {
  const std::uint64_t increment = 1;
  ssize_t written = 0;
  do written = ::write(wake_fd_.get(), &increment, sizeof increment);
  while (written < 0 && errno == EINTR);  // any other error means that a wake-up is pending already
}

EventLoop::Token EventLoop::add(std::shared_ptr<EventHandler> handler, int fd) {
  const std::lock_guard lock(mutex_);
  const Token token = next_token_++;
  Registration& registration = registrations_[token];
  registration.handler = std::move(handler);
  registration.fd = fd;
  if (fd < 0) return token;
  try {
    // Edge-triggered, for all events and for good: a connection costs a single epoll_ctl() call while it is
    // open.
    add_to_epoll(epoll_fd_.get(), fd, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, token);
  } catch (...) {
    registrations_.erase(token);
    throw;
  }
  return token;
}

// A later time than the queued one leaves the queue as it is; the timeout is queued again when the earlier
// entry comes up. Most timeouts are moved to a later time again and again and never expire.
void EventLoop::set_timeout(Token token, double when) {
  const std::lock_guard lock(mutex_);
  const auto found = registrations_.find(token);
  if (found == registrations_.end()) return;
  Registration& registration = found->second;
  registration.timeout_at = when;
  if (when >= registration.queued_at) return;
  if (registration.queued_at < kNever) {
    auto [from, to] = timeouts_.equal_range(registration.queued_at);
    timeouts_.erase(std::find_if(from, to, [token](const auto& entry) { return entry.second == token; }));
  }
  registration.queued_at = when;
  timeouts_.emplace(when, token);
  if (when < waiting_until_) {
    waiting_until_ = when;
    interrupt_wait();
  }
}

void EventLoop::wake(Token token, ReadinessEvents events) {
  const std::lock_guard lock(mutex_);
  const auto found = registrations_.find(token);
  if (found == registrations_.end()) return;
  Registration& registration = found->second;
  registration.pending_events.readable |= events.readable;
  registration.pending_events.writable |= events.writable;
  registration.pending_events.closed |= events.closed;
  if (std::exchange(registration.is_woken, true)) return;
  woken_.push_back(token);
  if (waiting_until_ > 0) interrupt_wait();
}

void EventLoop::remove(Token token) {
  const std::lock_guard lock(mutex_);
  const auto found = registrations_.find(token);
  if (found == registrations_.end()) return;
  const Registration& registration = found->second;
  // Another process may hold the same socket: epoll would keep watching it after a mere close().
  if (registration.fd >= 0) ::epoll_ctl(epoll_fd_.get(), EPOLL_CTL_DEL, registration.fd, nullptr);
  if (registration.queued_at < kNever) {
    auto [from, to] = timeouts_.equal_range(registration.queued_at);
    timeouts_.erase(std::find_if(from, to, [token](const auto& entry) { return entry.second == token; }));
  }
  registrations_.erase(found);
}

void EventLoop::quiesce() {
  if (thread_.is_current()) return;
  std::unique_lock lock(mutex_);
  const std::uint64_t phase = phase_;
  if (phase % 2 == 1) iteration_ended_.wait(lock, [&] { return phase_ != phase; });
}

std::size_t EventLoop::registration_count() {
  const std::lock_guard lock(mutex_);
  return registrations_.size();
}

void EventLoop::run() {
  std::array<epoll_event, 64> events{};
  std::vector<std::pair<Token, ReadinessEvents>> ready_events;
  for (;;) {
    double wait = kMaxWaitMs;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      const double now = clock_.now();
      if (!timeouts_.empty()) wait = std::clamp(std::ceil(timeouts_.begin()->first - now), 0.0, kMaxWaitMs);
      if (!woken_.empty()) wait = 0;
      waiting_until_ = now + wait;
    }
    const int count =
        ::epoll_wait(epoll_fd_.get(), events.data(), static_cast<int>(events.size()), static_cast<int>(wait));
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    // A timeout that expires while handlers are called waits for the next iteration, which checks for I/O
    // first.
    const double now = clock_.now();
    ready_events.clear();
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      std::uint64_t wake_count = 0;
      if (event.data.u64 != kWakeToken)
        ready_events.push_back({event.data.u64,
                                {(event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0,
                                 (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0}});
      else if (::read(wake_fd_.get(), &wake_count, sizeof wake_count) < 0 && errno != EAGAIN &&
               errno != EINTR)
        core::log_line("park: cannot read the wake-up descriptor");
    }
    {
      const std::lock_guard lock(mutex_);
      waiting_until_ = 0;
      phase_ += 1;
      collect_woken(ready_events);
    }
    dispatch_ready(ready_events);
    dispatch_timeouts(now);
    // Handlers that these calls woke are called in the same iteration; handlers that are woken by that wait
    // for the next one.
    ready_events.clear();
    {
      const std::lock_guard lock(mutex_);
      collect_woken(ready_events);
    }
    dispatch_ready(ready_events);
    const std::lock_guard lock(mutex_);
    phase_ += 1;
    iteration_ended_.notify_all();
  }
}

void EventLoop::collect_woken(std::vector<std::pair<Token, ReadinessEvents>>& events) {
  for (const Token token : std::exchange(woken_, {}))
    if (const auto found = registrations_.find(token); found != registrations_.end()) {
      found->second.is_woken = false;
      events.push_back({token, std::exchange(found->second.pending_events, {})});
    }
}

void EventLoop::dispatch_ready(const std::vector<std::pair<Token, ReadinessEvents>>& events) {
  for (const auto& [token, readiness] : events) {
    std::shared_ptr<EventHandler> handler;
    {
      // The handler may have been removed since the event; its token is never reused.
      const std::lock_guard lock(mutex_);
      const auto found = registrations_.find(token);
      if (found == registrations_.end()) continue;
      handler = found->second.handler;
    }
    run_logging_exceptions([&handler, &readiness = readiness] { handler->on_ready(readiness); });
  }
}

void EventLoop::dispatch_timeouts(double now) {
  for (;;) {
    std::shared_ptr<EventHandler> handler;
    {
      const std::lock_guard lock(mutex_);
      if (timeouts_.empty() || timeouts_.begin()->first > now) return;
      const Token token = timeouts_.begin()->second;
      timeouts_.erase(timeouts_.begin());
      Registration& registration = registrations_.at(token);
      registration.queued_at = kNever;
      if (registration.timeout_at > now) {
        if (registration.timeout_at < kNever)
          timeouts_.emplace(registration.queued_at = registration.timeout_at, token);
        continue;
      }
      registration.timeout_at = kNever;
      handler = registration.handler;
    }
    run_logging_exceptions([&handler] { handler->on_timeout(); });
  }
}

}  // namespace woadtide::park
