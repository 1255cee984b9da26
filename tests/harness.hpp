// Test driver that runs one dispatcher on a clock which the test advances.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide {

using namespace std::chrono_literals;

inline ClassSettings job_class(Effect effect, Group group = Group::all) {
  ClassSettings c;
  c.aim = 100ms;
  c.stretch = 2;
  c.deadline = 5s;
  c.effect = effect;
  c.group = group;
  c.window = 2s;
  return c;
}

// Three dispatchers. Class 0 is safe, 1 unsafe, 2 keyed within a zone, 3 keyed within all workers.
inline Settings base_settings() {
  Settings s;
  s.dispatchers = 3;
  s.zone = "a";
  s.classes = {job_class(Effect::safe), job_class(Effect::unsafe), job_class(Effect::keyed, Group::zone),
               job_class(Effect::keyed, Group::all)};
  s.tick = 2ms;
  s.start_capacity = 0.2;
  s.cold_time = 20s;
  s.fall_multiple = 2.5;
  s.fall_after = 1s;
  s.max_attempts = 4;
  s.max_retry_after = 2s;
  s.tells_start = true;
  return s;
}

// Settings of dispatcher `number` of so many.
inline Settings settings_of(int dispatchers, int number) {
  Settings s = base_settings();
  s.dispatchers = dispatchers;
  s.number = number;
  return s;
}

// Settings with a list that must be requested.
inline Settings on_request_settings(Micros must_ask_within) {
  Settings s = base_settings();
  s.list_on_request = true;
  s.must_ask_within = must_ask_within;
  return s;
}

inline ListEntry entry(const std::string& worker, const std::string& zone = "a",
                       WorkerState state = WorkerState::ready) {
  ListEntry e;
  e.worker = worker;
  e.zone = zone;
  e.state = state;
  return e;
}

// Drives one dispatcher: passes events, keeps its actions and fires its timers.
struct Driver {
  explicit Driver(Settings settings = base_settings(), std::uint64_t seed = 7)
      : dispatcher(std::move(settings), seed) {}

  Dispatcher dispatcher;
  Micros now{1s};
  std::vector<Action> all_actions;   // since the start
  std::vector<Action> last_actions;  // those of the last event
  std::multimap<Micros, std::string> timers;

  void feed(const Event& event) {
    last_actions.clear();
    dispatcher.handle(now, event, last_actions);
    for (const Action& action : last_actions) {
      all_actions.push_back(action);
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->token);
    }
  }
  // Advances the clock by `span` and fires the timers that become due meanwhile.
  void advance(Micros span) {
    const Micros end = now + span;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      const std::string token = timers.begin()->second;
      timers.erase(timers.begin());
      feed(TimerFired{token});
    }
    now = end;
  }
  void update_list(std::vector<ListEntry> entries, ListKind kind = ListKind::full) {
    feed(ListUpdate{kind, std::move(entries)});
  }
  // Adds worker "cold", which has just started, to the list.
  void list_cold_worker() {
    ListEntry cold = entry("cold");
    cold.started = now;
    update_list({cold}, ListKind::changes);
  }
  // A request arrives. Returns the worker it was sent to, or "" when it was not sent.
  std::string request(const std::string& id, std::size_t class_index = 0, Micros hint = 100ms,
                      double slots = 1, Micros time_left = 5s) {
    feed(Request{id, class_index, slots, hint, time_left});
    return sent_to();
  }
  // An attempt ends. Returns the worker to which the next attempt was sent, or "".
  std::string finish(const std::string& id, Status status = Status::ok, int attempt = 0,
                     bool closed = false) {
    feed(Outcome{id, attempt, status, 0us, closed || status == Status::ok, std::nullopt});
    return sent_to();
  }
  // The worker to which the last event sent an attempt, or "".
  std::string sent_to() const {
    for (const Action& action : last_actions)
      if (const auto* send = std::get_if<Send>(&action)) return send->worker;
    return "";
  }
  template <class Kind>
  int count(const std::vector<Action>& actions) const {
    int matching = 0;
    for (const Action& action : actions) matching += std::holds_alternative<Kind>(action);
    return matching;
  }
  template <class Kind>
  bool emitted() const {
    return count<Kind>(last_actions) > 0;
  }
  // Runs one job that takes `duration`. Returns its worker, or "" when it was not sent.
  std::string run_job(const std::string& id, Micros duration, std::size_t class_index = 0,
                      Micros hint = 100ms) {
    const std::string worker = request(id, class_index, hint);
    if (worker.empty()) return worker;
    advance(duration);
    finish(id);
    return worker;
  }
};

}  // namespace woadtide
