#include "lab/soak/judge.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace woadtide::lab::soak {

namespace {

using End = RequestRecord::End;

constexpr double kSlackMs = 50;         // PROTOCOL: every time limit is 50 ms longer on sockets
constexpr double kNoticeMs = 100;       // for the run's own threads, which share the machine's cores
constexpr double kLostAfterMs = 500;    // STANDING: an answer later than this is none
constexpr double kLeftMs = 100;         // STANDING: an attempt that begins later after a client's end
constexpr double kBudgetSlackMs = 150;  // STANDING: of the time that an attempt tells its worker
constexpr double kBadClientMs = 3'000;  // LATER: an error or a close, from the connect
constexpr double kOverOneSecondMs = 1'000;

struct Judge {
  Judge(const Records& all, const Rules& all_rules) : records(all), rules(all_rules) {
    for (const AttemptRecord& attempt : records.attempts) attempts_of[attempt.id].push_back(&attempt);
    for (auto& [id, attempts] : attempts_of)
      std::sort(attempts.begin(), attempts.end(),
                [](const AttemptRecord* a, const AttemptRecord* b) { return a->at_ms < b->at_ms; });
    for (const DrainRecord& drain : records.drains) drained_at[drain.worker] = drain.binds_ms;
  }

  Verdict run() {
    verdict.breaks = records.process_faults;
    verdict.attempts = static_cast<int>(records.attempts.size());
    for (const RequestRecord& request : records.requests) look_at(request);
    for (const AttemptRecord& attempt : records.attempts) look_at(attempt);
    for (const BadClientRecord& client : records.bad_clients)
      if (client.ended_ms - client.connected_ms > kBadClientMs + kSlackMs + kNoticeMs)
        say("bad client: " + client.what, client.ended_ms - client.connected_ms,
            "ms until an error or a close");
    measure();
    return std::move(verdict);
  }

  void say(const std::string& what, double figure, const char* unit) {
    char text[48];
    std::snprintf(text, sizeof text, ": %.0f %s", figure, unit);
    verdict.breaks.push_back(what + text);
  }

  bool may_have_run(const std::string& id) const {
    const auto found = attempts_of.find(id);
    return found != attempts_of.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [](const AttemptRecord* attempt) { return !attempt->never_ran; });
  }

  void look_at(const RequestRecord& request) {
    verdict.requests += 1;
    look_at_repeats(request);
    look_at_attempts_behind(request);
    switch (request.end) {
      case End::answered:
        return look_at_answer(request);
      case End::left:
        verdict.left += 1;
        return;
      case End::not_sent:
        verdict.not_sent += 1;
        return;
      case End::unanswered:
        return say("lost: " + request.id + " got no answer", request.ended_ms - request.sent_ms, "ms long");
      case End::closed:
      case End::reset:
        return say("lost: " + request.id + (request.end == End::closed ? " was closed" : " was reset") +
                       " without an answer",
                   request.ended_ms - request.sent_ms, "ms after it was sent");
    }
  }

  void look_at_answer(const RequestRecord& request) {
    const double took = request.ended_ms - request.sent_ms;
    took_ms.push_back(took);
    if (took > request.budget_ms + kLostAfterMs)
      say("lost: " + request.id + " was answered too late", took - request.budget_ms, "ms past its time");
    if (request.status == 200) {
      verdict.served += 1;
      if (request.body != "done " + request.id)
        say("untrue: " + request.id + " was served with '" + request.body + "'", took, "ms");
      return;
    }
    const bool refused = request.status == 503 || request.status == 429;
    (refused ? verdict.refused : verdict.failed) += 1;
    if (refused && request.is_payout && may_have_run(request.id))
      say("duplicate: payout " + request.id + " may have run and was refused", took, "ms");
    if (request.status >= 400 && request.status < 500 && !refused)
      say("untrue: " + request.id + ", a good request, was answered", request.status, "");
  }

  // WIRE: what its workers know for a repeat goes out within the window, from the first attempt that may have
  // run.
  void look_at_known_repeats(const std::vector<const AttemptRecord*>& attempts) {
    const auto first = std::find_if(attempts.begin(), attempts.end(),
                                    [](const AttemptRecord* attempt) { return !attempt->never_ran; });
    if (first == attempts.end() || rules.repeat_window_ms == 0) return;
    for (auto attempt = first + 1; attempt != attempts.end(); ++attempt)
      if (const double after = (*attempt)->at_ms - (*first)->at_ms;
          after > rules.repeat_window_ms + kBudgetSlackMs + kSlackMs)
        say("duplicate: " + (*attempt)->id + " went out again", after, "ms after it may have run");
  }

  void look_at_repeats(const RequestRecord& request) {
    const auto found = attempts_of.find(request.id);
    if (found == attempts_of.end()) return;
    const auto& attempts = found->second;
    if (!request.is_payout) return look_at_known_repeats(attempts);
    for (std::size_t i = 1; i < attempts.size(); ++i)
      if (!attempts[i - 1]->never_ran)
        say("duplicate: payout " + request.id + " went out again",
            attempts[i]->at_ms - attempts[i - 1]->at_ms, "ms after the one before");
  }

  // By when the last attempt may begin: the client's end, its time, or the send after a crossing.
  void look_at_attempts_behind(const RequestRecord& request) {
    const auto found = attempts_of.find(request.id);
    if (found == attempts_of.end()) return;
    const double due = request.sent_ms + request.budget_ms;
    for (const AttemptRecord* attempt : found->second) {
      if (request.end == End::left && attempt->at_ms > request.ended_ms + kLeftMs + kSlackMs + kNoticeMs)
        say("lost: an attempt at " + request.id + " began", attempt->at_ms - request.ended_ms,
            "ms after its client had left");
      if (attempt->at_ms > due + kBudgetSlackMs + kSlackMs + kNoticeMs)
        say("lost: an attempt at " + request.id + " began", attempt->at_ms - due, "ms past its time");
      if (request.sent_again_ms && attempt->at_ms < *request.sent_again_ms)
        say("lost: " + request.id + " was forwarded and its connection ended without an answer",
            *request.sent_again_ms - attempt->at_ms, "ms before it was sent again");
      const double left = std::max(due - attempt->at_ms, 0.0);
      if (attempt->told_budget_ms > left + kBudgetSlackMs + kSlackMs)
        say("deadline: an attempt at " + request.id + " told its worker more time than is left",
            attempt->told_budget_ms - left, "ms more");
    }
  }

  void look_at(const AttemptRecord& attempt) {
    const auto drain = drained_at.find(attempt.worker);
    if (drain == drained_at.end()) return;
    const double after = attempt.at_ms - drain->second;
    if (after > rules.drain_grace_ms + kSlackMs + kNoticeMs)
      say("drain: " + attempt.id + " went to " + attempt.worker, after, "ms after its drain was told");
  }

  void measure() {
    if (took_ms.empty()) return;
    std::sort(took_ms.begin(), took_ms.end());
    verdict.slowest_ms = took_ms.back();
    verdict.p99_ms = took_ms[took_ms.size() * 99 / 100];
    verdict.over_one_second = static_cast<int>(
        std::count_if(took_ms.begin(), took_ms.end(), [](double took) { return took > kOverOneSecondMs; }));
  }

  const Records& records;
  const Rules rules;
  std::map<std::string, std::vector<const AttemptRecord*>> attempts_of;  // by request, in order of time
  std::map<std::string, double> drained_at;
  std::vector<double> took_ms;
  Verdict verdict;
};

}  // namespace

std::string Verdict::summary() const {
  char times[96];
  std::snprintf(times, sizeof times, "p99 %.0f ms, slowest %.0f ms, %d over 1 s", p99_ms, slowest_ms,
                over_one_second);
  return "requests " + std::to_string(requests) + ": served " + std::to_string(served) + ", refused " +
         std::to_string(refused) + ", failed " + std::to_string(failed) + ", left " + std::to_string(left) +
         ", not sent " + std::to_string(not_sent) + "; attempts " + std::to_string(attempts) + "; " + times +
         "; breaks " + std::to_string(breaks.size());
}

Verdict judge(const Records& records, const Rules& rules) { return Judge(records, rules).run(); }

}  // namespace woadtide::lab::soak
