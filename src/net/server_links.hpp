// The links to workers: each carries one execution at a time, on a thread of its own, and is kept for the
// next.
#pragma once

#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "core/inbox.hpp"
#include "core/log.hpp"
#include "core/query.hpp"
#include "net/buffer_pool.hpp"
#include "net/host_group.hpp"
#include "net/http.hpp"
#include "net/socket.hpp"
#include "net/thread.hpp"

namespace woadtide::net {

class ServerLinks : public core::Executor {
 public:
  struct Limits {
    std::size_t most = 300;   // links open at once, idle ones included
    double connect_ms = 250;  // a connect that takes longer has failed
    double idle_ms = 30'000;  // an idle link is dropped after this, well before the worker would drop it
    double settle_ms = 1;     // what the last byte of a query waits at least, see send()
  };

  ServerLinks(Limits limits, core::Clock& clock, core::Inbox& inbox, const HostGroup& hosts,
              BufferPool& pool);
  ~ServerLinks() override;
  ServerLinks(const ServerLinks&) = delete;
  ServerLinks& operator=(const ServerLinks&) = delete;

  void start(core::Execution execution) override;
  void cancel(const core::ExecutionKey& key) override;
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
    bool failed = false;  // the worker's word
  };
  struct Link {
    std::string worker, dial;
    Socket socket;  // its thread uses it; replaced, closed and shut under the mutex
    std::optional<Task> task;
    bool idle = false, cancelled = false, closing = false, over = false;
    double idle_since = 0;
    double settle_ms = 0;    // how long after a query's first bytes a link that is broken would show it
    core::ExecutionKey key;  // of the task at hand
    std::condition_variable wake;
    Thread thread;
  };

  static Ending ending_of(const Head& head);
  void assign(core::Execution execution, bool probe);
  Link* idle_link(const Task& task);
  bool make_room(std::size_t most);
  void reap();
  void serve(Link& link);
  void carry_out(Link& link, const Task& task);
  std::optional<Ending> hand_over(Link& link, const Task& task);
  std::optional<Ending> connect(Link& link, const Task& task);
  std::optional<Ending> send(Link& link, const Task& task);
  Ending await(Link& link, const Task& task, Intake& intake, std::optional<LineReader>& lines);
  Ending await_lines(Link& link, const Task& task, LineReader& lines);
  Ending broken(Link& link, woadtide::Status otherwise);
  void report(const Task& task, Ending ending);
  bool is_cancelled(Link& link);
  bool is_excluded(const std::string& worker);
  void set_idle(Link& link, bool reusable);

  Limits limits_;  // `most` under the mutex
  core::Clock& clock_;
  core::Inbox& inbox_;
  const HostGroup& hosts_;
  BufferPool& pool_;
  std::mutex mutex_;
  std::list<Link> links_;
  std::set<std::string> excluded_;  // workers that an operator has out, under the mutex
  core::Seldom all_busy_;           // under the mutex
};

}  // namespace woadtide::net
