// The interface of this module is include/woadtide/balance.hpp.
#include "woadtide/balance.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <utility>

#include "numbers.hpp"
#include "subscription/list_subscription.hpp"

namespace woadtide {
namespace {

constexpr Micros kInterval = std::chrono::seconds(3);  // the PAPER's gap between two updates of a limit
constexpr double kBackoffRatio = 0.7;  // a limit's cut; with +1 a step it finds its level in a few steps
constexpr double kMinLimit = 1, kMaxLimit = 64;  // a worker is never shut off; nothing tests growth for ever
constexpr double kFirstShare = 8;  // slots at a worker that all dispatchers share out as their first limits
constexpr std::size_t kFullSample = 20;                // below this many a p95 is the maximum
constexpr int kFewestSamples = 5, kMostIntervals = 3;  // fewer wait for the next interval, up to so many
constexpr double kSmoothing = 0.2;                     // weight of a new observation in a running mean
constexpr Micros kFirstBar = kInterval / 3;        // how long a worker is left alone after its first failure
constexpr int kFewestFailures = 2, kMostBars = 4;  // in a row, to leave a worker alone; its doublings
constexpr int kReports = 8, kSilent = 6;       // for a kind's cores; connects that fail where none succeeds
constexpr Micros kOvertaken = kInterval / 60;  // later jobs may start before by less, on their way there
constexpr double kJitter = 0.25;               // spread of waits, so that dispatchers do not act in step
constexpr Micros kWaitMemory = 3 * kInterval;  // fades a wait: one of many dispatchers sees few at a worker
constexpr double kWaitWeight = 2;   // a wait seen is mostly the work of peers, which nothing else shows
constexpr double kPickNoise = 0.1;  // spread of pick scores: peers with the same news part ways
constexpr double kSameDraw = 0.8;   // of a draw: each compares much the same workers, over links that it has
constexpr double kWorthier = 2;     // slots over the shared limit that a job of far more worth may go
constexpr double kComparers = 16;   // dispatchers that compare the same worker at once, on average
constexpr double kSharedCut = 0.35, kSharedRise = 0.19;  // slots, for each late start and each in time
constexpr double kTurnMargin = 0.5;  // of what a cold worker stands: jobs are uneven and turns may touch
constexpr double kMoveShare = 0.2;   // moves for a request: where cancelled jobs run on they add load
constexpr double kCrossing = 3;      // a crossing's price, as late shares of a job's threshold

struct Limiter {
  double limit = kMinLimit;    // AIMD: in slots
  std::vector<double> ratios;  // latency over threshold, since the last judged window
  bool timeout_seen = false;
};

struct Kind {
  double pace = 0, cores = 1, told = 0, reports = 0;  // of workers alike; told: cores by their reports
};

// Of one class at one worker: a worker may fail or hang for some of what it gets and serve the rest well.
struct Health {
  int failures = 0, jobs = 0;  // since the last good answer; attempts of ours out
  Micros barred_until{0};
  int bars = 0, trial_left = 0;  // failures that led to a bar, in a row; good answers wanted for trust
  bool mute = false;             // a job of ours should have started and did not
};

// An attempt that we wait for no more, still on its worker's slots: a cancel or a time-out stops nothing.
struct Leftover {
  Micros until{0}, work{0};  // until: when it should be done
};

struct Worker {
  ListEntry entry;
  Kind* kind = nullptr;
  double* usual_wait = nullptr;  // of its kind in its zone
  int jobs = 0;                  // attempts of ours out, with their slots and hinted work
  double slots = 0, running = 0;
  Micros work{0};
  std::vector<Leftover> left;
  Limiter limiter;
  double peers = kMaxLimit;  // jobs of others there by its reports, on average; untold: it is full
  int intervals = 0, link_failures = 0;  // that its window has been open; since its last good answer
  bool thin = true;            // too few answers to judge it alone; a cold one's turns limit it already
  double pace = 0;             // running time over hinted; 0: not seen yet
  Micros wait{0}, wait_at{0};  // recent wait in the queue, and as of when
  std::vector<Health> health;  // by class
  Micros full_until{0};
  std::optional<Micros> cold_since;
  double last_cycle = -1, next_cycle = -1;  // of its dispatchers' turns: where ours is spent, and is on
};

struct Ban {
  Micros since{0};
  std::optional<Micros> over;  // called back, but the list did not name it then
};

struct Attempt {
  std::string worker;
  Micros sent{0};
  std::optional<Micros> began;
  bool out = true, counted = false;  // counted: by the shared limit
};

struct Job {
  Request request;
  Micros deadline{0}, work{0}, threshold{0};  // work: the hint, or what its class usually takes
  std::vector<Attempt> attempts;
  bool finished = false;
  double luck = 0;                     // by a draw it keeps a limit that is no whole number on average
  std::optional<Micros> may_have_run;  // send time of the first attempt that may have run
  ListEntry ran_at;
};

}  // namespace

class Dispatcher::State {
 public:
  State(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed), subscription_(settings_) {
    check(settings_);
    for (const ClassSettings& kind : settings_.classes) least_worth_ = std::min(least_worth_, kind.worth);
    class_work_.assign(settings_.classes.size(), Micros{0});
    // Where starts are not told an answer may be late by its own running: a limit keeps a share of the first.
    if (!settings_.tells_start) least_limit_ = std::max(kMinLimit, kFirstShare / settings_.dispatchers);
  }

  void begin(Micros now, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    if (std::exchange(started_, true)) return;
    set_timer("limits", scaled(kInterval, uniform(0.5, 1)));
    if (settings_.list_on_request) ask_in(subscription_.begin(now, uniform(0, 1)));
  }

  void on(const ListUpdate& update) {
    if (update.kind == ListKind::failed)
      return ask_in(subscription_.on_failure(now_, update.as_of, uniform(0, 1)));
    if (update.kind == ListKind::interrupted) return subscription_.on_interruption(now_, update.as_of);
    update.kind == ListKind::remembered ? subscription_.on_remembered_list(update.as_of)
                                        : subscription_.on_list(now_);
    if (update.kind != ListKind::changes)
      for (auto& [name, worker] : workers_) worker.entry.state = WorkerState::gone;
    for (const ListEntry& entry : update.entries) list_worker(entry);
    if (update.kind != ListKind::changes)
      for (auto item = workers_.begin(); item != workers_.end();) drop_if_gone(item++);
  }

  void drop_if_gone(std::map<std::string, Worker>::iterator item) {
    if (item->second.entry.state == WorkerState::gone && item->second.jobs == 0) workers_.erase(item);
  }

  void list_worker(const ListEntry& entry) {
    const auto [item, is_new] = workers_.try_emplace(entry.worker);
    Worker& worker = item->second;
    if (is_new) worker.limiter.limit = first_limit(), worker.health.resize(settings_.classes.size());
    const bool restarted = entry.started && entry.started != worker.entry.started;
    worker.entry = entry;
    worker.kind = &kinds_[entry.kind];
    worker.usual_wait = &usual_wait_[{entry.zone, entry.kind}];
    // One that lies ahead of this clock was told by another: it is over by now.
    if (restarted && entry.state == WorkerState::ready) start_cold(worker, std::min(*entry.started, now_));
    take_back(worker);
    drop_if_gone(item);
  }

  void on(const Exclude& call) { bans_.try_emplace(call.worker, Ban{now_, {}}).first->second.over.reset(); }

  void on(const Include& call) {
    if (const auto ban = bans_.find(call.worker); ban != bans_.end()) ban->second.over = now_;
    if (const auto known = workers_.find(call.worker); known != workers_.end()) take_back(known->second);
  }

  void take_back(Worker& worker) {
    const auto ban = bans_.find(worker.entry.worker);
    if (ban == bans_.end() || !ban->second.over) return;
    for (Health& one : worker.health) one = {.jobs = one.jobs};
    worker.link_failures = 0;
    const Micros told = worker.entry.started.value_or(Micros{0});
    start_cold(worker, told > ban->second.since ? told : *ban->second.over);
    bans_.erase(ban);
  }

  bool is_out(const std::string& worker) const { return bans_.contains(worker) && !bans_.at(worker).over; }

  Census census(Micros now) const {
    Census seen;
    for (const auto& [name, worker] : workers_) {
      if (worker.entry.state == WorkerState::gone) continue;
      const auto avoids = [&](const Health& one) { return one.mute || now < one.barred_until; };
      seen.listed += 1;
      seen.avoided += is_out(name) || std::all_of(worker.health.begin(), worker.health.end(), avoids);
    }
    return seen;
  }

  bool knows(const std::string& worker) const { return workers_.contains(worker) || bans_.contains(worker); }

  double first_limit() const { return std::max(std::floor(kFirstShare / settings_.dispatchers), 2.0); }

  void ask_for_list() {
    actions_->push_back(Watch{});
    ask_in(subscription_.on_call(now_, uniform(0, 1)));
  }

  // Timers can't be called back: only the newest counts, or each failed call would leave one more behind.
  void ask_in(Micros wait) {
    ask_at_ = now_ + wait;
    wait.count() > 0 ? set_timer("ask", wait) : ask_for_list();
  }

  // AIMD limiter: the PAPER's, over our own slots and latencies at each worker --------------------------

  void update_limits() {
    // A job that is out past its threshold is a slow one already: waiting for its end would tell too late.
    for (auto& [id, job] : jobs_)
      for (Attempt& attempt : job.attempts)
        if (const Micros age = now_ - attempt.sent; attempt.out && age > job.threshold)
          count(workers_.at(attempt.worker), attempt, ratio(age, job.threshold));
    for (auto& [name, worker] : workers_) judge(worker);
    set_timer("limits", kInterval);
  }

  void judge(Worker& worker) {
    Limiter& own = worker.limiter;
    const bool filled = std::ssize(own.ratios) >= kFewestSamples;
    if (!filled && !own.timeout_seen && ++worker.intervals < kMostIntervals) return;
    worker.thin = !filled;
    if (filled || own.timeout_seen) update_limit(own, worker.slots);
    own.ratios.clear();
    worker.intervals = 0;
  }

  static bool is_thin(const Worker& worker) { return worker.thin && !worker.cold_since; }

  // One of many dispatchers has an answer from a given worker once in minutes: what is too thin is judged
  // together, and as it comes, by its wait already, so that all still refuse when hundreds overfill a fleet.
  // A worker that has a slot free was not late for want of it.
  void count(Worker& worker, Attempt& attempt, double late, bool idle = false) {
    worker.limiter.ratios.push_back(late);
    count_shared(worker, attempt, late > 1 && !idle);
  }

  // A few stuck jobs would outweigh all that go well: each attempt counts once.
  void count_shared(const Worker& worker, Attempt& attempt, bool late) {
    if (std::exchange(attempt.counted, true) || !is_thin(worker)) return;
    const double out = slots_out(true), step = std::min(shared_limit_, 1.0);
    shared_used_ = std::max(out, 0.9 * shared_used_);
    if (late) shared_limit_ = std::min(shared_limit_, shared_used_) - kSharedCut * step;
    if (!late && 2 * out >= shared_limit_) shared_limit_ += kSharedRise * step;
    shared_limit_ = std::clamp(shared_limit_, 3 * kFirstShare / settings_.dispatchers, kMaxLimit);
  }

  void update_limit(Limiter& own, double slots) {
    if (own.timeout_seen || quantile(own.ratios, 0.95, kFullSample) > 1)
      own.limit = std::floor(own.limit * kBackoffRatio);
    else if (slots * 2 >= own.limit)
      own.limit += 1;
    own.limit = std::clamp(own.limit, least_limit_, kMaxLimit);
    own.timeout_seen = false;
  }

  void on(const Request& request) {
    if (request.class_index >= settings_.classes.size() || jobs_.contains(request.id)) return;
    const ClassSettings& kind = settings_.classes[request.class_index];
    Job job;
    job.request = request;
    job.deadline = now_ + request.time_left;
    job.work = request.hint.value_or(class_work_[request.class_index]);
    job.threshold = kind.aim ? *kind.aim + scaled(job.work, kind.stretch) : kind.deadline / 2;
    job.threshold = std::min(job.threshold, kind.deadline);
    job.luck = uniform(0, 1) + kWorthier * (1 - least_worth_ / std::max({kind.worth, least_worth_, 1e-9}));
    mean_load_ += kSmoothing * (load_of(job) - mean_load_);
    moves_left_ = std::min(moves_left_ + kMoveShare, 1 / kMoveShare);
    const auto placed = jobs_.emplace(request.id, std::move(job)).first;
    dispatch(placed->second);
    drop_if_over(placed);
  }

  bool admits(const Worker& worker, const Job& job) const {
    if (is_thin(worker) && shared_slots_ + job.request.slots - job.luck > shared_limit_) return false;
    // A core that stands idle is no overload, whatever late answers say.
    const double idle = worker.cold_since ? 0 : worker.kind->cores - worker.peers;
    return worker.jobs == 0 || worker.slots + job.request.slots <= std::max(idle, worker.limiter.limit);
  }

  bool may_take(const Worker& worker, const Job& job) const {
    const ClassSettings& kind = class_of(job);
    if (worker.entry.state != WorkerState::ready || is_out(worker.entry.worker)) return false;
    if (!kind.kind.empty() && kind.kind != worker.entry.kind) return false;
    if (kind.effect == Effect::keyed && job.may_have_run) {
      if (kind.group == Group::zone && worker.entry.zone != job.ran_at.zone) return false;
      if (kind.group == Group::cell && worker.entry.cell != job.ran_at.cell) return false;
    }
    return std::none_of(job.attempts.begin(), job.attempts.end(),
                        [&](const Attempt& a) { return a.worker == worker.entry.worker; });
  }

  // Many that know little would all see the same worker as best: each compares a few, drawn by listed size.
  Worker* pick(const Job& job) {
    std::vector<std::pair<double, Worker*>> found;
    int best_rank = 1;
    if (!subscription_.is_list_in_force(now_)) return nullptr;
    const bool use_barred = nearly_all_barred(job);
    shared_slots_ = slots_out(true);
    for (auto& [name, worker] : workers_) {
      std::erase_if(worker.left, [this](const Leftover& left) { return left.until <= now_; });
      if (!may_take(worker, job) || !admits(worker, job)) continue;
      const std::optional<int> rank = rank_of(worker, job, use_barred);
      if (!rank || *rank > best_rank) continue;
      if (*rank < best_rank) found.clear(), best_rank = *rank;
      const double draw = -std::log(draw_of(name, settings_.number) * uniform(kSameDraw, 1)) *
                          pace_of(worker) / std::max(worker.entry.weight, 0.1);
      // A turn at a cold worker is soon over: it comes before all draws, or few turns were ever used.
      found.emplace_back(worker.cold_since ? -1 / draw : draw, &worker);
    }
    const auto abroad = std::partition(found.begin(), found.end(), [this](const auto& item) {
      return item.second->entry.zone == settings_.zone;
    });
    Worker* best = nullptr;
    double least = 0;
    for (auto [from, to] : {std::pair{found.begin(), abroad}, std::pair{abroad, found.end()}}) {
      const auto last = from + compared(to - from);
      std::nth_element(from, last, to);
      for (; from != last; ++from) {
        const double ahead = work_ahead(*from->second, job);
        if (!best || ahead < least) best = from->second, least = ahead;
      }
    }
    return best;
  }

  std::ptrdiff_t compared(std::ptrdiff_t count) const {
    const double share = std::ceil(static_cast<double>(count) * kComparers / settings_.dispatchers);
    return std::min(count, std::max<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(share)));
  }

  // 0: the ordinary path. 1: on trial, for jobs that must not fail.
  std::optional<int> rank_of(Worker& worker, const Job& job, bool use_barred) {
    if (now_ < worker.full_until) return std::nullopt;
    const Health& health = health_of(worker, job);
    if ((health.mute || now_ < health.barred_until) && !use_barred) return std::nullopt;
    if (worker.cold_since && !cold_turn(worker, job)) return std::nullopt;
    if (health.trial_left == 0) return 0;
    if (health.jobs > 0 && !use_barred) return std::nullopt;
    return class_of(job).effect == Effect::unsafe ? 1 : 0;
  }

  // Our outstanding hinted work there with this job, at the pace seen there, and what the queue lately cost.
  double work_ahead(const Worker& worker, const Job& job) {
    const double away = worker.entry.zone == settings_.zone ? 0 : settings_.cross_zone_price * kCrossing;
    Micros work = worker.work + job.work;
    for (const Leftover& left : worker.left) work += left.work;
    const double ours = seconds(work) * pace_of(worker);
    const double ahead = ours + kWaitWeight * expected_wait(worker) + away * seconds(job.threshold);
    return ahead * uniform(1 - kPickNoise, 1 + kPickNoise);
  }

  double expected_wait(const Worker& worker) const {
    const double usual = worker.cold_since ? 0 : *worker.usual_wait;  // few get turns: it has no queue
    return usual + faded(seconds(worker.wait) - usual, now_ - worker.wait_at, kWaitMemory);
  }

  double pace_of(const Worker& worker) const {
    if (worker.cold_since) return usual_pace(worker) / warm_share(worker);
    return worker.pace > 0 ? worker.pace : usual_pace(worker);
  }

  double usual_pace(const Worker& worker) const { return worker.kind->pace > 0 ? worker.kind->pace : 1; }

  void dispatch(Job& job) {
    const bool time_left = now_ + settings_.tick < job.deadline;
    Worker* worker = time_left && tries_left(job) && may_send(job) ? pick(job) : nullptr;
    if (worker && (job.attempts.empty() || !hopeless(job, *worker))) return send(job, *worker);
    answer(job);
  }

  const ClassSettings& class_of(const Job& job) const { return settings_.classes[job.request.class_index]; }

  bool tries_left(const Job& job) const { return std::ssize(job.attempts) < settings_.max_attempts; }

  // An attempt that may have run bars an unsafe job from another, a keyed one after its window.
  bool may_send(const Job& job) const {
    const ClassSettings& kind = class_of(job);
    if (!job.may_have_run || kind.effect == Effect::safe) return true;
    return kind.effect == Effect::keyed && now_ + settings_.tick < *job.may_have_run + kind.window;
  }

  bool may_refuse(const Job& job) const {
    const ClassSettings& kind = class_of(job);
    const bool any_repeats = kind.effect == Effect::keyed && kind.group == Group::all;
    return !job.may_have_run || kind.effect == Effect::safe || any_repeats;
  }

  void send(Job& job, Worker& worker) {
    worker.jobs += 1;
    health_of(worker, job).jobs += 1;
    worker.slots += job.request.slots;
    worker.work += job.work;
    worker.last_cycle = worker.next_cycle;
    job.attempts.push_back({worker.entry.worker, now_, std::nullopt, true});
    const bool repeats = class_of(job).effect == Effect::keyed && job.may_have_run;
    const Micros not_after = repeats ? *job.may_have_run + class_of(job).window : Micros{0};
    actions_->push_back(Send{job.request.id, worker.entry.worker, Micros{0}, not_after});
    if (!settings_.tells_start) return;
    const double patience = std::max(2 * expected_wait(worker), seconds(job.threshold) / 4);
    set_timer("start " + std::to_string(job.attempts.size() - 1) + ' ' + job.request.id,
              seconds_span(patience));
  }

  void answer(Job& job) {
    job.finished = true;
    if (!may_refuse(job)) return actions_->push_back(Fail{job.request.id});
    const Micros wait = std::min(scaled(job.threshold / 4, spread()), settings_.max_retry_after);
    actions_->push_back(Refuse{job.request.id, wait});
  }

  void on(const Outcome& outcome) {
    const auto [found, attempt] = find_out(outcome.id, outcome.attempt);
    if (!attempt) return;
    Job& job = found->second;
    const auto item = workers_.find(attempt->worker);
    Worker& worker = item->second;
    attempt->out = false;
    worker.jobs -= 1;
    worker.slots = worker.jobs == 0 ? 0 : worker.slots - job.request.slots;
    worker.work -= job.work;
    if (attempt->began) worker.running = worker.jobs == 0 ? 0 : worker.running - job.request.slots;
    if (outcome.status == Status::cancelled || outcome.status == Status::timeout)
      leave(worker, job, *attempt);
    observe(worker, job, *attempt, outcome.status, outcome.load && outcome.load->free_slots.value_or(0) >= 1);
    if (outcome.load) hear(worker, *outcome.load);
    if (Health& health = health_of(worker, job); --health.jobs == 0) health.mute = false;
    if (!proves_not_run(outcome.status) && !job.may_have_run)
      job.may_have_run = attempt->sent, job.ran_at = worker.entry;
    if (outcome.closed || outcome.status == Status::ok) job.finished = true;
    if (!job.finished) dispatch(job);
    drop_if_over(found);
    drop_if_gone(item);
  }

  void leave(Worker& worker, const Job& job, const Attempt& attempt) const {
    if (health_of(worker, job).mute) return;
    const Micros begin = attempt.began.value_or(now_ + seconds_span(expected_wait(worker)));
    const Micros end = begin + seconds_span(seconds(job.work) * pace_of(worker));
    if (end > now_) worker.left.push_back({end, job.work});
  }

  std::pair<std::map<std::string, Job>::iterator, Attempt*> find_out(const std::string& id, int number) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || number < 0) return {found, nullptr};
    std::vector<Attempt>& attempts = found->second.attempts;
    const auto place = static_cast<std::size_t>(number);
    return {found, place < attempts.size() && attempts[place].out ? &attempts[place] : nullptr};
  }

  void on(const RequestGone& gone) {
    const auto found = jobs_.find(gone.id);
    if (found == jobs_.end()) return;
    found->second.finished = true;
    drop_if_over(found);
  }

  void drop_if_over(std::map<std::string, Job>::iterator item) {
    const auto& attempts = item->second.attempts;
    if (item->second.finished &&
        std::none_of(attempts.begin(), attempts.end(), [](auto& a) { return a.out; }))
      jobs_.erase(item);
  }

  static Health& health_of(Worker& worker, const Job& job) { return worker.health[job.request.class_index]; }

  void on(const JobStarted& note) {
    const auto [found, attempt] = find_out(note.id, note.attempt);
    if (!attempt || attempt->began) return;
    attempt->began = now_;
    Worker& worker = workers_.at(attempt->worker);
    health_of(worker, found->second).mute = false;
    note_wait(worker, now_ - attempt->sent);
    note_link(worker.entry.zone, true);
    const Micros due = now_ - attempt->sent + scaled(found->second.work, pace_of(worker));
    count_shared(worker, *attempt, due > found->second.threshold);
    look_at_overtaken(worker, *attempt);
    worker.running += found->second.request.slots;
    worker.kind->cores = std::max(worker.kind->cores, worker.running);
  }

  // Workers start jobs in order: one sent earlier that has not started is stuck, as what is like it would be.
  void look_at_overtaken(Worker& worker, const Attempt& by) {
    for (auto& [id, job] : jobs_)
      for (std::size_t i = 0; i < job.attempts.size(); ++i) {
        const Attempt& attempt = job.attempts[i];
        if (!attempt.out || attempt.began || attempt.worker != worker.entry.worker) continue;
        if (attempt.sent + kOvertaken >= by.sent) continue;
        health_of(worker, job).mute = true;
        if (!may_move(job, worker)) continue;
        moves_left_ -= 1;
        actions_->push_back(Cancel{id, static_cast<int>(i)});
      }
  }

  void note_wait(Worker& worker, Micros seen) {
    worker.wait = seconds_span((expected_wait(worker) + seconds(seen)) / 2);
    worker.wait_at = now_;
    if (!worker.cold_since) *worker.usual_wait += kSmoothing * (seconds(seen) - *worker.usual_wait);
  }

  // A job that should have started is looked at again: its age is news, and it may yet be in time elsewhere.
  void check_start(const std::string& token) {
    const int number = std::stoi(token.substr(6));
    const auto [found, attempt] = find_out(token.substr(token.find(' ', 6) + 1), number);
    if (!attempt || attempt->began) return;
    const Job& job = found->second;
    Worker& worker = workers_.at(attempt->worker);
    const Micros age = now_ - attempt->sent;
    if (!health_of(worker, job).mute && seconds(age) > expected_wait(worker)) note_wait(worker, age);
    const bool move = may_move(job, worker);
    if (move) moves_left_ -= 1;
    if (move || (settings_.may_cancel && hopeless(job, worker)))
      return actions_->push_back(Cancel{job.request.id, number});
    const double left = slack(job, worker);
    set_timer(token, left > 0 ? std::min(age, seconds_span(left) + settings_.tick) : age);
  }

  double slack(const Job& job, const Worker& worker) const {
    const double since = seconds(now_ - job.deadline + job.request.time_left);
    return seconds(job.threshold) - since - seconds(job.work) * pace_of(worker);
  }

  // A job that can only be late holds up others in the queue: where that earns nothing, it is given up.
  bool hopeless(const Job& job, const Worker& worker) const {
    return class_of(job).late_worth <= 0 && slack(job, worker) <= 0;
  }

  // Only where it would still be in time, and not too often; or to be answered at all, where workers hang.
  bool may_move(const Job& job, const Worker& from) {
    if (!settings_.may_cancel || class_of(job).effect != Effect::safe || job.finished || moves_left_ < 1 ||
        !tries_left(job))
      return false;
    const bool late = slack(job, from) <= 0;
    if (late && !from.health[job.request.class_index].mute) return false;
    const Worker* other = pick(job);
    if (!other) return false;
    const double wait = expected_wait(*other);
    return late ? wait + seconds(job.work) * pace_of(*other) < seconds(job.deadline - now_)
                : wait <= slack(job, *other);
  }

  // One of many sees few of its own jobs run at once: its workers have to tell how many cores a kind has.
  void on(const ProbeResult& told) {
    if (const auto known = workers_.find(told.worker); known != workers_.end())
      hear(known->second, told.load.value_or(LoadReport{}));
  }

  void hear(Worker& worker, const LoadReport& load) {
    if (load.held) worker.peers += kSmoothing * (std::max(0.0, *load.held - worker.jobs - 1) - worker.peers);
    if (!load.free_slots || (load.held && *load.free_slots < 1)) return;  // held ones wait, too, when full
    Kind& kind = *worker.kind;
    // What it has at work is what it serves in a second times how long each takes.
    const double served = load.served_per_s.value_or(0) * load.latency_s.value_or(0);
    const double at_work = load.held.value_or(served - load.queue.value_or(0));
    kind.told += (*load.free_slots + at_work - kind.told) / ++kind.reports;
    kind.cores = std::max({kind.cores, *load.free_slots, kind.reports < kReports ? 1 : kind.told});
  }

  void on(const Sharers& now) { sharers_ = std::max(now.processes, 1); }

  template <class Unused>
  void on(const Unused&) {}

  void observe(Worker& worker, Job& job, Attempt& attempt, Status status, bool idle) {
    if (status == Status::full || status == Status::timeout || status == Status::connect_failed)
      worker.limiter.timeout_seen = true;
    if (status == Status::connect_failed || status == Status::reset) worker.link_failures += 1;
    if (status == Status::connect_failed) note_link(worker.entry.zone, false);
    if (status == Status::full) count_shared(worker, attempt, true);
    // A full worker has the least of our work and would draw every next job before one of its own can end.
    if (status == Status::full) worker.full_until = now_ + scaled(seconds_span(mean_load_), spread());
    if (status == Status::ok) return observe_ok(worker, job, attempt, idle);
    if (status == Status::full || status == Status::moot) return;
    Health& health = health_of(worker, job);
    if (status == Status::cancelled) return health.mute ? bar(worker, health) : void();
    for (Health& one : worker.health) {
      if (&one != &health && status != Status::connect_failed) continue;
      one.failures += status == Status::timeout ? kFewestFailures : 1;
      if (one.failures >= kFewestFailures || one.trial_left > 0) bar(worker, one);
    }
  }

  // Connects that fail all over a zone are a zone that is lost. It comes back cold, before the list says so,
  // and each of many dispatchers would try it with the few jobs that it has: so it gets turns from here on.
  void note_link(const std::string& zone, bool up) {
    const int silent = up ? std::exchange(silence_[zone], 0) : ++silence_[zone];
    if (silent < kSilent) return;
    for (auto& [name, worker] : workers_)
      if (worker.entry.zone == zone) start_cold(worker, now_);
  }

  void observe_ok(Worker& worker, Job& job, Attempt& attempt, bool idle) {
    const Micros latency = now_ - attempt.sent;
    count(worker, attempt, ratio(latency, job.threshold), idle);
    Micros& usual = class_work_[job.request.class_index];
    usual = usual.count() == 0 ? latency : usual + scaled(latency - usual, kSmoothing);
    if (job.work.count() > 0) {
      const double pace = ratio(now_ - attempt.began.value_or(attempt.sent), job.work);
      for (double* mean : {&worker.pace, &worker.kind->pace})
        *mean = *mean > 0 ? *mean + kSmoothing * (pace - *mean) : pace;
    }
    // A run of broken connections that ends in an answer is most likely a restart the list has not told.
    if (worker.link_failures > kFewestFailures && !worker.cold_since) start_cold(worker, now_);
    worker.link_failures = 0;
    if (settings_.may_probe && !worker.cold_since && worker.kind->reports < kReports)
      actions_->push_back(Probe{worker.entry.worker});
    Health& health = health_of(worker, job);
    health.failures = 0;
    if (health.trial_left > 0 && --health.trial_left == 0) health.bars = 0;
  }

  // Cold workers ----------------------------------------------------------------------------------------

  void start_cold(Worker& worker, Micros since) {
    if (settings_.cold_time.count() == 0 || now_ - since >= settings_.cold_time) return;
    worker.cold_since = since;
    worker.limiter = {first_limit(), {}, false};
    worker.pace = 0;
    worker.wait = Micros{0};
    worker.wait_at = now_;
    worker.last_cycle = worker.next_cycle = -1;
  }

  double warm_share(const Worker& worker) const {
    const double age = seconds(now_ - *worker.cold_since) / seconds(settings_.cold_time);
    return settings_.start_capacity + (1 - settings_.start_capacity) * std::clamp(age, 0.0, 1.0);
  }

  // The dispatchers take turns at a cold worker, evenly spaced in their order, and one turn is one job:
  // shares drawn by lot kept the mean but not the sum.
  bool cold_turn(Worker& worker, const Job& job) {
    if (now_ - *worker.cold_since >= settings_.cold_time) return worker.cold_since.reset(), true;
    if (mean_load_ <= 0) return false;
    // Jobs in a span, by what it has for certain: the cores that its kind has shown, at its share.
    const double whole = kTurnMargin * settings_.fall_multiple * seconds(settings_.fall_after) *
                         worker.kind->cores / (mean_load_ * usual_pace(worker) * sharers_);
    const double jobs = std::max(1.0, whole * warm_share(worker));
    if (load_of(job) > mean_load_ * std::sqrt(jobs)) return false;
    const double age = seconds(now_ - *worker.cold_since);
    const double spans =
        age * (settings_.start_capacity + warm_share(worker)) / 2 / seconds(settings_.fall_after);
    const double turn =
        spans * whole - place_in_turn(worker.entry.worker, settings_.number, settings_.dispatchers);
    const double cycle = std::floor(turn / settings_.dispatchers);
    if (turn < 0 || turn - cycle * settings_.dispatchers > jobs) return false;
    return worker.last_cycle != cycle ? worker.next_cycle = cycle, true : false;
  }

  static double load_of(const Job& job) { return seconds(job.work) * job.request.slots; }

  // One that fails looks idle, so least work would feed it: it is left alone, longer each time, then tried.
  void bar(const Worker& worker, Health& health) {
    if (now_ < health.barred_until) return;
    health.bars = std::min(health.bars + 1, kMostBars);
    health.barred_until = now_ + scaled(kFirstBar, spread() * (1 << (health.bars - 1)));
    health.trial_left = 1 << health.bars;
    if (health.bars == 2)
      actions_->push_back(Log{"worker " + worker.entry.worker + " keeps failing: backed off"});
  }

  // When most workers look bad at once the cause is not theirs, and the fleet is used all the same.
  bool nearly_all_barred(const Job& job) const {
    int balance = 0;
    for (const auto& [name, worker] : workers_) {
      const Health& health = worker.health[job.request.class_index];
      if (worker.entry.state == WorkerState::ready)
        balance += health.mute || now_ < health.barred_until ? 1 : -1;
    }
    return balance > 0;
  }

  void on(const TimerFired& timer) {
    if (timer.token.starts_with("start ")) check_start(timer.token);
    if (timer.token == "limits") update_limits();
    if (timer.token == "ask" && !subscription_.is_subscribed() && now_ >= ask_at_) ask_for_list();
  }

  void set_timer(const std::string& token, Micros wait) {
    actions_->push_back(SetTimer{token, now_ + std::max(wait, settings_.tick)});
  }

  double slots_out(bool thin_only) const {
    double sum = 0;
    for (const auto& [name, worker] : workers_) sum += is_thin(worker) || !thin_only ? worker.slots : 0;
    return sum;
  }

 private:
  double uniform(double from, double to) {
    return from + (to - from) * static_cast<double>(random_() >> 11) * 0x1p-53;
  }
  double spread() { return uniform(1 - kJitter, 1 + kJitter); }

  Settings settings_;
  std::mt19937_64 random_;
  Micros now_{0}, ask_at_{0};
  std::vector<Action>* actions_ = nullptr;
  ListSubscription subscription_;
  bool started_ = false;
  int sharers_ = 1;  // processes that take our turns at cold workers
  std::map<std::string, Worker> workers_;
  std::map<std::string, Ban> bans_;  // by worker
  std::map<std::string, Job> jobs_;
  std::vector<Micros> class_work_;  // usual latency of each class, for jobs without a hint
  double moves_left_ = 0, least_limit_ = kMinLimit;
  double shared_limit_ = kMaxLimit, shared_used_ = 0;  // used: a peak that fades
  double least_worth_ = std::numeric_limits<double>::infinity();
  double shared_slots_ = 0;  // slots out under it, as of the last pick
  // Of workers alike, for those we know little of.
  std::map<std::pair<std::string, std::string>, double> usual_wait_;
  std::map<std::string, Kind> kinds_;
  std::map<std::string, int> silence_;  // connects that failed in a zone since a job last started there
  double mean_load_ = 0;                // seconds of hinted work times slots in a usual job
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(settings), seed)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  state_->begin(now, actions);
  std::visit([this](const auto& happened) { state_->on(happened); }, event);
}

bool Dispatcher::knows(const std::string& worker) const { return state_->knows(worker); }

Census Dispatcher::census(Micros now) const { return state_->census(now); }

double Dispatcher::slots_out() const { return state_->slots_out(false); }

}  // namespace woadtide
