// The subscription to the endpoint list: when to call service discovery, and whether the list that is held
// may still be used. A state machine without I/O, clock or random numbers: its owner passes the time and the
// random draws. It must not know workers, connections or what discovery says.
//
// Discovery is one service that handles the calls of all dispatchers one after another, also those whose
// caller has given up. Invariants: while calls fail, two calls begin at most one retry period apart, so that
// after an outage the last dispatcher has the list within `binds_after`; the calls of a large fleet are
// spread evenly over a period. A list that may lack a change which is binding already is not in force.
#pragma once

#include <optional>

#include "woadtide/balance.hpp"

namespace woadtide {

class ListSubscription {
 public:
  // Uses those of `settings` that concern the list, and the number of dispatchers; they have passed check().
  explicit ListSubscription(const Settings& settings);

  // All draws are uniform in [0, 1). Returned spans are the time from `now` to the next call.

  // The dispatcher starts. Must be the first call.
  Micros begin(Micros now, double draw);
  // A call to discovery begins. Returns when to call again if there is no list and no failure by then.
  Micros on_call(Micros now, double draw);
  // A call failed or a subscription ended. `as_of` as in ListUpdate.
  Micros on_failure(Micros now, std::optional<Micros> as_of, double draw);
  // The subscription was interrupted, and the owner is already calling again.
  void on_interruption(Micros now, std::optional<Micros> as_of);
  // Discovery sent a list or changes: subscribed from now on.
  void on_list(Micros now);
  // The owner restored a list that it kept.
  void on_remembered_list(std::optional<Micros> as_of);

  bool is_subscribed() const { return subscribed_; }
  // Whether no change that this process has not received can be binding yet.
  bool is_list_in_force(Micros now) const;

 private:
  Micros backoff() const;
  Micros retry_within_binding_time(Micros now, Micros last_call, double draw) const;

  const Micros must_ask_within_, binds_after_;
  const bool must_be_told_;
  Micros spread_{0};         // time over which discovery can handle one call of each dispatcher
  Micros max_retry_period_;  // between the begins of two calls, while calls fail
  bool subscribed_ = false;  // as far as this side knows
  int failures_ = 0;         // in a row, counted up to kMaxBackoffDoublings
  Micros begun_at_{0}, called_at_{0}, failing_since_{0};
  std::optional<Micros> as_of_;  // last time at which nothing newer than the list existed; absent: not known
};

}  // namespace woadtide
