// Test worker on a loopback socket that implements the worker protocol and records its executions in a
// ledger. With inquiries enabled it also follows docs/worker-leases.md: it answers GET /jobs/KEY, and refuses
// executions of a key with an epoch below the newest.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock.hpp"
#include "lab/acceptor.hpp"
#include "lab/ledger.hpp"
#include "net/buffer_pool.hpp"
#include "net/http.hpp"

namespace woadtide::lab {

// What the worker does with one execution.
struct ExecutionPlan {
  double duration_ms = 5;
  double heartbeat_interval_ms = 0;  // interval of the `running` lines; 0: none after `started`
  enum class Outcome { done, failed, cut, refuse } outcome = Outcome::done;
  std::string result = {};  // empty: "done KEY"
};
// An execution as the dispatcher requested it.
struct ExecutionRequest {
  std::string id, key, body, lease, host;
  std::uint64_t epoch = 0;
  bool at_most_once = false;
  double budget_ms = 0;  // how long the dispatcher will wait
};

// In-process worker; serves each link on its own thread.
class TestWorker {
 public:
  using Planner = std::function<ExecutionPlan(const ExecutionRequest&)>;
  // Port 0 selects a free port. Without the path of a ledger nothing is recorded and no inquiry is answered.
  TestWorker(int port, const std::string& ledger, bool answers_inquiries, Planner planner);
  ~TestWorker();

  int port() const { return acceptor_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  // Number of executions started.
  int execution_count() const { return executions_; }
  // Idle time after which a link is closed without an answer.
  void set_idle_timeout_ms(double idle_ms) { idle_ms_ = idle_ms; }

 private:
  struct JobRecord {
    std::uint64_t newest_epoch = 0;
    bool begun = false, in_this_process = false;  // in_this_process: started by this process
    std::string ended, result;
  };
  void serve(net::Socket& socket);
  bool answer_inquiry(net::Socket& socket, const std::string& key, std::uint64_t epoch);
  bool execute(net::Socket& socket, const ExecutionRequest& request);
  bool write(net::Socket& socket, const std::string& text);
  bool write_event(net::Socket& socket, const ExecutionRequest& request, const std::string& state,
                   const std::string& result = {});

  core::Clock clock_;
  net::BufferPool pool_{256};
  const bool answers_inquiries_;
  const Planner planner_;
  std::unique_ptr<Ledger> ledger_;
  std::mutex mutex_;
  std::map<std::string, JobRecord> jobs_;
  std::atomic<int> executions_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<double> idle_ms_{60'000};
  Acceptor acceptor_;  // declared last: its threads use the other members
};

}  // namespace woadtide::lab
