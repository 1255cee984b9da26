// The management address, with clients over loopback.
#include <atomic>
#include <thread>

#include "node_harness.hpp"

namespace woadtide {
namespace {

using net::ManagementServer;

bool starts_with(const std::string& text, const std::string& with) { return text.rfind(with, 0) == 0; }
bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

constexpr const char* kReadinessRequest = "GET /health/ready HTTP/1.1\r\n\r\n";

TEST_CASE("a command is one complete line of known words, and anything else is an error") {
  TestDispatcher served(EndpointEntries{});
  CHECK(starts_with(served.call("readyz\n"), "done"));
  CHECK(starts_with(served.call("  readyz \r\n"), "done"));
  for (const char* line : {"\n", "ready\n", "READYZ\n", "readyz w\n", "evacuate now\n", "exclude\n",
                           "readyz x y\n", "GET /health/ready HTTP/1.1\r\n\r\n"})
    CHECK(starts_with(served.call(line), "error"));
  CHECK(starts_with(served.call(std::string(600, 'x')), "error"));
  // A truncated line: half an id could be that of another worker.
  Peer half = Peer::to(served.node.management_port());
  half.write("evacuate");
  half.socket.shut_down(SHUT_WR);
  CHECK(half.read_some());
  CHECK(starts_with(half.received, "error"));
  CHECK(starts_with(served.call("readyz\n"), "done"));
}

// Guards the answer that is due within a second even if many clients keep a connection without sending a
// whole line.
TEST_CASE("connections without a complete line are closed for the next command, oldest first") {
  TestDispatcher served(EndpointEntries{});
  std::vector<Peer> silent;
  for (std::size_t i = 0; i < 3 * ManagementServer::kMaxConnections; ++i) {
    silent.push_back(Peer::to(served.node.management_port()));
    silent.back().write("ready");
  }
  CHECK(starts_with(served.call("readyz\n"), "done"));
  // Closed without an answer, or told that the line was incomplete.
  while (silent.front().read_some()) {
  }
  CHECK_FALSE(starts_with(silent.front().received, "done"));
}

// Guards the rule on lost jobs: 4 s into an evacuation no client may be left, and every query taken has been
// answered.
TEST_CASE("evacuate closes client links after the front has been told, and activate accepts clients again") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  Peer idle = served.client(), busy = served.client(), silent = served.client();
  idle.write(kReadinessRequest);
  CHECK(starts_with(idle.read_message(), "HTTP/1.1 200 "));
  busy.write(query_text("a1", "refund-payout"));
  Peer link = worker.accept();
  link.read_message();
  CHECK(starts_with(served.call("evacuate\n"), "done"));
  CHECK(starts_with(served.call("evacuate\n"), "done"));
  CHECK(starts_with(served.call("readyz\n"), "error"));
  const std::string no = served.send_query(kReadinessRequest);
  CHECK(starts_with(no, "HTTP/1.1 503 "));
  CHECK(contains(no, "Connection: close\r\n"));
  idle.write("GET /health/live HTTP/1.1\r\n\r\n");  // the connection is still in use
  CHECK(contains(idle.read_message(), "Connection: close\r\n"));
  Peer kept = served.client();
  served.clock.set(kStartTimeMs + 1'600);
  CHECK(silent.is_closed());
  link.write(done_response("a1", "one"));
  const std::string answer = busy.read_message();
  CHECK(answer.ends_with("\r\n\r\none"));
  CHECK(contains(answer, "Connection: close\r\n"));
  CHECK(starts_with(served.call("activate\n"), "done"));
  CHECK(starts_with(served.call("activate\n"), "done"));
  CHECK(starts_with(served.call("readyz\n"), "done"));
  Peer back = served.client();
  for (int i = 0; i < 2; ++i) {
    back.write(kReadinessRequest);
    CHECK(starts_with(back.read_message(), "HTTP/1.1 200 "));
  }
}

// Guards the same rule, and the refusal that such a client must get: a query that arrives in pieces could
// begin at 3 s and still run at 4 s. Covers connections that have served a request and first queries of a
// connection.
TEST_CASE("a query still being received late in an evacuation is refused, and accepted after activate") {
  TestDispatcher served(EndpointEntries{});
  Peer kept = served.client(), mute = served.client(), first = served.client();
  for (Peer* peer : {&kept, &mute}) {
    peer->write(kReadinessRequest);
    peer->read_message();
  }
  const std::string text = query_text("a", "refund-payout");
  for (Peer* peer : {&kept, &mute, &first}) peer->write(text.substr(0, 30));
  served.call("evacuate\n");
  served.clock.set(kStartTimeMs + 1'790);
  Peer late = served.client();
  late.write(text.substr(0, 30));
  served.clock.set(kStartTimeMs + 1'900);
  CHECK(contains(first.read_message(), "sent away"));  // without another byte from it
  CHECK(contains(late.read_message(), "sent away"));
  CHECK(contains(mute.read_message(), "sent away"));  // also on a connection that has served a request
  kept.write(text.substr(30));
  CHECK(contains(kept.read_message(), "sent away"));
  served.call("activate\n");
  Peer back = served.client();
  back.write(text.substr(0, 30));
  served.clock.set(kStartTimeMs + 3'700);
  back.write(text.substr(30));
  CHECK(contains(back.read_message(), "refused"));  // by the module: there is no worker
}

TEST_CASE("an idle link is closed in an evacuation, and activate does not undo SIGTERM") {
  TestDispatcher served(EndpointEntries{});
  Peer idle = served.client();
  idle.write(kReadinessRequest);
  idle.read_message();
  served.call("evacuate\n");
  served.clock.set(kStartTimeMs + 400);
  CHECK(idle.is_closed());
  std::atomic<bool> ended{false};
  std::thread end([&] {
    served.node.shut_down();
    ended = true;
  });
  while (!contains(served.call("activate\n"), "ending")) {
  }
  CHECK(starts_with(served.call("readyz\n"), "error"));
  while (!ended) served.clock.set(served.clock.now() + 1);
  end.join();
}

}  // namespace
}  // namespace woadtide
