// One link from a client: reads whole messages, on the park's thread, hands each to its front, and writes the
// answer. A link that waits, for bytes or for its answer, holds no thread.
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

// What a link waits for while its message is at work.
class Errand {
 public:
  virtual ~Errand() = default;
  // The client has gone: nobody needs the answer. Once at most, on the park's thread; must not block.
  virtual void gone() = 0;
};

// One protocol over client links.
class Front {
 public:
  virtual ~Front() = default;
  // On the park's thread; must not block. It either answers by reply() before it returns, or gives the errand
  // that will call reply() once, on any thread. Throws BadMessage.
  virtual std::shared_ptr<Errand> take(const std::shared_ptr<ClientLink>& link, Message message) = 0;
};

// What all links of one front share.
struct ClientSide {
  core::Clock& clock;
  BufferPool& pool;
  park::Park& park;
  Front& front;
  double first_ms = 2'000;     // from accept: by then a link's first message must have come, or
  double gap_ms = 1'000;       // since its last byte: it comes in pieces, and goes on
  double idle_ms = 120'000;    // a link that has served is closed after this without a message
  double message_ms = 10'000;  // its next messages must have come, an answer must have gone, within this
  std::atomic<bool> draining{false};  // answers close their links
  // What is still being read then is refused: with clients sent away, a query must not begin late.
  static constexpr double kAlways = 1e18;
  std::atomic<double> read_until{kAlways};
};

// Where a link stands, which says whether it may be closed to make room:
// fresh: no byte of its first message has come; reading: a part of it was read; asked: answered, but it never
// brought a query to work on; idle: between two messages; busy: its next message is coming in, or one is at
// work; lingering: all is said, its client is to close.
enum class ConnectionState { fresh, reading, asked, idle, busy, lingering };

class ClientLinks;

class ClientLink : public park::Guest, public std::enable_shared_from_this<ClientLink> {
 public:
  ClientLink(Socket socket, ClientSide& side, ClientLinks& links);

  // The answer to the message that the front has taken. `worked`: it was a query for workers. Any thread;
  // does not block: what the client does not take at once goes out as it does.
  void reply(int status, std::string_view fields, std::string_view body, bool closes, bool worked);

 private:
  friend class ClientLinks;

  void ready(park::Signs signs) override;
  void late() override;
  void read();
  bool take_bytes();
  void hand_over();
  void await_more(double now, bool came);
  void go_on_at(double when, bool came);
  void write_on();
  void sent(bool closes, bool worked);
  void reject(int status, std::string_view why);
  void take_rest();

  // Both may be gone once over_ is set.
  ClientSide& side_;
  ClientLinks& links_;
  const std::shared_ptr<std::mutex> mutex_;  // of links_, and outlives it
  Socket socket_;
  // The park's thread's own:
  MessageReader reader_;
  const double opened_;
  double until_ = 0, last_ = 0;          // when what is being read must go on, and be whole
  bool reads_ = false;                   // a part of the next message has come
  double arrived_ = 0;                   // when the bytes that were read last had come
  std::optional<double> waiting_since_;  // bytes came while a message was at work, and are not all read
  bool hung_up_ = false;                 // the client has ended its side
  // Of whoever answers, then the park's thread's again:
  std::string out_;  // what is still to go of the answer
  bool closes_after_ = false, worked_after_ = false;
  // Under the mutex:
  ConnectionState state_ = ConnectionState::fresh;
  bool at_work_ = false;  // the front has its message
  bool unheard_ = false;  // bytes came meanwhile
  bool writing_ = false;  // out_ is on its way
  bool over_ = false;
  bool served_ = false;  // a whole message of it was answered
  bool worked_ = false;  // one of them a query for workers
  double moved_ = 0;     // when it came to stand so, or its last byte since
  std::shared_ptr<Errand> errand_;
  std::list<std::shared_ptr<ClientLink>>::iterator place_;
  park::Park::Token token_ = park::Park::kNone;
};

}  // namespace woadtide::net
