#include "lab/cluster/registry.hpp"

#include <poll.h>

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/acceptor.hpp"
#include "lab/cluster/plan.hpp"
#include "net/http.hpp"

namespace woadtide::lab::cluster {

using nlohmann::json;

namespace {

constexpr double kIoTimeoutMs = 10'000, kKeepAliveIntervalMs = 1'000;
constexpr int kPollIntervalMs = 5;
constexpr std::size_t kMaxLinks = 128;

class DiscoveryProcess {
 public:
  DiscoveryProcess(Plan plan, const std::string& record)
      : plan_(std::move(plan)),
        records_(record),
        acceptor_("registry",
                  net::Socket::listen_at(net::Address("127.0.0.1:" + std::to_string(plan_.registry_port))),
                  kMaxLinks, clock_, [this](net::Socket& socket) { serve(socket); }) {}

 private:
  using DrainStates = std::map<std::string, bool>;  // by worker: whether it drains
  double now() const { return clock_.now() - plan_.start_ms; }

  DrainStates drain_states() const {
    DrainStates states;
    for (int i = 0; i < plan_.scenario.workers; ++i) {
      const std::string worker = "w" + std::to_string(i);
      states[worker] = is_draining(plan_, worker, now());
    }
    return states;
  }
  // Grows with each state change of any worker, and depends only on the time and the schedule.
  int sequence() const {
    int number = 1;
    for (const Fault& fault : plan_.faults)
      if (fault.kind == FaultKind::drain) number += (fault.from_ms <= now()) + (fault.to_ms <= now());
    return number;
  }
  std::string serialize_list(const std::string& dispatcher, const DrainStates& drain_states) const {
    json hosts = json::array();
    for (const auto& [worker, address] : plan_.worker_addresses.at(dispatcher))
      hosts.push_back({{"host", worker},
                       {"dial", address},
                       {"site", plan_.zones.at(worker)},
                       {"class", "lab"},
                       {"health", drain_states.at(worker) ? "Terminating" : "Ready"},
                       {"born_ms", 0}});
    return json({{"seq", sequence()}, {"whole", true}, {"hosts", std::move(hosts)}}).dump() + '\n';
  }
  bool write(net::Socket& socket, const std::string& text) {
    return socket.send({text}, clock_.now() + kIoTimeoutMs, clock_) == net::IoResult::done;
  }
  bool write_chunk(net::Socket& socket, const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return write(socket, size + text + "\r\n");
  }

  // The caller follows from the address that it called: each dispatcher has its own relay.
  std::string dispatcher_of_host(const std::string& host) const {
    for (const auto& [dispatcher, address] : plan_.discovery_addresses)
      if (address == host) return dispatcher;
    return {};
  }

  void serve(net::Socket& socket) {
    net::BufferPool buffer_pool(1);
    net::BufferedInput input(socket, clock_, buffer_pool);
    net::IoResult result = net::IoResult::done;
    const auto length = input.read_head(clock_.now() + kIoTimeoutMs, result);
    if (!length) return;
    const net::MessageHead head = net::parse_request_head(input.view().substr(0, *length));
    const std::string dispatcher = dispatcher_of_host(std::string(head.find("Host").value_or("")));
    if (dispatcher.empty()) return;
    if (!write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    DrainStates sent_states;
    double last_write_ms = 0;
    // The watch of a disconnected dispatcher ends when the next write fails.
    for (;; ::poll(nullptr, 0, kPollIntervalMs)) {
      const DrainStates drain_states = this->drain_states();
      if (drain_states != sent_states) {
        if (!write_chunk(socket, serialize_list(dispatcher, drain_states))) return;
        for (const auto& [worker, draining] : drain_states)
          if (const auto previous = sent_states.find(worker);
              previous == sent_states.end() || previous->second != draining)
            records_.append(to_json_line(DiscoveryNotice{dispatcher, worker, now(), draining}));
        sent_states = drain_states;
        last_write_ms = clock_.now();
      } else if (clock_.now() - last_write_ms > kKeepAliveIntervalMs) {
        if (!write_chunk(socket, "\n")) return;
        last_write_ms = clock_.now();
      }
    }
  }

  core::Clock clock_;
  const Plan plan_;
  JsonLinesFile records_;
  Acceptor acceptor_;  // declared last: its threads use the other members
};

}  // namespace

void run_registry(const std::string& plan, const std::string& record) {
  DiscoveryProcess registry(read_plan(plan), record);
  for (;;) ::poll(nullptr, 0, 1'000);
}

}  // namespace woadtide::lab::cluster
