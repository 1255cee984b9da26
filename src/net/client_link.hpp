// One client link (an inbound connection): reads complete messages on the event loop's thread, passes each to
// its protocol frontend and writes the response. A link that waits for bytes or for its response holds no
// thread.
#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "net/buffer_pool.hpp"
#include "net/message_reader.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

class ClientLink;

// A pending request: what a client link notifies while its message is being processed.
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
  // The client has disconnected, so the response is no longer needed. Called at most once, on the event
  // loop's thread; must not block.
  virtual void on_client_disconnected() = 0;
};

// A protocol frontend: processes the messages of client links that speak one protocol.
class Frontend {
 public:
  virtual ~Frontend() = default;
  // Handles one message. Called on the event loop's thread; must not block. It either calls link->reply()
  // before it returns, and returns null, or returns the pending request that will call reply() once, on any
  // thread. Throws BadMessage.
  virtual std::shared_ptr<PendingRequest> handle_message(const std::shared_ptr<ClientLink>& link,
                                                         IncomingMessage message) = 0;
};

// Resources, timeouts and drain state that all client links of one frontend share.
struct ClientLinkContext {
  core::Clock& clock;
  BufferPool& pool;
  park::EventLoop& event_loop;
  Frontend& frontend;
  // A message must be complete this long after accept (the first message of a link) or after its first byte
  // (later ones). While its bytes keep arriving, the limit extends to read_gap_ms after the newest byte, but
  // not beyond message_timeout_ms after the same start.
  double read_timeout_ms = 2'000;
  double read_gap_ms = 1'000;
  double idle_timeout_ms = 120'000;  // a link that has served a message is closed after this long without one
  double message_timeout_ms = 10'000;  // longest time for reading one message, and for writing one response
  std::atomic<bool> draining{false};   // every response closes its link
  static constexpr double kNoReadCutoff = 1e18;  // no limit on read_cutoff_ms
  // Messages that are still being read after this time (ms on `clock`) are rejected: once clients are sent
  // away, a query must not start late.
  std::atomic<double> read_cutoff_ms{kNoReadCutoff};
};

// State of a client link. It decides whether the link may be closed to make room for another one.
enum class ConnectionState {
  fresh,          // no byte of its first message has arrived
  reading,        // a part of its first message has arrived
  idle_no_query,  // idle, and has carried no query yet, only messages such as health checks
  idle,           // between two messages, after at least one query
  busy,           // its next message is arriving, or one is being processed
  lingering       // our side is shut down; waiting for the client to close
};

class ClientLinks;

// One client link. The event loop and its ClientLinks hold it; whoever answers its message may hold it too.
class ClientLink : public park::EventHandler, public std::enable_shared_from_this<ClientLink> {
 public:
  // `socket` is connected. The link is not watched until ClientLinks registers it with the event loop.
  ClientLink(Socket socket, ClientLinkContext& context, ClientLinks& links);

  // Sends the response to the message that the frontend has taken. `fields` are complete header lines,
  // `closes` ends the link after the response, `is_query` says that the message was a query for workers. May
  // be called on any thread; does not block: what the socket does not accept at once is sent as it becomes
  // writable.
  void reply(int status, std::string_view fields, std::string_view body, bool closes, bool is_query);

 private:
  friend class ClientLinks;

  // On the event loop's thread.
  void on_ready(park::ReadinessEvents signs) override;
  void on_timeout() override;
  void read_message();
  bool read_available();
  void dispatch_message();
  void wait_for_bytes(double now, bool received);
  void schedule_read(double when, bool received);
  void send_pending();
  void finish_reply(bool closes, bool is_query);
  void reject(int status, std::string_view reason);
  void discard_input();

  // Both may be destroyed once closed_ is set.
  ClientLinkContext& context_;
  ClientLinks& links_;
  const std::shared_ptr<std::mutex> mutex_;  // shared with links_, and outlives it
  Socket socket_;
  // Used on the event loop's thread only:
  MessageReader reader_;
  const double opened_at_;
  // When more of the message must have arrived (also ends lingering), and when all of it must have.
  double read_deadline_ = 0, message_deadline_ = 0;
  bool reading_ = false;    // the time limits of the next message are running
  double received_at_ = 0;  // arrival time of the bytes that were read last
  // Set while bytes that arrived during the processing of a message are not all read.
  std::optional<double> unread_since_;
  bool peer_closed_ = false;  // the client has shut down its side
  // Used by the thread that calls reply(), and after that on the event loop's thread:
  std::string unsent_;  // the remainder of the response
  bool close_when_sent_ = false, unsent_is_query_ = false;
  // Guarded by the mutex:
  ConnectionState state_ = ConnectionState::fresh;
  bool processing_ = false;       // the frontend has its message
  bool input_signalled_ = false;  // bytes arrived meanwhile
  bool writing_ = false;          // unsent_ is being sent
  bool closed_ = false;
  bool answered_ = false;       // it has carried a complete message that was answered
  bool carried_query_ = false;  // one of them was a query for workers
  double state_since_ = 0;      // when it entered its state, or received its newest byte in it
  std::shared_ptr<PendingRequest> pending_request_;
  std::list<std::shared_ptr<ClientLink>>::iterator position_;
  park::EventLoop::Token token_ = park::EventLoop::kNoToken;
};

}  // namespace woadtide::net
