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

constexpr Micros kStartTime = std::chrono::seconds(1);

class Simulation {
 public:
  Simulation(const ListCrowdLoad& load, std::uint64_t seed) : load_(load) {
    for (int i = 0; i < load.dispatchers; ++i) {
      woadtide::Settings settings = module_settings(load.dispatchers, i);
      settings.list_on_request = true;
      settings.must_ask_within = load.must_ask_within;
      settings.list_binds_after =
          core::to_micros(core::kUpdateBindsAfterMs);  // the same value as in core::read_config
      dispatchers_.emplace_back(settings, seed * 1'000'003 + static_cast<std::uint64_t>(i));
    }
    subscribed_.resize(dispatchers_.size());
  }

  ListCrowdResult run() {
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) send_list_update(i, ListKind::remembered);
    const Micros end = kStartTime + load_.run_time;
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = std::max(now_, events_.begin()->first);
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    for (const auto& [second, calls] : calls_by_second_)
      result_.max_calls_per_second = std::max(result_.max_calls_per_second, calls);
    if (result_.subscribed < load_.dispatchers) result_.all_subscribed_s = seconds(load_.run_time);
    return result_;
  }

 private:
  static double seconds(Micros span) { return std::chrono::duration<double>(span).count(); }

  void send_list_update(std::size_t dispatcher, ListKind kind) {
    woadtide::ListUpdate update{kind, {}};
    if (kind != ListKind::failed) update.entries.push_back(worker_entry(0));
    feed(dispatcher, update);
  }

  void feed(std::size_t dispatcher, const woadtide::Event& event) {
    std::vector<woadtide::Action> actions;
    dispatchers_[dispatcher].handle(now_, event, actions);
    for (const woadtide::Action& action : actions) {
      if (std::holds_alternative<woadtide::Watch>(action)) call_source(dispatcher);
      const auto* timer = std::get_if<woadtide::SetTimer>(&action);
      if (!timer) continue;
      events_.emplace(timer->at, [this, dispatcher, token = timer->token] {
        feed(dispatcher, woadtide::TimerFired{token});
      });
    }
  }

  void call_source(std::size_t dispatcher) {
    if (subscribed_[dispatcher]) return;
    result_.calls += 1;
    calls_by_second_[now_.count() / 1'000'000] += 1;
    source_free_at_ = std::max(now_, source_free_at_) + load_.call_time;
    const bool fails = source_free_at_ > now_ + load_.call_timeout;
    events_.emplace(fails ? now_ + load_.call_timeout : source_free_at_,
                    [this, dispatcher, fails] { fails ? fail_call(dispatcher) : subscribe(dispatcher); });
  }

  void fail_call(std::size_t dispatcher) {
    result_.failed_calls += 1;
    send_list_update(dispatcher, ListKind::failed);
  }

  void subscribe(std::size_t dispatcher) {
    if (!subscribed_[dispatcher]) result_.subscribed += 1;
    subscribed_[dispatcher] = true;
    result_.all_subscribed_s = seconds(now_ - kStartTime);
    send_list_update(dispatcher, ListKind::full);
  }

  const ListCrowdLoad load_;
  Micros now_ = kStartTime, source_free_at_ = kStartTime;
  std::vector<woadtide::Dispatcher> dispatchers_;
  std::vector<bool> subscribed_;
  std::multimap<Micros, std::function<void()>> events_;
  std::map<std::int64_t, int> calls_by_second_;
  ListCrowdResult result_;
};

}  // namespace

ListCrowdResult simulate(const ListCrowdLoad& load, std::uint64_t seed) {
  return Simulation(load, seed).run();
}

}  // namespace woadtide::lab::scale
