// One link from a client: a thread that reads a query, hands it to the loop, waits for its answer.
#pragma once

#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/inbox.hpp"
#include "core/query.hpp"
#include "net/buffer_pool.hpp"
#include "net/http.hpp"
#include "net/lookout.hpp"
#include "net/socket.hpp"
#include "net/thread.hpp"

namespace woadtide::net {

// What all client links share.
struct ClientSide {
  core::Clock& clock;
  core::Inbox& inbox;
  BufferPool& pool;
  Lookout& lookout;
  double first_ms = 2'000;         // from accept: by then a link's first query must have come, or
  double gap_ms = 1'000;           // since its last byte: it comes in pieces, and goes on
  double idle_ms = 120'000;        // a link that has served is closed after this without a query
  double message_ms = 10'000;      // its next queries must have come, an answer must have gone, within this
  std::atomic<bool> ready{false};  // what /health/ready says
  std::atomic<bool> draining{false};  // answers close their links
  // What is still being read then is refused: with clients sent away, a query must not begin late.
  static constexpr double kAlways = 1e18;
  std::atomic<double> read_until{kAlways};
};

// Where a link stands, which says whether it may be closed to make room:
// fresh: no byte of its first query has come; reading: a part of it was read; asked: answered, but it never
// brought a query to work on; idle: between two queries; busy: one is about to be read, or at work; over: its
// thread is about to end.
enum class Standing { fresh, reading, asked, idle, busy, over };

class ClientLinks;

class ClientLink {
 public:
  // Throws std::system_error when there are no more threads or descriptors.
  ClientLink(Socket socket, ClientSide& side, ClientLinks& links);
  ~ClientLink();
  ClientLink(const ClientLink&) = delete;
  ClientLink& operator=(const ClientLink&) = delete;

 private:
  friend class ClientLinks;

  // Where the loop puts the answer. It outlives the link when the client has gone.
  class Mailbox : public core::Asker {
   public:
    void answer(core::Answer answer) override;
    void leave();  // nobody needs an answer any more
    // The answer; nothing, if the client has gone.
    std::optional<core::Answer> wait();

   private:
    std::mutex mutex_;
    std::condition_variable came_;
    std::optional<core::Answer> answer_;
    bool left_ = false;
  };
  struct Held;  // a query's bytes

  void run();
  bool await_query();
  bool serve_query();
  std::shared_ptr<Held> read_query(core::Query& query, bool& closes);
  bool answer_query(core::Query query, bool closes);
  bool write(int status, std::string_view fields, std::string_view body, bool closes);
  void reject(int status, std::string_view why);
  void take_rest();

  ClientSide& side_;
  ClientLinks& links_;
  const std::shared_ptr<Mailbox> mailbox_;
  const double opened_;
  bool served_ = false;  // a whole message of it was answered
  bool worked_ = false;  // one of them a query for workers
  std::string unread_;   // bytes that came behind a query
  // Under the mutex of links_, but that the link's thread uses the socket:
  Socket socket_;
  Standing standing_ = Standing::fresh;
  std::list<std::unique_ptr<ClientLink>>::iterator place_;
  bool closing_ = false;
  double moved_ = 0;  // when it came to stand so, or its last byte since
  Thread thread_;     // last: it uses all the others
};

}  // namespace woadtide::net
