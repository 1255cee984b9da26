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
[[noreturn]] void throw_errno(const char* call) {
  throw std::system_error(errno, std::generic_category(), call);
}

void set_option(int fd, int level, int option, int value) {
  ::setsockopt(fd, level, option, &value, sizeof value);
}
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

std::pair<short, short> poll_until(int fd, short events, int other_fd, double deadline,
                                   const core::Clock& clock) {
  for (;;) {
    std::array<pollfd, 2> fds{pollfd{fd, events, 0}, pollfd{other_fd, POLLIN, 0}};
    const double remaining_ms = std::clamp(std::ceil(deadline - clock.now()), 0.0, 1e9);
    const int ready = ::poll(fds.data(), fds.size(), static_cast<int>(remaining_ms));
    if (ready > 0) return {fds[0].revents, fds[1].revents};
    if (ready < 0 && errno != EINTR) throw_errno("poll");
    if (clock.now() >= deadline) return {0, 0};
  }
}

Socket Socket::create(const Address& address) {
  Socket socket{Fd(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0))};
  if (!socket) throw_errno("socket");
  socket.set_no_delay();
  return socket;
}

void Socket::set_no_delay() const { set_option(fd(), IPPROTO_TCP, TCP_NODELAY, 1); }

Socket Socket::listen_at(const Address& address) {
  Socket socket = create(address);
  set_option(socket.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) != 0)
    throw_errno("bind");
  if (::listen(socket.fd(), 1024) != 0) throw_errno("listen");
  return socket;
}

Socket Socket::adopt_listener(int fd) {
  int listens = 0;
  socklen_t length = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) != 0 || listens == 0)
    throw std::runtime_error("descriptor " + std::to_string(fd) +
                             " was inherited, but is not a listening socket");
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  return Socket{Fd(fd)};
}

Socket Socket::duplicate() const {
  Fd copy(::fcntl(fd(), F_DUPFD_CLOEXEC, 0));
  if (!copy) throw std::system_error(errno, std::generic_category(), "duplicating a socket descriptor");
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
      return ConnectError::local_shortage;
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
      return AcceptError::none_pending;
    case ECONNABORTED:
    case EINTR:
      return AcceptError::retry_now;
    default:
      return AcceptError::system_refused;
  }
}

Socket Socket::listen_with_retry(const Address& address, double patience_ms) {
  constexpr double kRetryIntervalMs = 20;
  const core::Clock clock;
  for (const double deadline = clock.now() + patience_ms;;) {
    try {
      return listen_at(address);
    } catch (const std::system_error& error) {
      const bool temporary = connect_error(error.code().value()) == ConnectError::local_shortage;
      // EADDRNOTAVAIL: not an address of this machine. That is an error in the configuration, not a shortage
      // of ports.
      if (!temporary || error.code().value() == EADDRNOTAVAIL || clock.now() >= deadline) throw;
    }
    ::poll(nullptr, 0, static_cast<int>(kRetryIntervalMs));
  }
}

ConnectError Socket::try_connect(const Address& address, double timeout_ms) {
  // On Linux the send timeout also limits a blocking connect(); a shut_down() by another thread ends it
  // early.
  const auto micros = static_cast<long>(std::max(timeout_ms, 1.0) * 1000);
  timeval send_timeout{micros / 1'000'000, micros % 1'000'000};
  ::setsockopt(fd(), SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
  if (::connect(fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) == 0)
    return ConnectError::none;
  if (errno != EINTR) return connect_error(errno);
  // An interrupted connect() continues in the kernel.
  const core::Clock clock;
  if (poll_until(fd(), POLLOUT, -1, clock.now() + timeout_ms, clock).first == 0) return ConnectError::peer;
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &length);
  return connect_error(error);
}

IoResult Socket::receive(char* buffer, std::size_t capacity, std::size_t& received_bytes) {
  for (;;) {
    const ssize_t count = ::recv(fd(), buffer, capacity, MSG_DONTWAIT);
    if (count > 0) {
      received_bytes = static_cast<std::size_t>(count);
      return IoResult::done;
    }
    if (count == 0) return IoResult::end_of_stream;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return IoResult::timed_out;
    if (errno != EINTR) return IoResult::failed;
  }
}

IoResult Socket::receive(char* buffer, std::size_t capacity, std::size_t& received_bytes, double deadline,
                         const core::Clock& clock) {
  for (;;) {
    const IoResult io = receive(buffer, capacity, received_bytes);
    if (io != IoResult::timed_out || poll_until(fd(), POLLIN, -1, deadline, clock).first == 0) return io;
  }
}

namespace {
// Sends the vectors from `first` on, in as few system calls as possible, and advances `first` and the vectors
// past what was sent. IoResult::timed_out: the kernel accepts no more at present.
IoResult send_remaining(int fd, std::vector<iovec>& remaining, std::size_t& first) {
  while (first < remaining.size()) {
    msghdr message{};
    message.msg_iov = &remaining[first];
    message.msg_iovlen = remaining.size() - first;
    const ssize_t count = ::sendmsg(fd, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? IoResult::timed_out : IoResult::failed;
    }
    for (auto sent_bytes = static_cast<std::size_t>(count); sent_bytes > 0 && first < remaining.size();) {
      const std::size_t taken = std::min(sent_bytes, remaining[first].iov_len);
      remaining[first].iov_base = static_cast<char*>(remaining[first].iov_base) + taken;
      remaining[first].iov_len -= taken;
      sent_bytes -= taken;
      if (remaining[first].iov_len == 0) first += 1;
    }
  }
  return IoResult::done;
}

std::vector<iovec> to_iovecs(const std::vector<std::string_view>& parts) {
  std::vector<iovec> remaining;
  remaining.reserve(parts.size());
  for (const std::string_view part : parts)
    if (!part.empty()) remaining.push_back({const_cast<char*>(part.data()), part.size()});
  return remaining;
}
}  // namespace

IoResult Socket::send(const std::vector<std::string_view>& parts, double deadline, const core::Clock& clock) {
  std::vector<iovec> remaining = to_iovecs(parts);
  for (std::size_t first = 0;;) {
    const IoResult io = send_remaining(fd(), remaining, first);
    if (io != IoResult::timed_out || poll_until(fd(), POLLOUT, -1, deadline, clock).first == 0) return io;
  }
}

std::size_t Socket::send_available(const std::vector<std::string_view>& parts) {
  std::vector<iovec> remaining = to_iovecs(parts);
  std::size_t first = 0, total_bytes = 0, unsent_bytes = 0;
  for (const std::string_view part : parts) total_bytes += part.size();
  send_remaining(fd(), remaining, first);
  for (; first < remaining.size(); ++first) unsent_bytes += remaining[first].iov_len;
  return total_bytes - unsent_bytes;
}

double Socket::newest_bytes_age_ms() const {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (::getsockopt(fd(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return 0;
  const bool has_field = length >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  return has_field ? info.tcpi_last_data_recv : 0;
}

bool Socket::is_idle() const {
  if (!fd_) return false;
  char byte = 0;
  ssize_t result = 0;
  do result = ::recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  while (result < 0 && errno == EINTR);
  return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Socket::stays_open(double duration_ms) const {
  constexpr long kNanosPerSecond = 1'000'000'000;
  pollfd watched{fd(), POLLIN | POLLRDHUP, 0};
  const core::Clock clock;
  const double end = clock.now() + duration_ms;
  for (double remaining_ms = duration_ms;; remaining_ms = end - clock.now()) {
    const auto nanos = static_cast<long>(std::max(remaining_ms, 0.0) * 1e6);
    const timespec timeout{nanos / kNanosPerSecond, nanos % kNanosPerSecond};
    const int ready = ::ppoll(&watched, 1, &timeout, nullptr);
    if (ready < 0 && errno == EINTR) continue;
    return ready <= 0 || (watched.revents & ~POLLIN) == 0;
  }
}

int Socket::port() const {
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  ::getsockname(fd(), reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.sin_port);
}

}  // namespace woadtide::net
