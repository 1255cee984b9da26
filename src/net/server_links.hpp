// The links to workers: each carries one execution at a time and is kept for the next. A thread of the crew
// connects and sends; what waits, for an answer or for the next execution, stands in the park.
#pragma once

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/inbox.hpp"
#include "core/log.hpp"
#include "core/query.hpp"
#include "net/buffer_pool.hpp"
#include "net/host_group.hpp"
#include "net/http.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

class ServerLinks : public core::Executor {
 public:
  struct Limits {
    std::size_t most = 300;   // links open at once, idle ones included
    double connect_ms = 250;  // a connect that takes longer has failed
    double idle_ms = 30'000;  // an idle link is dropped after this, well before the worker would drop it
    double settle_ms = 1;     // what the last byte of a query waits at least, see send()
  };

  ServerLinks(Limits limits, core::Clock& clock, core::Inbox& inbox, const HostGroup& hosts, BufferPool& pool,
              park::Park& park, park::Crew& crew);
  ~ServerLinks() override;
  ServerLinks(const ServerLinks&) = delete;
  ServerLinks& operator=(const ServerLinks&) = delete;

  void start(core::Execution execution) override;
  void cancel(const core::ExecutionKey& key) override;
  void withdraw(const core::ExecutionKey& key) override;
  void probe(const std::string& worker) override;
  void exclude(const std::string& worker, bool excluded) override;
  // Another bound on links from here on: idle ones over it are closed.
  void set_most(std::size_t most);

 private:
  struct Task {
    core::Execution execution;
    bool probe = false;
    HostGroup::Known host;
  };
  struct Ending {
    woadtide::Status status = woadtide::Status::error;
    std::string result = {};
    bool bad_query = false;
    bool failed = false;      // the worker's word
    std::string report = {};  // of its load, as it came
  };
  // idle: for the next execution; sending: a thread of the crew has it, and the last byte is not out;
  // committed: that thread sends the last byte, and the execution may run from here on, whoever has gone;
  // awaiting: of the answer, all that has come is read; tail: the ending is told, the rest of the answer is
  // still to come; over: to be closed with the last that holds it.
  // idle -> sending -> committed -> awaiting -> tail -> idle; each also -> over; sending and awaiting also
  // -> idle.
  enum class Phase { idle, sending, committed, awaiting, tail, over };
  struct Link : park::Guest, std::enable_shared_from_this<Link> {
    explicit Link(ServerLinks& owner) : links(owner) {}
    void ready(park::Signs signs) override { links.ready(*this, signs); }
    void late() override { links.late(*this); }

    ServerLinks& links;
    std::string worker, dial;
    Socket socket;  // of who has the phase; replaced and shut under the mutex
    // Under the mutex:
    Phase phase = Phase::sending;
    bool cancelled = false;
    bool withdrawn = false;  // cancelled before it was committed, as nobody waits for it
    bool unheard = false;    // something came while it was sending
    double idle_since = 0;
    core::ExecutionKey key;  // of the task at hand
    std::list<std::shared_ptr<Link>>::iterator place;
    park::Park::Token token = park::Park::kNone;
    // Of who has the phase:
    Task task;
    double settle_ms = 0;  // how long after a query's first bytes a link that is broken would show it
    double told_ms = 0;    // how long the worker was told that the answer is waited for
    double patience = 0;   // until when the answer must go on
    std::optional<Intake> intake;
    std::optional<LineReader> lines;  // of the answer's body
    bool closes = false;              // the link ends with this answer
  };

  static Ending ending_of(const Head& head);
  void assign(core::Execution execution, bool probe);
  std::shared_ptr<Link> link_for(const Task& task);
  Link* idle_link(const Task& task);
  bool make_room(std::size_t most);
  // Under the mutex.
  void take_from_idle(Link& link);
  void drop(Link& link);
  void rest(Link& link, bool reusable);

  // On the crew's threads.
  void carry_out(Link& link);
  std::optional<Ending> hand_over(Link& link);
  std::optional<Ending> connect(Link& link);
  ConnectError try_connect(Link& link, double until);
  std::optional<Ending> send(Link& link, bool kept);
  std::optional<Ending> commit(Link& link);

  // On the park's thread.
  void ready(Link& link, park::Signs signs);
  void late(Link& link);
  bool hear(Link& link);
  bool rest_is_over(Link& link);
  void end(Link& link, Ending ending);
  std::optional<Ending> await(Link& link);
  std::optional<Ending> await_lines(Link& link);

  Ending broken(Link& link, woadtide::Status otherwise);
  void report(const Task& task, Ending ending);
  static Ending stopped(const Link& link, woadtide::Status otherwise);
  bool is_excluded(const std::string& worker);
  bool is_cancelled(const Link& link);
  void log_failure(const char* what);

  Limits limits_;  // `most` under the mutex
  core::Clock& clock_;
  core::Inbox& inbox_;
  const HostGroup& hosts_;
  BufferPool& pool_;
  park::Park& park_;
  park::Crew& crew_;
  std::mutex mutex_;
  std::condition_variable handed_over_;
  std::list<std::shared_ptr<Link>> links_;
  std::map<std::string, std::vector<Link*>> idle_;  // by worker, the newest last; none is empty
  std::size_t sending_ = 0;                         // jobs of the crew
  std::set<std::string> excluded_;                  // workers that an operator has out
  core::Seldom all_busy_, own_failure_;
};

}  // namespace woadtide::net
