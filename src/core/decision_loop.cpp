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
constexpr double kCountsEvery = 10'000;  // gap between two lines of figures in the log
}

DecisionLoop::DecisionLoop(woadtide::Settings settings, std::vector<std::string> class_names,
                           std::uint64_t seed, Clock& clock, Inbox& inbox, Executor& executor,
                           HostSource& hosts, Kin& kin, Witness* witness)
    : class_names_(std::move(class_names)),
      classes_(settings.classes),
      report_x0_(settings.report_x0),
      report_x1_(settings.report_x1),
      dispatcher_(std::move(settings), seed),
      clock_(clock),
      inbox_(inbox),
      executor_(executor),
      hosts_(hosts),
      kin_(kin),
      witness_(witness),
      totals_(class_names_.size()),
      counted_since_(clock.now()) {}

double DecisionLoop::step() {
  // Messages before timers: a result that has come beats a deadline that has passed meanwhile.
  for (Message& message : inbox_.take())
    guarded([&] { std::visit([this](auto& came) { take(came); }, message); });
  guarded([this] { fire_due(); });
  if (clock_.now() - counted_since_ >= kCountsEvery) report_counts();
  const double next = timers_.empty() ? kCountsEvery : timers_.begin()->first - clock_.now();
  return std::clamp(next, 0.0, kCountsEvery);
}

// Were the loop to end by an exception, every client would wait in vain. What one message could not do, the
// deadline of its query makes good.
void DecisionLoop::guarded(const std::function<void()>& work) {
  try {
    work();
  } catch (const std::exception& broken) {
    log_line(std::string("loop: ") + broken.what());
  }
}

void DecisionLoop::fire_due() {
  while (!timers_.empty() && timers_.begin()->first <= clock_.now()) {
    const Timer timer = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    if (timer.attempt == kToken)
      feed(woadtide::TimerFired{timer.name});
    else if (timer.attempt == kWholeQuery)
      on_deadline(timer.name);
    else
      time_out({timer.name, timer.attempt});
  }
}

// What comes in ----------------------------------------------------------------------------------------

void DecisionLoop::take(QueryArrived& message) {
  Query& query = message.query;
  counts_.queries += 1;
  const auto name = std::find(class_names_.begin(), class_names_.end(), query.class_name);
  if (const char* wrong = wrong_with(query, name != class_names_.end())) {
    counts_.answers[static_cast<std::size_t>(AnswerKind::bad_query)] += 1;
    return message.asker->answer({AnswerKind::bad_query, wrong});
  }
  const auto class_index = static_cast<std::size_t>(name - class_names_.begin());
  const double now = clock_.now();
  const woadtide::ClassSettings& kind = classes_[class_index];
  const double wanted_by =
      kind.aim ? now + to_ms(*kind.aim) + kind.stretch * query.cost_ms.value_or(0) : query.deadline;
  totals_[class_index].figures.asked += 1;
  queries_.emplace(query.id, Open{std::move(message.asker),
                                  std::move(query.parcel),
                                  class_index,
                                  query.deadline,
                                  now,
                                  wanted_by,
                                  {}});
  timers_.emplace(query.deadline, Timer{query.id, kWholeQuery});
  kin_.tell({Word::Kind::query, query.id});
  woadtide::Request request;
  request.id = query.id;
  request.class_index = class_index;
  request.slots = query.slots;
  if (query.cost_ms) request.hint = to_micros(*query.cost_ms);
  request.time_left = to_micros(query.deadline - clock_.now());
  feed(request);
}

const char* DecisionLoop::wrong_with(const Query& query, bool class_known) const {
  if (!class_known) return "unknown class";
  // The module would not answer a second query of the same id, and a worker could run it twice; nor is there
  // a way to tell a repeat that comes after the answer from the first: a payout must not run again.
  if (queries_.contains(query.id)) return "this id is in work already";
  if (spent_.contains(query.id)) return "this id was in work before";
  // Whatever the protocol let through: a deadline that is no number would break the order of the timers.
  const double cost = query.cost_ms.value_or(0);
  if (!std::isfinite(query.deadline) || !(cost >= 0 && std::isfinite(cost)) ||
      !(query.slots > 0 && std::isfinite(query.slots)))
    return "a figure of it cannot be right";
  return nullptr;
}

void DecisionLoop::Spent::add(const std::string& id) {
  if (!ids_.insert(id).second) return;
  oldest_first_.push_back(id);
  if (oldest_first_.size() <= kMost) return;
  ids_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

void DecisionLoop::take(ClientGone& message) {
  const auto found = queries_.find(message.query);
  // The id may be another client's query, and this one have been told so.
  if (found == queries_.end() || !found->second.asker || found->second.asker != message.asker) return;
  counts_.gone += 1;
  let_go(*found);
  feed(woadtide::RequestGone{message.query});
  drop_if_over(message.query);
}

void DecisionLoop::take(ExecutionSent& message) {
  const auto found = queries_.find(message.key.query);
  if (found != queries_.end()) totals_[found->second.class_index].forwards += 1;
}

void DecisionLoop::take(ExecutionStarted& message) {
  if (witness_) witness_->heard(message.key);
  feed(woadtide::JobStarted{message.key.query, message.key.attempt});
}

void DecisionLoop::take(ExecutionProgress& message) {
  if (witness_) witness_->heard(message.key);
  feed(woadtide::JobProgress{message.key.query, message.key.attempt});
}

void DecisionLoop::take(ExecutionEnded& message) {
  const auto found = queries_.find(message.key.query);
  if (found == queries_.end()) return;
  if (witness_ && is_out(message.key))
    witness_->ended(message.key, message.status, message.result, message.failed || message.bad_query);
  // Only the first result reaches the client, and before the module hears of it: it is owed at once.
  if (message.status == Status::ok && found->second.asker && is_out(message.key))
    settle(*found, {AnswerKind::served, std::move(message.result)});
  // What is wrong with the query is no news of the worker, which the module would leave alone for it, and no
  // other worker would take it.
  if (message.bad_query) {
    settle(*found, {AnswerKind::bad_query, "the worker cannot use it"});
    return end(message.key, Status::cancelled, message.report);
  }
  end(message.key, message.status, message.report);
}

void DecisionLoop::take(ProbeEnded& message) {
  std::optional<woadtide::LoadReport> load;
  if (message.status == Status::ok) load = read_load_report(message.report, report_x0_, report_x1_);
  feed(woadtide::ProbeResult{message.worker, message.status, load});
}

// What this process is told counts as told to the dispatcher: the other process may not have heard yet.
void DecisionLoop::take(ListTold& message) {
  const woadtide::ListKind kind = message.update.kind;
  if ((kind == woadtide::ListKind::full || kind == woadtide::ListKind::changes) && !kin_.alone())
    kin_.tell({Word::Kind::list, hosts_.list()});
  feed(message.update);
}

// A ban holds across an upgrade, and an id in work at one process, or known from before, must not run at the
// other.
void DecisionLoop::take(KinJoined&) {
  kin_.tell({Word::Kind::list, hosts_.list()});
  for (const std::string& worker : excluded_) kin_.tell({Word::Kind::exclude, worker});
  for (const auto& [id, open] : queries_) kin_.tell({Word::Kind::query, id});
  for (const std::string& id : spent_.all()) kin_.tell({Word::Kind::query, id});
  kin_.tell({Word::Kind::told});
}

void DecisionLoop::take(KinSaid& message) {
  const Word& word = message.word;
  if (word.kind == Word::Kind::query) return spent_.add(word.id);
  if (word.kind == Word::Kind::list) return hosts_.hear_list(word.id);
  exclude(word.id, word.kind == Word::Kind::exclude);
}

void DecisionLoop::take(OperatorCall& message) {
  if (message.kind == OperatorCall::Kind::telemetry) return message.answer.set_value(telemetry());
  if (message.kind == OperatorCall::Kind::figures) return message.answer.set_value(figures());
  const std::string& worker = message.worker;
  if (!dispatcher_.knows(worker)) return message.answer.set_value("error no worker has this id\n");
  const bool out = message.kind == OperatorCall::Kind::exclude;
  exclude(worker, out);
  kin_.tell({out ? Word::Kind::exclude : Word::Kind::include, worker});
  message.answer.set_value("done\n");
}

// The module decides by it; whoever carries out is told too, for what is on its way.
void DecisionLoop::exclude(const std::string& worker, bool excluded) {
  const bool news = excluded ? excluded_.insert(worker).second : excluded_.erase(worker) > 0;
  if (news) log_line("operator: " + worker + (excluded ? " is out by hand" : " may serve again"));
  executor_.exclude(worker, excluded);
  if (excluded)
    feed(woadtide::Exclude{worker});
  else
    feed(woadtide::Include{worker});
}

void DecisionLoop::take(Sharers& message) { feed(woadtide::Sharers{message.processes}); }

void DecisionLoop::take(FinishAll&) {
  std::vector<std::string> unsettled;
  for (const auto& [id, open] : queries_)
    if (open.asker) unsettled.push_back(id);
  if (!unsettled.empty()) log_line("end: " + std::to_string(unsettled.size()) + " queries failed unfinished");
  for (const std::string& id : unsettled) {
    settle(*queries_.find(id), {AnswerKind::failed, {}});
    feed(woadtide::RequestGone{id});
    drop_if_over(id);
  }
}

// What the module wants --------------------------------------------------------------------------------

void DecisionLoop::feed(const woadtide::Event& event) {
  std::vector<woadtide::Action> actions;
  try {
    dispatcher_.handle(to_micros(clock_.now()), event, actions);
  } catch (const std::exception& broken) {
    // A query that the module drops by this still gets its answer, at its deadline.
    log_line(std::string("module: ") + broken.what());
  }
  for (const woadtide::Action& action : actions) std::visit([this](const auto& todo) { act(todo); }, action);
}

void DecisionLoop::act(const woadtide::Send& action) {
  const auto found = queries_.find(action.id);
  if (found == queries_.end()) return;
  Open& open = found->second;
  const ExecutionKey key{action.id, static_cast<int>(open.executions.size())};
  const double now = clock_.now();
  open.executions.push_back({now, true});
  counts_.executions += 1;
  if (action.timeout.count() > 0)
    timers_.emplace(std::min(now + to_ms(action.timeout), open.deadline), Timer{key.query, key.attempt});
  const double not_after = action.not_after.count() > 0 ? to_ms(action.not_after) : Execution::kAlways;
  executor_.start({key, action.worker, open.parcel, open.deadline, not_after});
}

void DecisionLoop::act(const woadtide::Refuse& action) {
  const auto found = queries_.find(action.id);
  if (found == queries_.end()) return;
  settle(*found, {AnswerKind::refused, {}, to_ms(action.retry_after)});
  drop_if_over(action.id);
}

void DecisionLoop::act(const woadtide::Fail& action) {
  const auto found = queries_.find(action.id);
  if (found == queries_.end()) return;
  const bool late = clock_.now() >= found->second.deadline;
  settle(*found, {late ? AnswerKind::timed_out : AnswerKind::failed, {}});
  drop_if_over(action.id);
}

void DecisionLoop::act(const woadtide::Cancel& action) { executor_.cancel({action.id, action.attempt}); }
void DecisionLoop::act(const woadtide::Probe& action) { executor_.probe(action.worker); }
void DecisionLoop::act(const woadtide::Watch&) { hosts_.watch(); }
void DecisionLoop::act(const woadtide::SetTimer& action) {
  timers_.emplace(to_ms(action.at), Timer{action.token, kToken});
}
void DecisionLoop::act(const woadtide::Log& action) { log_line("module: " + action.text); }

// Endings ----------------------------------------------------------------------------------------------

// The one place that answers a client: a query is settled exactly once.
void DecisionLoop::settle(Queries::value_type& query, Answer answer) {
  const std::shared_ptr<Asker> asker = let_go(query);
  if (!asker) return;
  const Open& open = query.second;
  counts_.answers[static_cast<std::size_t>(answer.kind)] += 1;
  ClassFigures& figures = totals_[open.class_index].figures;
  if (answer.kind == AnswerKind::served)
    figures.add_served(clock_.now() - open.taken, clock_.now() > open.wanted_by);
  else
    (answer.kind == AnswerKind::refused ? figures.refused : figures.failed) += 1;
  asker->answer(std::move(answer));
}

// From here on nobody waits for it. What still waits for a thread, a connect or its last byte would run for
// nothing, a payout behind the back of its client.
std::shared_ptr<Asker> DecisionLoop::let_go(Queries::value_type& query) {
  auto& [id, open] = query;
  std::shared_ptr<Asker> asker = std::exchange(open.asker, nullptr);
  if (!asker) return nullptr;
  for (std::size_t i = 0; i < open.executions.size(); ++i)
    if (open.executions[i].out) executor_.withdraw({id, static_cast<int>(i)});
  return asker;
}

bool DecisionLoop::is_out(const ExecutionKey& key) const {
  const auto found = queries_.find(key.query);
  const auto place = static_cast<std::size_t>(key.attempt);
  return found != queries_.end() && place < found->second.executions.size() &&
         found->second.executions[place].out;
}

// Each execution's outcome reaches the module exactly once, also when its query is settled.
void DecisionLoop::end(const ExecutionKey& key, Status status, const std::string& report) {
  const auto found = queries_.find(key.query);
  if (found == queries_.end()) return;
  Open& open = found->second;
  const auto place = static_cast<std::size_t>(key.attempt);
  if (place >= open.executions.size() || !open.executions[place].out) return;
  open.executions[place].out = false;
  if (status != Status::ok) counts_.failures += 1;
  if (!proves_not_run(status)) open.may_have_run = true;
  woadtide::Outcome outcome;
  outcome.id = key.query;
  outcome.attempt = key.attempt;
  outcome.status = status;
  outcome.latency = to_micros(clock_.now() - open.executions[place].sent);
  outcome.closed = !open.asker;
  if (!report.empty()) outcome.load = read_load_report(report, report_x0_, report_x1_);
  feed(outcome);
  drop_if_over(key.query);
}

void DecisionLoop::time_out(const ExecutionKey& key) {
  if (!is_out(key)) return;
  executor_.cancel(key);
  if (witness_) witness_->ended(key, Status::timeout, {}, false);
  end(key, Status::timeout, {});
}

void DecisionLoop::on_deadline(const std::string& id) {
  const auto found = queries_.find(id);
  if (found == queries_.end()) return;
  const std::size_t sent = found->second.executions.size();
  for (std::size_t i = 0; i < sent && queries_.contains(id); ++i) time_out({id, static_cast<int>(i)});
  const auto still = queries_.find(id);
  if (still == queries_.end() || !still->second.asker) return;
  // The module should have answered by now. Whatever held it up, the client is owed an answer.
  log_line("module: no answer for a query at its deadline");
  settle(*still, {AnswerKind::timed_out, {}});
  feed(woadtide::RequestGone{id});
  drop_if_over(id);
}

void DecisionLoop::drop_if_over(const std::string& id) {
  const auto found = queries_.find(id);
  if (found == queries_.end() || found->second.asker) return;
  const auto& executions = found->second.executions;
  if (std::any_of(executions.begin(), executions.end(), [](const Running& e) { return e.out; })) return;
  if (found->second.may_have_run) spent_.add(found->first);
  queries_.erase(found);
}

// In the form of statsd: counts run from the start of the process.
std::string DecisionLoop::telemetry() const {
  std::string text;
  const auto line = [&text](std::string_view name, auto value, const char* form) {
    text.append("app.").append(name).append(":").append(std::to_string(value)).append(form);
  };
  for (std::size_t i = 0; i < totals_.size(); ++i) {
    const Totals& totals = totals_[i];
    for (const auto& [name, value] : {std::pair{"succeeded.", totals.figures.served},
                                      {"declined.", totals.figures.refused},
                                      {"aborted.", totals.figures.failed},
                                      {"forwards.", totals.forwards}})
      line(name + class_names_[i], value, "|c\n");
  }
  const woadtide::Census census = dispatcher_.census(to_micros(clock_.now()));
  // What is settled and only waits for the end of an execution is a client's no more.
  const auto is_taken = [](const auto& item) { return item.second.asker != nullptr; };
  line("outstanding", std::count_if(queries_.begin(), queries_.end(), is_taken), "|g\n");
  line("discovered", census.listed, "|g\n");
  line("ejected", census.avoided, "|g\n");
  return text + "end\n";
}

// One JSON object, for whoever compares dispatchers: counts run from the start of the process.
std::string DecisionLoop::figures() const {
  Figures all;
  for (std::size_t i = 0; i < totals_.size(); ++i) all[class_names_[i]] = totals_[i].figures;
  return "done " + text_of(all) + "\n";
}

void DecisionLoop::report_counts() {
  counted_since_ = clock_.now();
  const Counts counts = std::exchange(counts_, {});
  if (counts.queries == 0 && queries_.empty()) return;
  const auto answers = [&](AnswerKind kind) {
    return std::to_string(counts.answers[static_cast<std::size_t>(kind)]);
  };
  log_line("figures: queries " + std::to_string(counts.queries) + " served " + answers(AnswerKind::served) +
           " refused " + answers(AnswerKind::refused) + " failed " + answers(AnswerKind::failed) +
           " timed-out " + answers(AnswerKind::timed_out) + " bad " + answers(AnswerKind::bad_query) +
           " gone " + std::to_string(counts.gone) + " executions " + std::to_string(counts.executions) +
           " not-ok " + std::to_string(counts.failures) + " open " + std::to_string(queries_.size()));
}

}  // namespace woadtide::core
