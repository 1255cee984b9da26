#include "lab/hollow/hollow_fleet.hpp"

#include <cmath>
#include <string>
#include <utility>

#include "core/clock.hpp"
#include "core/host_list.hpp"

namespace woadtide::lab::hollow {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kZones = 3;
constexpr std::size_t kCells = 40;
constexpr int kFirstPort = 8'000, kPorts = 50'000;  // of the workers' addresses, to which nothing connects

std::string zone_of(std::size_t number) { return std::string(1, static_cast<char>('a' + number % kZones)); }

woadtide::ClassSettings class_settings(woadtide::Effect effect) {
  woadtide::ClassSettings settings;
  settings.aim = 400ms;
  settings.deadline = 5s;
  settings.effect = effect;
  return settings;
}

woadtide::Settings settings_of(const HollowFleetSettings& fleet, std::size_t number) {
  woadtide::Settings settings;
  settings.dispatchers = fleet.dispatchers;
  settings.number = static_cast<int>(number);
  settings.zone = zone_of(number);
  settings.classes = {class_settings(woadtide::Effect::safe), class_settings(woadtide::Effect::unsafe)};
  settings.list_on_request = true;
  settings.must_ask_within = core::to_micros(fleet.must_ask_within_ms);
  settings.list_binds_after = core::to_micros(core::kToldWithinMs);  // as core::read_config has it
  settings.max_attempts = 4;
  settings.max_retry_after = 2s;
  return settings;
}

}  // namespace

core::Host HollowFleet::worker(std::size_t number, woadtide::WorkerState state, double started_ms) {
  core::Host host;
  host.entry.worker = "worker-" + std::to_string(number);
  host.entry.zone = zone_of(number);
  host.entry.kind = "m2";
  host.entry.cell = static_cast<std::int64_t>(number % kCells);
  host.entry.state = state;
  if (started_ms > 0) host.entry.started = core::to_micros(std::floor(started_ms));
  host.dial = "127.0.0.1:" + std::to_string(kFirstPort + static_cast<int>(number) % kPorts);
  return host;
}

HollowFleet::HollowFleet(const HollowFleetSettings& settings, core::Clock& clock, OnList on_list)
    : workers_(static_cast<std::size_t>(settings.workers)), source_(settings.source, clock) {
  for (std::size_t i = 0; i < workers_; ++i) source_.set(worker(i, woadtide::WorkerState::ready));
  for (std::size_t i = 0; i < static_cast<std::size_t>(settings.dispatchers); ++i) {
    if (i % static_cast<std::size_t>(settings.dispatchers_per_runtime) == 0)
      runtimes_.push_back(std::make_unique<HollowRuntime>(clock));
    HollowDispatcherSettings one;
    one.discovery = source_.address(source_.add_client());
    one.seed = settings.seed * 1'000'003 + i;
    one.settings = settings_of(settings, i);
    one.class_names = {"receipt-check", "refund-payout"};
    HollowDispatcher::OnList observer;
    if (on_list) observer = [on_list, i](const woadtide::ListUpdate& list) { on_list(i, list); };
    dispatchers_.push_back(
        std::make_unique<HollowDispatcher>(*runtimes_.back(), std::move(one), std::move(observer)));
  }
}

void HollowFleet::start(std::size_t dispatcher, const core::HostList& remembered) {
  dispatchers_.at(dispatcher)->stop();
  source_.end_client(dispatcher);
  source_.begin_client(dispatcher, remembered.seq);
  dispatchers_.at(dispatcher)->start(remembered);
}

}  // namespace woadtide::lab::hollow
