// Tests of the multi-process test cluster: the fault schedule depends on the seed alone, the relays inject
// the faults as specified, and the checker finds planted violations and excuses no more than it may.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

#include "lab/acceptor.hpp"
#include "lab/cluster/judge.hpp"
#include "lab/cluster/relay.hpp"
#include "lab/cluster/scenario.hpp"

namespace woadtide::lab::cluster {
namespace {

std::string write_scenario(const std::string& text) {
  char folder[] = "/tmp/woadtide-cluster-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  const std::string path = std::string(folder) + "/s.toml";
  std::ofstream(path) << text;
  return path;
}

TEST_CASE("a scenario file is read, and errors in it name file and line") {
  const Scenario good = read_scenario(write_scenario("dispatchers = 5\nrate = 12.5\n[faults]\ncut = 3\n"));
  CHECK(good.dispatchers == 5);
  CHECK(good.rate == 12.5);
  CHECK(good.faults.at("cut") == 3);
  for (const auto& [text, line_mark, message_part] :
       {std::tuple{"workers = 3\nbananas = 1\n", ":2:", "bananas"},
        {"dispatchers = 17\n", ":1:", "1 to 16"},
        {"[faults]\nflood = 1\n", ":2:", "no such fault"},
        {"rate = \"x\"\n", ":1:", "number"},
        {"rate = \n", ":1:", ""}}) {
    CAPTURE(text);
    try {
      read_scenario(write_scenario(text));
      FAIL("the scenario was accepted");
    } catch (const std::runtime_error& error) {
      CHECK(std::string(error.what()).find(line_mark) != std::string::npos);
      CHECK(std::string(error.what()).find(message_part) != std::string::npos);
    }
  }
}

TEST_CASE("the fault schedule depends on the seed alone, is sorted by time and ends before the run") {
  CHECK(rc::check([](std::uint64_t seed) {
    Scenario scenario;
    scenario.dispatchers = *rc::gen::inRange(1, 8);
    scenario.workers = *rc::gen::inRange(1, 8);
    scenario.seconds = *rc::gen::inRange(1, 30);
    for (const char* kind :
         {"kill", "stop", "worker_kill", "cut", "stall", "one_way", "delay", "corrupt", "drain"})
      scenario.faults[kind] = *rc::gen::inRange(0, 5);
    const std::vector<Fault> faults = draw_faults(scenario, seed), repeated = draw_faults(scenario, seed);
    RC_ASSERT(faults.size() == repeated.size());
    for (std::size_t i = 0; i < faults.size(); ++i) {
      RC_ASSERT(faults[i].from_ms == repeated[i].from_ms && faults[i].to_ms == repeated[i].to_ms);
      RC_ASSERT(faults[i].process == repeated[i].process && faults[i].peer == repeated[i].peer);
      RC_ASSERT(faults[i].from_ms <= faults[i].to_ms && faults[i].to_ms <= scenario.seconds * 900);
      RC_ASSERT(i == 0 || faults[i - 1].from_ms <= faults[i].from_ms);
      RC_ASSERT(is_link_fault(faults[i].kind) == !faults[i].peer.empty());
    }
  }));
}

// Relays ------------------------------------------------------------------------------------------------

// Echoes every byte.
struct EchoServer {
  core::Clock clock;
  Acceptor acceptor{
      "echo", net::Socket::listen_at(net::Address("127.0.0.1:0")), 16, clock, [](net::Socket& socket) {
        core::Clock own_clock;
        char bytes[256];
        std::size_t received_bytes = 0;
        while (socket.receive(bytes, sizeof bytes, received_bytes, own_clock.now() + 10'000, own_clock) ==
               net::IoResult::done)
          socket.send({{bytes, received_bytes}}, own_clock.now() + 1'000, own_clock);
      }};
};

// A link to an echo server through a relay.
struct RelayedLink {
  RelayedLink()
      : address(relays.add_route("n0", "w0", "127.0.0.1:" + std::to_string(echo_server.acceptor.port()))) {
    socket = net::Socket::create(address);
    REQUIRE(socket.connect(address, 1'000));
  }
  // Sends the text and returns what is received within `ms`; "!" if the link closes.
  std::string exchange(const std::string& text, double ms) {
    socket.send({text}, clock.now() + 1'000, clock);
    return receive(ms);
  }
  std::string receive(double ms) {
    char bytes[256];
    std::size_t received_bytes = 0;
    const net::IoResult io = socket.receive(bytes, sizeof bytes, received_bytes, clock.now() + ms, clock);
    return io == net::IoResult::done        ? std::string(bytes, received_bytes)
           : io == net::IoResult::timed_out ? ""
                                            : "!";
  }
  core::Clock clock;
  EchoServer echo_server;
  Relays relays;
  net::Address address;
  net::Socket socket;
};

TEST_CASE("a relay forwards, stalls one or both directions, delays, corrupts a byte and resets links") {
  RelayedLink link;
  CHECK(link.exchange("one", 2'000) == "one");
  link.relays.set_fault("n0", "w0", FaultKind::stall);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(link.exchange("two", 80) == "");
  link.relays.set_fault("n0", "w0", std::nullopt);
  CHECK(link.receive(2'000) == "two");  // a stall loses no data
  link.relays.set_fault("n0", "w0", FaultKind::one_way);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(link.exchange("three", 80) == "");
  link.relays.set_fault("n0", "w0", FaultKind::delay);
  CHECK(link.receive(2'000) == "three");
  const double start_ms = link.clock.now();
  CHECK(link.exchange("four", 3'000) == "four");
  CHECK(link.clock.now() - start_ms >= 200);  // delayed in both directions
  link.relays.set_fault("n0", "w0", FaultKind::corrupt);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const std::string corrupted = link.exchange("abcde", 2'000);
  CHECK(corrupted.size() == 5);  // the same byte is changed once in each direction, which may restore it
  link.relays.set_fault("n0", "w0", FaultKind::cut);
  CHECK(link.receive(2'000) == "!");
  net::Socket new_socket = net::Socket::create(link.address);
  new_socket.connect(link.address, 500);
  link.socket = std::move(new_socket);
  CHECK(link.receive(2'000) == "!");
  CHECK_THROWS_AS(link.relays.set_fault("n0", "w9", std::nullopt), std::out_of_range);
}

TEST_CASE("a link through a relay to a closed port is reset") {
  core::Clock clock;
  Relays relays;
  const net::Address address(relays.add_route("n0", "w0", "127.0.0.1:1"));
  net::Socket socket = net::Socket::create(address);
  REQUIRE(socket.connect(address, 1'000));
  char byte = 0;
  std::size_t received_bytes = 0;
  CHECK(socket.receive(&byte, 1, received_bytes, clock.now() + 2'000, clock) == net::IoResult::failed);
}

// The checker -------------------------------------------------------------------------------------------

// Records of a run without violations, with one dispatcher and one worker.
struct RunFixture {
  RunFixture() {
    plan.scenario.dispatchers = plan.scenario.workers = 1;
    plan.start_ms = 1'000'000;
    plan.worker_addresses["n0"]["w0"] = "127.0.0.1:7";
    records.queries = {query("a", false, 200, "done a"), query("p", true, 200, "done p")};
    records.notices = {{"n0", "w0", 0, false}};
    records.ledgers["w0"] = {entry("a", "begun", 105), entry("a", "finished", 120), entry("p", "begun", 105),
                             entry("p", "finished", 120)};
  }
  static QueryRecord query(const std::string& id, bool once, int status, const std::string& body) {
    return {id, "n0", once, 100, 130, QueryRecord::Outcome::answered, status, body};
  }
  static LedgerEntry entry(const std::string& key, const std::string& what, double at) {
    return {key, what, 0, key.front() == 'p', "done " + key, "127.0.0.1:7", 1'000'000 + at};
  }
  Findings check() const { return check_run(plan, records); }
  Plan plan;
  RunRecords records;
};

TEST_CASE("the checker accepts a correct run and finds each planted violation") {
  CHECK(RunFixture().check().good());
  CHECK(RunFixture().check().served == 2);
  {
    RunFixture run;
    run.records.ledgers["w1"].push_back(RunFixture::entry("p", "begun", 110));
    CHECK(run.check().duplicate_payouts == 1);
  }
  {
    RunFixture run;
    run.records.queries[0].body = "made up";
    CHECK(run.check().contradictions == 1);
  }
  {
    RunFixture run;
    run.records.queries[1].status = 503;
    CHECK(run.check().contradictions == 1);  // refused although it had started
  }
  {
    RunFixture run;
    run.records.queries[0].status = 400;
    CHECK(run.check().contradictions == 1);
  }
  for (const auto outcome :
       {QueryRecord::Outcome::link_broken, QueryRecord::Outcome::timed_out, QueryRecord::Outcome::not_sent}) {
    RunFixture run;
    run.records.queries[0].outcome = outcome;
    CHECK(run.check().lost == 1);
  }
  {
    RunFixture run;
    run.records.queries[0].ended_ms = 100 + run.plan.scenario.budget_ms + 200;
    CHECK(run.check().late == 1);
  }
  {
    RunFixture run;
    run.records.notices.push_back({"n0", "w0", 200, true});
    run.records.ledgers["w0"].push_back(RunFixture::entry("b", "begun", 640));
    CHECK(run.check().late_sends == 0);  // within the grace period and the slack
    run.records.ledgers["w0"].push_back(RunFixture::entry("c", "begun", 700));
    CHECK(run.check().late_sends == 1);
    run.records.notices.push_back({"n0", "w0", 690, false});
    CHECK(run.check().late_sends == 0);  // the worker was ready again by then
  }
}

TEST_CASE(
    "a fault excuses only what it can have caused, at its time and place, and never a payout started twice") {
  RunFixture run;
  run.records.queries[0].outcome = QueryRecord::Outcome::link_broken;
  run.plan.faults = {{90, 110, FaultKind::kill, "n0", ""}};
  CHECK(run.check().good());
  CHECK(run.check().excused == 1);
  run.plan.faults = {{90, 110, FaultKind::kill, "n1", ""}};
  CHECK(run.check().lost == 1);
  run.plan.faults = {{5'000, 6'000, FaultKind::kill, "n0", ""}};
  CHECK(run.check().lost == 1);
  run.plan.faults = {{90, 110, FaultKind::cut, "n0", "w0"}};
  CHECK(run.check().lost == 1);  // a fault of a worker's link does not excuse the loss of a client's query
  run.plan.faults = {{90, 110, FaultKind::cut, "clients", "n0"}};
  CHECK(run.check().excused == 1);
  run.records.ledgers["w0"].push_back(RunFixture::entry("p", "begun", 108));
  CHECK(run.check().duplicate_payouts == 1);
  RunFixture late;
  late.records.notices.push_back({"n0", "w0", 200, true});
  late.records.ledgers["w0"].push_back(RunFixture::entry("c", "begun", 1'500));
  CHECK(late.check().late_sends == 1);
  late.plan.faults = {{600, 1'400, FaultKind::stall, "n0", "w0"}};
  CHECK(late.check().late_sends == 0);
}

TEST_CASE("plan and records are read back as written, and a torn line is skipped") {
  const std::string path = write_scenario("");
  Plan plan = RunFixture().plan;
  plan.seed = 17;
  plan.faults = {{1, 2, FaultKind::one_way, "n0", "w0"}};
  plan.discovery_addresses["n0"] = "127.0.0.1:9";
  write_plan(plan, path);
  const Plan restored = read_plan(path);
  CHECK(restored.seed == 17);
  CHECK(restored.faults.at(0).kind == FaultKind::one_way);
  CHECK(restored.worker_addresses == plan.worker_addresses);
  CHECK(restored.discovery_addresses == plan.discovery_addresses);
  CHECK_THROWS_AS(read_plan("/nowhere"), std::runtime_error);
  const std::string records_path = path + "l";
  {
    JsonLinesFile file(records_path);
    file.append(to_json_line(RunFixture::query("a", true, 503, "x")));
    file.append(R"({"id": "tor)");
  }
  const auto queries = read_query_records(records_path);
  REQUIRE(queries.size() == 1);
  CHECK(queries[0].id == "a");
  CHECK(queries[0].status == 503);
}

}  // namespace
}  // namespace woadtide::lab::cluster
