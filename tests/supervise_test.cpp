// Tests of the supervisor's state machine: scripted cases, and a simulation in which children start, hang,
// crash or never serve, the supervisor is killed and restarted, and orders arrive late, twice and from two
// controllers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "supervise/supervise.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>

namespace woadtide::supervise {
namespace {

const Version kOld{"old", "/old", "", 2}, kNew{"new", "/new", "/new.toml", 2}, kBad{"bad", "/bad", "", 2};

Order order(Order::Kind kind, std::uint64_t number, const std::string& controller = "c",
            const std::string& change = "x") {
  return {kind, controller, change, number, "/p", "", false};
}

// The simulated processes. kBad crashes soon after it serves; a stuck process never serves.
struct SimulatedProcesses {
  explicit SimulatedProcesses(Limits core_limits = {}) : limits(core_limits), core(kOld, core_limits) {
    execute(core.tick(now));
  }

  void execute(const Effects& effects) {
    for (const Effect& effect : effects) {
      auto& process = processes[static_cast<std::size_t>(effect.slot)];
      switch (effect.kind) {
        case Effect::Kind::start:
          CHECK_FALSE(process);
          process = Process{effect.version, false, false, 0};
          starts += 1;
          break;
        case Effect::Kind::term: {
          REQUIRE(process);
          // A serving child is told to stop only if another one serves.
          const auto& other = processes[static_cast<std::size_t>(1 - effect.slot)];
          if (process->serves && !shutting_down && holds_socket) CHECK((other && other->serves));
          process->stopping = true;
          break;
        }
        case Effect::Kind::kill:
          REQUIRE(process);
          process->killed = true;
          break;
        case Effect::Kind::examine:
          examined = effect.number;
          break;
      }
    }
  }
  void examine(const Version& version, const std::string& why = {}) {
    execute(core.on_examined(now, examined, version, why));
  }
  std::string send_order(const Order& sent) {
    Effects effects;
    const std::string why = core.handle_order(now, sent, effects);
    execute(effects);
    return why;
  }
  void serve(int slot) {
    processes[static_cast<std::size_t>(slot)]->serves = true;
    execute(core.on_ready(now, slot));
  }
  void end_process(int slot) {
    processes[static_cast<std::size_t>(slot)].reset();
    execute(core.on_exit(now, slot));
  }
  // Lets `ms` pass: children become ready, those told to stop end, and the bad version crashes.
  void pass(double ms, double step = 50) {
    for (double until = now + ms; now < until;) {
      now += step;
      execute(core.tick(now));
      for (int slot = 0; slot < SupervisorCore::kSlots; ++slot) {
        auto& process = processes[static_cast<std::size_t>(slot)];
        if (!process) continue;
        process->age += step;
        const bool bad = process->version == kBad;
        if (process->killed || (process->stopping && process->age > 100) ||
            (bad && process->serves && process->age > 300))
          end_process(slot);
        else if (!process->serves && !process->stopping && process->age >= 100 && !process->stuck)
          serve(slot);
      }
    }
  }
  void restart() {
    core = SupervisorCore::parse(core.serialize(), limits);
    core.set_has_socket(holds_socket);
    for (int slot = 0; slot < SupervisorCore::kSlots; ++slot)
      if (const auto& process = processes[static_cast<std::size_t>(slot)])
        core.adopt(now, slot, process->version);
    // The new supervisor probes at once and finds the children that serve.
    for (int slot = 0; slot < SupervisorCore::kSlots; ++slot) {
      const auto& process = processes[static_cast<std::size_t>(slot)];
      if (process && process->serves && !process->killed) execute(core.on_ready(now, slot));
    }
  }
  const Version* serving() const {
    const int active = core.active_slot();
    return active < 0 ? nullptr : &core.child(active).version;
  }

  struct Process {
    Version version;
    bool serves = false, stopping = false;
    double age = 0;
    bool killed = false, stuck = false;
  };
  Limits limits;
  double now = 1'000;
  SupervisorCore core;
  std::array<std::optional<Process>, SupervisorCore::kSlots> processes;
  std::uint64_t examined = 0;
  int starts = 0;
  bool shutting_down = false, holds_socket = true;
};

TEST_CASE("a change runs both versions side by side, and the old one ends once the new one serves") {
  SimulatedProcesses simulation;
  simulation.pass(200);
  REQUIRE(simulation.serving());
  CHECK(simulation.send_order(order(Order::Kind::check, 1)).empty());
  CHECK(simulation.core.progress() == SupervisorCore::Progress::working);
  simulation.examine(kNew);
  CHECK(simulation.core.progress() == SupervisorCore::Progress::done);
  CHECK(simulation.send_order(order(Order::Kind::move, 2)).empty());
  CHECK(*simulation.serving() == kOld);
  CHECK(simulation.starts == 2);
  simulation.pass(300);
  CHECK(*simulation.serving() == kNew);
  CHECK(simulation.core.progress() == SupervisorCore::Progress::done);
  CHECK(simulation.send_order(order(Order::Kind::move, 2)).empty());  // a repeated order has no effect
  CHECK(simulation.starts == 2);
  CHECK(simulation.send_order(order(Order::Kind::go_back, 3)).empty());
  simulation.pass(400);
  CHECK(*simulation.serving() == kOld);
}

TEST_CASE("a version that cannot serve or is not ready in time fails its order; the old one continues") {
  SimulatedProcesses simulation({.ready_timeout_ms = 1'000});
  simulation.pass(200);
  simulation.send_order(order(Order::Kind::check, 1));
  simulation.examine(kNew);
  simulation.send_order(order(Order::Kind::move, 2));
  simulation.processes[1]->stuck = true;
  simulation.pass(1'500);
  CHECK(simulation.core.progress() == SupervisorCore::Progress::failed);
  CHECK(simulation.core.failure_reason() == "it did not get ready in time");
  CHECK(*simulation.serving() == kOld);
  simulation.send_order(order(Order::Kind::check, 3));
  simulation.examine({}, "no such file");
  CHECK(simulation.core.progress() == SupervisorCore::Progress::failed);
  CHECK_FALSE(simulation.send_order(order(Order::Kind::move, 4)).empty());  // no version was checked
}

TEST_CASE("a version that keeps crashing is replaced by the last good one, with a reason") {
  SimulatedProcesses simulation({.good_after_ms = 2'000, .max_crashes = 3});
  simulation.pass(3'000);
  simulation.send_order(order(Order::Kind::check, 1));
  simulation.examine(kBad);
  simulation.send_order(order(Order::Kind::move, 2));
  simulation.pass(6'000);
  REQUIRE(simulation.serving());
  CHECK(*simulation.serving() == kOld);
  CHECK(simulation.core.fallback_reason().find("3 times") != std::string::npos);
  CHECK(simulation.core.total_crashes() == 3);
}

TEST_CASE("repeated crashes of the only version are followed by starts with growing delays") {
  SimulatedProcesses simulation({.first_backoff_ms = 100, .max_backoff_ms = 1'000});
  simulation.pass(200);
  const int before = simulation.starts;
  for (int i = 0; i < 60; ++i) {
    if (simulation.core.active_slot() >= 0) simulation.end_process(simulation.core.active_slot());
    simulation.pass(100);
  }
  CHECK(simulation.starts - before >= 5);
  CHECK(simulation.starts - before <= 12);
}

TEST_CASE("orders that are outdated, from another controller or of an unchecked change are refused") {
  SimulatedProcesses simulation;
  simulation.pass(200);
  CHECK(simulation.send_order(order(Order::Kind::check, 10)).empty());
  simulation.examine(kNew);
  CHECK_FALSE(simulation.send_order(order(Order::Kind::move, 9)).empty());
  CHECK_FALSE(simulation.send_order(order(Order::Kind::check, 11, "other")).empty());
  CHECK_FALSE(simulation.send_order(order(Order::Kind::move, 12, "c", "another change")).empty());
  CHECK(simulation.core.last_order_number() == 10);
  Order take_over = order(Order::Kind::check, 12, "other", "y");
  take_over.take_over = true;
  CHECK(simulation.send_order(take_over).empty());
  CHECK_FALSE(
      simulation.send_order(order(Order::Kind::move, 13)).empty());  // the first controller no longer leads
  CHECK(simulation.core.controller() == "other");
}

TEST_CASE("without the listening socket a change is a restart: never two processes at one address") {
  SimulatedProcesses simulation;
  simulation.pass(200);
  simulation.send_order(order(Order::Kind::check, 1));
  simulation.examine(kNew);
  simulation.holds_socket = false;
  simulation.core.set_has_socket(false);
  simulation.send_order(order(Order::Kind::move, 2));
  CHECK(simulation.starts == 1);
  for (int i = 0; i < 20 && simulation.processes[0]; ++i) {
    CHECK_FALSE(simulation.processes[1]);
    simulation.pass(50);
  }
  simulation.holds_socket = true;
  simulation.core.set_has_socket(true);
  simulation.pass(500);
  CHECK(*simulation.serving() == kNew);
  CHECK(simulation.core.progress() == SupervisorCore::Progress::done);
}

TEST_CASE("excluded workers and an evacuation outlive the supervisor and its children") {
  SimulatedProcesses simulation;
  simulation.core.set_excluded("w1", true);
  simulation.core.set_evacuated(true);
  simulation.restart();
  CHECK(simulation.core.excluded_workers().contains("w1"));
  CHECK(simulation.core.evacuated());
  simulation.core.set_excluded("w1", false);
  simulation.restart();
  CHECK(simulation.core.excluded_workers().empty());
}

TEST_CASE("a planned shutdown ends all children, also during a change") {
  SimulatedProcesses simulation;
  simulation.pass(200);
  simulation.send_order(order(Order::Kind::check, 1));
  simulation.examine(kNew);
  simulation.send_order(order(Order::Kind::move, 2));
  simulation.shutting_down = true;
  simulation.execute(simulation.core.begin_shutdown(simulation.now));
  simulation.pass(1'000);
  CHECK(simulation.core.shutdown_complete());
}

TEST_CASE("a malformed state or one of another format is refused") {
  CHECK_THROWS_AS(SupervisorCore::parse("", {}), std::invalid_argument);
  CHECK_THROWS_AS(SupervisorCore::parse("{\"format\": 2}", {}), std::invalid_argument);
  CHECK_THROWS_AS(SupervisorCore::parse("{\"format\": 1}", {}), std::invalid_argument);
}

// Checks the invariants of README.md together: after any sequence of events a child serves, with the version
// of the last successful order or the last good one, and every order has a result.
TEST_CASE("after any sequence of events one child serves and each order has a result") {
  CHECK(rc::check([] {
    SimulatedProcesses simulation(
        {.ready_timeout_ms = 800, .stop_timeout_ms = 900, .good_after_ms = 1'500, .max_crashes = 3});
    std::uint64_t number = 0;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      const int action = *rc::gen::inRange(0, 12);
      const int slot = *rc::gen::inRange(0, 2);
      auto& process = simulation.processes[static_cast<std::size_t>(slot)];
      if (action < 3) {
        const auto kind = static_cast<Order::Kind>(*rc::gen::inRange(0, 3));
        const auto back = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
        const std::uint64_t highest_received = simulation.core.last_order_number();
        const std::uint64_t sent = ++number > back ? number - back : number;
        const std::string why = simulation.send_order(order(kind, sent));
        RC_ASSERT(sent >= highest_received || !why.empty());
        RC_ASSERT(simulation.core.last_order_number() >= highest_received);
      } else if (action == 3) {
        simulation.examine(*rc::gen::element(kNew, kBad),
                           *rc::gen::element(std::string(), std::string("no")));
      } else if (action == 4 && process) {
        simulation.end_process(slot);  // killed from outside
      } else if (action == 5 && process) {
        process->stuck = !process->stuck;
      } else if (action == 6) {
        simulation.restart();
      } else {
        simulation.pass(*rc::gen::inRange(50, 700));
      }
      int serving = 0;
      for (const auto& other : simulation.processes) serving += other && other->serves && !other->stopping;
      RC_ASSERT(serving <= 1 || simulation.core.active_slot() >= 0);
    }
    for (auto& process : simulation.processes)
      if (process) process->stuck = false;
    if (simulation.core.progress() == SupervisorCore::Progress::working &&
        simulation.examined == simulation.core.last_order_number())
      simulation.examine(kNew);
    simulation.pass(12'000);
    RC_ASSERT(simulation.serving() != nullptr);
    RC_ASSERT(*simulation.serving() == simulation.core.desired());
    RC_ASSERT(simulation.core.progress() != SupervisorCore::Progress::working);
    RC_ASSERT(!simulation.processes[static_cast<std::size_t>(1 - simulation.core.active_slot())]);
  }));
}

}  // namespace
}  // namespace woadtide::supervise
