// Scripted peers over loopback, all driven from the test's own thread: the kernel holds what the other side
// is not ready for. A read that gets nothing for long fails the test instead of hanging it.
#pragma once

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/time.h>
#include <unistd.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/config.hpp"
#include "core/decision_loop.hpp"
#include "core/log.hpp"
#include "net/host_group.hpp"
#include "net/server_links.hpp"
#include "net/socket.hpp"
#include "node.hpp"

namespace woadtide {

using Hosts = std::vector<nlohmann::json>;

inline constexpr double kNow = 1'700'000'000'000;  // where the tests' clocks stand

// Returns once that is so; fails the test where it does not come to be for long.
inline void await(const std::function<bool()>& done) {
  const core::Clock real;
  for (const double end = real.now() + 10'000; !done();) {
    REQUIRE(real.now() < end);
    std::this_thread::yield();
  }
}

// Whether something has come there, or a connection has.
inline bool comes(const net::Socket& socket, int within_ms) {
  pollfd one{socket.fd(), POLLIN, 0};
  return ::poll(&one, 1, within_ms) > 0;
}

// One side of a link, reading and writing text.
struct Peer {
  explicit Peer(net::Socket from) : socket(std::move(from)) {
    const timeval patience{10, 0};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  }
  static Peer to(int port) {
    const net::Address address("127.0.0.1:" + std::to_string(port));
    net::Socket socket = net::Socket::make(address);
    REQUIRE(socket.connect(address, 5'000));
    return Peer(std::move(socket));
  }
  void write(const std::string& text) {
    REQUIRE(::send(socket.fd(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  bool read_some() {
    char bytes[4096];
    const ssize_t got = ::recv(socket.fd(), bytes, sizeof bytes, 0);
    REQUIRE_MESSAGE((got >= 0 || errno == ECONNRESET), "nothing came");
    if (got > 0) come.append(bytes, static_cast<std::size_t>(got));
    return got > 0;
  }
  // A message with a Content-Length or none.
  std::string message() {
    std::size_t end = 0;
    while ((end = come.find("\r\n\r\n")) == std::string::npos) REQUIRE(read_some());
    const std::size_t field = come.find("Content-Length: ");
    const std::size_t body = field < end ? std::stoul(come.substr(field + 16)) : 0;
    while (come.size() < end + 4 + body) REQUIRE(read_some());
    std::string whole = come.substr(0, end + 4 + body);
    come.erase(0, whole.size());
    return whole;
  }
  bool closed() {
    come.clear();
    return !read_some();
  }

  net::Socket socket;
  std::string come;
};

// A port that a peer listens at: a worker's, or discovery's.
struct Port {
  net::Socket socket = net::Socket::listen_at(net::Address("127.0.0.1:0"));
  std::string dial() const { return "127.0.0.1:" + std::to_string(socket.port()); }
  Peer accept() {
    const timeval patience{10, 0};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    net::Fd fd(::accept(socket.fd(), nullptr, nullptr));
    REQUIRE_MESSAGE(fd, "nobody connected");
    return Peer(net::Socket(std::move(fd)));
  }
};

inline nlohmann::json host_json(const std::string& host, const std::string& dial,
                                const char* health = "Ready") {
  return {{"host", host}, {"dial", dial}, {"health", health}, {"site", "a"}, {"born_ms", 0}};
}

inline nlohmann::json config_json(Hosts hosts, const std::string& discovery) {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", discovery},
          {"management", "127.0.0.1:0"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", 256}}},
          {"known", {{"seq", 41}, {"whole", true}, {"hosts", std::move(hosts)}}},
          {"settings",
           {{"MyZone", "a"},
            {"Discovery", "on_request"},
            {"Invariants", {{"MustAskInUs", 10'000'000}}},
            {"PolicyLimits",
             {{"TryLimit", 5},
              {"RetryAfter", true},
              {"MaxRetryAfterUs", 2'000'000},
              {"DialTimeoutUs", 5'000'000}}},
            {"Categories",
             {{{"Name", "receipt-check"},
               {"Effect", "idempotent"},
               {"DeadlineUs", 8'000'000},
               {"PromiseUs", 400'000}},
              {{"Name", "refund-payout"},
               {"Effect", "at_most_once"},
               {"DeadlineUs", 5'000'000},
               {"PromiseUs", 400'000}}}}}}};
}

inline std::string query_text(const std::string& id, const std::string& kind,
                              const std::string& body = "pay") {
  return "POST /api?user=7f HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: " + kind +
         "\r\nX-Budget: 5000m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunked(const std::vector<std::string>& lines) {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& line : lines) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    text += size + line + "\n\r\n";
  }
  return text;
}
inline std::string event(const std::string& id, const std::string& state, const std::string& more = "") {
  return R"({"id":")" + id + R"(","from":"w","state":")" + state + '"' + more + "}";
}
inline std::string done(const std::string& id, const std::string& result) {
  return chunked({event(id, "started"), event(id, "done", R"(,"result":")" + result + '"')}) + "0\r\n\r\n";
}

// One line to a node's second address, and all of its answer.
inline std::string call_node(const Node& node, const std::string& line) {
  Peer link = Peer::to(node.management_port());
  link.write(line);
  while (link.read_some()) {
  }
  return link.come;
}

inline void await_ready(const Node& node) {
  const core::Clock real;
  for (const double end = real.now() + 10'000; call_node(node, "readyz\n").rfind("done", 0) != 0;) {
    REQUIRE_MESSAGE(real.now() < end, "the node did not become ready");
    std::this_thread::yield();
  }
}

// Discovery's side of the watch that a node opens: it is told that the list which the node remembers holds.
// Returns once the node is ready; the watch stays open as long as what is returned.
inline Peer confirm_list(Port& discovery, const Node& node) {
  Peer watch = discovery.accept();
  watch.message();
  watch.write(chunked({R"({"seq":41,"whole":false,"hosts":[]})"}));
  await_ready(node);
  return watch;
}

// A whole dispatcher whose list remembers `hosts`, which discovery has confirmed; its clock stands still.
struct Served {
  using Change = std::function<void(nlohmann::json& config)>;
  explicit Served(Hosts hosts, const Change& change = {}, park::Crew::Start start = {})
      : config(changed(config_json(std::move(hosts), discovery.dial()), change)),
        node(core::read_config(config), standing(), {}, std::move(start)) {
    if (config["discovery"] == discovery.dial()) watch = confirm_list(discovery, node);
  }
  static nlohmann::json changed(nlohmann::json config, const Change& change) {
    if (change) change(config);
    return config;
  }
  core::Clock& standing() {
    clock.set(kNow);
    return clock;
  }
  Peer client() { return Peer::to(node.port()); }
  // One line to the second address, and all of its answer.
  std::string call(const std::string& line) { return call_node(node, line); }
  // One query on a link of its own.
  std::string ask(const std::string& text) {
    Peer link = client();
    link.write(text);
    return link.message();
  }

  Port discovery;
  core::Clock clock;
  nlohmann::json config;
  Node node;
  std::optional<Peer> watch;  // none where `change` has put discovery elsewhere
};

}  // namespace woadtide
