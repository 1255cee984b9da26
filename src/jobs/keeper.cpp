#include "jobs/keeper.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "core/log.hpp"

namespace woadtide::jobs {

using lease::Job;
using lease::State;
using nlohmann::json;
using woadtide::Status;

namespace {

constexpr double kLockRetryMs = 100;    // between attempts to open a store that another process holds
constexpr double kReopenRetryMs = 250;  // between attempts to open a store that failed; also Retry-After
constexpr double kMaxLazyWriteDelayMs = 100;  // a record that nobody waits for is written within this time
constexpr double kCompactionIntervalMs = 1'000;
constexpr std::size_t kMaxRecordsPerCompaction = 500;
constexpr double kStatsLogIntervalMs = 10'000;
// A client must have its answer before it gives up: the margin is a tenth of its time, and at most
// Settings::deadline_margin_ms.
constexpr double kMaxDeadlineMarginShare = 0.1;
// Recovered jobs in the loop at once: the concurrency limits have to be learned again after a start.
constexpr std::size_t kMaxBacklogJobsInLoop = 16;
// A job that was recovered or acknowledged with a 202 and is then refused is submitted again after this time,
// or later if the module says so.
constexpr double kMinResubmitDelayMs = 200;
constexpr std::size_t kMaxListedJobs = 1'000;
// Space reserved for a job's record, and for the largest result including the overhead of its pages.
constexpr std::uint64_t kReservedRecordBytes = 2'000, kReservedResultBytes = 72'000;

std::string make_query_id_nonce() {
  std::random_device device;
  char text[24];
  std::snprintf(text, sizeof text, "~%08x%08x.", device(), device());
  return text;
}

// Two submissions under one key are the same job if their digests are equal.
std::string digest_of(const JobRequest& request) {
  const std::string identity = request.query.class_name + '\n' + request.target + '\n' + request.body;
  const XXH128_hash_t hash = XXH3_128bits(identity.data(), identity.size());
  char text[40];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

}  // namespace

// What is sent to a worker, apart from the header fields of the lease.
struct DurableJobService::JobContent {
  std::string target, header_fields, body;
};

// Passes the answer of the decision loop to one query of a job on to the service.
class DurableJobService::JobReplyCallback : public core::ReplyCallback {
 public:
  JobReplyCallback(DurableJobService& service, std::string query_id)
      : service_(service), query_id_(std::move(query_id)) {}
  void on_answer(core::Answer answer) override {
    service_.enqueue_message(QueryAnswered{query_id_, std::move(answer)});
  }

 private:
  DurableJobService& service_;
  const std::string query_id_;
};

DurableJobService::DurableJobService(Settings settings, const woadtide::Settings& classes,
                                     std::vector<std::string> class_names, core::Clock& clock,
                                     core::Inbox& inbox, core::Executor& next_executor,
                                     WorkerInquirer& inquirer)
    : settings_(std::move(settings)),
      clock_(clock),
      inbox_(inbox),
      next_executor_(next_executor),
      inquirer_(inquirer),
      query_id_nonce_(make_query_id_nonce()),
      lease_table_(settings_.lease) {
  for (std::size_t i = 0; i < class_names.size() && i < classes.classes.size(); ++i)
    repeat_policies_[class_names[i]] = classes.classes[i].effect == woadtide::Effect::safe
                                           ? lease::RepeatPolicy::idempotent
                                           : lease::RepeatPolicy::at_most_once;
}

DurableJobService::~DurableJobService() = default;

// --- Called from other threads ---

void DurableJobService::enqueue_message(Message message) {
  const std::lock_guard lock(mutex_);
  messages_.push_back(std::move(message));
  message_arrived_.notify_one();
}

std::deque<DurableJobService::Message> DurableJobService::take_messages(double wait_ms) {
  std::unique_lock lock(mutex_);
  message_arrived_.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms),
                            [this] { return !messages_.empty() || stopping_; });
  return std::exchange(messages_, {});
}

void DurableJobService::stop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  message_arrived_.notify_one();
}

Reply DurableJobService::call_and_wait(Call call) {
  std::future<Reply> reply = call.reply.get_future();
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) return {503, {}, "this process is ending\n", 1'000};
    messages_.push_back(std::move(call));
    message_arrived_.notify_one();
  }
  try {
    return reply.get();
  } catch (const std::future_error&) {  // the service ended before it could answer
    return {503, {}, "this process is ending\n", 1'000};
  }
}

Reply DurableJobService::submit(JobRequest request) {
  Call call;
  call.kind = Call::Kind::submit;
  call.key = request.key;
  call.request = std::move(request);
  return call_and_wait(std::move(call));
}

Reply DurableJobService::get(const std::string& key, double wait_ms) {
  Call call;
  call.key = key;
  call.wait_until = wait_ms > 0 ? clock_.now() + wait_ms : 0;
  return call_and_wait(std::move(call));
}

Reply DurableJobService::withdraw_job(const std::string& key) {
  return call_and_wait({.kind = Call::Kind::withdraw, .key = key});
}
Reply DurableJobService::list_jobs(const std::string& state) {
  return call_and_wait({.kind = Call::Kind::list, .state = state});
}
Reply DurableJobService::get_record(const std::string& key) {
  return call_and_wait({.kind = Call::Kind::get_record, .key = key});
}

Reply DurableJobService::settle(const std::string& key, bool as_finished, const std::string& who,
                                const std::string& reason) {
  Call call;
  call.kind = Call::Kind::settle;
  call.key = key;
  call.as_finished = as_finished;
  call.who = who;
  call.reason = reason;
  return call_and_wait(std::move(call));
}

void DurableJobService::handle_inquiry_reply(InquiryReply reply) { enqueue_message(std::move(reply)); }

// Executions that belong to no job are passed on directly.
void DurableJobService::start(core::Execution execution) {
  if (!is_job(execution.key)) return next_executor_.start(std::move(execution));
  enqueue_message(StartRequested{std::move(execution)});
}

void DurableJobService::cancel(const core::ExecutionKey& key) {
  if (!is_job(key)) return next_executor_.cancel(key);
  enqueue_message(CancelRequested{key});  // queued, so that it stays behind its start
}

void DurableJobService::on_activity(const core::ExecutionKey& key) {
  if (is_job(key)) enqueue_message(ActivityReported{key});
}

void DurableJobService::on_ended(const core::ExecutionKey& key, Status status, const std::string& result,
                                 bool reported_by_worker) {
  if (is_job(key)) enqueue_message(EndReported{key, status, result, reported_by_worker});
}

// --- The service's thread ---

void DurableJobService::run() {
  std::string last_logged;
  const auto log_if_new = [&last_logged](const std::string& text) {
    if (last_logged != text) core::log_line("jobs: " + text);
    last_logged = text;
  };
  while (!is_stopping()) {
    double retry_delay_ms = kReopenRetryMs;
    try {
      open_store();
      last_logged.clear();
      recover();
      serve();
      retry_delay_ms = 0;
    } catch (const store::StoreError& error) {
      log_if_new(std::string(error.what()) +
                 (error.kind == store::ErrorKind::locked ? "; waiting for it" : "; no jobs now"));
      if (error.kind == store::ErrorKind::locked) retry_delay_ms = kLockRetryMs;
    } catch (const std::exception& error) {
      log_if_new(std::string("internal error: ") + error.what());
    }
    close_store();
    reject_calls_for(retry_delay_ms);
  }
  reject_calls_for(0);
}

// Clients must not wait for a store that may not come back. Reports from workers are kept for later.
void DurableJobService::reject_calls_for(double duration_ms) {
  std::deque<Message> deferred;
  const double until = clock_.now() + duration_ms;
  do {
    for (Message& message : take_messages(std::clamp(until - clock_.now(), 0.0, 20.0))) {
      if (auto* call = std::get_if<Call>(&message))
        call->reply.set_value({503, {}, "jobs are not served now\n", kReopenRetryMs});
      else if (auto* start = std::get_if<StartRequested>(&message))
        inbox_.push(core::ExecutionEnded{start->execution.key, Status::not_started, {}, false, false});
      else
        deferred.push_back(std::move(message));
    }
  } while (clock_.now() < until && !is_stopping());
  requeue_messages(std::move(deferred));
}

void DurableJobService::requeue_messages(std::deque<Message> messages) {
  const std::lock_guard lock(mutex_);
  messages_.insert(messages_.begin(), std::make_move_iterator(messages.begin()),
                   std::make_move_iterator(messages.end()));
}

bool DurableJobService::is_stopping() const {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

void DurableJobService::open_store() {
  store_.emplace(settings_.store);
  store_time_offset_ms_ = std::max(0.0, store_->newest_change() - clock_.now());
  if (store_time_offset_ms_ > 1'000)
    core::log_line("jobs: the clock is " +
                   std::to_string(static_cast<long long>(store_time_offset_ms_ / 1'000)) +
                   " s behind the store's newest stamp; deadlines move along");
  store_bytes_used_ = store_->bytes_used();
}

// Passes every open job to the lease table, by the recovery table of docs/design/durable-jobs.md. Executions
// that this process itself started under the newest lease go on: the store failed, they did not.
void DurableJobService::recover() {
  std::size_t count = 0;
  std::map<std::string, OpenJob> previous = std::exchange(open_jobs_, {});
  store_->for_each(store::RecordState::open, [&](const store::Record& record) {
    auto [job, attributes] = parse_meta(record);
    OpenJob& open_job = open_jobs_[job.key];
    open_job.attributes = std::move(attributes);
    open_job.body_written = open_job.acknowledged = open_job.uses_backlog = true;
    count += 1;
    const auto known = previous.find(job.key);
    if (known != previous.end() && known->second.active_execution &&
        known->second.active_epoch == job.epoch) {
      open_job.content = known->second.content;
      open_job.query_id = known->second.query_id;
      open_job.reply_callback = known->second.reply_callback;
      open_job.active_execution = known->second.active_execution;
      open_job.active_epoch = job.epoch;
      previous.erase(known);
      apply_event(lease::Resumed{job});
    } else {
      apply_event(lease::Recovered{job});
    }
    return true;
  });
  for (auto& [key, open_job] : previous) {
    retract_from_loop(open_job);
    if (!open_job.active_execution) continue;
    next_executor_.cancel(*open_job.active_execution);
    active_count_ -= 1;
  }
  std::erase_if(key_by_query_id_, [this](const auto& item) {
    const auto open_job = open_jobs_.find(item.second);
    return open_job == open_jobs_.end() || open_job->second.query_id != item.first;
  });
  commit(true);
  if (count > 0) core::log_line("jobs: " + std::to_string(count) + " open ones found in the store");
}

void DurableJobService::serve() {
  serving_ = true;
  core::log_line("jobs: served");
  for (;;) {
    double wait_ms = kMaxLazyWriteDelayMs;
    if (const auto due = lease_table_.next_due()) wait_ms = std::clamp(*due - store_time(), 0.0, wait_ms);
    if (!backlog_.empty()) wait_ms = std::clamp(backlog_.begin()->first - store_time(), 0.0, wait_ms);
    unhandled_messages_ = take_messages(wait_ms);
    do {
      process_messages();
    } while (!unhandled_messages_.empty());
    const std::lock_guard lock(mutex_);
    if (stopping_ && messages_.empty()) break;
  }
  commit(true);
  core::log_line("jobs: the store is closed, " + std::to_string(lease_table_.size()) + " jobs open");
}

// Closes the store and drops all state, which is read again from the store. What was not committed has been
// reported to nobody.
void DurableJobService::close_store() {
  serving_ = false;
  store_.reset();
  for (auto& [reply, unsent] : replies_)
    reply.set_value({503, {}, "the store failed, ask again\n", kReopenRetryMs});
  replies_.clear();
  for (Waiter& waiter : waiters_)
    waiter.reply.set_value({503, {}, "the store failed, ask again\n", kReopenRetryMs});
  waiters_.clear();
  // Reports from workers that were handled but not committed have to be handled again.
  std::deque<Message> requeued;
  for (Message& message : uncommitted_messages_) {
    if (const auto* ended = std::get_if<EndReported>(&message)) {
      if (OpenJob* open_job = find_open_job(ended->key);
          open_job && !open_job->active_execution && open_job->active_epoch > 0) {
        open_job->active_execution = ended->key;
        open_job->result.reset();
        active_count_ += 1;
      }
    }
    const auto* start = std::get_if<StartRequested>(&message);
    if (!std::holds_alternative<Call>(message) && !(start && start->handled))
      requeued.push_back(std::move(message));
  }
  uncommitted_messages_.clear();
  for (Message& message : unhandled_messages_) requeued.push_back(std::move(message));
  unhandled_messages_.clear();
  requeue_messages(std::move(requeued));
  for (auto& [key, open_job] : open_jobs_) {
    for (auto& submitter : open_job.submitters)
      submitter.set_value({503, {}, "the store failed, ask again\n", kReopenRetryMs});
    open_job.submitters.clear();
    cancel_pending_start(open_job);
    if (!open_job.active_execution) retract_from_loop(open_job);
  }
  lease_table_ = lease::LeaseTable(settings_.lease);
  effects_.clear();
  unwritten_keys_.clear();
  backlog_.clear();
  backlog_jobs_in_loop_ = 0;
  commit_due_ = false;
}

void DurableJobService::process_messages() {
  while (!unhandled_messages_.empty() && uncommitted_messages_.size() < settings_.max_messages_per_commit) {
    uncommitted_messages_.push_back(std::move(unhandled_messages_.front()));
    unhandled_messages_.pop_front();
    std::visit([this](auto& message) { handle(message); }, uncommitted_messages_.back());
  }
  if (const auto due = lease_table_.next_due(); due && *due <= store_time()) apply_event(lease::TimePassed{});
  time_out_waiters();
  const bool lazy_write_due =
      !unwritten_keys_.empty() && clock_.now() - lazy_write_since_ms_ >= kMaxLazyWriteDelayMs;
  commit(commit_due_ || lazy_write_due);
  uncommitted_messages_.clear();
  submit_from_backlog();
  compact_store();
  log_stats();
}

void DurableJobService::apply_event(const lease::Event& event) {
  const std::size_t first_new = effects_.size();
  lease_table_.handle(store_time(), event, effects_);
  for (std::size_t i = first_new; i < effects_.size(); ++i) {
    const auto* write = std::get_if<lease::WriteRecord>(&effects_[i]);
    if (!write) continue;
    if (unwritten_keys_.empty()) lazy_write_since_ms_ = clock_.now();
    unwritten_keys_.insert(write->key);
    commit_due_ = commit_due_ || !write->lazy;
  }
}

// Writes the records in one commit, then performs the effects and sends the replies that depend on them.
void DurableJobService::commit(bool force) {
  if (force || (!replies_.empty() && !unwritten_keys_.empty())) {
    std::vector<store::Record> records;
    for (const std::string& key : unwritten_keys_)
      if (lease_table_.find(key)) records.push_back(make_record(key));
    if (!records.empty()) {
      store_->append(records);
      store_bytes_used_ = store_->bytes_used();
      counts_.commits += 1;
      counts_.records += records.size();
      for (const store::Record& record : records)
        if (record.body) open_jobs_.at(record.key).body_written = true;
    }
    unwritten_keys_.clear();
    commit_due_ = false;
  }
  // Performing an effect may lead to further effects for the same commit, never to further records.
  const std::vector<lease::Effect> effects = std::exchange(effects_, {});
  for (const lease::Effect& effect : effects) perform_effect(effect);
  for (auto& [promise, reply] : replies_) promise.set_value(std::move(reply));
  replies_.clear();
}

// --- Calls of frontends ---

void DurableJobService::handle(Call& call) {
  const auto answer = [&](Reply reply) { replies_.emplace_back(std::move(call.reply), std::move(reply)); };
  const Job* job = lease_table_.find(call.key);
  switch (call.kind) {
    case Call::Kind::submit:
      return handle_submit(call);
    case Call::Kind::get: {
      // A state that was reported to nobody yet is not reported here either: such a job may still be refused
      // without a record.
      if (job && call.wait_until > clock_.now()) {
        waiters_.push_back({call.key, call.wait_until, std::move(call.reply)});
        return;
      }
      if (job && lease::is_final(job->state))
        return answer(make_reply(*job, open_jobs_.at(call.key).attributes, open_jobs_.at(call.key).result));
      if (job) return answer({202, lease::state_name(job->state), {}, 0});
      const auto stored = store_->find(call.key);
      return answer(stored ? make_stored_reply(*stored) : Reply{404, {}, "no such job\n", 0});
    }
    case Call::Kind::withdraw: {
      if (job && job->state == State::taken) {
        apply_event(lease::Withdrawn{call.key});
        return answer({200, "refused", "withdrawn\n", 0});
      }
      if (job || store_->find(call.key)) return answer({409, {}, "it has begun or is over\n", 0});
      return answer({404, {}, "no such job\n", 0});
    }
    case Call::Kind::list: {
      const auto wanted = lease::state_from_name(call.state);
      if (!call.state.empty() && !wanted) return answer({400, {}, "no such state\n", 0});
      std::string text;
      std::size_t count = 0;
      const auto append_line = [&](const Job& listed, const JobAttributes& attributes) {
        if (wanted && listed.state != *wanted) return true;
        text += serialize_meta(listed, attributes) + '\n';
        return ++count < kMaxListedJobs;
      };
      for (const auto& [key, open_job] : open_jobs_)
        if (const Job* listed = lease_table_.find(key); listed && !append_line(*listed, open_job.attributes))
          break;
      for (const auto standing : {store::RecordState::retained, store::RecordState::closed}) {
        if (standing == store::RecordState::closed && !wanted) break;
        if (count >= kMaxListedJobs) break;
        store_->for_each(standing, [&](const store::Record& record) {
          const auto [listed, attributes] = parse_meta(record);
          return append_line(listed, attributes);
        });
      }
      return answer({200, {}, std::move(text), 0});
    }
    case Call::Kind::get_record: {
      if (job) return answer({200, {}, serialize_meta(*job, open_jobs_.at(call.key).attributes) + '\n', 0});
      const auto stored = store_->find(call.key);
      return answer(stored ? Reply{200, {}, stored->meta + '\n', 0} : Reply{404, {}, "no such job\n", 0});
    }
    case Call::Kind::settle: {
      const auto stored = job ? std::nullopt : store_->find(call.key);
      if (!job && !stored) return answer({404, {}, "no such job\n", 0});
      if (stored) {
        auto [settled, attributes] = parse_meta(*stored);
        if (lease::settle(settled, store_time(), call.as_finished, call.who, call.reason)) {
          store_->append({{call.key,
                           serialize_meta(settled, attributes),
                           store::RecordState::closed,
                           settled.changed_at,
                           {},
                           {}}});
          core::log_line("jobs: " + call.key + " was " + settled.reason + "; now " +
                         lease::state_name(settled.state));
          return answer({200, lease::state_name(settled.state), "settled\n", 0});
        }
      }
      return answer({409, {}, "only a job in doubt can be settled\n", 0});
    }
  }
}

void DurableJobService::handle_submit(Call& call) {
  JobRequest& request = call.request;
  const auto answer = [&](Reply reply) { replies_.emplace_back(std::move(call.reply), std::move(reply)); };
  const std::string digest = digest_of(request);
  const auto repeat_policy = find_repeat_policy(request.query.class_name);
  if (!repeat_policy) return answer({400, {}, "unknown class\n", 0});
  if (const Job* job = lease_table_.find(call.key)) {
    OpenJob& open_job = open_jobs_.at(call.key);
    if (open_job.attributes.digest != digest) return answer({409, {}, "this key has another job\n", 0});
    if (lease::is_final(job->state)) return answer(make_reply(*job, open_job.attributes, open_job.result));
    if (open_job.acknowledged) return answer({202, lease::state_name(job->state), {}, 0});
    open_job.submitters.push_back(std::move(call.reply));
    return;
  }
  std::uint64_t epoch = 0;
  if (const auto stored = store_->find(call.key)) {
    const auto [job, attributes] = parse_meta(*stored);
    if (attributes.digest != digest) return answer({409, {}, "this key has another job\n", 0});
    if (job.state != State::refused) return answer(make_stored_reply(*stored));
    epoch = job.epoch;
  }
  const auto refuse = [&](const char* reason) {
    counts_.refused += 1;
    answer({503, "refused", reason, kReopenRetryMs});
  };
  if (!accepting_) return refuse("clients are sent away\n");
  if (lease_table_.size() >= settings_.max_open_jobs) return refuse("too many jobs are open\n");
  // Space for the results of all open jobs is reserved.
  const std::uint64_t reserved_bytes =
      (lease_table_.size() + 1) * (kReservedRecordBytes + kReservedResultBytes);
  if (store_bytes_used_ + request.body.size() + reserved_bytes > settings_.store.max_bytes)
    return refuse("the store is full\n");
  const double remaining_ms = request.query.deadline - clock_.now();
  const double deadline = store_time() + remaining_ms -
                          std::min(settings_.deadline_margin_ms, remaining_ms * kMaxDeadlineMarginShare);
  OpenJob& open_job = open_jobs_[call.key];
  open_job.attributes = {
      request.query.class_name, digest, request.target, request.header_fields, request.query.slots,
      request.query.cost_ms,    0};
  open_job.content = std::make_shared<JobContent>(
      JobContent{request.target, request.header_fields, std::move(request.body)});
  open_job.submitters.push_back(std::move(call.reply));
  apply_event(lease::Submitted{call.key, *repeat_policy, deadline, epoch});
}

// --- From the decision loop and the server links ---

DurableJobService::OpenJob* DurableJobService::find_open_job(const core::ExecutionKey& key) {
  const auto found = key_by_query_id_.find(key.query);
  if (found == key_by_query_id_.end()) return nullptr;
  const auto open_job = open_jobs_.find(found->second);
  return open_job != open_jobs_.end() && open_job->second.query_id == key.query ? &open_job->second : nullptr;
}

void DurableJobService::handle(StartRequested& message) {
  message.handled = true;
  OpenJob* open_job = find_open_job(message.execution.key);
  const auto report_not_started = [&] {
    inbox_.push(core::ExecutionEnded{message.execution.key, Status::not_started, {}, false, false});
  };
  if (!open_job) return report_not_started();
  cancel_pending_start(*open_job);
  const std::string worker = message.execution.worker;
  const bool can_answer = answers_inquiries(worker);
  const auto ledger = ledger_by_worker_.find(worker);
  if (can_answer && ledger == ledger_by_worker_.end()) inquirer_.inquire(worker, {}, 0);
  const std::string key = key_by_query_id_.at(message.execution.key.query);
  open_job->pending_start = std::move(message.execution);
  apply_event(
      lease::WorkerChosen{key, worker, ledger == ledger_by_worker_.end() ? "" : ledger->second, can_answer});
}

void DurableJobService::handle(CancelRequested& message) {
  OpenJob* open_job = find_open_job(message.key);
  if (open_job && open_job->pending_start && open_job->pending_start->key == message.key)
    cancel_pending_start(*open_job);
  else
    next_executor_.cancel(message.key);
}

void DurableJobService::handle(ActivityReported& message) {
  if (OpenJob* open_job = find_open_job(message.key); open_job && open_job->active_execution == message.key)
    apply_event(lease::HeartbeatReceived{key_by_query_id_.at(message.key.query), open_job->active_epoch});
}

void DurableJobService::handle(EndReported& message) {
  OpenJob* open_job = find_open_job(message.key);
  if (!open_job || open_job->active_execution != message.key) return;
  open_job->active_execution.reset();
  active_count_ -= 1;
  const lease::ExecutionOutcome outcome = message.status == Status::ok ? lease::ExecutionOutcome::done
                                          : woadtide::proves_not_run(message.status)
                                              ? lease::ExecutionOutcome::not_started
                                          : message.reported_by_worker ? lease::ExecutionOutcome::failed
                                                                       : lease::ExecutionOutcome::unknown;
  const std::string key = key_by_query_id_.at(message.key.query);
  if (outcome == lease::ExecutionOutcome::done) open_job->result = message.result;
  apply_event(lease::LeasedExecutionEnded{key, open_job->active_epoch, outcome});
}

void DurableJobService::handle(QueryAnswered& message) {
  const auto found = key_by_query_id_.find(message.query_id);
  if (found == key_by_query_id_.end()) return;
  const std::string key = found->second;
  const auto found_job = open_jobs_.find(key);
  if (found_job == open_jobs_.end() || found_job->second.query_id != message.query_id) return;
  OpenJob& open_job = found_job->second;
  open_job.reply_callback.reset();
  if (open_job.uses_backlog && backlog_jobs_in_loop_ > 0) backlog_jobs_in_loop_ -= 1;
  if (message.answer.kind == core::AnswerKind::served) return;
  const Job* job = lease_table_.find(key);
  const bool refused = message.answer.kind == core::AnswerKind::refused;
  open_job.attributes.retry_after_ms = message.answer.retry_after_ms;
  // After a 202 the service is responsible for the job: it is submitted again at the time that the module
  // gives, as long as the deadline allows. Meanwhile its client reads `taken`, and may withdraw it.
  const double resubmit_delay_ms = std::max(message.answer.retry_after_ms, kMinResubmitDelayMs);
  if (refused && open_job.acknowledged && job && job->state == State::taken &&
      store_time() + resubmit_delay_ms < job->deadline) {
    retract_from_loop(open_job);
    open_job.uses_backlog = true;
    backlog_.emplace(store_time() + resubmit_delay_ms, key);
    return;
  }
  apply_event(lease::AnsweredWithoutResult{key, refused});
}

void DurableJobService::handle(InquiryReply& message) {
  if (!message.ledger.empty()) ledger_by_worker_[message.worker] = message.ledger;
  if (message.key.empty()) return;
  const auto open_job = open_jobs_.find(message.key);
  if (open_job == open_jobs_.end()) return;
  const Job* job = lease_table_.find(message.key);
  if (job && job->epoch == message.epoch && message.answer == lease::InquiryAnswer::finished)
    open_job->second.result = message.result;
  apply_event(lease::InquiryAnswered{message.key, message.epoch, message.answer, message.ledger});
}

// --- Effects of the lease table ---

void DurableJobService::perform_effect(const lease::Effect& effect) {
  std::visit([this](const auto& item) { perform(item); }, effect);
}

void DurableJobService::perform(const lease::Dispatch& effect) {
  const auto open_job = open_jobs_.find(effect.key);
  if (open_job == open_jobs_.end()) return;
  if (!open_job->second.uses_backlog) return submit_to_loop(effect.key);
  backlog_.emplace(store_time(), effect.key);
}

void DurableJobService::submit_from_backlog() {
  while (!backlog_.empty() && backlog_.begin()->first <= store_time() &&
         backlog_jobs_in_loop_ < kMaxBacklogJobsInLoop) {
    const std::string key = backlog_.begin()->second;
    backlog_.erase(backlog_.begin());
    const Job* job = lease_table_.find(key);
    const auto open_job = open_jobs_.find(key);
    if (!job || open_job == open_jobs_.end() || job->state != State::taken) continue;
    backlog_jobs_in_loop_ += 1;
    submit_to_loop(key);
  }
}

void DurableJobService::submit_to_loop(const std::string& key) {
  OpenJob& open_job = open_jobs_.at(key);
  const Job* job = lease_table_.find(key);
  if (!job) return;
  retract_from_loop(open_job);
  if (!open_job.content)
    open_job.content = std::make_shared<JobContent>(JobContent{
        open_job.attributes.target, open_job.attributes.header_fields, store_->body(key).value_or("")});
  key_by_query_id_.erase(open_job.query_id);
  open_job.query_id = key + query_id_nonce_ + std::to_string(++query_counter_);
  open_job.reply_callback = std::make_shared<JobReplyCallback>(*this, open_job.query_id);
  key_by_query_id_[open_job.query_id] = key;
  core::Query query;
  query.id = open_job.query_id;
  query.class_name = open_job.attributes.class_name;
  query.slots = open_job.attributes.slots;
  query.cost_ms = open_job.attributes.cost_ms;
  query.deadline = job->deadline - store_time_offset_ms_;
  query.payload = {open_job.content,
                   "POST",
                   open_job.content->target,
                   open_job.content->header_fields,
                   {open_job.content->body}};
  inbox_.push(core::QueryReceived{std::move(query), open_job.reply_callback});
}

void DurableJobService::perform(const lease::StartExecution& effect) {
  const auto found = open_jobs_.find(effect.key);
  if (found == open_jobs_.end() || !found->second.pending_start) return;
  OpenJob& open_job = found->second;
  core::Execution execution = std::move(*open_job.pending_start);
  open_job.pending_start.reset();
  if (open_job.active_execution)
    next_executor_.cancel(*open_job.active_execution);  // of an idempotent job whose lease has just ended
  if (!open_job.active_execution) active_count_ += 1;
  open_job.active_execution = execution.key;
  open_job.active_epoch = effect.epoch;
  const auto lease_fields = std::make_shared<std::pair<std::shared_ptr<const void>, std::string>>();
  lease_fields->first = execution.payload.owner;
  lease_fields->second =
      std::string(execution.payload.header_fields) + "X-Call-Id: " + execution.key.query +
      "\r\nX-Job-Key: " + effect.key + "\r\nX-Job-Epoch: " + std::to_string(effect.epoch) +
      "\r\nX-Job-Lease: " + std::to_string(static_cast<long long>(settings_.lease.lease_ms)) + "m\r\n";
  execution.payload.header_fields = lease_fields->second;
  execution.payload.owner = lease_fields;
  next_executor_.start(std::move(execution));
  open_job.content.reset();  // it is on disk: the bodies of open jobs must not fill the memory
  if (!open_job.acknowledged) counts_.taken += 1;
  open_job.acknowledged = true;
  for (auto& submitter : open_job.submitters) submitter.set_value({202, "leased", {}, 0});
  open_job.submitters.clear();
}

void DurableJobService::perform(const lease::CancelStart& effect) {
  if (const auto open_job = open_jobs_.find(effect.key); open_job != open_jobs_.end())
    cancel_pending_start(open_job->second);
}

// Nothing was sent to the worker, and the module is notified that the execution did not start.
void DurableJobService::cancel_pending_start(OpenJob& open_job) {
  if (!open_job.pending_start) return;
  inbox_.push(core::ExecutionEnded{open_job.pending_start->key, Status::not_started, {}, false, false});
  open_job.pending_start.reset();
}

void DurableJobService::perform(const lease::RetractFromModule& effect) {
  if (const auto open_job = open_jobs_.find(effect.key); open_job != open_jobs_.end())
    retract_from_loop(open_job->second);
}

void DurableJobService::retract_from_loop(OpenJob& open_job) {
  cancel_pending_start(open_job);
  if (open_job.reply_callback)
    inbox_.push(core::ClientDisconnected{open_job.query_id, open_job.reply_callback});
  if (open_job.reply_callback && open_job.uses_backlog && backlog_jobs_in_loop_ > 0)
    backlog_jobs_in_loop_ -= 1;
  open_job.reply_callback.reset();
}

void DurableJobService::perform(const lease::AskWorker& effect) {
  inquirer_.inquire(effect.worker, effect.key, effect.epoch);
}

void DurableJobService::perform(const lease::NotifyClients& effect) {
  const Job* job = lease_table_.find(effect.key);
  const auto found = open_jobs_.find(effect.key);
  if (!job || found == open_jobs_.end()) return;
  OpenJob& open_job = found->second;
  retract_from_loop(open_job);
  if (open_job.active_execution) active_count_ -= 1;
  (job->state == State::finished   ? counts_.finished
   : job->state == State::refused  ? counts_.refused
   : job->state == State::in_doubt ? counts_.in_doubt
                                   : counts_.failed) += 1;
  if (job->state == State::in_doubt)
    core::log_line("jobs: " + effect.key + " is in doubt at " + job->worker + ": " + job->reason);
  const Reply reply = make_reply(*job, open_job.attributes, open_job.result);
  // A PUT still waits here if the job was refused before any client was told 202, or reached another final
  // state within the call.
  for (auto& submitter : open_job.submitters) submitter.set_value(reply);
  answer_waiters(effect.key, reply);
  key_by_query_id_.erase(open_job.query_id);
  open_jobs_.erase(found);
  lease_table_.forget(effect.key);
}

// --- Replies ---

Reply DurableJobService::make_reply(const Job& job, const JobAttributes& attributes,
                                    const std::optional<std::string>& result) {
  const std::string state = lease::state_name(job.state);
  switch (job.state) {
    case State::finished:
      return {200, state, result.value_or(""), 0};
    case State::failed:
    case State::in_doubt:
      return {502, state, job.reason + '\n', 0};
    case State::refused:
      return {503, state, job.reason + '\n', attributes.retry_after_ms};
    default:
      return {202, state, {}, 0};
  }
}

Reply DurableJobService::make_stored_reply(const store::Record& record) {
  const auto [job, attributes] = parse_meta(record);
  return make_reply(job, attributes,
                    job.state == State::finished ? store_->result(record.key) : std::nullopt);
}

void DurableJobService::answer_waiters(const std::string& key, const Reply& reply) {
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const auto next = std::next(waiter);
    if (waiter->key == key) {
      waiter->reply.set_value(reply);
      waiters_.erase(waiter);
    }
    waiter = next;
  }
}

void DurableJobService::time_out_waiters() {
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const auto next = std::next(waiter);
    if (waiter->wait_until <= clock_.now()) {
      const Job* job = lease_table_.find(waiter->key);
      replies_.emplace_back(std::move(waiter->reply),
                            Reply{202, job ? lease::state_name(job->state) : "", {}, 0});
      waiters_.erase(waiter);
    }
    waiter = next;
  }
}

// --- Records ---

store::Record DurableJobService::make_record(const std::string& key) {
  const Job& job = *lease_table_.find(key);
  const OpenJob& open_job = open_jobs_.at(key);
  store::Record record{
      key, serialize_meta(job, open_job.attributes), store::RecordState::open, job.changed_at, {}, {}};
  if (job.state == State::in_doubt)
    record.state = store::RecordState::retained;
  else if (lease::is_final(job.state))
    record.state = store::RecordState::closed;
  if (!open_job.body_written && open_job.content) record.body = open_job.content->body;
  if (job.state == State::finished) record.result = open_job.result.value_or("");
  return record;
}

std::string DurableJobService::serialize_meta(const Job& job, const JobAttributes& attributes) const {
  json object = {{"key", job.key},
                 {"state", lease::state_name(job.state)},
                 {"once", job.repeat == lease::RepeatPolicy::at_most_once},
                 {"class", attributes.class_name},
                 {"deadline", job.deadline},
                 {"epoch", job.epoch},
                 {"worker", job.worker},
                 {"ledger", job.ledger},
                 {"answers", job.answers_inquiries},
                 {"changed", job.changed_at},
                 {"why", job.reason},
                 {"digest", attributes.digest},
                 {"target", attributes.target},
                 {"fields", attributes.header_fields},
                 {"slots", attributes.slots},
                 {"retry", attributes.retry_after_ms}};
  if (attributes.cost_ms) object["cost"] = *attributes.cost_ms;
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::pair<Job, DurableJobService::JobAttributes> DurableJobService::parse_meta(const store::Record& record) {
  try {
    const json object = json::parse(record.meta);
    Job job;
    job.key = record.key;
    job.state = lease::state_from_name(object.at("state")).value();
    job.repeat =
        object.at("once").get<bool>() ? lease::RepeatPolicy::at_most_once : lease::RepeatPolicy::idempotent;
    job.deadline = object.at("deadline");
    job.epoch = object.at("epoch");
    job.worker = object.at("worker");
    job.ledger = object.at("ledger");
    job.answers_inquiries = object.at("answers");
    job.changed_at = object.at("changed");
    job.reason = object.at("why");
    JobAttributes attributes{object.at("class"),  object.at("digest"), object.at("target"),
                             object.at("fields"), object.at("slots"),  std::nullopt,
                             object.at("retry")};
    if (object.contains("cost")) attributes.cost_ms = object["cost"].get<double>();
    return {std::move(job), std::move(attributes)};
  } catch (const std::exception&) {
    throw store::StoreError(store::ErrorKind::damaged,
                            "store: damaged: the record of '" + record.key + "' cannot be read");
  }
}

std::optional<lease::RepeatPolicy> DurableJobService::find_repeat_policy(
    const std::string& class_name) const {
  const auto found = repeat_policies_.find(class_name);
  if (found == repeat_policies_.end()) return std::nullopt;
  return found->second;
}

bool DurableJobService::answers_inquiries(const std::string& worker) const {
  return settings_.answering_kinds.contains("*") ||
         settings_.answering_kinds.contains(inquirer_.worker_kind(worker));
}

// Deletes old jobs, a bounded number in each commit of its own.
void DurableJobService::compact_store() {
  if (clock_.now() < next_compaction_ms_) return;
  const auto compacted = store_->compact(store_time() - settings_.retention_ms, kMaxRecordsPerCompaction);
  store_bytes_used_ = store_->bytes_used();
  next_compaction_ms_ =
      clock_.now() +
      (compacted.deleted == kMaxRecordsPerCompaction ? kCompactionIntervalMs / 10 : kCompactionIntervalMs);
}

void DurableJobService::log_stats() {
  if (clock_.now() < next_stats_log_ms_) return;
  next_stats_log_ms_ = clock_.now() + kStatsLogIntervalMs;
  const Counts counts = std::exchange(counts_, {});
  if (counts.taken + counts.refused + counts.commits == 0) return;
  const auto text = [](const char* name, std::uint64_t value) { return name + std::to_string(value); };
  core::log_line("jobs: figures:" + text(" taken ", counts.taken) + text(" refused ", counts.refused) +
                 text(" finished ", counts.finished) + text(" failed ", counts.failed) +
                 text(" in-doubt ", counts.in_doubt) + text(" open ", lease_table_.size()) +
                 text(" commits ", counts.commits) + text(" records ", counts.records) +
                 text(" bytes ", store_bytes_used_));
}

}  // namespace woadtide::jobs
