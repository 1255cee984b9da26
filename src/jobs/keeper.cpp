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

constexpr double kHeldMs = 100;    // gap between two looks whether the store is free
constexpr double kBrokenMs = 250;  // and whether it can be read again
constexpr double kLazyMs = 100;    // a record that nobody waits for is written this late at most
constexpr double kTidyMs = 1'000;
constexpr std::size_t kTidyRecords = 500;
constexpr double kReportMs = 10'000;
// A client is to have its answer before it gives up: a tenth of its time, and no more than the setting says.
constexpr double kEarlyShare = 0.1;
constexpr std::size_t kHandedIn =
    16;                           // recovered jobs in the loop at once: its limits have to be learned anew
constexpr double kAgainMs = 200;  // a refused recovered job is handed in again after this, if nothing is said
constexpr std::size_t kListed = 1'000;
// A job's record, and the largest result with what the pages around it take.
constexpr std::uint64_t kRecordBytes = 2'000, kResultBytes = 72'000;

std::string make_nonce() {
  std::random_device device;
  char text[24];
  std::snprintf(text, sizeof text, "~%08x%08x.", device(), device());
  return text;
}

// What makes two jobs the same under one key.
std::string digest_of(const Order& order) {
  const std::string whole = order.query.class_name + '\n' + order.target + '\n' + order.body;
  const XXH128_hash_t hash = XXH3_128bits(whole.data(), whole.size());
  char text[40];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

}  // namespace

// What a worker gets, apart from the lease's own fields.
struct Keeper::Content {
  std::string target, fields, body;
};

class Keeper::QueryAsker : public core::Asker {
 public:
  QueryAsker(Keeper& keeper, std::string query) : keeper_(keeper), query_(std::move(query)) {}
  void answer(core::Answer answer) override { keeper_.put_message(SettledOf{query_, std::move(answer)}); }

 private:
  Keeper& keeper_;
  const std::string query_;
};

Keeper::Keeper(Settings settings, const woadtide::Settings& classes, std::vector<std::string> class_names,
               core::Clock& clock, core::Inbox& inbox, core::Executor& next, Asker& asker)
    : settings_(std::move(settings)),
      clock_(clock),
      inbox_(inbox),
      next_(next),
      asker_(asker),
      nonce_(make_nonce()),
      table_(settings_.lease) {
  for (std::size_t i = 0; i < class_names.size() && i < classes.classes.size(); ++i)
    repeats_[class_names[i]] =
        classes.classes[i].effect == woadtide::Effect::safe ? lease::Repeat::safe : lease::Repeat::once;
}

Keeper::~Keeper() = default;

// From other threads ---------------------------------------------------------------------------------------

void Keeper::put_message(Message message) {
  const std::lock_guard lock(mutex_);
  messages_.push_back(std::move(message));
  came_.notify_one();
}

std::deque<Keeper::Message> Keeper::take_messages(double wait_ms) {
  std::unique_lock lock(mutex_);
  came_.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms),
                 [this] { return !messages_.empty() || stopping_; });
  return std::exchange(messages_, {});
}

void Keeper::stop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  came_.notify_one();
}

Reply Keeper::call(Call call) {
  std::future<Reply> reply = call.reply.get_future();
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) return {503, {}, "this process is ending\n", 1'000};
    messages_.push_back(std::move(call));
    came_.notify_one();
  }
  try {
    return reply.get();
  } catch (const std::future_error&) {  // it ended before it could say anything
    return {503, {}, "this process is ending\n", 1'000};
  }
}

Reply Keeper::put(Order order) {
  Call one;
  one.kind = Call::Kind::put;
  one.key = order.key;
  one.order = std::move(order);
  return call(std::move(one));
}

Reply Keeper::get(const std::string& key, double wait_ms) {
  Call one;
  one.key = key;
  one.wait_until = wait_ms > 0 ? clock_.now() + wait_ms : 0;
  return call(std::move(one));
}

Reply Keeper::withdraw(const std::string& key) { return call({.kind = Call::Kind::withdraw, .key = key}); }
Reply Keeper::list(const std::string& state) { return call({.kind = Call::Kind::list, .state = state}); }
Reply Keeper::show(const std::string& key) { return call({.kind = Call::Kind::show, .key = key}); }

Reply Keeper::settle(const std::string& key, bool as_finished, const std::string& who,
                     const std::string& why) {
  Call one;
  one.kind = Call::Kind::settle;
  one.key = key;
  one.as_finished = as_finished;
  one.who = who;
  one.why = why;
  return call(std::move(one));
}

void Keeper::hear(Word word) { put_message(std::move(word)); }

// What is no job's goes straight on.
void Keeper::start(core::Execution execution) {
  if (!is_job(execution.key)) return next_.start(std::move(execution));
  put_message(StartAsked{std::move(execution)});
}

void Keeper::cancel(const core::ExecutionKey& key) {
  if (!is_job(key)) return next_.cancel(key);
  put_message(CancelAsked{key});  // behind its start
}

void Keeper::heard(const core::ExecutionKey& key) {
  if (is_job(key)) put_message(HeardOf{key});
}

void Keeper::ended(const core::ExecutionKey& key, Status status, const std::string& result, bool told) {
  if (is_job(key)) put_message(EndedOf{key, status, result, told});
}

// The thread -----------------------------------------------------------------------------------------------

void Keeper::run() {
  std::string said;
  const auto say = [&said](const std::string& what) {
    if (said != what) core::log_line("jobs: " + what);
    said = what;
  };
  while (!is_stopping()) {
    double pause = kBrokenMs;
    try {
      open_store();
      said.clear();
      recover();
      serve();
      pause = 0;
    } catch (const store::Failed& failed) {
      say(std::string(failed.what()) +
          (failed.trouble == store::Trouble::held ? "; waiting for it" : "; no jobs now"));
      if (failed.trouble == store::Trouble::held) pause = kHeldMs;
    } catch (const std::exception& broken) {
      say(std::string("a fault of ours: ") + broken.what());
    }
    life_over();
    wait_apart(pause);
  }
  wait_apart(0);
}

// Nobody is to wait for a store that may not come back. What workers say is kept for later.
void Keeper::wait_apart(double ms) {
  std::deque<Message> later;
  const double until = clock_.now() + ms;
  do {
    for (Message& message : take_messages(std::clamp(until - clock_.now(), 0.0, 20.0))) {
      if (auto* one = std::get_if<Call>(&message))
        one->reply.set_value({503, {}, "jobs are not served now\n", kBrokenMs});
      else if (auto* asked = std::get_if<StartAsked>(&message))
        inbox_.put(core::ExecutionEnded{asked->execution.key, Status::moot, {}, false, false});
      else
        later.push_back(std::move(message));
    }
  } while (clock_.now() < until && !is_stopping());
  put_back(std::move(later));
}

void Keeper::put_back(std::deque<Message> messages) {
  const std::lock_guard lock(mutex_);
  messages_.insert(messages_.begin(), std::make_move_iterator(messages.begin()),
                   std::make_move_iterator(messages.end()));
}

bool Keeper::is_stopping() const {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

void Keeper::open_store() {
  store_.emplace(settings_.store);
  ahead_ms_ = std::max(0.0, store_->newest() - clock_.now());
  if (ahead_ms_ > 1'000)
    core::log_line("jobs: the clock is " + std::to_string(static_cast<long long>(ahead_ms_ / 1'000)) +
                   " s behind the store's newest stamp; deadlines move along");
  bytes_used_ = store_->bytes_used();
}

// Whatever is open goes to the core by the table of docs/design/durable-jobs.md. Executions that this very
// process has out under the newest lease go on: the store failed, they did not.
void Keeper::recover() {
  std::size_t count = 0;
  std::map<std::string, Live> before = std::exchange(live_, {});
  store_->read(store::Standing::open, [&](const store::Record& record) {
    auto [job, face] = read_meta(record);
    Live& live = live_[job.key];
    live.face = std::move(face);
    live.body_written = live.acknowledged = live.paced = true;
    count += 1;
    const auto known = before.find(job.key);
    if (known != before.end() && known->second.out && known->second.out_epoch == job.epoch) {
      live.content = known->second.content;
      live.query = known->second.query;
      live.query_asker = known->second.query_asker;
      live.out = known->second.out;
      live.out_epoch = job.epoch;
      before.erase(known);
      feed(lease::Resumed{job});
    } else {
      feed(lease::Recovered{job});
    }
    return true;
  });
  for (auto& [key, live] : before) {
    retract(live);
    if (!live.out) continue;
    next_.cancel(*live.out);
    out_count_ -= 1;
  }
  std::erase_if(keys_, [this](const auto& item) {
    const auto live = live_.find(item.second);
    return live == live_.end() || live->second.query != item.first;
  });
  commit(true);
  if (count > 0) core::log_line("jobs: " + std::to_string(count) + " open ones found in the store");
}

void Keeper::serve() {
  serves_ = true;
  core::log_line("jobs: served");
  for (;;) {
    double wait = kLazyMs;
    if (const auto due = table_.next_due()) wait = std::clamp(*due - now(), 0.0, wait);
    if (!backlog_.empty()) wait = std::clamp(backlog_.begin()->first - now(), 0.0, wait);
    come_ = take_messages(wait);
    do {
      step();
    } while (!come_.empty());
    const std::lock_guard lock(mutex_);
    if (stopping_ && messages_.empty()) break;
  }
  commit(true);
  core::log_line("jobs: the store is closed, " + std::to_string(table_.size()) + " jobs open");
}

// The store is closed and everything is read anew; what was not committed was told to nobody.
void Keeper::life_over() {
  serves_ = false;
  store_.reset();
  for (auto& [reply, unsaid] : replies_)
    reply.set_value({503, {}, "the store failed, ask again\n", kBrokenMs});
  replies_.clear();
  for (Waiter& waiter : waiters_)
    waiter.reply.set_value({503, {}, "the store failed, ask again\n", kBrokenMs});
  waiters_.clear();
  // What workers said in the group that was not committed is news still.
  std::deque<Message> again;
  for (Message& message : group_) {
    if (const auto* ended = std::get_if<EndedOf>(&message)) {
      if (Live* live = live_of(ended->key); live && !live->out && live->out_epoch > 0) {
        live->out = ended->key;
        live->result.reset();
        out_count_ += 1;
      }
    }
    const auto* asked = std::get_if<StartAsked>(&message);
    if (!std::holds_alternative<Call>(message) && !(asked && asked->seen))
      again.push_back(std::move(message));
  }
  group_.clear();
  for (Message& message : come_) again.push_back(std::move(message));
  come_.clear();
  put_back(std::move(again));
  for (auto& [key, live] : live_) {
    for (auto& putter : live.putters) putter.set_value({503, {}, "the store failed, ask again\n", kBrokenMs});
    live.putters.clear();
    unsend(live);
    if (!live.out) retract(live);
  }
  table_ = lease::Table(settings_.lease);
  effects_.clear();
  dirty_.clear();
  backlog_.clear();
  handed_in_ = 0;
  hurry_ = false;
}

void Keeper::step() {
  while (!come_.empty() && group_.size() < settings_.most_group) {
    group_.push_back(std::move(come_.front()));
    come_.pop_front();
    std::visit([this](auto& one) { handle(one); }, group_.back());
  }
  if (const auto due = table_.next_due(); due && *due <= now()) feed(lease::Tick{});
  time_out_waiters();
  const bool late = !dirty_.empty() && clock_.now() - lazy_since_ >= kLazyMs;
  commit(hurry_ || late);
  group_.clear();
  next_of_backlog();
  tidy();
  report();
}

void Keeper::feed(const lease::Event& event) {
  const std::size_t from = effects_.size();
  table_.handle(now(), event, effects_);
  for (std::size_t i = from; i < effects_.size(); ++i) {
    const auto* write = std::get_if<lease::Write>(&effects_[i]);
    if (!write) continue;
    if (dirty_.empty()) lazy_since_ = clock_.now();
    dirty_.insert(write->key);
    hurry_ = hurry_ || !write->lazy;
  }
}

// Records first, in one commit; then all that rests on them.
void Keeper::commit(bool all) {
  if (all || (!replies_.empty() && !dirty_.empty())) {
    std::vector<store::Record> records;
    for (const std::string& key : dirty_)
      if (table_.find(key)) records.push_back(record_of(key));
    if (!records.empty()) {
      store_->append(records);
      bytes_used_ = store_->bytes_used();
      counts_.commits += 1;
      counts_.records += records.size();
      for (const store::Record& record : records)
        if (record.body) live_.at(record.key).body_written = true;
    }
    dirty_.clear();
    hurry_ = false;
  }
  // Carrying out may lead to further effects of the same group's kind, never to further records.
  const std::vector<lease::Effect> effects = std::exchange(effects_, {});
  for (const lease::Effect& effect : effects) carry_out(effect);
  for (auto& [promise, reply] : replies_) promise.set_value(std::move(reply));
  replies_.clear();
}

// Calls ----------------------------------------------------------------------------------------------------

void Keeper::handle(Call& call) {
  const auto answer = [&](Reply reply) { replies_.emplace_back(std::move(call.reply), std::move(reply)); };
  const Job* job = table_.find(call.key);
  switch (call.kind) {
    case Call::Kind::put:
      return handle_put(call);
    case Call::Kind::get: {
      // What has been told to nobody yet is no answer either: such a job may still be refused without a
      // record.
      if (job && call.wait_until > clock_.now()) {
        waiters_.push_back({call.key, call.wait_until, std::move(call.reply)});
        return;
      }
      if (job && lease::is_final(job->state))
        return answer(reply_of(*job, live_.at(call.key).face, live_.at(call.key).result));
      if (job) return answer({202, lease::name_of(job->state), {}, 0});
      const auto stored = store_->find(call.key);
      return answer(stored ? stored_reply(*stored) : Reply{404, {}, "no such job\n", 0});
    }
    case Call::Kind::withdraw: {
      if (job && job->state == State::taken) {
        feed(lease::Withdraw{call.key});
        return answer({200, "refused", "withdrawn\n", 0});
      }
      if (job || store_->find(call.key)) return answer({409, {}, "it has begun or is over\n", 0});
      return answer({404, {}, "no such job\n", 0});
    }
    case Call::Kind::list: {
      const auto wanted = lease::state_of(call.state);
      if (!call.state.empty() && !wanted) return answer({400, {}, "no such state\n", 0});
      std::string text;
      std::size_t count = 0;
      const auto line = [&](const Job& one, const Face& face) {
        if (wanted && one.state != *wanted) return true;
        text += meta_of(one, face) + '\n';
        return ++count < kListed;
      };
      for (const auto& [key, live] : live_)
        if (const Job* one = table_.find(key); one && !line(*one, live.face)) break;
      for (const auto standing : {store::Standing::kept, store::Standing::closed}) {
        if (standing == store::Standing::closed && !wanted) break;
        if (count >= kListed) break;
        store_->read(standing, [&](const store::Record& record) {
          const auto [one, face] = read_meta(record);
          return line(one, face);
        });
      }
      return answer({200, {}, std::move(text), 0});
    }
    case Call::Kind::show: {
      if (job) return answer({200, {}, meta_of(*job, live_.at(call.key).face) + '\n', 0});
      const auto stored = store_->find(call.key);
      return answer(stored ? Reply{200, {}, stored->meta + '\n', 0} : Reply{404, {}, "no such job\n", 0});
    }
    case Call::Kind::settle: {
      const auto stored = job ? std::nullopt : store_->find(call.key);
      if (!job && !stored) return answer({404, {}, "no such job\n", 0});
      if (stored) {
        auto [one, face] = read_meta(*stored);
        if (lease::settle(one, now(), call.as_finished, call.who, call.why)) {
          store_->append({{call.key, meta_of(one, face), store::Standing::closed, one.changed, {}, {}}});
          core::log_line("jobs: " + call.key + " was " + one.why + "; now " + lease::name_of(one.state));
          return answer({200, lease::name_of(one.state), "settled\n", 0});
        }
      }
      return answer({409, {}, "only a job in doubt can be settled\n", 0});
    }
  }
}

void Keeper::handle_put(Call& call) {
  Order& order = call.order;
  const auto answer = [&](Reply reply) { replies_.emplace_back(std::move(call.reply), std::move(reply)); };
  const std::string digest = digest_of(order);
  const auto repeat = repeat_of(order.query.class_name);
  if (!repeat) return answer({400, {}, "unknown class\n", 0});
  if (const Job* job = table_.find(call.key)) {
    Live& live = live_.at(call.key);
    if (live.face.digest != digest) return answer({409, {}, "this key has another job\n", 0});
    if (lease::is_final(job->state)) return answer(reply_of(*job, live.face, live.result));
    if (live.acknowledged) return answer({202, lease::name_of(job->state), {}, 0});
    live.putters.push_back(std::move(call.reply));
    return;
  }
  std::uint64_t epoch = 0;
  if (const auto stored = store_->find(call.key)) {
    const auto [job, face] = read_meta(*stored);
    if (face.digest != digest) return answer({409, {}, "this key has another job\n", 0});
    if (job.state != State::refused) return answer(stored_reply(*stored));
    epoch = job.epoch;
  }
  const auto refuse = [&](const char* why) {
    counts_.refused += 1;
    answer({503, "refused", why, kBrokenMs});
  };
  if (!taking_) return refuse("clients are sent away\n");
  if (table_.size() >= settings_.most_open) return refuse("too many jobs are open\n");
  // Room for the results of all that are open is held back.
  const std::uint64_t held = (table_.size() + 1) * (kRecordBytes + kResultBytes);
  if (bytes_used_ + order.body.size() + held > settings_.store.most_bytes)
    return refuse("the store is full\n");
  const double left = order.query.deadline - clock_.now();
  const double deadline = now() + left - std::min(settings_.early_ms, left * kEarlyShare);
  Live& live = live_[call.key];
  live.face = {order.query.class_name, digest, order.target, order.fields, order.query.slots,
               order.query.cost_ms,    0};
  live.content = std::make_shared<Content>(Content{order.target, order.fields, std::move(order.body)});
  live.putters.push_back(std::move(call.reply));
  feed(lease::Take{call.key, *repeat, deadline, epoch});
}

// From the loop and the links ------------------------------------------------------------------------------

Keeper::Live* Keeper::live_of(const core::ExecutionKey& key) {
  const auto found = keys_.find(key.query);
  if (found == keys_.end()) return nullptr;
  const auto live = live_.find(found->second);
  return live != live_.end() && live->second.query == key.query ? &live->second : nullptr;
}

void Keeper::handle(StartAsked& message) {
  message.seen = true;
  Live* live = live_of(message.execution.key);
  const auto moot = [&] {
    inbox_.put(core::ExecutionEnded{message.execution.key, Status::moot, {}, false, false});
  };
  if (!live) return moot();
  unsend(*live);
  const std::string worker = message.execution.worker;
  const bool can_answer = answers(worker);
  const auto ledger = ledgers_.find(worker);
  if (can_answer && ledger == ledgers_.end()) asker_.ask(worker, {}, 0);
  const std::string key = keys_.at(message.execution.key.query);
  live->chosen = std::move(message.execution);
  feed(lease::Chosen{key, worker, ledger == ledgers_.end() ? "" : ledger->second, can_answer});
}

void Keeper::handle(CancelAsked& message) {
  Live* live = live_of(message.key);
  if (live && live->chosen && live->chosen->key == message.key)
    unsend(*live);
  else
    next_.cancel(message.key);
}

void Keeper::handle(HeardOf& message) {
  if (Live* live = live_of(message.key); live && live->out == message.key)
    feed(lease::Heard{keys_.at(message.key.query), live->out_epoch});
}

void Keeper::handle(EndedOf& message) {
  Live* live = live_of(message.key);
  if (!live || live->out != message.key) return;
  live->out.reset();
  out_count_ -= 1;
  const lease::End end = message.status == Status::ok               ? lease::End::done
                         : woadtide::proves_not_run(message.status) ? lease::End::not_run
                         : message.told                             ? lease::End::failed
                                                                    : lease::End::unknown;
  const std::string key = keys_.at(message.key.query);
  if (end == lease::End::done) live->result = message.result;
  feed(lease::Ended{key, live->out_epoch, end});
}

void Keeper::handle(SettledOf& message) {
  const auto found = keys_.find(message.query);
  if (found == keys_.end()) return;
  const std::string key = found->second;
  const auto at = live_.find(key);
  if (at == live_.end() || at->second.query != message.query) return;
  Live& live = at->second;
  live.query_asker.reset();
  if (live.paced && handed_in_ > 0) handed_in_ -= 1;
  if (message.answer.kind == core::AnswerKind::served) return;
  const Job* job = table_.find(key);
  const bool refused = message.answer.kind == core::AnswerKind::refused;
  live.face.retry_after_ms = message.answer.retry_after_ms;
  // Once a client was told 202 it is ours to bring home: it is handed in again when the module says, as long
  // as it has time. Its client reads `taken` meanwhile, and may withdraw it.
  const double again = std::max(message.answer.retry_after_ms, kAgainMs);
  if (refused && live.acknowledged && job && job->state == State::taken && now() + again < job->deadline) {
    retract(live);
    live.paced = true;
    backlog_.emplace(now() + again, key);
    return;
  }
  feed(lease::GivenUp{key, refused});
}

void Keeper::handle(Word& message) {
  if (!message.ledger.empty()) ledgers_[message.worker] = message.ledger;
  if (message.key.empty()) return;
  const auto live = live_.find(message.key);
  if (live == live_.end()) return;
  const Job* job = table_.find(message.key);
  if (job && job->epoch == message.epoch && message.says == lease::Says::finished)
    live->second.result = message.result;
  feed(lease::Answered{message.key, message.epoch, message.says, message.ledger});
}

// What the core wants --------------------------------------------------------------------------------------

void Keeper::carry_out(const lease::Effect& effect) {
  std::visit([this](const auto& one) { act(one); }, effect);
}

void Keeper::act(const lease::Dispatch& effect) {
  const auto live = live_.find(effect.key);
  if (live == live_.end()) return;
  if (!live->second.paced) return hand_in(effect.key);
  backlog_.emplace(now(), effect.key);
}

void Keeper::next_of_backlog() {
  while (!backlog_.empty() && backlog_.begin()->first <= now() && handed_in_ < kHandedIn) {
    const std::string key = backlog_.begin()->second;
    backlog_.erase(backlog_.begin());
    const Job* job = table_.find(key);
    const auto live = live_.find(key);
    if (!job || live == live_.end() || job->state != State::taken) continue;
    handed_in_ += 1;
    hand_in(key);
  }
}

void Keeper::hand_in(const std::string& key) {
  Live& live = live_.at(key);
  const Job* job = table_.find(key);
  if (!job) return;
  retract(live);
  if (!live.content)
    live.content = std::make_shared<Content>(
        Content{live.face.target, live.face.fields, store_->body(key).value_or("")});
  keys_.erase(live.query);
  live.query = key + nonce_ + std::to_string(++counter_);
  live.query_asker = std::make_shared<QueryAsker>(*this, live.query);
  keys_[live.query] = key;
  core::Query query;
  query.id = live.query;
  query.class_name = live.face.class_name;
  query.slots = live.face.slots;
  query.cost_ms = live.face.cost_ms;
  query.deadline = job->deadline - ahead_ms_;
  query.parcel = {live.content, "POST", live.content->target, live.content->fields, {live.content->body}};
  inbox_.put(core::QueryArrived{std::move(query), live.query_asker});
}

void Keeper::act(const lease::Start& effect) {
  const auto found = live_.find(effect.key);
  if (found == live_.end() || !found->second.chosen) return;
  Live& live = found->second;
  core::Execution execution = std::move(*live.chosen);
  live.chosen.reset();
  if (live.out) next_.cancel(*live.out);  // of a safe job, whose lease has just ended
  if (!live.out) out_count_ += 1;
  live.out = execution.key;
  live.out_epoch = effect.epoch;
  const auto leased = std::make_shared<std::pair<std::shared_ptr<const void>, std::string>>();
  leased->first = execution.parcel.hold;
  leased->second = std::string(execution.parcel.fields) + "X-Call-Id: " + execution.key.query +
                   "\r\nX-Job-Key: " + effect.key + "\r\nX-Job-Epoch: " + std::to_string(effect.epoch) +
                   "\r\nX-Job-Lease: " + std::to_string(static_cast<long long>(settings_.lease.lease_ms)) +
                   "m\r\n";
  execution.parcel.fields = leased->second;
  execution.parcel.hold = leased;
  next_.start(std::move(execution));
  live.content.reset();  // the disk has it: open jobs must not fill the memory with bodies
  if (!live.acknowledged) counts_.taken += 1;
  live.acknowledged = true;
  for (auto& putter : live.putters) putter.set_value({202, "leased", {}, 0});
  live.putters.clear();
}

void Keeper::act(const lease::Unsend& effect) {
  if (const auto live = live_.find(effect.key); live != live_.end()) unsend(live->second);
}

// Nothing of it went out, and the module hears so.
void Keeper::unsend(Live& live) {
  if (!live.chosen) return;
  inbox_.put(core::ExecutionEnded{live.chosen->key, Status::moot, {}, false, false});
  live.chosen.reset();
}

void Keeper::act(const lease::Retract& effect) {
  if (const auto live = live_.find(effect.key); live != live_.end()) retract(live->second);
}

void Keeper::retract(Live& live) {
  unsend(live);
  if (live.query_asker) inbox_.put(core::ClientGone{live.query, live.query_asker});
  if (live.query_asker && live.paced && handed_in_ > 0) handed_in_ -= 1;
  live.query_asker.reset();
}

void Keeper::act(const lease::Ask& effect) { asker_.ask(effect.worker, effect.key, effect.epoch); }

void Keeper::act(const lease::Tell& effect) {
  const Job* job = table_.find(effect.key);
  const auto found = live_.find(effect.key);
  if (!job || found == live_.end()) return;
  Live& live = found->second;
  retract(live);
  if (live.out) out_count_ -= 1;
  (job->state == State::finished   ? counts_.finished
   : job->state == State::refused  ? counts_.refused
   : job->state == State::in_doubt ? counts_.in_doubt
                                   : counts_.failed) += 1;
  if (job->state == State::in_doubt)
    core::log_line("jobs: " + effect.key + " is in doubt at " + job->worker + ": " + job->why);
  const Reply reply = reply_of(*job, live.face, live.result);
  // A PUT that is refused was taken by nobody; any other end of it came within its own call.
  for (auto& putter : live.putters) putter.set_value(reply);
  answer_waiters(effect.key, reply);
  keys_.erase(live.query);
  live_.erase(found);
  table_.forget(effect.key);
}

// Answers --------------------------------------------------------------------------------------------------

Reply Keeper::reply_of(const Job& job, const Face& face, const std::optional<std::string>& result) {
  const std::string state = lease::name_of(job.state);
  switch (job.state) {
    case State::finished:
      return {200, state, result.value_or(""), 0};
    case State::failed:
    case State::in_doubt:
      return {502, state, job.why + '\n', 0};
    case State::refused:
      return {503, state, job.why + '\n', face.retry_after_ms};
    default:
      return {202, state, {}, 0};
  }
}

Reply Keeper::stored_reply(const store::Record& record) {
  const auto [job, face] = read_meta(record);
  return reply_of(job, face, job.state == State::finished ? store_->result(record.key) : std::nullopt);
}

void Keeper::answer_waiters(const std::string& key, const Reply& reply) {
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const auto next = std::next(waiter);
    if (waiter->key == key) {
      waiter->reply.set_value(reply);
      waiters_.erase(waiter);
    }
    waiter = next;
  }
}

void Keeper::time_out_waiters() {
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const auto next = std::next(waiter);
    if (waiter->until <= clock_.now()) {
      const Job* job = table_.find(waiter->key);
      replies_.emplace_back(std::move(waiter->reply),
                            Reply{202, job ? lease::name_of(job->state) : "", {}, 0});
      waiters_.erase(waiter);
    }
    waiter = next;
  }
}

// Records --------------------------------------------------------------------------------------------------

store::Record Keeper::record_of(const std::string& key) {
  const Job& job = *table_.find(key);
  const Live& live = live_.at(key);
  store::Record record{key, meta_of(job, live.face), store::Standing::open, job.changed, {}, {}};
  if (job.state == State::in_doubt)
    record.standing = store::Standing::kept;
  else if (lease::is_final(job.state))
    record.standing = store::Standing::closed;
  if (!live.body_written && live.content) record.body = live.content->body;
  if (job.state == State::finished) record.result = live.result.value_or("");
  return record;
}

std::string Keeper::meta_of(const Job& job, const Face& face) const {
  json object = {{"key", job.key},
                 {"state", lease::name_of(job.state)},
                 {"once", job.repeat == lease::Repeat::once},
                 {"class", face.class_name},
                 {"deadline", job.deadline},
                 {"epoch", job.epoch},
                 {"worker", job.worker},
                 {"ledger", job.ledger},
                 {"answers", job.answers},
                 {"changed", job.changed},
                 {"why", job.why},
                 {"digest", face.digest},
                 {"target", face.target},
                 {"fields", face.fields},
                 {"slots", face.slots},
                 {"retry", face.retry_after_ms}};
  if (face.cost_ms) object["cost"] = *face.cost_ms;
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::pair<Job, Keeper::Face> Keeper::read_meta(const store::Record& record) {
  try {
    const json object = json::parse(record.meta);
    Job job;
    job.key = record.key;
    job.state = lease::state_of(object.at("state")).value();
    job.repeat = object.at("once").get<bool>() ? lease::Repeat::once : lease::Repeat::safe;
    job.deadline = object.at("deadline");
    job.epoch = object.at("epoch");
    job.worker = object.at("worker");
    job.ledger = object.at("ledger");
    job.answers = object.at("answers");
    job.changed = object.at("changed");
    job.why = object.at("why");
    Face face{object.at("class"), object.at("digest"), object.at("target"), object.at("fields"),
              object.at("slots"), std::nullopt,        object.at("retry")};
    if (object.contains("cost")) face.cost_ms = object["cost"].get<double>();
    return {std::move(job), std::move(face)};
  } catch (const std::exception&) {
    throw store::Failed(store::Trouble::damaged,
                        "store: damaged: the record of '" + record.key + "' cannot be read");
  }
}

std::optional<lease::Repeat> Keeper::repeat_of(const std::string& class_name) const {
  const auto found = repeats_.find(class_name);
  if (found == repeats_.end()) return std::nullopt;
  return found->second;
}

bool Keeper::answers(const std::string& worker) const {
  return settings_.answering.contains("*") || settings_.answering.contains(asker_.kind_of(worker));
}

// Old jobs go, a bounded number in each commit of its own.
void Keeper::tidy() {
  if (clock_.now() < tidy_at_) return;
  const auto done = store_->compact(now() - settings_.keep_ms, kTidyRecords);
  bytes_used_ = store_->bytes_used();
  tidy_at_ = clock_.now() + (done.dropped == kTidyRecords ? kTidyMs / 10 : kTidyMs);
}

void Keeper::report() {
  if (clock_.now() < report_at_) return;
  report_at_ = clock_.now() + kReportMs;
  const Counts counts = std::exchange(counts_, {});
  if (counts.taken + counts.refused + counts.commits == 0) return;
  const auto text = [](const char* name, std::uint64_t value) { return name + std::to_string(value); };
  core::log_line("jobs: figures:" + text(" taken ", counts.taken) + text(" refused ", counts.refused) +
                 text(" finished ", counts.finished) + text(" failed ", counts.failed) +
                 text(" in-doubt ", counts.in_doubt) + text(" open ", table_.size()) +
                 text(" commits ", counts.commits) + text(" records ", counts.records) +
                 text(" bytes ", bytes_used_));
}

}  // namespace woadtide::jobs
