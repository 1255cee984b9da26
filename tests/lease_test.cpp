// Tests of the lease state machine: the hard cases one by one, then random events in a small simulation of
// workers, lost and late messages, and crashes, which checks the two main invariants as properties.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "lease/lease.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace woadtide::lease {
namespace {

// A table, the records it wrote, and the effects of its last event.
struct TableHarness {
  LeaseTable table{Settings{1'000, 100, 500}};
  std::map<std::string, Job> records;
  std::vector<Effect> last_effects;

  void handle(double now, const Event& event) {
    last_effects.clear();
    table.handle(now, event, last_effects);
    for (const Effect& effect : last_effects)
      if (const auto* write = std::get_if<WriteRecord>(&effect))
        records[write->key] = *table.find(write->key);
  }
  template <typename Kind>
  const Kind* find_effect() const {
    for (const Effect& effect : last_effects)
      if (const auto* match = std::get_if<Kind>(&effect)) return match;
    return nullptr;
  }
  State state(const std::string& key = "k") const { return table.find(key)->state; }
  // Submits job k and grants its lease to worker w at epoch 1.
  void grant_lease(RepeatPolicy repeat, bool answers, double deadline = 10'000) {
    handle(0, Submitted{"k", repeat, deadline});
    handle(0, WorkerChosen{"k", "w", "L1", answers});
    REQUIRE(find_effect<StartExecution>());
  }
  // A new process that reads the records of this one.
  TableHarness recover_after_crash(double now) const {
    TableHarness recovered;
    for (const auto& [key, job] : records) recovered.handle(now, Recovered{job});
    return recovered;
  }
};

TEST_CASE("a job is written when its lease is granted, before it starts, and again with its result") {
  TableHarness harness;
  harness.handle(0, Submitted{"k", RepeatPolicy::at_most_once, 5'000});
  CHECK(harness.find_effect<Dispatch>());
  CHECK(harness.records.empty());
  harness.handle(1, WorkerChosen{"k", "w", "", false});
  CHECK(std::holds_alternative<WriteRecord>(harness.last_effects[0]));
  CHECK(harness.find_effect<StartExecution>()->epoch == 1);
  harness.handle(2, HeartbeatReceived{"k", 1});
  CHECK(harness.find_effect<WriteRecord>()->lazy);
  harness.handle(3, LeasedExecutionEnded{"k", 1, ExecutionOutcome::done});
  CHECK(harness.find_effect<NotifyClients>());
  CHECK(harness.records.at("k").state == State::finished);
}

TEST_CASE("refusing a job that was never written leaves no record") {
  TableHarness harness;
  harness.handle(0, Submitted{"k", RepeatPolicy::at_most_once, 5'000});
  harness.handle(0, AnsweredWithoutResult{"k", true});
  CHECK(harness.find_effect<NotifyClients>());
  CHECK(harness.state() == State::refused);
  CHECK(harness.records.empty());
}

TEST_CASE(
    "heartbeats renew a lease; when they stop, an idempotent job is dispatched again and the old epoch is "
    "void") {
  TableHarness harness;
  harness.grant_lease(RepeatPolicy::idempotent, false);
  harness.handle(900, HeartbeatReceived{"k", 1});
  harness.handle(1'100, TimePassed{});
  CHECK(harness.last_effects.empty());
  harness.handle(1'900, TimePassed{});
  CHECK(harness.find_effect<Dispatch>());
  harness.handle(1'901, WorkerChosen{"k", "v", "", false});
  CHECK(harness.find_effect<StartExecution>()->epoch == 2);
  harness.handle(1'950, LeasedExecutionEnded{"k", 1, ExecutionOutcome::done});
  CHECK(harness.last_effects.empty());
  harness.handle(1'960, LeasedExecutionEnded{"k", 2, ExecutionOutcome::done});
  CHECK(harness.state() == State::finished);
}

TEST_CASE(
    "an at-most-once job whose heartbeats stop is not dispatched again: its worker is asked, or it is in "
    "doubt") {
  TableHarness plain_worker, answering_worker;
  plain_worker.grant_lease(RepeatPolicy::at_most_once, false);
  plain_worker.handle(1'000, TimePassed{});
  CHECK(plain_worker.state() == State::in_doubt);
  answering_worker.grant_lease(RepeatPolicy::at_most_once, true);
  answering_worker.handle(1'000, TimePassed{});
  CHECK(answering_worker.find_effect<AskWorker>()->epoch == 2);
  CHECK(answering_worker.records.at("k").epoch == 2);  // the new epoch is written before the inquiry
  answering_worker.handle(1'010, LeasedExecutionEnded{"k", 1, ExecutionOutcome::done});
  CHECK(answering_worker.last_effects.empty());
  SUBCASE("it finished meanwhile") {
    answering_worker.handle(1'020, InquiryAnswered{"k", 2, InquiryAnswer::finished, "L1"});
    CHECK(answering_worker.state() == State::finished);
  }
  SUBCASE("it still runs, then finishes") {
    answering_worker.handle(1'020, InquiryAnswered{"k", 2, InquiryAnswer::running, "L1"});
    answering_worker.handle(1'130, TimePassed{});
    CHECK(answering_worker.find_effect<AskWorker>());
    answering_worker.handle(1'140, InquiryAnswered{"k", 2, InquiryAnswer::finished, "L1"});
    CHECK(answering_worker.state() == State::finished);
  }
  SUBCASE("it never arrived: the same ledger proves it, and it is dispatched again") {
    answering_worker.handle(1'020, InquiryAnswered{"k", 2, InquiryAnswer::never, "L1"});
    CHECK(answering_worker.find_effect<Dispatch>());
    answering_worker.handle(1'021, WorkerChosen{"k", "v", "L2", true});
    CHECK(answering_worker.find_effect<StartExecution>()->epoch == 3);
  }
  SUBCASE("the worker restarted with an empty ledger: that proves nothing") {
    answering_worker.handle(1'020, InquiryAnswered{"k", 2, InquiryAnswer::never, "L9"});
    CHECK(answering_worker.state() == State::in_doubt);
  }
  SUBCASE("an answer to an older inquiry changes nothing") {
    answering_worker.handle(1'020, InquiryAnswered{"k", 1, InquiryAnswer::never, "L1"});
    CHECK(answering_worker.last_effects.empty());
  }
  SUBCASE("no answer arrives until the deadline of the job") {
    answering_worker.handle(1'020, InquiryAnswered{"k", 2, InquiryAnswer::unreachable, ""});
    answering_worker.handle(10'000, TimePassed{});
    CHECK(answering_worker.state() == State::in_doubt);
  }
}

TEST_CASE("recovery after a crash, by repeat policy") {
  TableHarness safe, plain_worker, answering_worker;
  safe.grant_lease(RepeatPolicy::idempotent, false);
  CHECK(safe.recover_after_crash(10).find_effect<Dispatch>());
  plain_worker.grant_lease(RepeatPolicy::at_most_once, false);
  CHECK(plain_worker.recover_after_crash(10).state() == State::in_doubt);
  answering_worker.grant_lease(RepeatPolicy::at_most_once, true);
  TableHarness recovered = answering_worker.recover_after_crash(10);
  CHECK(recovered.find_effect<AskWorker>()->epoch == 2);
  // A second crash while the worker is being asked.
  TableHarness recovered_again = recovered.recover_after_crash(20);
  CHECK(recovered_again.find_effect<AskWorker>()->epoch == 3);
  // The deadline passed while no process ran: the worker is asked for a while, and the job is not dispatched
  // again.
  TableHarness late = answering_worker.recover_after_crash(20'000);
  CHECK(late.find_effect<AskWorker>());
  late.handle(20'010, InquiryAnswered{"k", 2, InquiryAnswer::never, "L1"});
  CHECK(late.state() == State::refused);
  TableHarness late_safe = safe.recover_after_crash(20'000);
  CHECK(late_safe.state() == State::refused);
}

TEST_CASE(
    "a job proved not to have run is leased again; an at-most-once job gets no second concurrent lease") {
  TableHarness harness;
  harness.grant_lease(RepeatPolicy::at_most_once, false);
  harness.handle(5, WorkerChosen{"k", "v", "", false});
  CHECK(harness.find_effect<CancelStart>());
  harness.handle(6, LeasedExecutionEnded{"k", 1, ExecutionOutcome::not_started});
  harness.handle(7, WorkerChosen{"k", "v", "", false});
  CHECK(harness.find_effect<StartExecution>()->epoch == 2);
  harness.handle(8, LeasedExecutionEnded{"k", 1, ExecutionOutcome::unknown});
  CHECK(harness.last_effects.empty());
  harness.handle(10'000, WorkerChosen{"k", "u", "", false});
  CHECK(harness.find_effect<CancelStart>());
}

TEST_CASE("a job can be withdrawn only before it has begun") {
  TableHarness harness;
  harness.grant_lease(RepeatPolicy::at_most_once, false);
  harness.handle(1, Withdrawn{"k"});
  CHECK(harness.last_effects.empty());
  harness.handle(2, LeasedExecutionEnded{"k", 1, ExecutionOutcome::not_started});
  harness.handle(3, Withdrawn{"k"});
  CHECK(harness.find_effect<NotifyClients>());
  CHECK(harness.records.at("k").state == State::refused);
}

TEST_CASE("only a job in doubt can be settled, and the record names who did it") {
  Job job;
  job.state = State::finished;
  CHECK_FALSE(settle(job, 1, true, "ann", "books"));
  job.state = State::in_doubt;
  CHECK(settle(job, 1, false, "ann", "not in the books"));
  CHECK(job.state == State::failed);
  CHECK(job.reason == "settled by ann: not in the books");
}

// Simulation ---------------------------------------------------------------------------------------------

// A job in a worker's ledger. `fence`: the lowest epoch that the worker may still begin.
struct LedgerEntry {
  int begun = 0;
  bool ended = false;
  std::uint64_t epoch = 0, fence = 0;
};
// A simulated worker and its ledger.
struct Worker {
  std::string ledger;
  bool answers;
  std::map<std::string, LedgerEntry> ledger_entries;  // lost when it restarts with an empty ledger
};
// A message under way between the dispatcher and a worker.
struct Message {
  enum class Kind { start, ask, heartbeat, end, says } kind;
  std::string key;
  std::uint64_t epoch;
  std::size_t worker;
  ExecutionOutcome end = ExecutionOutcome::done;
  InquiryAnswer says = InquiryAnswer::never;
  std::string ledger = {};
};

struct Simulation {
  LeaseTable table{Settings{50, 10, 30}};
  std::map<std::string, Job> records;
  std::map<std::string, RepeatPolicy> repeat_of;
  // How often each job began at any worker, including those whose ledger was lost.
  std::map<std::string, int> executions_begun;
  std::map<std::string, State> final_states;  // as the clients were notified
  std::vector<Message> in_flight;
  std::vector<std::string> dispatched;  // no worker chosen yet
  std::vector<Worker> workers{{"A", true, {}}, {"B", false, {}}, {"C", true, {}}};
  int ledgers_created = 0;
  double now = 0;

  // `progress`: how much of the effects is carried out before a crash: 0 nothing, 1 the writes, 2 all (no
  // crash).
  void handle(const Event& event, int progress = 2) {
    std::vector<Effect> effects;
    table.handle(now, event, effects);
    if (progress == 0) return crash();
    for (const Effect& effect : effects)
      if (const auto* write = std::get_if<WriteRecord>(&effect))
        records[write->key] = *table.find(write->key);
    if (progress == 1) return crash();
    for (const Effect& effect : effects) carry_out(effect);
  }
  void carry_out(const Effect& effect) {
    if (const auto* start = std::get_if<StartExecution>(&effect)) {
      const Job* job = table.find(start->key);
      RC_ASSERT(records.at(start->key).epoch >= start->epoch);
      in_flight.push_back({Message::Kind::start, start->key, start->epoch, index(job->worker)});
    } else if (const auto* ask = std::get_if<AskWorker>(&effect)) {
      RC_ASSERT(records.at(ask->key).epoch >= ask->epoch);
      in_flight.push_back({Message::Kind::ask, ask->key, ask->epoch, index(ask->worker)});
    } else if (const auto* dispatch = std::get_if<Dispatch>(&effect)) {
      dispatched.push_back(dispatch->key);
    } else if (const auto* retract = std::get_if<RetractFromModule>(&effect)) {
      std::erase(dispatched, retract->key);
    } else if (const auto* notice = std::get_if<NotifyClients>(&effect)) {
      const Job* job = table.find(notice->key);
      // A job gets one final answer; only a refusal may be followed by another attempt.
      const auto before = final_states.find(notice->key);
      RC_ASSERT(before == final_states.end() || before->second == State::refused);
      final_states[notice->key] = job->state;
      if (repeat_of.at(notice->key) == RepeatPolicy::at_most_once && job->state == State::refused)
        RC_ASSERT(executions_begun[notice->key] == 0);
      std::erase(dispatched, notice->key);
      table.forget(notice->key);
    }
  }
  static std::size_t index(const std::string& name) { return static_cast<std::size_t>(name[0] - '0'); }

  void crash() {
    table = LeaseTable(Settings{50, 10, 30});
    dispatched.clear();
    // Connections of the crashed process are closed, but starts that were already sent may still arrive.
    std::erase_if(in_flight, [](const Message& message) { return message.kind != Message::Kind::start; });
    for (const auto& [key, job] : std::map(records))
      if (!is_final(job.state)) handle(Recovered{job});
  }
  void deliver(const Message& message) {
    Worker& worker = workers[message.worker];
    switch (message.kind) {
      case Message::Kind::start: {
        LedgerEntry& entry = worker.ledger_entries[message.key];
        // A worker that answers inquiries honours the newest epoch and begins an at-most-once job once; a
        // plain worker runs whatever it receives.
        if (worker.answers && (message.epoch < entry.fence ||
                               (entry.begun && repeat_of.at(message.key) == RepeatPolicy::at_most_once)))
          return;
        entry.begun += 1;
        entry.epoch = entry.fence = message.epoch;
        executions_begun[message.key] += 1;
        in_flight.push_back({Message::Kind::heartbeat, message.key, message.epoch, message.worker});
        return;
      }
      case Message::Kind::ask: {
        if (!worker.answers) return;
        LedgerEntry& entry = worker.ledger_entries[message.key];
        entry.fence = std::max(entry.fence, message.epoch);
        const InquiryAnswer says = !entry.begun  ? InquiryAnswer::never
                                   : entry.ended ? InquiryAnswer::finished
                                                 : InquiryAnswer::running;
        in_flight.push_back({Message::Kind::says, message.key, message.epoch, message.worker,
                             ExecutionOutcome::done, says, worker.ledger});
        return;
      }
      case Message::Kind::heartbeat:
        return handle(HeartbeatReceived{message.key, message.epoch});
      case Message::Kind::end:
        return handle(LeasedExecutionEnded{message.key, message.epoch, message.end});
      case Message::Kind::says:
        return handle(InquiryAnswered{message.key, message.epoch, message.says, message.ledger});
    }
  }
  // A link breaks: the message on it is lost, or was never sent completely.
  void lose(const Message& message) {
    if (message.kind == Message::Kind::start)
      handle(LeasedExecutionEnded{message.key, message.epoch, ExecutionOutcome::not_started});
    if (message.kind == Message::Kind::end)
      handle(LeasedExecutionEnded{message.key, message.epoch, ExecutionOutcome::unknown});
    if (message.kind == Message::Kind::ask)
      handle(InquiryAnswered{message.key, message.epoch, InquiryAnswer::unreachable, {}});
  }
  void run_step(int action, int argument) {
    const auto nth = static_cast<std::size_t>(argument);
    const std::string key(1, static_cast<char>('a' + argument % 4));
    const int progress = argument % 16 < 13 ? 2 : argument % 2;
    switch (action) {
      case 0: {
        if (table.find(key)) return;
        const auto stored = records.find(key);
        const bool already_final = stored != records.end() && stored->second.state != State::refused;
        if (already_final || (final_states.contains(key) && final_states[key] != State::refused)) return;
        repeat_of[key] = argument % 4 < 3 ? RepeatPolicy::at_most_once : RepeatPolicy::idempotent;
        const std::uint64_t epoch = stored == records.end() ? 0 : stored->second.epoch;
        return handle(Submitted{key, repeat_of[key], now + 200, epoch}, progress);
      }
      case 1: {
        if (dispatched.empty()) return;
        const std::string dispatched_key = dispatched[nth % dispatched.size()];
        const Worker& worker = workers[nth % 3];
        return handle(WorkerChosen{dispatched_key, std::to_string(nth % 3), nth % 5 ? worker.ledger : "",
                                   worker.answers},
                      progress);
      }
      case 2:
        if (dispatched.empty()) return;
        return handle(AnsweredWithoutResult{dispatched[nth % dispatched.size()], argument % 2 == 0},
                      progress);
      case 3: {
        if (in_flight.empty()) return;
        const auto at = in_flight.begin() + static_cast<std::ptrdiff_t>(nth % in_flight.size());
        const Message message = *at;
        in_flight.erase(at);
        return deliver(message);
      }
      case 4: {
        if (in_flight.empty()) return;
        const auto at = in_flight.begin() + static_cast<std::ptrdiff_t>(nth % in_flight.size());
        const Message message = *at;
        in_flight.erase(at);
        return lose(message);
      }
      case 5: {
        Worker& worker = workers[nth % 3];
        const auto entry = worker.ledger_entries.find(key);
        if (entry == worker.ledger_entries.end() || !entry->second.begun || entry->second.ended) return;
        entry->second.ended = true;
        in_flight.push_back({Message::Kind::end, key, entry->second.epoch, nth % 3});
        return;
      }
      case 6:
        now += argument % 40;
        return handle(TimePassed{}, progress);
      case 7:
        return crash();
      case 8: {  // a worker is killed and restarted, with its ledger or with a new, empty one
        Worker& worker = workers[nth % 3];
        // Messages on a link to it are lost with the process.
        std::erase_if(in_flight, [&](const Message& message) {
          return message.worker == nth % 3 &&
                 (message.kind == Message::Kind::start || message.kind == Message::Kind::ask);
        });
        if (argument % 2 == 0) {
          worker.ledger_entries.clear();
          worker.ledger = std::string(1, worker.ledger[0]) + std::to_string(++ledgers_created);
        }
        return;
      }
      case 9:
        return handle(Withdrawn{key}, progress);
      default:
        return;
    }
  }
};

TEST_CASE("random events: no at-most-once job begins twice, every job reaches one final state") {
  CHECK(rc::check([] {
    Simulation simulation;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 240)));
    for (const auto& [action, argument] : steps) {
      simulation.run_step(action, argument);
      for (const auto& [key, count] : simulation.executions_begun)
        if (simulation.repeat_of.at(key) == RepeatPolicy::at_most_once) RC_ASSERT(count <= 1);
    }
    for (int i = 0; i < 200; ++i) {
      simulation.now += 10;
      simulation.handle(TimePassed{});
    }
    RC_ASSERT(simulation.table.size() == 0U);
    for (const auto& [key, job] : simulation.records) RC_ASSERT(is_final(job.state));
    // A job that was reported finished did run.
    for (const auto& [key, state] : simulation.final_states)
      if (state == State::finished) RC_ASSERT(simulation.executions_begun[key] >= 1);
  }));
}

}  // namespace
}  // namespace woadtide::lease
