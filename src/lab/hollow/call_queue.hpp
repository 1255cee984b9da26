// Model of a single-server queue: the calls of a service that processes one at a time. A state machine
// without sockets or a clock: the caller passes in events and the time (ms, never decreasing) and gets
// outcomes back.
//
// Invariants: calls are processed in the order of arrival; each call has at most one outcome; a refused or
// abandoned call still uses its service turn, unless it was abandoned and `skips_abandoned` is set.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace woadtide::lab::hollow {

// First-in, first-out queue of calls with a modelled processing time.
class CallQueue {
 public:
  using CallId = std::uint64_t;
  static constexpr double kNever = 1e18;

  struct Settings {
    double work_per_call_ms = 15;
    double work_per_line_ms = 0.002;  // in addition, for each line of the answer
    double patience_ms = 2'000;       // queue timeout: a call without an answer by then is refused
    bool skips_abandoned = false;     // whether the service notices that a caller disconnected
  };
  enum class Outcome { answered, refused };
  struct CompletedCall {
    CallId call = 0;
    Outcome outcome = Outcome::answered;
  };
  // Returns the number of lines of the answer to a call; called when its turn starts.
  using CountLines = std::function<std::size_t()>;

  explicit CallQueue(Settings settings) : settings_(settings) {}

  // Adds a call at `now`. Call advance(now) first.
  void add_call(CallId call, double now, CountLines count_lines);
  // The caller disconnected: the call gets no outcome any more.
  void abandon(CallId call);
  // While the service is unavailable, turns pass without answers and every call is refused after patience_ms.
  void set_available(bool available) { available_ = available; }
  // Returns all outcomes that are due by `now`, in order of time.
  std::vector<CompletedCall> advance(double now);
  // When the next outcome or end of a turn is due; kNever if there is none.
  double next_due() const;
  // Calls whose turn has not started.
  std::size_t waiting() const { return waiting_.size(); }
  // Turns that were used by calls which were already refused or abandoned.
  std::uint64_t wasted_turns() const { return wasted_turns_; }

 private:
  struct Waiting {
    CallId call = 0;
    double arrived_ms = 0;
    CountLines count_lines;
  };
  struct ServiceTurn {
    CallId call = 0;
    double ends_at_ms = 0;
  };
  struct Unanswered {
    CallId call = 0;
    double refused_at_ms = 0;
  };
  bool is_open(CallId call) const { return open_.contains(call); }
  void start_turn();
  double next_refusal_ms() const;

  const Settings settings_;
  bool available_ = true;
  double free_at_ms_ = 0;
  std::deque<Waiting> waiting_;        // for their turn
  std::optional<ServiceTurn> turn_;    // being processed
  std::deque<Unanswered> unanswered_;  // in order of arrival; completed ones are removed at the front
  std::unordered_set<CallId> open_;    // without an outcome yet
  std::uint64_t wasted_turns_ = 0;
};

}  // namespace woadtide::lab::hollow
