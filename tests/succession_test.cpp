// Two processes of one dispatcher, played by two nodes that were passed the same listening socket.
#include <atomic>
#include <filesystem>
#include <thread>

#include "net/tether.hpp"
#include "net/unix_socket.hpp"
#include "node_harness.hpp"
#include "numbers.hpp"

namespace woadtide {
namespace {

bool starts(const std::string& text, const std::string& with) { return text.rfind(with, 0) == 0; }
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

struct Platform {
  Platform() {
    char name[] = "/tmp/woadtide-test-XXXXXX";
    REQUIRE(::mkdtemp(name));
    folder = name;
    clock.set(kNow);
  }
  ~Platform() { std::filesystem::remove_all(folder); }
  std::unique_ptr<Node> start(Hosts hosts) {
    core::Config config = core::read_config(config_json(std::move(hosts), discovery.dial()));
    config.passed_socket = ::dup(listener.socket.fd());
    config.folder = folder;
    return std::make_unique<Node>(config, clock);
  }
  Peer client() { return Peer::to(listener.socket.port()); }
  // Of one node, however its calls fall.
  static std::string call(const Node& node, const std::string& line) { return call_node(node, line); }

  Port listener, discovery, worker;
  core::Clock clock;
  std::string folder;
};

// Guards what an upgrade must not lose: what the old process has taken is answered, what waits or comes is
// the new one's, and the socket that both listen at outlives the old one.
TEST_CASE("in an upgrade the old process answers what it has, and the new one takes all that comes") {
  Platform platform;
  const Hosts hosts{host_json("w", platform.worker.dial())};
  auto old = platform.start(hosts);
  const Peer watch = confirm_list(platform.discovery, *old);
  Peer busy = platform.client(), idle = platform.client();
  busy.write(query_text("a1", "refund-payout"));
  Peer first = platform.worker.accept();
  first.message();
  idle.write("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(starts(idle.message(), "HTTP/1.1 200 "));
  auto next = platform.start(hosts);
  CHECK(starts(Platform::call(*old, "readyz\n"), "done"));
  await_ready(*next);  // by the list that the old one has
  // Its `ready` goes another way than its answer to us.
  while (!old->hands_over()) std::this_thread::yield();
  std::atomic<bool> ended{false};
  std::thread end([&] {
    old->finish();
    ended = true;
  });
  CHECK(idle.closed());
  CHECK(starts(Platform::call(*old, "readyz\n"), "error"));
  Peer late = platform.client();
  late.write("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(starts(late.message(), "HTTP/1.1 200 "));
  // Guards a payout against a second run: its id is in work at the other process.
  late.write(query_text("a1", "refund-payout"));
  CHECK(starts(late.message(), "HTTP/1.1 400 "));
  first.write(done("a1", "one"));
  const std::string answer = busy.message();
  CHECK(answer.ends_with("\r\n\r\none"));
  CHECK(has(answer, "Connection: close\r\n"));
  while (!ended) platform.clock.set(platform.clock.now() + 1);
  end.join();
  old.reset();
  Peer after = platform.client();
  after.write("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(starts(after.message(), "HTTP/1.1 200 "));
}

TEST_CASE("a ban holds across an upgrade, and while both live a call to one holds at the other") {
  Platform platform;
  const Hosts hosts{host_json("w", platform.worker.dial())};
  auto old = platform.start(hosts);
  const Peer watch = confirm_list(platform.discovery, *old);
  CHECK(starts(Platform::call(*old, "exclude w\n"), "done"));
  CHECK(starts(Platform::call(*old, "exclude v\n"), "error"));
  auto next = platform.start(hosts);
  await_ready(*next);
  old.reset();
  const auto ask = [&](const std::string& id) {
    Peer link = platform.client();
    link.write(query_text(id, "refund-payout"));
    return link.message();
  };
  CHECK(starts(ask("b1"), "HTTP/1.1 503 "));
  auto third = platform.start(hosts);
  CHECK(starts(Platform::call(*third, "include w\n"), "done"));
  third.reset();  // the word goes out all the same
  while (!has(Platform::call(*next, "telemetry\n"), "app.ejected:0|g\n")) std::this_thread::yield();
  Peer client = platform.client();
  client.write(query_text("b2", "refund-payout"));
  Peer link = platform.worker.accept();
  link.message();
  link.write(done("b2", "ok"));
  CHECK(starts(client.message(), "HTTP/1.1 200 "));
}

TEST_CASE(
    "what an ended process left in the folder does no harm, and a descriptor that does not listen is "
    "refused") {
  Platform platform;
  platform.start({}).reset();
  CHECK_FALSE(std::filesystem::is_empty(platform.folder));
  auto node = platform.start({});
  CHECK_FALSE(node->hands_over());
  platform.clock.set(kNow + 6'000);  // no list comes
  await_ready(*node);
  Peer link = platform.client();
  CHECK_THROWS_AS(net::Socket::adopt_listener(link.socket.fd()), std::runtime_error);
  CHECK_THROWS_AS(net::Socket::adopt_listener(12345), std::runtime_error);
}

// Guards cold workers' use in an upgrade: the old process kept half of the turns at them and sent nothing.
TEST_CASE("one that takes clients no more leaves its turns at cold workers to the other") {
  Platform platform;
  core::Inbox old_inbox, next_inbox;
  const auto unused = [](std::size_t) {};
  park::Park park(platform.clock);
  net::Succession old(platform.clock, old_inbox, park, unused),
      next(platform.clock, next_inbox, park, unused);
  const auto await = [](core::Inbox& inbox, int sharers) {
    for (int tries = 0; tries < 100; ++tries, inbox.wait(100))
      for (const core::Message& message : inbox.take())
        if (const auto* told = std::get_if<core::Sharers>(&message); told && told->processes == sharers)
          return;
    FAIL("never " << sharers);
  };
  old.meet(platform.folder, "s", 0);
  old.set_ready(true);
  next.meet(platform.folder, "s", 0);
  await(next_inbox, 2);
  await(old_inbox, 1);
  next.set_ready(true);
  await(old_inbox, 2);
  old.set_ready(false);
  await(next_inbox, 1);
  old.set_ready(true);
  await(next_inbox, 2);
  next.end();
  await(old_inbox, 1);
}

TEST_CASE("two processes share one budget") {
  for (const std::size_t allowed : {128, 256, 1024})
    for (const std::size_t memory_mb : {16, 32, 192}) {
      const Budget both(allowed, memory_mb, 2), alone(allowed, memory_mb);
      CHECK(2 * (both.client_links + both.server_links) <= alone.client_links + alone.server_links);
      CHECK(2 * both.client_buffers <= alone.client_buffers + 32);
    }
}

// Guards the drain rule across an upgrade: what the old process was told counts as told to both, and the new
// one may have no watch yet, or none of it may work.
TEST_CASE(
    "a drain and a worker's end that the old process was told hold at the new one, whatever its config "
    "remembers") {
  Platform platform;
  Port other;
  const Hosts hosts{host_json("w", platform.worker.dial()), host_json("gone", other.dial())};
  auto old = platform.start(hosts);
  Peer watch = platform.discovery.accept();
  watch.message();
  watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string line =
      nlohmann::json{
          {"seq", 50}, {"whole", true}, {"hosts", {host_json("w", platform.worker.dial(), "Terminating")}}}
          .dump() +
      "\n";
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size());
  watch.write(size + line + "\r\n");
  while (!has(Platform::call(*old, "telemetry\n"), "app.discovered:1|g")) std::this_thread::yield();
  auto next = platform.start(hosts);  // nobody answers its watch
  while (!has(Platform::call(*next, "telemetry\n"), "app.discovered:1|g")) std::this_thread::yield();
  old.reset();
  Peer client = platform.client();
  client.write(query_text("a1", "receipt-check"));
  CHECK(starts(client.message(), "HTTP/1.1 503 "));
  CHECK(has(Platform::call(*next, "telemetry\n"), "app.forwards.receipt-check:0|c"));
}

// Guards what is told while both live: the new one's own watch may be slower.
TEST_CASE("a drain that comes to one process while both live is told to the other") {
  Platform platform;
  const Hosts hosts{host_json("w", platform.worker.dial())};
  auto old = platform.start(hosts);
  Peer watch = platform.discovery.accept();
  watch.message();
  watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  auto next = platform.start(hosts);
  const std::string line = "{\"seq\":50,\"whole\":true,\"hosts\":[]}\n";
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size());
  watch.write(size + line + "\r\n");
  while (!has(Platform::call(*next, "telemetry\n"), "app.discovered:0|g")) std::this_thread::yield();
  CHECK(has(Platform::call(*old, "telemetry\n"), "app.discovered:0|g"));
}

// Guards that one step of skew works, and more is refused in words.
TEST_CASE("a process that says no version goes together with this one; one two steps away does not") {
  for (const auto& [said, version] :
       {std::pair{"told\n", 0}, {"version 3\ntold\nlater-word x\n", 0}, {"version 4\ntold\n", 4}}) {
    CAPTURE(said);
    Platform platform;
    const Hosts hosts{host_json("w", platform.worker.dial())};
    const core::Config config = core::read_config(config_json(hosts, platform.discovery.dial()));
    char name[40];
    std::snprintf(name, sizeof name, "woadtide-%016llx",
                  static_cast<unsigned long long>(hash_of(config.name + ' ' + config.listen)));
    const net::UnixPlace place(platform.folder, name), fresh(platform.folder, "fresh");
    const net::Socket listener = net::listen_over(place, fresh);
    REQUIRE(listener);
    net::Socket link;
    std::atomic<bool> over{false};
    std::thread other([&] {
      while (!link && !over) {
        link = net::Socket{net::Fd(::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC))};
        std::this_thread::yield();
      }
      if (link) link.send_some({said});
    });
    if (version == 0) {
      CHECK_NOTHROW(platform.start(hosts));
    } else {
      CHECK_THROWS_WITH_AS(
          platform.start(hosts),
          "the running process speaks version 4 of the protocol between processes, this one 2: versions may "
          "differ by one",
          std::runtime_error);
    }
    over = true;
    other.join();
  }
}

// Guards that a supervisor that was started again gets the socket back, and learns of the end.
TEST_CASE("a tether passes the listening socket, says what runs, and ends with the process") {
  Platform platform;
  core::Config config = core::read_config(config_json(Hosts{}, platform.discovery.dial()));
  config.passed_socket = ::dup(platform.listener.socket.fd());
  config.tether = platform.folder + "/tether";
  config.version = "9.9";
  auto node = std::make_unique<Node>(config, platform.clock);
  net::Tethered found = net::reach(config.tether, 2'000);
  REQUIRE(found.link);
  CHECK(found.pid == ::getpid());
  CHECK(found.line == "9.9 kin 2 settings none");
  CHECK(found.listener.port() == platform.listener.socket.port());
  CHECK(Platform::call(*node, "version\n") == "done 9.9 kin 2 settings none\n");
  // More callers than places: the oldest link ends, the newest stands.
  std::vector<net::Tethered> more;
  for (std::size_t i = 0; i < net::Tether::kMostCallers; ++i)
    more.push_back(net::reach(config.tether, 2'000));
  char byte = 0;
  std::size_t got = 0;
  core::Clock real;
  CHECK(found.link.receive(&byte, 1, got, real.now() + 2'000, real) == net::Io::ended);
  CHECK(more.back().link.receive(&byte, 1, got) == net::Io::late);
  node.reset();
  CHECK(more.back().link.receive(&byte, 1, got, real.now() + 2'000, real) == net::Io::ended);
  CHECK_FALSE(net::reach(config.tether, 100).link);
}

}  // namespace
}  // namespace woadtide
