#include "lab/hollow/call_queue.hpp"

#include <algorithm>
#include <utility>

namespace woadtide::lab::hollow {

void CallQueue::arrive(CallId call, double now, CountLines count_lines) {
  waiting_.push_back({call, now, std::move(count_lines)});
  unanswered_.push_back({call, now + settings_.patience_ms});
  open_.insert(call);
  if (!turn_) begin_turn();
}

void CallQueue::abandon(CallId call) {
  open_.erase(call);
  if (!settings_.skips_abandoned) return;
  std::erase_if(waiting_, [call](const Waiting& waiting) { return waiting.call == call; });
}

void CallQueue::begin_turn() {
  if (waiting_.empty()) return;
  const Waiting next = std::move(waiting_.front());
  waiting_.pop_front();
  const double begins = std::max(free_at_, next.arrived);
  const double lines = static_cast<double>(next.count_lines());
  turn_ = Turn{next.call, begins + settings_.work_per_call_ms + settings_.work_per_line_ms * lines};
}

double CallQueue::next_refusal() const {
  for (const Unanswered& unanswered : unanswered_)
    if (is_open(unanswered.call)) return unanswered.refused_at;
  return kNever;
}

double CallQueue::next_due() const { return std::min(turn_ ? turn_->ends : kNever, next_refusal()); }

std::vector<CallQueue::Ended> CallQueue::advance(double now) {
  std::vector<Ended> ended;
  for (;;) {
    while (!unanswered_.empty() && !is_open(unanswered_.front().call)) unanswered_.pop_front();
    const double refusal = next_refusal();
    const double turn_ends = turn_ ? turn_->ends : kNever;
    if (std::min(refusal, turn_ends) > now) return ended;
    if (refusal < turn_ends) {
      const CallId call = unanswered_.front().call;
      unanswered_.pop_front();
      open_.erase(call);
      ended.push_back({call, Ending::refused});
      continue;
    }
    const CallId call = turn_->call;
    free_at_ = turn_->ends;
    turn_.reset();
    if (!is_open(call)) wasted_turns_ += 1;
    if (is_open(call) && available_) {
      open_.erase(call);
      ended.push_back({call, Ending::answered});
    }
    begin_turn();
  }
}

}  // namespace woadtide::lab::hollow
