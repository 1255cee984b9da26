// The rig's own parts: a schedule that the seed decides, relays that do what they say, and a checker that
// finds what is planted and excuses no more than it may.
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

std::string written(const std::string& text) {
  char folder[] = "/tmp/woadtide-cluster-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  const std::string path = std::string(folder) + "/s.toml";
  std::ofstream(path) << text;
  return path;
}

TEST_CASE("a scenario is read whole, and what is wrong in it is named with file and line") {
  const Scenario good = read_scenario(written("dispatchers = 5\nrate = 12.5\n[faults]\ncut = 3\n"));
  CHECK(good.dispatchers == 5);
  CHECK(good.rate == 12.5);
  CHECK(good.faults.at("cut") == 3);
  for (const auto& [text, where, word] : {std::tuple{"workers = 3\nbananas = 1\n", ":2:", "bananas"},
                                          {"dispatchers = 17\n", ":1:", "1 to 16"},
                                          {"[faults]\nflood = 1\n", ":2:", "no such fault"},
                                          {"rate = \"x\"\n", ":1:", "number"},
                                          {"rate = \n", ":1:", ""}}) {
    CAPTURE(text);
    try {
      read_scenario(written(text));
      FAIL("it was taken");
    } catch (const std::runtime_error& wrong) {
      CHECK(std::string(wrong.what()).find(where) != std::string::npos);
      CHECK(std::string(wrong.what()).find(word) != std::string::npos);
    }
  }
}

TEST_CASE("the schedule is the seed's alone, in order, and over before the run is") {
  CHECK(rc::check([](std::uint64_t seed) {
    Scenario scenario;
    scenario.dispatchers = *rc::gen::inRange(1, 8);
    scenario.workers = *rc::gen::inRange(1, 8);
    scenario.seconds = *rc::gen::inRange(1, 30);
    for (const char* kind :
         {"kill", "stop", "worker_kill", "cut", "stall", "one_way", "delay", "corrupt", "drain"})
      scenario.faults[kind] = *rc::gen::inRange(0, 5);
    const std::vector<Fault> one = draw(scenario, seed), again = draw(scenario, seed);
    RC_ASSERT(one.size() == again.size());
    for (std::size_t i = 0; i < one.size(); ++i) {
      RC_ASSERT(one[i].from_ms == again[i].from_ms && one[i].to_ms == again[i].to_ms);
      RC_ASSERT(one[i].at == again[i].at && one[i].to == again[i].to);
      RC_ASSERT(one[i].from_ms <= one[i].to_ms && one[i].to_ms <= scenario.seconds * 900);
      RC_ASSERT(i == 0 || one[i - 1].from_ms <= one[i].from_ms);
      RC_ASSERT(is_of_link(one[i].kind) == !one[i].to.empty());
    }
  }));
}

// Relays ------------------------------------------------------------------------------------------------

// Answers every byte with itself.
struct Echo {
  core::Clock clock;
  Acceptor acceptor{
      "echo", net::Socket::listen_at(net::Address("127.0.0.1:0")), 16, clock, [](net::Socket& socket) {
        core::Clock own;
        char bytes[256];
        std::size_t got = 0;
        while (socket.receive(bytes, sizeof bytes, got, own.now() + 10'000, own) == net::Io::done)
          socket.send({{bytes, got}}, own.now() + 1'000, own);
      }};
};

struct Line {
  Line() : address(relays.add("n0", "w0", "127.0.0.1:" + std::to_string(echo.acceptor.port()))) {
    socket = net::Socket::make(address);
    REQUIRE(socket.connect(address, 1'000));
  }
  // What comes back within `ms`; "!" where the link ends.
  std::string say(const std::string& text, double ms) {
    socket.send({text}, clock.now() + 1'000, clock);
    return hear(ms);
  }
  std::string hear(double ms) {
    char bytes[256];
    std::size_t got = 0;
    const net::Io io = socket.receive(bytes, sizeof bytes, got, clock.now() + ms, clock);
    return io == net::Io::done ? std::string(bytes, got) : io == net::Io::late ? "" : "!";
  }
  core::Clock clock;
  Echo echo;
  Relays relays;
  net::Address address;
  net::Socket socket;
};

TEST_CASE("a relay passes, holds back both ways or one, delays, changes a byte, and cuts") {
  Line line;
  CHECK(line.say("one", 2'000) == "one");
  line.relays.set("n0", "w0", Kind::stall);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(line.say("two", 80) == "");
  line.relays.set("n0", "w0", std::nullopt);
  CHECK(line.hear(2'000) == "two");  // nothing is lost by it
  line.relays.set("n0", "w0", Kind::one_way);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(line.say("three", 80) == "");
  line.relays.set("n0", "w0", Kind::delay);
  CHECK(line.hear(2'000) == "three");
  const double since = line.clock.now();
  CHECK(line.say("four", 3'000) == "four");
  CHECK(line.clock.now() - since >= 200);  // both ways
  line.relays.set("n0", "w0", Kind::corrupt);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const std::string garbled = line.say("abcde", 2'000);
  CHECK(garbled.size() == 5);  // changed once each way: the same byte twice is itself again
  line.relays.set("n0", "w0", Kind::cut);
  CHECK(line.hear(2'000) == "!");
  net::Socket next = net::Socket::make(line.address);
  next.connect(line.address, 500);
  line.socket = std::move(next);
  CHECK(line.hear(2'000) == "!");
  CHECK_THROWS_AS(line.relays.set("n0", "w9", std::nullopt), std::out_of_range);
}

TEST_CASE("behind a relay to nobody a link ends") {
  core::Clock clock;
  Relays relays;
  const net::Address address(relays.add("n0", "w0", "127.0.0.1:1"));
  net::Socket socket = net::Socket::make(address);
  REQUIRE(socket.connect(address, 1'000));
  char byte = 0;
  std::size_t got = 0;
  CHECK(socket.receive(&byte, 1, got, clock.now() + 2'000, clock) == net::Io::broken);
}

// The checker -------------------------------------------------------------------------------------------

// A run of one dispatcher and one worker in which all went well.
struct Run {
  Run() {
    plan.scenario.dispatchers = plan.scenario.workers = 1;
    plan.start_ms = 1'000'000;
    plan.workers["n0"]["w0"] = "127.0.0.1:7";
    books.asked = {query("a", false, 200, "done a"), query("p", true, 200, "done p")};
    books.told = {{"n0", "w0", 0, false}};
    books.ledgers["w0"] = {entry("a", "begun", 105), entry("a", "finished", 120), entry("p", "begun", 105),
                           entry("p", "finished", 120)};
  }
  static Asked query(const std::string& id, bool once, int status, const std::string& body) {
    return {id, "n0", once, 100, 130, Asked::End::answer, status, body};
  }
  static Entry entry(const std::string& key, const std::string& what, double at) {
    return {key, what, 0, key.front() == 'p', "done " + key, "127.0.0.1:7", 1'000'000 + at};
  }
  Findings judged() const { return judge(plan, books); }
  Plan plan;
  Books books;
};

TEST_CASE("a good run is good, and each planted fault is found") {
  CHECK(Run().judged().good());
  CHECK(Run().judged().served == 2);
  {
    Run run;
    run.books.ledgers["w1"].push_back(Run::entry("p", "begun", 110));
    CHECK(run.judged().twice == 1);
  }
  {
    Run run;
    run.books.asked[0].body = "made up";
    CHECK(run.judged().untrue == 1);
  }
  {
    Run run;
    run.books.asked[1].status = 503;
    CHECK(run.judged().untrue == 1);  // refused, and it had begun
  }
  {
    Run run;
    run.books.asked[0].status = 400;
    CHECK(run.judged().untrue == 1);
  }
  for (const auto end : {Asked::End::broken, Asked::End::none, Asked::End::unsent}) {
    Run run;
    run.books.asked[0].end = end;
    CHECK(run.judged().lost == 1);
  }
  {
    Run run;
    run.books.asked[0].ended_ms = 100 + run.plan.scenario.budget_ms + 200;
    CHECK(run.judged().late == 1);
  }
  {
    Run run;
    run.books.told.push_back({"n0", "w0", 200, true});
    run.books.ledgers["w0"].push_back(Run::entry("b", "begun", 640));
    CHECK(run.judged().late_sends == 0);  // within grace and slack
    run.books.ledgers["w0"].push_back(Run::entry("c", "begun", 700));
    CHECK(run.judged().late_sends == 1);
    run.books.told.push_back({"n0", "w0", 690, false});
    CHECK(run.judged().late_sends == 0);  // it was ready again by then
  }
}

TEST_CASE("a fault excuses what it can have caused, at its time and place, and never a second payout") {
  Run run;
  run.books.asked[0].end = Asked::End::broken;
  run.plan.faults = {{90, 110, Kind::kill, "n0", ""}};
  CHECK(run.judged().good());
  CHECK(run.judged().excused == 1);
  run.plan.faults = {{90, 110, Kind::kill, "n1", ""}};
  CHECK(run.judged().lost == 1);
  run.plan.faults = {{5'000, 6'000, Kind::kill, "n0", ""}};
  CHECK(run.judged().lost == 1);
  run.plan.faults = {{90, 110, Kind::cut, "n0", "w0"}};
  CHECK(run.judged().lost == 1);  // a worker's link is no reason to lose a client's query
  run.plan.faults = {{90, 110, Kind::cut, "clients", "n0"}};
  CHECK(run.judged().excused == 1);
  run.books.ledgers["w0"].push_back(Run::entry("p", "begun", 108));
  CHECK(run.judged().twice == 1);
  Run late;
  late.books.told.push_back({"n0", "w0", 200, true});
  late.books.ledgers["w0"].push_back(Run::entry("c", "begun", 1'500));
  CHECK(late.judged().late_sends == 1);
  late.plan.faults = {{600, 1'400, Kind::stall, "n0", "w0"}};
  CHECK(late.judged().late_sends == 0);
}

TEST_CASE("plan and lines come back as they were written, and a torn line is none") {
  const std::string path = written("");
  Plan plan = Run().plan;
  plan.seed = 17;
  plan.faults = {{1, 2, Kind::one_way, "n0", "w0"}};
  plan.discovery["n0"] = "127.0.0.1:9";
  write_plan(plan, path);
  const Plan read = read_plan(path);
  CHECK(read.seed == 17);
  CHECK(read.faults.at(0).kind == Kind::one_way);
  CHECK(read.workers == plan.workers);
  CHECK(read.discovery == plan.discovery);
  CHECK_THROWS_AS(read_plan("/nowhere"), std::runtime_error);
  const std::string lines = path + "l";
  {
    Lines file(lines);
    file.add(line_of(Run::query("a", true, 503, "x")));
    file.add(R"({"id": "tor)");
  }
  const auto asked = read_asked(lines);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].id == "a");
  CHECK(asked[0].status == 503);
}

}  // namespace
}  // namespace woadtide::lab::cluster
