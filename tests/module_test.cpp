// Tests of limits, worker choice, health, list handling and settings of the dispatcher module.
#include <random>
#include <set>

#include "estimates/abandoned_attempts.hpp"
#include "estimates/latency_window.hpp"
#include "harness.hpp"

namespace woadtide {
namespace {

// Number of one-slot jobs that the only worker gets before the first refusal.
int admitted(Driver& d, const std::string& prefix) {
  int n = 0;
  while (n < 200 && !d.request(prefix + std::to_string(n)).empty()) ++n;
  for (int i = 0; i < n; ++i) d.finish(prefix + std::to_string(i));
  return n;
}

class Limiter : public ::testing::Test {
 protected:
  Limiter() { d.update_list({entry("w")}); }
  Driver d;
};

TEST_F(Limiter, RefusesBeyondLimitWithRetryAfter) {
  int n = 0;
  while (!d.request("j" + std::to_string(n)).empty()) ASSERT_LT(++n, 100);
  ASSERT_TRUE(d.emitted<Refuse>());
  for (const Action& action : d.last_actions)
    if (const auto* refuse = std::get_if<Refuse>(&action)) {
      EXPECT_GT(refuse->retry_after, 0us);
      EXPECT_LE(refuse->retry_after, 2s);
    }
  EXPECT_GE(n, 2);
}

TEST_F(Limiter, GrowsByOneOnlyWhileHalfUsed) {
  const int before = admitted(d, "a");
  d.advance(4s);  // the window of `admitted` closes with nothing outstanding: no growth
  EXPECT_EQ(admitted(d, "b"), before);
  for (int i = 0; i < before; ++i) d.request("c" + std::to_string(i));
  for (int i = 0; i < before; ++i) d.finish("c" + std::to_string(i));
  for (int i = 0; i < before - 1; ++i) d.request("d" + std::to_string(i));
  d.advance(3s);
  EXPECT_GE(d.dispatcher.slots_out(), before - 1);
  for (int i = 0; i < 5; ++i) d.run_job("x" + std::to_string(i), 1us);  // good samples, the limit half used
  d.advance(3s);
  for (int i = 0; i < before - 1; ++i) d.finish("d" + std::to_string(i));
  EXPECT_EQ(admitted(d, "e"), before + 1);
}

TEST_F(Limiter, SlowAnswersDecreaseLimit) {
  const int before = admitted(d, "a");
  for (int i = 0; i < 6; ++i) d.run_job("s" + std::to_string(i), 600ms);
  d.advance(3s);
  EXPECT_LT(admitted(d, "b"), before);
}

// Without start reports an answer may be late by its own running time alone. Were limits cut to one slot
// then, a fleet with free capacity would refuse most of its work. With start reports a limit may fall to one
// slot.
TEST(LimiterBound, LimitKeepsInitialShareWithoutStartReports) {
  for (const bool tells_start : {false, true}) {
    Settings settings = base_settings();
    settings.tells_start = tells_start;
    settings.dispatchers = 2;
    Driver d(settings);
    d.update_list({entry("w")});
    for (int round = 0; round < 8; ++round) {
      for (int i = 0; i < 6; ++i) d.run_job("s" + std::to_string(round) + "-" + std::to_string(i), 600ms);
      d.advance(3s);
    }
    EXPECT_EQ(admitted(d, "b"), tells_start ? 1 : 4);
  }
}

// One dispatcher had most of the traffic and many others had little. Limited to its share, it refused half of
// its work while all workers were idle.
TEST(LimiterBound, UsesCoresThatLoadReportsShowAsFree) {
  for (const double peer_jobs : {0, 3}) {
    Settings settings = settings_of(8, 0);
    settings.tells_start = false;
    Driver d(settings);
    d.update_list({entry("w")});
    for (int i = 0; i < 60; ++i) {
      const std::string id = "r" + std::to_string(i);
      d.request(id);
      d.advance(600ms);
      LoadReport load;
      load.free_slots = 3 - peer_jobs;
      load.held = 1 + peer_jobs;
      d.feed(Outcome{id, 0, Status::ok, 0us, true, load});
    }
    EXPECT_EQ(admitted(d, "b"), peer_jobs == 0 ? 3 : 1);
  }
}

// The p95 of few samples is their maximum: one long job must not cut the limit of a healthy worker.
TEST_F(Limiter, OneLongJobAmongFewSamplesDoesNotDecreaseLimit) {
  const int before = admitted(d, "a");
  d.advance(3s);
  for (int i = 0; i < 6; ++i) d.run_job("s" + std::to_string(i), i == 3 ? 900ms : 50ms);
  d.advance(3s);
  EXPECT_GE(admitted(d, "b"), before);
}

TEST_F(Limiter, OutstandingJobsPastThresholdCountAsSlow) {
  const int before = admitted(d, "a");
  d.advance(3s);
  for (int i = 0; i < before; ++i) d.request("h" + std::to_string(i));  // never answered
  d.advance(9s);
  for (int i = 0; i < before; ++i) d.finish("h" + std::to_string(i));
  EXPECT_LT(admitted(d, "b"), before);
}

TEST_F(Limiter, JobWiderThanLimitRunsAlone) {
  EXPECT_EQ(d.request("wide", 0, 100ms, 50), "w");
  EXPECT_EQ(d.request("next"), "");
}

// In a large fleet a dispatcher has no outstanding work at most workers. If all dispatchers chose the worker
// that looks best, they would overload it.
TEST(ManyDispatchers, DoNotAllChooseTheSameWorker) {
  const int dispatchers = 300, workers = 60;
  std::vector<ListEntry> fleet;
  for (int i = 0; i < workers; ++i) fleet.push_back(entry("w" + std::to_string(i)));
  std::map<std::string, int> sent;
  for (int number = 0; number < dispatchers; ++number) {
    Driver d(settings_of(dispatchers, number), static_cast<std::uint64_t>(number + 1));
    d.update_list(fleet);
    for (const ListEntry& worker :
         fleet) {  // all observe the same: w0 starts jobs at once, the others do not
      d.feed(Request{"p" + worker.worker, 0, 1, 100ms, 5s});
      const bool quick = d.sent_to() == "w0";
      d.advance(quick ? 1ms : 20ms);
      d.feed(JobStarted{"p" + worker.worker, 0});
      d.finish("p" + worker.worker);
    }
    sent[d.request("j")] += 1;
  }
  for (const auto& [worker, jobs] : sent) EXPECT_LE(jobs, 8 * dispatchers / workers) << worker;
}

// A dispatcher that sends to each worker once in minutes never fills the sampling window of one worker, and
// overload made all jobs late. Workers with sparse samples share one limit, which has to refuse.
TEST(ManyDispatchers, RefuseWhenAllAnswersAreLate) {
  const auto count_refusals = [](Micros duration, std::optional<double> free_slots = {}) {
    Settings s = base_settings();
    s.dispatchers = 300;
    Driver d(s);
    std::vector<ListEntry> fleet;
    for (int i = 0; i < 200; ++i) fleet.push_back(entry("w" + std::to_string(i)));
    d.update_list(fleet);
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
      if (d.request(id, 1).empty())
        refusals += d.emitted<Refuse>();
      else
        ends.emplace(d.now + duration, id);
      d.advance(150ms);
    }
    return refusals;
  };
  EXPECT_EQ(count_refusals(200ms), 0);
  EXPECT_GT(count_refusals(1s), 50);
  // Late by its own running time, at workers with free slots, is no overload. Attempts that are outstanding
  // past their threshold when the limits are updated still count.
  EXPECT_LT(count_refusals(1s, 2.0), count_refusals(1s, 0.0) / 2);
}

// A safe job stuck in a queue is moved while it can still be in time; an unsafe job never is.
TEST(Start, SafeJobThatDoesNotStartIsCancelledAndMoved) {
  for (const std::size_t class_index : {0U, 1U}) {
    Settings s = base_settings();
    s.may_cancel = true;
    Driver d(s);
    d.update_list({entry("w1"), entry("w2")});
    for (int i = 0; i < 20; ++i) {
      d.request("q" + std::to_string(i));
      d.advance(1ms);
      d.feed(JobStarted{"q" + std::to_string(i), 0});
      d.advance(100ms);
      d.finish("q" + std::to_string(i));
    }
    const std::string first = d.request("j", class_index);
    d.advance(150ms);
    EXPECT_EQ(d.count<Cancel>(d.all_actions), class_index == 0 ? 1 : 0);
    if (class_index != 0) continue;
    const std::string second = d.finish("j", Status::cancelled);
    EXPECT_NE(second, first);
    EXPECT_NE(second, "");
  }
}

// A cold worker is slow for a while, and a process that has just started has sparse samples of all workers.
// The late answers of the cold worker lowered the shared limit, and warm workers were idle.
TEST(ManyDispatchers, ColdWorkerDoesNotLowerSharedLimit) {
  Driver d;
  const std::vector<ListEntry> warm = {entry("w1"), entry("w2"), entry("w3")};
  d.update_list(warm);
  d.run_job("first", 100ms);
  std::vector<ListEntry> away = warm;
  for (ListEntry& entry : away) entry.state = WorkerState::draining;
  d.update_list(away);
  d.list_cold_worker();
  int late = 0;
  for (int i = 0; i < 400 && late < 10; ++i) {
    late += d.run_job("c" + std::to_string(i), 400ms).empty() ? 0 : 1;
    d.advance(50ms);
  }
  ASSERT_EQ(late, 10);
  d.advance(4s);
  d.update_list(warm);
  for (int i = 0; i < 4; ++i) EXPECT_NE(d.request("w" + std::to_string(i)), "");
}

// Where late answers earn nothing, jobs that could only be late held queue places that others needed.
TEST(Start, JobThatCanOnlyBeLateIsCancelledWhereLateAnswersEarnNothing) {
  for (const double late_worth : {0.0, 0.3}) {
    Settings s = base_settings();
    s.may_cancel = true;
    s.classes[1].late_worth = late_worth;
    Driver d(s);
    d.update_list({entry("w1")});
    d.request("j", 1);
    d.advance(1s);
    EXPECT_EQ(d.emitted<Cancel>() || d.count<Cancel>(d.all_actions) > 0, late_worth == 0.0);
    if (late_worth > 0) continue;
    d.finish("j", Status::cancelled);
    EXPECT_TRUE(d.emitted<Fail>()) << "it may have run, so it cannot be refused";
  }
}

// Listed sizes stand for cores, not speed: drawn by size alone, slow workers got more than they can do.
TEST(Pick, SlowWorkersAreChosenLess) {
  Settings s = base_settings();
  s.dispatchers = 200;
  Driver d(s);
  std::vector<ListEntry> fleet;
  for (int i = 0; i < 20; ++i) {
    fleet.push_back(entry("f" + std::to_string(i)));
    fleet.push_back(entry("s" + std::to_string(i)));
    fleet[fleet.size() - 2].kind = "fast";
    fleet.back().kind = "slow";
  }
  d.update_list(fleet);
  std::map<char, int> sent;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "j" + std::to_string(i);
    const std::string worker = d.request(id);
    ASSERT_NE(worker, "");
    d.feed(JobStarted{id, 0});
    d.advance(worker[0] == 's' ? 250ms : 80ms);
    d.finish(id);
    if (i >= 100) sent[worker[0]] += 1;
  }
  EXPECT_LT(sent['s'] * 3, sent['f']);
}

TEST(Pick, PrefersWorkerWithLeastOutstandingWork) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  const std::string heavy = d.request("heavy", 0, 900ms);
  const std::string light = d.request("light", 0, 100ms);
  EXPECT_NE(heavy, light);
  EXPECT_EQ(d.request("third", 0, 100ms), light);
  d.finish("third");
  EXPECT_EQ(d.request("fourth", 0, 100ms), light);
}

// Runs one job that waits in the queue for `wait`. Returns its worker.
std::string run_after_waiting(Driver& d, Micros wait) {
  const std::string worker = d.request("waited");
  d.advance(wait);
  d.feed(JobStarted{"waited", 0});
  d.advance(100ms);
  d.finish("waited");
  return worker;
}

// The work of other dispatchers shows only in how long a job waited to start.
TEST(Pick, WorkerWithLongQueueWaitIsAvoided) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  const std::string slow = run_after_waiting(d, 400ms);
  for (int i = 0; i < 5; ++i) EXPECT_NE(d.run_job("b" + std::to_string(i), 100ms), slow);
}

// One of many dispatchers sends to a worker once in several seconds: an observed wait must last that long.
TEST(Pick, QueueWaitIsRememberedForSeveralSeconds) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  const std::string slow = run_after_waiting(d, 900ms);
  EXPECT_NE(d.run_job("b", 100ms), slow);
  d.advance(6s);
  for (int i = 0; i < 10; ++i) EXPECT_NE(d.run_job("c" + std::to_string(i), 100ms), slow);
}

// Many dispatchers that each started with a few slots would overload a worker before the first decrease.
TEST_F(Limiter, InitialLimitsAreSharedAmongDispatchers) {
  Settings few = base_settings(), many = base_settings();
  few.dispatchers = 1;
  many.dispatchers = 12;
  Driver alone(few), crowded(many);
  alone.update_list({entry("w")});
  crowded.update_list({entry("w")});
  EXPECT_EQ(admitted(alone, "a"), 8);
  EXPECT_EQ(admitted(crowded, "a"), 2);
}

// A full worker has the least work of this dispatcher and would get every next job.
TEST(Health, FullWorkerIsAvoidedForAboutOneJob) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  const std::string full = d.request("a", 0, 400ms);
  d.finish("a", Status::full);
  d.advance(50ms);
  EXPECT_NE(d.request("b", 0, 400ms), full);
  d.finish("a", Status::ok, 1);
  d.advance(5s);
  EXPECT_EQ(d.request("c", 0, 400ms), full);
}

TEST(Pick, TiesPreferOwnZoneAndAreRandomWithinIt) {
  Settings s = base_settings();
  s.cross_zone_price = 0.3;
  Driver d(s);
  d.update_list({entry("w1", "b"), entry("w2", "a"), entry("w3", "b")});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(d.run_job("j" + std::to_string(i), 10ms), "w2");
  Driver even;
  even.update_list({entry("w1"), entry("w2"), entry("w3")});
  std::set<std::string> seen;
  for (int i = 0; i < 40; ++i) seen.insert(even.run_job("j" + std::to_string(i), 10ms));
  EXPECT_EQ(seen.size(), 3u);
}

// Load reports in answers cost nothing: they show how much a cold worker can bear, as probes do.
TEST(Cold, CoresOfAKindAreLearntFromReportsInAnswers) {
  int sent[2] = {};
  for (const bool reports : {false, true}) {
    Driver d(settings_of(2, 0));
    d.update_list({entry("w")});
    LoadReport load;
    load.free_slots = 3;
    load.held = 1;
    for (int i = 0; i < 10; ++i) {
      const std::string id = "r" + std::to_string(i);
      d.request(id);
      d.advance(100ms);
      d.feed(Outcome{id, 0, Status::ok, 0us, true, reports ? std::optional(load) : std::nullopt});
    }
    d.list_cold_worker();
    d.feed(Exclude{"w"});
    for (int i = 0; i < 40; ++i, d.advance(10ms))
      sent[reports] += !d.run_job("c" + std::to_string(i), 100ms).empty();
  }
  EXPECT_GT(sent[0], 0);
  EXPECT_GE(sent[1], 2 * sent[0]);
}

TEST(Pick, ChoosesTheKindThatTheClassNeeds) {
  Settings s = base_settings();
  s.classes[0].kind = "gpu";
  Driver d(s);
  ListEntry gpu = entry("w2");
  gpu.kind = "gpu";
  d.update_list({entry("w1"), gpu});
  for (int i = 0; i < 2; ++i) EXPECT_EQ(d.request("j" + std::to_string(i)), "w2");
  d.update_list({entry("w1")});
  EXPECT_EQ(d.request("none"), "");
  EXPECT_TRUE(d.emitted<Refuse>());
}

TEST(Accounting, SlotsOutIsZeroWhenNothingIsOutstanding) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  d.request("a", 0, 123ms, 2);
  d.request("b", 1, 77ms, 0.3);
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

// A worker that fails fast has no outstanding work, so choice by least work would always prefer it.
TEST(Health, FastFailingWorkerIsEjectedAndTriedAgain) {
  Driver d;
  d.update_list({entry("bad"), entry("good")});
  int to_bad = 0, to_bad_at_end = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "j" + std::to_string(i);
    std::string worker = d.request(id);
    int attempt = 0;
    d.advance(20ms);
    if (worker == "bad") {
      ++to_bad;
      to_bad_at_end += i >= 300;
      EXPECT_EQ(d.finish(id, Status::error), "good");
      d.advance(20ms);
      attempt = 1;
    }
    d.finish(id, Status::ok, attempt);
  }
  EXPECT_LT(to_bad, 12);
  for (int i = 0; i < 600; ++i) to_bad += d.run_job("k" + std::to_string(i), 30ms) == "bad";
  EXPECT_GT(to_bad, 100) << "it succeeds again and must be used again";
}

// Sends jobs until two are outstanding at `worker`, and ends these two with `status`, as a crash does.
static void fail_two_jobs(Driver& d, const std::string& worker, Status status) {
  std::vector<std::string> there, elsewhere;
  for (int i = 0; i < 20 && there.size() < 2; ++i) {
    const std::string id = "two" + std::to_string(i);
    (d.request(id) == worker ? there : elsewhere).push_back(id);
  }
  ASSERT_EQ(there.size(), 2u);
  for (const std::string& id : there) d.finish(id, status);
  for (const std::string& id : there) d.finish(id, Status::ok, 1);
  for (const std::string& id : elsewhere) d.finish(id);
}

TEST(Health, UnsafeJobsAreNotSentToWorkerOnProbation) {
  Driver d;
  d.update_list({entry("bad"), entry("good")});
  fail_two_jobs(d, "bad", Status::connect_failed);  // a failed connect counts for every class
  d.advance(10s);
  for (int i = 0; i < 2; ++i) EXPECT_EQ(d.request("u" + std::to_string(i), 1), "good");
}

// Single links break by chance: were each one a reason to eject, a healthy fleet would refuse jobs.
TEST(Health, TwoBrokenLinksInARowEjectButOneDoesNot) {
  Driver d;
  d.update_list({entry("bad"), entry("good")});
  const auto used = [&](const std::string& id) {
    int at_bad = 0;
    for (int i = 0; i < 20; ++i) at_bad += d.run_job(id + std::to_string(i), 1ms) == "bad";
    return at_bad > 0;
  };
  for (int i = 0; d.request("a" + std::to_string(i)) != "bad" && i < 20; ++i)
    d.finish("a" + std::to_string(i));
  const std::string broken = std::get<Send>(d.last_actions.front()).id;
  d.finish(broken, Status::reset);
  d.finish(broken, Status::ok, 1);
  EXPECT_TRUE(used("b"));
  fail_two_jobs(d, "bad", Status::reset);
  EXPECT_FALSE(used("d"));
}

// A worker may hang for one class and serve the other. Jobs start in order, so an overtaken one shows it
// early.
TEST(Health, OvertakenJobMarksOnlyItsClassAsStalled) {
  Settings s = base_settings();
  s.may_cancel = true;
  Driver d(s);
  d.update_list({entry("w1"), entry("w2")});
  for (int i = 0; i < 10; ++i) d.run_job("earlier" + std::to_string(i), 100ms);  // earn the budget for a move
  const std::string hung = d.request("stuck");
  d.advance(60ms);
  std::string last = "p0";
  for (int i = 1; d.request(last, 1) != hung && i < 6; ++i) last = "p" + std::to_string(i);
  d.feed(JobStarted{last, 0});
  ASSERT_TRUE(d.emitted<Cancel>());
  EXPECT_NE(d.finish("stuck", Status::cancelled), hung);
  for (int i = 0; i < 2; ++i) EXPECT_NE(d.request("r" + std::to_string(i)), hung);
  d.finish(last);
  std::set<std::string> seen;
  for (int i = 0; i < 3; ++i) seen.insert(d.request("q" + std::to_string(i), 1));
  EXPECT_TRUE(seen.contains(hung));
}

// A cancellation does not stop the job: taken for idle, the worker would get the next one while it still
// runs.
TEST(Pick, CancelledAttemptCountsAsLoadUntilItsExpectedEnd) {
  Driver d;
  d.update_list({entry("w1"), entry("w2")});
  const std::string loaded = d.request("cut", 0, 2s);
  d.finish("cut", Status::cancelled, 0, true);
  for (int i = 0; i < 5; ++i) EXPECT_NE(d.run_job("j" + std::to_string(i), 1ms), loaded);
  d.advance(2s);
  std::set<std::string> seen;
  for (int i = 0; i < 20; ++i) seen.insert(d.run_job("k" + std::to_string(i), 1ms));
  EXPECT_TRUE(seen.contains(loaded));
}

TEST(Health, FleetIsUsedWhenMostWorkersAreEjected) {
  Driver d;
  d.update_list({entry("w1"), entry("w2"), entry("w3")});
  for (int i = 0; i < 3; ++i) d.request("j" + std::to_string(i), 1);
  for (int i = 0; i < 3; ++i) d.finish("j" + std::to_string(i), Status::error);
  EXPECT_NE(d.request("next", 1), "");
}

// The wall clock may be stepped by an hour. If it was set back before this process began, the list has start
// times in the future.
TEST(List, StartTimeInTheFutureCountsFromItsArrival) {
  Driver d;
  ListEntry worker = entry("w");
  worker.started = d.now + 1h;
  d.update_list({worker});
  d.advance(base_settings().cold_time);
  EXPECT_EQ(d.run_job("a", 50ms), "w");
  EXPECT_EQ(d.run_job("b", 50ms), "w");
}

TEST(List, EmptyListRefusesUntilAWorkerIsListed) {
  Driver d;
  EXPECT_EQ(d.request("early"), "");
  EXPECT_TRUE(d.emitted<Refuse>());
  d.update_list({entry("w")});
  EXPECT_EQ(d.request("later"), "w");
}

// While calls fail the list gets older: the dispatcher must keep asking, well within must_ask_within. This
// holds also in a fleet that spreads its calls.
TEST(List, KeepsAskingWhileCallsFail) {
  for (const int dispatchers : {3, 300}) {
    Settings s = on_request_settings(10s);
    s.dispatchers = dispatchers;
    Driver d(s);
    d.update_list({entry("w")}, ListKind::remembered);
    EXPECT_TRUE(d.emitted<Watch>() || dispatchers > 3);
    Micros last_request_at = d.now;
    for (int i = 0; i <= 40; ++i) {
      if (i > 0) d.update_list({}, ListKind::failed);
      const int before = d.count<Watch>(d.all_actions);
      while (d.count<Watch>(d.all_actions) == before) {
        d.advance(50ms);
        ASSERT_LT(d.now - last_request_at, 10s) << dispatchers;
      }
      last_request_at = d.now;
    }
    EXPECT_EQ(d.request("j"), "w") << "the old list is still used";
  }
}

TEST(List, FailedCallsAreNotRepeatedEveryTickByDefault) {
  Driver d(on_request_settings(0s));
  for (int i = 0; i < 500; ++i) {
    if (d.emitted<Watch>()) d.update_list({}, ListKind::failed);
    d.advance(2ms);
    if (i == 0) d.update_list({}, ListKind::failed);
  }
  EXPECT_LT(d.count<Watch>(d.all_actions), 10);
  EXPECT_GT(d.count<Watch>(d.all_actions), 1);
}

TEST(List, AsksAgainWhenACallIsNeverAnswered) {
  Driver d(on_request_settings(10s));
  d.update_list({entry("w")}, ListKind::remembered);
  d.advance(9s);
  EXPECT_GE(d.count<Watch>(d.all_actions), 2);
}

TEST(Settings, ErrorNamesTheInvalidSetting) {
  const auto message = [](auto change) {
    Settings s = base_settings();
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

// Guards the owner's memory: a timer for each attempt once stayed set for long after the attempt was over.
TEST(StartCheck, TimerIsCancelledOnceTheAttemptHasStartedOrEnded) {
  Driver d;
  d.update_list({entry("w"), entry("v")});
  const auto cancelled_token = [&d] {
    for (const Action& action : d.last_actions)
      if (const auto* cancel = std::get_if<CancelTimer>(&action)) return cancel->token;
    return std::string();
  };
  d.request("a");
  ASSERT_EQ(d.count<SetTimer>(d.last_actions), 1);
  const std::string token = std::get<SetTimer>(d.last_actions.back()).token;
  d.feed(JobStarted{"a", 0});
  EXPECT_EQ(cancelled_token(), token);
  d.finish("a");
  EXPECT_EQ(cancelled_token(), "");
  d.request("b");
  d.finish("b");
  EXPECT_EQ(cancelled_token(), "start 0 b");
}

// Guards memory and the time of each decision: an abandoned attempt once counted for as long as its client
// had hinted, and clients that hint days left as many of them as they sent requests.
TEST(Bounds, AbandonedAttemptsAreFewAndEndWithTheDeadlineOfTheirClass) {
  Driver d;
  d.update_list({entry("w")});
  for (int i = 0; i < 1'000; ++i) {
    const std::string id = "j" + std::to_string(i);
    ASSERT_EQ(d.request(id, 0, std::chrono::hours(24), 1, 20ms), "w");
    d.finish(id, Status::cancelled, 0, true);
  }
  EXPECT_EQ(d.dispatcher.state_sizes().abandoned_attempts, AbandonedAttempts::kMaxAttempts);
  d.advance(base_settings().classes[0].deadline);
  d.run_job("later", 1ms);
  EXPECT_EQ(d.dispatcher.state_sizes().abandoned_attempts, 0u);
}

// Guards memory: a sampling window once held every answer of 3 s.
TEST(Bounds, SamplingWindowHoldsSoManySamplesAtTheMost) {
  Driver d;
  d.update_list({entry("w")});
  for (int i = 0; i < 5'000; ++i) ASSERT_EQ(d.run_job("j" + std::to_string(i), 10us), "w");
  EXPECT_EQ(d.dispatcher.state_sizes().latency_samples, LatencyWindow::kMaxSamples);
}

TEST(Bounds, SamplesOfAWindowThatIsFullAreDrawnFromAllOfIt) {
  LatencyWindow window;
  std::mt19937_64 random(7);
  constexpr int kSamples = 20'000;
  for (int i = 0; i < kSamples; ++i) window.add(static_cast<double>(i) / kSamples, random);
  EXPECT_EQ(window.size(), LatencyWindow::kMaxSamples);
  EXPECT_NEAR(window.quantile_of_samples(0.5, 1), 0.5, 0.08);  // five times the standard error
  EXPECT_NEAR(window.quantile_of_samples(0.95, 1), 0.95, 0.035);
  window.clear();
  EXPECT_EQ(window.size(), 0u);
}

// Guards memory: what was learned of a zone or a kind was once kept for as long as the process runs.
TEST(Bounds, KindsAndZonesWithoutWorkersAreForgottenWhenTheyAreMany) {
  Driver d;
  for (int i = 0; i < 5'000; ++i) {
    ListEntry worker = entry("w" + std::to_string(i), "zone" + std::to_string(i));
    worker.kind = "kind" + std::to_string(i);
    d.update_list({worker});
    ASSERT_LE(d.dispatcher.state_sizes().learned_groups, 1'024u);
  }
  EXPECT_EQ(d.request("j"), "w4999");
}

// Guards memory: an exclusion lifted while its worker was not listed was once kept for ever.
TEST(Bounds, LiftedExclusionsOfUnlistedWorkersAreForgottenOldestFirst) {
  Driver d;
  d.feed(Exclude{"held"});
  for (int i = 0; i < 3'000; ++i) {
    d.advance(1ms);
    d.feed(Exclude{"w" + std::to_string(i)});
    d.feed(Include{"w" + std::to_string(i)});
  }
  EXPECT_EQ(d.dispatcher.state_sizes().exclusions, 1'025u);
  EXPECT_TRUE(d.dispatcher.knows("held"));
  EXPECT_TRUE(d.dispatcher.knows("w2999"));
  EXPECT_FALSE(d.dispatcher.knows("w0"));
}

TEST(Settings, DefaultsWork) {
  Settings s;
  ClassSettings c;
  c.deadline = 1s;
  s.classes = {c};
  Driver d(s);
  d.update_list({entry("w")});
  d.feed(Request{"j", 0, 1, std::nullopt, 1s});
  EXPECT_EQ(d.sent_to(), "w");
  d.advance(30ms);
  d.finish("j");
  d.feed(Request{"k", 0, 1, std::nullopt, 1s});
  EXPECT_EQ(d.sent_to(), "w") << "without a hint the usual latency of the class is its expected work";
}

}  // namespace
}  // namespace woadtide
