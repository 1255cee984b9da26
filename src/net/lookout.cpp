#include "net/lookout.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace woadtide::net {

namespace {
void add(int epoll, int fd, std::uint32_t events, std::uint64_t token) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = token;
  if (::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}
}  // namespace

Lookout::Lookout() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC)) {
  if (!epoll_ || !wake_) throw std::system_error(errno, std::generic_category(), "lookout");
  add(epoll_.get(), wake_.get(), EPOLLIN, 0);
  thread_ = Thread("lookout", [this] { run(); });
}

Lookout::~Lookout() {
  const std::uint64_t one = 1;
  // It can only fail where a wake-up is pending already.
  if (::write(wake_.get(), &one, sizeof one) < 0) return;
}

void Lookout::run() {
  std::array<epoll_event, 64> events{};
  for (;;) {
    const int count = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), -1);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    const std::lock_guard lock(mutex_);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t token = events[static_cast<std::size_t>(i)].data.u64;
      if (token == 0) return;
      // A watch may have ended between the event and here; its token never comes again.
      if (const auto found = watched_.find(token); found != watched_.end()) found->second();
    }
  }
}

Lookout::Watch::Watch(Lookout& lookout, int fd, std::function<void()> gone) : lookout_(lookout), fd_(fd) {
  const std::lock_guard lock(lookout_.mutex_);
  token_ = lookout_.next_token_++;
  add(lookout_.epoll_.get(), fd_, EPOLLRDHUP | EPOLLONESHOT, token_);
  lookout_.watched_.emplace(token_, std::move(gone));
}

Lookout::Watch::~Watch() {
  const std::lock_guard lock(lookout_.mutex_);
  lookout_.watched_.erase(token_);
  ::epoll_ctl(lookout_.epoll_.get(), EPOLL_CTL_DEL, fd_, nullptr);
}

}  // namespace woadtide::net
