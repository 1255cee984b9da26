// The mechanism and what it must still do when parts fail.
#include <set>

#include "harness.hpp"

namespace woadtide {
namespace {

// How many jobs of one slot a single worker is given before the first refusal.
int admitted(Driver& d, const std::string& prefix) {
  int n = 0;
  while (n < 200 && !d.ask(prefix + std::to_string(n)).empty()) ++n;
  for (int i = 0; i < n; ++i) d.finish(prefix + std::to_string(i));
  return n;
}

class Limiter : public ::testing::Test {
 protected:
  Limiter() { d.list({entry("w")}); }
  Driver d;
};

TEST_F(Limiter, RefusesAtOnceBeyondTheLimitWithRetryAfter) {
  int n = 0;
  while (!d.ask("j" + std::to_string(n)).empty()) ASSERT_LT(++n, 100);
  ASSERT_TRUE(d.did<Refuse>());
  for (const Action& action : d.last)
    if (const auto* refuse = std::get_if<Refuse>(&action)) {
      EXPECT_GT(refuse->retry_after, 0us);
      EXPECT_LE(refuse->retry_after, 2s);
    }
  EXPECT_GE(n, 2);
}

TEST_F(Limiter, GrowsByOneOnlyWhileHalfUsed) {
  const int before = admitted(d, "a");
  d.pass(4s);  // the samples of `admitted` are judged with nothing out: no growth
  EXPECT_EQ(admitted(d, "b"), before);
  for (int i = 0; i < before; ++i) d.ask("c" + std::to_string(i));
  for (int i = 0; i < before; ++i) d.finish("c" + std::to_string(i));
  for (int i = 0; i < before - 1; ++i) d.ask("d" + std::to_string(i));
  d.pass(3s);
  EXPECT_GE(d.dispatcher.slots_out(), before - 1);
  for (int i = 0; i < 5; ++i) d.run("x" + std::to_string(i), 1us);  // good samples, the limit half used
  d.pass(3s);
  for (int i = 0; i < before - 1; ++i) d.finish("d" + std::to_string(i));
  EXPECT_EQ(admitted(d, "e"), before + 1);
}

TEST_F(Limiter, SlowAnswersCutIt) {
  const int before = admitted(d, "a");
  for (int i = 0; i < 6; ++i) d.run("s" + std::to_string(i), 600ms);
  d.pass(3s);
  EXPECT_LT(admitted(d, "b"), before);
}

// Where starts are not told, an answer may be late by its own running: cut to a slot, a fleet with room would
// refuse most of its work. Where they are told, a limit goes as far as it must.
TEST(LimiterBound, LimitsKeepTheirFirstShareWhereStartsAreNotTold) {
  for (const bool told : {false, true}) {
    Settings settings = plain_settings();
    settings.tells_start = told;
    settings.dispatchers = 2;
    Driver d(settings);
    d.list({entry("w")});
    for (int round = 0; round < 8; ++round) {
      for (int i = 0; i < 6; ++i) d.run("s" + std::to_string(round) + "-" + std::to_string(i), 600ms);
      d.pass(3s);
    }
    EXPECT_EQ(admitted(d, "b"), told ? 1 : 4);
  }
}

// One dispatcher with most of the traffic beside many without: cut to its share, it refused half of its work
// while all workers stood idle.
TEST(LimiterBound, LeavesNoCoreIdleThatReportsShowToBeFree) {
  for (const double peers : {0, 3}) {
    Settings settings = one_of(8, 0);
    settings.tells_start = false;
    Driver d(settings);
    d.list({entry("w")});
    for (int i = 0; i < 60; ++i) {
      const std::string id = "r" + std::to_string(i);
      d.ask(id);
      d.pass(600ms);
      LoadReport load;
      load.free_slots = 3 - peers;
      load.held = 1 + peers;
      d.feed(Outcome{id, 0, Status::ok, 0us, true, load});
    }
    EXPECT_EQ(admitted(d, "b"), peers == 0 ? 3 : 1);
  }
}

// A p95 of few samples is their maximum: one long job must not cut a healthy worker.
TEST_F(Limiter, OneLongJobAmongFewDoesNotCut) {
  const int before = admitted(d, "a");
  d.pass(3s);
  for (int i = 0; i < 6; ++i) d.run("s" + std::to_string(i), i == 3 ? 900ms : 50ms);
  d.pass(3s);
  EXPECT_GE(admitted(d, "b"), before);
}

TEST_F(Limiter, JobsStillOutPastTheirThresholdCountAsSlow) {
  const int before = admitted(d, "a");
  d.pass(3s);
  for (int i = 0; i < before; ++i) d.ask("h" + std::to_string(i));  // never answered
  d.pass(9s);
  for (int i = 0; i < before; ++i) d.finish("h" + std::to_string(i));
  EXPECT_LT(admitted(d, "b"), before);
}

TEST_F(Limiter, AJobWiderThanTheLimitRunsAlone) {
  EXPECT_EQ(d.ask("wide", 0, 100ms, 50), "w");
  EXPECT_EQ(d.ask("next"), "");
}

// At full size nothing of ours is anywhere: if all take the worker that looks best, they jam it.
TEST(ManyDispatchers, DoNotHerdOntoTheSameWorker) {
  const int dispatchers = 300, workers = 60;
  std::vector<ListEntry> fleet;
  for (int i = 0; i < workers; ++i) fleet.push_back(entry("w" + std::to_string(i)));
  std::map<std::string, int> sent;
  for (int which = 0; which < dispatchers; ++which) {
    Driver d(one_of(dispatchers, which), static_cast<std::uint64_t>(which + 1));
    d.list(fleet);
    for (const ListEntry& worker :
         fleet) {  // all have seen the same: w0 starts jobs at once, the rest do not
      d.feed(Request{"p" + worker.worker, 0, 1, 100ms, 5s});
      const bool quick = d.sent_to() == "w0";
      d.pass(quick ? 1ms : 20ms);
      d.feed(JobStarted{"p" + worker.worker, 0});
      d.finish("p" + worker.worker);
    }
    sent[d.ask("j")] += 1;
  }
  for (const auto& [worker, jobs] : sent) EXPECT_LE(jobs, 8 * dispatchers / workers) << worker;
}

// A dispatcher that sees each worker once in minutes never fills a worker's window: overload was met by
// lateness everywhere. Its windows are judged together, and the shared limit refuses.
TEST(ManyDispatchers, RefuseEarlyWhenEverythingIsLate) {
  const auto refused = [](Micros took, std::optional<double> free_slots = {}) {
    Settings s = plain_settings();
    s.dispatchers = 300;
    Driver d(s);
    std::vector<ListEntry> fleet;
    for (int i = 0; i < 200; ++i) fleet.push_back(entry("w" + std::to_string(i)));
    d.list(fleet);
    int refusals = 0;
    std::multimap<Micros, std::string> ends;
    for (int i = 0; i < 200; ++i) {
      while (!ends.empty() && ends.begin()->first <= d.now) {
        LoadReport load;
        load.free_slots = free_slots;
        d.feed(Outcome{ends.begin()->second, 0, Status::ok, 0us, true, load});
        ends.erase(ends.begin());
      }
      const std::string id = "j" + std::to_string(i);
      if (d.ask(id, 1).empty())
        refusals += d.did<Refuse>();
      else
        ends.emplace(d.now + took, id);
      d.pass(150ms);
    }
    return refusals;
  };
  EXPECT_EQ(refused(200ms), 0);
  EXPECT_GT(refused(1s), 50);
  // Late for its own running, at workers that have slots free, is no overload; what is out past its threshold
  // as the limits are looked at still counts.
  EXPECT_LT(refused(1s, 2.0), refused(1s, 0.0) / 2);
}

// A safe job stuck in a queue is moved while it can still be in time; an unsafe one never is.
TEST(Start, ASafeJobThatDoesNotStartIsCancelledAndMoved) {
  for (const std::size_t kind : {0U, 1U}) {
    Settings s = plain_settings();
    s.may_cancel = true;
    Driver d(s);
    d.list({entry("w1"), entry("w2")});
    for (int i = 0; i < 20; ++i) {
      d.ask("q" + std::to_string(i));
      d.pass(1ms);
      d.feed(JobStarted{"q" + std::to_string(i), 0});
      d.pass(100ms);
      d.finish("q" + std::to_string(i));
    }
    const std::string first = d.ask("j", kind);
    d.pass(150ms);
    EXPECT_EQ(d.count<Cancel>(d.all), kind == 0 ? 1 : 0);
    if (kind != 0) continue;
    const std::string second = d.finish("j", Status::cancelled);
    EXPECT_NE(second, first);
    EXPECT_NE(second, "");
  }
}

// A cold worker is slow for a while, and a process that has just started knows all workers too little: the
// limit that they share fell by what the cold one did, and warm ones stood idle.
TEST(ManyDispatchers, AColdWorkerIsNoNewsOfTheOthers) {
  Driver d;
  const std::vector<ListEntry> warm = {entry("w1"), entry("w2"), entry("w3")};
  d.list(warm);
  d.run("first", 100ms);
  std::vector<ListEntry> away = warm;
  for (ListEntry& one : away) one.state = WorkerState::draining;
  d.list(away);
  d.list_cold();
  int late = 0;
  for (int i = 0; i < 400 && late < 10; ++i) {
    late += d.run("c" + std::to_string(i), 400ms).empty() ? 0 : 1;
    d.pass(50ms);
  }
  ASSERT_EQ(late, 10);
  d.pass(4s);
  d.list(warm);
  for (int i = 0; i < 4; ++i) EXPECT_NE(d.ask("w" + std::to_string(i)), "");
}

// Where late answers earn nothing, jobs past hope held the queue that others could still have used.
TEST(Start, AJobThatCanOnlyBeLateIsGivenUpWhereThatEarnsNothing) {
  for (const double late_worth : {0.0, 0.3}) {
    Settings s = plain_settings();
    s.may_cancel = true;
    s.classes[1].late_worth = late_worth;
    Driver d(s);
    d.list({entry("w1")});
    d.ask("j", 1);
    d.pass(1s);
    EXPECT_EQ(d.did<Cancel>() || d.count<Cancel>(d.all) > 0, late_worth == 0.0);
    if (late_worth > 0) continue;
    d.finish("j", Status::cancelled);
    EXPECT_TRUE(d.did<Fail>()) << "it may have run: no refusal";
  }
}

// Listed sizes tell cores, not speed: drawn by size alone the slow kind got more than it can do.
TEST(Pick, ASlowKindIsDrawnLess) {
  Settings s = plain_settings();
  s.dispatchers = 200;
  Driver d(s);
  std::vector<ListEntry> fleet;
  for (int i = 0; i < 20; ++i) {
    fleet.push_back(entry("f" + std::to_string(i)));
    fleet.push_back(entry("s" + std::to_string(i)));
    fleet[fleet.size() - 2].kind = "fast";
    fleet.back().kind = "slow";
  }
  d.list(fleet);
  std::map<char, int> sent;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "j" + std::to_string(i);
    const std::string worker = d.ask(id);
    ASSERT_NE(worker, "");
    d.feed(JobStarted{id, 0});
    d.pass(worker[0] == 's' ? 250ms : 80ms);
    d.finish(id);
    if (i >= 100) sent[worker[0]] += 1;
  }
  EXPECT_LT(sent['s'] * 3, sent['f']);
}

TEST(Pick, LeastHintedWorkOfOurs) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  const std::string heavy = d.ask("heavy", 0, 900ms);
  const std::string light = d.ask("light", 0, 100ms);
  EXPECT_NE(heavy, light);
  EXPECT_EQ(d.ask("third", 0, 100ms), light);
  d.finish("third");
  EXPECT_EQ(d.ask("fourth", 0, 100ms), light);
}

// The worker of one job that waited so long there before it started.
std::string run_after_waiting(Driver& d, Micros wait) {
  const std::string worker = d.ask("waited");
  d.pass(wait);
  d.feed(JobStarted{"waited", 0});
  d.pass(100ms);
  d.finish("waited");
  return worker;
}

// Peers' work shows only in how long a job waited to start.
TEST(Pick, AWorkerWhereJobsWaitedIsAvoidedForAWhile) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  const std::string slow = run_after_waiting(d, 400ms);
  for (int i = 0; i < 5; ++i) EXPECT_NE(d.run("b" + std::to_string(i), 100ms), slow);
}

// One of many dispatchers sees a worker once in several seconds: what it saw must last that long.
TEST(Pick, AWaitIsRememberedOverSeveralSeconds) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  const std::string slow = run_after_waiting(d, 900ms);
  EXPECT_NE(d.run("b", 100ms), slow);
  d.pass(6s);
  for (int i = 0; i < 10; ++i) EXPECT_NE(d.run("c" + std::to_string(i), 100ms), slow);
}

// Many dispatchers that each begin with a few slots overfill a worker before the first cut.
TEST_F(Limiter, FirstLimitsAreSharedAmongDispatchers) {
  Settings few = plain_settings(), many = plain_settings();
  few.dispatchers = 1;
  many.dispatchers = 12;
  Driver alone(few), crowded(many);
  alone.list({entry("w")});
  crowded.list({entry("w")});
  EXPECT_EQ(admitted(alone, "a"), 8);
  EXPECT_EQ(admitted(crowded, "a"), 2);
}

// A full worker has the least of our work and would draw every next job.
TEST(Health, AFullWorkerIsLeftAloneForAboutAJob) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  const std::string full = d.ask("a", 0, 400ms);
  d.finish("a", Status::full);
  d.pass(50ms);
  EXPECT_NE(d.ask("b", 0, 400ms), full);
  d.finish("a", Status::ok, 1);
  d.pass(5s);
  EXPECT_EQ(d.ask("c", 0, 400ms), full);
}

TEST(Pick, IdleTiesPreferTheOwnZoneAndAreNotByName) {
  Settings s = plain_settings();
  s.cross_zone_price = 0.3;
  Driver d(s);
  d.list({entry("w1", "b"), entry("w2", "a"), entry("w3", "b")});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(d.run("j" + std::to_string(i), 10ms), "w2");
  Driver even;
  even.list({entry("w1"), entry("w2"), entry("w3")});
  std::set<std::string> seen;
  for (int i = 0; i < 40; ++i) seen.insert(even.run("j" + std::to_string(i), 10ms));
  EXPECT_EQ(seen.size(), 3u);
}

// Reports that come with answers cost nothing: what a cold worker stands is learnt from them as from probes.
TEST(Cold, CoresOfAKindAreLearntFromReportsInAnswers) {
  int sent[2] = {};
  for (const bool told : {false, true}) {
    Driver d(one_of(2, 0));
    d.list({entry("w")});
    LoadReport load;
    load.free_slots = 3;
    load.held = 1;
    for (int i = 0; i < 10; ++i) {
      const std::string id = "r" + std::to_string(i);
      d.ask(id);
      d.pass(100ms);
      d.feed(Outcome{id, 0, Status::ok, 0us, true, told ? std::optional(load) : std::nullopt});
    }
    d.list_cold();
    d.feed(Exclude{"w"});
    for (int i = 0; i < 40; ++i, d.pass(10ms)) sent[told] += !d.run("c" + std::to_string(i), 100ms).empty();
  }
  EXPECT_GT(sent[0], 0);
  EXPECT_GE(sent[1], 2 * sent[0]);
}

TEST(Pick, KindThatTheClassNeeds) {
  Settings s = plain_settings();
  s.classes[0].kind = "gpu";
  Driver d(s);
  ListEntry gpu = entry("w2");
  gpu.kind = "gpu";
  d.list({entry("w1"), gpu});
  for (int i = 0; i < 2; ++i) EXPECT_EQ(d.ask("j" + std::to_string(i)), "w2");
  d.list({entry("w1")});
  EXPECT_EQ(d.ask("none"), "");
  EXPECT_TRUE(d.did<Refuse>());
}

TEST(Accounting, NothingOutMeansZero) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  d.ask("a", 0, 123ms, 2);
  d.ask("b", 1, 77ms, 0.3);
  d.feed(RequestGone{"a"});
  EXPECT_GT(d.dispatcher.slots_out(), 0);
  d.finish("a", Status::cancelled, 0, true);
  d.finish("b", Status::error);
  EXPECT_EQ(d.dispatcher.slots_out(), 0);
  d.finish("b", Status::ok);  // repeated
  d.finish("zz", Status::ok);
  d.feed(JobStarted{"zz", 3});
  d.feed(TimerFired{"stray"});
  EXPECT_EQ(d.dispatcher.slots_out(), 0);
}

// A fast failer has nothing of ours out, so least work would feed it for ever.
TEST(Health, AFastFailerIsBackedOffAndTriedAgain) {
  Driver d;
  d.list({entry("bad"), entry("good")});
  int to_bad = 0, late = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "j" + std::to_string(i);
    std::string worker = d.ask(id);
    int attempt = 0;
    d.pass(20ms);
    if (worker == "bad") {
      ++to_bad;
      late += i >= 300;
      EXPECT_EQ(d.finish(id, Status::error), "good");
      d.pass(20ms);
      attempt = 1;
    }
    d.finish(id, Status::ok, attempt);
  }
  EXPECT_LT(to_bad, 12);
  for (int i = 0; i < 600; ++i) to_bad += d.run("k" + std::to_string(i), 30ms) == "bad";
  EXPECT_GT(to_bad, 100) << "it answers again and must be used again";
}

// Two jobs out at `worker` at once, and any number elsewhere; those two end so, as a crash ends them.
static void break_two(Driver& d, const std::string& worker, Status status) {
  std::vector<std::string> there, elsewhere;
  for (int i = 0; i < 20 && there.size() < 2; ++i) {
    const std::string id = "two" + std::to_string(i);
    (d.ask(id) == worker ? there : elsewhere).push_back(id);
  }
  ASSERT_EQ(there.size(), 2u);
  for (const std::string& id : there) d.finish(id, status);
  for (const std::string& id : there) d.finish(id, Status::ok, 1);
  for (const std::string& id : elsewhere) d.finish(id);
}

TEST(Health, UnsafeJobsAreNotUsedForATrial) {
  Driver d;
  d.list({entry("bad"), entry("good")});
  break_two(d, "bad", Status::connect_failed);  // a worker that is down is down for every class
  d.pass(10s);
  for (int i = 0; i < 2; ++i) EXPECT_EQ(d.ask("u" + std::to_string(i), 1), "good");
}

// Links break by chance: barred for each, a fleet that is well would refuse.
TEST(Health, OneBrokenLinkIsNoNewsOfAWorkerTwoInARowAre) {
  Driver d;
  d.list({entry("bad"), entry("good")});
  const auto used = [&](const std::string& id) {
    int at_bad = 0;
    for (int i = 0; i < 20; ++i) at_bad += d.run(id + std::to_string(i), 1ms) == "bad";
    return at_bad > 0;
  };
  for (int i = 0; d.ask("a" + std::to_string(i)) != "bad" && i < 20; ++i) d.finish("a" + std::to_string(i));
  const std::string broken = std::get<Send>(d.last.front()).id;
  d.finish(broken, Status::reset);
  d.finish(broken, Status::ok, 1);
  EXPECT_TRUE(used("b"));
  break_two(d, "bad", Status::reset);
  EXPECT_FALSE(used("d"));
}

// A worker may hang for one class and serve the other; jobs are started in order, so it shows early.
TEST(Health, AJobThatIsOvertakenTellsOfItsClassOnly) {
  Settings s = plain_settings();
  s.may_cancel = true;
  Driver d(s);
  d.list({entry("w1"), entry("w2")});
  for (int i = 0; i < 10; ++i) d.run("earlier" + std::to_string(i), 100ms);  // moves must be earned
  const std::string hung = d.ask("stuck");
  d.pass(60ms);
  std::string last = "p0";
  for (int i = 1; d.ask(last, 1) != hung && i < 6; ++i) last = "p" + std::to_string(i);
  d.feed(JobStarted{last, 0});
  ASSERT_TRUE(d.did<Cancel>());
  EXPECT_NE(d.finish("stuck", Status::cancelled), hung);
  for (int i = 0; i < 2; ++i) EXPECT_NE(d.ask("r" + std::to_string(i)), hung);
  d.finish(last);
  std::set<std::string> seen;
  for (int i = 0; i < 3; ++i) seen.insert(d.ask("q" + std::to_string(i), 1));
  EXPECT_TRUE(seen.contains(hung));
}

// A cancel stops nothing: seen as idle, the worker would draw the next job on top of the one it still runs.
TEST(Pick, AnAttemptThatWasCutOffStillLoadsItsWorkerForAsLongAsItShouldRun) {
  Driver d;
  d.list({entry("w1"), entry("w2")});
  const std::string loaded = d.ask("cut", 0, 2s);
  d.finish("cut", Status::cancelled, 0, true);
  for (int i = 0; i < 5; ++i) EXPECT_NE(d.run("j" + std::to_string(i), 1ms), loaded);
  d.pass(2s);
  std::set<std::string> seen;
  for (int i = 0; i < 20; ++i) seen.insert(d.run("k" + std::to_string(i), 1ms));
  EXPECT_TRUE(seen.contains(loaded));
}

TEST(Health, WhenAllLookBadTheFleetIsStillUsed) {
  Driver d;
  d.list({entry("w1"), entry("w2"), entry("w3")});
  for (int i = 0; i < 3; ++i) d.ask("j" + std::to_string(i), 1);
  for (int i = 0; i < 3; ++i) d.finish("j" + std::to_string(i), Status::error);
  EXPECT_NE(d.ask("next", 1), "");
}

// STANDING: the wall clock may be stepped by an hour: one that was set back before this process began shows
// starts that are yet to come.
TEST(List, AStartAheadOfTheClockCountsFromWhenItIsHeard) {
  Driver d;
  ListEntry worker = entry("w");
  worker.started = d.now + 1h;
  d.list({worker});
  d.pass(plain_settings().cold_time);
  EXPECT_EQ(d.run("a", 50ms), "w");
  EXPECT_EQ(d.run("b", 50ms), "w");
}

TEST(List, AnEmptyListRefusesAndRecovers) {
  Driver d;
  EXPECT_EQ(d.ask("early"), "");
  EXPECT_TRUE(d.did<Refuse>());
  d.list({entry("w")});
  EXPECT_EQ(d.ask("later"), "w");
}

// Calls that fail leave the list to age: the dispatcher must go on asking, well inside the stated time.
// Also in a fleet that spreads its calls.
TEST(List, KeepsAskingWhileCallsFail) {
  for (const int dispatchers : {3, 300}) {
    Settings s = asking_settings(10s);
    s.dispatchers = dispatchers;
    Driver d(s);
    d.list({entry("w")}, ListKind::remembered);
    EXPECT_TRUE(d.did<Watch>() || dispatchers > 3);
    Micros last_ask = d.now;
    for (int i = 0; i <= 40; ++i) {
      if (i > 0) d.list({}, ListKind::failed);
      const int before = d.count<Watch>(d.all);
      while (d.count<Watch>(d.all) == before) {
        d.pass(50ms);
        ASSERT_LT(d.now - last_ask, 10s) << dispatchers;
      }
      last_ask = d.now;
    }
    EXPECT_EQ(d.ask("j"), "w") << "the old list still serves";
  }
}

TEST(List, WithoutAStatedTimeRefusedCallsAreNotRepeatedEveryTick) {
  Driver d(asking_settings(0s));
  for (int i = 0; i < 500; ++i) {
    if (d.did<Watch>()) d.list({}, ListKind::failed);
    d.pass(2ms);
    if (i == 0) d.list({}, ListKind::failed);
  }
  EXPECT_LT(d.count<Watch>(d.all), 10);
  EXPECT_GT(d.count<Watch>(d.all), 1);
}

TEST(List, AsksAgainWhenACallIsNeverAnswered) {
  Driver d(asking_settings(10s));
  d.list({entry("w")}, ListKind::remembered);
  d.pass(9s);
  EXPECT_GE(d.count<Watch>(d.all), 2);
}

TEST(Settings, ThatCannotBeRightAreNamed) {
  const auto message = [](auto change) {
    Settings s = plain_settings();
    change(s);
    try {
      Dispatcher d(s, 1);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what());
    }
    return std::string("accepted");
  };
  EXPECT_NE(message([](Settings& s) { s.dispatchers = 0; }).find("dispatchers"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.max_attempts = 0; }).find("max_attempts"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.start_capacity = 0; }).find("start_capacity"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.classes[1].deadline = 0us; }).find("deadline"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.classes[1].stretch = -1; }).find("stretch"), std::string::npos);
}

TEST(Settings, BareOnesWork) {
  Settings s;
  ClassSettings c;
  c.deadline = 1s;
  s.classes = {c};
  Driver d(s);
  d.list({entry("w")});
  d.feed(Request{"j", 0, 1, std::nullopt, 1s});
  EXPECT_EQ(d.sent_to(), "w");
  d.pass(30ms);
  d.finish("j");
  d.feed(Request{"k", 0, 1, std::nullopt, 1s});
  EXPECT_EQ(d.sent_to(), "w") << "without hints a job counts as what its class usually takes";
}

}  // namespace
}  // namespace woadtide
