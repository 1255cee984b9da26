#include "lab/hollow/hollow_fleet.hpp"

#include <cmath>
#include <string>
#include <utility>

#include "core/clock.hpp"
#include "core/host_list.hpp"

namespace woadtide::lab::hollow {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kZoneCount = 3;
constexpr std::size_t kCellCount = 40;
constexpr int kFirstPort = 8'000, kPortCount = 50'000;  // of the workers' addresses; nothing connects to them

std::string zone_of(std::size_t number) {
  return std::string(1, static_cast<char>('a' + number % kZoneCount));
}

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
  settings.list_binds_after =
      core::to_micros(core::kUpdateBindsAfterMs);  // the value that core::read_config sets
  settings.max_attempts = 4;
  settings.max_retry_after = 2s;
  return settings;
}

}  // namespace

core::Endpoint HollowFleet::worker_endpoint(std::size_t number, woadtide::WorkerState state,
                                            double started_ms) {
  core::Endpoint endpoint;
  endpoint.entry.worker = "worker-" + std::to_string(number);
  endpoint.entry.zone = zone_of(number);
  endpoint.entry.kind = "m2";
  endpoint.entry.cell = static_cast<std::int64_t>(number % kCellCount);
  endpoint.entry.state = state;
  if (started_ms > 0) endpoint.entry.started = core::to_micros(std::floor(started_ms));
  endpoint.address = "127.0.0.1:" + std::to_string(kFirstPort + static_cast<int>(number) % kPortCount);
  return endpoint;
}

HollowFleet::HollowFleet(const HollowFleetSettings& settings, core::Clock& clock, OnList on_list)
    : workers_(static_cast<std::size_t>(settings.workers)), source_(settings.source, clock) {
  for (std::size_t i = 0; i < workers_; ++i) source_.set(worker_endpoint(i, woadtide::WorkerState::ready));
  for (std::size_t i = 0; i < static_cast<std::size_t>(settings.dispatchers); ++i) {
    if (i % static_cast<std::size_t>(settings.dispatchers_per_runtime) == 0)
      runtimes_.push_back(std::make_unique<HollowRuntime>(clock));
    HollowDispatcherSettings dispatcher;
    dispatcher.discovery = source_.address(source_.add_client());
    dispatcher.seed = settings.seed * 1'000'003 + i;
    dispatcher.settings = settings_of(settings, i);
    dispatcher.class_names = {"receipt-check", "refund-payout"};
    HollowDispatcher::OnList list_callback;
    if (on_list) list_callback = [on_list, i](const woadtide::ListUpdate& list) { on_list(i, list); };
    dispatchers_.push_back(std::make_unique<HollowDispatcher>(*runtimes_.back(), std::move(dispatcher),
                                                              std::move(list_callback)));
  }
}

void HollowFleet::start(std::size_t dispatcher, const core::EndpointList& remembered) {
  dispatchers_.at(dispatcher)->stop();
  source_.stop_client(dispatcher);
  source_.start_client(dispatcher, remembered.seq);
  dispatchers_.at(dispatcher)->start(remembered);
}

}  // namespace woadtide::lab::hollow
