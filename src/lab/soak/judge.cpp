#include "lab/soak/judge.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace woadtide::lab::soak {

namespace {

using End = RequestRecord::End;

constexpr double kSocketSlackMs = 50;       // the protocol allows 50 ms more for every time limit on sockets
constexpr double kSchedulingSlackMs = 100;  // delay of the run's own threads, which share the machine's cores
constexpr double kAnswerSlackMs = 500;      // an answer this late after its deadline counts as lost
constexpr double kDisconnectNoticeMs = 100;  // attempts may start for this long after a client's disconnect
constexpr double kBudgetSlackMs = 150;       // tolerance of the time budget sent to a worker
constexpr double kBadClientLimitMs = 3'000;  // from connect until an error answer or a close
constexpr double kOverOneSecondMs = 1'000;

struct RecordChecker {
  RecordChecker(const Records& run_records, const Rules& run_rules) : records(run_records), rules(run_rules) {
    for (const AttemptRecord& attempt : records.attempts) attempts_of[attempt.id].push_back(&attempt);
    for (auto& [id, attempts] : attempts_of)
      std::sort(attempts.begin(), attempts.end(),
                [](const AttemptRecord* a, const AttemptRecord* b) { return a->at_ms < b->at_ms; });
    for (const DrainRecord& drain : records.drains) drain_binds_at[drain.worker] = drain.binds_ms;
  }

  Verdict run() {
    verdict.violations = records.process_faults;
    verdict.attempts = static_cast<int>(records.attempts.size());
    for (const RequestRecord& request : records.requests) check(request);
    for (const AttemptRecord& attempt : records.attempts) check(attempt);
    for (const BadClientRecord& client : records.bad_clients)
      if (client.ended_ms - client.connected_ms > kBadClientLimitMs + kSocketSlackMs + kSchedulingSlackMs)
        add_violation("bad client: " + client.what, client.ended_ms - client.connected_ms,
                      "ms until an error or a close");
    compute_latencies();
    return std::move(verdict);
  }

  void add_violation(const std::string& what, double value, const char* unit) {
    char text[48];
    std::snprintf(text, sizeof text, ": %.0f %s", value, unit);
    verdict.violations.push_back(what + text);
  }

  bool may_have_run(const std::string& id) const {
    const auto entry = attempts_of.find(id);
    return entry != attempts_of.end() &&
           std::any_of(entry->second.begin(), entry->second.end(),
                       [](const AttemptRecord* attempt) { return !attempt->never_ran; });
  }

  void check(const RequestRecord& request) {
    verdict.requests += 1;
    check_repeats(request);
    check_attempt_times(request);
    switch (request.end) {
      case End::answered:
        return check_answer(request);
      case End::client_left:
        verdict.client_left += 1;
        return;
      case End::not_sent:
        verdict.not_sent += 1;
        return;
      case End::unanswered:
        return add_violation("lost: " + request.id + " got no answer", request.ended_ms - request.sent_ms,
                             "ms long");
      case End::closed:
      case End::reset:
        return add_violation("lost: " + request.id +
                                 (request.end == End::closed ? " was closed" : " was reset") +
                                 " without an answer",
                             request.ended_ms - request.sent_ms, "ms after it was sent");
    }
  }

  void check_answer(const RequestRecord& request) {
    const double latency_ms = request.ended_ms - request.sent_ms;
    latencies_ms.push_back(latency_ms);
    if (latency_ms > request.budget_ms + kAnswerSlackMs)
      add_violation("lost: " + request.id + " was answered too late", latency_ms - request.budget_ms,
                    "ms past its deadline");
    if (request.status == 200) {
      verdict.served += 1;
      if (request.body != "done " + request.id)
        add_violation("untrue: " + request.id + " was served with '" + request.body + "'", latency_ms, "ms");
      return;
    }
    const bool refused = request.status == 503 || request.status == 429;
    (refused ? verdict.refused : verdict.failed) += 1;
    if (refused && request.is_payout && may_have_run(request.id))
      add_violation("duplicate: payout " + request.id + " may have run and was refused", latency_ms, "ms");
    if (request.status >= 400 && request.status < 500 && !refused)
      add_violation("untrue: " + request.id + ", a valid request, was answered", request.status, "");
  }

  // Queries whose repeats workers recognise may be repeated only within the window, which starts with the
  // first attempt that may have run.
  void check_deduplicated_repeats(const std::vector<const AttemptRecord*>& attempts) {
    const auto first = std::find_if(attempts.begin(), attempts.end(),
                                    [](const AttemptRecord* attempt) { return !attempt->never_ran; });
    if (first == attempts.end() || rules.repeat_window_ms == 0) return;
    for (auto attempt = first + 1; attempt != attempts.end(); ++attempt)
      if (const double after_ms = (*attempt)->at_ms - (*first)->at_ms;
          after_ms > rules.repeat_window_ms + kBudgetSlackMs + kSocketSlackMs)
        add_violation("duplicate: " + (*attempt)->id + " was sent again", after_ms,
                      "ms after it may have run");
  }

  void check_repeats(const RequestRecord& request) {
    const auto entry = attempts_of.find(request.id);
    if (entry == attempts_of.end()) return;
    const auto& attempts = entry->second;
    if (!request.is_payout) return check_deduplicated_repeats(attempts);
    for (std::size_t i = 1; i < attempts.size(); ++i)
      if (!attempts[i - 1]->never_ran)
        add_violation("duplicate: payout " + request.id + " was sent again",
                      attempts[i]->at_ms - attempts[i - 1]->at_ms, "ms after the previous attempt");
  }

  // Checks the latest start of an attempt: the client's disconnect or the deadline. An attempt before the
  // request was sent again shows that the dispatcher had accepted it on the connection that it closed.
  void check_attempt_times(const RequestRecord& request) {
    const auto entry = attempts_of.find(request.id);
    if (entry == attempts_of.end()) return;
    const double deadline_ms = request.sent_ms + request.budget_ms;
    for (const AttemptRecord* attempt : entry->second) {
      if (request.end == End::client_left &&
          attempt->at_ms > request.ended_ms + kDisconnectNoticeMs + kSocketSlackMs + kSchedulingSlackMs)
        add_violation("lost: an attempt at " + request.id + " started", attempt->at_ms - request.ended_ms,
                      "ms after its client had left");
      if (attempt->at_ms > deadline_ms + kBudgetSlackMs + kSocketSlackMs + kSchedulingSlackMs)
        add_violation("lost: an attempt at " + request.id + " started", attempt->at_ms - deadline_ms,
                      "ms past its deadline");
      if (request.sent_again_ms && attempt->at_ms < *request.sent_again_ms)
        add_violation("lost: " + request.id + " was forwarded and its connection ended without an answer",
                      *request.sent_again_ms - attempt->at_ms, "ms before it was sent again");
      const double remaining_ms = std::max(deadline_ms - attempt->at_ms, 0.0);
      if (attempt->told_budget_ms > remaining_ms + kBudgetSlackMs + kSocketSlackMs)
        add_violation("deadline: an attempt at " + request.id + " gave its worker more time than remained",
                      attempt->told_budget_ms - remaining_ms, "ms more");
    }
  }

  void check(const AttemptRecord& attempt) {
    const auto drain = drain_binds_at.find(attempt.worker);
    if (drain == drain_binds_at.end()) return;
    const double after_ms = attempt.at_ms - drain->second;
    if (after_ms > rules.drain_grace_ms + kSocketSlackMs + kSchedulingSlackMs)
      add_violation("drain: " + attempt.id + " went to " + attempt.worker, after_ms,
                    "ms after its drain was binding");
  }

  void compute_latencies() {
    if (latencies_ms.empty()) return;
    std::sort(latencies_ms.begin(), latencies_ms.end());
    verdict.slowest_ms = latencies_ms.back();
    verdict.p99_ms = latencies_ms[latencies_ms.size() * 99 / 100];
    verdict.over_one_second =
        static_cast<int>(std::count_if(latencies_ms.begin(), latencies_ms.end(),
                                       [](double latency_ms) { return latency_ms > kOverOneSecondMs; }));
  }

  const Records& records;
  const Rules rules;
  std::map<std::string, std::vector<const AttemptRecord*>> attempts_of;  // by request id, ordered by time
  std::map<std::string, double> drain_binds_at;
  std::vector<double> latencies_ms;
  Verdict verdict;
};

}  // namespace

std::string Verdict::summary() const {
  char latencies[96];
  std::snprintf(latencies, sizeof latencies, "p99 %.0f ms, slowest %.0f ms, %d over 1 s", p99_ms, slowest_ms,
                over_one_second);
  return "requests " + std::to_string(requests) + ": served " + std::to_string(served) + ", refused " +
         std::to_string(refused) + ", failed " + std::to_string(failed) + ", left " +
         std::to_string(client_left) + ", not sent " + std::to_string(not_sent) + "; attempts " +
         std::to_string(attempts) + "; " + latencies + "; breaks " + std::to_string(violations.size());
}

Verdict check_records(const Records& records, const Rules& rules) {
  return RecordChecker(records, rules).run();
}

}  // namespace woadtide::lab::soak
