#include "subscription/list_subscription.hpp"

#include <algorithm>
#include <utility>

#include "numbers.hpp"

namespace woadtide {
namespace {

constexpr Micros kDefaultAskWithin = std::chrono::seconds(3);  // where the settings do not tell it
// Of must_ask_within, for one call of one dispatcher: what discovery has to bear by the settings, with room.
constexpr double kShareOfOneCall = 0.008;
constexpr double kMostShare = 0.8;       // of must_ask_within, for the calls of all
constexpr double kCallsWithoutRush = 8;  // dispatchers, whose calls need no spreading
// Of binds_after, between the begins of two calls: the rest is for the call itself to be answered.
constexpr double kLongestPeriodShare = 5.0 / 6;
constexpr int kFirstRetryDivisor = 20;  // of must_ask_within: the first retry period, before it doubles
constexpr int kMostDoublings = 4;
constexpr int kFailedCallHolds =
    4;  // PROTOCOL, WIRE: the list holds so many must_ask_within after a failed call
// Of a period: where a subscription of all has ended, and where calls keep the rate that they have.
constexpr double kEarliestRetry = 0.1, kEarliestPacedRetry = 0.8;
constexpr double kWatchdogShare = 0.5;  // of must_ask_within, for a call of which nothing is heard
constexpr double kWatchdogJitter = 0.25;

Micros between(Micros period, double least_share, double draw) {
  return scaled(period, least_share + (1 - least_share) * draw);
}

}  // namespace

ListSubscription::ListSubscription(const Settings& settings)
    : must_ask_within_(settings.must_ask_within.count() > 0 ? settings.must_ask_within : kDefaultAskWithin),
      binds_after_(settings.list_binds_after),
      must_be_told_(settings.list_must_be_told),
      longest_period_(binds_after_.count() > 0 ? scaled(binds_after_, kLongestPeriodShare) : Micros::max()) {
  const double calls = settings.dispatchers - kCallsWithoutRush;
  spread_ = scaled(must_ask_within_, std::clamp(kShareOfOneCall * calls, 0.0, kMostShare));
}

Micros ListSubscription::begin(Micros now, double draw) {
  begun_at_ = now;
  return scaled(std::min(spread_, longest_period_), draw);
}

Micros ListSubscription::on_call(Micros now, double draw) {
  called_at_ = now;
  return scaled(scaled(must_ask_within_, kWatchdogShare), 1 - kWatchdogJitter * draw);
}

Micros ListSubscription::on_failure(Micros now, std::optional<Micros> as_of, double draw) {
  // Whether discovery went down before this process began, nobody here can know: a list that it only
  // remembers comes into force when no other is to be had within the time that the settings give for asking.
  if (as_of && (as_of_ || now - begun_at_ >= must_ask_within_)) as_of_ = as_of;
  if (failures_ == 0) failing_since_ = now;
  failures_ = std::min(failures_ + 1, kMostDoublings);
  const bool was_subscribed = std::exchange(subscribed_, false);
  return binds_after_.count() > 0 ? bound_retry(now, was_subscribed ? now : called_at_, draw)
                                  : between(std::max(backoff(), spread_), kEarliestRetry, draw);
}

Micros ListSubscription::backoff() const { return must_ask_within_ / kFirstRetryDivisor * (1 << failures_); }

// The next call begins at most a longest period after the last one did.
Micros ListSubscription::bound_retry(Micros now, Micros last_call, double draw) const {
  // Where calls fail for longer than any list may be held to they may be too many themselves: then they come
  // as slowly as the settings allow.
  if (now - failing_since_ >= must_ask_within_ * kFailedCallHolds && spread_ > longest_period_)
    return between(spread_, kEarliestPacedRetry, draw);
  const Micros latest = last_call + longest_period_ - now;
  const Micros earliest = scaled(std::min(backoff(), longest_period_), kEarliestRetry);
  // The calls of a large fleet keep its rate from begin to begin, those of a small one may come sooner.
  const bool is_paced = last_call < now && spread_ >= backoff();
  const Micros wait =
      is_paced ? last_call + between(std::min(spread_, longest_period_), kEarliestPacedRetry, draw) - now
               : between(std::min(std::max(backoff(), spread_), longest_period_), kEarliestRetry, draw);
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
