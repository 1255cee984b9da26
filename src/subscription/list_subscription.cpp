#include "subscription/list_subscription.hpp"

#include <algorithm>
#include <utility>

#include "numbers.hpp"

namespace woadtide {
namespace {

constexpr Micros kDefaultAskWithin = std::chrono::seconds(3);  // used where the settings give no time
// Fraction of must_ask_within reserved for one call of one dispatcher: what discovery must sustain by the
// settings, with a margin.
constexpr double kOneCallFraction = 0.008;
constexpr double kMaxSpreadFraction = 0.8;  // of must_ask_within, over which the calls of all are spread
constexpr double kMaxUnspreadCallers = 8;   // dispatchers whose calls discovery can take at the same time
// Fraction of binds_after between the begins of two calls. The rest is for discovery to answer the call.
constexpr double kMaxRetryPeriodFraction = 5.0 / 6;
constexpr int kFirstRetryDivisor = 20;  // of must_ask_within: base of the retry period, which then doubles
constexpr int kMaxBackoffDoublings = 4;
// By the protocol, a list stays valid for this many times must_ask_within after a failed call.
constexpr int kFailedCallValidityPeriods = 4;
// Earliest fraction of a retry period at which to call: where the subscriptions of all dispatchers have
// ended, and where the calls of a large fleet keep their rate.
constexpr double kEarliestRetryFraction = 0.1, kEarliestPacedRetryFraction = 0.8;
constexpr double kCallTimeoutFraction = 0.5;  // of must_ask_within, for a call that gets no reply at all
constexpr double kCallTimeoutJitterFraction = 0.25;

// A time between `min_fraction` of `period` and all of it.
Micros draw_wait(Micros period, double min_fraction, double draw) {
  return scaled(period, min_fraction + (1 - min_fraction) * draw);
}

}  // namespace

ListSubscription::ListSubscription(const Settings& settings)
    : must_ask_within_(settings.must_ask_within.count() > 0 ? settings.must_ask_within : kDefaultAskWithin),
      binds_after_(settings.list_binds_after),
      must_be_told_(settings.list_must_be_told),
      max_retry_period_(binds_after_.count() > 0 ? scaled(binds_after_, kMaxRetryPeriodFraction)
                                                 : Micros::max()) {
  const double spread_callers = settings.dispatchers - kMaxUnspreadCallers;
  spread_ = scaled(must_ask_within_, std::clamp(kOneCallFraction * spread_callers, 0.0, kMaxSpreadFraction));
}

Micros ListSubscription::begin(Micros now, double draw) {
  begun_at_ = now;
  return scaled(std::min(spread_, max_retry_period_), draw);
}

Micros ListSubscription::on_call(Micros now, double draw) {
  called_at_ = now;
  return scaled(scaled(must_ask_within_, kCallTimeoutFraction), 1 - kCallTimeoutJitterFraction * draw);
}

Micros ListSubscription::on_failure(Micros now, std::optional<Micros> as_of, double draw) {
  // This process cannot know whether discovery went down before it started. A list that it only remembers
  // comes into force when no other could be had within must_ask_within.
  if (as_of && (as_of_ || now - begun_at_ >= must_ask_within_)) as_of_ = as_of;
  if (failures_ == 0) failing_since_ = now;
  failures_ = std::min(failures_ + 1, kMaxBackoffDoublings);
  const bool was_subscribed = std::exchange(subscribed_, false);
  return binds_after_.count() > 0 ? retry_within_binding_time(now, was_subscribed ? now : called_at_, draw)
                                  : draw_wait(std::max(backoff(), spread_), kEarliestRetryFraction, draw);
}

Micros ListSubscription::backoff() const { return must_ask_within_ / kFirstRetryDivisor * (1 << failures_); }

// The next call begins at most max_retry_period_ after the last one began.
Micros ListSubscription::retry_within_binding_time(Micros now, Micros last_call, double draw) const {
  // When calls fail for longer than any list stays valid, the calls themselves may be too many. They then
  // come as slowly as the settings allow.
  if (now - failing_since_ >= must_ask_within_ * kFailedCallValidityPeriods && spread_ > max_retry_period_)
    return draw_wait(spread_, kEarliestPacedRetryFraction, draw);
  const Micros latest = last_call + max_retry_period_ - now;
  const Micros earliest = scaled(std::min(backoff(), max_retry_period_), kEarliestRetryFraction);
  // A large fleet keeps its rate of calls, counted from begin to begin. A small one may call sooner.
  const bool is_paced = last_call < now && spread_ >= backoff();
  const Micros wait =
      is_paced ? last_call +
                     draw_wait(std::min(spread_, max_retry_period_), kEarliestPacedRetryFraction, draw) - now
               : draw_wait(std::min(std::max(backoff(), spread_), max_retry_period_), kEarliestRetryFraction,
                           draw);
  return std::max(std::min(wait, latest), earliest);
}

void ListSubscription::on_interruption(Micros now, std::optional<Micros> as_of) {
  subscribed_ = false;
  called_at_ = now;
  if (as_of && as_of_) as_of_ = as_of;
}

void ListSubscription::on_list(Micros now) {
  subscribed_ = true;
  as_of_ = now;
  failures_ = 0;
}

void ListSubscription::on_remembered_list(std::optional<Micros> as_of) {
  if (as_of) as_of_ = as_of;
}

bool ListSubscription::is_list_in_force(Micros now) const {
  if (subscribed_) return true;
  if (binds_after_.count() == 0) return !must_be_told_ || as_of_;
  return as_of_ && now < *as_of_ + binds_after_;
}

}  // namespace woadtide
