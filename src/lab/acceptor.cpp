#include "lab/acceptor.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "core/log.hpp"

namespace woadtide::lab {

namespace {
constexpr double kReapIntervalMs = 1'000;
constexpr int kFullRetryMs = 5;  // wait before the next check at the link limit or without descriptors
}  // namespace

Acceptor::Acceptor(std::string name, Socket listener, std::size_t max_links, const core::Clock& clock,
                   LinkHandler handler)
    : name_(std::move(name)),
      max_links_(max_links),
      clock_(clock),
      handler_(std::move(handler)),
      listener_(std::move(listener)),
      port_(listener_.port()),
      stop_event_(::eventfd(0, EFD_CLOEXEC)) {
  if (!stop_event_) throw std::system_error(errno, std::generic_category(), "eventfd");
  // A connection that was aborted between poll and accept must not block the thread.
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  thread_ = park::Thread(name_, [this] { run(); });
}

Acceptor::~Acceptor() {
  const std::uint64_t signal = 1;
  if (::write(stop_event_.get(), &signal, sizeof signal) < 0)
    core::log_line(name_ + ": cannot wake the accept thread");
  thread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (Link& link : links_)
      if (link.socket) link.socket.shut_down();
  }
  links_.clear();
}

std::size_t Acceptor::open_count() {
  const std::lock_guard lock(mutex_);
  return links_.size();
}

void Acceptor::run() {
  for (;;) {
    const bool full = join_finished() >= max_links_;
    const auto [ready, stopped] =
        full ? net::poll_until(stop_event_.get(), POLLIN, -1, clock_.now() + kFullRetryMs, clock_)
             : net::poll_until(listener_.fd(), POLLIN, stop_event_.get(), clock_.now() + kReapIntervalMs,
                               clock_);
    if (full ? ready != 0 : stopped != 0) return;
    if (!full && ready != 0) accept_link();
  }
}

void Acceptor::accept_link() {
  Socket socket{Fd(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
  if (!socket) {
    if (errno == EMFILE || errno == ENFILE) ::poll(nullptr, 0, kFullRetryMs);
    return;
  }
  socket.set_no_delay();
  const std::lock_guard lock(mutex_);
  Link& link = links_.emplace_back();
  link.socket = std::move(socket);
  try {
    link.thread = park::Thread(name_, [this, &link] {
      try {
        handler_(link.socket);
      } catch (const std::exception& error) {
        core::log_line(name_ + ": " + error.what());
      }
      const std::lock_guard end(mutex_);
      link.socket = Socket{};
      link.finished = true;
    });
  } catch (const std::exception& error) {
    core::log_line(name_ + ": " + error.what());
    links_.pop_back();
  }
}

// Joins the threads of finished links. Returns the number of remaining links.
std::size_t Acceptor::join_finished() {
  std::list<Link> finished;
  const std::lock_guard lock(mutex_);
  for (auto it = links_.begin(); it != links_.end();) {
    const auto next = std::next(it);
    if (it->finished) finished.splice(finished.end(), links_, it);
    it = next;
  }
  return links_.size();
}

}  // namespace woadtide::lab
