// All client links of one front, and the listener that they come by.
#pragma once

#include <array>
#include <list>
#include <memory>
#include <mutex>

#include "core/log.hpp"
#include "net/client_link.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

class ClientLinks : private park::Guest {
 public:
  // At most `most` links at once; each holds one descriptor. Accepts from start() on.
  ClientLinks(Socket listener, std::size_t most, ClientSide& side);
  ~ClientLinks() override;
  ClientLinks(const ClientLinks&) = delete;
  ClientLinks& operator=(const ClientLinks&) = delete;

  void start();
  // Ends all links and the listener at once; also the destructor does.
  void stop();
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
  std::size_t count(ConnectionState state);
  // When the last link of those that stand so came to, or its last byte since; 0 where there is none.
  double last_moved(ConnectionState state);
  int port() const { return port_; }

 private:
  friend class ClientLink;
  using Links = std::list<std::shared_ptr<ClientLink>>;

  // Of links, under the mutex: where one stands from now on; it has said all and waits for its client to
  // close; it is over, as its client has gone, its time is up or its place is needed, and is closed with the
  // last that holds it.
  void put(ClientLink& link, ConnectionState state);
  void linger(ClientLink& link);
  void drop(ClientLink& link);
  void tell_waiting();

  // On the park's thread.
  void ready(park::Signs signs) override;
  void late() override;
  void look();
  void accept_waiting();
  void sweep(double now);
  void close_quiet(ConnectionState state, double opened_before);
  void refuse_half();
  enum class Accepted { one, none, full, later };
  Accepted accept_one();
  Accepted refused_by_machine(int error);
  Accepted make_room();
  ClientLink* unserved(double moved_before);
  bool shed_one();
  std::size_t open_here() const;
  Links& at(ConnectionState state) { return links_[static_cast<std::size_t>(state)]; }

  ClientSide& side_;
  std::atomic<std::size_t> most_;
  Socket listener_;
  const int port_;
  std::atomic<bool> stopping_{false}, left_to_other_{false};
  std::atomic<double> evacuated_at_{0};  // 0: not at all
  const std::shared_ptr<std::mutex> mutex_ = std::make_shared<std::mutex>();
  // By state, each in the order in which they came to stand so: no walk through all of them at an accept.
  std::array<Links, 6> links_;
  bool waits_ = false;  // one waits for a place
  core::Seldom all_open_, no_room_;
  int last_accepts_;  // that are still made once we are to listen no more
  park::Park::Token listens_ = park::Park::kNone, looks_ = park::Park::kNone;
};

}  // namespace woadtide::net
