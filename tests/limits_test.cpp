// Clauses of the operators' pages at their limits, on real connections: docs/terms-audit.md names each.
#include <poll.h>

#include <array>
#include <cstdio>

#include "node_harness.hpp"

namespace woadtide {
namespace {

using net::Socket;

// Real time, for what must not come.
constexpr int kNothingMs = 200;

bool comes(const Socket& socket, int within_ms) {
  pollfd one{socket.fd(), POLLIN, 0};
  return ::poll(&one, 1, within_ms) > 0;
}

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

}  // namespace
}  // namespace woadtide
