// Timers by key, each of which can be cancelled. A state machine without clock or I/O: the owner passes the
// time. It must not know what a timer is for.
//
// Invariant: one entry per key, so the queue is as long as the number of things that wait for a time,
// whatever the rate at which they come and go.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace woadtide::core {

// `Key` is a value type with operator<. Times are in milliseconds of the owner's clock.
template <class Key>
class TimerQueue {
 public:
  // Sets the timer of this key, in place of an earlier one.
  void set(const Key& key, double when) {
    const auto [item, is_new] = positions_.try_emplace(key);
    if (!is_new) by_time_.erase(item->second);
    item->second = by_time_.emplace(when, &item->first);
  }

  // Removes the timer of this key, if there is one.
  void cancel(const Key& key) {
    const auto item = positions_.find(key);
    if (item == positions_.end()) return;
    by_time_.erase(item->second);
    positions_.erase(item);
  }

  // Removes and returns the key of the earliest timer that is due at `now`; nullopt where none is. Timers of
  // the same time come in the order in which they were set.
  std::optional<Key> pop_due(double now) {
    if (by_time_.empty() || by_time_.begin()->first > now) return std::nullopt;
    const auto item = positions_.find(*by_time_.begin()->second);
    by_time_.erase(by_time_.begin());
    return std::move(positions_.extract(item).key());
  }

  // Returns the time of the earliest timer; nullopt where none is set.
  std::optional<double> next_time() const {
    if (by_time_.empty()) return std::nullopt;
    return by_time_.begin()->first;
  }

  // Returns the number of timers that are set.
  std::size_t size() const { return by_time_.size(); }

 private:
  using ByTime = std::multimap<double, const Key*>;  // points to the keys of positions_
  ByTime by_time_;
  std::map<Key, typename ByTime::iterator> positions_;
};

}  // namespace woadtide::core
