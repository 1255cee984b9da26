// Accepts links on a listening socket and serves each on its own thread, up to a limit. At the limit further
// connections wait in the kernel's backlog.
#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <string>

#include "net/socket.hpp"
#include "park/thread.hpp"

namespace woadtide::lab {

using net::Socket;
using park::Fd;

// Thread-per-link server.
class Acceptor {
 public:
  // Runs on the thread of a link; the link is closed when it returns.
  using LinkHandler = std::function<void(Socket&)>;
  // Starts accepting on `listener`. `name`: of the threads and in log lines.
  Acceptor(std::string name, Socket listener, std::size_t max_links, const core::Clock& clock,
           LinkHandler handler);
  // Shuts down all links and waits for their threads.
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  int port() const { return port_; }
  // Number of links whose thread has not been joined yet.
  std::size_t open_count();

 private:
  struct Link {
    Socket socket;  // used by its thread; closed and shut down under the mutex
    bool finished = false;
    park::Thread thread;  // declared last: it uses the other members
  };
  void run();
  void accept_link();
  std::size_t join_finished();

  const std::string name_;
  const std::size_t max_links_;
  const core::Clock& clock_;
  const LinkHandler handler_;
  Socket listener_;
  const int port_;
  Fd stop_event_;
  std::mutex mutex_;
  std::list<Link> links_;
  park::Thread thread_;  // declared last: it uses the other members
};

}  // namespace woadtide::lab
