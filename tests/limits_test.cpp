// Requirements of the operators' documentation at their limits, on real connections; docs/terms-audit.md
// lists them.
#include "node_harness.hpp"

namespace woadtide {
namespace {

// Real time to wait for input that must not arrive.
constexpr int kNoInputMs = 200;

std::string with_budget(std::string request, const std::string& budget) {
  return request.replace(request.find("5000m"), 5, budget);
}

// The budget of a request counts from its last byte, which arrived while another request was being processed.
TEST_CASE("a request that waited behind another one for longer than its budget goes to no worker") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("a1", "receipt-check"));
  Peer link = worker.accept();
  link.read_message();
  client.write(with_budget(query_text("a2", "receipt-check"), "300m"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // so that the event loop notices the bytes
  served.clock.set(kStartTimeMs + 400);
  link.write(done_response("a1", "one"));
  CHECK(client.read_message().ends_with("\r\n\r\none"));
  CHECK(client.read_message().starts_with("HTTP/1.1 50"));
  CHECK_FALSE(has_input(link.socket, kNoInputMs));
}

// The same for a request that arrived complete together with the bytes of the one before it.
TEST_CASE("a request that arrived together with another one has its budget from then on") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("a1", "receipt-check") + with_budget(query_text("a2", "receipt-check"), "1000m"));
  Peer link = worker.accept();
  link.read_message();
  served.clock.set(kStartTimeMs + 400);
  link.write(done_response("a1", "one"));
  CHECK(client.read_message().ends_with("\r\n\r\none"));
  const std::string attempt = link.read_message();
  const std::size_t budget_pos = attempt.find("X-Budget: ") + 10;
  CHECK(std::stoi(attempt.substr(budget_pos)) <= 600);
  link.write(done_response("a2", "two"));
  CHECK(client.read_message().ends_with("\r\n\r\ntwo"));
}

// The time a request waited must not be charged to the next request on the connection.
TEST_CASE("a request that arrives on an idle connection has its full budget, whatever waited there before") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  Peer client = served.client();
  client.write(query_text("a1", "receipt-check"));
  Peer link = worker.accept();
  link.read_message();
  client.write(query_text("a2", "receipt-check"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // so that the event loop notices the bytes
  for (const char* id : {"a1", "a2"}) {
    link.write(done_response(id, id));
    CHECK(client.read_message().ends_with(id));
    if (std::string(id) == "a1") link.read_message();
  }
  served.clock.set(kStartTimeMs + 4'000);
  client.write(query_text("a3", "receipt-check"));
  CHECK(link.read_message().find("X-Budget: 5000m") != std::string::npos);
}

// Protocol rule: requests that arrive while an idle connection is being closed, for whatever reason, are
// answered.
TEST_CASE("a request that arrives as the idle timeout of its connection ends is answered") {
  constexpr int kRepetitions = 20;
  constexpr double kIdleTimeoutMs = 120'000;  // the default of net::ClientLinkContext
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())});
  for (int i = 0; i < kRepetitions; ++i) {
    Peer client = served.client();
    client.write("GET /health/live HTTP/1.1\r\n\r\n");
    CHECK(client.read_message().starts_with("HTTP/1.1 200 "));
    // Refused at once, since its budget is 0, whether the request or the idle timeout is seen first.
    client.write(with_budget(query_text("a" + std::to_string(i), "receipt-check"), "0m"));
    served.clock.set(served.clock.now() + kIdleTimeoutMs);
    CHECK(client.read_message().starts_with("HTTP/1.1 503 "));
  }
}

// Protocol rule: where lists are pushed, what the agent holds counts as delivered from the start of a new
// process.
TEST_CASE("a process whose agent has sent it no list sends nothing to workers of its remembered list") {
  ListeningPort worker;
  TestDispatcher served(EndpointEntries{endpoint_json("w", worker.dial())}, [](nlohmann::json& config) {
    config["settings"]["Discovery"] = "pushed";
    config["discovery"] = "127.0.0.1:1";
  });
  CHECK(served.send_query(query_text("a1", "receipt-check")).starts_with("HTTP/1.1 503 "));
  CHECK_FALSE(has_input(worker.socket, kNoInputMs));
}

// Protocol: SIGKILL follows SIGTERM no sooner than the longest deadline plus 0.7 s.
TEST_CASE("an end before the first list answers all queries in time, however short the deadlines") {
  constexpr double kDeadlineMs = 300, kKillMs = kDeadlineMs + 700;
  ListeningPort worker, discovery;
  nlohmann::json config = config_json(EndpointEntries{endpoint_json("w", worker.dial())}, discovery.dial());
  for (nlohmann::json& kind : config["settings"]["Categories"])
    kind["DeadlineUs"] = static_cast<int>(kDeadlineMs * 1'000);
  core::Clock clock;
  Node node(core::read_config(config), clock);
  Peer before = Peer::to(node.port()), during = Peer::to(node.port());
  before.write(with_budget(query_text("a1", "refund-payout"), "300m"));
  const double ended_at = clock.now();
  std::thread end([&] { node.shut_down(); });
  CHECK(before.read_message().starts_with("HTTP/1.1 503 "));
  during.write(with_budget(query_text("a2", "refund-payout"), "300m"));
  CHECK(during.read_message().starts_with("HTTP/1.1 503 "));
  end.join();
  CHECK(clock.now() - ended_at < kKillMs);
}

}  // namespace
}  // namespace woadtide
