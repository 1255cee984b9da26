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

constexpr Micros kStart = std::chrono::seconds(1);
constexpr Micros kStartNote = std::chrono::milliseconds(1);

Micros micros_of(double seconds) { return Micros{static_cast<std::int64_t>(seconds * 1e6)}; }

class Simulation {
 public:
  Simulation(const AdmissionLoad& load, std::uint64_t seed)
      : load_(load),
        random_(seed),
        dispatcher_(module_settings(load.dispatchers, 0), seed),
        counted_from_(kStart + micros_of(load.seconds / 2)) {}

  AdmissionResult run() {
    const Micros end = kStart + micros_of(load_.seconds);
    feed(woadtide::ListUpdate{ListKind::full, worker_entries(load_.workers)});
    next_arrival();
    while (!events_.empty() && events_.begin()->first <= end) {
      advance(events_.begin()->first);
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    advance(end);
    result_.mean_running = running_seconds_ / (load_.seconds / 2);
    result_.offered_running = rate() * load_.task_seconds;
    return result_;
  }

 private:
  double rate() const { return load_.fleet_starts_a_second / load_.dispatchers; }
  bool counts() const { return now_ >= counted_from_; }

  double exponential(double mean) {
    const double share = static_cast<double>(random_() >> 11) * 0x1p-53;
    return -mean * std::log(1 - share);
  }

  void advance(Micros to) {
    const Micros from = std::max(now_, counted_from_);
    if (to > from) running_seconds_ += running_ * std::chrono::duration<double>(to - from).count();
    now_ = std::max(now_, to);
  }

  void next_arrival() {
    events_.emplace(now_ + micros_of(exponential(1 / rate())), [this] {
      ask();
      next_arrival();
    });
  }

  void ask() {
    const std::string id = "task-" + std::to_string(++tasks_);
    const Micros work = micros_of(exponential(load_.task_seconds));
    woadtide::Request request;
    request.id = id;
    request.hint = work;
    request.time_left = std::chrono::hours(1);
    work_[id] = work;
    result_.asked += counts();
    feed(request);
  }

  void feed(const woadtide::Event& event) {
    std::vector<woadtide::Action> actions;
    dispatcher_.handle(now_, event, actions);
    for (const woadtide::Action& action : actions)
      std::visit([this](const auto& todo) { act(todo); }, action);
  }

  void act(const woadtide::Send& send) {
    running_ += 1;
    if (counts()) result_.most_running = std::max(result_.most_running, running_);
    const Micros work = work_.at(send.id);
    events_.emplace(now_ + kStartNote, [this, id = send.id] { feed(woadtide::JobStarted{id, 0}); });
    events_.emplace(now_ + kStartNote + work, [this, id = send.id, work] {
      running_ -= 1;
      work_.erase(id);
      feed(woadtide::Outcome{id, 0, Status::ok, work, true, std::nullopt});
    });
  }
  void act(const woadtide::Refuse& refuse) {
    result_.refused += counts();
    work_.erase(refuse.id);
  }
  void act(const woadtide::SetTimer& timer) {
    events_.emplace(timer.at, [this, token = timer.token] { feed(woadtide::TimerFired{token}); });
  }
  template <class Other>
  void act(const Other&) {}

  const AdmissionLoad load_;
  std::mt19937_64 random_;
  woadtide::Dispatcher dispatcher_;
  const Micros counted_from_;
  Micros now_ = kStart;
  std::multimap<Micros, std::function<void()>> events_;
  std::map<std::string, Micros> work_;  // by task
  int running_ = 0;
  std::uint64_t tasks_ = 0;
  double running_seconds_ = 0;
  AdmissionResult result_;
};

}  // namespace

AdmissionResult simulate(const AdmissionLoad& load, std::uint64_t seed) {
  return Simulation(load, seed).run();
}

}  // namespace woadtide::lab::scale
