#include "lab/scale/admission.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "lab/scale/module_harness.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr Micros kStartTime = std::chrono::seconds(1);
constexpr Micros kStartDelay = std::chrono::milliseconds(1);

Micros micros_of(double seconds) { return Micros{static_cast<std::int64_t>(seconds * 1e6)}; }

class Simulation {
 public:
  Simulation(const AdmissionLoad& load, std::uint64_t seed)
      : load_(load),
        random_(seed),
        dispatcher_(module_settings(load.dispatchers, 0), seed),
        counted_from_(kStartTime + micros_of(load.simulated_seconds / 2)) {}

  AdmissionResult run() {
    const Micros end = kStartTime + micros_of(load_.simulated_seconds);
    feed(woadtide::ListUpdate{ListKind::full, worker_entries(load_.workers)});
    schedule_arrival();
    while (!events_.empty() && events_.begin()->first <= end) {
      advance_to(events_.begin()->first);
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    advance_to(end);
    result_.mean_running = running_seconds_ / (load_.simulated_seconds / 2);
    result_.offered_running = requests_per_second() * load_.mean_task_seconds;
    return result_;
  }

 private:
  double requests_per_second() const { return load_.fleet_starts_per_second / load_.dispatchers; }
  bool is_counted() const { return now_ >= counted_from_; }

  double exponential(double mean) {
    const double uniform = static_cast<double>(random_() >> 11) * 0x1p-53;
    return -mean * std::log(1 - uniform);
  }

  void advance_to(Micros time) {
    const Micros from = std::max(now_, counted_from_);
    if (time > from) running_seconds_ += running_ * std::chrono::duration<double>(time - from).count();
    now_ = std::max(now_, time);
  }

  void schedule_arrival() {
    events_.emplace(now_ + micros_of(exponential(1 / requests_per_second())), [this] {
      send_request();
      schedule_arrival();
    });
  }

  void send_request() {
    const std::string id = "task-" + std::to_string(++task_count_);
    const Micros task_time = micros_of(exponential(load_.mean_task_seconds));
    woadtide::Request request;
    request.id = id;
    request.hint = task_time;
    request.time_left = std::chrono::hours(1);
    task_times_[id] = task_time;
    result_.requests += is_counted();
    feed(request);
  }

  void feed(const woadtide::Event& event) {
    std::vector<woadtide::Action> actions;
    dispatcher_.handle(now_, event, actions);
    for (const woadtide::Action& action : actions)
      std::visit([this](const auto& item) { apply(item); }, action);
  }

  void apply(const woadtide::Send& send) {
    running_ += 1;
    if (is_counted()) result_.max_running = std::max(result_.max_running, running_);
    const Micros task_time = task_times_.at(send.id);
    events_.emplace(now_ + kStartDelay, [this, id = send.id] { feed(woadtide::JobStarted{id, 0}); });
    events_.emplace(now_ + kStartDelay + task_time, [this, id = send.id, task_time] {
      running_ -= 1;
      task_times_.erase(id);
      feed(woadtide::Outcome{id, 0, Status::ok, task_time, true, std::nullopt});
    });
  }
  void apply(const woadtide::Refuse& refuse) {
    result_.refused += is_counted();
    task_times_.erase(refuse.id);
  }
  void apply(const woadtide::SetTimer& timer) {
    events_.emplace(timer.at, [this, token = timer.token] { feed(woadtide::TimerFired{token}); });
  }
  template <class Other>
  void apply(const Other&) {}

  const AdmissionLoad load_;
  std::mt19937_64 random_;
  woadtide::Dispatcher dispatcher_;
  const Micros counted_from_;
  Micros now_ = kStartTime;
  std::multimap<Micros, std::function<void()>> events_;
  std::map<std::string, Micros> task_times_;  // by request id
  int running_ = 0;
  std::uint64_t task_count_ = 0;
  double running_seconds_ = 0;
  AdmissionResult result_;
};

}  // namespace

AdmissionResult simulate(const AdmissionLoad& load, std::uint64_t seed) {
  return Simulation(load, seed).run();
}

}  // namespace woadtide::lab::scale
