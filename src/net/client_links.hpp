// All client links, and the acceptor that opens them.
#pragma once

#include <array>
#include <condition_variable>
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
  // At most `most` links at once; each holds one descriptor. Accepts from start() on.
  ClientLinks(Socket listener, std::size_t most, ClientSide& side);
  ~ClientLinks();
  ClientLinks(const ClientLinks&) = delete;
  ClientLinks& operator=(const ClientLinks&) = delete;

  void start();
  // Takes what the machine has accepted for us by now, then listens no more and closes links as they fall
  // idle. Links with a query at work stay until it is answered.
  void stop_accepting();
  // The same, but whoever listens at the same socket takes what waits there.
  void leave_to_other();
  // Another bound on links from here on: those over it go as far as no query is at work on them.
  void set_most(std::size_t most);
  // Sends clients away without an end: answers close their links, and links are closed as they fall idle,
  // once the front has heard that we are not ready. The listener stays open. Again, or the other way, at any
  // time.
  void evacuate();
  void activate();
  std::size_t open();
  std::size_t count(Standing standing);
  // When the last link of those that stand so came to, or its last byte since; 0 where there is none.
  double last_moved(Standing standing);

 private:
  friend class ClientLink;
  using Links = std::list<std::unique_ptr<ClientLink>>;

  // A link's word on where it stands. False when it was told to close: it must not go on.
  bool stand(ClientLink& link, Standing standing);
  // A link's last word: its socket is closed here.
  void end(ClientLink& link);

  void run();
  void wake();
  void sweep(double now);
  void close_quiet(Standing standing, double opened_before);
  bool accept_one();
  void make_room();
  ClientLink* unserved(double moved_before);
  bool shed_one();
  std::size_t open_here() const;
  Links& at(Standing standing) { return links_[static_cast<std::size_t>(standing)]; }
  void put(ClientLink& link, Standing standing);
  void close(ClientLink& link);
  void reap();

  ClientSide& side_;
  std::atomic<std::size_t> most_;
  Socket listener_;
  Fd wake_;
  std::atomic<bool> stopping_{false}, left_to_other_{false}, over_{false};
  std::atomic<double> evacuated_at_{0};  // 0: not at all
  std::mutex mutex_;
  std::condition_variable ended_;
  // By standing, each in the order in which they came to stand so: no walk through all of them at an accept.
  std::array<Links, 6> links_;
  std::size_t closing_ = 0;  // links told to close whose threads have not ended
  core::Seldom all_open_, no_room_;
  Thread thread_;  // last: it uses all the others
};

}  // namespace woadtide::net
