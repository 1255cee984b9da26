// Endpoint lists in push mode from an agent on the same machine: the watch is opened without a request and
// reopened whenever it ends. Also lists whose sequence goes back, silent watches and local errors.
#include <poll.h>
#include <sys/resource.h>

#include "node_harness.hpp"

namespace woadtide::net {
namespace {

std::string list_line(int seq, bool whole, EndpointEntries hosts) {
  return nlohmann::json{{"seq", seq}, {"whole", whole}, {"hosts", std::move(hosts)}}.dump();
}
nlohmann::json with_start_time(nlohmann::json host, std::int64_t born_ms) {
  host["born_ms"] = born_ms;
  return host;
}

// A service discovery client that remembers worker "w" at sequence 41; its clock advances only when the test
// sets it.
struct ClientUnderTest {
  explicit ClientUnderTest(EndpointListClient::DiscoveryMode mode)
      : hosts(agent.dial(),
              core::parse_endpoint_list(
                  {{"seq", 41}, {"whole", true}, {"hosts", {endpoint_json("w", "127.0.0.1:1", "Ready")}}}),
              stopped_clock(), inbox, pool, park, crew, mode) {
    CHECK(next().kind == ListKind::remembered);
  }
  core::Clock& stopped_clock() {
    clock.set(kStartTimeMs);
    return clock;
  }
  ListUpdate next() {
    while (updates.empty()) {
      inbox.wait_for_message(10'000);
      for (core::Message& message : inbox.take_all())
        updates.push_back(std::get<core::ListUpdateReceived>(message).update);
      REQUIRE_MESSAGE(!updates.empty(), "no list update arrived");
    }
    ListUpdate update = std::move(updates.front());
    updates.pop_front();
    return update;
  }
  // Advances the clock until input or a connection has arrived there.
  void advance_until(const Socket& socket) {
    pollfd poll_fd{socket.fd(), POLLIN, 0};
    for (int tries = 0; ::poll(&poll_fd, 1, 20) == 0; ++tries) {
      REQUIRE_MESSAGE(tries < 1'000, "nothing arrived");
      clock.set(clock.now() + 100);
    }
  }
  // Accepts the next watch on the agent's side and checks what it requests.
  Peer accept_watch(const std::string& since) {
    advance_until(agent.socket);
    Peer peer = agent.accept();
    const std::string request = peer.read_message();
    CAPTURE(request);
    CHECK(request.find("/registry/instances?follow=1&since=" + since + " ") != std::string::npos);
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return peer;
  }
  static void send_line(Peer& peer, const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    peer.write(size + line + "\n\r\n");
  }
  WorkerState state(const std::string& worker) {
    const auto known = hosts.find(worker);
    return known ? known->entry.state : WorkerState::gone;
  }

  ListeningPort agent;
  core::Clock clock;
  core::Inbox inbox;
  BufferPool pool{16};
  std::deque<ListUpdate> updates;
  park::EventLoop park{clock};
  park::ThreadPool crew{{}};
  EndpointListClient hosts;
};

// Guards the drain rule: a drain that the agent holds takes effect whether or not anybody requested it.
TEST_CASE("in push mode the watch at the agent is opened at once, and reopened when it ends") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::pushed);
  {
    Peer watch = client.accept_watch("41");
    ClientUnderTest::send_line(watch, list_line(43, false, {endpoint_json("v", "127.0.0.1:2")}));
    CHECK(client.next().entries.at(0).worker == "v");
  }
  Peer reopened = client.accept_watch("43");
  ClientUnderTest::send_line(reopened,
                             list_line(44, false, {endpoint_json("v", "127.0.0.1:2", "Terminating")}));
  const ListUpdate drain = client.next();
  CHECK(drain.kind == ListKind::changes);  // the module, which requested nothing, is told of no failure
  CHECK(drain.entries.at(0).state == WorkerState::draining);
}

TEST_CASE(
    "a watch at a silent agent is reopened with increasing delays, and a node watches as its settings say") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::pushed);
  Peer silent = client.accept_watch("41");
  client.advance_until(silent.socket);
  CHECK(silent.is_closed());
  CHECK(client.clock.now() >= kStartTimeMs + EndpointListClient::kSilenceTimeoutMs);
  Peer reopened = client.accept_watch("41");

  ListeningPort agent;
  nlohmann::json config = config_json({}, agent.dial());
  config["settings"]["Discovery"] = "pushed";
  core::Clock clock;
  clock.set(kStartTimeMs);
  Node node(core::read_config(config), clock);
  CHECK(agent.accept().read_message().starts_with("GET /registry/instances?follow=1&since=41 "));
}

// Guards the drain rule both ways: an agent that has lost its state must not reinstate a worker, but its
// drains may be new all the same.
TEST_CASE("only the drains of an older list are applied until it has persisted") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::pushed);
  Peer watch = client.accept_watch("41");
  ClientUnderTest::send_line(
      watch, list_line(50, true,
                       {endpoint_json("w", "127.0.0.1:1", "Terminating"), endpoint_json("v", "127.0.0.1:2"),
                        with_start_time(endpoint_json("u", "127.0.0.1:3"), 7)}));
  CHECK(client.next().kind == ListKind::full);
  ClientUnderTest::send_line(
      watch, list_line(12, true,
                       {endpoint_json("w", "127.0.0.1:1"), endpoint_json("v", "127.0.0.1:2", "Terminating"),
                        endpoint_json("u", "127.0.0.1:3", "Terminating")}));
  const ListUpdate drains = client.next();
  CHECK(drains.kind == ListKind::changes);
  REQUIRE(drains.entries.size() == 1);  // u has restarted since
  CHECK(drains.entries.at(0).worker == "v");
  CHECK(client.state("w") == WorkerState::draining);
  CHECK(client.state("u") == WorkerState::ready);
  client.clock.set(client.clock.now() + EndpointListClient::kOlderListHoldMs);
  ClientUnderTest::send_line(watch, "");
  Peer anew = client.accept_watch("0");
  ClientUnderTest::send_line(anew, list_line(12, true, {endpoint_json("w", "127.0.0.1:1")}));
  CHECK(client.next().kind == ListKind::full);
  CHECK(client.state("w") == WorkerState::ready);
  CHECK(client.state("v") == WorkerState::gone);
}

// Guards the drain rule on a watch that falls silent: the changes that it misses take effect 6 s after it
// fell silent, and the module's delay between two calls could be longer than the time that remains. The same
// holds for a call that was waiting when all fell silent and never gets a response.
TEST_CASE("a watch that falls silent or gets no response is reopened at once, and no failure is reported") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::on_request);
  client.hosts.start_watch();
  Peer first = client.accept_watch("41");
  ClientUnderTest::send_line(first, list_line(42, true, {endpoint_json("w", "127.0.0.1:1", "Ready")}));
  CHECK(client.next().kind == ListKind::full);
  Peer second = client.accept_watch("42");
  const ListUpdate silent = client.next();
  CHECK(silent.kind == ListKind::interrupted);
  CHECK(silent.as_of == core::to_micros(kStartTimeMs));  // time of the last line
  ClientUnderTest::send_line(second, list_line(43, true, {endpoint_json("w", "127.0.0.1:1", "Terminating")}));
  CHECK(client.next().kind == ListKind::full);
  CHECK(client.state("w") == WorkerState::draining);
  const double heard_at = client.clock.now();
  Peer third = client.accept_watch("43");  // a response without a list
  client.advance_until(client.agent.socket);
  Peer fourth = client.agent.accept();  // no response
  fourth.read_message();
  Peer fifth = client.accept_watch("43");
  // Calls without a response say nothing about discovery: the list is as old as its last line.
  for (int calls = 0; calls < 3; ++calls) {
    const ListUpdate unanswered = client.next();
    CHECK(unanswered.kind == ListKind::interrupted);
    CHECK(unanswered.as_of == core::to_micros(heard_at));
  }
  CHECK(client.inbox.take_all().empty());
}

// Guards the drain rule: a list is in force only for a time after discovery last had nothing newer. By the
// operating requirements discovery may be slow or overloaded. It also processes calls that were abandoned:
// one that is called again before it can respond never does.
TEST_CASE("after a call without a response in time the next call waits longer") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::on_request);
  client.hosts.start_watch();
  client.advance_until(client.agent.socket);
  Peer first = client.agent.accept();
  first.read_message();
  client.advance_until(first.socket);
  CHECK(first.is_closed());
  Peer second = client.agent.accept();
  second.read_message();
  pollfd closes{second.socket.fd(), POLLIN, 0};
  for (double passed = 0; passed < 1.5 * EndpointListClient::kSilenceTimeoutMs; passed += 100) {
    client.clock.set(client.clock.now() + 100);
    REQUIRE(::poll(&closes, 1, 30) == 0);  // the event loop checks the clock once a second
  }
  second.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  ClientUnderTest::send_line(second, list_line(42, true, {endpoint_json("v", "127.0.0.1:2")}));
  ListUpdate update = client.next();
  while (update.kind == ListKind::interrupted) update = client.next();
  CHECK(update.kind == ListKind::full);
}

// By the operating requirements the wall clock may be stepped by an hour, also between the starts of two
// processes of one dispatcher.
TEST_CASE(
    "the age of a sibling process's list is right even if the wall clock was stepped between their starts") {
  constexpr double kHourMs = 3'600'000;
  for (const double step : {kHourMs, -kHourMs}) {
    CAPTURE(step);
    const core::Clock old_clock, next_clock(step);
    const double old_now = old_clock.now();
    const std::string text = core::serialize({42, true, {}, old_clock.to_monotonic(old_now)});
    const core::EndpointList parsed = core::parse_endpoint_list(nlohmann::json::parse(text));
    REQUIRE(parsed.as_of_monotonic_ms);
    CHECK(std::abs(next_clock.from_monotonic(*parsed.as_of_monotonic_ms) - next_clock.now()) < 1'000);
  }
}

// Guards drains that others have received meanwhile: a local error says nothing about discovery. Skipped
// under the sanitizers: the undefined-behaviour sanitizer opens a pipe to inspect an object's type.
#ifndef __SANITIZE_ADDRESS__
TEST_CASE("a call that fails locally does not extend the validity of the current list") {
  constexpr int kTries = 20;
  ClientUnderTest client(EndpointListClient::DiscoveryMode::on_request);
  client.hosts.start_watch();
  {
    Peer watch = client.accept_watch("41");
    ClientUnderTest::send_line(watch, list_line(42, true, {endpoint_json("w", "127.0.0.1:1")}));
    CHECK(client.next().kind == ListKind::full);
  }
  CHECK(client.next().as_of == core::to_micros(kStartTimeMs));
  rlimit before{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
  const park::Fd lowest(::dup(0));
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(lowest.get());
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
  client.hosts.start_watch();
  for (int i = 0; i < kTries; ++i) {
    client.clock.set(client.clock.now() + 500);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const std::deque<core::Message> messages = client.inbox.take_all();
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(messages.empty());
  Peer watch = client.accept_watch("42");  // reopened without a request as soon as possible
}
#endif

TEST_CASE("the way a watch or call ends determines since when discovery may have sent others newer lists") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::on_request);
  client.hosts.start_watch();
  {
    Peer refused = client.agent.accept();
    refused.read_message();
    client.clock.set(kStartTimeMs + 2'000);
    refused.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    const ListUpdate failed = client.next();
    CHECK(failed.kind == ListKind::failed);
    CHECK(failed.as_of == core::to_micros(kStartTimeMs));  // start of the call that was refused
  }
  client.hosts.start_watch();
  {
    Peer watch = client.accept_watch("41");
    ClientUnderTest::send_line(watch, list_line(42, true, {endpoint_json("w", "127.0.0.1:1")}));
    CHECK(client.next().kind == ListKind::full);
    client.clock.set(kStartTimeMs + 3'000);
  }
  const ListUpdate ended = client.next();
  CHECK(ended.kind == ListKind::failed);
  CHECK(ended.as_of == core::to_micros(kStartTimeMs + 3'000));  // discovery went down then
  client.hosts.start_watch();
  Peer silent = client.accept_watch("42");
  ClientUnderTest::send_line(silent, list_line(43, true, {endpoint_json("w", "127.0.0.1:1")}));
  CHECK(client.next().kind == ListKind::full);
  client.advance_until(client.agent.socket);
  Peer reopened = client.agent.accept();
  reopened.read_message();
  CHECK(client.next().kind == ListKind::interrupted);
  reopened.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  const ListUpdate second_failure = client.next();
  CHECK(second_failure.kind == ListKind::failed);
  // All watches may have fallen silent, and all call at once: this refusal says nothing.
  CHECK(second_failure.as_of == core::to_micros(kStartTimeMs + 3'000));
}

// Guards the drain rule after SIGHUP: a call at the new address that was refused at once kept the old list in
// force, again with each further one, while workers drained.
TEST_CASE("after a reload no failed call prolongs the list, until one has come from the new address") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::on_request);
  client.hosts.start_watch();
  Peer watch = client.accept_watch("41");
  ClientUnderTest::send_line(watch, list_line(42, true, {endpoint_json("w", "127.0.0.1:1")}));
  CHECK(client.next().kind == ListKind::full);
  ListeningPort new_address;
  client.clock.set(kStartTimeMs + 500);
  client.hosts.set_discovery_address(new_address.dial());
  // The list is in force for 6 s from this time, so for 4 s from the reload.
  const auto told_by = core::to_micros(kStartTimeMs + 500 - 2'000);
  CHECK(client.next().as_of == told_by);
  for (int call = 0; call < 3; ++call) {
    Peer refused = new_address.accept();
    refused.read_message();
    refused.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    const ListUpdate failed = client.next();
    CHECK(failed.kind == ListKind::failed);
    CHECK(failed.as_of == told_by);
    client.clock.set(client.clock.now() + 1'000);
    client.hosts.start_watch();
  }
  {
    Peer opened = new_address.accept();
    opened.read_message();
    opened.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    ClientUnderTest::send_line(opened, list_line(43, true, {endpoint_json("w", "127.0.0.1:1")}));
    CHECK(client.next().kind == ListKind::full);
  }
  CHECK(client.next().kind == ListKind::failed);  // discovery has closed the watch
  client.hosts.start_watch();
  Peer down = new_address.accept();
  down.read_message();
  client.clock.set(client.clock.now() + 100);
  const double called_at = client.clock.now() - 100;
  down.socket = net::Socket{};
  CHECK(client.next().as_of == core::to_micros(called_at));
}

// Guards the drain rule at a restart: workers in the remembered list may have drained long ago.
TEST_CASE("a node accepts clients with its first list, and sends no query by the remembered one before") {
  ListeningPort worker, discovery;
  core::Clock clock;
  clock.set(kStartTimeMs);
  Node node(
      core::read_config(config_json(EndpointEntries{endpoint_json("w", worker.dial())}, discovery.dial())),
      clock);
  CHECK(call_management(node, "readyz\n").rfind("error", 0) == 0);
  Peer client = Peer::to(node.port());
  client.write("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(client.read_message().rfind("HTTP/1.1 503 ", 0) == 0);
  client.write(query_text("a", "refund-payout"));
  CHECK(client.read_message().rfind("HTTP/1.1 503 ", 0) == 0);
  pollfd comes{worker.socket.fd(), POLLIN, 0};
  CHECK(::poll(&comes, 1, 0) == 0);
  const Peer watch = confirm_list(discovery, node);
  client.write("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(client.read_message().rfind("HTTP/1.1 200 ", 0) == 0);
  client.write(query_text("b", "refund-payout"));
  Peer link = worker.accept();
  link.read_message();
  link.write(done_response("b", "ok"));
  CHECK(client.read_message().ends_with("\r\n\r\nok"));
}

// Guards the time that remains for opening another watch: a watch is silent once two lines were due, and the
// response to the next call has to arrive in time too.
TEST_CASE("a watch is silent once two lines were due, even if single bytes arrive meanwhile") {
  CHECK(EndpointListClient::kSilenceTimeoutMs == 2 * EndpointListClient::kKeepAliveIntervalMs);
  ClientUnderTest client(EndpointListClient::DiscoveryMode::on_request);
  client.hosts.start_watch();
  Peer first = client.accept_watch("41");
  ClientUnderTest::send_line(first, list_line(42, true, {endpoint_json("w", "127.0.0.1:1", "Ready")}));
  CHECK(client.next().kind == ListKind::full);
  for (int i = 0; i < 4; ++i) {  // part of a line that never ends, and its chunk size
    client.clock.set(kStartTimeMs + i * EndpointListClient::kSilenceTimeoutMs / 4);
    first.write(i == 0 ? "fff\r\n" : " ");
  }
  client.clock.set(kStartTimeMs + EndpointListClient::kSilenceTimeoutMs - 1);
  pollfd comes{client.agent.socket.fd(), POLLIN, 0};
  CHECK(::poll(&comes, 1, 1'100) == 0);  // the event loop checks the clock every second
  client.clock.set(
      kStartTimeMs +
      EndpointListClient::kSilenceTimeoutMs);  // the clock stays there: no later time would open the watch
  CHECK(client.agent.accept().read_message().find("since=42 ") != std::string::npos);
}

// Guards lists that are not a single line: the protocol shows an example on several lines.
TEST_CASE(
    "an indented list over several lines is applied once it is complete, and an incomplete one is silence") {
  ClientUnderTest client(EndpointListClient::DiscoveryMode::on_request);
  client.hosts.start_watch();
  Peer first = client.accept_watch("41");
  const std::string indented =
      nlohmann::json{
          {"seq", 42},
          {"whole", false},
          {"hosts", {endpoint_json("v", "127.0.0.1:2"), endpoint_json("a \\ \"}{", "127.0.0.1:3")}}}
          .dump(2);
  std::size_t from = 0;
  for (std::size_t end; (end = indented.find('\n', from)) != std::string::npos; from = end + 1)
    ClientUnderTest::send_line(first, indented.substr(from, end - from));
  ClientUnderTest::send_line(first, "");
  CHECK(client.inbox.take_all().empty());
  ClientUnderTest::send_line(first, indented.substr(from));
  const ListUpdate update = client.next();
  CHECK(update.kind == ListKind::changes);
  CHECK(update.entries.size() == 2);
  ClientUnderTest::send_line(first, list_line(43, false, {endpoint_json("v", "127.0.0.1:2", "Terminating")}));
  CHECK(client.next().entries.at(0).state == WorkerState::draining);
  ClientUnderTest::send_line(first, "{");
  Peer second = client.accept_watch("43");
}

}  // namespace
}  // namespace woadtide::net
