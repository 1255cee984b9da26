// Tests of the cohort comparison: how often it errs, and how soon it finds a fault.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "verdict/verdict.hpp"

#include <doctest/doctest.h>

#include "verdict_world.hpp"

namespace woadtide::verdict {
namespace {

// Returns the second at which the changed cohort was called worse, or -1.
int second_called_worse(const SimulatedFleet& world, std::uint64_t seed, int seconds) {
  pcg32 random(seed);
  Verdict verdict;
  for (int at = 0; at < seconds; ++at) {
    verdict.add(world.next_slice(random, at));
    if (verdict.outcome() == Outcome::worse) return at;
  }
  return -1;
}

int runs_called_worse(const SimulatedFleet& world, int seconds) {
  int found = 0;
  for (int i = 0; i < 100; ++i)
    found += second_called_worse(world, 1'000 + static_cast<std::uint64_t>(i), seconds) >= 0;
  return found;
}

TEST_CASE("equal cohorts are almost never called worse, under faults of both sides and after any time") {
  for (const int changed : {1, 3, 6}) {
    SimulatedFleet equal_cohorts;
    equal_cohorts.changed_dispatchers = changed;
    CAPTURE(changed);
    CHECK(runs_called_worse(equal_cohorts, 600) <= 2);
  }
}

TEST_CASE("each defect is detected in its first stage") {
  SimulatedFleet failing;
  failing.extra_failed_share = 0.02;
  CHECK(runs_called_worse(failing, 400) >= 95);
  SimulatedFleet looping;
  looping.restarts = 0.1;
  CHECK(runs_called_worse(looping, 120) >= 95);
  SimulatedFleet slower;
  slower.extra_slow_share = 0.6;  // 60% more queries over the p95 and p99
  CHECK(runs_called_worse(slower, 300) >= 95);
  SimulatedFleet leaking;
  leaking.leak_mb_per_s = 0.2;
  CHECK(runs_called_worse(leaking, 120) >= 95);
}

TEST_CASE("a version that fails every query is detected within seconds") {
  SimulatedFleet broken;
  broken.extra_failed_share = 1;
  for (std::uint64_t seed = 0; seed < 20; ++seed) CHECK(second_called_worse(broken, seed, 10) >= 0);
}

TEST_CASE("equal cohorts are finally called not worse, and a cohort worse by more than the margin is not") {
  SimulatedFleet equal_cohorts;
  equal_cohorts.shared_faults = false;
  equal_cohorts.changed_dispatchers = 6;
  SimulatedFleet worse_cohort = equal_cohorts;
  worse_cohort.extra_failed_share = 0.04;
  int correct = 0, incorrect = 0;
  for (std::uint64_t i = 0; i < 40; ++i) {
    pcg32 random(i);
    Verdict equal, unequal;
    for (int at = 0; at < 900; ++at) {
      equal.add(equal_cohorts.next_slice(random, at));
      unequal.add(worse_cohort.next_slice(random, at));
      incorrect += unequal.outcome() == Outcome::not_worse;
    }
    correct += equal.outcome() == Outcome::not_worse;
  }
  CHECK(correct >= 36);
  CHECK(incorrect == 0);
}

TEST_CASE("a side without queries or dispatchers adds nothing, and the outcome worse is final") {
  Verdict verdict;
  CohortPair pair;
  pair.changed.dispatchers = 1;
  pair.changed.classes["a"] = {100, 0, 100, 0, {}};
  for (int i = 0; i < 100; ++i) verdict.add({{"a", pair}});
  CHECK(verdict.outcome() == Outcome::cannot_tell);
  pair.reference.dispatchers = 11;
  pair.reference.classes["a"] = {1'100, 0, 0, 0, {}};
  verdict.add({{"a", pair}});
  CHECK(verdict.outcome() == Outcome::worse);
  CHECK(verdict.reason().starts_with("failed of a: 100 of 100 "));
  std::swap(pair.changed.classes, pair.reference.classes);
  for (int i = 0; i < 100; ++i) verdict.add({{"a", pair}});
  CHECK(verdict.outcome() == Outcome::worse);
}

// Faults that the change did not cause must not stop it.
TEST_CASE("a lost zone and a dispatcher whose traffic doubles do not stop a change") {
  const auto side = [](int dispatchers, int asked, int failed) {
    CohortStats stats;
    stats.dispatchers = dispatchers;
    stats.expected_queries = 10.0 * dispatchers;
    stats.classes["a"].accepted = asked;
    stats.classes["a"].failed = failed;
    return stats;
  };
  const auto slice_of = [&](const CohortStats& fresh, const CohortStats& old, const CohortStats& elsewhere) {
    Slice slice;
    slice["a"].changed = fresh;
    slice["a"].reference = old;
    slice["b"].reference = elsewhere;
    return slice;
  };
  const CohortStats no_failures = side(6, 60, 0);
  Verdict lost_zone;  // the only changed dispatcher is in the zone that is lost
  for (int i = 0; i < 60; ++i) lost_zone.add(slice_of(side(1, 10, 6), side(5, 50, 30), no_failures));
  CHECK(lost_zone.outcome() == Outcome::cannot_tell);
  Verdict doubled_traffic;
  for (int i = 0; i < 60; ++i) doubled_traffic.add(slice_of(side(1, 20, 8), side(5, 50, 0), no_failures));
  CHECK(doubled_traffic.outcome() == Outcome::cannot_tell);
  Verdict real_defect;
  for (int i = 0; i < 60; ++i) real_defect.add(slice_of(side(1, 10, 4), side(5, 50, 0), no_failures));
  CHECK(real_defect.outcome() == Outcome::worse);
}

TEST_CASE("a cohort that performs better is not called worse") {
  SimulatedFleet mirrored;
  mirrored.extra_failed_share = 0.05;
  pcg32 random(5);
  Verdict verdict;
  for (int at = 0; at < 300; ++at) {
    Slice slice = mirrored.next_slice(random, at);
    std::swap(slice["a"].changed, slice["a"].reference);
    verdict.add(slice);
  }
  CHECK(verdict.outcome() != Outcome::worse);
}

}  // namespace
}  // namespace woadtide::verdict
