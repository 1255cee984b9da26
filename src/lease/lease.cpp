#include "lease/lease.hpp"

#include <algorithm>
#include <array>

namespace woadtide::lease {

namespace {
constexpr std::array<const char*, 7> kStateNames = {"taken",  "leased",   "running", "finished",
                                                    "failed", "in-doubt", "refused"};
}

const char* state_name(State state) { return kStateNames.at(static_cast<std::size_t>(state)); }

std::optional<State> state_from_name(const std::string& name) {
  const auto found = std::find(kStateNames.begin(), kStateNames.end(), name);
  if (found == kStateNames.end()) return std::nullopt;
  return static_cast<State>(found - kStateNames.begin());
}

void LeaseTable::handle(double now, const Event& event, std::vector<Effect>& effects) {
  effects_ = &effects;
  std::visit([&](const auto& alternative) { handle_event(now, alternative); }, event);
  effects_ = nullptr;
}

std::optional<double> LeaseTable::next_due() const {
  if (due_jobs_.empty()) return std::nullopt;
  return due_jobs_.begin()->first;
}

const Job* LeaseTable::find(const std::string& key) const {
  const auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : &found->second.job;
}

void LeaseTable::forget(const std::string& key) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return;
  due_jobs_.erase({found->second.due_ms, key});
  jobs_.erase(found);
}

LeaseTable::OpenJob* LeaseTable::find_leased(const std::string& key, std::uint64_t epoch) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return nullptr;
  OpenJob& open = found->second;
  const bool has_lease = open.job.state == State::leased || open.job.state == State::running;
  return has_lease && open.job.epoch == epoch ? &open : nullptr;
}

LeaseTable::OpenJob& LeaseTable::add(Job job, double final_by_ms) {
  OpenJob& open = jobs_[job.key];
  open.job = std::move(job);
  open.final_by_ms = open.due_ms = final_by_ms;
  due_jobs_.insert({open.due_ms, open.job.key});
  return open;
}

// Updates the time at which the job must be examined even if no event arrives.
void LeaseTable::update_due(OpenJob& open) {
  double due_ms = open.final_by_ms;
  if (open.awaiting_worker)
    due_ms = std::min(due_ms, open.next_ask_ms);
  else if (open.job.state == State::leased || open.job.state == State::running)
    due_ms = std::min(due_ms, open.lease_until_ms);
  if (due_ms == open.due_ms) return;
  due_jobs_.erase({open.due_ms, open.job.key});
  open.due_ms = due_ms;
  due_jobs_.insert({open.due_ms, open.job.key});
}

void LeaseTable::set_state(double now, OpenJob& open, State state) {
  open.job.state = state;
  open.job.changed_at = now;
  update_due(open);
}

void LeaseTable::finalize(double now, OpenJob& open, State state, std::string why) {
  open.awaiting_worker = false;
  open.job.reason = std::move(why);
  set_state(now, open, state);
  due_jobs_.erase({open.due_ms, open.job.key});  // a final job has nothing left to examine
  // A job that is not in the store and never ran needs no record of its refusal.
  if (open.is_recorded || state != State::refused) effects_->push_back(WriteRecord{open.job.key, false});
  effects_->push_back(NotifyClients{open.job.key});
}

// Ends the lease; the job may be dispatched again.
void LeaseTable::release_lease(double now, OpenJob& open) {
  open.awaiting_worker = false;
  set_state(now, open, State::taken);
}

// It is unknown whether an at-most-once job ran. Its worker is asked under a higher epoch, so that messages
// of the old epoch that still arrive change nothing, neither here nor at the worker.
void LeaseTable::resolve_doubt(double now, OpenJob& open, const std::string& why) {
  Job& job = open.job;
  if (!job.answers_inquiries || now >= open.final_by_ms) return finalize(now, open, State::in_doubt, why);
  job.epoch += 1;
  job.reason = why;
  open.awaiting_worker = true;
  open.next_ask_ms = now + settings_.inquiry_interval_ms;
  update_due(open);
  effects_->push_back(RetractFromModule{job.key});
  effects_->push_back(WriteRecord{job.key, false});
  effects_->push_back(AskWorker{job.key, job.worker, job.epoch});
}

void LeaseTable::handle_event(double, const Submitted& event) {
  if (jobs_.contains(event.key)) return;
  Job job;
  job.key = event.key;
  job.repeat = event.repeat;
  job.deadline = event.deadline;
  job.epoch = event.epoch;
  add(std::move(job), event.deadline);
  effects_->push_back(Dispatch{event.key});
}

void LeaseTable::handle_event(double now, const Recovered& event) {
  if (jobs_.contains(event.job.key) || is_final(event.job.state)) return;
  OpenJob& open = add(event.job, std::max(event.job.deadline, now + settings_.recovery_inquiry_ms));
  open.is_recorded = true;
  Job& job = open.job;
  const bool was_leased = job.state != State::taken;
  if (was_leased && job.repeat == RepeatPolicy::at_most_once)
    return resolve_doubt(now, open, "the dispatcher ended while it was out");
  if (now >= job.deadline) return finalize(now, open, State::refused, "its time ran out");
  open.final_by_ms = job.deadline;
  release_lease(now, open);
  effects_->push_back(Dispatch{job.key});
}

void LeaseTable::handle_event(double now, const Resumed& event) {
  if (event.job.state != State::leased && event.job.state != State::running)
    return handle_event(now, Recovered{event.job});
  if (jobs_.contains(event.job.key)) return;
  OpenJob& open = add(event.job, event.job.deadline);
  open.is_recorded = true;
  open.lease_until_ms = now + settings_.lease_ms;
  update_due(open);
}

void LeaseTable::handle_event(double now, const WorkerChosen& event) {
  const auto found = jobs_.find(event.key);
  if (found == jobs_.end()) return effects_->push_back(CancelStart{event.key});
  OpenJob& open = found->second;
  Job& job = open.job;
  const bool has_lease = job.state == State::leased || job.state == State::running;
  // A second lease beside one that may be running: for an idempotent job it ends the first lease; for an
  // at-most-once job it is never granted.
  const bool allowed = job.state == State::taken || (has_lease && job.repeat == RepeatPolicy::idempotent);
  if (!allowed || open.awaiting_worker || now >= job.deadline)
    return effects_->push_back(CancelStart{event.key});
  job.epoch += 1;
  job.worker = event.worker;
  job.ledger = event.ledger;
  job.answers_inquiries = event.answers_inquiries;
  open.lease_until_ms = now + settings_.lease_ms;
  open.is_recorded = true;
  set_state(now, open, State::leased);
  effects_->push_back(WriteRecord{job.key, false});
  effects_->push_back(StartExecution{job.key, job.epoch});
}

void LeaseTable::handle_event(double now, const HeartbeatReceived& event) {
  OpenJob* open = find_leased(event.key, event.epoch);
  if (!open || open->awaiting_worker) return;
  open->lease_until_ms = now + settings_.lease_ms;
  if (open->job.state == State::running) return update_due(*open);
  set_state(now, *open, State::running);
  effects_->push_back(WriteRecord{event.key, true});
}

void LeaseTable::handle_event(double now, const LeasedExecutionEnded& event) {
  OpenJob* open = find_leased(event.key, event.epoch);
  if (!open || open->awaiting_worker) return;
  switch (event.outcome) {
    case ExecutionOutcome::done:
      return finalize(now, *open, State::finished, {});
    case ExecutionOutcome::not_started:
      effects_->push_back(WriteRecord{event.key, true});
      return release_lease(now, *open);
    case ExecutionOutcome::failed:
      if (open->job.repeat == RepeatPolicy::at_most_once)
        return finalize(now, *open, State::failed, "its worker said so");
      return release_lease(now, *open);
    case ExecutionOutcome::unknown:
      if (open->job.repeat == RepeatPolicy::at_most_once)
        return resolve_doubt(now, *open, "its worker was lost");
      return release_lease(now, *open);
  }
}

void LeaseTable::handle_event(double now, const AnsweredWithoutResult& event) {
  const auto found = jobs_.find(event.key);
  if (found == jobs_.end() || is_final(found->second.job.state)) return;
  OpenJob& open = found->second;
  if (open.job.state == State::taken) {
    // An at-most-once job in state `taken` never ran. An idempotent one may have, in which case the decision
    // module reports that it failed.
    if (event.refused || open.job.repeat == RepeatPolicy::at_most_once)
      return finalize(now, open, State::refused, "no worker had room for it");
    return finalize(now, open, State::failed, "no worker could finish it");
  }
  if (open.awaiting_worker) return;
  if (open.job.repeat == RepeatPolicy::at_most_once) return resolve_doubt(now, open, "its time ran out");
  finalize(now, open, State::failed, "its time ran out");
}

void LeaseTable::handle_event(double now, const InquiryAnswered& event) {
  OpenJob* open = find_leased(event.key, event.epoch);
  if (!open || !open->awaiting_worker) return;
  Job& job = open->job;
  switch (event.answer) {
    case InquiryAnswer::finished:
      return finalize(now, *open, State::finished, "as its worker's ledger says");
    case InquiryAnswer::failed:
      return finalize(now, *open, State::failed, "as its worker's ledger says");
    case InquiryAnswer::running:
      open->next_ask_ms = now + settings_.inquiry_interval_ms;
      if (job.state != State::running) effects_->push_back(WriteRecord{job.key, true});
      return set_state(now, *open, State::running);
    case InquiryAnswer::unreachable:
      open->next_ask_ms = now + settings_.inquiry_interval_ms;
      return update_due(*open);
    case InquiryAnswer::unknown:
      return finalize(now, *open, State::in_doubt, "its worker cannot say");
    case InquiryAnswer::never:
      // A ledger other than the one known at the time of the lease may have lost the job.
      if (event.ledger.empty() || event.ledger != job.ledger)
        return finalize(now, *open, State::in_doubt, "its worker has another ledger than before");
      if (now >= job.deadline) return finalize(now, *open, State::refused, "its time ran out");
      open->final_by_ms = job.deadline;
      effects_->push_back(WriteRecord{job.key, true});
      release_lease(now, *open);
      effects_->push_back(Dispatch{job.key});
  }
}

void LeaseTable::handle_event(double now, const Withdrawn& event) {
  const auto found = jobs_.find(event.key);
  if (found == jobs_.end() || found->second.job.state != State::taken) return;
  effects_->push_back(RetractFromModule{event.key});
  finalize(now, found->second, State::refused, "withdrawn by its client");
}

void LeaseTable::handle_event(double now, const TimePassed&) {
  while (!due_jobs_.empty() && due_jobs_.begin()->first <= now) {
    OpenJob& open = jobs_.at(due_jobs_.begin()->second);
    handle_due(now, open);
  }
}

void LeaseTable::handle_due(double now, OpenJob& open) {
  Job& job = open.job;
  if (now >= open.final_by_ms) {
    effects_->push_back(RetractFromModule{job.key});
    if (job.state == State::taken) return finalize(now, open, State::refused, "its time ran out");
    return finalize(now, open, job.repeat == RepeatPolicy::at_most_once ? State::in_doubt : State::failed,
                    "its time ran out");
  }
  if (open.awaiting_worker) {
    open.next_ask_ms = now + settings_.inquiry_interval_ms;
    update_due(open);
    return effects_->push_back(AskWorker{job.key, job.worker, job.epoch});
  }
  // The lease expired without a heartbeat.
  if (job.repeat == RepeatPolicy::at_most_once) return resolve_doubt(now, open, "its heartbeats stopped");
  effects_->push_back(RetractFromModule{job.key});
  release_lease(now, open);
  effects_->push_back(Dispatch{job.key});
}

bool settle(Job& job, double now, bool as_finished, const std::string& who, const std::string& why) {
  if (job.state != State::in_doubt) return false;
  job.state = as_finished ? State::finished : State::failed;
  job.changed_at = now;
  job.reason = "settled by " + who + ": " + why;
  return true;
}

}  // namespace woadtide::lease
