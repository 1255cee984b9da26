// Guarantees of a whole dispatcher over real connections when events happen in the worst order: clients that
// leave before another attempt, exhausted descriptors, late lists, and peers that reset or stay silent.
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>

#include "node_harness.hpp"

namespace woadtide {
namespace {

// Real time. An attempt may begin up to 0.1 s after its client has gone; none begins within twice that.
constexpr int kNoAttemptMs = 200;
// Real time. The kernel repeats an unanswered connect after 1 s.
constexpr int kConnectRepeatMs = 1'500;
// As in the dispatcher: a watch is silent once two lines of discovery, each due within 2 s, did not come.
constexpr double kListSilenceMs = 4'000;

std::string list_line(int seq, bool whole, EndpointEntries hosts) {
  return nlohmann::json{{"seq", seq}, {"whole", whole}, {"hosts", std::move(hosts)}}.dump();
}

// Sends one more line on an open watch.
void send_line(Peer& list, const std::string& line) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", line.size() + 1);
  list.write(size.data() + line + "\n\r\n");
}

std::string failed(const std::string& id) {
  return chunked_response({event_line(id, "failed")}) + "0\r\n\r\n";
}

// A worker's response after which it closes the connection: the next attempt there needs a connect.
std::string done_and_close(const std::string& id, const std::string& result) {
  std::string text = done_response(id, result);
  return text.insert(text.find("Transfer-Encoding"), "Connection: close\r\n");
}

// Waits for a metric of the dispatcher. Everything that the event loop had before the call has been processed
// by then.
void await_metric(TestDispatcher& served, const std::string& name, std::size_t value) {
  const std::string line = "app." + name + ":" + std::to_string(value) + "|";
  wait_until([&] { return served.call("telemetry\n").find(line) != std::string::npos; });
}

// Workers "w0", "w1" and so on, any of which may get an attempt.
struct Workers {
  explicit Workers(std::size_t count) : ports(count) {}
  std::string dial(std::size_t which) const { return ports[which].dial(); }
  nlohmann::json host(std::size_t which, const char* health = "Ready") const {
    return endpoint_json("w" + std::to_string(which), dial(which), health);
  }
  EndpointEntries hosts() const {
    EndpointEntries all;
    for (std::size_t i = 0; i < ports.size(); ++i) all.push_back(host(i));
    return all;
  }
  // Index of the worker that gets the next connection.
  std::size_t next() {
    std::vector<pollfd> listeners;
    for (const ListeningPort& port : ports) listeners.push_back({port.socket.fd(), POLLIN, 0});
    REQUIRE_MESSAGE(::poll(listeners.data(), listeners.size(), 10'000) > 0, "no worker got a connection");
    const auto found = std::find_if(listeners.begin(), listeners.end(),
                                    [](const pollfd& listener) { return listener.revents != 0; });
    return static_cast<std::size_t>(found - listeners.begin());
  }
  // From here on connects to it wait: one connection that nobody accepts fills the kernel's queue.
  void hold_connects(std::size_t which) {
    REQUIRE(::listen(ports[which].socket.fd(), 0) == 0);
    fillers.push_back(Peer::to(ports[which].socket.port()));
  }
  void take_connects(std::size_t which) {
    REQUIRE(::listen(ports[which].socket.fd(), 16) == 0);
    ports[which].accept();
  }
  // Whether a connect to it is waiting.
  bool connect_waits(std::size_t which) const {
    std::array<char, 32> wanted{};
    std::snprintf(wanted.data(), wanted.size(), "0100007F:%04X 02 ",
                  static_cast<unsigned>(ports[which].socket.port()));
    std::ifstream table("/proc/self/net/tcp");
    for (std::string line; std::getline(table, line);)
      if (line.find(wanted.data()) != std::string::npos) return true;
    return false;
  }

  std::vector<ListeningPort> ports;
  std::vector<Peer> fillers;
};

// Sends a request on its own connection and serves it from one of the workers. Returns the worker's index.
std::size_t serve_one(TestDispatcher& served, Workers& workers, const std::string& id) {
  Peer client = served.client();
  client.write(query_text(id, "receipt-check"));
  const std::size_t which = workers.next();
  Peer link = workers.ports[which].accept();
  link.read_message();
  link.write(done_and_close(id, "ok " + id));
  CHECK(client.read_message().ends_with("ok " + id));
  return which;
}

// Clients that have left ---------------------------------------------------------------------------------

// The client that stays proves that another attempt would have been made.
enum class Client { stays, closes, half_closes, resets };
constexpr Client kClients[] = {Client::stays, Client::closes, Client::half_closes, Client::resets};

void reset_connection(Peer& peer) {
  const linger at_once{1, 0};
  ::setsockopt(peer.socket.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  peer.socket = net::Socket{};
}

// A request that may be repeated; its first attempt is running on one of the workers.
struct FirstAttempt {
  static constexpr const char* kId = "a1";
  explicit FirstAttempt(std::size_t count, const TestDispatcher::ConfigEdit& edit = {},
                        park::ThreadPool::ThreadFactory start = {}, int requests_before = 0)
      : workers(count), served(workers.hosts(), edit, std::move(start)) {
    for (int i = 0; i < requests_before; ++i) serve_one(served, workers, "b" + std::to_string(i));
    client = served.client();
    client->write(query_text(kId, "receipt-check"));
    first = workers.next();
    link = workers.ports[first].accept();
    link->read_message();
  }
  // When it returns, the dispatcher has noticed that the client left.
  void leave(Client how) {
    if (how == Client::stays) return;
    if (how == Client::closes) client.reset();
    if (how == Client::half_closes) client->socket.shut_down(SHUT_WR);
    if (how == Client::resets) reset_connection(*client);
    await_metric(served, "outstanding", 0);
  }
  // Another attempt is made there for a client that stays, and for no other.
  void check_further_attempt(Client how, std::size_t where, int within_ms) {
    if (how != Client::stays) {
      CHECK_FALSE(has_input(workers.ports[where].socket, within_ms));
      return;
    }
    Peer again = workers.ports[where].accept();
    CHECK(again.read_message().ends_with("\r\n\r\npay"));
    again.write(done_response(kId, "further"));
    CHECK(client->read_message().ends_with("\r\n\r\nfurther"));
  }

  Workers workers;
  TestDispatcher served;
  std::optional<Peer> client, link;
  std::size_t first = 0;
};

TEST_CASE("an attempt that fails after its client has left is not followed by another") {
  for (const Client how : kClients) {
    CAPTURE(static_cast<int>(how));
    FirstAttempt attempt(2);
    attempt.leave(how);
    attempt.link->write(failed(FirstAttempt::kId));
    attempt.check_further_attempt(how, 1 - attempt.first, kNoAttemptMs);
  }
}

TEST_CASE("another attempt that waits for its connect does not begin once its client has left") {
  for (const Client how : kClients) {
    CAPTURE(static_cast<int>(how));
    FirstAttempt attempt(2);
    const std::size_t other = 1 - attempt.first;
    attempt.workers.hold_connects(other);
    attempt.link->write(failed(FirstAttempt::kId));
    wait_until([&] { return attempt.workers.connect_waits(other); });
    attempt.leave(how);
    attempt.workers.take_connects(other);
    attempt.check_further_attempt(how, other, kConnectRepeatMs);
  }
}

// Pool threads that are started while `hold_new_threads` is set, and wait before their first task until
// released.
struct HeldThreads {
  park::ThreadPool::ThreadFactory start() {
    return [this](const std::string& name, std::function<void()> body) {
      if (!hold_new_threads) return park::Thread(name, std::move(body));
      held_count += 1;
      return park::Thread(name, [released = released, body = std::move(body)] {
        released.wait();
        body();
      });
    };
  }
  std::atomic<bool> hold_new_threads{false};
  std::atomic<int> held_count{0};
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
};

// Returns false if a thread that had just become idle took the attempt, so that it was not held.
bool check_attempt_held_by_thread(Client how) {
  const auto threads = std::make_unique<HeldThreads>();
  FirstAttempt attempt(2, {}, threads->start());
  struct ReleaseAtEnd {  // also if a check has thrown
    ~ReleaseAtEnd() {
      if (!released) threads.release.set_value();
    }
    HeldThreads& threads;
    bool released = false;
  } end{*threads};
  // Commands that never complete occupy the idle threads until a new one is needed.
  threads->hold_new_threads = true;
  std::vector<Peer> callers;
  while (threads->held_count == 0) {
    REQUIRE(callers.size() < net::ManagementServer::kMaxConnections / 2);
    callers.push_back(Peer::to(attempt.served.node.management_port()));
    callers.back().write("read");
    has_input(callers.back().socket,
              50);  // nothing arrives: this is the time in which the command gets a thread
  }
  const int callers_held = threads->held_count;
  const std::size_t other = 1 - attempt.first;
  attempt.link->write(failed(FirstAttempt::kId));
  wait_until([&] {
    return threads->held_count > callers_held || has_input(attempt.workers.ports[other].socket, 0);
  });
  threads->hold_new_threads = false;
  if (threads->held_count == callers_held) return false;
  attempt.leave(how);
  threads->release.set_value();
  end.released = true;
  attempt.check_further_attempt(how, other, kNoAttemptMs);
  return true;
}

TEST_CASE("another attempt that waits for a thread does not begin once its client has left") {
  for (const Client how : kClients) {
    CAPTURE(static_cast<int>(how));
    int tries = 0;
    while (!check_attempt_held_by_thread(how)) REQUIRE(++tries < 10);
  }
}

// The second attempt is on a worker that drains meanwhile, so that the request would move on to a third one.
TEST_CASE("another attempt whose worker drains moves to no third worker once its client has left") {
  for (const Client how : kClients) {
    CAPTURE(static_cast<int>(how));
    FirstAttempt attempt(3);
    Workers& workers = attempt.workers;
    Peer& list = *attempt.served.watch;
    const std::size_t others[] = {(attempt.first + 1) % 3, (attempt.first + 2) % 3};
    for (const std::size_t other : others) workers.hold_connects(other);
    attempt.link->write(failed(FirstAttempt::kId));
    wait_until([&] { return workers.connect_waits(others[0]) || workers.connect_waits(others[1]); });
    const std::size_t second = workers.connect_waits(others[0]) ? others[0] : others[1];
    const std::size_t third = 3 - attempt.first - second;
    const nlohmann::json other_host = endpoint_json("more", "127.0.0.1:1", "Terminating");
    send_line(list, list_line(42, false, {workers.host(second, "Terminating"), other_host}));
    await_metric(attempt.served, "discovered", 4);
    attempt.leave(how);
    for (const std::size_t other : others) workers.take_connects(other);
    if (how == Client::stays) CHECK(workers.ports[second].accept().is_closed());
    attempt.check_further_attempt(how, third, kConnectRepeatMs);
    CHECK_FALSE(has_input(workers.ports[second].socket, 0));
  }
}

// An attempt that does not start in time is cancelled, and the request goes to another worker.
TEST_CASE(
    "when an attempt has not started in time, a request whose client has left goes to no other worker") {
  const auto moves = [](nlohmann::json& config) {
    config["settings"]["Domain"]["TellsStart"] = true;
    config["settings"]["PolicyLimits"]["Cancel"] = true;
  };
  constexpr int kRequestsBeforeMove = 6;  // requests: one in five may be moved
  for (const Client how : kClients) {
    CAPTURE(static_cast<int>(how));
    FirstAttempt attempt(2, moves, {}, kRequestsBeforeMove);
    const std::size_t other = 1 - attempt.first;
    attempt.leave(how);
    for (const double passed : {110, 220, 330}) {
      attempt.served.clock.set(kStartTimeMs + passed);
      if (has_input(attempt.workers.ports[other].socket, kNoAttemptMs)) break;
    }
    attempt.check_further_attempt(how, other, kNoAttemptMs);
  }
}

// Descriptors --------------------------------------------------------------------------------------------

// Limits this process to `count` more descriptors during its lifetime.
struct DescriptorLimit {
  explicit DescriptorLimit(std::size_t count) {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit limit = before;
    for (limit.rlim_cur = 0; count > 0; ++limit.rlim_cur)
      if (::fcntl(static_cast<int>(limit.rlim_cur), F_GETFD) < 0) count -= 1;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before); }
  rlimit before{};
};

// Guards against an outage that outlives its cause: when clients and workers that do not respond use all
// connections that the limits allow, recovery needs descriptors of its own.
TEST_CASE("idle clients and silent workers leave descriptors for the watch, a new worker and management") {
  constexpr std::size_t kSockets = 160, kMemoryMb = 192, kWorkers = 12;
  const ResourceBudget budget(kSockets, kMemoryMb);
  const std::size_t busy_count = budget.server_links - 2, idle_count = budget.client_links - busy_count;
  ListeningPort silent, fresh;
  const net::Address anywhere("127.0.0.1:0");
  const net::Socket discovery = net::Socket::create(anywhere);  // bound, but down until it listens
  REQUIRE(::bind(discovery.fd(), reinterpret_cast<const sockaddr*>(&anywhere.storage), anywhere.length) == 0);
  EndpointEntries hosts;
  for (std::size_t i = 0; i < kWorkers; ++i)
    hosts.push_back(endpoint_json("silent" + std::to_string(i), silent.dial()));
  // The test's own descriptors are all open before those of the dispatcher are counted.
  std::vector<Peer> busy, idle;
  for (std::size_t i = 0; i < busy_count; ++i) busy.emplace_back(net::Socket::create(anywhere));
  for (std::size_t i = 0; i < idle_count; ++i) idle.emplace_back(net::Socket::create(anywhere));
  Peer last(net::Socket::create(anywhere));
  std::vector<net::Fd> spare;  // for the connections that the test accepts, and for its commands
  for (int i = 0; i < 3; ++i) spare.emplace_back(::dup(0));
  const DescriptorLimit limit(kSockets + 1);  // and for the listener that every TestDispatcher has
  TestDispatcher served(std::move(hosts), [&](nlohmann::json& config) {
    config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
    config["limits"] = {{"sockets", kSockets}, {"memory_mb", kMemoryMb}};
    config["settings"]["Invariants"]["MustAskInUs"] = 1'000'000;
    for (nlohmann::json& kind : config["settings"]["Categories"])
      kind["DeadlineUs"] = kind["PromiseUs"] = 60'000'000;
  });
  // Discovery is down from the start: the remembered list comes into force because no other one is available.
  for (int i = 0; i < 40; ++i) {
    served.clock.set(served.clock.now() + 100);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  const net::Address front("127.0.0.1:" + std::to_string(served.node.port()));
  const auto request = [](const std::string& id) {
    const std::string text = query_text(id, "receipt-check");
    return std::string(text).replace(text.find("5000m"), 5, "60000m");
  };
  for (std::size_t i = 0; i < busy_count; ++i) {
    REQUIRE(busy[i].socket.connect(front, 5'000));
    busy[i].write(request("busy" + std::to_string(i)));
  }
  const std::string ask_live = "GET /health/live HTTP/1.1\r\n\r\n";
  for (Peer& peer : idle) {
    REQUIRE(peer.socket.connect(front, 5'000));
    peer.write(ask_live);
    CHECK(peer.read_message().starts_with("HTTP/1.1 200 "));
  }
  spare.pop_back();
  await_metric(served, "forwards.receipt-check", busy_count);
  // Discovery is called repeatedly while it is down, and each call takes a descriptor.
  for (int i = 0; i < 20; ++i) {
    served.clock.set(served.clock.now() + 100);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  REQUIRE(::listen(discovery.fd(), 16) == 0);
  for (int tries = 0; !has_input(discovery, 20); ++tries) {
    REQUIRE(tries < 500);
    served.clock.set(served.clock.now() + 100);
  }
  spare.pop_back();
  Peer list(net::Socket(net::Fd(::accept(discovery.fd(), nullptr, nullptr))));
  list.read_message();
  list.write(chunked_response({list_line(42, true, {endpoint_json("fresh", fresh.dial())})}));
  await_metric(served, "discovered", 1);
  CHECK(served.call("readyz\n").starts_with("done"));
  REQUIRE(last.socket.connect(front, 5'000));
  last.write(request("last"));
  spare.pop_back();
  Peer link = fresh.accept();
  link.read_message();
  link.write(done_response("last", "served"));
  CHECK(last.read_message().ends_with("\r\n\r\nserved"));
  // The idle clients stay, except the one that was closed for the last client.
  for (std::size_t i = 1; i < idle_count; ++i) {
    idle[i].write(ask_live);
    CHECK(idle[i].read_message().starts_with("HTTP/1.1 200 "));
  }
}

// Lists --------------------------------------------------------------------------------------------------

// Guards a drain against a change of the discovery address: nothing may go to the worker, whatever sequence
// the new address has.
TEST_CASE("a drain from the new discovery address right after a reload applies to the next request") {
  Workers workers(2);
  TestDispatcher served(workers.hosts());
  Peer& old = *served.watch;
  send_line(old,
            list_line(50, true, {workers.host(0), workers.host(1), endpoint_json("old", "127.0.0.1:1")}));
  await_metric(served, "discovered", 3);
  ListeningPort moved;
  served.node.reload(core::read_config(config_json(workers.hosts(), moved.dial())));
  Peer list = moved.accept();
  CHECK(list.read_message().find("since=50 ") != std::string::npos);
  list.write(chunked_response({list_line(3, true, workers.hosts()),
                               list_line(4, false, {workers.host(0, "Terminating")}),
                               list_line(5, false,
                                         {endpoint_json("new", "127.0.0.1:1", "Terminating"),
                                          endpoint_json("newer", "127.0.0.1:1", "Terminating")})}));
  await_metric(served, "discovered", 4);
  for (int i = 0; i < 8; ++i) CHECK(serve_one(served, workers, "a" + std::to_string(i)) == 1);
  CHECK(old.is_closed());
}

// Guards running requests, and workers that are gone, when no list was received for a while.
TEST_CASE("after a watch with late lines fell silent, the next whole list replaces the current one") {
  Workers workers(2);
  TestDispatcher served(workers.hosts());
  Peer& first = *served.watch;
  send_line(first, list_line(42, true, workers.hosts()));
  // One line every 3 s, late but not silent; then none. Each adds one host, so that its receipt can be
  // observed.
  for (std::size_t i = 1; i <= 3; ++i) {
    served.clock.set(served.clock.now() + 3'000);
    const std::string more = "more" + std::to_string(i);
    send_line(first, list_line(42 + static_cast<int>(i), false,
                               {endpoint_json(more, "127.0.0.1:1", "Terminating")}));
    await_metric(served, "discovered", 2 + i);
  }
  served.clock.set(served.clock.now() + kListSilenceMs);
  Peer second = served.discovery.accept();  // at once: the clock does not advance
  CHECK(second.read_message().find("since=45 ") != std::string::npos);
  CHECK(first.is_closed());
  Peer client = served.client();
  client.write(query_text("a1", "refund-payout"));
  const std::size_t gone = workers.next(), stays = 1 - gone;
  Peer link = workers.ports[gone].accept();
  link.read_message();
  second.write(chunked_response({list_line(45, true, {workers.host(stays)})}));
  await_metric(served, "discovered", 1);
  link.write(done_and_close("a1", "ok"));
  CHECK(client.read_message().ends_with("\r\n\r\nok"));
  for (int i = 0; i < 8; ++i) CHECK(serve_one(served, workers, "b" + std::to_string(i)) == stays);
}

// Guards the first request after a quiet night: the list is as fresh as if there had been requests all along.
TEST_CASE("a process without requests keeps its list current, whatever discovery does") {
  Workers workers(2);
  TestDispatcher served(workers.hosts());
  std::optional<Peer> list = std::move(served.watch);
  send_line(*list, list_line(42, true, workers.hosts()));
  // The watch falls silent, is refused, and ends: discovery is called again each time without a request.
  for (const char* state : {"silent", "refused", "ended"}) {
    CAPTURE(state);
    if (std::string(state) == "refused") list->write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    if (std::string(state) == "ended") list.reset();
    for (int tries = 0; !has_input(served.discovery.socket, 20); ++tries) {
      REQUIRE(tries < 1'000);
      served.clock.set(served.clock.now() + 200);
    }
    list = served.discovery.accept();
    list->read_message();
  }
  const nlohmann::json more = endpoint_json("more", "127.0.0.1:1", "Terminating");
  list->write(chunked_response({list_line(43, false, {workers.host(0, "Terminating"), more})}));
  await_metric(served, "discovered", 3);
  for (int i = 0; i < 8; ++i) CHECK(serve_one(served, workers, "a" + std::to_string(i)) == 1);
}

// Peers --------------------------------------------------------------------------------------------------

std::size_t open_descriptors() {
  const std::filesystem::directory_iterator all("/proc/self/fd");
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

// Guards descriptors, and the remaining clients, against clients that reset right after connecting.
TEST_CASE("clients that reset right after connecting, with half a request or none, leak nothing") {
  Workers workers(1);
  TestDispatcher served(workers.hosts());
  Peer kept = served.client();
  const std::string ask_live = "GET /health/live HTTP/1.1\r\n\r\n";
  kept.write(ask_live);
  kept.read_message();
  const std::size_t before = open_descriptors();
  const std::string text = query_text("r1", "refund-payout");
  for (std::size_t round = 0; round < 200; ++round) {
    Peer client = served.client();
    if (round % 3 > 0) client.write(text.substr(0, text.size() * (round % 3) / 3));
    if (round % 2 > 0) std::this_thread::yield();
    reset_connection(client);
  }
  wait_until([&] { return open_descriptors() <= before; });
  kept.write(ask_live);
  CHECK(kept.read_message().starts_with("HTTP/1.1 200 "));
  CHECK(serve_one(served, workers, "a1") == 0);
}

// Guards messages against any split, and slow ones against the silence timeout of a connection.
TEST_CASE(
    "a request and its response in single bytes pass intact, even if they take longer than the silence "
    "timeout") {
  Workers workers(1);
  TestDispatcher served(workers.hosts());
  const std::string chunked_body =
      "POST /api HTTP/1.1\r\nX-Call-Id: c\r\nX-Call-Class: receipt-check\r\nX-Budget: 5000m\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\npa\r\n1\r\ny\r\n0\r\n\r\n";
  std::optional<Peer> link;  // one connection for both requests
  for (const auto& [id, text] :
       {std::pair<std::string, std::string>{"a", query_text("a", "refund-payout")}, {"c", chunked_body}}) {
    CAPTURE(id);
    Peer client = served.client();
    for (const char byte : text) {
      client.write(std::string(1, byte));
      served.clock.set(served.clock.now() + 20);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    if (!link) link = workers.ports[0].accept();
    CHECK(link->read_message().ends_with("\r\n\r\npay"));
    for (const char byte : done_response(id, "ok")) link->write(std::string(1, byte));
    CHECK(client.read_message().ends_with("\r\n\r\nok"));
  }
}

// Guards the single final answer: it is due at the deadline, whether the worker responds later or never.
TEST_CASE("a request that its worker leaves without a response is answered at its deadline") {
  Workers workers(1);
  for (const char* kind : {"receipt-check", "refund-payout"}) {
    CAPTURE(kind);
    TestDispatcher served(workers.hosts());
    Peer client = served.client();
    client.write(query_text("a1", kind));
    Peer link = workers.ports[0].accept();
    link.read_message();
    served.clock.set(kStartTimeMs + 4'990);
    CHECK_FALSE(has_input(client.socket, kNoAttemptMs));
    served.clock.set(kStartTimeMs + 5'000);
    const std::string answer = client.read_message();
    // Repeating the one is harmless; the outcome of the other is unknown.
    CHECK(answer.starts_with(std::string(kind) == "refund-payout" ? "HTTP/1.1 504 " : "HTTP/1.1 503 "));
    ::send(link.socket.fd(), "HTTP", 4, MSG_NOSIGNAL);  // too late, if it can be sent at all
    CHECK_FALSE(has_input(client.socket, kNoAttemptMs));
    client.write("GET /health/live HTTP/1.1\r\n\r\n");
    CHECK(client.read_message().starts_with("HTTP/1.1 200 "));
  }
}

}  // namespace
}  // namespace woadtide
