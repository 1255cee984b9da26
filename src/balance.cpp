// Implements Dispatcher (include/woadtide/balance.hpp): worker choice, adaptive concurrency limits, retries,
// outlier ejection and the gradual load of workers that have just started.
#include "woadtide/balance.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "estimates/abandoned_attempts.hpp"
#include "estimates/latency_window.hpp"
#include "numbers.hpp"
#include "subscription/list_subscription.hpp"

namespace woadtide {
namespace {

// Time between two updates of the AIMD concurrency limits, from the paper "Adaptive Concurrency Control for
// Mixed Analytical Workloads".
constexpr Micros kLimitUpdateInterval = std::chrono::seconds(3);
// Multiplicative decrease of a limit; with an increase of 1 slot per update it settles within a few updates.
constexpr double kLimitDecreaseFactor = 0.7;
// At least one slot, so that a worker is never shut off; bounded above, as nothing tests unlimited growth.
constexpr double kMinLimitSlots = 1, kMaxLimitSlots = 64;
// Slots at one worker that all dispatchers divide among themselves as their initial limits.
constexpr double kInitialLimitSlotsOfAll = 8;
constexpr std::size_t kMinSamplesForP95 = 20;  // with fewer samples the p95 is their maximum
// A sampling window with fewer samples stays open for another update interval, up to this many.
constexpr std::size_t kMinWindowSamples = 5;
constexpr int kMaxWindowIntervals = 3;
constexpr double kEwmaWeight = 0.2;  // weight of a new observation in an exponential moving average
constexpr Micros kFirstEjectionTime = kLimitUpdateInterval / 3;  // doubles with each further ejection
// Failures in a row that eject a worker, and the ejections in a row after which the time no longer grows.
constexpr int kMinFailuresToEject = 2, kMaxCountedEjections = 4;
constexpr int kMinReportsForCores = 8;         // load reports before their mean counts as the cores of a kind
constexpr int kMinConnectFailuresForZone = 6;  // in a row, with no success, for a zone to count as lost
// Jobs sent at most this much later may start earlier without being out of order: the network reorders them.
constexpr Micros kReorderTolerance = kLimitUpdateInterval / 60;
constexpr double kJitterFraction = 0.25;  // random spread of waits, so that dispatchers do not act in step
// Decay time of an observed queue wait: one of many dispatchers observes few waits at a worker.
constexpr Micros kQueueWaitDecayTime = 3 * kLimitUpdateInterval;
// Weight of an observed queue wait: it is mostly the work of other dispatchers, which nothing else shows.
constexpr double kQueueWaitFactor = 2;
constexpr double kScoreNoiseFraction = 0.1;  // spreads the choices of dispatchers that know the same
// Lower end of the random factor on a worker's constant draw. It is near 1, so that each dispatcher compares
// much the same workers each time, over connections that it already has.
constexpr double kMinDrawFactor = 0.8;
constexpr double kMaxExtraSlotsForWorth = 2;  // over the shared limit, for a job of a far worthier class
constexpr double kDispatchersPerWorker = 16;  // that compare the same worker at a time, on average
// Change of the shared limit in slots, for each attempt that is late and each that is in time.
constexpr double kSharedDecreaseSlots = 0.35, kSharedIncreaseSlots = 0.19;
// Fraction of the load that a cold worker can bear which is sent: jobs are uneven and turns may overlap.
constexpr double kColdLoadFraction = 0.5;
// Moves to another worker earned by each request; few, as cancelled jobs may run on and add load.
constexpr double kMovesPerRequest = 0.2;
// Kinds, zones and pairs of them that something is learned of, before those without a worker are forgotten.
constexpr std::size_t kMinGroupsToForget = 1024;
// Exclusions that were lifted while the worker was not listed. One that is forgotten is no longer taken to be
// cold when it comes back.
constexpr std::ptrdiff_t kMaxLiftedExclusions = 1024;
// Converts Settings::cross_zone_price into a delay: a price of 1 weighs as many latency thresholds of a job.
constexpr double kCrossZoneThresholds = 3;

// AIMD concurrency limit of this dispatcher at one worker.
struct AimdLimiter {
  double limit_slots = kMinLimitSlots;
  LatencyWindow latency_ratios;  // latency over threshold, since the last completed sampling window
  bool overload_seen = false;    // an attempt timed out or was turned away, or a connect failed
};

// What is known of all workers of one kind together.
struct WorkerKind {
  double slowdown = 0;  // running time over hinted time, as a moving average; 0: not observed yet
  double cores = 1;     // cores of one worker, as far as known
  double reported_cores = 0, report_count = 0;  // mean cores by load reports, and the number of those
};

// Health of one worker for one class: a worker may fail or hang for some classes and serve the rest well.
struct ClassHealth {
  int consecutive_failures = 0;  // since the last success
  int attempts_out = 0;          // of this dispatcher
  Micros ejected_until{0};
  int ejections = 0;                // in a row
  int probation_successes_due = 0;  // successes that it still needs to be trusted again
  bool stalled = false;             // a job of this dispatcher did not start when it should have
};

struct Worker {
  ListEntry entry;
  WorkerKind* kind = nullptr;
  double* usual_wait_s = nullptr;  // queue wait usual for its kind in its zone
  // Outstanding attempts of this dispatcher: number, slots, slots of those that have started, work.
  int attempts_out = 0;
  double slots_out = 0, slots_started = 0;
  Micros work_out{0};
  AbandonedAttempts abandoned;
  AimdLimiter limiter;
  // Mean number of other dispatchers' jobs there, by its load reports; without reports it counts as full.
  double peer_jobs = kMaxLimitSlots;
  int window_intervals = 0;  // update intervals for which the sampling window has been open
  int link_failures = 0;     // connects failed or connections lost since the last success
  bool sparse = true;        // too few samples for a limit of its own
  double slowdown = 0;       // running time over hinted time, as a moving average; 0: not observed yet
  Micros queue_wait{0}, queue_wait_at{0};  // last estimate of the queue wait, and its time
  std::vector<ClassHealth> class_health;   // by class index
  Micros full_until{0};                    // it said that it is full: nothing is sent before this time
  std::optional<Micros> cold_since;
  double used_cycle = -1, current_cycle = -1;  // of turns at a cold worker: the last one used, the one now on
};

// An operator's exclusion of a worker.
struct Exclusion {
  Micros since{0};
  std::optional<Micros> lifted_at;  // kept until the list names the worker, which it did not at that time
};

struct Attempt {
  std::string worker;
  Micros sent_at{0};
  std::optional<Micros> started_at;
  bool outstanding = true, counted = false;  // counted: it has changed the shared limit already
};

// A request in work.
struct Job {
  Request request;
  Micros deadline{0};
  Micros work{0};       // hinted running time, or what the class usually takes
  Micros threshold{0};  // an attempt with a longer latency counts as late
  std::vector<Attempt> attempts;
  bool finished = false;
  // Slots that it may go over the shared limit. Random, so that a fractional limit is kept on average; larger
  // for a class of more worth.
  double extra_slots = 0;
  std::optional<Micros> may_have_run;  // send time of the first attempt that may have run
  ListEntry may_have_run_at;           // that attempt's worker
};

}  // namespace

class Dispatcher::State {
 public:
  State(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed), subscription_(settings_) {
    check(settings_);
    for (const ClassSettings& job_class : settings_.classes)
      min_class_worth_ = std::min(min_class_worth_, job_class.worth);
    usual_class_latency_.assign(settings_.classes.size(), Micros{0});
    // Where workers do not report starts, an answer may be late by its own running time alone. A limit then
    // does not fall below this dispatcher's share of the initial one.
    if (!settings_.tells_start)
      min_limit_slots_ = std::max(kMinLimitSlots, kInitialLimitSlotsOfAll / settings_.dispatchers);
  }

  // Prepares for an event at `now` whose actions go to `actions`; the first call also starts the timers.
  void begin_event(Micros now, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    if (std::exchange(timers_started_, true)) return;
    set_timer("limits", scaled(kLimitUpdateInterval, uniform(0.5, 1)));
    if (settings_.list_on_request) subscribe_in(subscription_.begin(now, uniform(0, 1)));
  }

  void on_event(const ListUpdate& update) {
    if (update.kind == ListKind::failed)
      return subscribe_in(subscription_.on_failure(now_, update.as_of, uniform(0, 1)));
    if (update.kind == ListKind::interrupted) return subscription_.on_interruption(now_, update.as_of);
    update.kind == ListKind::remembered ? subscription_.on_remembered_list(update.as_of)
                                        : subscription_.on_list(now_);
    if (update.kind != ListKind::changes)
      for (auto& [name, worker] : workers_) worker.entry.state = WorkerState::gone;
    for (const ListEntry& entry : update.entries) update_worker(entry);
    if (update.kind != ListKind::changes)
      for (auto item = workers_.begin(); item != workers_.end();) erase_if_gone(item++);
    if (learned_group_count() >= forget_groups_at_) forget_unused_groups();
  }

  std::size_t learned_group_count() const {
    return kinds_.size() + usual_wait_s_.size() + connect_failures_.size();
  }

  // Forgets what was learned of kinds and zones that no worker has any more. The next time is when as many
  // again have been added, so that the cost for each is constant.
  void forget_unused_groups() {
    std::set<std::string> kinds, zones;
    std::set<std::pair<std::string, std::string>> zones_and_kinds;
    for (const auto& [name, worker] : workers_) {
      kinds.insert(worker.entry.kind);
      zones.insert(worker.entry.zone);
      zones_and_kinds.emplace(worker.entry.zone, worker.entry.kind);
    }
    std::erase_if(kinds_, [&](const auto& item) { return !kinds.contains(item.first); });
    std::erase_if(connect_failures_, [&](const auto& item) { return !zones.contains(item.first); });
    std::erase_if(usual_wait_s_, [&](const auto& item) { return !zones_and_kinds.contains(item.first); });
    forget_groups_at_ = std::max(kMinGroupsToForget, 2 * learned_group_count());
  }

  // Forgets a worker that has left the list, once no attempt is outstanding there.
  void erase_if_gone(std::map<std::string, Worker>::iterator item) {
    if (item->second.entry.state == WorkerState::gone && item->second.attempts_out == 0) workers_.erase(item);
  }

  void update_worker(const ListEntry& entry) {
    const auto [item, is_new] = workers_.try_emplace(entry.worker);
    Worker& worker = item->second;
    if (is_new)
      worker.limiter.limit_slots = initial_limit_slots(),
      worker.class_health.resize(settings_.classes.size());
    const bool restarted = entry.started && entry.started != worker.entry.started;
    worker.entry = entry;
    worker.kind = &kinds_[entry.kind];
    worker.usual_wait_s = &usual_wait_s_[{entry.zone, entry.kind}];
    // A start time ahead of this clock comes from another clock: the start has happened by now.
    if (restarted && entry.state == WorkerState::ready) mark_cold(worker, std::min(*entry.started, now_));
    reinstate_if_lifted(worker);
    erase_if_gone(item);
  }

  void on_event(const Exclude& call) {
    exclusions_.try_emplace(call.worker, Exclusion{now_, {}}).first->second.lifted_at.reset();
  }

  void on_event(const Include& call) {
    if (const auto exclusion = exclusions_.find(call.worker); exclusion != exclusions_.end())
      exclusion->second.lifted_at = now_;
    if (const auto known = workers_.find(call.worker); known != workers_.end())
      reinstate_if_lifted(known->second);
    forget_oldest_lifted_exclusion();
  }

  // A worker that has left the list may never come back.
  void forget_oldest_lifted_exclusion() {
    const auto is_lifted = [](const auto& item) { return item.second.lifted_at.has_value(); };
    if (std::count_if(exclusions_.begin(), exclusions_.end(), is_lifted) <= kMaxLiftedExclusions) return;
    exclusions_.erase(
        std::min_element(exclusions_.begin(), exclusions_.end(), [&](const auto& a, const auto& b) {
          return is_lifted(a) && (!is_lifted(b) || a.second.lifted_at < b.second.lifted_at);
        }));
  }

  // Ends a lifted exclusion: the worker's failures are forgotten, and it counts as cold since its listed
  // start or, where that is older than the exclusion, since the exclusion was lifted.
  void reinstate_if_lifted(Worker& worker) {
    const auto exclusion = exclusions_.find(worker.entry.worker);
    if (exclusion == exclusions_.end() || !exclusion->second.lifted_at) return;
    for (ClassHealth& health : worker.class_health) health = {.attempts_out = health.attempts_out};
    worker.link_failures = 0;
    const Micros listed_start = worker.entry.started.value_or(Micros{0});
    mark_cold(worker, listed_start > exclusion->second.since ? listed_start : *exclusion->second.lifted_at);
    exclusions_.erase(exclusion);
  }

  bool is_excluded(const std::string& worker) const {
    return exclusions_.contains(worker) && !exclusions_.at(worker).lifted_at;
  }

  WorkerCounts worker_counts(Micros now) const {
    WorkerCounts counts;
    for (const auto& [name, worker] : workers_) {
      if (worker.entry.state == WorkerState::gone) continue;
      const auto is_avoided = [&](const ClassHealth& health) {
        return health.stalled || now < health.ejected_until;
      };
      counts.listed += 1;
      counts.unavailable += is_excluded(name) ||
                            std::all_of(worker.class_health.begin(), worker.class_health.end(), is_avoided);
    }
    return counts;
  }

  StateSizes state_sizes() const {
    StateSizes sizes{
        .open_jobs = jobs_.size(), .learned_groups = learned_group_count(), .exclusions = exclusions_.size()};
    for (const auto& [name, worker] : workers_) {
      sizes.abandoned_attempts += worker.abandoned.size();
      sizes.latency_samples += worker.limiter.latency_ratios.size();
    }
    return sizes;
  }

  bool knows(const std::string& worker) const {
    return workers_.contains(worker) || exclusions_.contains(worker);
  }

  double initial_limit_slots() const {
    return std::max(std::floor(kInitialLimitSlotsOfAll / settings_.dispatchers), 2.0);
  }

  void subscribe() {
    actions_->push_back(Watch{});
    subscribe_in(subscription_.on_call(now_, uniform(0, 1)));
  }

  // A timer cannot be cancelled. Only the newest one counts, or each failed call would leave one more
  // running.
  void subscribe_in(Micros wait) {
    subscribe_at_ = now_ + wait;
    wait.count() > 0 ? set_timer("ask", wait) : subscribe();
  }

  // AIMD concurrency limits, over this dispatcher's own slots and latencies at each worker ----------------

  void update_limits() {
    // An outstanding attempt that is past its threshold counts as slow now: to wait for its end would be too
    // late.
    for (auto& [id, job] : jobs_)
      for (Attempt& attempt : job.attempts)
        if (const Micros age = now_ - attempt.sent_at; attempt.outstanding && age > job.threshold)
          record_latency(workers_.at(attempt.worker), attempt, ratio(age, job.threshold));
    for (auto& [name, worker] : workers_) close_window_if_full(worker);
    set_timer("limits", kLimitUpdateInterval);
  }

  // Ends the worker's sampling window when it has enough samples, saw overload or is old enough, and updates
  // the limit by what it holds.
  void close_window_if_full(Worker& worker) {
    AimdLimiter& limiter = worker.limiter;
    const bool enough_samples = limiter.latency_ratios.size() >= kMinWindowSamples;
    if (!enough_samples && !limiter.overload_seen && ++worker.window_intervals < kMaxWindowIntervals) return;
    worker.sparse = !enough_samples;
    if (enough_samples || limiter.overload_seen) update_limit(limiter, worker.slots_out);
    limiter.latency_ratios.clear();
    worker.window_intervals = 0;
  }

  // Whether the shared limit holds for this worker. It does not for a cold one: its turns limit it already.
  static bool is_sparse(const Worker& worker) { return worker.sparse && !worker.cold_since; }

  // One of many dispatchers gets an answer from a given worker only every few minutes. Workers with sparse
  // samples therefore share one limit, which changes with each result, and already with the queue wait: so
  // all dispatchers still refuse when hundreds of them overload a fleet. A job was not late for lack of
  // capacity where its worker has a free slot.
  void record_latency(Worker& worker, Attempt& attempt, double latency_ratio, bool has_free_slot = false) {
    worker.limiter.latency_ratios.add(latency_ratio, random_);
    update_shared_limit(worker, attempt, latency_ratio > 1 && !has_free_slot);
  }

  // Each attempt counts once; else a few stuck jobs would outweigh all that go well.
  void update_shared_limit(const Worker& worker, Attempt& attempt, bool late) {
    if (std::exchange(attempt.counted, true) || !is_sparse(worker)) return;
    const double out = slots_out(true), step = std::min(shared_limit_slots_, 1.0);
    shared_peak_slots_ = std::max(out, 0.9 * shared_peak_slots_);
    if (late)
      shared_limit_slots_ = std::min(shared_limit_slots_, shared_peak_slots_) - kSharedDecreaseSlots * step;
    if (!late && 2 * out >= shared_limit_slots_) shared_limit_slots_ += kSharedIncreaseSlots * step;
    shared_limit_slots_ =
        std::clamp(shared_limit_slots_, 3 * kInitialLimitSlotsOfAll / settings_.dispatchers, kMaxLimitSlots);
  }

  // AIMD: multiplicative decrease on overload, additive increase while at least half of the limit is used.
  void update_limit(AimdLimiter& limiter, double slots) {
    if (limiter.overload_seen || limiter.latency_ratios.quantile_of_samples(0.95, kMinSamplesForP95) > 1)
      limiter.limit_slots = std::floor(limiter.limit_slots * kLimitDecreaseFactor);
    else if (slots * 2 >= limiter.limit_slots)
      limiter.limit_slots += 1;
    limiter.limit_slots = std::clamp(limiter.limit_slots, min_limit_slots_, kMaxLimitSlots);
    limiter.overload_seen = false;
  }

  void on_event(const Request& request) {
    if (request.class_index >= settings_.classes.size() || jobs_.contains(request.id)) return;
    const ClassSettings& job_class = settings_.classes[request.class_index];
    Job job;
    job.request = request;
    job.deadline = now_ + request.time_left;
    job.work = request.hint.value_or(usual_class_latency_[request.class_index]);
    job.threshold =
        job_class.aim ? *job_class.aim + scaled(job.work, job_class.stretch) : job_class.deadline / 2;
    job.threshold = std::min(job.threshold, job_class.deadline);
    job.extra_slots =
        uniform(0, 1) +
        kMaxExtraSlotsForWorth * (1 - min_class_worth_ / std::max({job_class.worth, min_class_worth_, 1e-9}));
    mean_slot_seconds_ += kEwmaWeight * (slot_seconds(job) - mean_slot_seconds_);
    move_budget_ = std::min(move_budget_ + kMovesPerRequest, 1 / kMovesPerRequest);
    const auto placed = jobs_.emplace(request.id, std::move(job)).first;
    send_or_answer(placed->second);
    erase_if_over(placed);
  }

  // Whether the shared limit and the worker's own limit leave room for the job.
  bool has_room(const Worker& worker, const Job& job) const {
    if (is_sparse(worker) && sparse_slots_out_ + job.request.slots - job.extra_slots > shared_limit_slots_)
      return false;
    // An idle core is no overload, whatever late answers suggest.
    const double idle_cores = worker.cold_since ? 0 : worker.kind->cores - worker.peer_jobs;
    return worker.attempts_out == 0 ||
           worker.slots_out + job.request.slots <= std::max(idle_cores, worker.limiter.limit_slots);
  }

  // Whether the list, exclusions, the class and earlier attempts let the job go to this worker.
  bool is_eligible(const Worker& worker, const Job& job) const {
    const ClassSettings& job_class = class_of(job);
    if (worker.entry.state != WorkerState::ready || is_excluded(worker.entry.worker)) return false;
    if (!job_class.kind.empty() && job_class.kind != worker.entry.kind) return false;
    if (job_class.effect == Effect::keyed && job.may_have_run) {
      if (job_class.group == Group::zone && worker.entry.zone != job.may_have_run_at.zone) return false;
      if (job_class.group == Group::cell && worker.entry.cell != job.may_have_run_at.cell) return false;
    }
    return std::none_of(job.attempts.begin(), job.attempts.end(),
                        [&](const Attempt& a) { return a.worker == worker.entry.worker; });
  }

  // Returns the worker with the least expected delay of a few candidates, or null where none may take the
  // job. Were all compared, many dispatchers that know little would all see the same worker as the best one.
  // The candidates are drawn at random, weighted by listed size and speed.
  Worker* pick_worker(const Job& job) {
    std::vector<std::pair<double, Worker*>> candidates;
    int best_rank = 1;
    if (!subscription_.is_list_in_force(now_)) return nullptr;
    const bool use_ejected = most_are_ejected(job);
    sparse_slots_out_ = slots_out(true);
    for (auto& [name, worker] : workers_) {
      worker.abandoned.remove_ended(now_);
      if (!is_eligible(worker, job) || !has_room(worker, job)) continue;
      const std::optional<int> rank = rank_of(worker, job, use_ejected);
      if (!rank || *rank > best_rank) continue;
      if (*rank < best_rank) candidates.clear(), best_rank = *rank;
      const double draw = -std::log(stable_draw(name, settings_.number) * uniform(kMinDrawFactor, 1)) *
                          slowdown_of(worker) / std::max(worker.entry.weight, 0.1);
      // A turn at a cold worker is short: it goes before all other draws, or few turns would be used.
      candidates.emplace_back(worker.cold_since ? -1 / draw : draw, &worker);
    }
    const auto other_zones = std::partition(candidates.begin(), candidates.end(), [this](const auto& item) {
      return item.second->entry.zone == settings_.zone;
    });
    Worker* best = nullptr;
    double min_delay_s = 0;
    for (auto [from, to] :
         {std::pair{candidates.begin(), other_zones}, std::pair{other_zones, candidates.end()}}) {
      const auto last = from + compared_count(to - from);
      std::nth_element(from, last, to);
      for (; from != last; ++from) {
        const double delay_s = delay_score_s(*from->second, job);
        if (!best || delay_s < min_delay_s) best = from->second, min_delay_s = delay_s;
      }
    }
    return best;
  }

  // How many of `count` candidates to compare.
  std::ptrdiff_t compared_count(std::ptrdiff_t count) const {
    const double share =
        std::ceil(static_cast<double>(count) * kDispatchersPerWorker / settings_.dispatchers);
    return std::min(count, std::max<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(share)));
  }

  // 0: usable as any other. 1: only where no other is, as the worker is on probation and the job is unsafe to
  // repeat. Absent: not usable now.
  std::optional<int> rank_of(Worker& worker, const Job& job, bool use_ejected) {
    if (now_ < worker.full_until) return std::nullopt;
    const ClassHealth& health = health_of(worker, job);
    if ((health.stalled || now_ < health.ejected_until) && !use_ejected) return std::nullopt;
    if (worker.cold_since && !has_cold_turn(worker, job)) return std::nullopt;
    if (health.probation_successes_due == 0) return 0;
    if (health.attempts_out > 0 && !use_ejected) return std::nullopt;
    return class_of(job).effect == Effect::unsafe ? 1 : 0;
  }

  // Expected delay of the job at the worker: this dispatcher's outstanding work there including this job, at
  // the worker's speed, and the recent queue wait, with a penalty for another zone and some noise.
  double delay_score_s(const Worker& worker, const Job& job) {
    const double zone_thresholds =
        worker.entry.zone == settings_.zone ? 0 : settings_.cross_zone_price * kCrossZoneThresholds;
    const Micros work = worker.work_out + job.work + worker.abandoned.work();
    const double own_work_s = seconds(work) * slowdown_of(worker);
    const double delay_s =
        own_work_s + kQueueWaitFactor * expected_wait_s(worker) + zone_thresholds * seconds(job.threshold);
    return delay_s * uniform(1 - kScoreNoiseFraction, 1 + kScoreNoiseFraction);
  }

  // Expected queue wait: what was observed, decaying to what is usual for such workers.
  double expected_wait_s(const Worker& worker) const {
    const double usual_s = worker.cold_since ? 0 : *worker.usual_wait_s;  // few have turns: it has no queue
    return usual_s +
           decayed(seconds(worker.queue_wait) - usual_s, now_ - worker.queue_wait_at, kQueueWaitDecayTime);
  }

  double slowdown_of(const Worker& worker) const {
    if (worker.cold_since) return usual_slowdown(worker) / warm_share(worker);
    return worker.slowdown > 0 ? worker.slowdown : usual_slowdown(worker);
  }

  double usual_slowdown(const Worker& worker) const {
    return worker.kind->slowdown > 0 ? worker.kind->slowdown : 1;
  }

  // Sends the job's next attempt, or ends the job where none may be sent.
  void send_or_answer(Job& job) {
    const bool time_left = now_ + settings_.tick < job.deadline;
    Worker* worker = time_left && has_attempts_left(job) && may_repeat(job) ? pick_worker(job) : nullptr;
    if (worker && (job.attempts.empty() || !is_not_worth_running(job, *worker))) return send(job, *worker);
    refuse_or_fail(job);
  }

  const ClassSettings& class_of(const Job& job) const { return settings_.classes[job.request.class_index]; }

  bool has_attempts_left(const Job& job) const { return std::ssize(job.attempts) < settings_.max_attempts; }

  // After an attempt that may have run, an unsafe job is not sent again, and a keyed one only within its
  // deduplication window.
  bool may_repeat(const Job& job) const {
    const ClassSettings& job_class = class_of(job);
    if (!job.may_have_run || job_class.effect == Effect::safe) return true;
    return job_class.effect == Effect::keyed && now_ + settings_.tick < *job.may_have_run + job_class.window;
  }

  // Whether the client may be told that a retry does no harm.
  bool may_refuse(const Job& job) const {
    const ClassSettings& job_class = class_of(job);
    const bool all_workers_deduplicate = job_class.effect == Effect::keyed && job_class.group == Group::all;
    return !job.may_have_run || job_class.effect == Effect::safe || all_workers_deduplicate;
  }

  void send(Job& job, Worker& worker) {
    worker.attempts_out += 1;
    health_of(worker, job).attempts_out += 1;
    worker.slots_out += job.request.slots;
    worker.work_out += job.work;
    worker.used_cycle = worker.current_cycle;
    job.attempts.push_back({worker.entry.worker, now_, std::nullopt, true});
    const bool repeats = class_of(job).effect == Effect::keyed && job.may_have_run;
    const Micros not_after = repeats ? *job.may_have_run + class_of(job).window : Micros{0};
    actions_->push_back(Send{job.request.id, worker.entry.worker, Micros{0}, not_after});
    if (!settings_.tells_start) return;
    const double check_after_s = std::max(2 * expected_wait_s(worker), seconds(job.threshold) / 4);
    set_timer(start_check_token(job.request.id, static_cast<int>(job.attempts.size()) - 1),
              seconds_to_micros(check_after_s));
  }

  // Token of the timer that checks whether this attempt has started.
  static std::string start_check_token(const std::string& id, int attempt) {
    return "start " + std::to_string(attempt) + ' ' + id;
  }

  // The attempt has started or ended.
  void cancel_start_check(const std::string& id, int attempt) {
    if (settings_.tells_start) actions_->push_back(CancelTimer{start_check_token(id, attempt)});
  }

  void refuse_or_fail(Job& job) {
    job.finished = true;
    if (!may_refuse(job)) return actions_->push_back(Fail{job.request.id});
    const Micros wait = std::min(scaled(job.threshold / 4, jitter_factor()), settings_.max_retry_after);
    actions_->push_back(Refuse{job.request.id, wait});
  }

  void on_event(const Outcome& outcome) {
    const auto [found, attempt] = find_outstanding(outcome.id, outcome.attempt);
    if (!attempt) return;
    Job& job = found->second;
    const auto item = workers_.find(attempt->worker);
    Worker& worker = item->second;
    attempt->outstanding = false;
    if (!attempt->started_at) cancel_start_check(outcome.id, outcome.attempt);
    worker.attempts_out -= 1;
    worker.slots_out = worker.attempts_out == 0 ? 0 : worker.slots_out - job.request.slots;
    worker.work_out -= job.work;
    if (attempt->started_at)
      worker.slots_started = worker.attempts_out == 0 ? 0 : worker.slots_started - job.request.slots;
    if (outcome.status == Status::cancelled || outcome.status == Status::timeout)
      add_abandoned(worker, job, *attempt);
    record_outcome(worker, job, *attempt, outcome.status,
                   outcome.load && outcome.load->free_slots.value_or(0) >= 1);
    if (outcome.load) record_load(worker, *outcome.load);
    if (ClassHealth& health = health_of(worker, job); --health.attempts_out == 0) health.stalled = false;
    if (!proves_not_run(outcome.status) && !job.may_have_run)
      job.may_have_run = attempt->sent_at, job.may_have_run_at = worker.entry;
    if (outcome.closed || outcome.status == Status::ok) job.finished = true;
    if (!job.finished) send_or_answer(job);
    erase_if_over(found);
    erase_if_gone(item);
  }

  // Keeps the attempt's work in the worker's load until it should be done, for the deadline of its class at
  // the longest: a client may hint any running time. Not where its class is stalled.
  void add_abandoned(Worker& worker, const Job& job, const Attempt& attempt) const {
    if (health_of(worker, job).stalled) return;
    const Micros begin = attempt.started_at.value_or(now_ + seconds_to_micros(expected_wait_s(worker)));
    const Micros longest = class_of(job).deadline;
    const double run_s = std::min(seconds(job.work) * slowdown_of(worker), seconds(longest));
    worker.abandoned.add(now_, std::min(begin + seconds_to_micros(run_s), now_ + longest), job.work);
  }

  // The job of this id, and its attempt of this number; null where that is not outstanding.
  std::pair<std::map<std::string, Job>::iterator, Attempt*> find_outstanding(const std::string& id,
                                                                             int number) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || number < 0) return {found, nullptr};
    std::vector<Attempt>& attempts = found->second.attempts;
    const auto index = static_cast<std::size_t>(number);
    return {found, index < attempts.size() && attempts[index].outstanding ? &attempts[index] : nullptr};
  }

  void on_event(const RequestGone& gone) {
    const auto found = jobs_.find(gone.id);
    if (found == jobs_.end()) return;
    found->second.finished = true;
    erase_if_over(found);
  }

  // Forgets a finished job, once none of its attempts is outstanding.
  void erase_if_over(std::map<std::string, Job>::iterator item) {
    const auto& attempts = item->second.attempts;
    if (item->second.finished &&
        std::none_of(attempts.begin(), attempts.end(), [](auto& a) { return a.outstanding; }))
      jobs_.erase(item);
  }

  static ClassHealth& health_of(Worker& worker, const Job& job) {
    return worker.class_health[job.request.class_index];
  }

  void on_event(const JobStarted& note) {
    const auto [found, attempt] = find_outstanding(note.id, note.attempt);
    if (!attempt || attempt->started_at) return;
    attempt->started_at = now_;
    cancel_start_check(note.id, note.attempt);
    Worker& worker = workers_.at(attempt->worker);
    health_of(worker, found->second).stalled = false;
    record_wait(worker, now_ - attempt->sent_at);
    record_connect(worker.entry.zone, true);
    const Micros expected_latency = now_ - attempt->sent_at + scaled(found->second.work, slowdown_of(worker));
    update_shared_limit(worker, *attempt, expected_latency > found->second.threshold);
    handle_overtaken(worker, *attempt);
    worker.slots_started += found->second.request.slots;
    worker.kind->cores = std::max(worker.kind->cores, worker.slots_started);
  }

  // Workers start jobs in order. One that was sent earlier and has not started is stuck, as others of its
  // class would be; it is moved where that is allowed.
  void handle_overtaken(Worker& worker, const Attempt& overtaker) {
    for (auto& [id, job] : jobs_)
      for (std::size_t i = 0; i < job.attempts.size(); ++i) {
        const Attempt& attempt = job.attempts[i];
        if (!attempt.outstanding || attempt.started_at || attempt.worker != worker.entry.worker) continue;
        if (attempt.sent_at + kReorderTolerance >= overtaker.sent_at) continue;
        health_of(worker, job).stalled = true;
        if (!may_move(job, worker)) continue;
        move_budget_ -= 1;
        actions_->push_back(Cancel{id, static_cast<int>(i)});
      }
  }

  // Updates the estimates of the worker's queue wait by one that was observed.
  void record_wait(Worker& worker, Micros observed) {
    worker.queue_wait = seconds_to_micros((expected_wait_s(worker) + seconds(observed)) / 2);
    worker.queue_wait_at = now_;
    if (!worker.cold_since) *worker.usual_wait_s += kEwmaWeight * (seconds(observed) - *worker.usual_wait_s);
  }

  // Timer "start N ID": attempt N of job ID should have started by now. If it has not, its age counts as
  // queue wait, and it is cancelled where it may be in time elsewhere or an answer would be worth nothing.
  void check_start(const std::string& token) {
    const int number = std::stoi(token.substr(6));
    const auto [found, attempt] = find_outstanding(token.substr(token.find(' ', 6) + 1), number);
    if (!attempt || attempt->started_at) return;
    const Job& job = found->second;
    Worker& worker = workers_.at(attempt->worker);
    const Micros age = now_ - attempt->sent_at;
    if (!health_of(worker, job).stalled && seconds(age) > expected_wait_s(worker)) record_wait(worker, age);
    const bool move = may_move(job, worker);
    if (move) move_budget_ -= 1;
    if (move || (settings_.may_cancel && is_not_worth_running(job, worker)))
      return actions_->push_back(Cancel{job.request.id, number});
    const double slack = slack_s(job, worker);
    set_timer(token, slack > 0 ? std::min(age, seconds_to_micros(slack) + settings_.tick) : age);
  }

  // How long the job may still wait at the worker to end within its threshold; negative when it will be late.
  double slack_s(const Job& job, const Worker& worker) const {
    const double elapsed_s = seconds(now_ - job.deadline + job.request.time_left);
    return seconds(job.threshold) - elapsed_s - seconds(job.work) * slowdown_of(worker);
  }

  // Whether the job can only end late and a late answer earns nothing: it would only delay others in the
  // queue.
  bool is_not_worth_running(const Job& job, const Worker& worker) const {
    return class_of(job).late_worth <= 0 && slack_s(job, worker) <= 0;
  }

  // Whether the job may be cancelled and sent to another worker: within the move budget, and only where it
  // would still be in time there. Where the worker is stalled, to be answered before the deadline is enough.
  bool may_move(const Job& job, const Worker& from) {
    if (!settings_.may_cancel || class_of(job).effect != Effect::safe || job.finished || move_budget_ < 1 ||
        !has_attempts_left(job))
      return false;
    const bool late = slack_s(job, from) <= 0;
    if (late && !from.class_health[job.request.class_index].stalled) return false;
    const Worker* other = pick_worker(job);
    if (!other) return false;
    const double wait_s = expected_wait_s(*other);
    return late ? wait_s + seconds(job.work) * slowdown_of(*other) < seconds(job.deadline - now_)
                : wait_s <= slack_s(job, *other);
  }

  // One of many dispatchers seldom has several jobs running at one worker, so its own jobs do not show how
  // many cores a kind of worker has: load reports do.
  void on_event(const ProbeResult& result) {
    if (const auto known = workers_.find(result.worker); known != workers_.end())
      record_load(known->second, result.load.value_or(LoadReport{}));
  }

  void record_load(Worker& worker, const LoadReport& load) {
    if (load.held)
      worker.peer_jobs +=
          kEwmaWeight * (std::max(0.0, *load.held - worker.attempts_out - 1) - worker.peer_jobs);
    if (!load.free_slots || (load.held && *load.free_slots < 1))
      return;  // when full, `held` includes a queue
    WorkerKind& kind = *worker.kind;
    // Jobs in the worker are its throughput times their latency (Little's law).
    const double in_worker = load.served_per_s.value_or(0) * load.latency_s.value_or(0);
    const double running = load.held.value_or(in_worker - load.queue.value_or(0));
    kind.reported_cores += (*load.free_slots + running - kind.reported_cores) / ++kind.report_count;
    kind.cores = std::max(
        {kind.cores, *load.free_slots, kind.report_count < kMinReportsForCores ? 1 : kind.reported_cores});
  }

  void on_event(const SharingProcesses& now) { processes_ = std::max(now.processes, 1); }

  template <class Unused>
  void on_event(const Unused&) {}

  // Updates limits, health and speed by how an attempt ended.
  void record_outcome(Worker& worker, Job& job, Attempt& attempt, Status status, bool has_free_slot) {
    if (status == Status::full || status == Status::timeout || status == Status::connect_failed)
      worker.limiter.overload_seen = true;
    if (status == Status::connect_failed || status == Status::reset) worker.link_failures += 1;
    if (status == Status::connect_failed) record_connect(worker.entry.zone, false);
    if (status == Status::full) update_shared_limit(worker, attempt, true);
    // A full worker has the least work of this dispatcher and would get every next job. It gets none for
    // about as long as one of its jobs needs to end.
    if (status == Status::full)
      worker.full_until = now_ + scaled(seconds_to_micros(mean_slot_seconds_), jitter_factor());
    if (status == Status::ok) return record_success(worker, job, attempt, has_free_slot);
    if (status == Status::full || status == Status::not_started) return;
    ClassHealth& health = health_of(worker, job);
    if (status == Status::cancelled) return health.stalled ? eject(worker, health) : void();
    // A failed connect counts for all classes.
    for (ClassHealth& each : worker.class_health) {
      if (&each != &health && status != Status::connect_failed) continue;
      each.consecutive_failures += status == Status::timeout ? kMinFailuresToEject : 1;
      if (each.consecutive_failures >= kMinFailuresToEject || each.probation_successes_due > 0)
        eject(worker, each);
    }
  }

  // Connects that fail all over a zone mean that the zone is lost. It comes back cold before the list says
  // so, and each of many dispatchers would try it with its few jobs: so its workers count as cold from now
  // on.
  void record_connect(const std::string& zone, bool succeeded) {
    const int failures = succeeded ? std::exchange(connect_failures_[zone], 0) : ++connect_failures_[zone];
    if (failures < kMinConnectFailuresForZone) return;
    for (auto& [name, worker] : workers_)
      if (worker.entry.zone == zone) mark_cold(worker, now_);
  }

  void record_success(Worker& worker, Job& job, Attempt& attempt, bool has_free_slot) {
    const Micros latency = now_ - attempt.sent_at;
    record_latency(worker, attempt, ratio(latency, job.threshold), has_free_slot);
    Micros& usual_latency = usual_class_latency_[job.request.class_index];
    usual_latency =
        usual_latency.count() == 0 ? latency : usual_latency + scaled(latency - usual_latency, kEwmaWeight);
    if (job.work.count() > 0) {
      const double slowdown = ratio(now_ - attempt.started_at.value_or(attempt.sent_at), job.work);
      for (double* mean : {&worker.slowdown, &worker.kind->slowdown})
        *mean = *mean > 0 ? *mean + kEwmaWeight * (slowdown - *mean) : slowdown;
    }
    // Several broken connections and then an answer: most likely a restart that the list does not show.
    if (worker.link_failures > kMinFailuresToEject && !worker.cold_since) mark_cold(worker, now_);
    worker.link_failures = 0;
    if (settings_.may_probe && !worker.cold_since && worker.kind->report_count < kMinReportsForCores)
      actions_->push_back(Probe{worker.entry.worker});
    ClassHealth& health = health_of(worker, job);
    health.consecutive_failures = 0;
    if (health.probation_successes_due > 0 && --health.probation_successes_due == 0) health.ejections = 0;
  }

  // Cold workers ----------------------------------------------------------------------------------------

  // The worker (re)started at `since`: what was learnt of its speed and limit no longer holds.
  void mark_cold(Worker& worker, Micros since) {
    if (settings_.cold_time.count() == 0 || now_ - since >= settings_.cold_time) return;
    worker.cold_since = since;
    worker.limiter = {initial_limit_slots(), {}, false};
    worker.slowdown = 0;
    worker.queue_wait = Micros{0};
    worker.queue_wait_at = now_;
    worker.used_cycle = worker.current_cycle = -1;
  }

  // Share of its capacity that a cold worker has now.
  double warm_share(const Worker& worker) const {
    const double age = seconds(now_ - *worker.cold_since) / seconds(settings_.cold_time);
    return settings_.start_capacity + (1 - settings_.start_capacity) * std::clamp(age, 0.0, 1.0);
  }

  // Whether this dispatcher may send the job to a cold worker now. The dispatchers take turns there, evenly
  // spaced in a fixed order, and a turn is one job: shares drawn at random kept the mean load but not the
  // sum.
  bool has_cold_turn(Worker& worker, const Job& job) {
    if (now_ - *worker.cold_since >= settings_.cold_time) return worker.cold_since.reset(), true;
    if (mean_slot_seconds_ <= 0) return false;
    // Jobs that it can bear in a span of fall_after when warm, by the cores that its kind surely has.
    const double warm_jobs = kColdLoadFraction * settings_.fall_multiple * seconds(settings_.fall_after) *
                             worker.kind->cores / (mean_slot_seconds_ * usual_slowdown(worker) * processes_);
    const double jobs = std::max(1.0, warm_jobs * warm_share(worker));
    if (slot_seconds(job) > mean_slot_seconds_ * std::sqrt(jobs)) return false;
    const double age_s = seconds(now_ - *worker.cold_since);
    const double spans =
        age_s * (settings_.start_capacity + warm_share(worker)) / 2 / seconds(settings_.fall_after);
    const double turn =
        spans * warm_jobs - place_in_turn_order(worker.entry.worker, settings_.number, settings_.dispatchers);
    const double cycle = std::floor(turn / settings_.dispatchers);
    if (turn < 0 || turn - cycle * settings_.dispatchers > jobs) return false;
    return worker.used_cycle != cycle ? worker.current_cycle = cycle, true : false;
  }

  static double slot_seconds(const Job& job) { return seconds(job.work) * job.request.slots; }

  // Ejects the worker for a class, for longer each time, and puts it on probation after that. A worker that
  // fails looks idle, so that least outstanding work would send ever more to it.
  void eject(const Worker& worker, ClassHealth& health) {
    if (now_ < health.ejected_until) return;
    health.ejections = std::min(health.ejections + 1, kMaxCountedEjections);
    health.ejected_until = now_ + scaled(kFirstEjectionTime, jitter_factor() * (1 << (health.ejections - 1)));
    health.probation_successes_due = 1 << health.ejections;
    if (health.ejections == 2)
      actions_->push_back(Log{"worker " + worker.entry.worker + " keeps failing: backed off"});
  }

  // Whether most ready workers are ejected or stalled for the job's class. Then the cause does not lie with
  // them, and they are used all the same.
  bool most_are_ejected(const Job& job) const {
    int balance = 0;
    for (const auto& [name, worker] : workers_) {
      const ClassHealth& health = worker.class_health[job.request.class_index];
      if (worker.entry.state == WorkerState::ready)
        balance += health.stalled || now_ < health.ejected_until ? 1 : -1;
    }
    return balance > 0;
  }

  void on_event(const TimerFired& timer) {
    if (timer.token.starts_with("start ")) check_start(timer.token);
    if (timer.token == "limits") update_limits();
    if (timer.token == "ask" && !subscription_.is_subscribed() && now_ >= subscribe_at_) subscribe();
  }

  void set_timer(const std::string& token, Micros wait) {
    actions_->push_back(SetTimer{token, now_ + std::max(wait, settings_.tick)});
  }

  // Slots of this dispatcher's outstanding attempts, at all workers or at those under the shared limit.
  double slots_out(bool sparse_only) const {
    double sum = 0;
    for (const auto& [name, worker] : workers_)
      sum += is_sparse(worker) || !sparse_only ? worker.slots_out : 0;
    return sum;
  }

 private:
  double uniform(double from, double to) {
    return from + (to - from) * static_cast<double>(random_() >> 11) * 0x1p-53;
  }
  double jitter_factor() { return uniform(1 - kJitterFraction, 1 + kJitterFraction); }

  Settings settings_;
  std::mt19937_64 random_;
  Micros now_{0}, subscribe_at_{0};
  std::vector<Action>* actions_ = nullptr;
  ListSubscription subscription_;
  bool timers_started_ = false;
  int processes_ = 1;  // of this dispatcher, which share its turns at cold workers
  std::map<std::string, Worker> workers_;
  std::map<std::string, Exclusion> exclusions_;  // by worker
  std::map<std::string, Job> jobs_;
  std::vector<Micros> usual_class_latency_;  // the expected work of jobs without a hint
  double move_budget_ = 0, min_limit_slots_ = kMinLimitSlots;
  // One limit for all workers with sparse samples, and the decaying peak of its use.
  double shared_limit_slots_ = kMaxLimitSlots, shared_peak_slots_ = 0;
  double min_class_worth_ = std::numeric_limits<double>::infinity();
  double sparse_slots_out_ = 0;  // slots out under the shared limit, as of the last pick_worker()
  // What holds for similar workers, for those with few observations of their own.
  std::map<std::pair<std::string, std::string>, double> usual_wait_s_;  // by zone and kind
  std::map<std::string, WorkerKind> kinds_;
  std::map<std::string, int> connect_failures_;  // by zone, since a job last started there
  std::size_t forget_groups_at_ = kMinGroupsToForget;
  double mean_slot_seconds_ = 0;  // expected work times slots of a job, as a moving average
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(settings), seed)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  state_->begin_event(now, actions);
  std::visit([this](const auto& happened) { state_->on_event(happened); }, event);
}

bool Dispatcher::knows(const std::string& worker) const { return state_->knows(worker); }

WorkerCounts Dispatcher::worker_counts(Micros now) const { return state_->worker_counts(now); }

StateSizes Dispatcher::state_sizes() const { return state_->state_sizes(); }

double Dispatcher::slots_out() const { return state_->slots_out(false); }

}  // namespace woadtide
