// Links to workers. A link carries one execution at a time and is kept open for the next one. A thread of the
// thread pool connects and sends the query; links that wait for a response or for the next execution are
// registered with the event loop and hold no thread.
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

// Runs executions and probes on workers. The core::Executor functions are called by the decision loop and do
// not block; outcomes are posted to the Inbox.
class ServerLinks : public core::Executor {
 public:
  // Bounds on links; times in ms.
  struct Limits {
    std::size_t max_links = 300;      // open links at once, idle ones included
    double connect_timeout_ms = 250;  // timeout of a connect
    double idle_timeout_ms =
        30'000;  // an idle link is closed after this time, well before the worker would close it
    double last_byte_delay_ms = 1;  // base delay before the last byte of a query is sent, see send_query()
  };

  // All references must outlive this object. `endpoint_list` resolves worker names to addresses.
  ServerLinks(Limits limits, core::Clock& clock, core::Inbox& inbox, const EndpointListClient& endpoint_list,
              BufferPool& buffer_pool, park::EventLoop& event_loop, park::ThreadPool& thread_pool);
  // Shuts all links down and waits for the threads that use them. No outcome is posted afterwards.
  ~ServerLinks() override;
  ServerLinks(const ServerLinks&) = delete;
  ServerLinks& operator=(const ServerLinks&) = delete;

  // Starts an execution on an idle or new link to its worker. Its outcome is posted as core::ExecutionEnded.
  void start(core::Execution execution) override;
  // Shuts down the link that carries this execution, in any phase.
  void cancel(const core::ExecutionKey& key) override;
  // Stops an execution whose last byte has not been committed; otherwise it has no effect.
  void withdraw(const core::ExecutionKey& key) override;
  // Requests the worker's load report (GET /stats). The outcome is posted as core::ProbeEnded.
  void probe(const std::string& worker) override;
  // Prevents or allows new executions on this worker, including those that are connecting now.
  void set_excluded(const std::string& worker, bool excluded) override;
  // Changes the maximum number of open links; closes idle links above it.
  void set_max_links(std::size_t max_links);

 private:
  // An execution or probe together with the endpoint that it was resolved to.
  struct Task {
    core::Execution execution;
    bool is_probe = false;
    EndpointListClient::ResolvedEndpoint endpoint;
  };
  // How a task ended.
  struct Outcome {
    woadtide::Status status = woadtide::Status::error;
    std::string result = {};
    bool bad_query = false;
    bool worker_failed = false;    // the worker reported that the execution failed
    std::string load_report = {};  // the worker's load report, `name=value,name=value`
  };
  // idle: available for the next execution. sending: a pool thread owns the link and the last byte has not
  // been sent. committed: that thread is sending the last byte; the execution may run from here on, even if
  // its client has gone. awaiting_response: everything received so far has been read. discarding_tail: the
  // outcome has been delivered, the rest of the response body is still to come. closed: destroyed when the
  // last reference goes.
  // Transitions: idle -> sending -> committed -> awaiting_response -> discarding_tail -> idle; each phase
  // also -> closed; sending and awaiting_response also -> idle.
  enum class Phase { idle, sending, committed, awaiting_response, discarding_tail, closed };
  // One connection to a worker.
  struct Link : park::EventHandler, std::enable_shared_from_this<Link> {
    explicit Link(ServerLinks& server_links) : owner(server_links) {}
    void on_ready(park::ReadinessEvents events) override { owner.handle_readiness(*this, events); }
    void on_timeout() override { owner.handle_timeout(*this); }

    ServerLinks& owner;
    std::string worker, dial;
    Socket socket;  // used by the owner of the current phase; replaced and shut down under the mutex
    // Guarded by the mutex:
    Phase phase = Phase::sending;
    bool cancelled = false;
    bool withdrawn = false;          // cancelled before it was committed, because its client has gone
    bool unprocessed_event = false;  // an event arrived during `sending` or `committed`
    double idle_since = 0;
    core::ExecutionKey key;  // of the current task
    std::list<std::shared_ptr<Link>>::iterator position;
    park::EventLoop::Token token = park::EventLoop::kNoToken;
    // Used by the owner of the current phase:
    Task task;
    double last_byte_delay_ms = 0;    // a broken link shows an error this long after a query's first bytes
    double advertised_budget_ms = 0;  // the X-Budget value sent to the worker
    double response_deadline = 0;     // the response must progress before this time
    std::optional<BufferedInput> intake;
    std::optional<LineReader> body_lines;  // of the response body
    bool closes_after_response = false;    // the link cannot be reused after this response
  };

  static Outcome outcome_for_status(const MessageHead& head);
  void start_task(core::Execution execution, bool is_probe);
  std::shared_ptr<Link> acquire_link(const Task& task);
  Link* take_idle_link(const Task& task);
  bool evict_idle_links(std::size_t max_links);
  // Called with the mutex held.
  void remove_from_idle(Link& link);
  void close_link(Link& link);
  void release_link(Link& link, bool reusable);

  // Called on pool threads.
  void run_task(Link& link);
  std::optional<Outcome> connect_and_send(Link& link);
  std::optional<Outcome> connect(Link& link);
  ConnectError try_connect(Link& link, double deadline);
  std::optional<Outcome> send_query(Link& link, bool reused);
  std::optional<Outcome> commit(Link& link);

  // Called on the event loop thread.
  void handle_readiness(Link& link, park::ReadinessEvents events);
  void handle_timeout(Link& link);
  bool process_available_input(Link& link);
  bool discard_rest_of_body(Link& link);
  void finish(Link& link, Outcome outcome);
  std::optional<Outcome> read_response(Link& link);
  std::optional<Outcome> read_events(Link& link);

  Outcome link_failure(Link& link, woadtide::Status default_status);
  void deliver(const Task& task, Outcome outcome);
  static Outcome outcome_after_cancel(const Link& link, woadtide::Status default_status);
  bool is_excluded(const std::string& worker);
  bool is_cancelled(const Link& link);
  void log_local_failure(const char* message);

  Limits limits_;  // `max_links` is guarded by the mutex
  core::Clock& clock_;
  core::Inbox& inbox_;
  const EndpointListClient& endpoint_list_;
  BufferPool& buffer_pool_;
  park::EventLoop& event_loop_;
  park::ThreadPool& thread_pool_;
  std::mutex mutex_;
  std::condition_variable sending_done_;
  std::list<std::shared_ptr<Link>> links_;
  std::map<std::string, std::vector<Link*>> idle_;  // by worker, newest last; no entry is empty
  std::size_t sending_count_ = 0;                   // tasks that hold a pool thread
  std::set<std::string> excluded_workers_;          // excluded by an operator
  core::LogRateLimit busy_log_, local_failure_log_;
};

}  // namespace woadtide::net
