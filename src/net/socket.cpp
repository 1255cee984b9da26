#include "net/socket.hpp"

#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstddef>
#include <cstring>
#include <ctime>
#include <stdexcept>
#include <system_error>

namespace woadtide::net {

namespace {
[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

void set(int fd, int level, int option, int value) { ::setsockopt(fd, level, option, &value, sizeof value); }
}  // namespace

Address::Address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("'" + text + "' is not host:port");
  addrinfo hints{}, *found = nullptr;
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  const std::string host = text.substr(0, colon), port = text.substr(colon + 1);
  if (port.empty() || ::getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0)
    throw std::invalid_argument("'" + text + "' is not a numeric host:port");
  std::memcpy(&storage, found->ai_addr, found->ai_addrlen);
  length = found->ai_addrlen;
  ::freeaddrinfo(found);
}

std::pair<short, short> wait_for(int fd, short events, int other, double deadline, const core::Clock& clock) {
  for (;;) {
    std::array<pollfd, 2> set{pollfd{fd, events, 0}, pollfd{other, POLLIN, 0}};
    const double left = std::clamp(std::ceil(deadline - clock.now()), 0.0, 1e9);
    const int ready = ::poll(set.data(), set.size(), static_cast<int>(left));
    if (ready > 0) return {set[0].revents, set[1].revents};
    if (ready < 0 && errno != EINTR) fail("poll");
    if (clock.now() >= deadline) return {0, 0};
  }
}

Socket Socket::make(const Address& address) {
  Socket socket{Fd(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0))};
  if (!socket) fail("socket");
  socket.set_no_delay();
  return socket;
}

void Socket::set_no_delay() const { set(fd(), IPPROTO_TCP, TCP_NODELAY, 1); }

Socket Socket::listen_at(const Address& address) {
  Socket socket = make(address);
  set(socket.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) != 0)
    fail("bind");
  if (::listen(socket.fd(), 1024) != 0) fail("listen");
  return socket;
}

Socket Socket::adopt_listener(int fd) {
  int listens = 0;
  socklen_t length = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) != 0 || listens == 0)
    throw std::runtime_error("descriptor " + std::to_string(fd) +
                             ", passed to us, is no socket that listens");
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  return Socket{Fd(fd)};
}

Socket Socket::another() const {
  Fd copy(::fcntl(fd(), F_DUPFD_CLOEXEC, 0));
  if (!copy) throw std::system_error(errno, std::generic_category(), "a socket's other descriptor");
  return Socket{std::move(copy)};
}

ConnectError connect_error(int error) {
  switch (error) {
    case 0:
      return ConnectError::none;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EAGAIN:
    case EINTR:
      return ConnectError::own;
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTUNREACH:
      return ConnectError::unreachable;
    default:
      return ConnectError::peer;
  }
}

AcceptError accept_error(int error) {
  switch (error) {
    case EAGAIN:
    case EBADF:
    case EINVAL:
      return AcceptError::nobody;
    case ECONNABORTED:
    case EINTR:
      return AcceptError::this_one;
    default:
      return AcceptError::machine;
  }
}

Socket Socket::listen_patiently(const Address& address, double patience_ms) {
  constexpr double kAgainMs = 20;
  const core::Clock clock;
  for (const double until = clock.now() + patience_ms;;) {
    try {
      return listen_at(address);
    } catch (const std::system_error& failed) {
      const bool passes = connect_error(failed.code().value()) == ConnectError::own;
      // No address of ours: the operator's mistake, not want of a port.
      if (!passes || failed.code().value() == EADDRNOTAVAIL || clock.now() >= until) throw;
    }
    ::poll(nullptr, 0, static_cast<int>(kAgainMs));
  }
}

ConnectError Socket::try_connect(const Address& address, double within_ms) {
  // On Linux the send timeout bounds a blocking connect too; a shut() from outside ends it early.
  const auto micros = static_cast<long>(std::max(within_ms, 1.0) * 1000);
  timeval within{micros / 1'000'000, micros % 1'000'000};
  ::setsockopt(fd(), SOL_SOCKET, SO_SNDTIMEO, &within, sizeof within);
  if (::connect(fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) == 0)
    return ConnectError::none;
  if (errno != EINTR) return connect_error(errno);
  // Interrupted, it goes on by itself.
  const core::Clock clock;
  if (wait_for(fd(), POLLOUT, -1, clock.now() + within_ms, clock).first == 0) return ConnectError::peer;
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &length);
  return connect_error(error);
}

Io Socket::receive(char* to, std::size_t room, std::size_t& got) {
  for (;;) {
    const ssize_t count = ::recv(fd(), to, room, MSG_DONTWAIT);
    if (count > 0) {
      got = static_cast<std::size_t>(count);
      return Io::done;
    }
    if (count == 0) return Io::ended;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return Io::late;
    if (errno != EINTR) return Io::broken;
  }
}

Io Socket::receive(char* to, std::size_t room, std::size_t& got, double deadline, const core::Clock& clock) {
  for (;;) {
    const Io io = receive(to, room, got);
    if (io != Io::late || wait_for(fd(), POLLIN, -1, deadline, clock).first == 0) return io;
  }
}

namespace {
// Goes on with what is left, in as few writes as the kernel takes. late: it takes no more now.
Io write_left(int fd, std::vector<iovec>& left, std::size_t& first) {
  while (first < left.size()) {
    msghdr message{};
    message.msg_iov = &left[first];
    message.msg_iovlen = left.size() - first;
    const ssize_t count = ::sendmsg(fd, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? Io::late : Io::broken;
    }
    for (auto sent = static_cast<std::size_t>(count); sent > 0 && first < left.size();) {
      const std::size_t taken = std::min(sent, left[first].iov_len);
      left[first].iov_base = static_cast<char*>(left[first].iov_base) + taken;
      left[first].iov_len -= taken;
      sent -= taken;
      if (left[first].iov_len == 0) first += 1;
    }
  }
  return Io::done;
}

std::vector<iovec> vectors(const std::vector<std::string_view>& parts) {
  std::vector<iovec> left;
  left.reserve(parts.size());
  for (const std::string_view part : parts)
    if (!part.empty()) left.push_back({const_cast<char*>(part.data()), part.size()});
  return left;
}
}  // namespace

Io Socket::send(const std::vector<std::string_view>& parts, double deadline, const core::Clock& clock) {
  std::vector<iovec> left = vectors(parts);
  for (std::size_t first = 0;;) {
    const Io io = write_left(fd(), left, first);
    if (io != Io::late || wait_for(fd(), POLLOUT, -1, deadline, clock).first == 0) return io;
  }
}

std::size_t Socket::send_some(const std::vector<std::string_view>& parts) {
  std::vector<iovec> left = vectors(parts);
  std::size_t first = 0, all = 0, kept = 0;
  for (const std::string_view part : parts) all += part.size();
  write_left(fd(), left, first);
  for (; first < left.size(); ++first) kept += left[first].iov_len;
  return all - kept;
}

double Socket::age_of_newest_bytes() const {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (::getsockopt(fd(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return 0;
  const bool told = length >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  return told ? info.tcpi_last_data_recv : 0;
}

bool Socket::quiet() const {
  if (!fd_) return false;
  char byte = 0;
  ssize_t got = 0;
  do got = ::recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  while (got < 0 && errno == EINTR);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Socket::stays_open(double ms) const {
  constexpr long kNanosPerSecond = 1'000'000'000;
  pollfd set{fd(), POLLIN | POLLRDHUP, 0};
  const core::Clock clock;
  const double until = clock.now() + ms;
  for (double left = ms;; left = until - clock.now()) {
    const auto nanos = static_cast<long>(std::max(left, 0.0) * 1e6);
    const timespec patience{nanos / kNanosPerSecond, nanos % kNanosPerSecond};
    const int ready = ::ppoll(&set, 1, &patience, nullptr);
    if (ready < 0 && errno == EINTR) continue;
    return ready <= 0 || (set.revents & ~POLLIN) == 0;
  }
}

int Socket::port() const {
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  ::getsockname(fd(), reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.sin_port);
}

}  // namespace woadtide::net
