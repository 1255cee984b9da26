// One link from a client: a thread that reads a query, hands it to the loop, waits for its answer.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/inbox.hpp"
#include "core/query.hpp"
#include "net/buffer_pool.hpp"
#include "net/http.hpp"
#include "net/socket.hpp"
#include "net/thread.hpp"

namespace woadtide::net {

// What all client links share.
struct ClientSide {
  core::Clock& clock;
  core::Inbox& inbox;
  BufferPool& pool;
  double idle_ms = 120'000;           // a link without a query is closed after this
  double message_ms = 10'000;         // a query must have come, an answer must have gone, within this
  std::atomic<bool> ready{false};     // what /health/ready says
  std::atomic<bool> draining{false};  // answers close their links
};

class ClientLink {
 public:
  // Throws std::system_error when there are no more threads or descriptors.
  ClientLink(Socket socket, ClientSide& side);
  ~ClientLink();
  ClientLink(const ClientLink&) = delete;
  ClientLink& operator=(const ClientLink&) = delete;

  // Closes the link if it is between two queries, before it reads anything more: a query that crosses this is
  // unread, and the client may send it again elsewhere. False if a query is at work.
  bool close_if_idle();
  // When it became idle; nullopt while a query is at work.
  std::optional<double> idle_since();
  bool over() const { return over_; }

 private:
  // Where the loop puts the answer. It outlives the link when the client has gone.
  class Mailbox : public core::Asker {
   public:
    Mailbox();
    void answer(core::Answer answer) override;
    std::optional<core::Answer> take();
    void wake();
    int fd() const { return wake_.get(); }

   private:
    std::mutex mutex_;
    std::optional<core::Answer> answer_;
    Fd wake_;
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
  Socket socket_;
  const std::shared_ptr<Mailbox> mailbox_;
  std::string unread_;  // bytes that came behind a query
  std::mutex mutex_;
  bool idle_ = true, closing_ = false;
  double idle_since_;
  std::atomic<bool> over_{false};
  Thread thread_;  // last: it uses all the others
};

}  // namespace woadtide::net
