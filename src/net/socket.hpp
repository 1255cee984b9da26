// TCP sockets. A call that may block takes an absolute deadline, in ms on a Clock, or a longest time in ms.
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

// A socket address, parsed from "host:port" with a numeric host and port. The constructor throws
// std::invalid_argument for anything else.
struct Address {
  Address() = default;
  explicit Address(const std::string& text);
  sockaddr_storage storage{};
  socklen_t length = 0;
};

// Result of a read or write.
enum class IoResult {
  done,           // bytes were transferred
  end_of_stream,  // the peer has shut down its side
  failed,         // the connection failed
  timed_out       // the deadline has passed; without a deadline: the call would have blocked
};

// Why a connection was not established.
enum class ConnectError {
  none,
  local_shortage,  // temporary local shortage (descriptors, memory, ports): says nothing about the peer
  unreachable,     // the network has no route to the peer
  peer             // the peer refused, reset, or did not answer in time
};
// Classifies an errno of socket() or connect().
ConnectError connect_error(int error);

// Why accept() returned no connection.
enum class AcceptError {
  none_pending,  // none is pending
  retry_now,  // the pending connection is gone, or the call was interrupted: accept() may be repeated at once
  system_refused  // the system refused, which may last; the connection stays in the kernel's queue
};
// Classifies an errno of accept().
AcceptError accept_error(int error);
// How long to wait after AcceptError::system_refused before the next accept().
constexpr double kAcceptRetryMs = 5;

// Owns the descriptor of one TCP socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(Fd fd) : fd_(std::move(fd)) {}

  // Creates an unconnected socket for `address`, with TCP_NODELAY. Throws std::system_error.
  static Socket create(const Address& address);
  // Creates a listening socket; port 0 selects a free port. Throws std::system_error.
  static Socket listen_at(const Address& address);
  // Like listen_at(), but retries for up to `patience_ms` while this machine is temporarily short of
  // resources.
  static Socket listen_with_retry(const Address& address, double patience_ms);

  // Takes ownership of an inherited descriptor of a listening socket. Another process may share the socket,
  // so it must never be shut down. Throws std::runtime_error if it is not a listening socket.
  static Socket adopt_listener(int fd);

  // Duplicates the descriptor: both refer to the same socket. Throws std::system_error.
  Socket duplicate() const;

  // Makes one attempt to connect, which takes at most `timeout_ms`.
  ConnectError try_connect(const Address& address, double timeout_ms);
  bool connect(const Address& address, double timeout_ms) {
    return try_connect(address, timeout_ms) == ConnectError::none;
  }
  // IoResult::done: `received_bytes`, at least one, were stored at `buffer`, which has room for `capacity`
  // bytes. Waits until `deadline`.
  IoResult receive(char* buffer, std::size_t capacity, std::size_t& received_bytes, double deadline,
                   const core::Clock& clock);
  // Does not wait: IoResult::timed_out if nothing has arrived.
  IoResult receive(char* buffer, std::size_t capacity, std::size_t& received_bytes);
  // Sends all parts, in as few system calls as possible. IoResult::done: the kernel has accepted the last
  // byte. Waits until `deadline`.
  IoResult send(const std::vector<std::string_view>& parts, double deadline, const core::Clock& clock);
  // Sends what the kernel accepts without blocking, and returns its total size in bytes.
  std::size_t send_available(const std::vector<std::string_view>& parts);
  // Time since the kernel received the newest bytes, in ms; 0 if it does not report that.
  double newest_bytes_age_ms() const;
  // The connection is open and no bytes are waiting, so a link that was idle may be used again.
  bool is_idle() const;
  // Watches the connection for `duration_ms` of real time, or until bytes arrive. False if the peer has
  // closed or reset it.
  bool stays_open(double duration_ms) const;
  // Shuts down one direction or both; the descriptor stays open.
  void shut_down(int how = SHUT_RDWR) const { ::shutdown(fd_.get(), how); }

  // Sets TCP_NODELAY.
  void set_no_delay() const;
  int fd() const { return fd_.get(); }
  explicit operator bool() const { return static_cast<bool>(fd_); }
  // The local port.
  int port() const;

 private:
  Fd fd_;
};

// Waits until `deadline` for `events` on one descriptor and for input on another one (-1: none). Returns
// poll's revents of both; both are 0 if the deadline has passed. Throws std::system_error.
std::pair<short, short> poll_until(int fd, short events, int other_fd, double deadline,
                                   const core::Clock& clock);

}  // namespace woadtide::net
