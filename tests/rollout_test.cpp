// Tests of the rollout state machine: scripted cases, and a simulated fleet in which messages are lost or
// repeated and processes are killed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "rollout/rollout.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <set>

namespace woadtide::rollout {
namespace {

using Kind = Order::Kind;

Plan plan_of(int members, int zones, std::vector<int> stages) {
  Plan plan;
  plan.change = "c1";
  for (int i = 0; i < members; ++i)
    plan.members.push_back({"n" + std::to_string(i), "z" + std::to_string(i % zones)});
  plan.stages = std::move(stages);
  plan.bake_ms = 1'000;
  plan.stage_timeout_ms = 10'000;
  plan.order_timeout_ms = 500;
  return plan;
}

// The simulated fleet. Orders are executed when the test says so: possibly twice, possibly by order of an
// earlier run of the controller.
struct SimulatedFleet {
  explicit SimulatedFleet(Plan plan) : rollout(plan), members(plan.members) {
    for (const Member& member : plan.members) runs_new[member.name] = false;
  }
  void enqueue(const std::vector<Order>& orders) {
    for (const Order& order : orders) pending_orders.push_back(order);
    check_limits();
  }
  void execute(const Order& order, bool done, bool reply_arrives) {
    if (kept_out.contains(order.member)) return;
    if (order.number <
        std::exchange(highest_received[order.member], std::max(highest_received[order.member], order.number)))
      return;
    if (done && order.kind == Kind::move) runs_new[order.member] = true;
    if (done && order.kind == Kind::go_back) runs_new[order.member] = false;
    if (done && order.kind == Kind::keep_out) kept_out.insert(order.member);
    if (reply_arrives)
      enqueue(rollout.on_order_result(now, order, done, "it says no"));
    else
      delayed_results.push_back({order, done});
  }
  // The controller is killed and restarted: what was not serialized is lost.
  void crash() {
    rollout = Rollout::parse(rollout.serialize());
    pending_orders.clear();
    enqueue(rollout.outstanding_orders());
  }
  int new_version_count() const {
    return static_cast<int>(
        std::count_if(runs_new.begin(), runs_new.end(), [](const auto& item) { return item.second; }));
  }
  void check_limits() {
    max_allowed_on_new = std::max(max_allowed_on_new, rollout.allowed_on_new());
    if (new_version_count() > max_allowed_on_new)
      violation = "more members on the new version than the stage allows";
    std::map<std::string, std::pair<int, int>> zones;
    for (const Member& member : members) {
      const MemberState state = rollout.member_state(member.name);
      zones[member.zone].first += state == MemberState::moving || state == MemberState::returning;
      zones[member.zone].second += 1;
    }
    for (const auto& [zone, counts] : zones)
      if (counts.first > 1 && 3 * counts.first >= 2 * counts.second)
        violation = "two thirds of a zone out of service";
  }
  // From here on everything works, until the rollout ends or pauses.
  void run_without_faults(StageAssessment word) {
    for (int i = 0; i < 4'000 && !rollout.finished() && rollout.pause_reason().empty(); ++i) {
      now += 100;
      for (const auto& [name, on_new_version] : runs_new)
        enqueue(rollout.on_member_status(now, name, true, on_new_version));
      enqueue(rollout.tick(now));
      while (!pending_orders.empty()) {
        const Order order = pending_orders.front();
        pending_orders.pop_front();
        execute(order, true, true);
      }
      enqueue(rollout.on_assessment(now, word, "test assessment"));
    }
  }

  Rollout rollout;
  std::vector<Member> members;
  std::map<std::string, bool> runs_new;
  std::map<std::string, std::uint64_t> highest_received;  // highest order number that a member received
  std::set<std::string> kept_out;
  std::deque<Order> pending_orders;
  std::deque<std::pair<Order, bool>> delayed_results;  // with whether the order was executed
  double now = 0;
  int max_allowed_on_new = 0;
  std::string violation;
};

TEST_CASE("a change without faults passes all stages and ends complete") {
  SimulatedFleet fleet(plan_of(12, 3, {1, 3, 12}));
  fleet.run_without_faults(StageAssessment::not_worse);
  CHECK(fleet.rollout.phase() == Phase::complete);
  CHECK(fleet.new_version_count() == 12);
  CHECK(fleet.now >= 3'000);  // three bake times
  CHECK(fleet.violation.empty());
}

TEST_CASE("a member that cannot run the new version ends the rollout before any member is moved") {
  SimulatedFleet fleet(plan_of(4, 1, {1, 4}));
  fleet.enqueue(fleet.rollout.tick(0));
  CHECK(fleet.pending_orders.size() == 4);
  fleet.execute({Kind::check, "n2", 3}, false, true);
  CHECK(fleet.rollout.phase() == Phase::rolled_back);
  CHECK(fleet.rollout.rollback_reason() == "n2 cannot take it: it says no");
  fleet.execute({Kind::check, "n1", 2}, true, true);
  fleet.run_without_faults(StageAssessment::not_worse);
  CHECK(fleet.new_version_count() == 0);
}

TEST_CASE("a worse stage is rolled back even while paused; an inconclusive stage pauses with that reason") {
  SimulatedFleet fleet(plan_of(6, 2, {2, 6}));
  fleet.run_without_faults(StageAssessment::cannot_tell);
  CHECK(fleet.rollout.pause_reason() == "stage 1: cannot tell yet whether it does worse");
  CHECK(fleet.new_version_count() == 2);
  fleet.enqueue(fleet.rollout.on_assessment(fleet.now, StageAssessment::worse, "failed of a"));
  fleet.run_without_faults(StageAssessment::worse);
  CHECK(fleet.rollout.phase() == Phase::rolled_back);
  CHECK(fleet.rollout.rollback_reason() == "stage 1 does worse: failed of a");
  CHECK(fleet.new_version_count() == 0);
}

TEST_CASE("a member that cannot go back is kept out and reported; the others still go back") {
  SimulatedFleet fleet(plan_of(3, 1, {3}));
  fleet.run_without_faults(StageAssessment::cannot_tell);
  CHECK(fleet.new_version_count() == 3);
  fleet.enqueue(fleet.rollout.abort(fleet.now));
  for (int i = 0; i < 100 && !fleet.rollout.finished(); ++i) {
    fleet.now += 500;
    fleet.enqueue(fleet.rollout.tick(fleet.now));
    for (std::deque<Order> pending_orders = std::exchange(fleet.pending_orders, {}); !pending_orders.empty();
         pending_orders.pop_front())
      fleet.execute(pending_orders.front(),
                    pending_orders.front().member != "n1" || pending_orders.front().kind == Kind::keep_out,
                    true);
  }
  CHECK(fleet.rollout.phase() == Phase::rolled_back);
  CHECK(fleet.rollout.member_state("n1") == MemberState::kept_out);
  CHECK(fleet.kept_out.contains("n1"));
  CHECK(fleet.new_version_count() == 1);
  CHECK(fleet.violation.empty());
}

TEST_CASE("a member that is down blocks its stage, is named, and is moved once it is up again") {
  SimulatedFleet fleet(plan_of(3, 1, {1, 3}));
  fleet.enqueue(fleet.rollout.tick(0));
  for (std::deque<Order> pending_orders = std::exchange(fleet.pending_orders, {}); !pending_orders.empty();
       pending_orders.pop_front())
    fleet.execute(pending_orders.front(), true, true);
  fleet.runs_new.erase("n2");
  fleet.enqueue(fleet.rollout.on_member_status(fleet.now, "n2", false, false));
  fleet.run_without_faults(StageAssessment::not_worse);
  CHECK(fleet.rollout.pause_reason() == "stage 2: n2 is down");
  fleet.runs_new["n2"] = false;
  fleet.enqueue(fleet.rollout.resume(fleet.now));
  fleet.run_without_faults(StageAssessment::not_worse);
  CHECK(fleet.rollout.phase() == Phase::complete);
}

TEST_CASE("a result of an earlier order does not complete the outstanding one") {
  SimulatedFleet fleet(plan_of(2, 1, {1, 2}));
  fleet.enqueue(fleet.rollout.tick(0));
  fleet.execute({Kind::check, "n0", 1}, true, true);
  fleet.execute({Kind::check, "n1", 2}, true, true);
  CHECK(fleet.pending_orders.back() == Order{Kind::move, "n0", 3});
  fleet.execute({Kind::move, "n0", 3}, true, true);
  CHECK(fleet.rollout.phase() == Phase::baking);
  fleet.enqueue(fleet.rollout.on_member_status(1, "n0", true, false));  // it restarted with the old version
  CHECK(fleet.pending_orders.back() == Order{Kind::move, "n0", 4});
  fleet.enqueue(fleet.rollout.on_order_result(2, {Kind::move, "n0", 3}, true, ""));
  CHECK(fleet.rollout.member_state("n0") == MemberState::moving);
}

TEST_CASE("a malformed state or one of another version is refused with a message") {
  CHECK_THROWS_AS(Rollout::parse("{"), std::invalid_argument);
  std::string text = Rollout(plan_of(2, 1, {1, 2})).serialize();
  CHECK(Rollout::parse(text).serialize() == text);
  text.replace(text.find("\"version\": 1"), 12, "\"version\": 2");
  CHECK_THROWS_WITH(Rollout::parse(text), "a state of version 2; this one reads 1");
  CHECK_THROWS_AS(Rollout(plan_of(4, 1, {2, 2, 4})), std::invalid_argument);
  CHECK_THROWS_AS(Rollout(plan_of(4, 1, {2})), std::invalid_argument);
}

// Lost and repeated orders and results, members that die and return with either version, a controller that is
// killed at any point, and assessments of all kinds: the limits hold throughout, and once the faults stop the
// rollout ends.
TEST_CASE(
    "with any loss, repetition or crash no limit is exceeded, and the rollout ends or gives a pause reason") {
  CHECK(rc::check([] {
    const int count = *rc::gen::inRange(1, 9), zones = *rc::gen::inRange(1, 4);
    std::vector<int> stages = {count};
    if (count > 2) stages.insert(stages.begin(), *rc::gen::inRange(1, count));
    SimulatedFleet fleet(plan_of(count, zones, stages));
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    for (const int step : steps) {
      const std::string member = "n" + std::to_string(step / 10 % count);
      const bool variant = step / 100 % 2 == 1;
      fleet.now += 37;
      switch (step % 10) {
        case 0:
          fleet.crash();
          break;
        case 1:
          fleet.enqueue(fleet.rollout.on_member_status(fleet.now, member, variant, fleet.runs_new[member]));
          break;
        case 2:
          fleet.enqueue(fleet.rollout.on_assessment(
              fleet.now, variant ? StageAssessment::not_worse : StageAssessment::cannot_tell, "x"));
          break;
        case 3:
          if (variant && step > 800) {
            fleet.enqueue(fleet.rollout.on_assessment(fleet.now, StageAssessment::worse, "x"));
          } else if (!fleet.delayed_results.empty()) {
            const auto [order, done] = fleet.delayed_results.front();
            fleet.delayed_results.pop_front();
            fleet.enqueue(fleet.rollout.on_order_result(fleet.now, order, done, "late"));
          }
          break;
        case 4:
          variant ? fleet.rollout.pause("") : fleet.enqueue(fleet.rollout.resume(fleet.now));
          break;
        case 5:
          if (step > 900) fleet.enqueue(fleet.rollout.abort(fleet.now));
          fleet.now += 600;
          fleet.enqueue(fleet.rollout.tick(fleet.now));
          break;
        default:
          fleet.enqueue(fleet.rollout.tick(fleet.now));
          if (fleet.pending_orders.empty()) break;
          const Order order = fleet.pending_orders.front();
          if (step % 10 != 9) fleet.pending_orders.pop_front();  // otherwise executed now and again later
          fleet.execute(order, step % 7 != 0, step % 10 != 8);
      }
      RC_ASSERT(fleet.violation == "");
    }
    fleet.enqueue(fleet.rollout.resume(fleet.now));
    fleet.run_without_faults(StageAssessment::not_worse);
    RC_ASSERT(fleet.violation == "");
    RC_ASSERT(fleet.rollout.finished() || !fleet.rollout.pause_reason().empty());
    if (fleet.rollout.phase() == Phase::complete) RC_ASSERT(fleet.new_version_count() == count);
    if (fleet.rollout.phase() != Phase::rolled_back) return;
    for (const auto& [name, on_new_version] : fleet.runs_new)
      RC_ASSERT(!on_new_version || fleet.rollout.member_state(name) == MemberState::kept_out);
  }));
}

}  // namespace
}  // namespace woadtide::rollout
