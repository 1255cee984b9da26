#include "core/decision_loop.hpp"

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

#include "core/load_report.hpp"
#include "core/log.hpp"

namespace woadtide::core {

using woadtide::Status;

namespace {
constexpr double kCountsIntervalMs = 10'000;  // between two lines of counts in the log
// Workers that are excluded by operators, listed or not: more than any list has.
constexpr std::size_t kMaxExcludedWorkers = 10'000;
}  // namespace

DecisionLoop::DecisionLoop(woadtide::Settings settings, std::vector<std::string> class_names,
                           std::uint64_t seed, Clock& clock, Inbox& inbox, Executor& executor,
                           EndpointSource& endpoint_source, SiblingProcess& sibling,
                           ExecutionObserver* observer)
    : class_names_(std::move(class_names)),
      class_settings_(settings.classes),
      report_x0_meaning_(settings.report_x0),
      report_x1_meaning_(settings.report_x1),
      module_(std::move(settings), seed),
      clock_(clock),
      inbox_(inbox),
      executor_(executor),
      endpoint_source_(endpoint_source),
      sibling_(sibling),
      observer_(observer),
      class_totals_(class_names_.size()),
      interval_start_(clock.now()) {}

double DecisionLoop::step() {
  // Messages go before timers: a result that has arrived wins over a deadline that has passed meanwhile.
  for (Message& message : inbox_.take_all())
    run_logging_exceptions([&] { std::visit([this](auto& received) { handle(received); }, message); });
  run_logging_exceptions([this] { fire_due_timers(); });
  if (clock_.now() - interval_start_ >= kCountsIntervalMs) log_interval_counts();
  const std::optional<double> next_time = timers_.next_time();
  return next_time ? std::clamp(*next_time - clock_.now(), 0.0, kCountsIntervalMs) : kCountsIntervalMs;
}

// An exception must not end the loop, or no client would get an answer any more. Where handling a message
// fails, its query is still answered at its deadline.
void DecisionLoop::run_logging_exceptions(const std::function<void()>& task) {
  try {
    task();
  } catch (const std::exception& error) {
    log_line(std::string("loop: ") + error.what());
  }
}

void DecisionLoop::fire_due_timers() {
  while (const std::optional<TimerKey> due = timers_.pop_due(clock_.now())) {
    if (due->attempt == kModuleTimer)
      feed_module(woadtide::TimerFired{due->name});
    else if (due->attempt == kQueryDeadline)
      on_query_deadline(due->name);
    else
      time_out_execution({due->name, due->attempt});
  }
}

// Incoming messages ------------------------------------------------------------------------------------

void DecisionLoop::handle(QueryReceived& message) {
  Query& query = message.query;
  interval_counts_.queries += 1;
  const auto name = std::find(class_names_.begin(), class_names_.end(), query.class_name);
  if (const char* rejection = find_rejection_reason(query, name != class_names_.end())) {
    interval_counts_.answers[static_cast<std::size_t>(AnswerKind::bad_query)] += 1;
    return message.reply_callback->on_answer({AnswerKind::bad_query, rejection});
  }
  const auto class_index = static_cast<std::size_t>(name - class_names_.begin());
  const double now = clock_.now();
  const woadtide::ClassSettings& settings = class_settings_[class_index];
  const double target_time = settings.aim
                                 ? now + to_ms(*settings.aim) + settings.stretch * query.cost_ms.value_or(0)
                                 : query.deadline;
  class_totals_[class_index].stats.accepted += 1;
  open_queries_.emplace(query.id, OpenQuery{std::move(message.reply_callback),
                                            std::move(query.payload),
                                            class_index,
                                            query.deadline,
                                            now,
                                            target_time,
                                            {}});
  timers_.set({query.id, kQueryDeadline}, query.deadline);
  woadtide::Request request;
  request.id = query.id;
  request.class_index = class_index;
  request.slots = query.slots;
  if (query.cost_ms) request.hint = to_micros(*query.cost_ms);
  request.time_left = to_micros(query.deadline - clock_.now());
  feed_module(request);
}

const char* DecisionLoop::find_rejection_reason(const Query& query, bool class_known) const {
  if (!class_known) return "unknown class";
  // The module would not answer a second query with the same id, and a worker could run it twice. A repeat
  // that arrives after the answer cannot be told from the first query, and a payout must not run again.
  if (open_queries_.contains(query.id)) return "this id is in work already";
  if (replay_cache_.contains(query.id)) return "this id was in work before";
  // Checked here whatever the protocol accepts: a deadline of NaN would break the order of the timers.
  const double cost = query.cost_ms.value_or(0);
  if (!std::isfinite(query.deadline) || !(cost >= 0 && std::isfinite(cost)) ||
      !(query.slots > 0 && std::isfinite(query.slots)))
    return "a figure of it cannot be right";
  return nullptr;
}

void DecisionLoop::ReplayCache::add(const std::string& id) {
  if (!ids_.insert(id).second) return;
  oldest_first_.push_back(id);
  if (oldest_first_.size() <= kMaxRememberedIds) return;
  ids_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

void DecisionLoop::handle(ClientDisconnected& message) {
  const auto found = open_queries_.find(message.query);
  // The id may belong to another client's open query, for which this client's query was rejected.
  if (found == open_queries_.end() || !found->second.reply_callback ||
      found->second.reply_callback != message.reply_callback)
    return;
  interval_counts_.client_disconnects += 1;
  release_client(*found);
  feed_module(woadtide::RequestGone{message.query});
  erase_if_finished(message.query);
}

void DecisionLoop::handle(ExecutionSent& message) {
  const auto found = open_queries_.find(message.key.query);
  if (found != open_queries_.end()) class_totals_[found->second.class_index].forwards += 1;
}

void DecisionLoop::handle(ExecutionStarted& message) {
  if (observer_) observer_->on_activity(message.key);
  feed_module(woadtide::JobStarted{message.key.query, message.key.attempt});
}

void DecisionLoop::handle(ExecutionProgress& message) {
  if (observer_) observer_->on_activity(message.key);
  feed_module(woadtide::JobProgress{message.key.query, message.key.attempt});
}

void DecisionLoop::handle(ExecutionEnded& message) {
  const auto found = open_queries_.find(message.key.query);
  if (found == open_queries_.end()) return;
  if (observer_ && is_pending(message.key))
    observer_->on_ended(message.key, message.status, message.result, message.failed || message.bad_query);
  // Only the first result is sent to the client, and before the module handles it, to avoid delay.
  if (message.status == Status::ok && found->second.reply_callback && is_pending(message.key))
    settle(*found, {AnswerKind::served, std::move(message.result)});
  // A bad query says nothing about the worker, which the module would otherwise avoid for it, and no other
  // worker would accept the query either.
  if (message.bad_query) {
    settle(*found, {AnswerKind::bad_query, "the worker cannot use it"});
    return finish_execution(message.key, Status::cancelled, message.load_report);
  }
  finish_execution(message.key, message.status, message.load_report);
}

void DecisionLoop::handle(ProbeEnded& message) {
  std::optional<woadtide::LoadReport> load;
  if (message.status == Status::ok)
    load = parse_load_report(message.load_report, report_x0_meaning_, report_x1_meaning_);
  feed_module(woadtide::ProbeResult{message.worker, message.status, load});
}

// Both processes of a hot restart are one dispatcher: a list update that this process received binds the
// sibling process too, which may not have received it yet. So it is passed on first.
void DecisionLoop::handle(ListUpdateReceived& message) {
  const woadtide::ListKind kind = message.update.kind;
  if ((kind == woadtide::ListKind::full || kind == woadtide::ListKind::changes) && !sibling_.has_no_sibling())
    sibling_.send({SiblingMessage::Kind::list, endpoint_source_.serialized_list()});
  feed_module(message.update);
}

// Exclusions by an operator hold across a hot restart, and an id that is in progress at one process, or was
// handled before, must not run at the other.
void DecisionLoop::handle(SiblingJoined&) {
  sibling_.send({SiblingMessage::Kind::list, endpoint_source_.serialized_list()});
  for (const std::string& worker : excluded_workers_) sibling_.send({SiblingMessage::Kind::exclude, worker});
  for (const auto& [id, open] : open_queries_)
    if (!open.executions.empty()) sibling_.send({SiblingMessage::Kind::query, id});
  for (const std::string& id : replay_cache_.ids_oldest_first())
    sibling_.send({SiblingMessage::Kind::query, id});
  sibling_.send({SiblingMessage::Kind::told});
}

void DecisionLoop::handle(SiblingMessageReceived& message) {
  const SiblingMessage& word = message.message;
  if (word.kind == SiblingMessage::Kind::query) return replay_cache_.add(word.content);
  if (word.kind == SiblingMessage::Kind::list) return endpoint_source_.merge_sibling_list(word.content);
  exclude(word.content, word.kind == SiblingMessage::Kind::exclude);
}

void DecisionLoop::handle(OperatorCommand& message) {
  if (message.kind == OperatorCommand::Kind::telemetry) return message.reply.set_value(telemetry_reply());
  if (message.kind == OperatorCommand::Kind::figures) return message.reply.set_value(stats_reply());
  const std::string& worker = message.worker;
  if (!module_.knows(worker)) return message.reply.set_value("error no worker has this id\n");
  const bool excluded = message.kind == OperatorCommand::Kind::exclude;
  if (excluded && excluded_workers_.size() >= kMaxExcludedWorkers && !excluded_workers_.contains(worker))
    return message.reply.set_value("error too many workers are excluded\n");
  exclude(worker, excluded);
  sibling_.send({excluded ? SiblingMessage::Kind::exclude : SiblingMessage::Kind::include, worker});
  message.reply.set_value("done\n");
}

// The module stops choosing the worker. The executor is told too, for executions that are already on their
// way to it.
void DecisionLoop::exclude(const std::string& worker, bool excluded) {
  const bool changed =
      excluded ? excluded_workers_.insert(worker).second : excluded_workers_.erase(worker) > 0;
  if (changed) log_line("operator: " + worker + (excluded ? " is out by hand" : " may serve again"));
  executor_.set_excluded(worker, excluded);
  if (excluded)
    feed_module(woadtide::Exclude{worker});
  else
    feed_module(woadtide::Include{worker});
}

void DecisionLoop::handle(AcceptingProcesses& message) {
  feed_module(woadtide::SharingProcesses{message.processes});
}

void DecisionLoop::handle(FailOpenQueries&) {
  std::vector<std::string> unsettled;
  for (const auto& [id, open] : open_queries_)
    if (open.reply_callback) unsettled.push_back(id);
  if (!unsettled.empty()) log_line("end: " + std::to_string(unsettled.size()) + " queries failed unfinished");
  for (const std::string& id : unsettled) {
    settle(*open_queries_.find(id), {AnswerKind::failed, {}});
    feed_module(woadtide::RequestGone{id});
    erase_if_finished(id);
  }
}

// Actions of the module --------------------------------------------------------------------------------

void DecisionLoop::feed_module(const woadtide::Event& event) {
  std::vector<woadtide::Action> actions;
  try {
    module_.handle(to_micros(clock_.now()), event, actions);
  } catch (const std::exception& error) {
    // A query that the module loses by this is still answered, at its deadline.
    log_line(std::string("module: ") + error.what());
  }
  for (const woadtide::Action& action : actions)
    std::visit([this](const auto& alternative) { carry_out(alternative); }, action);
}

void DecisionLoop::carry_out(const woadtide::Send& action) {
  const auto found = open_queries_.find(action.id);
  if (found == open_queries_.end()) return;
  OpenQuery& open = found->second;
  const ExecutionKey key{action.id, static_cast<int>(open.executions.size())};
  const double now = clock_.now();
  open.executions.push_back({now, true});
  interval_counts_.executions += 1;
  // Before the first execution can begin: from here on the query must not run at the sibling process.
  if (key.attempt == 0) sibling_.send({SiblingMessage::Kind::query, key.query});
  if (action.timeout.count() > 0)
    timers_.set({key.query, key.attempt}, std::min(now + to_ms(action.timeout), open.deadline));
  const double not_after = action.not_after.count() > 0 ? to_ms(action.not_after) : Execution::kNoTimeLimit;
  executor_.start({key, action.worker, open.payload, open.deadline, not_after});
}

void DecisionLoop::carry_out(const woadtide::Refuse& action) {
  const auto found = open_queries_.find(action.id);
  if (found == open_queries_.end()) return;
  settle(*found, {AnswerKind::refused, {}, to_ms(action.retry_after)});
  erase_if_finished(action.id);
}

void DecisionLoop::carry_out(const woadtide::Fail& action) {
  const auto found = open_queries_.find(action.id);
  if (found == open_queries_.end()) return;
  const bool timed_out = clock_.now() >= found->second.deadline;
  settle(*found, {timed_out ? AnswerKind::timed_out : AnswerKind::failed, {}});
  erase_if_finished(action.id);
}

void DecisionLoop::carry_out(const woadtide::Cancel& action) {
  executor_.cancel({action.id, action.attempt});
}
void DecisionLoop::carry_out(const woadtide::Probe& action) { executor_.probe(action.worker); }
void DecisionLoop::carry_out(const woadtide::Watch&) { endpoint_source_.start_watch(); }
void DecisionLoop::carry_out(const woadtide::SetTimer& action) {
  timers_.set({action.token, kModuleTimer}, to_ms(action.at));
}
void DecisionLoop::carry_out(const woadtide::CancelTimer& action) {
  timers_.cancel({action.token, kModuleTimer});
}
void DecisionLoop::carry_out(const woadtide::Log& action) { log_line("module: " + action.text); }

// Ends of queries and executions -----------------------------------------------------------------------

// The only place that answers a client with an outcome, so that each query is settled exactly once.
void DecisionLoop::settle(Queries::value_type& query, Answer answer) {
  const std::shared_ptr<ReplyCallback> reply_callback = release_client(query);
  if (!reply_callback) return;
  const OpenQuery& open = query.second;
  interval_counts_.answers[static_cast<std::size_t>(answer.kind)] += 1;
  ClassStats& stats = class_totals_[open.class_index].stats;
  if (answer.kind == AnswerKind::served)
    stats.add_served(clock_.now() - open.received_at, clock_.now() > open.target_time);
  else
    (answer.kind == AnswerKind::refused ? stats.refused : stats.failed) += 1;
  reply_callback->on_answer(std::move(answer));
}

// From here on no client waits for the query. An execution that still waits for a thread, a connection or its
// last byte would run in vain, or worse: make a payout of which the client does not learn.
std::shared_ptr<ReplyCallback> DecisionLoop::release_client(Queries::value_type& query) {
  auto& [id, open] = query;
  std::shared_ptr<ReplyCallback> reply_callback = std::exchange(open.reply_callback, nullptr);
  if (!reply_callback) return nullptr;
  for (std::size_t i = 0; i < open.executions.size(); ++i)
    if (open.executions[i].pending) executor_.withdraw({id, static_cast<int>(i)});
  // An execution that has begun is still awaited for its outcome, but not as long as a client may have asked
  // for: it holds a link and the query's buffers.
  const double class_deadline_ms = to_ms(class_settings_[open.class_index].deadline);
  open.deadline = std::min(open.deadline, open.received_at + class_deadline_ms);
  timers_.set({id, kQueryDeadline}, open.deadline);
  return reply_callback;
}

bool DecisionLoop::is_pending(const ExecutionKey& key) const {
  const auto found = open_queries_.find(key.query);
  const auto index = static_cast<std::size_t>(key.attempt);
  return found != open_queries_.end() && index < found->second.executions.size() &&
         found->second.executions[index].pending;
}

// Reports the outcome of each execution to the module exactly once, also where its query is settled already.
void DecisionLoop::finish_execution(const ExecutionKey& key, Status status, const std::string& load_report) {
  const auto found = open_queries_.find(key.query);
  if (found == open_queries_.end()) return;
  OpenQuery& open = found->second;
  const auto index = static_cast<std::size_t>(key.attempt);
  if (index >= open.executions.size() || !open.executions[index].pending) return;
  open.executions[index].pending = false;
  timers_.cancel({key.query, key.attempt});
  if (status != Status::ok) interval_counts_.failed_executions += 1;
  if (!proves_not_run(status)) open.may_have_run = true;
  woadtide::Outcome outcome;
  outcome.id = key.query;
  outcome.attempt = key.attempt;
  outcome.status = status;
  outcome.latency = to_micros(clock_.now() - open.executions[index].sent_at);
  outcome.closed = !open.reply_callback;
  if (!load_report.empty())
    outcome.load = parse_load_report(load_report, report_x0_meaning_, report_x1_meaning_);
  feed_module(outcome);
  erase_if_finished(key.query);
}

void DecisionLoop::time_out_execution(const ExecutionKey& key) {
  if (!is_pending(key)) return;
  executor_.cancel(key);
  if (observer_) observer_->on_ended(key, Status::timeout, {}, false);
  finish_execution(key, Status::timeout, {});
}

void DecisionLoop::on_query_deadline(const std::string& id) {
  const auto found = open_queries_.find(id);
  if (found == open_queries_.end()) return;
  const std::size_t execution_count = found->second.executions.size();
  for (std::size_t i = 0; i < execution_count && open_queries_.contains(id); ++i)
    time_out_execution({id, static_cast<int>(i)});
  const auto remaining = open_queries_.find(id);
  if (remaining == open_queries_.end() || !remaining->second.reply_callback) return;
  // The module should have answered by now. Whatever the cause, the client still gets an answer.
  log_line("module: no answer for a query at its deadline");
  settle(*remaining, {AnswerKind::timed_out, {}});
  feed_module(woadtide::RequestGone{id});
  erase_if_finished(id);
}

void DecisionLoop::erase_if_finished(const std::string& id) {
  const auto found = open_queries_.find(id);
  if (found == open_queries_.end() || found->second.reply_callback) return;
  const auto& executions = found->second.executions;
  if (std::any_of(executions.begin(), executions.end(),
                  [](const ExecutionState& execution) { return execution.pending; }))
    return;
  if (found->second.may_have_run) replay_cache_.add(found->first);
  timers_.cancel({id, kQueryDeadline});
  open_queries_.erase(found);
}

// Metrics in the format of statsd; counters start at zero with the process.
std::string DecisionLoop::telemetry_reply() const {
  std::string text;
  const auto append_metric = [&text](std::string_view name, auto value, const char* suffix) {
    text.append("app.").append(name).append(":").append(std::to_string(value)).append(suffix);
  };
  for (std::size_t i = 0; i < class_totals_.size(); ++i) {
    const ClassTotals& totals = class_totals_[i];
    for (const auto& [name, value] : {std::pair{"succeeded.", totals.stats.served},
                                      {"declined.", totals.stats.refused},
                                      {"aborted.", totals.stats.failed},
                                      {"forwards.", totals.forwards}})
      append_metric(name + class_names_[i], value, "|c\n");
  }
  const woadtide::WorkerCounts worker_counts = module_.worker_counts(to_micros(clock_.now()));
  // A settled query that only waits for the end of an execution is not outstanding for any client.
  const auto is_unsettled = [](const auto& item) { return item.second.reply_callback != nullptr; };
  append_metric("outstanding", std::count_if(open_queries_.begin(), open_queries_.end(), is_unsettled),
                "|g\n");
  append_metric("discovered", worker_counts.listed, "|g\n");
  append_metric("ejected", worker_counts.unavailable, "|g\n");
  return text + "end\n";
}

// One JSON object, for comparing dispatchers with each other; counts start at zero with the process.
std::string DecisionLoop::stats_reply() const {
  DispatcherStats stats_by_class;
  for (std::size_t i = 0; i < class_totals_.size(); ++i)
    stats_by_class[class_names_[i]] = class_totals_[i].stats;
  return "done " + serialize(stats_by_class) + "\n";
}

void DecisionLoop::log_interval_counts() {
  interval_start_ = clock_.now();
  const IntervalCounts counts = std::exchange(interval_counts_, {});
  if (counts.queries == 0 && open_queries_.empty()) return;
  const auto answer_count = [&](AnswerKind kind) {
    return std::to_string(counts.answers[static_cast<std::size_t>(kind)]);
  };
  log_line("figures: queries " + std::to_string(counts.queries) + " served " +
           answer_count(AnswerKind::served) + " refused " + answer_count(AnswerKind::refused) + " failed " +
           answer_count(AnswerKind::failed) + " timed-out " + answer_count(AnswerKind::timed_out) + " bad " +
           answer_count(AnswerKind::bad_query) + " gone " + std::to_string(counts.client_disconnects) +
           " executions " + std::to_string(counts.executions) + " not-ok " +
           std::to_string(counts.failed_executions) + " open " + std::to_string(open_queries_.size()) +
           " timers " + std::to_string(timers_.size()));
}

}  // namespace woadtide::core
