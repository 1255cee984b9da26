// All client links, and the acceptor that opens them.
#pragma once

#include <list>
#include <memory>
#include <mutex>

#include "core/log.hpp"
#include "net/client_link.hpp"
#include "net/socket.hpp"
#include "net/thread.hpp"

namespace woadtide::net {

class ClientLinks {
 public:
  // At most `most` links at once; each holds two descriptors.
  ClientLinks(Socket listener, std::size_t most, ClientSide& side);
  ~ClientLinks();
  ClientLinks(const ClientLinks&) = delete;
  ClientLinks& operator=(const ClientLinks&) = delete;

  // Takes what the machine has accepted for us by now, then listens no more and closes links as they fall
  // idle. Links with a query at work stay until it is answered.
  void stop_accepting();
  std::size_t open();

 private:
  void run();
  bool accept_one();
  void make_room();
  void reap();

  ClientSide& side_;
  const std::size_t most_;
  Socket listener_;
  Fd wake_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::list<std::unique_ptr<ClientLink>> links_;
  core::Seldom all_open_, no_room_;
  Thread thread_;  // last: it uses all the others
};

}  // namespace woadtide::net
