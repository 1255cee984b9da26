// Tests of the protocol's four rules, by single cases and under seeded random events: which repeats, refusals
// and failures are allowed, and what draining, excluded and cold workers may be sent.
#include <random>
#include <set>

#include "harness.hpp"

namespace woadtide {
namespace {

TEST(Answer, AttemptThatDidNotRunIsSentElsewhereAtOnce) {
  for (const Status status : {Status::full, Status::connect_failed, Status::not_started})
    for (std::size_t c = 0; c < 4; ++c) {
      Driver d;
      d.update_list({entry("w1"), entry("w2")});
      const std::string first = d.request("j", c);
      const std::string second = d.finish("j", status);
      EXPECT_FALSE(second.empty());
      EXPECT_NE(second, first);
    }
}

TEST(Answer, UnsafeJobThatMayHaveRunFailsAndIsNotSentAgain) {
  for (const Status status : {Status::error, Status::timeout, Status::reset, Status::cancelled}) {
    Driver d;
    d.update_list({entry("w1"), entry("w2")});
    d.request("j", 1);
    EXPECT_EQ(d.finish("j", status), "");
    EXPECT_TRUE(d.emitted<Fail>());
    EXPECT_FALSE(d.emitted<Refuse>());
  }
}

TEST(Answer, KeyedJobStaysInItsGroupAndWindow) {
  Settings s = base_settings();
  s.cross_zone_price = 0.03;
  Driver d(s);
  d.update_list({entry("a1", "a"), entry("b1", "b"), entry("b2", "b"), entry("b3", "b")});
  ASSERT_EQ(d.request("busy"), "a1");  // the only worker of the own zone has a job outstanding
  ASSERT_EQ(d.request("j", 2)[0], 'b');
  const std::string second = d.finish("j", Status::error);
  ASSERT_FALSE(second.empty());
  EXPECT_EQ(second[0], 'b');
  // The repeat may not start after the window either, whatever delays it on its way; a first attempt may.
  std::vector<Micros> not_after;
  for (const Action& action : d.all_actions)
    if (const auto* send = std::get_if<Send>(&action); send && send->id == "j")
      not_after.push_back(send->not_after);
  EXPECT_EQ(not_after, (std::vector<Micros>{0us, 1s + 2s}));
  d.advance(2s);  // the window counts from the first send that may have run
  EXPECT_EQ(d.finish("j", Status::error, 1), "");
  EXPECT_TRUE(d.emitted<Fail>());
}

TEST(Answer, JobKeyedWithinAllWorkersMayBeRefused) {
  Driver d;
  d.update_list({entry("w1")});
  d.request("j", 3);
  d.finish("j", Status::error);
  EXPECT_TRUE(d.emitted<Refuse>());
}

TEST(Answer, TimeoutAtDeadlineIsAnswered) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  d.request("j", 1, 100ms, 1, 300ms);
  d.advance(300ms);
  EXPECT_EQ(d.finish("j", Status::timeout), "");
  EXPECT_TRUE(d.emitted<Fail>());
}

TEST(Answer, NoAnswerAfterTheClientLeft) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  d.request("j");
  d.feed(RequestGone{"j"});
  EXPECT_EQ(d.finish("j", Status::full), "");
  EXPECT_FALSE(d.emitted<Refuse>() || d.emitted<Fail>());
}

TEST(Answer, RequestWithNoTimeLeftIsRefused) {
  Driver d;
  d.update_list({entry("w1")});
  EXPECT_EQ(d.request("j", 0, 100ms, 1, 0us), "");
  EXPECT_TRUE(d.emitted<Refuse>());
}

TEST(Answer, AttemptLimitHolds) {
  Settings s = base_settings();
  s.max_attempts = 2;
  Driver d(s);
  d.update_list({entry("w1"), entry("w2"), entry("w3")});
  d.request("j", 1);
  d.finish("j", Status::full);
  EXPECT_EQ(d.finish("j", Status::full, 1), "");
  EXPECT_TRUE(d.emitted<Refuse>());
}

TEST(Drain, NothingIsSentToDrainingOrGoneWorkers) {
  for (const WorkerState state : {WorkerState::draining, WorkerState::gone}) {
    Driver d;
    d.update_list({entry("w1"), entry("w2")});
    d.update_list({entry("w1", "a", state)}, ListKind::changes);
    for (int i = 0; i < 20; ++i) EXPECT_NE(d.request("j" + std::to_string(i)), "w1");
  }
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  d.update_list({entry("w2")});  // w1 is absent from a full list, so it is gone
  for (int i = 0; i < 20; ++i) EXPECT_NE(d.request("j" + std::to_string(i)), "w1");
}

// Rule 4, with base_settings(): in no second may a worker of so many cores be sent more than fall_multiple
// times the capacity that it has when the second begins. `sent` holds times and seconds of work.
void expect_inside_budget(const std::vector<std::pair<Micros, double>>& sent, Micros started, double cores) {
  for (const auto& [from, ignored] : sent) {
    double sum = 0;
    for (const auto& [at, work] : sent)
      if (at >= from && at < from + 1s) sum += work;
    const double age = std::chrono::duration<double>(from - started).count() / 20;
    EXPECT_LE(sum, 2.5 * cores * (0.2 + 0.8 * age)) << cores << " cores, in the second from " << from.count();
  }
}

// An operator's exclusion is independent of the list: no list update may end it.
TEST(Exclusion, HoldsWhateverTheListSaysUntilIncluded) {
  Driver d;
  d.update_list({entry("w")});
  EXPECT_EQ(d.request("a"), "w");
  d.feed(Exclude{"w"});
  d.feed(Exclude{"w"});
  EXPECT_EQ(d.request("b"), "");
  d.finish("a", Status::connect_failed);  // the next attempt must not go there either
  EXPECT_EQ(d.dispatcher.slots_out(), 0);
  ListEntry restarted = entry("w");
  restarted.started = d.now;
  d.update_list({entry("w", "a", WorkerState::gone)}, ListKind::changes);
  d.update_list({restarted}, ListKind::changes);
  d.update_list({restarted});
  EXPECT_EQ(d.request("c"), "");
  EXPECT_EQ(d.dispatcher.worker_counts(d.now).listed, 1);
  EXPECT_EQ(d.dispatcher.worker_counts(d.now).unavailable, 1);
  d.feed(Include{"w"});
  EXPECT_EQ(d.dispatcher.worker_counts(d.now).unavailable, 0);
  d.advance(23s);
  EXPECT_EQ(d.request("d"), "w");
  EXPECT_TRUE(d.dispatcher.knows("w"));
  EXPECT_FALSE(d.dispatcher.knows("v"));
}

// An operator may restart an excluded worker. It is then cold although the list does not say so, and would
// break down under its former load.
TEST(Exclusion, ReinstatedWorkerIsColdAndItsFailuresAreForgotten) {
  for (const bool listed : {true, false}) {
    Driver d(settings_of(1, 0));
    d.update_list({entry("w")});
    for (int i = 0; i < 6; ++i) d.run_job("warm" + std::to_string(i), 100ms);
    int warm = 0;
    while (!d.request("x" + std::to_string(warm)).empty()) ASSERT_LT(++warm, 200);
    d.feed(Exclude{"w"});
    for (int i = 0; i < warm; ++i) d.finish("x" + std::to_string(i), Status::connect_failed);
    if (!listed) d.update_list({});
    d.feed(Include{"w"});
    d.update_list({entry("w")});
    int cold = 0;
    d.advance(1s);
    while (!d.request("y" + std::to_string(cold)).empty()) ASSERT_LT(++cold, 200);
    EXPECT_GT(cold, 0) << "an old ejection keeps it unused";
    EXPECT_LT(cold, warm);
  }
}

// Two processes of one dispatcher share the turns of that dispatcher at a cold worker.
TEST(Cold, ProcessesOfOneDispatcherShareItsTurns) {
  const auto sent = [](int processes) {
    Driver d(settings_of(1, 0));
    d.update_list({entry("old")});
    for (int i = 0; i < 6; ++i) d.run_job("warm" + std::to_string(i), 100ms);
    d.feed(SharingProcesses{processes});
    d.list_cold_worker();
    d.feed(Exclude{"old"});
    int count = 0, number = 0;
    for (const Micros end = d.now + 10s; d.now < end; d.advance(5ms))
      count += d.run_job("c" + std::to_string(number++), 100ms).empty() ? 0 : 1;
    return count;
  };
  const int alone = sent(1), shared = sent(2);
  EXPECT_GT(shared, 0);
  EXPECT_LE(shared, alone * 0.6);
}

// All dispatchers have the same traffic, and one worker has just started.
TEST(Cold, AllDispatchersTogetherKeepTheLoadLimit) {
  const int dispatchers = 5, warm = 6;
  std::vector<Driver> drivers;
  for (int i = 0; i < dispatchers; ++i)
    drivers.emplace_back(settings_of(dispatchers, i), static_cast<std::uint64_t>(i + 1));
  std::vector<ListEntry> fleet;
  for (int i = 0; i < warm; ++i) fleet.push_back(entry("w" + std::to_string(i)));
  for (Driver& d : drivers) d.update_list(fleet);
  std::mt19937_64 random(3);
  std::vector<std::pair<Micros, double>> to_cold;
  std::multimap<Micros, std::pair<int, std::string>> ends;
  int id = 0;
  // Workers have 3 cores, and the fleet is loaded to two thirds: 12 s of work per second at 6 warm workers.
  for (Micros now = 1s; now < 16s; now += 10ms) {
    if (now == 6s)
      for (Driver& d : drivers) d.now = now, d.list_cold_worker();
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [number, job] = ends.begin()->second;
      ends.erase(ends.begin());
      drivers[static_cast<std::size_t>(number)].now = now;
      drivers[static_cast<std::size_t>(number)].finish(job);
    }
    for (int number = 0; number < dispatchers; ++number) {
      Driver& d = drivers[static_cast<std::size_t>(number)];
      d.advance(now > d.now ? now - d.now : 0us);
      if (random() % 1000 >= 80) continue;
      const Micros hint{200000 + static_cast<std::int64_t>(random() % 200000)};
      const std::string job = std::to_string(id++);
      const std::string worker = d.request(job, random() % 2, hint);
      if (worker.empty()) continue;
      ends.emplace(now + hint, std::pair{number, job});
      if (worker == "cold") to_cold.emplace_back(now, std::chrono::duration<double>(hint).count());
    }
  }
  expect_inside_budget(to_cold, 6s, 3);
}

// Turns that were saved up while nobody needed the cold worker were used by all dispatchers in the same
// second.
TEST(Cold, DispatchersDoNotAllUseItAtOnceInOverload) {
  const int dispatchers = 8;
  double total = 0;
  for (int number = 0; number < dispatchers; ++number) {
    Driver d(settings_of(dispatchers, number), static_cast<std::uint64_t>(number + 1));
    d.update_list({entry("w1"), entry("w2")});
    for (int i = 0; i < 30; ++i) d.run_job("j" + std::to_string(i), 200ms, 0, 400ms);
    d.list_cold_worker();
    for (int i = 0; i < 15; ++i) d.run_job("k" + std::to_string(i), 200ms, 0, 400ms);
    for (int i = 0; i < 40; ++i) {  // one second of much more than the warm workers admit
      if (d.request("x" + std::to_string(i), 0, 400ms) == "cold") total += 0.4;
      d.advance(25ms);
    }
  }
  EXPECT_LE(total, 2.5 * 3 * (0.2 + 0.8 * 4 / 20));  // a worker of 3 cores, 4 s after its start
}

// Work that workers turn away as full is not done: it must not raise what a cold worker is sent.
TEST(Cold, RejectedWorkDoesNotRaiseItsLoad) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  for (int i = 0; i < 200; ++i) {
    const std::string id = "j" + std::to_string(i);
    d.request(id, 0, 400ms);
    d.finish(id, Status::full);
    d.finish(id, Status::full, 1);
    d.advance(10ms);
  }
  d.list_cold_worker();
  double total = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "x" + std::to_string(i);
    std::string worker = d.request(id, 0, 400ms);
    for (int n = 0; !worker.empty() && worker != "cold"; ++n) worker = d.finish(id, Status::full, n);
    if (worker == "cold") total += 0.4;
    d.advance(20ms);
  }
  EXPECT_LE(total, 2 * 0.4 + 1e-9) << "two spans of fall_after, at most one job in each";
}

// With random draws by hundreds of dispatchers the mean load kept the rule, but the variance of the sum broke
// it.
TEST(Cold, HundredsOfDispatchersInOverloadKeepTheLoadLimitOfASmallWorker) {
  const int dispatchers = 400;
  std::vector<std::pair<Micros, double>> to_cold;
  for (int number = 0; number < dispatchers; ++number) {
    Driver d(settings_of(dispatchers, number), static_cast<std::uint64_t>(number + 1));
    d.update_list({entry("w1"), entry("w2")});
    for (int i = 0; i < 20; ++i) d.run_job("j" + std::to_string(i), 400ms, 0, 400ms);
    d.now = 20s;
    d.list_cold_worker();
    const double phase = number / static_cast<double>(dispatchers);
    d.advance(Micros{static_cast<std::int64_t>(phase * 4e5)});
    for (int i = 0; i < 25; ++i) {  // jobs that all other workers turn away
      const std::string id = "x" + std::to_string(i);
      std::string worker = d.request(id, 0, 400ms);
      for (int n = 0; !worker.empty() && worker != "cold" && n < 3; ++n)
        worker = d.finish(id, Status::full, n);
      if (worker == "cold") to_cold.emplace_back(d.now, 0.4), d.finish(id);
      d.advance(400ms);
    }
  }
  ASSERT_GT(to_cold.size(), 5U) << "it must be used while it warms up";
  expect_inside_budget(to_cold, 20s, 2);
}

// A job of four slots takes four cores: counted as one slot, it loaded the worker four times over.
TEST(Cold, SlotsOfAJobCountLikeItsHint) {
  Driver d;
  d.update_list({entry("warm")});
  for (int i = 0; i < 30; ++i) d.run_job("j" + std::to_string(i), 100ms);
  d.list_cold_worker();
  d.update_list({entry("warm", "a", WorkerState::draining)},
                ListKind::changes);  // only the cold worker remains
  bool narrow = false;
  for (int i = 0; i < 60; ++i) {
    EXPECT_NE(d.request("w" + std::to_string(i), 0, 100ms, 40), "cold");
    d.finish("w" + std::to_string(i));
    d.advance(100ms);
    narrow = d.run_job("n" + std::to_string(i), 100ms) == "cold" || narrow;
  }
  EXPECT_TRUE(narrow) << "jobs of one slot must be sent there";
}

TEST(Cold, LongJobIsNotSentToAWorkerThatJustStarted) {
  Driver d;
  d.update_list({entry("warm")});
  for (int i = 0; i < 30; ++i) d.run_job("j" + std::to_string(i), 50ms);
  d.list_cold_worker();
  for (int i = 0; i < 10; ++i) EXPECT_NE(d.request("h" + std::to_string(i), 0, 4s), "cold");
}

// The rules hold under random outcomes, drains, restarts, stale lists and clients that give up.
class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, KeepTheRules) {
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  const auto roll = [&random](std::uint64_t n) { return random() % n; };
  Settings s = base_settings();
  s.list_on_request = roll(2) == 0;
  s.must_ask_within = 10s;
  s.second_copies = roll(2) == 0;
  s.may_cancel = roll(2) == 0;
  s.max_attempts = static_cast<int>(1 + roll(4));
  Driver d(s, random());

  struct TrackedAttempt {
    std::string worker;
    Micros sent_at;
    bool outstanding = true, may_have_run = false;
  };
  struct TrackedRequest {
    std::size_t class_index;
    Micros deadline;
    std::vector<TrackedAttempt> attempts;
    int answers = 0;
    bool ended = false;
  };
  std::map<std::string, TrackedRequest> requests;
  std::map<std::string, WorkerState> worker_states;
  std::map<std::string, std::string> zones;
  std::size_t checked_actions = 0;

  const auto check_actions = [&] {
    for (; checked_actions < d.all_actions.size(); ++checked_actions) {
      if (const auto* send = std::get_if<Send>(&d.all_actions[checked_actions])) {
        TrackedRequest& job = requests.at(send->id);
        ASSERT_FALSE(job.ended) << "sent after the request ended";
        ASSERT_EQ(worker_states.at(send->worker), WorkerState::ready);
        ASSERT_LT(static_cast<int>(job.attempts.size()), s.max_attempts);
        const ClassSettings& job_class = s.classes[job.class_index];
        for (const TrackedAttempt& attempt : job.attempts) {
          if (!s.second_copies || job_class.effect == Effect::unsafe) {
            ASSERT_FALSE(attempt.outstanding);
          }
          if (!attempt.outstanding && !attempt.may_have_run) continue;
          ASSERT_NE(job_class.effect, Effect::unsafe);
          if (job_class.effect != Effect::keyed) continue;
          ASSERT_LE(d.now, attempt.sent_at + job_class.window);
          if (job_class.group == Group::zone) {
            ASSERT_EQ(zones[attempt.worker], zones[send->worker]);
          }
        }
        job.attempts.push_back({send->worker, d.now});
      } else if (const auto* refuse = std::get_if<Refuse>(&d.all_actions[checked_actions])) {
        TrackedRequest& job = requests.at(refuse->id);
        ASSERT_FALSE(job.ended);
        const ClassSettings& job_class = s.classes[job.class_index];
        for (const TrackedAttempt& attempt : job.attempts)
          if (attempt.outstanding || attempt.may_have_run) {
            ASSERT_TRUE(job_class.effect == Effect::safe ||
                        (job_class.effect == Effect::keyed && job_class.group == Group::all));
          }
        job.ended = true, ++job.answers;
      } else if (const auto* fail = std::get_if<Fail>(&d.all_actions[checked_actions])) {
        TrackedRequest& job = requests.at(fail->id);
        ASSERT_FALSE(job.ended);
        job.ended = true, ++job.answers;
      } else if (const auto* cancel = std::get_if<Cancel>(&d.all_actions[checked_actions])) {
        ASSERT_TRUE(s.may_cancel);
        ASSERT_LT(static_cast<std::size_t>(cancel->attempt), requests.at(cancel->id).attempts.size());
      }
    }
  };

  int next_id = 0;
  for (int step = 0; step < 3000; ++step) {
    d.advance(Micros{static_cast<std::int64_t>(roll(30000))});
    ASSERT_NO_FATAL_FAILURE(check_actions());
    const auto event = roll(100);
    if (event < 50) {
      const std::string id = "j" + std::to_string(next_id++);
      const std::size_t c = roll(4);
      const Micros time_left{static_cast<std::int64_t>(roll(20) == 0 ? roll(3000) : 500000 + roll(4500000))};
      requests[id] = {c, d.now + time_left, {}, 0, false};
      d.request(id, c, Micros{static_cast<std::int64_t>(1000 + roll(900000))},
                static_cast<double>(1 + roll(3)), time_left);
    } else if (event < 95 || step % 10) {
      for (auto& [id, job] : requests) {
        std::size_t n = 0;
        while (n < job.attempts.size() && (!job.attempts[n].outstanding || roll(4) != 0)) ++n;
        if (n == job.attempts.size()) continue;
        Status status = static_cast<Status>(roll(8));
        if (roll(2)) status = Status::ok;
        if (d.now >= job.deadline) status = Status::timeout;
        job.attempts[n].outstanding = false;
        job.attempts[n].may_have_run =
            status != Status::full && status != Status::connect_failed && status != Status::not_started;
        if (status == Status::ok && !job.ended) job.ended = true, ++job.answers;
        d.feed(Outcome{id, static_cast<int>(n), status, d.now - job.attempts[n].sent_at, job.ended,
                       std::nullopt});
        break;
      }
    } else {
      const auto list_kind = roll(4);
      std::vector<ListEntry> entries;
      for (int i = 0; i < 6; ++i) {
        if (roll(5) == 0) continue;
        ListEntry e =
            entry("w" + std::to_string(i), i % 2 ? "a" : "b", static_cast<WorkerState>(roll(8) % 3));
        if (roll(6) == 0) e.started = d.now - Micros{static_cast<std::int64_t>(roll(8000000))};
        entries.push_back(e);
      }
      if (list_kind == 0) {
        d.update_list({}, ListKind::failed);
      } else {
        if (list_kind != 1)
          for (auto& [name, state] : worker_states) state = WorkerState::gone;
        for (const ListEntry& e : entries) worker_states[e.worker] = e.state, zones[e.worker] = e.zone;
        d.update_list(entries, list_kind == 1   ? ListKind::changes
                               : list_kind == 2 ? ListKind::full
                                                : ListKind::remembered);
      }
    }
    ASSERT_NO_FATAL_FAILURE(check_actions());
    if (roll(40) == 0)
      for (auto& [id, job] : requests)
        if (!job.ended && roll(10) == 0) {
          job.ended = true, ++job.answers;
          d.feed(RequestGone{id});
          break;
        }
  }
  for (auto& [id, job] : requests)
    for (std::size_t n = 0; n < job.attempts.size(); ++n)
      if (job.attempts[n].outstanding) {
        job.attempts[n].outstanding = false;
        job.attempts[n].may_have_run = true;
        d.now = std::max(d.now, job.deadline);
        d.feed(Outcome{id, static_cast<int>(n), Status::timeout, 0us, job.ended, std::nullopt});
        ASSERT_NO_FATAL_FAILURE(check_actions());
      }
  for (const auto& [id, job] : requests) EXPECT_EQ(job.answers, 1) << id;
  EXPECT_EQ(d.dispatcher.slots_out(), 0);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(1, 41));

}  // namespace
}  // namespace woadtide
