#include "lease/lease.hpp"

#include <algorithm>
#include <array>

namespace woadtide::lease {

namespace {
constexpr std::array<const char*, 7> kNames = {"taken",  "leased",   "running", "finished",
                                               "failed", "in-doubt", "refused"};
}

const char* name_of(State state) { return kNames.at(static_cast<std::size_t>(state)); }

std::optional<State> state_of(const std::string& name) {
  const auto found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<State>(found - kNames.begin());
}

void Table::handle(double now, const Event& event, std::vector<Effect>& effects) {
  out_ = &effects;
  std::visit([&](const auto& one) { on(now, one); }, event);
  out_ = nullptr;
}

std::optional<double> Table::next_due() const {
  if (due_.empty()) return std::nullopt;
  return due_.begin()->first;
}

const Job* Table::find(const std::string& key) const {
  const auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : &found->second.job;
}

void Table::forget(const std::string& key) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return;
  due_.erase({found->second.due, key});
  jobs_.erase(found);
}

Table::Open* Table::leased(const std::string& key, std::uint64_t epoch) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return nullptr;
  Open& open = found->second;
  const bool out = open.job.state == State::leased || open.job.state == State::running;
  return out && open.job.epoch == epoch ? &open : nullptr;
}

Table::Open& Table::add(Job job, double give_up) {
  Open& open = jobs_[job.key];
  open.job = std::move(job);
  open.give_up = open.due = give_up;
  due_.insert({open.due, open.job.key});
  return open;
}

// When the job has to be looked at without an event.
void Table::schedule(Open& open) {
  double due = open.give_up;
  if (open.asking)
    due = std::min(due, open.ask_at);
  else if (open.job.state == State::leased || open.job.state == State::running)
    due = std::min(due, open.until);
  if (due == open.due) return;
  due_.erase({open.due, open.job.key});
  open.due = due;
  due_.insert({open.due, open.job.key});
}

void Table::set(double now, Open& open, State state) {
  open.job.state = state;
  open.job.changed = now;
  schedule(open);
}

void Table::finish(double now, Open& open, State state, std::string why) {
  open.asking = false;
  open.job.why = std::move(why);
  set(now, open, state);
  due_.erase({open.due, open.job.key});  // nothing is left to look at
  // What the store never heard of and never ran needs no record: the refusal is all there is.
  if (open.written || state != State::refused) out_->push_back(Write{open.job.key, false});
  out_->push_back(Tell{open.job.key});
}

// The lease is over and the job may go out again.
void Table::release(double now, Open& open) {
  open.asking = false;
  set(now, open, State::taken);
}

// Whether an at-most-once job ran is not known here. Its worker is asked, under a higher epoch: whatever
// still comes from the old one changes nothing, here or there.
void Table::doubt(double now, Open& open, const std::string& why) {
  Job& job = open.job;
  if (!job.answers || now >= open.give_up) return finish(now, open, State::in_doubt, why);
  job.epoch += 1;
  job.why = why;
  open.asking = true;
  open.ask_at = now + settings_.ask_every_ms;
  schedule(open);
  out_->push_back(Retract{job.key});
  out_->push_back(Write{job.key, false});
  out_->push_back(Ask{job.key, job.worker, job.epoch});
}

void Table::on(double, const Take& event) {
  if (jobs_.contains(event.key)) return;
  Job job;
  job.key = event.key;
  job.repeat = event.repeat;
  job.deadline = event.deadline;
  job.epoch = event.epoch;
  add(std::move(job), event.deadline);
  out_->push_back(Dispatch{event.key});
}

void Table::on(double now, const Recovered& event) {
  if (jobs_.contains(event.job.key) || is_final(event.job.state)) return;
  Open& open = add(event.job, std::max(event.job.deadline, now + settings_.late_ask_ms));
  open.written = true;
  Job& job = open.job;
  const bool was_out = job.state != State::taken;
  if (was_out && job.repeat == Repeat::once) return doubt(now, open, "the dispatcher ended while it was out");
  if (now >= job.deadline) return finish(now, open, State::refused, "its time ran out");
  open.give_up = job.deadline;
  release(now, open);
  out_->push_back(Dispatch{job.key});
}

void Table::on(double now, const Resumed& event) {
  if (event.job.state != State::leased && event.job.state != State::running)
    return on(now, Recovered{event.job});
  if (jobs_.contains(event.job.key)) return;
  Open& open = add(event.job, event.job.deadline);
  open.written = true;
  open.until = now + settings_.lease_ms;
  schedule(open);
}

void Table::on(double now, const Chosen& event) {
  const auto found = jobs_.find(event.key);
  if (found == jobs_.end()) return out_->push_back(Unsend{event.key});
  Open& open = found->second;
  Job& job = open.job;
  const bool out = job.state == State::leased || job.state == State::running;
  // A second lease beside one that may be running: for a safe job it ends the first, for a payout never.
  const bool allowed = job.state == State::taken || (out && job.repeat == Repeat::safe);
  if (!allowed || open.asking || now >= job.deadline) return out_->push_back(Unsend{event.key});
  job.epoch += 1;
  job.worker = event.worker;
  job.ledger = event.ledger;
  job.answers = event.answers;
  open.until = now + settings_.lease_ms;
  open.written = true;
  set(now, open, State::leased);
  out_->push_back(Write{job.key, false});
  out_->push_back(Start{job.key, job.epoch});
}

void Table::on(double now, const Heard& event) {
  Open* open = leased(event.key, event.epoch);
  if (!open || open->asking) return;
  open->until = now + settings_.lease_ms;
  if (open->job.state == State::running) return schedule(*open);
  set(now, *open, State::running);
  out_->push_back(Write{event.key, true});
}

void Table::on(double now, const Ended& event) {
  Open* open = leased(event.key, event.epoch);
  if (!open || open->asking) return;
  switch (event.end) {
    case End::done:
      return finish(now, *open, State::finished, {});
    case End::not_run:
      out_->push_back(Write{event.key, true});
      return release(now, *open);
    case End::failed:
      if (open->job.repeat == Repeat::once) return finish(now, *open, State::failed, "its worker said so");
      return release(now, *open);
    case End::unknown:
      if (open->job.repeat == Repeat::once) return doubt(now, *open, "its worker was lost");
      return release(now, *open);
  }
}

void Table::on(double now, const GivenUp& event) {
  const auto found = jobs_.find(event.key);
  if (found == jobs_.end() || is_final(found->second.job.state)) return;
  Open& open = found->second;
  if (open.job.state == State::taken) {
    // A payout that is taken never ran. A safe job may have, and then the module's word is that it failed.
    if (event.refused || open.job.repeat == Repeat::once)
      return finish(now, open, State::refused, "no worker had room for it");
    return finish(now, open, State::failed, "no worker could finish it");
  }
  if (open.asking) return;
  if (open.job.repeat == Repeat::once) return doubt(now, open, "its time ran out");
  finish(now, open, State::failed, "its time ran out");
}

void Table::on(double now, const Answered& event) {
  Open* open = leased(event.key, event.epoch);
  if (!open || !open->asking) return;
  Job& job = open->job;
  switch (event.says) {
    case Says::finished:
      return finish(now, *open, State::finished, "as its worker's ledger says");
    case Says::failed:
      return finish(now, *open, State::failed, "as its worker's ledger says");
    case Says::running:
      open->ask_at = now + settings_.ask_every_ms;
      if (job.state != State::running) out_->push_back(Write{job.key, true});
      return set(now, *open, State::running);
    case Says::unreachable:
      open->ask_at = now + settings_.ask_every_ms;
      return schedule(*open);
    case Says::unknown:
      return finish(now, *open, State::in_doubt, "its worker cannot say");
    case Says::never:
      // A ledger that is not the one we knew may have lost the job.
      if (event.ledger.empty() || event.ledger != job.ledger)
        return finish(now, *open, State::in_doubt, "its worker has another ledger than before");
      if (now >= job.deadline) return finish(now, *open, State::refused, "its time ran out");
      open->give_up = job.deadline;
      out_->push_back(Write{job.key, true});
      release(now, *open);
      out_->push_back(Dispatch{job.key});
  }
}

void Table::on(double now, const Withdraw& event) {
  const auto found = jobs_.find(event.key);
  if (found == jobs_.end() || found->second.job.state != State::taken) return;
  out_->push_back(Retract{event.key});
  finish(now, found->second, State::refused, "withdrawn by its client");
}

void Table::on(double now, const Tick&) {
  while (!due_.empty() && due_.begin()->first <= now) {
    Open& open = jobs_.at(due_.begin()->second);
    tick_one(now, open);
  }
}

void Table::tick_one(double now, Open& open) {
  Job& job = open.job;
  if (now >= open.give_up) {
    out_->push_back(Retract{job.key});
    if (job.state == State::taken) return finish(now, open, State::refused, "its time ran out");
    return finish(now, open, job.repeat == Repeat::once ? State::in_doubt : State::failed,
                  "its time ran out");
  }
  if (open.asking) {
    open.ask_at = now + settings_.ask_every_ms;
    schedule(open);
    return out_->push_back(Ask{job.key, job.worker, job.epoch});
  }
  // No heartbeat for a whole lease.
  if (job.repeat == Repeat::once) return doubt(now, open, "its heartbeats stopped");
  out_->push_back(Retract{job.key});
  release(now, open);
  out_->push_back(Dispatch{job.key});
}

bool settle(Job& job, double now, bool as_finished, const std::string& who, const std::string& why) {
  if (job.state != State::in_doubt) return false;
  job.state = as_finished ? State::finished : State::failed;
  job.changed = now;
  job.why = "settled by " + who + ": " + why;
  return true;
}

}  // namespace woadtide::lease
