// One change of the whole fleet, led by the real cores of rollout and assessor over members of this process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include "config/operator_file.hpp"
#include "control/assessor.hpp"
#include "rollout/rollout.hpp"

namespace woadtide::lab::scale {

config::RolloutPart rollout_part(int members);

class ChangeHarness {
 public:
  ChangeHarness(int members, std::uint64_t seed);

  // All members have taken the new version's files, and none runs it yet.
  void finish_checks();
  // One second of service at each member.
  void serve_second();
  // What the controller does with the answers of a turn: how each member was found, figures, verdict, tick.
  void turn();
  // Moves all that the stage allows, each answered at once. How many were moved.
  std::size_t move_stage();
  // The verdict has called the stage good.
  void next_stage();

  const rollout::Rollout& rollout() const { return rollout_; }
  std::size_t orders_at_first_tick() const { return orders_at_first_tick_; }

 private:
  void answer_all();

  config::RolloutPart part_;
  rollout::Rollout rollout_;
  control::Assessor assessor_;
  std::map<std::string, control::Sample> samples_;
  std::set<std::string> on_new_;
  std::mt19937_64 random_;
  double now_ms_ = 1'000;
  std::size_t orders_at_first_tick_ = 0;
};

}  // namespace woadtide::lab::scale
