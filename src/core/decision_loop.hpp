// Event loop around the decision module (woadtide::Dispatcher). Owns the module, the open queries and the
// timers. A single thread runs it; all other threads reach it through the Inbox. It is independent of the
// wire protocol and makes no scheduling decision of its own.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/clock.hpp"
#include "core/figures.hpp"
#include "core/inbox.hpp"
#include "core/query.hpp"
#include "core/timer_queue.hpp"
#include "woadtide/balance.hpp"

namespace woadtide::core {

// Feeds messages and timers to the decision module as events and carries out the actions that it returns.
// Every query is answered exactly once, and the outcome of every execution reaches the module exactly once.
class DecisionLoop {
 public:
  // `class_names` are in the order of `settings.classes`; `seed` seeds the module's random numbers. The
  // references, and `observer` where it is given, must outlive the loop.
  DecisionLoop(woadtide::Settings settings, std::vector<std::string> class_names, std::uint64_t seed,
               Clock& clock, Inbox& inbox, Executor& executor, EndpointSource& endpoint_source,
               SiblingProcess& sibling, ExecutionObserver* observer = nullptr);

  // Handles all queued messages, then all due timers. Returns the time in ms until the next timer is due, at
  // most the interval of the log's counts. Logs exceptions instead of letting them out.
  double step();

  // Number of timers that are set: at most one for each open query and each pending execution, and two for
  // each timer of the module that a pending execution or the endpoint list needs.
  std::size_t timer_count() const { return timers_.size(); }

 private:
  struct ExecutionState {
    double sent_at = 0;
    bool pending = true;  // its ending has not been handled yet
  };
  struct OpenQuery {                                // a query that is unanswered, or has pending executions
    std::shared_ptr<ReplyCallback> reply_callback;  // empty once the query is settled
    Payload payload;
    std::size_t class_index = 0;
    double deadline = 0;
    double received_at = 0, target_time = 0;  // an answer after target_time counts as late
    std::vector<ExecutionState> executions;
    bool may_have_run = false;  // an execution ended in a way that does not prove that it never ran
  };
  struct TimerKey {
    std::string name;  // the module's timer token, or a query's id
    int attempt = kModuleTimer;
    auto operator<=>(const TimerKey&) const = default;
  };
  static constexpr int kModuleTimer = -2, kQueryDeadline = -1;  // special values of TimerKey::attempt
  struct IntervalCounts {                                       // since the last line of counts in the log
    std::array<int, 5> answers{};                               // by AnswerKind
    int queries = 0, executions = 0, failed_executions = 0, client_disconnects = 0;
  };
  struct ClassTotals {  // of one class, since the process started
    std::uint64_t forwards = 0;
    ClassStats stats;
  };
  using Queries = std::map<std::string, OpenQuery>;
  // The most recent ids of finished queries that may have run; a repeat of one is rejected.
  class ReplayCache {
   public:
    bool contains(const std::string& id) const { return ids_.contains(id); }
    void add(const std::string& id);
    const std::deque<std::string>& ids_oldest_first() const { return oldest_first_; }

   private:
    std::unordered_set<std::string> ids_;
    std::deque<std::string> oldest_first_;
  };

  void handle(QueryReceived& message);
  void handle(ClientDisconnected& message);
  void handle(ExecutionSent& message);
  void handle(ExecutionStarted& message);
  void handle(ExecutionProgress& message);
  void handle(ExecutionEnded& message);
  void handle(ProbeEnded& message);
  void handle(ListUpdateReceived& message);
  void handle(SiblingJoined& message);
  void handle(SiblingMessageReceived& message);
  void handle(AcceptingProcesses& message);
  void handle(OperatorCommand& message);
  void handle(FailOpenQueries& message);

  void carry_out(const woadtide::Send& action);
  void carry_out(const woadtide::Refuse& action);
  void carry_out(const woadtide::Fail& action);
  void carry_out(const woadtide::Cancel& action);
  void carry_out(const woadtide::Probe& action);
  void carry_out(const woadtide::Watch& action);
  void carry_out(const woadtide::SetTimer& action);
  void carry_out(const woadtide::CancelTimer& action);
  void carry_out(const woadtide::Log& action);

  void exclude(const std::string& worker, bool excluded);
  // Returns why the query must be rejected, or nullptr.
  const char* find_rejection_reason(const Query& query, bool class_known) const;
  void feed_module(const woadtide::Event& event);
  // Answers the client, unless that has been done or the client is gone.
  void settle(Queries::value_type& query, Answer answer);
  // Detaches the client from the query and withdraws its pending executions. Returns the client's callback,
  // or nullptr where it was detached before.
  std::shared_ptr<ReplyCallback> release_client(Queries::value_type& query);
  bool is_pending(const ExecutionKey& key) const;
  void finish_execution(const ExecutionKey& key, woadtide::Status status, const std::string& load_report);
  void time_out_execution(const ExecutionKey& key);
  void on_query_deadline(const std::string& id);
  void erase_if_finished(const std::string& id);
  void run_logging_exceptions(const std::function<void()>& task);
  void fire_due_timers();
  void log_interval_counts();
  std::string telemetry_reply() const;
  std::string stats_reply() const;

  std::vector<std::string> class_names_;
  std::vector<woadtide::ClassSettings> class_settings_;
  std::string report_x0_meaning_, report_x1_meaning_;
  woadtide::Dispatcher module_;
  Clock& clock_;
  Inbox& inbox_;
  Executor& executor_;
  EndpointSource& endpoint_source_;
  SiblingProcess& sibling_;
  ExecutionObserver* const observer_;  // may be null
  Queries open_queries_;
  ReplayCache replay_cache_;
  TimerQueue<TimerKey> timers_;
  std::set<std::string> excluded_workers_;  // by an operator; a new sibling process is told of them
  IntervalCounts interval_counts_;
  std::vector<ClassTotals> class_totals_;  // by class index
  double interval_start_;
};

}  // namespace woadtide::core
