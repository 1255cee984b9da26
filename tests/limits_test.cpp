// Clauses of the operators' pages at their limits, on real connections: docs/terms-audit.md names each.
#include "node_harness.hpp"

namespace woadtide {
namespace {

// Real time, for what must not come.
constexpr int kNothingMs = 200;

std::string with_budget(std::string request, const std::string& budget) {
  return request.replace(request.find("5000m"), 5, budget);
}

// A request's time counts from its last byte, which came while another one was at work.
TEST_CASE("a request that waited behind another one for longer than it has goes to no worker") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("a1", "receipt-check"));
  Peer link = worker.accept();
  link.message();
  client.write(with_budget(query_text("a2", "receipt-check"), "300m"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // for the event loop to hear of it
  served.clock.set(kNow + 400);
  link.write(done("a1", "one"));
  CHECK(client.message().ends_with("\r\n\r\none"));
  CHECK(client.message().starts_with("HTTP/1.1 50"));
  CHECK_FALSE(comes(link.socket, kNothingMs));
}

// The same for one that came whole with the bytes of the one before.
TEST_CASE("a request that came with another one has its time from then on") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("a1", "receipt-check") + with_budget(query_text("a2", "receipt-check"), "1000m"));
  Peer link = worker.accept();
  link.message();
  served.clock.set(kNow + 400);
  link.write(done("a1", "one"));
  CHECK(client.message().ends_with("\r\n\r\none"));
  const std::string attempt = link.message();
  const std::size_t told = attempt.find("X-Budget: ") + 10;
  CHECK(std::stoi(attempt.substr(told)) <= 600);
  link.write(done("a2", "two"));
  CHECK(client.message().ends_with("\r\n\r\ntwo"));
}

// The one behind a request that had waited comes when it comes.
TEST_CASE(
    "a request that came while its connection rested has all of its time, whatever waited there before") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("a1", "receipt-check"));
  Peer link = worker.accept();
  link.message();
  client.write(query_text("a2", "receipt-check"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // for the event loop to hear of it
  for (const char* id : {"a1", "a2"}) {
    link.write(done(id, id));
    CHECK(client.message().ends_with(id));
    if (std::string(id) == "a1") link.message();
  }
  served.clock.set(kNow + 4'000);
  client.write(query_text("a3", "receipt-check"));
  CHECK(link.message().find("X-Budget: 5000m") != std::string::npos);
}

// STANDING: requests that cross the end of a resting connection, whatever ends it.
TEST_CASE("a request that comes as its resting connection's time ends is answered") {
  constexpr int kTimes = 20;
  constexpr double kIdleMs = 120'000;  // as net::ClientSide has it
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())});
  for (int i = 0; i < kTimes; ++i) {
    Peer client = served.client();
    client.write("GET /health/live HTTP/1.1\r\n\r\n");
    CHECK(client.message().starts_with("HTTP/1.1 200 "));
    // Refused at once: its class has no such budget left by then, whichever of the two is seen first.
    client.write(with_budget(query_text("a" + std::to_string(i), "receipt-check"), "0m"));
    served.clock.set(served.clock.now() + kIdleMs);
    CHECK(client.message().starts_with("HTTP/1.1 503 "));
  }
}

// STANDING: where lists are pushed, what the agent has counts as told from the first moment of a new process.
TEST_CASE("a process whose agent has told it nothing sends nothing by the list that it remembers") {
  Port worker;
  Served served(Hosts{host_json("w", worker.dial())}, [](nlohmann::json& config) {
    config["settings"]["Discovery"] = "pushed";
    config["discovery"] = "127.0.0.1:1";
  });
  CHECK(served.ask(query_text("a1", "receipt-check")).starts_with("HTTP/1.1 503 "));
  CHECK_FALSE(comes(worker.socket, kNothingMs));
}

// PROTOCOL: SIGKILL comes no sooner than the longest deadline plus 0.7 s after SIGTERM.
TEST_CASE("an end before the first list answers all and is over in time, however short the deadlines") {
  constexpr double kDeadlineMs = 300, kKillMs = kDeadlineMs + 700;
  Port worker, discovery;
  nlohmann::json config = config_json(Hosts{host_json("w", worker.dial())}, discovery.dial());
  for (nlohmann::json& kind : config["settings"]["Categories"])
    kind["DeadlineUs"] = static_cast<int>(kDeadlineMs * 1'000);
  core::Clock clock;
  Node node(core::read_config(config), clock);
  Peer before = Peer::to(node.port()), during = Peer::to(node.port());
  before.write(with_budget(query_text("a1", "refund-payout"), "300m"));
  const double told = clock.now();
  std::thread end([&] { node.finish(); });
  CHECK(before.message().starts_with("HTTP/1.1 503 "));
  during.write(with_budget(query_text("a2", "refund-payout"), "300m"));
  CHECK(during.message().starts_with("HTTP/1.1 503 "));
  end.join();
  CHECK(clock.now() - told < kKillMs);
}

}  // namespace
}  // namespace woadtide
