// Blocking TCP sockets. Every read and write has an absolute deadline on the Clock.
#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "park/fd.hpp"

namespace woadtide::net {

using park::Fd;

// "host:port" with a numeric host. Throws std::invalid_argument for anything else.
struct Address {
  Address() = default;
  explicit Address(const std::string& text);
  sockaddr_storage storage{};
  socklen_t length = 0;
};

enum class Io { done, ended, broken, late };

// Why there is no connection. own: this machine is short of something for now (descriptors, memory, ports),
// which says nothing about the peer. unreachable: the network knows no way there. peer: it refused, reset, or
// said nothing in time.
enum class ConnectError { none, own, unreachable, peer };
// What an errno of socket() or connect() means.
ConnectError connect_error(int error);

// Why accept() gave no connection. nobody: none waits. this_one: the one that waited is gone, or the call was
// interrupted; the next may be had at once. machine: it may last, and the connection waits in the kernel.
enum class AcceptError { nobody, this_one, machine };
AcceptError accept_error(int error);
// How long to wait before another accept, where the machine gave none.
constexpr double kAcceptAgainMs = 5;

class Socket {
 public:
  Socket() = default;
  explicit Socket(Fd fd) : fd_(std::move(fd)) {}

  // An unconnected socket for `address`, with TCP_NODELAY. Throws std::system_error.
  static Socket make(const Address& address);
  // Throws std::system_error. Port 0 takes a free one.
  static Socket listen_at(const Address& address);
  // The same, and tries again for up to `patience_ms` where this machine is short of something for now.
  static Socket listen_patiently(const Address& address, double patience_ms);

  // A socket that listens already, inherited: from here on its owner is this process. It may be another one's
  // too: it must never be shut down. Throws std::runtime_error where it does not listen.
  static Socket adopt_listener(int fd);

  // The same socket by another descriptor. Throws std::system_error.
  Socket another() const;

  // Once, within so many ms.
  ConnectError try_connect(const Address& address, double within_ms);
  bool connect(const Address& address, double within_ms) {
    return try_connect(address, within_ms) == ConnectError::none;
  }
  // done: `got` bytes came, at least one.
  Io receive(char* to, std::size_t room, std::size_t& got, double deadline, const core::Clock& clock);
  // The same without waiting: late where nothing has come.
  Io receive(char* to, std::size_t room, std::size_t& got);
  // All parts in as few writes as the kernel takes. done: the last byte was handed over.
  Io send(const std::vector<std::string_view>& parts, double deadline, const core::Clock& clock);
  // How many bytes of these parts the kernel takes at once, in all.
  std::size_t send_some(const std::vector<std::string_view>& parts);
  // How long ago the kernel received the newest bytes, ms; 0 where it does not tell.
  double age_of_newest_bytes() const;
  // Open, and nothing has come: a link that stood idle may be used again.
  bool quiet() const;
  // Watches for `ms` of the machine's own time, or until the peer speaks. False if it closed or reset.
  bool stays_open(double ms) const;
  void shut(int how = SHUT_RDWR) const { ::shutdown(fd_.get(), how); }

  void set_no_delay() const;
  int fd() const { return fd_.get(); }
  explicit operator bool() const { return static_cast<bool>(fd_); }
  int port() const;

 private:
  Fd fd_;
};

// Waits for `events` on one descriptor and for input on another (or -1) until `deadline`; poll's revents of
// both, 0 and 0 when it is late.
std::pair<short, short> wait_for(int fd, short events, int other, double deadline, const core::Clock& clock);

}  // namespace woadtide::net
