#include "lab/cluster/judge.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace woadtide::lab::cluster {

namespace {

constexpr double kTimeLimitSlackMs = 50;    // that the protocol allows on every time limit
constexpr double kSchedulingSlackMs = 100;  // scheduling delay where some tens of processes share a few cores
constexpr double kRecoveryMs = 800;         // from a start or SIGCONT until everything held up has resumed

class RunChecker {
 public:
  RunChecker(const Plan& plan, const RunRecords& records) : plan_(plan), records_(records) {}

  Findings run() {
    for (const auto& [worker, entries] : records_.ledgers)
      for (const LedgerEntry& entry : entries) {
        if (entry.what == "begun") start_counts_[entry.key] += 1;
        if (entry.what == "begun" && entry.at_most_once && start_counts_[entry.key] == 2)
          add_finding(findings_.duplicate_payouts, entry.key + ": a payout was started twice");
        if (entry.what == "finished") results_[entry.key].insert(entry.result);
      }
    for (const QueryRecord& query : records_.queries) check_query(query);
    for (const auto& [worker, entries] : records_.ledgers)
      for (const LedgerEntry& entry : entries)
        if (entry.what == "begun") check_start(worker, entry);
    return std::move(findings_);
  }

 private:
  void add_finding(int& count, const std::string& message) {
    count += 1;
    findings_.lines.push_back(message);
  }
  // Whether a fault for which `applies` holds was active between the two times, or ended so shortly before
  // that it still has an effect.
  template <class Predicate>
  bool had_fault(double from, double to, const Predicate& applies) const {
    return std::any_of(plan_.faults.begin(), plan_.faults.end(), [&](const Fault& fault) {
      return fault.from_ms <= to + kSchedulingSlackMs && from <= fault.to_ms + kRecoveryMs && applies(fault);
    });
  }

  void check_query(const QueryRecord& query) {
    findings_.queries += 1;
    const double from = query.sent_ms, to = query.ended_ms;
    const bool dispatcher_fault = had_fault(from, to, [&](const Fault& fault) {
      if (fault.kind == FaultKind::kill || fault.kind == FaultKind::stop)
        return fault.process == query.dispatcher;
      return is_link_fault(fault.kind) && fault.process == "clients" && fault.peer == query.dispatcher;
    });
    const bool corrupted = had_fault(from, to, [&](const Fault& fault) {
      return fault.kind == FaultKind::corrupt &&
             (fault.process == query.dispatcher || fault.peer == query.dispatcher);
    });
    if (query.outcome != QueryRecord::Outcome::answered) {
      if (dispatcher_fault) return void(findings_.excused += 1);
      return add_finding(
          findings_.lost,
          query.id + ": " +
              (query.outcome == QueryRecord::Outcome::timed_out     ? "no answer in time"
               : query.outcome == QueryRecord::Outcome::link_broken ? "the link closed without an answer"
                                                                    : "could not be sent"));
    }
    if (to - from > plan_.scenario.budget_ms + kTimeLimitSlackMs + kSchedulingSlackMs && !dispatcher_fault)
      add_finding(findings_.late,
                  query.id + ": answered " + std::to_string(to - from) + " ms after it was sent");
    const auto starts = start_counts_.find(query.id);
    if (query.status == 200) {
      findings_.served += 1;
      const auto finished = results_.find(query.id);
      if (!corrupted && (finished == results_.end() || !finished->second.contains(query.body)))
        add_finding(findings_.contradictions,
                    query.id + ": served with a body that no worker recorded as its result");
    } else if (query.status == 503 || query.status == 429) {
      findings_.refused += 1;
      if (query.at_most_once && starts != start_counts_.end())
        add_finding(findings_.contradictions, query.id + ": a payout was refused although it had started");
    } else {
      findings_.failed += 1;
      if (query.status < 500 && !corrupted)
        add_finding(findings_.contradictions,
                    query.id + ": a valid query was answered with status " + std::to_string(query.status));
    }
  }

  // The sender follows from the address under which the worker was called: each dispatcher has its own relay.
  void check_start(const std::string& worker, const LedgerEntry& entry) {
    const auto sender = std::find_if(
        plan_.worker_addresses.begin(), plan_.worker_addresses.end(), [&](const auto& addresses) {
          return addresses.second.contains(worker) && addresses.second.at(worker) == entry.called_address;
        });
    if (sender == plan_.worker_addresses.end()) return;
    const std::string& dispatcher = sender->first;
    const double started_at_ms = entry.at_ms - plan_.start_ms;
    double draining_since_ms = -1;
    for (const DiscoveryNotice& notice : records_.notices)
      if (notice.dispatcher == dispatcher && notice.worker == worker && notice.at_ms <= started_at_ms)
        draining_since_ms = !notice.draining ? -1 : draining_since_ms < 0 ? notice.at_ms : draining_since_ms;
    if (draining_since_ms < 0) return;
    // The rule counts from the first byte of a send. A link that delayed it, a delayed list, or a process
    // that was stopped between its decision and its write is not a late send by the dispatcher.
    if (started_at_ms <= draining_since_ms + plan_.scenario.grace_ms + kTimeLimitSlackMs + kSchedulingSlackMs)
      return;
    if (had_fault(draining_since_ms, started_at_ms, [&](const Fault& fault) {
          if (fault.kind == FaultKind::stop || fault.kind == FaultKind::kill)
            return fault.process == dispatcher;
          return is_link_fault(fault.kind) && fault.process == dispatcher &&
                 (fault.peer == worker || fault.peer == "discovery");
        }))
      return;
    add_finding(findings_.late_sends, entry.key + ": started at " + worker + " " +
                                          std::to_string(started_at_ms - draining_since_ms) + " ms after " +
                                          dispatcher + " was notified of its drain");
  }

  const Plan& plan_;
  const RunRecords& records_;
  std::map<std::string, int> start_counts_;
  std::map<std::string, std::set<std::string>> results_;
  Findings findings_;
};

}  // namespace

std::string Findings::summary() const {
  return "queries " + std::to_string(queries) + ": served " + std::to_string(served) + ", refused " +
         std::to_string(refused) + ", failed " + std::to_string(failed) +
         ", without an answer because of a fault " + std::to_string(excused) + "; lost " +
         std::to_string(lost) + ", late " + std::to_string(late) + ", payouts started twice " +
         std::to_string(duplicate_payouts) + ", answers that contradict the ledgers " +
         std::to_string(contradictions) + ", late sends " + std::to_string(late_sends) + ", crashes " +
         std::to_string(crashes);
}

Findings check_run(const Plan& plan, const RunRecords& records) { return RunChecker(plan, records).run(); }

RunRecords read_run_records(const Plan& plan, const std::string& folder) {
  RunRecords records;
  for (int i = 0; i < plan.scenario.dispatchers; ++i) {
    const auto queries = read_query_records(folder + "/asked-n" + std::to_string(i) + ".jsonl");
    records.queries.insert(records.queries.end(), queries.begin(), queries.end());
  }
  records.notices = read_discovery_notices(folder + "/told.jsonl");
  for (int i = 0; i < plan.scenario.workers; ++i) {
    const std::string worker = "w" + std::to_string(i);
    records.ledgers[worker] = Ledger::read(folder + '/' + worker + ".ledger");
  }
  return records;
}

}  // namespace woadtide::lab::cluster
