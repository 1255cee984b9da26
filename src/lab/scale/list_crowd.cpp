#include "lab/scale/list_crowd.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/host_list.hpp"
#include "lab/scale/module_harness.hpp"

namespace woadtide::lab::scale {

namespace {

constexpr Micros kStart = std::chrono::seconds(1);

class Simulation {
 public:
  Simulation(const ListCrowd& crowd, std::uint64_t seed) : crowd_(crowd) {
    for (int i = 0; i < crowd.dispatchers; ++i) {
      woadtide::Settings settings = module_settings(crowd.dispatchers, i);
      settings.list_on_request = true;
      settings.must_ask_within = crowd.must_ask_within;
      settings.list_binds_after = core::to_micros(core::kToldWithinMs);  // as core::read_config has it
      dispatchers_.emplace_back(settings, seed * 1'000'003 + static_cast<std::uint64_t>(i));
    }
    subscribed_.resize(dispatchers_.size());
  }

  ListCrowdResult run() {
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) tell(i, ListKind::remembered);
    const Micros end = kStart + crowd_.run_time;
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = std::max(now_, events_.begin()->first);
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    for (const auto& [second, calls] : calls_by_second_)
      result_.most_calls_in_a_second = std::max(result_.most_calls_in_a_second, calls);
    if (result_.subscribed < crowd_.dispatchers) result_.all_subscribed_s = seconds(crowd_.run_time);
    return result_;
  }

 private:
  static double seconds(Micros span) { return std::chrono::duration<double>(span).count(); }

  void tell(std::size_t dispatcher, ListKind kind) {
    woadtide::ListUpdate update{kind, {}};
    if (kind != ListKind::failed) update.entries.push_back(worker_entry(0));
    feed(dispatcher, update);
  }

  void feed(std::size_t dispatcher, const woadtide::Event& event) {
    std::vector<woadtide::Action> actions;
    dispatchers_[dispatcher].handle(now_, event, actions);
    for (const woadtide::Action& action : actions) {
      if (std::holds_alternative<woadtide::Watch>(action)) call(dispatcher);
      const auto* timer = std::get_if<woadtide::SetTimer>(&action);
      if (!timer) continue;
      events_.emplace(timer->at, [this, dispatcher, token = timer->token] {
        feed(dispatcher, woadtide::TimerFired{token});
      });
    }
  }

  void call(std::size_t dispatcher) {
    if (subscribed_[dispatcher]) return;
    result_.calls += 1;
    calls_by_second_[now_.count() / 1'000'000] += 1;
    source_free_ = std::max(now_, source_free_) + crowd_.call_time;
    const bool fails = source_free_ > now_ + crowd_.call_patience;
    events_.emplace(fails ? now_ + crowd_.call_patience : source_free_,
                    [this, dispatcher, fails] { fails ? fail(dispatcher) : subscribe(dispatcher); });
  }

  void fail(std::size_t dispatcher) {
    result_.failed_calls += 1;
    tell(dispatcher, ListKind::failed);
  }

  void subscribe(std::size_t dispatcher) {
    if (!subscribed_[dispatcher]) result_.subscribed += 1;
    subscribed_[dispatcher] = true;
    result_.all_subscribed_s = seconds(now_ - kStart);
    tell(dispatcher, ListKind::full);
  }

  const ListCrowd crowd_;
  Micros now_ = kStart, source_free_ = kStart;
  std::vector<woadtide::Dispatcher> dispatchers_;
  std::vector<bool> subscribed_;
  std::multimap<Micros, std::function<void()>> events_;
  std::map<std::int64_t, int> calls_by_second_;
  ListCrowdResult result_;
};

}  // namespace

ListCrowdResult simulate(const ListCrowd& crowd, std::uint64_t seed) { return Simulation(crowd, seed).run(); }

}  // namespace woadtide::lab::scale
