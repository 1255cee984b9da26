// Tests of the subscription to the endpoint list: one by itself, a fleet of them with one service discovery,
// and how the dispatcher module treats a list that is not in force.
#include <functional>
#include <map>
#include <optional>
#include <random>

#include "harness.hpp"
#include "subscription/list_subscription.hpp"

namespace woadtide {
namespace {

Settings bound_settings(int dispatchers) {
  Settings settings = base_settings();
  settings.dispatchers = dispatchers;
  settings.list_on_request = true;
  settings.must_ask_within = 10s;
  settings.list_binds_after = 6s;
  return settings;
}

// Simulates a fleet of subscriptions. Discovery handles the calls of all in turn, each for `call_time`. A
// call that has waited for the call timeout fails but is handled all the same. During an outage calls fail
// after that timeout.
class SubscribedFleet {
 public:
  SubscribedFleet(int dispatchers, Micros call_time, std::uint64_t seed)
      : call_time_(call_time), random_(seed) {
    clients_.resize(static_cast<std::size_t>(dispatchers));
    for (int i = 0; i < dispatchers; ++i) start(i);
  }

  void start(int i) {
    Client& client = clients_[static_cast<std::size_t>(i)];
    client.subscription.emplace(bound_settings(static_cast<int>(clients_.size())));
    client.generation += 1;
    call_in(i, client.subscription->begin(now_, draw()));
  }
  void begin_outage() {
    up_ = false;
    for (Client& client : clients_)
      if (client.subscription->is_subscribed()) end_subscription(client);
  }
  void end_outage_at(Micros when) {
    run_until(when);
    up_ = true;
  }
  void run_until(Micros end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      const auto callback = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      callback();
    }
    now_ = end;
  }
  int subscribed() const {
    int count = 0;
    for (const Client& client : clients_) count += client.subscription->is_subscribed();
    return count;
  }
  Micros last_list_at() const { return last_list_at_; }
  int failed_since(Micros when) const {
    int count = 0;
    for (const Micros failed : failures_) count += failed >= when;
    return count;
  }
  int calls_between(Micros from, Micros to) const {
    int count = 0;
    for (const Micros call : calls_) count += call >= from && call < to;
    return count;
  }

 private:
  struct Client {
    std::optional<ListSubscription> subscription;
    int generation = 0;
    int timer = 0;
  };

  double draw() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void end_subscription(Client& client) {
    const int i = static_cast<int>(&client - clients_.data());
    call_in(i, client.subscription->on_failure(now_, now_, draw()));
  }
  void call_in(int i, Micros wait) {
    Client& client = clients_[static_cast<std::size_t>(i)];
    const int timer = ++client.timer;
    at(now_ + wait, i, [this, i, timer] {
      const Client& caller = clients_[static_cast<std::size_t>(i)];
      if (caller.timer == timer && !caller.subscription->is_subscribed()) call(i);
    });
  }
  void call(int i) {
    calls_.push_back(now_);
    clients_[static_cast<std::size_t>(i)].subscription->on_call(now_, draw());
    const Micros begin = std::max(now_, free_at_);
    const bool fails = !up_ || begin + call_time_ > now_ + call_timeout_;
    if (up_) free_at_ = begin + call_time_;
    at(fails ? now_ + call_timeout_ : free_at_, i, [this, i, fails, called = now_] {
      Client& client = clients_[static_cast<std::size_t>(i)];
      if (fails) {
        failures_.push_back(now_);
        return call_in(i, client.subscription->on_failure(now_, called, draw()));
      }
      client.subscription->on_list(now_);
      last_list_at_ = now_;
    });
  }
  // Runs the callback at `when`, unless the client was restarted meanwhile.
  void at(Micros when, int i, std::function<void()> callback) {
    events_.emplace(when, [this, i, generation = clients_[static_cast<std::size_t>(i)].generation, callback] {
      if (clients_[static_cast<std::size_t>(i)].generation == generation) callback();
    });
  }

  const Micros call_time_, call_timeout_{2s};
  std::mt19937_64 random_;
  Micros now_{0}, free_at_{0}, last_list_at_{0};
  bool up_ = true;
  std::vector<Client> clients_;
  std::multimap<Micros, std::function<void()>> events_;
  std::vector<Micros> calls_, failures_;
};

// A change is binding 6 s after discovery had it and could be reached, also after an outage; discovery can
// handle the calls of the whole fleet in less. A dispatcher that got the list later would send to drained
// workers.
TEST(ListSubscription, AfterAnOutageAllGetTheListInTimeDespiteRestarts) {
  for (const auto& [dispatchers, call_time] :
       {std::pair{8, Micros{60ms}}, {40, Micros{60ms}}, {300, Micros{15ms}}, {1'000, Micros{4'500us}}})
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE(std::to_string(dispatchers) + " dispatchers, seed " + std::to_string(seed));
      SubscribedFleet fleet(dispatchers, call_time, seed);
      fleet.run_until(10s);
      EXPECT_EQ(fleet.subscribed(), dispatchers);
      fleet.begin_outage();
      fleet.end_outage_at(18s);
      fleet.run_until(18s + 2s);
      for (int i = 0; i < dispatchers; i += 2) fleet.start(i);  // restart while the others subscribe again
      fleet.run_until(40s);
      EXPECT_EQ(fleet.subscribed(), dispatchers);
      EXPECT_LE(fleet.last_list_at(), 20s + 6s) << "from the restart on";
      EXPECT_LE(fleet.failed_since(20s), dispatchers / 50)
          << "only calls from before the end of the outage may fail";
    }
}

TEST(ListSubscription, AfterAnOutageAllGetTheListInTime) {
  for (const auto& [dispatchers, call_time] :
       {std::pair{8, Micros{60ms}}, {40, Micros{60ms}}, {300, Micros{15ms}}, {1'000, Micros{4'500us}}})
    for (const Micros outage : {Micros{1s}, Micros{8s}, Micros{11s}, Micros{25s}}) {
      SCOPED_TRACE(std::to_string(dispatchers) + " dispatchers, outage " + std::to_string(outage.count()));
      SubscribedFleet fleet(dispatchers, call_time, 9);
      fleet.run_until(10s);
      fleet.begin_outage();
      fleet.end_outage_at(10s + outage);
      fleet.run_until(60s);
      EXPECT_EQ(fleet.subscribed(), dispatchers);
      EXPECT_LE(fleet.last_list_at(), 10s + outage + 6s);
    }
}

// Calls at the faster rate would overload for ever a discovery that can handle no more than the settings say.
TEST(ListSubscription, AfterLongFailureCallsComeAsSlowlyAsTheSettingsAllow) {
  SubscribedFleet fleet(300, 25ms, 3);
  fleet.run_until(15s);
  fleet.begin_outage();
  fleet.run_until(80s);
  EXPECT_LE(fleet.calls_between(70s, 80s), 300 * 10 / 6);
  fleet.end_outage_at(80s);
  fleet.run_until(95s);
  EXPECT_EQ(fleet.subscribed(), 300);
}

TEST(ListSubscription, ListStaysInForceForTheBindingTime) {
  ListSubscription subscription(bound_settings(300));
  subscription.begin(0s, 0.5);
  EXPECT_FALSE(subscription.is_list_in_force(0s)) << "remembered only";
  subscription.on_call(1s, 0.5);
  subscription.on_list(1s);
  EXPECT_TRUE(subscription.is_list_in_force(100s)) << "subscribed";
  subscription.on_interruption(104s, Micros{100s});
  EXPECT_TRUE(subscription.is_list_in_force(105'999ms));
  EXPECT_FALSE(subscription.is_list_in_force(106s));
  subscription.on_failure(106s, Micros{104s}, 0.5);
  EXPECT_TRUE(subscription.is_list_in_force(109'999ms));
  EXPECT_FALSE(subscription.is_list_in_force(110s));
}

TEST(ListSubscription, RememberedListIsInForceOnlyWhenDiscoveryCannotBeReached) {
  ListSubscription subscription(bound_settings(300));
  subscription.begin(0s, 0.5);
  subscription.on_remembered_list(std::nullopt);
  subscription.on_call(5s, 0.5);
  subscription.on_failure(7s, Micros{5s}, 0.5);
  EXPECT_FALSE(subscription.is_list_in_force(7s));
  subscription.on_call(9s, 0.5);
  subscription.on_failure(11s, Micros{9s}, 0.5);
  EXPECT_TRUE(subscription.is_list_in_force(11s)) << "no list within must_ask_within";
  ListSubscription next(bound_settings(300));
  next.begin(0s, 0.5);
  next.on_remembered_list(Micros{0s});
  EXPECT_TRUE(next.is_list_in_force(5s)) << "known to be current by the other process of this dispatcher";
}

TEST(ListSubscription, WithoutABindingTimeAListHoldsUntilTheNextOne) {
  Settings settings = bound_settings(300);
  settings.list_binds_after = 0s;
  ListSubscription subscription(settings);
  subscription.begin(0s, 0.5);
  subscription.on_failure(100s, std::nullopt, 0.5);
  EXPECT_TRUE(subscription.is_list_in_force(1'000s));
}

// A worker on a list that is not in force may have drained long ago, so nothing may be sent to it.
TEST(Module, NothingIsSentByAListThatIsNotInForce) {
  Driver driver(bound_settings(1));
  driver.update_list({entry("w")}, ListKind::remembered);
  EXPECT_EQ(driver.request("a"), "");
  EXPECT_TRUE(driver.emitted<Refuse>());
  driver.update_list({entry("w")});
  EXPECT_EQ(driver.request("b"), "w");
  driver.finish("b");
  driver.advance(1s);
  const Micros ended = driver.now;
  driver.feed(ListUpdate{ListKind::failed, {}, ended});
  driver.advance(5'900ms);
  EXPECT_EQ(driver.request("c"), "w");
  driver.finish("c");
  driver.advance(200ms);
  EXPECT_EQ(driver.request("d"), "");
  driver.update_list({}, ListKind::changes);
  EXPECT_EQ(driver.request("e"), "w");
}

}  // namespace
}  // namespace woadtide
