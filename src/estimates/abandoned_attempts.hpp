// Attempts at one worker that are no longer awaited and still hold a slot there: a cancellation or a time-out
// does not stop the job. It must not know why they were abandoned.
//
// Invariant: at most kMaxAttempts are held, each until its expected end, whatever the rate at which attempts
// are abandoned.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "woadtide/balance.hpp"

namespace woadtide {

class AbandonedAttempts {
 public:
  // No limit of this dispatcher at one worker is larger than this in slots.
  static constexpr std::size_t kMaxAttempts = 64;

  // Adds an attempt with this much work that is expected to end at `expected_end`. Where kMaxAttempts are
  // held, it takes the place of the one that ends first, if that ends before it.
  void add(Micros now, Micros expected_end, Micros work) {
    remove_ended(now);
    if (expected_end <= now) return;
    if (attempts_.size() < kMaxAttempts) return attempts_.push_back({expected_end, work});
    const auto first_to_end =
        std::min_element(attempts_.begin(), attempts_.end(),
                         [](const Attempt& a, const Attempt& b) { return a.expected_end < b.expected_end; });
    if (first_to_end->expected_end < expected_end) *first_to_end = {expected_end, work};
  }

  // Removes those that have ended by `now`.
  void remove_ended(Micros now) {
    std::erase_if(attempts_, [now](const Attempt& attempt) { return attempt.expected_end <= now; });
  }

  // Sum of their work.
  Micros work() const {
    Micros sum{0};
    for (const Attempt& attempt : attempts_) sum += attempt.work;
    return sum;
  }

  // Number of attempts that are held.
  std::size_t size() const { return attempts_.size(); }

 private:
  struct Attempt {
    Micros expected_end{0}, work{0};
  };
  std::vector<Attempt> attempts_;
};

}  // namespace woadtide
