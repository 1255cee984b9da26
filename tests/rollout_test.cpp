// The core of a change of the fleet, against a small world in which anything may be lost, repeated or killed.
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
  plan.patience_ms = 10'000;
  plan.step_ms = 500;
  return plan;
}

// What really runs. Orders are carried out when the test says so, perhaps twice, perhaps by an earlier life
// of the controller.
struct World {
  explicit World(Plan plan) : rollout(plan), members(plan.members) {
    for (const Member& member : plan.members) runs_new[member.name] = false;
  }
  void take(const std::vector<Order>& orders) {
    for (const Order& order : orders) todo.push_back(order);
    check();
  }
  void carry_out(const Order& order, bool done, bool tells) {
    if (kept_out.contains(order.member)) return;
    if (order.number < std::exchange(newest[order.member], std::max(newest[order.member], order.number)))
      return;
    if (done && order.kind == Kind::move) runs_new[order.member] = true;
    if (done && order.kind == Kind::go_back) runs_new[order.member] = false;
    if (done && order.kind == Kind::keep_out) kept_out.insert(order.member);
    if (tells)
      take(rollout.answered(now, order, done, "it says no"));
    else
      held_up.push_back({order, done});
  }
  // Killed and started again: what is not in the text is gone.
  void crash() {
    rollout = Rollout::from(rollout.text());
    todo.clear();
    take(rollout.outstanding());
  }
  int count_new() const {
    return static_cast<int>(
        std::count_if(runs_new.begin(), runs_new.end(), [](const auto& item) { return item.second; }));
  }
  void check() {
    most_allowed = std::max(most_allowed, rollout.allowed());
    if (count_new() > most_allowed) broken = "more on the new version than the stage allows";
    std::map<std::string, std::pair<int, int>> zones;
    for (const Member& member : members) {
      const Place place = rollout.place(member.name);
      zones[member.zone].first += place == Place::moving || place == Place::returning;
      zones[member.zone].second += 1;
    }
    for (const auto& [zone, counts] : zones)
      if (counts.first > 1 && 3 * counts.first >= 2 * counts.second)
        broken = "two thirds of a zone in change";
  }
  // All is well from here on, until nothing moves any more.
  void settle(Word word) {
    for (int i = 0; i < 4'000 && !rollout.over() && rollout.paused().empty(); ++i) {
      now += 100;
      for (const auto& [name, fresh] : runs_new) take(rollout.found(now, name, true, fresh));
      take(rollout.tick(now));
      while (!todo.empty()) {
        const Order order = todo.front();
        todo.pop_front();
        carry_out(order, true, true);
      }
      take(rollout.judged(now, word, "as the test says"));
    }
  }

  Rollout rollout;
  std::vector<Member> members;
  std::map<std::string, bool> runs_new;
  std::map<std::string, std::uint64_t> newest;  // order that a member has heard of
  std::set<std::string> kept_out;
  std::deque<Order> todo;
  std::deque<std::pair<Order, bool>> held_up;  // answers on their way
  double now = 0;
  int most_allowed = 0;
  std::string broken;
};

TEST_CASE("a clean change goes through its stages and ends complete") {
  World world(plan_of(12, 3, {1, 3, 12}));
  world.settle(Word::not_worse);
  CHECK(world.rollout.phase() == Phase::complete);
  CHECK(world.count_new() == 12);
  CHECK(world.now >= 3'000);  // three bake times
  CHECK(world.broken.empty());
}

TEST_CASE("one that cannot take the change ends it before anybody has it") {
  World world(plan_of(4, 1, {1, 4}));
  world.take(world.rollout.tick(0));
  CHECK(world.todo.size() == 4);
  world.carry_out({Kind::check, "n2", 3}, false, true);
  CHECK(world.rollout.phase() == Phase::back);
  CHECK(world.rollout.reason() == "n2 cannot take it: it says no");
  world.carry_out({Kind::check, "n1", 2}, true, true);
  world.settle(Word::not_worse);
  CHECK(world.count_new() == 0);
}

TEST_CASE(
    "a stage that does worse goes back, paused or not; one that cannot be told pauses with that reason") {
  World world(plan_of(6, 2, {2, 6}));
  world.settle(Word::cannot_tell);
  CHECK(world.rollout.paused() == "stage 1: cannot tell yet whether it does worse");
  CHECK(world.count_new() == 2);
  world.take(world.rollout.judged(world.now, Word::worse, "failed of a"));
  world.settle(Word::worse);
  CHECK(world.rollout.phase() == Phase::back);
  CHECK(world.rollout.reason() == "stage 1 does worse: failed of a");
  CHECK(world.count_new() == 0);
}

TEST_CASE("one that cannot go back is kept out, and named; the others go back all the same") {
  World world(plan_of(3, 1, {3}));
  world.settle(Word::cannot_tell);
  CHECK(world.count_new() == 3);
  world.take(world.rollout.abort(world.now));
  for (int i = 0; i < 100 && !world.rollout.over(); ++i) {
    world.now += 500;
    world.take(world.rollout.tick(world.now));
    for (std::deque<Order> todo = std::exchange(world.todo, {}); !todo.empty(); todo.pop_front())
      world.carry_out(todo.front(), todo.front().member != "n1" || todo.front().kind == Kind::keep_out, true);
  }
  CHECK(world.rollout.phase() == Phase::back);
  CHECK(world.rollout.place("n1") == Place::left);
  CHECK(world.kept_out.contains("n1"));
  CHECK(world.count_new() == 1);
  CHECK(world.broken.empty());
}

TEST_CASE("one that is down holds its stage up, is named, and is changed once it is back") {
  World world(plan_of(3, 1, {1, 3}));
  world.take(world.rollout.tick(0));
  for (std::deque<Order> todo = std::exchange(world.todo, {}); !todo.empty(); todo.pop_front())
    world.carry_out(todo.front(), true, true);
  world.runs_new.erase("n2");
  world.take(world.rollout.found(world.now, "n2", false, false));
  world.settle(Word::not_worse);
  CHECK(world.rollout.paused() == "stage 2: n2 is down");
  world.runs_new["n2"] = false;
  world.take(world.rollout.resume(world.now));
  world.settle(Word::not_worse);
  CHECK(world.rollout.phase() == Phase::complete);
}

TEST_CASE("an answer to an earlier order is none to the one that is out") {
  World world(plan_of(2, 1, {1, 2}));
  world.take(world.rollout.tick(0));
  world.carry_out({Kind::check, "n0", 1}, true, true);
  world.carry_out({Kind::check, "n1", 2}, true, true);
  CHECK(world.todo.back() == Order{Kind::move, "n0", 3});
  world.carry_out({Kind::move, "n0", 3}, true, true);
  CHECK(world.rollout.phase() == Phase::baking);
  world.take(world.rollout.found(1, "n0", true, false));  // it came back with the old version
  CHECK(world.todo.back() == Order{Kind::move, "n0", 4});
  world.take(world.rollout.answered(2, {Kind::move, "n0", 3}, true, ""));
  CHECK(world.rollout.place("n0") == Place::moving);
}

TEST_CASE("a text that is none, or of another version, is refused in words") {
  CHECK_THROWS_AS(Rollout::from("{"), std::invalid_argument);
  std::string text = Rollout(plan_of(2, 1, {1, 2})).text();
  CHECK(Rollout::from(text).text() == text);
  text.replace(text.find("\"version\": 1"), 12, "\"version\": 2");
  CHECK_THROWS_WITH(Rollout::from(text), "a state of version 2; this one reads 1");
  CHECK_THROWS_AS(Rollout(plan_of(4, 1, {2, 2, 4})), std::invalid_argument);
  CHECK_THROWS_AS(Rollout(plan_of(4, 1, {2})), std::invalid_argument);
}

// Lost and repeated orders and answers, members that die and come back on either version, a controller that
// is killed at any point, words of all kinds: what is allowed holds throughout, and calm weather ends it.
TEST_CASE("whatever is lost, repeated or killed, no bound is broken, and the change ends or says why not") {
  CHECK(rc::check([] {
    const int count = *rc::gen::inRange(1, 9), zones = *rc::gen::inRange(1, 4);
    std::vector<int> stages = {count};
    if (count > 2) stages.insert(stages.begin(), *rc::gen::inRange(1, count));
    World world(plan_of(count, zones, stages));
    const auto acts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    for (const int act : acts) {
      const std::string member = "n" + std::to_string(act / 10 % count);
      const bool odd = act / 100 % 2 == 1;
      world.now += 37;
      switch (act % 10) {
        case 0:
          world.crash();
          break;
        case 1:
          world.take(world.rollout.found(world.now, member, odd, world.runs_new[member]));
          break;
        case 2:
          world.take(world.rollout.judged(world.now, odd ? Word::not_worse : Word::cannot_tell, "x"));
          break;
        case 3:
          if (odd && act > 800) {
            world.take(world.rollout.judged(world.now, Word::worse, "x"));
          } else if (!world.held_up.empty()) {
            const auto [order, done] = world.held_up.front();
            world.held_up.pop_front();
            world.take(world.rollout.answered(world.now, order, done, "late"));
          }
          break;
        case 4:
          odd ? world.rollout.pause("") : world.take(world.rollout.resume(world.now));
          break;
        case 5:
          if (act > 900) world.take(world.rollout.abort(world.now));
          world.now += 600;
          world.take(world.rollout.tick(world.now));
          break;
        default:
          world.take(world.rollout.tick(world.now));
          if (world.todo.empty()) break;
          const Order order = world.todo.front();
          if (act % 10 != 9) world.todo.pop_front();  // else carried out, and again later
          world.carry_out(order, act % 7 != 0, act % 10 != 8);
      }
      RC_ASSERT(world.broken == "");
    }
    world.take(world.rollout.resume(world.now));
    world.settle(Word::not_worse);
    RC_ASSERT(world.broken == "");
    RC_ASSERT(world.rollout.over() || !world.rollout.paused().empty());
    if (world.rollout.phase() == Phase::complete) RC_ASSERT(world.count_new() == count);
    if (world.rollout.phase() != Phase::back) return;
    for (const auto& [name, fresh] : world.runs_new)
      RC_ASSERT(!fresh || world.rollout.place(name) == Place::left);
  }));
}

}  // namespace
}  // namespace woadtide::rollout
