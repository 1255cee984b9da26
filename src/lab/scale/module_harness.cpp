#include "lab/scale/module_harness.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace woadtide::lab::scale {

using namespace std::chrono_literals;

namespace {

constexpr int kZoneCount = 21, kKindCount = 4;
constexpr Micros kEventInterval = 100us;
constexpr double kReportedFreeSlots = 64;
constexpr int kResponsesPerWorker = 6;  // a worker has a limit of its own from five responses on

}  // namespace

woadtide::Settings module_settings(int dispatchers, int number) {
  woadtide::Settings settings;
  settings.dispatchers = dispatchers;
  settings.number = number;
  settings.zone = "zone-00";
  woadtide::ClassSettings task;
  task.aim = 1'400ms;  // urgent work has to start within this time
  task.stretch = 2;
  task.deadline = 1h;
  task.effect = Effect::safe;
  settings.classes.push_back(task);
  settings.max_attempts = 3;
  settings.may_cancel = true;
  settings.tells_start = true;
  settings.max_retry_after = 2s;
  return settings;
}

woadtide::ListEntry worker_entry(int number) {
  const auto padded = [](int value, std::size_t width) {
    std::string text = std::to_string(value);
    return std::string(width - std::min(width, text.size()), '0') + text;
  };
  woadtide::ListEntry entry;
  entry.worker = "worker-" + padded(number, 5);
  entry.zone = "zone-" + padded(number % kZoneCount, 2);
  entry.kind = "kind-" + std::to_string(number % kKindCount);
  return entry;
}

std::vector<woadtide::ListEntry> worker_entries(int count) {
  std::vector<woadtide::ListEntry> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) entries.push_back(worker_entry(i));
  return entries;
}

ModuleHarness::ModuleHarness(ModuleSize size, std::uint64_t seed)
    : entries_(worker_entries(size.workers)), dispatcher_(module_settings(size.dispatchers, 0), seed) {
  send_whole_list();
}

void ModuleHarness::feed(const woadtide::Event& event) {
  now_ += kEventInterval;
  actions_.clear();
  dispatcher_.handle(now_, event, actions_);
}

void ModuleHarness::send_whole_list() { feed(woadtide::ListUpdate{ListKind::full, entries_}); }

// The next worker starts to drain, or becomes ready again.
void ModuleHarness::send_list_change() {
  woadtide::ListEntry& entry = entries_[change_count_++ % entries_.size()];
  entry.state = entry.state == WorkerState::ready ? WorkerState::draining : WorkerState::ready;
  feed(woadtide::ListUpdate{ListKind::changes, {entry}});
}

bool ModuleHarness::send_request() {
  woadtide::Request request;
  request.id = "request-" + std::to_string(++request_count_);
  request.hint = kTaskDuration;
  request.time_left = 1h;
  feed(request);
  for (const woadtide::Action& action : actions_) {
    const auto* send = std::get_if<woadtide::Send>(&action);
    if (!send) continue;
    in_flight_.push_back({send->id, send->worker, now_});
    return true;
  }
  return false;
}

void ModuleHarness::report_start_of_newest() { feed(woadtide::JobStarted{in_flight_.back().id, 0}); }

void ModuleHarness::finish_oldest() {
  const InFlight oldest = std::move(in_flight_.front());
  in_flight_.pop_front();
  complete(oldest, std::nullopt);
}

void ModuleHarness::complete(const InFlight& request, std::optional<woadtide::LoadReport> load) {
  now_ = std::max(now_, request.sent_at + kTaskDuration);
  feed(woadtide::Outcome{request.id, 0, Status::ok, kTaskDuration, true, std::move(load)});
}

void ModuleHarness::fire_limits_timer() { feed(woadtide::TimerFired{"limits"}); }

std::size_t ModuleHarness::fill_to(std::size_t requests) {
  while (in_flight() < requests && send_request()) report_start_of_newest();
  return in_flight();
}

void ModuleHarness::warm_up_workers() {
  woadtide::LoadReport report;
  report.free_slots = kReportedFreeSlots;
  report.held = 0;
  std::map<std::string, int> responses;
  std::size_t sampled_workers = 0;
  while (sampled_workers < entries_.size() && send_request()) {
    const InFlight newest = std::move(in_flight_.back());
    in_flight_.pop_back();
    complete(newest, report);
    if (++responses[newest.worker] == kResponsesPerWorker) sampled_workers += 1;
  }
  fire_limits_timer();
}

}  // namespace woadtide::lab::scale
