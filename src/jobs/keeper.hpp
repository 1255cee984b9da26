// Durable job service: one thread that owns the lease table and the store. It submits jobs to the decision
// loop as any frontend does, and sits between the loop and the server links: an execution of a job is started
// only once its lease is on disk. It must not depend on HTTP or sockets. Nothing becomes visible outside
// before the commit that it depends on has been synced; all messages that arrive during one sync share the
// next commit.
//
// Times in the store are the service's own: those of the Clock, moved forward when the store holds a newer
// timestamp, so that a clock set back between two starts gives no job more time than it had.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/inbox.hpp"
#include "core/query.hpp"
#include "lease/lease.hpp"
#include "store/store.hpp"

namespace woadtide::jobs {

// Limits and times of the durable job service.
struct Settings {
  store::Options store;
  lease::Settings lease;
  double retention_ms = 7 * 86'400'000.0;  // finished jobs are deleted after this time
  // A job's deadline lies this long before its client gives up, which leaves time to ask a new process.
  double deadline_margin_ms = 250;
  std::size_t max_open_jobs = 10'000;           // jobs that have no final state
  std::size_t max_messages_per_commit = 4'096;  // maximum number of messages that share one commit
  std::set<std::string> answering_kinds;        // kinds of workers that answer inquiries about jobs; "*": all
};

// A job as its client submits it.
struct JobRequest {
  std::string key;
  core::Query query;  // class, slots, cost and deadline (Clock time); without id and payload
  std::string target, header_fields, body;
};

// The state of a job or the outcome of a call, as reported to the client. `status` is an HTTP status.
struct Reply {
  int status = 503;        // 200 result, 202 open, 4xx, 502 failed or in doubt, 503 refused
  std::string state = {};  // lease::state_name() of the state; empty if there is no job
  std::string body = {};
  double retry_after_ms = 0;
};

// A worker's reply to an inquiry about a job.
struct InquiryReply {
  std::string key;
  std::uint64_t epoch = 0;
  lease::InquiryAnswer answer = lease::InquiryAnswer::unreachable;
  std::string ledger, result, worker;
};
// Sends inquiries to workers. Each one is eventually answered through
// DurableJobService::handle_inquiry_reply(). Must not block.
class WorkerInquirer {
 public:
  virtual ~WorkerInquirer() = default;
  // An empty key asks for the id of the worker's ledger only.
  virtual void inquire(const std::string& worker, const std::string& key, std::uint64_t epoch) = 0;
  // The kind of the worker as discovery reports it; empty if the worker is unknown.
  virtual std::string worker_kind(const std::string& worker) const = 0;
};

// Takes jobs from frontends, commits their states to the store, and has the decision loop run them.
class DurableJobService : public core::Executor, public core::ExecutionObserver {
 public:
  // `classes` and `class_names` are those of the decision loop. `next_executor` runs the executions.
  DurableJobService(Settings settings, const woadtide::Settings& classes,
                    std::vector<std::string> class_names, core::Clock& clock, core::Inbox& inbox,
                    core::Executor& next_executor, WorkerInquirer& inquirer);
  ~DurableJobService() override;
  DurableJobService(const DurableJobService&) = delete;
  DurableJobService& operator=(const DurableJobService&) = delete;

  // The thread's function: opens the store as soon as no other process holds it, and serves until stop().
  void run();
  // Makes run() commit the messages received so far, close the store and return.
  void stop();
  // Whether the store is open.
  bool is_serving() const { return serving_; }
  // Whether new jobs are accepted.
  bool accepts_jobs() const { return serving_ && accepting_; }
  // While false, new jobs are refused; accepted ones go on and their clients get their results.
  void set_accepting_jobs(bool accepting) { accepting_ = accepting; }
  // The number of executions that workers have.
  std::size_t active_executions() const { return active_count_; }

  // For frontends. Each call blocks until its reply is known and may be sent, i.e. its commit is synced.

  // Submits a job. A second submission under the same key with the same content is the same job.
  Reply submit(JobRequest request);
  // The result or state of a job; waits up to `wait_ms` for its final state.
  Reply get(const std::string& key, double wait_ms);
  // Withdraws a job that has not started.
  Reply withdraw_job(const std::string& key);
  // One JSON object a line for each job in `state`; an empty `state` lists those that are open or in doubt.
  Reply list_jobs(const std::string& state);
  // The stored record of a job as JSON.
  Reply get_record(const std::string& key);
  // Records an operator's decision on a job in doubt: who decided, and the reason.
  Reply settle(const std::string& key, bool as_finished, const std::string& who, const std::string& reason);

  // Called from any thread with a worker's reply to an inquiry.
  void handle_inquiry_reply(InquiryReply reply);

  void start(core::Execution execution) override;
  void cancel(const core::ExecutionKey& key) override;
  // The execution of a job ends by its lease, even when its client has disconnected.
  void withdraw(const core::ExecutionKey& key) override {
    if (!is_job(key)) next_executor_.withdraw(key);
  }
  void probe(const std::string& worker) override { next_executor_.probe(worker); }
  void set_excluded(const std::string& worker, bool excluded) override {
    next_executor_.set_excluded(worker, excluded);
  }
  void on_activity(const core::ExecutionKey& key) override;
  void on_ended(const core::ExecutionKey& key, woadtide::Status status, const std::string& result,
                bool reported_by_worker) override;

 private:
  class JobReplyCallback;
  struct Call {
    enum class Kind { submit, get, withdraw, list, get_record, settle } kind = Kind::get;
    std::string key = {};
    JobRequest request = {};
    double wait_until = 0;
    std::string state = {};  // list only
    bool as_finished = false;
    std::string who = {}, reason = {};
    std::promise<Reply> reply = {};
  };
  struct StartRequested {
    core::Execution execution;
    bool handled = false;  // the job's `pending_start` holds the execution
  };
  struct CancelRequested {
    core::ExecutionKey key;
  };
  struct ActivityReported {
    core::ExecutionKey key;
  };
  struct EndReported {
    core::ExecutionKey key;
    woadtide::Status status;
    std::string result;
    bool reported_by_worker;
  };
  struct QueryAnswered {
    std::string query_id;
    core::Answer answer;
  };
  using Message = std::variant<Call, StartRequested, CancelRequested, ActivityReported, EndReported,
                               QueryAnswered, InquiryReply>;

  // What is known of a job apart from its lease.
  struct JobAttributes {
    std::string class_name, digest, target, header_fields;
    double slots = 1;
    std::optional<double> cost_ms;
    double retry_after_ms = 0;
  };
  struct JobContent;  // what is sent to workers
  // A job without a final state, or whose final state is not reported yet.
  struct OpenJob {
    JobAttributes attributes;
    std::shared_ptr<const JobContent> content;  // a recovered job loads it only when it is submitted
    std::string query_id;                       // in the decision loop now; empty: none
    std::shared_ptr<JobReplyCallback> reply_callback;
    std::optional<core::Execution> pending_start;        // until its lease is written
    std::optional<core::ExecutionKey> active_execution;  // under the newest lease
    std::uint64_t active_epoch = 0;
    std::optional<std::string> result;  // to be written
    bool body_written = false, acknowledged = false;
    bool uses_backlog = false;                  // is submitted to the loop by way of the backlog
    std::list<std::promise<Reply>> submitters;  // PUTs that wait for their reply
  };
  // A GET that waits for the final state of a job.
  struct Waiter {
    std::string key;
    double wait_until;
    std::promise<Reply> reply;
  };

  bool is_job(const core::ExecutionKey& key) const {
    return key.query.find(query_id_nonce_) != std::string::npos;
  }
  Reply call_and_wait(Call call);
  void enqueue_message(Message message);
  std::deque<Message> take_messages(double wait_ms);

  bool is_stopping() const;
  void reject_calls_for(double duration_ms);
  void open_store();
  void recover();
  void serve();
  void close_store();
  void process_messages();
  void requeue_messages(std::deque<Message> messages);
  void handle(Call& call);
  void handle(StartRequested& message);
  void handle(CancelRequested& message);
  void handle(ActivityReported& message);
  void handle(EndReported& message);
  void handle(QueryAnswered& message);
  void handle(InquiryReply& message);
  void handle_submit(Call& call);
  void apply_event(const lease::Event& event);
  void commit(bool force);
  void perform_effect(const lease::Effect& effect);
  void perform(const lease::Dispatch& effect);
  void perform(const lease::StartExecution& effect);
  void perform(const lease::CancelStart& effect);
  void perform(const lease::RetractFromModule& effect);
  void perform(const lease::WriteRecord&) {}
  void perform(const lease::AskWorker& effect);
  void perform(const lease::NotifyClients& effect);
  void submit_to_loop(const std::string& key);
  void submit_from_backlog();
  void cancel_pending_start(OpenJob& open_job);
  void retract_from_loop(OpenJob& open_job);
  void answer_waiters(const std::string& key, const Reply& reply);
  void time_out_waiters();
  void compact_store();
  void log_stats();

  store::Record make_record(const std::string& key);
  std::string serialize_meta(const lease::Job& job, const JobAttributes& attributes) const;
  static std::pair<lease::Job, JobAttributes> parse_meta(const store::Record& record);
  Reply make_reply(const lease::Job& job, const JobAttributes& attributes,
                   const std::optional<std::string>& result);
  Reply make_stored_reply(const store::Record& record);
  std::optional<lease::RepeatPolicy> find_repeat_policy(const std::string& class_name) const;
  bool answers_inquiries(const std::string& worker) const;
  OpenJob* find_open_job(const core::ExecutionKey& key);
  double store_time() const { return clock_.now() + store_time_offset_ms_; }

  Settings settings_;
  std::map<std::string, lease::RepeatPolicy> repeat_policies_;  // by class
  core::Clock& clock_;
  core::Inbox& inbox_;
  core::Executor& next_executor_;
  WorkerInquirer& inquirer_;
  const std::string query_id_nonce_;  // distinguishes the ids of job queries from all others

  mutable std::mutex mutex_;
  std::condition_variable message_arrived_;
  std::deque<Message> messages_;
  bool stopping_ = false;
  std::atomic<bool> serving_{false}, accepting_{true};
  std::atomic<std::size_t> active_count_{0};

  // Used by the service's thread only:
  std::optional<store::Store> store_;
  lease::LeaseTable lease_table_;
  std::map<std::string, OpenJob> open_jobs_;  // by key
  std::map<std::string, std::string> key_by_query_id_;
  std::map<std::string, std::string> ledger_by_worker_;  // as each worker last reported it
  std::deque<Message> unhandled_messages_;               // taken, but not handled yet
  // Handled, but not committed yet: reports about executions must survive a store failure.
  std::deque<Message> uncommitted_messages_;
  std::vector<lease::Effect> effects_;
  std::set<std::string> unwritten_keys_;
  bool commit_due_ = false;
  std::vector<std::pair<std::promise<Reply>, Reply>> replies_;  // to be sent after the commit
  std::list<Waiter> waiters_;
  std::multimap<double, std::string> backlog_;  // jobs that wait to be submitted to the loop, by time
  std::size_t backlog_jobs_in_loop_ = 0;
  std::uint64_t query_counter_ = 0;
  double store_time_offset_ms_ = 0;  // store time minus clock time
  double next_compaction_ms_ = 0, next_stats_log_ms_ = 0, lazy_write_since_ms_ = 0;
  std::uint64_t store_bytes_used_ = 0;
  struct Counts {
    std::uint64_t taken = 0, refused = 0, finished = 0, failed = 0, in_doubt = 0, commits = 0, records = 0;
  } counts_;
};

}  // namespace woadtide::jobs
