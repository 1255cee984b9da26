#include "net/client_links.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace woadtide::net {

namespace {
constexpr double kReapMs = 1'000;  // threads of ended links are joined this often at least
constexpr int kFullMs = 5;         // how long to wait where there is no room for a link
}  // namespace

ClientLinks::ClientLinks(Socket listener, std::size_t most, ClientSide& side)
    : side_(side), most_(most), listener_(std::move(listener)), wake_(::eventfd(0, EFD_CLOEXEC)) {
  if (!wake_) throw std::system_error(errno, std::generic_category(), "eventfd");
  // A client that gave up between poll and accept must not block the acceptor.
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  thread_ = Thread("acceptor", [this] { run(); });
}

ClientLinks::~ClientLinks() {
  stop_accepting();
  thread_.join();
}

void ClientLinks::stop_accepting() {
  stopping_ = true;
  const std::uint64_t one = 1;
  if (::write(wake_.get(), &one, sizeof one) < 0) core::log_line("acceptor: cannot be woken");
}

std::size_t ClientLinks::open() {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const auto& link) { return !link->over(); }));
}

void ClientLinks::run() {
  while (!stopping_) {
    const auto [come, woken] =
        wait_for(listener_.fd(), POLLIN, wake_.get(), side_.clock.now() + kReapMs, side_.clock);
    reap();
    if (come != 0) accept_one();
  }
  // What the machine accepted has been taken: it is answered like all else.
  while (accept_one()) {
  }
  listener_ = Socket{};
  const std::lock_guard lock(mutex_);
  for (const auto& link : links_) link->close_if_idle();
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
  const int on = 1;
  ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  try {
    auto link = std::make_unique<ClientLink>(std::move(socket), side_);
    const std::lock_guard lock(mutex_);
    links_.push_back(std::move(link));
  } catch (const std::exception& failed) {
    core::log_line(std::string("acceptor: ") + failed.what());
  }
  return true;
}

// At the edge the links that stood idle longest go first. Where all have a query at work, new ones wait.
void ClientLinks::make_room() {
  while (open() >= most_) {
    {
      const std::lock_guard lock(mutex_);
      ClientLink* oldest = nullptr;
      double since = 0;
      for (const auto& link : links_) {
        const auto idle = link->idle_since();
        if (idle && (!oldest || *idle < since)) oldest = link.get(), since = *idle;
      }
      if (oldest) oldest->close_if_idle();
    }
    if (all_open_.due(side_.clock.now()))
      core::log_line("acceptor: all " + std::to_string(most_) + " client links are open");
    ::poll(nullptr, 0, kFullMs);
    reap();
  }
}

void ClientLinks::reap() {
  std::list<std::unique_ptr<ClientLink>> ended;
  const std::lock_guard lock(mutex_);
  for (auto it = links_.begin(); it != links_.end();) {
    const auto here = it++;
    if ((*here)->over()) ended.splice(ended.end(), links_, here);
  }
}

}  // namespace woadtide::net
