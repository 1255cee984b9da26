// All client links of one protocol frontend, and the listening socket that accepts them: limits the number of
// links, closes idle ones to make room, and sends clients away when the process drains or ends.
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

// Owns the listening socket and the client links.
class ClientLinks : private park::EventHandler {
 public:
  // Allows at most `max_links` links at once; each uses one descriptor. Accepts only after start(). Throws
  // std::system_error.
  ClientLinks(Socket listener, std::size_t max_links, ClientLinkContext& context);
  ~ClientLinks() override;
  ClientLinks(const ClientLinks&) = delete;
  ClientLinks& operator=(const ClientLinks&) = delete;

  // Begins to accept. Throws std::system_error.
  void start();
  // Closes all links immediately and stops watching the listening socket. The destructor calls it too.
  void stop();
  // Accepts what waits in the kernel's queue by now, then closes the listening socket, and closes links as
  // they become idle. Links whose query is being processed stay open until it is answered.
  void stop_accepting();
  // Like stop_accepting(), but leaves the queue to the sibling process that listens on the same socket.
  void leave_listener_to_sibling();
  // Changes the limit on links. Those above it are closed, except where a query is being processed.
  void set_max_links(std::size_t max_links);
  // Sends clients away without ending the process: responses close their links, and idle links are closed
  // once the load balancer in front of us has seen that we are not ready. The listening socket stays open.
  // evacuate() and activate() may be called repeatedly, in any order.
  void evacuate();
  void activate();
  // Number of open links, lingering ones included.
  std::size_t open_count();
  // Number of links in this state.
  std::size_t count(ConnectionState state);
  // When the newest link in this state entered it, or received its newest byte in it (ms on the clock); 0 if
  // no link is in this state.
  double last_activity(ConnectionState state);
  // The port of the listening socket.
  int port() const { return port_; }

 private:
  friend class ClientLink;
  using Links = std::list<std::shared_ptr<ClientLink>>;

  // Changes of one link; the mutex is held. set_state() records its new state. begin_linger() shuts down our
  // side and waits for the client to close. remove_link() ends it: the client has closed, its time is up or
  // its place is needed. Its socket is closed with the last reference to it.
  void set_state(ClientLink& link, ConnectionState state);
  void begin_linger(ClientLink& link);
  void remove_link(ClientLink& link);
  void wake_waiting_accept();

  // On the event loop's thread.
  void on_ready(park::ReadinessEvents signs) override;
  void on_timeout() override;
  void sweep_and_accept();
  void accept_pending();
  void sweep(double now);
  void close_silent(ConnectionState state, double opened_before);
  void reject_partial_messages();
  enum class AcceptResult { accepted, none_pending, all_busy, retry_later };
  AcceptResult accept_one();
  AcceptResult handle_accept_error(int error);
  AcceptResult make_room();
  ClientLink* longest_silent_unserved(double active_before);
  bool evict_one();
  std::size_t open_links() const;
  Links& in_state(ConnectionState state) { return links_[static_cast<std::size_t>(state)]; }

  ClientLinkContext& context_;
  std::atomic<std::size_t> max_links_;
  Socket listener_;
  const int port_;
  std::atomic<bool> stopping_{false}, left_to_sibling_{false};
  std::atomic<double> evacuating_since_{0};  // 0: not evacuating
  const std::shared_ptr<std::mutex> mutex_ = std::make_shared<std::mutex>();
  // One list per state, ordered by state_since_, so that accepting needs no scan over all links.
  std::array<Links, 6> links_;
  bool accept_waiting_ = false;  // a connection waits for a link to be closed
  core::LogRateLimit all_open_log_, accept_error_log_;
  int final_accepts_left_;  // accepts still allowed after stop_accepting()
  park::EventLoop::Token listener_token_ = park::EventLoop::kNoToken,
                         timer_token_ = park::EventLoop::kNoToken;
};

}  // namespace woadtide::net
