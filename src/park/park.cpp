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
constexpr double kLookMs = 1'000;  // the clock may have been set meanwhile
constexpr Park::Token kWakeUp = Park::kNone;

void add(int epoll, int fd, std::uint32_t events, Park::Token token) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = token;
  if (::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void guarded(const std::function<void()>& call) {
  try {
    call();
  } catch (const std::exception& failed) {
    core::log_line(std::string("park: ") + failed.what());
  }
}
}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

Park::Park(const core::Clock& clock)
    : clock_(clock), epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_ || !wake_) throw std::system_error(errno, std::generic_category(), "park");
  add(epoll_.get(), wake_.get(), EPOLLIN, kWakeUp);
  thread_ = Thread("park", [this] { run(); });
}

Park::~Park() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake();
}

void Park::wake() {
  const std::uint64_t one = 1;
  ssize_t written = 0;
  do written = ::write(wake_.get(), &one, sizeof one);
  while (written < 0 && errno == EINTR);  // else it can only fail where a wake-up is pending already
}

Park::Token Park::enter(std::shared_ptr<Guest> guest, int fd) {
  const std::lock_guard lock(mutex_);
  const Token token = next_++;
  Place& place = places_[token];
  place.guest = std::move(guest);
  place.fd = fd;
  if (fd < 0) return token;
  try {
    // Told of changes only, for good: a link costs one call for its whole life.
    add(epoll_.get(), fd, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, token);
  } catch (...) {
    places_.erase(token);
    throw;
  }
  return token;
}

// A later time waits for the entry of an earlier one to come up: most times are pushed on and never come.
void Park::wake_at(Token token, double when) {
  const std::lock_guard lock(mutex_);
  const auto found = places_.find(token);
  if (found == places_.end()) return;
  Place& place = found->second;
  place.due = when;
  if (when >= place.queued) return;
  if (place.queued < kNever) {
    auto [from, to] = queue_.equal_range(place.queued);
    queue_.erase(std::find_if(from, to, [token](const auto& entry) { return entry.second == token; }));
  }
  place.queued = when;
  queue_.emplace(when, token);
  if (when < sleeps_until_) {
    sleeps_until_ = when;
    wake();
  }
}

void Park::poke(Token token, Signs signs) {
  const std::lock_guard lock(mutex_);
  const auto found = places_.find(token);
  if (found == places_.end()) return;
  Place& place = found->second;
  place.poked.readable |= signs.readable;
  place.poked.writable |= signs.writable;
  place.poked.closed |= signs.closed;
  if (std::exchange(place.is_poked, true)) return;
  poked_.push_back(token);
  if (sleeps_until_ > 0) wake();
}

void Park::leave(Token token) {
  const std::lock_guard lock(mutex_);
  const auto found = places_.find(token);
  if (found == places_.end()) return;
  const Place& place = found->second;
  // Another process may hold the same socket: closing alone would leave it watched.
  if (place.fd >= 0) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, place.fd, nullptr);
  if (place.queued < kNever) {
    auto [from, to] = queue_.equal_range(place.queued);
    queue_.erase(std::find_if(from, to, [token](const auto& entry) { return entry.second == token; }));
  }
  places_.erase(found);
}

void Park::quiesce() {
  if (thread_.is_this()) return;
  std::unique_lock lock(mutex_);
  const std::uint64_t turn = turns_;
  if (turn % 2 == 1) turned_.wait(lock, [&] { return turns_ != turn; });
}

std::size_t Park::guests() {
  const std::lock_guard lock(mutex_);
  return places_.size();
}

void Park::run() {
  std::array<epoll_event, 64> events{};
  std::vector<std::pair<Token, Signs>> seen;
  for (;;) {
    double wait = kLookMs;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      const double now = clock_.now();
      if (!queue_.empty()) wait = std::clamp(std::ceil(queue_.begin()->first - now), 0.0, kLookMs);
      if (!poked_.empty()) wait = 0;
      sleeps_until_ = now + wait;
    }
    const int count =
        ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), static_cast<int>(wait));
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    // What falls due while guests are called waits for the next turn, which looks for its bytes first.
    const double now = clock_.now();
    seen.clear();
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      std::uint64_t gone = 0;
      if (event.data.u64 != kWakeUp)
        seen.push_back({event.data.u64,
                        {(event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0,
                         (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0}});
      else if (::read(wake_.get(), &gone, sizeof gone) < 0 && errno != EAGAIN && errno != EINTR)
        core::log_line("park: a wake-up cannot be read");
    }
    {
      const std::lock_guard lock(mutex_);
      sleeps_until_ = 0;
      turns_ += 1;
      take_poked(seen);
    }
    tell_ready(seen);
    tell_late(now);
    // Who was poked by these calls hears of it in the same turn, but what that leads to waits for the next.
    seen.clear();
    {
      const std::lock_guard lock(mutex_);
      take_poked(seen);
    }
    tell_ready(seen);
    const std::lock_guard lock(mutex_);
    turns_ += 1;
    turned_.notify_all();
  }
}

void Park::take_poked(std::vector<std::pair<Token, Signs>>& seen) {
  for (const Token token : std::exchange(poked_, {}))
    if (const auto found = places_.find(token); found != places_.end()) {
      found->second.is_poked = false;
      seen.push_back({token, std::exchange(found->second.poked, {})});
    }
}

void Park::tell_ready(const std::vector<std::pair<Token, Signs>>& seen) {
  for (const auto& [token, signs] : seen) {
    std::shared_ptr<Guest> guest;
    {
      // It may have left between the event and here; its token never comes again.
      const std::lock_guard lock(mutex_);
      const auto found = places_.find(token);
      if (found == places_.end()) continue;
      guest = found->second.guest;
    }
    guarded([&guest, &signs = signs] { guest->ready(signs); });
  }
}

void Park::tell_late(double now) {
  for (;;) {
    std::shared_ptr<Guest> guest;
    {
      const std::lock_guard lock(mutex_);
      if (queue_.empty() || queue_.begin()->first > now) return;
      const Token token = queue_.begin()->second;
      queue_.erase(queue_.begin());
      Place& place = places_.at(token);
      place.queued = kNever;
      if (place.due > now) {
        if (place.due < kNever) queue_.emplace(place.queued = place.due, token);
        continue;
      }
      place.due = kNever;
      guest = place.guest;
    }
    guarded([&guest] { guest->late(); });
  }
}

}  // namespace woadtide::park
