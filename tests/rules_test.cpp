// The four rules: by single cases, and under seeded random events.
#include <random>
#include <set>

#include "harness.hpp"

namespace woadtide {
namespace {

TEST(Answer, ProvenNotRunMovesOnAtOnce) {
  for (const Status status : {Status::full, Status::connect_failed, Status::moot})
    for (std::size_t c = 0; c < 4; ++c) {
      Driver d;
      d.list({entry("w1"), entry("w2")});
      const std::string first = d.ask("j", c);
      const std::string second = d.finish("j", status);
      EXPECT_FALSE(second.empty());
      EXPECT_NE(second, first);
    }
}

TEST(Answer, UnsafeThatMayHaveRunFailsAndIsNeverResent) {
  for (const Status status : {Status::error, Status::timeout, Status::reset, Status::cancelled}) {
    Driver d;
    d.list({entry("w1"), entry("w2")});
    d.ask("j", 1);
    EXPECT_EQ(d.finish("j", status), "");
    EXPECT_TRUE(d.did<Fail>());
    EXPECT_FALSE(d.did<Refuse>());
  }
}

TEST(Answer, KeyedStaysInItsGroupAndWindow) {
  Settings s = plain_settings();
  s.cross_zone_price = 0.03;
  Driver d(s);
  d.list({entry("a1", "a"), entry("b1", "b"), entry("b2", "b"), entry("b3", "b")});
  ASSERT_EQ(d.ask("busy"), "a1");  // the own zone's worker has something out
  ASSERT_EQ(d.ask("j", 2)[0], 'b');
  const std::string second = d.finish("j", Status::error);
  ASSERT_FALSE(second.empty());
  EXPECT_EQ(second[0], 'b');
  // Nor may it begin later, whatever holds it up on its way; a first attempt may.
  std::vector<Micros> not_after;
  for (const Action& action : d.all)
    if (const auto* send = std::get_if<Send>(&action); send && send->id == "j")
      not_after.push_back(send->not_after);
  EXPECT_EQ(not_after, (std::vector<Micros>{0us, 1s + 2s}));
  d.pass(2s);  // the window counts from the first send that may have run
  EXPECT_EQ(d.finish("j", Status::error, 1), "");
  EXPECT_TRUE(d.did<Fail>());
}

TEST(Answer, KeyedWithinAllMayBeRefused) {
  Driver d;
  d.list({entry("w1")});
  d.ask("j", 3);
  d.finish("j", Status::error);
  EXPECT_TRUE(d.did<Refuse>());
}

TEST(Answer, TimeOutAtTheDeadlineIsAnswered) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  d.ask("j", 1, 100ms, 1, 300ms);
  d.pass(300ms);
  EXPECT_EQ(d.finish("j", Status::timeout), "");
  EXPECT_TRUE(d.did<Fail>());
}

TEST(Answer, NothingAfterTheEnd) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  d.ask("j");
  d.feed(RequestGone{"j"});
  EXPECT_EQ(d.finish("j", Status::full), "");
  EXPECT_FALSE(d.did<Refuse>() || d.did<Fail>());
}

TEST(Answer, NoTimeLeftIsRefused) {
  Driver d;
  d.list({entry("w1")});
  EXPECT_EQ(d.ask("j", 0, 100ms, 1, 0us), "");
  EXPECT_TRUE(d.did<Refuse>());
}

TEST(Answer, AttemptLimitHolds) {
  Settings s = plain_settings();
  s.max_attempts = 2;
  Driver d(s);
  d.list({entry("w1"), entry("w2"), entry("w3")});
  d.ask("j", 1);
  d.finish("j", Status::full);
  EXPECT_EQ(d.finish("j", Status::full, 1), "");
  EXPECT_TRUE(d.did<Refuse>());
}

TEST(Drain, NothingNewFromTheWordOn) {
  for (const WorkerState state : {WorkerState::draining, WorkerState::gone}) {
    Driver d;
    d.list({entry("w1"), entry("w2")});
    d.list({entry("w1", "a", state)}, ListKind::changes);
    for (int i = 0; i < 20; ++i) EXPECT_NE(d.ask("j" + std::to_string(i)), "w1");
  }
  Driver d;
  d.list({entry("w1"), entry("w2")});
  d.list({entry("w2")});  // absent from a full list: it has left
  for (int i = 0; i < 20; ++i) EXPECT_NE(d.ask("j" + std::to_string(i)), "w1");
}

// Rule 4 under plain_settings(): in no second may a worker of so many cores be sent over the multiple of what
// it has at the second's start. `sent` holds times and seconds of work.
void expect_inside_budget(const std::vector<std::pair<Micros, double>>& sent, Micros started, double cores) {
  for (const auto& [from, ignored] : sent) {
    double sum = 0;
    for (const auto& [at, work] : sent)
      if (at >= from && at < from + 1s) sum += work;
    const double age = std::chrono::duration<double>(from - started).count() / 20;
    EXPECT_LE(sum, 2.5 * cores * (0.2 + 0.8 * age)) << cores << " cores, in the second from " << from.count();
  }
}

// An operator's ban is no news of the list: nothing that the list says may end it.
TEST(Ban, HoldsWhateverTheListSaysUntilTheCallBack) {
  Driver d;
  d.list({entry("w")});
  EXPECT_EQ(d.ask("a"), "w");
  d.feed(Exclude{"w"});
  d.feed(Exclude{"w"});
  EXPECT_EQ(d.ask("b"), "");
  d.finish("a", Status::connect_failed);  // its next attempt may not go there either
  EXPECT_EQ(d.dispatcher.slots_out(), 0);
  ListEntry restarted = entry("w");
  restarted.started = d.now;
  d.list({entry("w", "a", WorkerState::gone)}, ListKind::changes);
  d.list({restarted}, ListKind::changes);
  d.list({restarted});
  EXPECT_EQ(d.ask("c"), "");
  EXPECT_EQ(d.dispatcher.census(d.now).listed, 1);
  EXPECT_EQ(d.dispatcher.census(d.now).avoided, 1);
  d.feed(Include{"w"});
  EXPECT_EQ(d.dispatcher.census(d.now).avoided, 0);
  d.pass(23s);
  EXPECT_EQ(d.ask("d"), "w");
  EXPECT_TRUE(d.dispatcher.knows("w"));
  EXPECT_FALSE(d.dispatcher.knows("v"));
}

// Restarted by hand, a worker is cold although the list never told; sent all that it held before, it would
// fall.
TEST(Ban, AWorkerComesBackColdAndWithNothingHeldAgainstIt) {
  for (const bool listed : {true, false}) {
    Driver d(one_of(1, 0));
    d.list({entry("w")});
    for (int i = 0; i < 6; ++i) d.run("warm" + std::to_string(i), 100ms);
    int warm = 0;
    while (!d.ask("x" + std::to_string(warm)).empty()) ASSERT_LT(++warm, 200);
    d.feed(Exclude{"w"});
    for (int i = 0; i < warm; ++i) d.finish("x" + std::to_string(i), Status::connect_failed);
    if (!listed) d.list({});
    d.feed(Include{"w"});
    d.list({entry("w")});
    int cold = 0;
    d.pass(1s);
    while (!d.ask("y" + std::to_string(cold)).empty()) ASSERT_LT(++cold, 200);
    EXPECT_GT(cold, 0) << "old back-off keeps it unused";
    EXPECT_LT(cold, warm);
  }
}

// Two processes of one dispatcher have its one turn at a cold worker.
TEST(Cold, ProcessesOfOneDispatcherShareItsTurns) {
  const auto sent = [](int processes) {
    Driver d(one_of(1, 0));
    d.list({entry("old")});
    for (int i = 0; i < 6; ++i) d.run("warm" + std::to_string(i), 100ms);
    d.feed(Sharers{processes});
    d.list_cold();
    d.feed(Exclude{"old"});
    int count = 0, number = 0;
    for (const Micros end = d.now + 10s; d.now < end; d.pass(5ms))
      count += d.run("c" + std::to_string(number++), 100ms).empty() ? 0 : 1;
    return count;
  };
  const int alone = sent(1), shared = sent(2);
  EXPECT_GT(shared, 0);
  EXPECT_LE(shared, alone * 0.6);
}

// All dispatchers together, with the same traffic, against one worker that has just started.
TEST(Cold, AllDispatchersTogetherStayInsideTheBudget) {
  const int dispatchers = 5, warm = 6;
  std::vector<Driver> all;
  for (int i = 0; i < dispatchers; ++i)
    all.emplace_back(one_of(dispatchers, i), static_cast<std::uint64_t>(i + 1));
  std::vector<ListEntry> fleet;
  for (int i = 0; i < warm; ++i) fleet.push_back(entry("w" + std::to_string(i)));
  for (Driver& d : all) d.list(fleet);
  std::mt19937_64 random(3);
  std::vector<std::pair<Micros, double>> to_cold;
  std::multimap<Micros, std::pair<int, std::string>> ends;
  int id = 0;
  // A worker of 3 cores; the fleet at two thirds: 12 seconds of work a second over 6 warm workers.
  for (Micros now = 1s; now < 16s; now += 10ms) {
    if (now == 6s)
      for (Driver& d : all) d.now = now, d.list_cold();
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [which, job] = ends.begin()->second;
      ends.erase(ends.begin());
      all[static_cast<std::size_t>(which)].now = now;
      all[static_cast<std::size_t>(which)].finish(job);
    }
    for (int which = 0; which < dispatchers; ++which) {
      Driver& d = all[static_cast<std::size_t>(which)];
      d.pass(now > d.now ? now - d.now : 0us);
      if (random() % 1000 >= 80) continue;
      const Micros hint{200000 + static_cast<std::int64_t>(random() % 200000)};
      const std::string job = std::to_string(id++);
      const std::string worker = d.ask(job, random() % 2, hint);
      if (worker.empty()) continue;
      ends.emplace(now + hint, std::pair{which, job});
      if (worker == "cold") to_cold.emplace_back(now, std::chrono::duration<double>(hint).count());
    }
  }
  expect_inside_budget(to_cold, 6s, 3);
}

// Shares that were saved up while nobody needed the cold worker were spent by all in the same second.
TEST(Cold, WhenTheFleetRunsShortAllDispatchersDoNotTurnToItAtOnce) {
  const int dispatchers = 8;
  double total = 0;
  for (int which = 0; which < dispatchers; ++which) {
    Driver d(one_of(dispatchers, which), static_cast<std::uint64_t>(which + 1));
    d.list({entry("w1"), entry("w2")});
    for (int i = 0; i < 30; ++i) d.run("j" + std::to_string(i), 200ms, 0, 400ms);
    d.list_cold();
    for (int i = 0; i < 15; ++i) d.run("k" + std::to_string(i), 200ms, 0, 400ms);
    for (int i = 0; i < 40; ++i) {  // one second of far more than the warm ones admit
      if (d.ask("x" + std::to_string(i), 0, 400ms) == "cold") total += 0.4;
      d.pass(25ms);
    }
  }
  EXPECT_LE(total, 2.5 * 3 * (0.2 + 0.8 * 4 / 20));  // a worker of three cores, four seconds old
}

// Work that workers turn away is not work they do: it must not raise what a cold one is sent.
TEST(Cold, RejectedWorkDoesNotRaiseItsShare) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  for (int i = 0; i < 200; ++i) {
    const std::string id = "j" + std::to_string(i);
    d.ask(id, 0, 400ms);
    d.finish(id, Status::full);
    d.finish(id, Status::full, 1);
    d.pass(10ms);
  }
  d.list_cold();
  double total = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "x" + std::to_string(i);
    std::string worker = d.ask(id, 0, 400ms);
    for (int n = 0; !worker.empty() && worker != "cold"; ++n) worker = d.finish(id, Status::full, n);
    if (worker == "cold") total += 0.4;
    d.pass(20ms);
  }
  EXPECT_LE(total, 2 * 0.4 + 1e-9) << "two spans, at most one job in each";
}

// Each of hundreds holds one lottery ticket: the sum's chance spread broke the rule where the mean kept it.
TEST(Cold, HundredsOfDispatchersInOverloadStayInsideTheBudgetOfASmallWorker) {
  const int dispatchers = 400;
  std::vector<std::pair<Micros, double>> to_cold;
  for (int which = 0; which < dispatchers; ++which) {
    Driver d(one_of(dispatchers, which), static_cast<std::uint64_t>(which + 1));
    d.list({entry("w1"), entry("w2")});
    for (int i = 0; i < 20; ++i) d.run("j" + std::to_string(i), 400ms, 0, 400ms);
    d.now = 20s;
    d.list_cold();
    const double phase = which / static_cast<double>(dispatchers);
    d.pass(Micros{static_cast<std::int64_t>(phase * 4e5)});
    for (int i = 0; i < 25; ++i) {  // jobs that all others turn away
      const std::string id = "x" + std::to_string(i);
      std::string worker = d.ask(id, 0, 400ms);
      for (int n = 0; !worker.empty() && worker != "cold" && n < 3; ++n)
        worker = d.finish(id, Status::full, n);
      if (worker == "cold") to_cold.emplace_back(d.now, 0.4), d.finish(id);
      d.pass(400ms);
    }
  }
  ASSERT_GT(to_cold.size(), 5U) << "it is used while it warms up";
  expect_inside_budget(to_cold, 20s, 2);
}

// A job of four slots takes four cores: counted as one it spent what the worker stands four times over.
TEST(Cold, SlotsOfAJobWeighLikeItsHint) {
  Driver d;
  d.list({entry("warm")});
  for (int i = 0; i < 30; ++i) d.run("j" + std::to_string(i), 100ms);
  d.list_cold();
  d.list({entry("warm", "a", WorkerState::draining)}, ListKind::changes);  // only the cold one is left
  bool narrow = false;
  for (int i = 0; i < 60; ++i) {
    EXPECT_NE(d.ask("w" + std::to_string(i), 0, 100ms, 40), "cold");
    d.finish("w" + std::to_string(i));
    d.pass(100ms);
    narrow = d.run("n" + std::to_string(i), 100ms) == "cold" || narrow;
  }
  EXPECT_TRUE(narrow) << "jobs of one slot do get there";
}

TEST(Cold, AHeavyJobIsKeptAwayFromAWorkerThatJustStarted) {
  Driver d;
  d.list({entry("warm")});
  for (int i = 0; i < 30; ++i) d.run("j" + std::to_string(i), 50ms);
  d.list_cold();
  for (int i = 0; i < 10; ++i) EXPECT_NE(d.ask("h" + std::to_string(i), 0, 4s), "cold");
}

// Random outcomes, drains, restarts, stale lists and clients that leave: the rules hold all the same.
class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, KeepTheRules) {
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  const auto roll = [&random](std::uint64_t n) { return random() % n; };
  Settings s = plain_settings();
  s.list_on_request = roll(2) == 0;
  s.must_ask_within = 10s;
  s.second_copies = roll(2) == 0;
  s.may_cancel = roll(2) == 0;
  s.max_attempts = static_cast<int>(1 + roll(4));
  Driver d(s, random());

  struct Tried {
    std::string worker;
    Micros sent;
    bool out = true, may_have_run = false;
  };
  struct Held {
    std::size_t class_index;
    Micros deadline;
    std::vector<Tried> tries;
    int answers = 0;
    bool over = false;
  };
  std::map<std::string, Held> held;
  std::map<std::string, WorkerState> known;
  std::map<std::string, std::string> zones;
  std::size_t seen = 0;

  const auto check_actions = [&] {
    for (; seen < d.all.size(); ++seen) {
      if (const auto* send = std::get_if<Send>(&d.all[seen])) {
        Held& job = held.at(send->id);
        ASSERT_FALSE(job.over) << "sent after the end";
        ASSERT_EQ(known.at(send->worker), WorkerState::ready);
        ASSERT_LT(static_cast<int>(job.tries.size()), s.max_attempts);
        const ClassSettings& kind = s.classes[job.class_index];
        for (const Tried& t : job.tries) {
          if (!s.second_copies || kind.effect == Effect::unsafe) {
            ASSERT_FALSE(t.out);
          }
          if (!t.out && !t.may_have_run) continue;
          ASSERT_NE(kind.effect, Effect::unsafe);
          if (kind.effect != Effect::keyed) continue;
          ASSERT_LE(d.now, t.sent + kind.window);
          if (kind.group == Group::zone) {
            ASSERT_EQ(zones[t.worker], zones[send->worker]);
          }
        }
        job.tries.push_back({send->worker, d.now});
      } else if (const auto* refuse = std::get_if<Refuse>(&d.all[seen])) {
        Held& job = held.at(refuse->id);
        ASSERT_FALSE(job.over);
        const ClassSettings& kind = s.classes[job.class_index];
        for (const Tried& t : job.tries)
          if (t.out || t.may_have_run) {
            ASSERT_TRUE(kind.effect == Effect::safe ||
                        (kind.effect == Effect::keyed && kind.group == Group::all));
          }
        job.over = true, ++job.answers;
      } else if (const auto* fail = std::get_if<Fail>(&d.all[seen])) {
        Held& job = held.at(fail->id);
        ASSERT_FALSE(job.over);
        job.over = true, ++job.answers;
      } else if (const auto* cancel = std::get_if<Cancel>(&d.all[seen])) {
        ASSERT_TRUE(s.may_cancel);
        ASSERT_LT(static_cast<std::size_t>(cancel->attempt), held.at(cancel->id).tries.size());
      }
    }
  };

  int next = 0;
  for (int step = 0; step < 3000; ++step) {
    d.pass(Micros{static_cast<std::int64_t>(roll(30000))});
    ASSERT_NO_FATAL_FAILURE(check_actions());
    const auto what = roll(100);
    if (what < 50) {
      const std::string id = "j" + std::to_string(next++);
      const std::size_t c = roll(4);
      const Micros left{static_cast<std::int64_t>(roll(20) == 0 ? roll(3000) : 500000 + roll(4500000))};
      held[id] = {c, d.now + left, {}, 0, false};
      d.ask(id, c, Micros{static_cast<std::int64_t>(1000 + roll(900000))}, static_cast<double>(1 + roll(3)),
            left);
    } else if (what < 95 || step % 10) {
      for (auto& [id, job] : held) {
        std::size_t n = 0;
        while (n < job.tries.size() && (!job.tries[n].out || roll(4) != 0)) ++n;
        if (n == job.tries.size()) continue;
        Status status = static_cast<Status>(roll(8));
        if (roll(2)) status = Status::ok;
        if (d.now >= job.deadline) status = Status::timeout;
        job.tries[n].out = false;
        job.tries[n].may_have_run =
            status != Status::full && status != Status::connect_failed && status != Status::moot;
        if (status == Status::ok && !job.over) job.over = true, ++job.answers;
        d.feed(Outcome{id, static_cast<int>(n), status, d.now - job.tries[n].sent, job.over, std::nullopt});
        break;
      }
    } else {
      const auto kind = roll(4);
      std::vector<ListEntry> entries;
      for (int i = 0; i < 6; ++i) {
        if (roll(5) == 0) continue;
        ListEntry e =
            entry("w" + std::to_string(i), i % 2 ? "a" : "b", static_cast<WorkerState>(roll(8) % 3));
        if (roll(6) == 0) e.started = d.now - Micros{static_cast<std::int64_t>(roll(8000000))};
        entries.push_back(e);
      }
      if (kind == 0) {
        d.list({}, ListKind::failed);
      } else {
        if (kind != 1)
          for (auto& [name, state] : known) state = WorkerState::gone;
        for (const ListEntry& e : entries) known[e.worker] = e.state, zones[e.worker] = e.zone;
        d.list(entries, kind == 1 ? ListKind::changes : kind == 2 ? ListKind::full : ListKind::remembered);
      }
    }
    ASSERT_NO_FATAL_FAILURE(check_actions());
    if (roll(40) == 0)
      for (auto& [id, job] : held)
        if (!job.over && roll(10) == 0) {
          job.over = true, ++job.answers;
          d.feed(RequestGone{id});
          break;
        }
  }
  for (auto& [id, job] : held)
    for (std::size_t n = 0; n < job.tries.size(); ++n)
      if (job.tries[n].out) {
        job.tries[n].out = false;
        job.tries[n].may_have_run = true;
        d.now = std::max(d.now, job.deadline);
        d.feed(Outcome{id, static_cast<int>(n), Status::timeout, 0us, job.over, std::nullopt});
        ASSERT_NO_FATAL_FAILURE(check_actions());
      }
  for (const auto& [id, job] : held) EXPECT_EQ(job.answers, 1) << id;
  EXPECT_EQ(d.dispatcher.slots_out(), 0);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(1, 41));

}  // namespace
}  // namespace woadtide
