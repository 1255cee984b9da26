#include "lab/hollow/call_queue.hpp"

#include <algorithm>
#include <utility>

namespace woadtide::lab::hollow {

void CallQueue::add_call(CallId call, double now, CountLines count_lines) {
  waiting_.push_back({call, now, std::move(count_lines)});
  unanswered_.push_back({call, now + settings_.patience_ms});
  open_.insert(call);
  if (!turn_) start_turn();
}

void CallQueue::abandon(CallId call) {
  open_.erase(call);
  if (!settings_.skips_abandoned) return;
  std::erase_if(waiting_, [call](const Waiting& waiting) { return waiting.call == call; });
}

void CallQueue::start_turn() {
  if (waiting_.empty()) return;
  const Waiting next = std::move(waiting_.front());
  waiting_.pop_front();
  const double starts_at_ms = std::max(free_at_ms_, next.arrived_ms);
  const double lines = static_cast<double>(next.count_lines());
  turn_ =
      ServiceTurn{next.call, starts_at_ms + settings_.work_per_call_ms + settings_.work_per_line_ms * lines};
}

double CallQueue::next_refusal_ms() const {
  for (const Unanswered& unanswered : unanswered_)
    if (is_open(unanswered.call)) return unanswered.refused_at_ms;
  return kNever;
}

double CallQueue::next_due() const { return std::min(turn_ ? turn_->ends_at_ms : kNever, next_refusal_ms()); }

std::vector<CallQueue::CompletedCall> CallQueue::advance(double now) {
  std::vector<CompletedCall> completed;
  for (;;) {
    while (!unanswered_.empty() && !is_open(unanswered_.front().call)) unanswered_.pop_front();
    const double refusal_ms = next_refusal_ms();
    const double turn_ends_ms = turn_ ? turn_->ends_at_ms : kNever;
    if (std::min(refusal_ms, turn_ends_ms) > now) return completed;
    if (refusal_ms < turn_ends_ms) {
      const CallId call = unanswered_.front().call;
      unanswered_.pop_front();
      open_.erase(call);
      completed.push_back({call, Outcome::refused});
      continue;
    }
    const CallId call = turn_->call;
    free_at_ms_ = turn_->ends_at_ms;
    turn_.reset();
    if (!is_open(call)) wasted_turns_ += 1;
    if (is_open(call) && available_) {
      open_.erase(call);
      completed.push_back({call, Outcome::answered});
    }
    start_turn();
  }
}

}  // namespace woadtide::lab::hollow
