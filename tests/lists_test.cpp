// Lists that an agent on the own machine pushes: listened to unasked, again after every end, and what goes
// back.
#include <poll.h>
#include <sys/resource.h>

#include "node_harness.hpp"

namespace woadtide::net {
namespace {

std::string line_of(int seq, bool whole, Hosts hosts) {
  return nlohmann::json{{"seq", seq}, {"whole", whole}, {"hosts", std::move(hosts)}}.dump();
}
nlohmann::json started(nlohmann::json host, std::int64_t born_ms) {
  host["born_ms"] = born_ms;
  return host;
}

// A host group that remembers worker "w" at seq 41; its clock stands still unless it is pushed on.
struct Group {
  explicit Group(HostGroup::Way way)
      : hosts(agent.dial(),
              core::read_host_list(
                  {{"seq", 41}, {"whole", true}, {"hosts", {host_json("w", "127.0.0.1:1", "Ready")}}}),
              standing(), inbox, pool, park, crew, way) {
    CHECK(next().kind == ListKind::remembered);
  }
  core::Clock& standing() {
    clock.set(kNow);
    return clock;
  }
  ListUpdate next() {
    while (come.empty()) {
      inbox.wait(10'000);
      for (core::Message& message : inbox.take()) come.push_back(std::get<core::ListTold>(message).update);
      REQUIRE_MESSAGE(!come.empty(), "no list came");
    }
    ListUpdate update = std::move(come.front());
    come.pop_front();
    return update;
  }
  // The clock goes on until something has come there.
  void pass_until(const Socket& socket) {
    pollfd come{socket.fd(), POLLIN, 0};
    for (int tries = 0; ::poll(&come, 1, 20) == 0; ++tries) {
      REQUIRE_MESSAGE(tries < 1'000, "nothing came");
      clock.set(clock.now() + 100);
    }
  }
  // The agent's side of the next watch, with what it was asked for.
  Peer watch(const std::string& since) {
    pass_until(agent.socket);
    Peer peer = agent.accept();
    const std::string asked = peer.message();
    CAPTURE(asked);
    CHECK(asked.find("/registry/instances?follow=1&since=" + since + " ") != std::string::npos);
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return peer;
  }
  static void say(Peer& peer, const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    peer.write(size + line + "\n\r\n");
  }
  WorkerState state(const std::string& worker) {
    const auto known = hosts.find(worker);
    return known ? known->entry.state : WorkerState::gone;
  }

  Port agent;
  core::Clock clock;
  core::Inbox inbox;
  BufferPool pool{16};
  std::deque<ListUpdate> come;
  park::Park park{clock};
  park::Crew crew{{}};
  HostGroup hosts;
};

// Guards the rule on drains: what the agent holds counts as told, whether anybody asked or not.
TEST_CASE("where lists are pushed the agent is listened to at once, and again when its watch ends") {
  Group group(HostGroup::Way::pushed);
  {
    Peer watch = group.watch("41");
    Group::say(watch, line_of(43, false, {host_json("v", "127.0.0.1:2")}));
    CHECK(group.next().entries.at(0).worker == "v");
  }
  Peer again = group.watch("43");
  Group::say(again, line_of(44, false, {host_json("v", "127.0.0.1:2", "Terminating")}));
  const ListUpdate drain = group.next();
  CHECK(drain.kind == ListKind::changes);  // the module, which asked for nothing, heard of no failure
  CHECK(drain.entries.at(0).state == WorkerState::draining);
}

TEST_CASE("a silent agent is asked anew, later each time, and a node listens by what its settings say") {
  Group group(HostGroup::Way::pushed);
  Peer silent = group.watch("41");
  group.pass_until(silent.socket);
  CHECK(silent.closed());
  CHECK(group.clock.now() >= kNow + HostGroup::kSilenceMs);
  Peer again = group.watch("41");

  Port agent;
  nlohmann::json config = config_json({}, agent.dial());
  config["settings"]["Discovery"] = "pushed";
  core::Clock clock;
  clock.set(kNow);
  Node node(core::read_config(config), clock);
  CHECK(agent.accept().message().starts_with("GET /registry/instances?follow=1&since=41 "));
}

// Guards the rule on drains both ways: an agent that has lost its news must not bring a worker back, and its
// drains may be news all the same.
TEST_CASE("of a list that goes back only drains hold, until it has gone on for long") {
  Group group(HostGroup::Way::pushed);
  Peer watch = group.watch("41");
  Group::say(watch, line_of(50, true,
                            {host_json("w", "127.0.0.1:1", "Terminating"), host_json("v", "127.0.0.1:2"),
                             started(host_json("u", "127.0.0.1:3"), 7)}));
  CHECK(group.next().kind == ListKind::full);
  Group::say(watch, line_of(12, true,
                            {host_json("w", "127.0.0.1:1"), host_json("v", "127.0.0.1:2", "Terminating"),
                             host_json("u", "127.0.0.1:3", "Terminating")}));
  const ListUpdate drains = group.next();
  CHECK(drains.kind == ListKind::changes);
  REQUIRE(drains.entries.size() == 1);  // u has started again since
  CHECK(drains.entries.at(0).worker == "v");
  CHECK(group.state("w") == WorkerState::draining);
  CHECK(group.state("u") == WorkerState::ready);
  group.clock.set(group.clock.now() + HostGroup::kOlderListHoldMs);
  Group::say(watch, "");
  Peer anew = group.watch("0");
  Group::say(anew, line_of(12, true, {host_json("w", "127.0.0.1:1")}));
  CHECK(group.next().kind == ListKind::full);
  CHECK(group.state("w") == WorkerState::ready);
  CHECK(group.state("v") == WorkerState::gone);
}

// Guards the drain rule on a watch that falls silent: what it misses counts as told 6 s after it fell silent,
// and the module's gap between two calls could be longer than what is left of that. So, too, on a call that
// was waiting when all fell silent: it never speaks.
TEST_CASE("a watch that falls silent, or never speaks, is opened anew at once, and no failure is told") {
  Group group(HostGroup::Way::asked);
  group.hosts.watch();
  Peer first = group.watch("41");
  Group::say(first, line_of(42, true, {host_json("w", "127.0.0.1:1", "Ready")}));
  CHECK(group.next().kind == ListKind::full);
  Peer second = group.watch("42");
  const ListUpdate silent = group.next();
  CHECK(silent.kind == ListKind::interrupted);
  CHECK(silent.as_of == core::to_micros(kNow));  // when the last line came
  Group::say(second, line_of(43, true, {host_json("w", "127.0.0.1:1", "Terminating")}));
  CHECK(group.next().kind == ListKind::full);
  CHECK(group.state("w") == WorkerState::draining);
  const double heard_at = group.clock.now();
  Peer third = group.watch("43");  // an answer, and no list
  group.pass_until(group.agent.socket);
  Peer fourth = group.agent.accept();  // no answer
  fourth.message();
  Peer fifth = group.watch("43");
  // Calls that are never answered show nothing of discovery: the list is as old as its last line.
  for (int calls = 0; calls < 3; ++calls) {
    const ListUpdate unanswered = group.next();
    CHECK(unanswered.kind == ListKind::interrupted);
    CHECK(unanswered.as_of == core::to_micros(heard_at));
  }
  CHECK(group.inbox.take().empty());
}

// Guards the drain rule: a list is in force only for a time from when discovery could tell nothing newer.
// STANDING: discovery that is slow or crowded. It works on calls that were given up, too: one that is called
// anew before it can answer never does.
TEST_CASE("a call that discovery was too slow for is followed by one that waits longer") {
  Group group(HostGroup::Way::asked);
  group.hosts.watch();
  group.pass_until(group.agent.socket);
  Peer first = group.agent.accept();
  first.message();
  group.pass_until(first.socket);
  CHECK(first.closed());
  Peer second = group.agent.accept();
  second.message();
  pollfd closes{second.socket.fd(), POLLIN, 0};
  for (double passed = 0; passed < 1.5 * HostGroup::kSilenceMs; passed += 100) {
    group.clock.set(group.clock.now() + 100);
    REQUIRE(::poll(&closes, 1, 30) == 0);  // the event loop looks at the clock once a second
  }
  second.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  Group::say(second, line_of(42, true, {host_json("v", "127.0.0.1:2")}));
  ListUpdate update = group.next();
  while (update.kind == ListKind::interrupted) update = group.next();
  CHECK(update.kind == ListKind::full);
}

// STANDING: the wall clock may be stepped by an hour, also between the starts of two processes of one
// dispatcher.
TEST_CASE(
    "what another process says of a list's age holds though the wall clock was stepped between their "
    "starts") {
  constexpr double kHourMs = 3'600'000;
  for (const double step : {kHourMs, -kHourMs}) {
    CAPTURE(step);
    const core::Clock old_clock, next_clock(step);
    const double old_now = old_clock.now();
    const std::string text = core::text_of({42, true, {}, old_clock.to_monotonic(old_now)});
    const core::HostList heard = core::read_host_list(nlohmann::json::parse(text));
    REQUIRE(heard.as_of_monotonic_ms);
    CHECK(std::abs(next_clock.from_monotonic(*heard.as_of_monotonic_ms) - next_clock.now()) < 1'000);
  }
}

// Guards drains that others have been told meanwhile: a failure of our own shows nothing of discovery. The
// undefined-behaviour sanitizer opens a pipe to look at an object's type.
#ifndef __SANITIZE_ADDRESS__
TEST_CASE("a call for the list that this machine cannot make does not prolong the list that is held") {
  constexpr int kTries = 20;
  Group group(HostGroup::Way::asked);
  group.hosts.watch();
  {
    Peer watch = group.watch("41");
    Group::say(watch, line_of(42, true, {host_json("w", "127.0.0.1:1")}));
    CHECK(group.next().kind == ListKind::full);
  }
  CHECK(group.next().as_of == core::to_micros(kNow));
  rlimit before{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
  const park::Fd lowest(::dup(0));
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(lowest.get());
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
  group.hosts.watch();
  for (int i = 0; i < kTries; ++i) {
    group.clock.set(group.clock.now() + 500);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const std::deque<core::Message> told = group.inbox.take();
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(told.empty());
  Peer watch = group.watch("42");  // as soon as it can be made, unasked
}
#endif

TEST_CASE("how a watch or a call ends says since when discovery may have told others more") {
  Group group(HostGroup::Way::asked);
  group.hosts.watch();
  {
    Peer refused = group.agent.accept();
    refused.message();
    group.clock.set(kNow + 2'000);
    refused.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    const ListUpdate failed = group.next();
    CHECK(failed.kind == ListKind::failed);
    CHECK(failed.as_of == core::to_micros(kNow));  // when the call began that was not taken
  }
  group.hosts.watch();
  {
    Peer watch = group.watch("41");
    Group::say(watch, line_of(42, true, {host_json("w", "127.0.0.1:1")}));
    CHECK(group.next().kind == ListKind::full);
    group.clock.set(kNow + 3'000);
  }
  const ListUpdate ended = group.next();
  CHECK(ended.kind == ListKind::failed);
  CHECK(ended.as_of == core::to_micros(kNow + 3'000));  // it went down then
  group.hosts.watch();
  Peer silent = group.watch("42");
  Group::say(silent, line_of(43, true, {host_json("w", "127.0.0.1:1")}));
  CHECK(group.next().kind == ListKind::full);
  group.pass_until(group.agent.socket);
  Peer again = group.agent.accept();
  again.message();
  CHECK(group.next().kind == ListKind::interrupted);
  again.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  const ListUpdate one_of_many = group.next();
  CHECK(one_of_many.kind == ListKind::failed);
  // All may have fallen silent, and call at once: this one shows nothing.
  CHECK(one_of_many.as_of == core::to_micros(kNow + 3'000));
}

// Guards the drain rule at a restart: what the platform remembers may have drained long ago.
TEST_CASE("a node takes clients in with its first list, and sends nothing by the remembered one before") {
  Port worker, discovery;
  core::Clock clock;
  clock.set(kNow);
  Node node(core::read_config(config_json(Hosts{host_json("w", worker.dial())}, discovery.dial())), clock);
  CHECK(call_node(node, "readyz\n").rfind("error", 0) == 0);
  Peer client = Peer::to(node.port());
  client.write("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(client.message().rfind("HTTP/1.1 503 ", 0) == 0);
  client.write(query_text("a", "refund-payout"));
  CHECK(client.message().rfind("HTTP/1.1 503 ", 0) == 0);
  pollfd comes{worker.socket.fd(), POLLIN, 0};
  CHECK(::poll(&comes, 1, 0) == 0);
  const Peer watch = confirm_list(discovery, node);
  client.write("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(client.message().rfind("HTTP/1.1 200 ", 0) == 0);
  client.write(query_text("b", "refund-payout"));
  Peer link = worker.accept();
  link.message();
  link.write(done("b", "ok"));
  CHECK(client.message().ends_with("\r\n\r\nok"));
}

// Guards the time that is left for another watch: two lines were due, and the answer to it has to come too.
TEST_CASE("a watch is silent once two lines were due, whatever trickles in meanwhile") {
  CHECK(HostGroup::kSilenceMs == 2 * HostGroup::kKeepAliveIntervalMs);
  Group group(HostGroup::Way::asked);
  group.hosts.watch();
  Peer first = group.watch("41");
  Group::say(first, line_of(42, true, {host_json("w", "127.0.0.1:1", "Ready")}));
  CHECK(group.next().kind == ListKind::full);
  for (int i = 0; i < 4; ++i) {  // of a line that never ends, and of its chunk's mark
    group.clock.set(kNow + i * HostGroup::kSilenceMs / 4);
    first.write(i == 0 ? "fff\r\n" : " ");
  }
  group.clock.set(kNow + HostGroup::kSilenceMs - 1);
  pollfd comes{group.agent.socket.fd(), POLLIN, 0};
  CHECK(::poll(&comes, 1, 1'100) == 0);           // the park looks at its clock every second
  group.clock.set(kNow + HostGroup::kSilenceMs);  // and stands: no later time would open it
  CHECK(group.agent.accept().message().find("since=42 ") != std::string::npos);
}

// Guards a list that is not one line: PROTOCOL shows it on several.
TEST_CASE("a list that comes indented over lines is taken once it is whole, and half of one is silence") {
  Group group(HostGroup::Way::asked);
  group.hosts.watch();
  Peer first = group.watch("41");
  const std::string indented =
      nlohmann::json{{"seq", 42},
                     {"whole", false},
                     {"hosts", {host_json("v", "127.0.0.1:2"), host_json("a \\ \"}{", "127.0.0.1:3")}}}
          .dump(2);
  std::size_t from = 0;
  for (std::size_t end; (end = indented.find('\n', from)) != std::string::npos; from = end + 1)
    Group::say(first, indented.substr(from, end - from));
  Group::say(first, "");
  CHECK(group.inbox.take().empty());
  Group::say(first, indented.substr(from));
  const ListUpdate update = group.next();
  CHECK(update.kind == ListKind::changes);
  CHECK(update.entries.size() == 2);
  Group::say(first, line_of(43, false, {host_json("v", "127.0.0.1:2", "Terminating")}));
  CHECK(group.next().entries.at(0).state == WorkerState::draining);
  Group::say(first, "{");
  Peer second = group.watch("43");
}

}  // namespace
}  // namespace woadtide::net
