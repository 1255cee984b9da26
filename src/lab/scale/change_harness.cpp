#include "lab/scale/change_harness.hpp"

#include <algorithm>
#include <cstdio>
#include <vector>

#include "control/controller.hpp"

namespace woadtide::lab::scale {

using rollout::Order;

namespace {

constexpr int kZoneCount = 21, kRequestsPerSecond = 4;
constexpr double kTurnIntervalMs = 1'000, kMemoryMb = 9, kCpuMsPerSecond = 2;
constexpr double kMinLatencyMs = 5, kMaxLatencyMs = 400;

std::string format_number(const char* format, int value) {
  char text[32];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

}  // namespace

config::RolloutSettings rollout_settings(int members) {
  config::RolloutSettings settings;
  for (int i = 0; i < members; ++i)
    settings.members.push_back(
        {format_number("dispatcher-%04d", i), format_number("zone-%02d", i % kZoneCount), "127.0.0.1:8400"});
  settings.look_ms = 0;
  settings.bake_ms = 0;
  settings.patience_ms = 86'400'000;
  return settings;
}

ChangeHarness::ChangeHarness(int members, std::uint64_t seed)
    : settings_(rollout_settings(members)),
      rollout_(control::make_plan(settings_, "change-1")),
      assessor_(settings_),
      random_(seed) {
  for (const auto& member : settings_.members) {
    control::Sample& sample = samples_[member.name];
    sample.pid = 1;
    sample.memory_mb = kMemoryMb;
    sample.classes["receipt-check"];
    sample.classes["refund-payout"];
  }
}

void ChangeHarness::acknowledge_orders() {
  for (const Order& order : rollout_.outstanding_orders()) {
    if (order.kind == Order::Kind::move) members_on_new_version_.insert(order.member);
    rollout_.on_order_result(now_ms_, order, true, {});
  }
}

void ChangeHarness::complete_checks() {
  orders_at_first_tick_ = rollout_.tick(now_ms_).size();
  acknowledge_orders();
}

void ChangeHarness::serve_one_second() {
  now_ms_ += kTurnIntervalMs;
  for (auto& [name, sample] : samples_) {
    sample.at_ms = now_ms_;
    sample.cpu_ms += kCpuMsPerSecond;
    for (auto& [class_name, stats] : sample.classes)
      for (int i = 0; i < kRequestsPerSecond; ++i) {
        const double uniform = static_cast<double>(random_() >> 11) * 0x1p-53;
        stats.accepted += 1;
        stats.add_served(kMinLatencyMs + uniform * (kMaxLatencyMs - kMinLatencyMs), false);
      }
  }
}

void ChangeHarness::run_turn() {
  for (const auto& member : settings_.members)
    rollout_.on_member_status(now_ms_, member.name, true, members_on_new_version_.contains(member.name));
  assessor_.add_samples(samples_, rollout_);
  assessor_.assess(now_ms_, rollout_);
  rollout_.tick(now_ms_);
}

std::size_t ChangeHarness::move_allowed_members() {
  const std::size_t before = members_on_new_version_.size();
  while (rollout_.phase() == rollout::Phase::moving) {
    rollout_.tick(now_ms_);
    acknowledge_orders();
  }
  return members_on_new_version_.size() - before;
}

void ChangeHarness::approve_stage() {
  rollout_.on_assessment(now_ms_, rollout::StageAssessment::not_worse, {});
}

}  // namespace woadtide::lab::scale
