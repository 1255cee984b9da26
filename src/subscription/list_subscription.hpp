// The subscription to the endpoint list: when to call service discovery, and whether the list that is held
// may still be used. A state machine without I/O, clock or random numbers: its owner brings the time and the
// draws. It must not know workers, connections or what discovery says.
//
// Discovery is one service that takes the calls of all dispatchers in turn, and works on those that have been
// given up too. Invariants: while calls fail, two calls begin at most one retry period apart, so that after
// an outage the last dispatcher has the list within `binds_after`; the calls of a large fleet come evenly
// over a period. A list that may lack a change which binds already is not in force.
#pragma once

#include <optional>

#include "woadtide/balance.hpp"

namespace woadtide {

class ListSubscription {
 public:
  // Of `settings` those of the list, and the number of dispatchers; as checked by check().
  explicit ListSubscription(const Settings& settings);

  // All draws are uniform in [0, 1). Returned spans are the time from `now` to the next call.
  Micros begin(Micros now, double draw);
  // A call begins; returns when to call again if by then nothing was heard and nothing failed.
  Micros on_call(Micros now, double draw);
  Micros on_failure(Micros now, std::optional<Micros> as_of, double draw);
  void on_interruption(Micros now, std::optional<Micros> as_of);  // the owner is calling again already
  void on_list(Micros now);  // told by discovery: subscribed from here on
  void on_remembered_list(std::optional<Micros> as_of);

  bool is_subscribed() const { return subscribed_; }
  // Whether no change that this process has not heard of can bind yet.
  bool is_list_in_force(Micros now) const;

 private:
  Micros backoff() const;
  Micros bound_retry(Micros now, Micros last_call, double draw) const;

  const Micros must_ask_within_, binds_after_;
  const bool must_be_told_;
  Micros spread_{0};         // over which the calls of all dispatchers are no more than discovery can take
  Micros longest_period_;    // of calls that fail
  bool subscribed_ = false;  // as far as we know
  int failures_ = 0;         // in a row, counted up to kMostDoublings
  Micros begun_at_{0}, called_at_{0}, failing_since_{0};
  std::optional<Micros> as_of_;  // when nothing newer than the list could be told; absent: never known
};

}  // namespace woadtide
