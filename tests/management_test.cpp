// The second address, against callers over loopback.
#include <atomic>
#include <thread>

#include "node_harness.hpp"

namespace woadtide {
namespace {

using net::Management;

bool starts(const std::string& text, const std::string& with) { return text.rfind(with, 0) == 0; }
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

constexpr const char* kAskReady = "GET /health/ready HTTP/1.1\r\n\r\n";

TEST_CASE("a call is one whole line of known words, and anything else is an error") {
  Served served(Hosts{});
  CHECK(starts(served.call("readyz\n"), "done"));
  CHECK(starts(served.call("  readyz \r\n"), "done"));
  for (const char* line : {"\n", "ready\n", "READYZ\n", "readyz w\n", "evacuate now\n", "exclude\n",
                           "readyz x y\n", "GET /health/ready HTTP/1.1\r\n\r\n"})
    CHECK(starts(served.call(line), "error"));
  CHECK(starts(served.call(std::string(600, 'x')), "error"));
  // Broken off: half an id could be another's.
  Peer half = Peer::to(served.node.management_port());
  half.write("evacuate");
  half.socket.shut(SHUT_WR);
  CHECK(half.read_some());
  CHECK(starts(half.come, "error"));
  CHECK(starts(served.call("readyz\n"), "done"));
}

// Guards the answer that is owed in a second: callers that keep a link and say nothing whole are many.
TEST_CASE("callers without a whole line give way to the next call, oldest first") {
  Served served(Hosts{});
  std::vector<Peer> silent;
  for (std::size_t i = 0; i < 3 * Management::kMostCallers; ++i) {
    silent.push_back(Peer::to(served.node.management_port()));
    silent.back().write("ready");
  }
  CHECK(starts(served.call("readyz\n"), "done"));
  // Cut off without a word, or told that nothing whole came.
  while (silent.front().read_some()) {
  }
  CHECK_FALSE(starts(silent.front().come, "done"));
}

// Guards the rule on lost jobs: at 4 s no client may be here, and whatever was taken is answered.
TEST_CASE("evacuate closes links once the front has heard, and activate takes clients again") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  Peer idle = served.client(), busy = served.client(), silent = served.client();
  idle.write(kAskReady);
  CHECK(starts(idle.message(), "HTTP/1.1 200 "));
  busy.write(query_text("a1", "refund-payout"));
  Peer link = worker.accept();
  link.message();
  CHECK(starts(served.call("evacuate\n"), "done"));
  CHECK(starts(served.call("evacuate\n"), "done"));
  CHECK(starts(served.call("readyz\n"), "error"));
  const std::string no = served.ask(kAskReady);
  CHECK(starts(no, "HTTP/1.1 503 "));
  CHECK(has(no, "Connection: close\r\n"));
  idle.write("GET /health/live HTTP/1.1\r\n\r\n");  // still in use
  CHECK(has(idle.message(), "Connection: close\r\n"));
  Peer kept = served.client();
  served.clock.set(kNow + 1'600);
  CHECK(silent.closed());
  link.write(done("a1", "one"));
  const std::string answer = busy.message();
  CHECK(answer.ends_with("\r\n\r\none"));
  CHECK(has(answer, "Connection: close\r\n"));
  CHECK(starts(served.call("activate\n"), "done"));
  CHECK(starts(served.call("activate\n"), "done"));
  CHECK(starts(served.call("readyz\n"), "done"));
  Peer back = served.client();
  for (int i = 0; i < 2; ++i) {
    back.write(kAskReady);
    CHECK(starts(back.message(), "HTTP/1.1 200 "));
  }
}

// Guards the same rule, and the word that such a client is owed: a query that comes in pieces could begin at
// 3 s and be at work at 4 s. On a link that has served, and as a link's first.
TEST_CASE("a query that is still coming in late in an evacuation is refused, and taken after activate") {
  Served served(Hosts{});
  Peer kept = served.client(), mute = served.client(), first = served.client();
  for (Peer* peer : {&kept, &mute}) {
    peer->write(kAskReady);
    peer->message();
  }
  const std::string text = query_text("a", "refund-payout");
  for (Peer* peer : {&kept, &mute, &first}) peer->write(text.substr(0, 30));
  served.call("evacuate\n");
  served.clock.set(kNow + 1'790);
  Peer late = served.client();
  late.write(text.substr(0, 30));
  served.clock.set(kNow + 1'900);
  CHECK(has(first.message(), "sent away"));  // without another byte from it
  CHECK(has(late.message(), "sent away"));
  CHECK(has(mute.message(), "sent away"));  // on a link that has served, too
  kept.write(text.substr(30));
  CHECK(has(kept.message(), "sent away"));
  served.call("activate\n");
  Peer back = served.client();
  back.write(text.substr(0, 30));
  served.clock.set(kNow + 3'700);
  back.write(text.substr(30));
  CHECK(has(back.message(), "refused"));  // by the module: there is no worker
}

TEST_CASE("an idle link is closed in an evacuation, and its end by SIGTERM cannot be undone") {
  Served served(Hosts{});
  Peer idle = served.client();
  idle.write(kAskReady);
  idle.message();
  served.call("evacuate\n");
  served.clock.set(kNow + 400);
  CHECK(idle.closed());
  std::atomic<bool> ended{false};
  std::thread end([&] {
    served.node.finish();
    ended = true;
  });
  while (!has(served.call("activate\n"), "ending")) {
  }
  CHECK(starts(served.call("readyz\n"), "error"));
  while (!ended) served.clock.set(served.clock.now() + 1);
  end.join();
}

}  // namespace
}  // namespace woadtide
