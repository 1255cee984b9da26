// Control socket: a Unix socket through which a supervisor finds this process again. Each caller of the same
// user receives one line and the descriptor of the socket where clients connect. The connection stays open
// and ends with the process, however that ends. The contents of the line and the caller's purpose are unknown
// here.
#pragma once

#include <list>
#include <mutex>
#include <string>

#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

// Listens on the control socket and passes a status line and the client listener to each caller.
class ControlSocket : private park::EventHandler {
 public:
  // Open connections at once.
  static constexpr std::size_t kMaxConnections = 4;
  // Listens at `path`. `status_line` has no line end. Throws std::system_error if it cannot listen.
  ControlSocket(park::EventLoop& event_loop, const std::string& path, std::string status_line,
                Socket passed_socket);
  ~ControlSocket() override;
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;

  // Stops passing the socket: new callers are rejected, existing connections stay. If this process was the
  // last to hold the passed socket, nobody listens on it any more.
  void stop_passing();

 private:
  void on_ready(park::ReadinessEvents events) override;
  void on_timeout() override { on_ready({}); }

  const core::Clock clock_;
  core::LogRateLimit accept_error_log_;
  park::EventLoop& event_loop_;
  const std::string status_line_;
  std::mutex mutex_;
  Socket passed_socket_;
  Socket listener_;
  std::list<Socket> connections_;  // the oldest is closed first when the limit is reached
  park::EventLoop::Token token_;
};

// The caller's side: what the process behind a control socket sent.
struct ControlSocketConnection {
  Socket link;      // readable once the process has ended
  Socket listener;  // where clients connect
  std::string line;
  int pid = 0;  // reported by the kernel
};
// Connects to the control socket at `path`. The result has no link if nobody listens, the peer runs as
// another user, or no complete line came within `timeout_ms` ms.
ControlSocketConnection connect_control_socket(const std::string& path, double timeout_ms);

}  // namespace woadtide::net
