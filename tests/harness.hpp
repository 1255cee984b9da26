// A dispatcher under a hand-driven clock.
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

// Class 0 is safe, 1 unsafe, 2 keyed within a zone, 3 keyed within all.
inline Settings plain_settings() {
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

// The settings of one of many, by its number.
inline Settings one_of(int dispatchers, int number) {
  Settings s = plain_settings();
  s.dispatchers = dispatchers;
  s.number = number;
  return s;
}

// Where the list must be asked for.
inline Settings asking_settings(Micros within) {
  Settings s = plain_settings();
  s.list_on_request = true;
  s.must_ask_within = within;
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

struct Driver {
  explicit Driver(Settings settings = plain_settings(), std::uint64_t seed = 7)
      : dispatcher(std::move(settings), seed) {}

  Dispatcher dispatcher;
  Micros now{1s};
  std::vector<Action> all;   // every action so far
  std::vector<Action> last;  // those of the last event
  std::multimap<Micros, std::string> timers;

  void feed(const Event& event) {
    last.clear();
    dispatcher.handle(now, event, last);
    for (const Action& action : last) {
      all.push_back(action);
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->token);
    }
  }
  // Lets the clock run and fires the timers that come due on the way.
  void pass(Micros span) {
    const Micros end = now + span;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      const std::string token = timers.begin()->second;
      timers.erase(timers.begin());
      feed(TimerFired{token});
    }
    now = end;
  }
  void list(std::vector<ListEntry> entries, ListKind kind = ListKind::full) {
    feed(ListUpdate{kind, std::move(entries)});
  }
  // The list tells of a worker that has just started.
  void list_cold() {
    ListEntry cold = entry("cold");
    cold.started = now;
    list({cold}, ListKind::changes);
  }
  // Returns the worker it was sent to, or "" when it was not sent.
  std::string ask(const std::string& id, std::size_t class_index = 0, Micros hint = 100ms, double slots = 1,
                  Micros time_left = 5s) {
    feed(Request{id, class_index, slots, hint, time_left});
    return sent_to();
  }
  std::string finish(const std::string& id, Status status = Status::ok, int attempt = 0,
                     bool closed = false) {
    feed(Outcome{id, attempt, status, 0us, closed || status == Status::ok, std::nullopt});
    return sent_to();
  }
  std::string sent_to() const {
    for (const Action& action : last)
      if (const auto* send = std::get_if<Send>(&action)) return send->worker;
    return "";
  }
  template <class Kind>
  int count(const std::vector<Action>& actions) const {
    int n = 0;
    for (const Action& action : actions) n += std::holds_alternative<Kind>(action);
    return n;
  }
  template <class Kind>
  bool did() const {
    return count<Kind>(last) > 0;
  }
  // One job that takes `took`, to whatever worker it goes; the worker, or "".
  std::string run(const std::string& id, Micros took, std::size_t class_index = 0, Micros hint = 100ms) {
    const std::string worker = ask(id, class_index, hint);
    if (worker.empty()) return worker;
    pass(took);
    finish(id);
    return worker;
  }
};

}  // namespace woadtide
