// The calls that wait at a service which works on one at a time. A state machine: events and times in,
// endings out. Knows no sockets and reads no clock; times are milliseconds and never go back.
//
// Invariants: turns are taken in the order of arrival; each call has at most one ending; a call that is
// refused or abandoned takes its turn all the same, unless `skips_abandoned` is set.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace woadtide::lab::hollow {

class CallQueue {
 public:
  using CallId = std::uint64_t;
  static constexpr double kNever = 1e18;

  struct Settings {
    double work_per_call_ms = 15;
    double work_per_line_ms = 0.002;
    double patience_ms = 2'000;    // a call without an answer by then is refused
    bool skips_abandoned = false;  // whether the service notices that a caller gave up
  };
  enum class Ending { answered, refused };
  struct Ended {
    CallId call = 0;
    Ending ending = Ending::answered;
  };
  // How many lines the answer to a call has, asked as its turn begins.
  using CountLines = std::function<std::size_t()>;

  explicit CallQueue(Settings settings) : settings_(settings) {}

  // After advance(now).
  void arrive(CallId call, double now, CountLines count_lines);
  // Its caller has gone: it gets no ending any more.
  void abandon(CallId call);
  // While it is not available, turns go by and every call is refused once its patience has run out.
  void set_available(bool available) { available_ = available; }
  // All endings that are due by `now`, in the order of their times.
  std::vector<Ended> advance(double now);
  // When the next ending or turn is due.
  double next_due() const;
  std::size_t waiting() const { return waiting_.size(); }
  // Turns that were spent on calls to which nobody listened any more.
  std::uint64_t wasted_turns() const { return wasted_turns_; }

 private:
  struct Waiting {
    CallId call = 0;
    double arrived = 0;
    CountLines count_lines;
  };
  struct Turn {
    CallId call = 0;
    double ends = 0;
  };
  struct Unanswered {
    CallId call = 0;
    double refused_at = 0;
  };
  bool is_open(CallId call) const { return open_.contains(call); }
  void begin_turn();
  double next_refusal() const;

  const Settings settings_;
  bool available_ = true;
  double free_at_ = 0;
  std::deque<Waiting> waiting_;        // for a turn
  std::optional<Turn> turn_;           // at work
  std::deque<Unanswered> unanswered_;  // by arrival; those that have ended fall out as they come up
  std::unordered_set<CallId> open_;    // without an ending yet
  std::uint64_t wasted_turns_ = 0;
};

}  // namespace woadtide::lab::hollow
