#include "lab/scale/change_harness.hpp"

#include <algorithm>
#include <cstdio>
#include <vector>

#include "control/controller.hpp"

namespace woadtide::lab::scale {

using rollout::Order;

namespace {

constexpr int kZones = 21, kRequestsASecond = 4;
constexpr double kTurnMs = 1'000, kMemoryMb = 9, kCpuMsASecond = 2;
constexpr double kLeastMs = 5, kMostMs = 400;

std::string padded(const char* format, int value) {
  char text[32];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

}  // namespace

config::RolloutPart rollout_part(int members) {
  config::RolloutPart part;
  for (int i = 0; i < members; ++i)
    part.members.push_back({padded("dispatcher-%04d", i), padded("zone-%02d", i % kZones), "127.0.0.1:8400"});
  part.look_ms = 0;
  part.bake_ms = 0;
  part.patience_ms = 86'400'000;
  return part;
}

ChangeHarness::ChangeHarness(int members, std::uint64_t seed)
    : part_(rollout_part(members)),
      rollout_(control::plan_of(part_, "change-1")),
      assessor_(part_),
      random_(seed) {
  for (const auto& member : part_.members) {
    control::Sample& sample = samples_[member.name];
    sample.pid = 1;
    sample.memory_mb = kMemoryMb;
    sample.classes["receipt-check"];
    sample.classes["refund-payout"];
  }
}

void ChangeHarness::answer_all() {
  for (const Order& order : rollout_.outstanding()) {
    if (order.kind == Order::Kind::move) on_new_.insert(order.member);
    rollout_.answered(now_ms_, order, true, {});
  }
}

void ChangeHarness::finish_checks() {
  orders_at_first_tick_ = rollout_.tick(now_ms_).size();
  answer_all();
}

void ChangeHarness::serve_second() {
  now_ms_ += kTurnMs;
  for (auto& [name, sample] : samples_) {
    sample.at_ms = now_ms_;
    sample.cpu_ms += kCpuMsASecond;
    for (auto& [class_name, figures] : sample.classes)
      for (int i = 0; i < kRequestsASecond; ++i) {
        const double share = static_cast<double>(random_() >> 11) * 0x1p-53;
        figures.asked += 1;
        figures.add_served(kLeastMs + share * (kMostMs - kLeastMs), false);
      }
  }
}

void ChangeHarness::turn() {
  for (const auto& member : part_.members)
    rollout_.found(now_ms_, member.name, true, on_new_.contains(member.name));
  assessor_.look(samples_, rollout_);
  assessor_.judge(now_ms_, rollout_);
  rollout_.tick(now_ms_);
}

std::size_t ChangeHarness::move_stage() {
  const std::size_t before = on_new_.size();
  while (rollout_.phase() == rollout::Phase::moving) {
    rollout_.tick(now_ms_);
    answer_all();
  }
  return on_new_.size() - before;
}

void ChangeHarness::next_stage() { rollout_.judged(now_ms_, rollout::Word::not_worse, {}); }

}  // namespace woadtide::lab::scale
