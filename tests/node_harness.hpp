// Scripted clients, workers and discovery servers over loopback, all driven from the test's own thread: the
// kernel buffers what the other side does not read yet. A read that gets nothing within its timeout fails the
// test instead of hanging it.
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

using EndpointEntries = std::vector<nlohmann::json>;

inline constexpr double kStartTimeMs = 1'700'000'000'000;  // initial time of the tests' clocks

// Waits until `done` returns true; fails the test after 10 s of real time.
inline void wait_until(const std::function<bool()>& done) {
  const core::Clock real;
  for (const double end = real.now() + 10'000; !done();) {
    REQUIRE(real.now() < end);
    std::this_thread::yield();
  }
}

// Whether input or a connection arrives within `within_ms` ms of real time.
inline bool has_input(const net::Socket& socket, int within_ms) {
  pollfd poll_fd{socket.fd(), POLLIN, 0};
  return ::poll(&poll_fd, 1, within_ms) > 0;
}

// One side of a connection, reading and writing text.
struct Peer {
  explicit Peer(net::Socket from) : socket(std::move(from)) {
    const timeval receive_timeout{10, 0};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
  }
  static Peer to(int port) {
    const net::Address address("127.0.0.1:" + std::to_string(port));
    net::Socket socket = net::Socket::create(address);
    REQUIRE(socket.connect(address, 5'000));
    return Peer(std::move(socket));
  }
  void write(const std::string& text) {
    REQUIRE(::send(socket.fd(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  bool read_some() {
    char bytes[4096];
    const ssize_t count = ::recv(socket.fd(), bytes, sizeof bytes, 0);
    REQUIRE_MESSAGE((count >= 0 || errno == ECONNRESET), "nothing was received in time");
    if (count > 0) received.append(bytes, static_cast<std::size_t>(count));
    return count > 0;
  }
  // Reads a message with a Content-Length or without a body.
  std::string read_message() {
    std::size_t end = 0;
    while ((end = received.find("\r\n\r\n")) == std::string::npos) REQUIRE(read_some());
    const std::size_t field = received.find("Content-Length: ");
    const std::size_t body = field < end ? std::stoul(received.substr(field + 16)) : 0;
    while (received.size() < end + 4 + body) REQUIRE(read_some());
    std::string message_text = received.substr(0, end + 4 + body);
    received.erase(0, message_text.size());
    return message_text;
  }
  bool is_closed() {
    received.clear();
    return !read_some();
  }

  net::Socket socket;
  std::string received;
};

// A listening socket of a worker or of discovery.
struct ListeningPort {
  net::Socket socket = net::Socket::listen_at(net::Address("127.0.0.1:0"));
  std::string dial() const { return "127.0.0.1:" + std::to_string(socket.port()); }
  Peer accept() {
    const timeval receive_timeout{10, 0};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    net::Fd fd(::accept(socket.fd(), nullptr, nullptr));
    REQUIRE_MESSAGE(fd, "nobody connected");
    return Peer(net::Socket(std::move(fd)));
  }
};

inline nlohmann::json endpoint_json(const std::string& host, const std::string& dial,
                                    const char* health = "Ready") {
  return {{"host", host}, {"dial", dial}, {"health", health}, {"site", "a"}, {"born_ms", 0}};
}

inline nlohmann::json config_json(EndpointEntries hosts, const std::string& discovery) {
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

inline std::string chunked_response(const std::vector<std::string>& lines) {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& line : lines) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    text += size + line + "\n\r\n";
  }
  return text;
}
inline std::string event_line(const std::string& id, const std::string& state, const std::string& more = "") {
  return R"({"id":")" + id + R"(","from":"w","state":")" + state + '"' + more + "}";
}
inline std::string done_response(const std::string& id, const std::string& result) {
  return chunked_response(
             {event_line(id, "started"), event_line(id, "done", R"(,"result":")" + result + '"')}) +
         "0\r\n\r\n";
}

// Sends one line to a node's management address and returns the whole answer.
inline std::string call_management(const Node& node, const std::string& line) {
  Peer link = Peer::to(node.management_port());
  link.write(line);
  while (link.read_some()) {
  }
  return link.received;
}

inline void await_ready(const Node& node) {
  const core::Clock real;
  for (const double end = real.now() + 10'000; call_management(node, "readyz\n").rfind("done", 0) != 0;) {
    REQUIRE_MESSAGE(real.now() < end, "the node did not become ready");
    std::this_thread::yield();
  }
}

// Discovery's side of the watch that a node opens: confirms the list that the node remembers. Returns once
// the node is ready; the watch stays open as long as the returned object.
inline Peer confirm_list(ListeningPort& discovery, const Node& node) {
  Peer watch = discovery.accept();
  watch.read_message();
  watch.write(chunked_response({R"({"seq":41,"whole":false,"hosts":[]})"}));
  await_ready(node);
  return watch;
}

// A whole dispatcher that remembers the list `hosts`, confirmed by discovery; its clock does not advance by
// itself.
struct TestDispatcher {
  using ConfigEdit = std::function<void(nlohmann::json& config)>;
  explicit TestDispatcher(EndpointEntries hosts, const ConfigEdit& edit = {},
                          park::ThreadPool::ThreadFactory start = {})
      : config(edited(config_json(std::move(hosts), discovery.dial()), edit)),
        node(core::read_config(config), stopped_clock(), {}, std::move(start)) {
    if (config["discovery"] == discovery.dial()) watch = confirm_list(discovery, node);
  }
  static nlohmann::json edited(nlohmann::json config, const ConfigEdit& edit) {
    if (edit) edit(config);
    return config;
  }
  core::Clock& stopped_clock() {
    clock.set(kStartTimeMs);
    return clock;
  }
  Peer client() { return Peer::to(node.port()); }
  // Sends one line to the management address and returns the whole answer.
  std::string call(const std::string& line) { return call_management(node, line); }
  // Sends one query on a new connection and returns the response.
  std::string send_query(const std::string& text) {
    Peer link = client();
    link.write(text);
    return link.read_message();
  }

  ListeningPort discovery;
  core::Clock clock;
  nlohmann::json config;
  Node node;
  std::optional<Peer> watch;  // none if `edit` has configured another discovery address
};

}  // namespace woadtide
