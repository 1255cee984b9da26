// The subscription to the endpoint list by itself, a fleet of them against one service discovery, and what
// the module does with a list that is not in force.
#include <functional>
#include <map>
#include <optional>
#include <random>

#include "harness.hpp"
#include "subscription/list_subscription.hpp"

namespace woadtide {
namespace {

Settings bound_settings(int dispatchers) {
  Settings settings = plain_settings();
  settings.dispatchers = dispatchers;
  settings.list_on_request = true;
  settings.must_ask_within = 10s;
  settings.list_binds_after = 6s;
  return settings;
}

// Discovery takes the calls of all in turn, each costs `call_time`, and one that waited for `patience` fails
// and is worked on all the same. While it is down calls fail after their patience.
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
    client.life += 1;
    call_in(i, client.subscription->begin(now_, draw()));
  }
  void go_down() {
    up_ = false;
    for (Client& client : clients_)
      if (client.subscription->is_subscribed()) end_watch(client);
  }
  void return_at(Micros when) {
    run_until(when);
    up_ = true;
  }
  void run_until(Micros end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
    now_ = end;
  }
  int subscribed() const {
    int count = 0;
    for (const Client& client : clients_) count += client.subscription->is_subscribed();
    return count;
  }
  Micros last_told() const { return last_told_; }
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
    int life = 0;
    int timer = 0;
  };

  double draw() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void end_watch(Client& client) {
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
    const bool fails = !up_ || begin + call_time_ > now_ + patience_;
    if (up_) free_at_ = begin + call_time_;
    at(fails ? now_ + patience_ : free_at_, i, [this, i, fails, called = now_] {
      Client& client = clients_[static_cast<std::size_t>(i)];
      if (fails) {
        failures_.push_back(now_);
        return call_in(i, client.subscription->on_failure(now_, called, draw()));
      }
      client.subscription->on_list(now_);
      last_told_ = now_;
    });
  }
  // Nothing happens to a client that was started again meanwhile.
  void at(Micros when, int i, std::function<void()> what) {
    events_.emplace(when, [this, i, life = clients_[static_cast<std::size_t>(i)].life, what] {
      if (clients_[static_cast<std::size_t>(i)].life == life) what();
    });
  }

  const Micros call_time_, patience_{2s};
  std::mt19937_64 random_;
  Micros now_{0}, free_at_{0}, last_told_{0};
  bool up_ = true;
  std::vector<Client> clients_;
  std::multimap<Micros, std::function<void()>> events_;
  std::vector<Micros> calls_, failures_;
};

// Guards the drain rule after an outage: a change counts as told 6 s after discovery had it and could be
// reached, and discovery can take all of the fleet in less.
TEST(ListSubscription, AfterAnOutageTheLastOfAFleetIsToldInTime) {
  for (const auto& [dispatchers, call_time] :
       {std::pair{8, Micros{60ms}}, {40, Micros{60ms}}, {300, Micros{15ms}}, {1'000, Micros{4'500us}}})
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE(std::to_string(dispatchers) + " dispatchers, seed " + std::to_string(seed));
      SubscribedFleet fleet(dispatchers, call_time, seed);
      fleet.run_until(10s);
      EXPECT_EQ(fleet.subscribed(), dispatchers);
      fleet.go_down();
      fleet.return_at(18s);
      fleet.run_until(18s + 2s);
      for (int i = 0; i < dispatchers; i += 2) fleet.start(i);  // restarted while the others come back
      fleet.run_until(40s);
      EXPECT_EQ(fleet.subscribed(), dispatchers);
      EXPECT_LE(fleet.last_told(), 20s + 6s) << "from the restart on";
      EXPECT_LE(fleet.failed_since(20s), dispatchers / 50) << "of those that were called before the return";
    }
}

TEST(ListSubscription, AfterAnOutageWithNoRestartAllAreToldInTime) {
  for (const auto& [dispatchers, call_time] :
       {std::pair{8, Micros{60ms}}, {40, Micros{60ms}}, {300, Micros{15ms}}, {1'000, Micros{4'500us}}})
    for (const Micros outage : {Micros{1s}, Micros{8s}, Micros{11s}, Micros{25s}}) {
      SCOPED_TRACE(std::to_string(dispatchers) + " dispatchers, outage " + std::to_string(outage.count()));
      SubscribedFleet fleet(dispatchers, call_time, 9);
      fleet.run_until(10s);
      fleet.go_down();
      fleet.return_at(10s + outage);
      fleet.run_until(60s);
      EXPECT_EQ(fleet.subscribed(), dispatchers);
      EXPECT_LE(fleet.last_told(), 10s + outage + 6s);
    }
}

// A service that takes no more than the settings say would be buried for good by calls at the faster rate.
TEST(ListSubscription, WhereCallsFailForLongTheyComeAsSlowlyAsTheSettingsAllow) {
  SubscribedFleet fleet(300, 25ms, 3);
  fleet.run_until(15s);
  fleet.go_down();
  fleet.run_until(80s);
  EXPECT_LE(fleet.calls_between(70s, 80s), 300 * 10 / 6);
  fleet.return_at(80s);
  fleet.run_until(95s);
  EXPECT_EQ(fleet.subscribed(), 300);
}

TEST(ListSubscription, AListIsInForceForItsTimeFromWhenNothingNewerCouldBeTold) {
  ListSubscription subscription(bound_settings(300));
  subscription.begin(0s, 0.5);
  EXPECT_FALSE(subscription.is_list_in_force(0s)) << "remembered only";
  subscription.on_call(1s, 0.5);
  subscription.on_list(1s);
  EXPECT_TRUE(subscription.is_list_in_force(100s)) << "a watch is open";
  subscription.on_interruption(104s, Micros{100s});
  EXPECT_TRUE(subscription.is_list_in_force(105'999ms));
  EXPECT_FALSE(subscription.is_list_in_force(106s));
  subscription.on_failure(106s, Micros{104s}, 0.5);
  EXPECT_TRUE(subscription.is_list_in_force(109'999ms));
  EXPECT_FALSE(subscription.is_list_in_force(110s));
}

TEST(ListSubscription, ARememberedListComesIntoForceOnlyWhereNoOtherIsToBeHad) {
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
  EXPECT_TRUE(next.is_list_in_force(5s)) << "told by the other process of this dispatcher";
}

TEST(ListSubscription, WithoutABindingTimeAListHoldsUntilAnotherComes) {
  Settings settings = bound_settings(300);
  settings.list_binds_after = 0s;
  ListSubscription subscription(settings);
  subscription.begin(0s, 0.5);
  subscription.on_failure(100s, std::nullopt, 0.5);
  EXPECT_TRUE(subscription.is_list_in_force(1'000s));
}

// Guards the drain rule: a worker on a list that is not in force may have drained long ago.
TEST(Module, NothingIsSentByAListThatIsNotInForce) {
  Driver driver(bound_settings(1));
  driver.list({entry("w")}, ListKind::remembered);
  EXPECT_EQ(driver.ask("a"), "");
  EXPECT_TRUE(driver.did<Refuse>());
  driver.list({entry("w")});
  EXPECT_EQ(driver.ask("b"), "w");
  driver.finish("b");
  driver.pass(1s);
  const Micros ended = driver.now;
  driver.feed(ListUpdate{ListKind::failed, {}, ended});
  driver.pass(5'900ms);
  EXPECT_EQ(driver.ask("c"), "w");
  driver.finish("c");
  driver.pass(200ms);
  EXPECT_EQ(driver.ask("d"), "");
  driver.list({}, ListKind::changes);
  EXPECT_EQ(driver.ask("e"), "w");
}

}  // namespace
}  // namespace woadtide
