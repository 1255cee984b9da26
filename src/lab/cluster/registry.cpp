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

constexpr double kPatienceMs = 10'000, kQuietMs = 1'000;
constexpr int kLookMs = 5;
constexpr std::size_t kLinks = 128;

class Registry {
 public:
  Registry(Plan plan, const std::string& record)
      : plan_(std::move(plan)),
        record_(record),
        acceptor_("registry",
                  net::Socket::listen_at(net::Address("127.0.0.1:" + std::to_string(plan_.registry_port))),
                  kLinks, clock_, [this](net::Socket& socket) { serve(socket); }) {}

 private:
  using States = std::map<std::string, bool>;  // whether it drains
  double now() const { return clock_.now() - plan_.start_ms; }

  States states() const {
    States all;
    for (int i = 0; i < plan_.scenario.workers; ++i) {
      const std::string worker = "w" + std::to_string(i);
      all[worker] = drains(plan_, worker, now());
    }
    return all;
  }
  // It grows with each change of any worker, and is the same after a look again.
  int sequence() const {
    int seq = 1;
    for (const Fault& fault : plan_.faults)
      if (fault.kind == Kind::drain) seq += (fault.from_ms <= now()) + (fault.to_ms <= now());
    return seq;
  }
  std::string list(const std::string& dispatcher, const States& states) const {
    json hosts = json::array();
    for (const auto& [worker, dial] : plan_.workers.at(dispatcher))
      hosts.push_back({{"host", worker},
                       {"dial", dial},
                       {"site", plan_.zones.at(worker)},
                       {"class", "lab"},
                       {"health", states.at(worker) ? "Terminating" : "Ready"},
                       {"born_ms", 0}});
    return json({{"seq", sequence()}, {"whole", true}, {"hosts", std::move(hosts)}}).dump() + '\n';
  }
  bool write(net::Socket& socket, const std::string& text) {
    return socket.send({text}, clock_.now() + kPatienceMs, clock_) == net::Io::done;
  }
  bool write_chunk(net::Socket& socket, const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return write(socket, size + text + "\r\n");
  }

  // Who asks shows in the address that it thinks it calls: each has a relay of its own.
  std::string caller(const std::string& host) const {
    for (const auto& [dispatcher, dial] : plan_.discovery)
      if (dial == host) return dispatcher;
    return {};
  }

  void serve(net::Socket& socket) {
    net::BufferPool pool(1);
    net::Intake intake(socket, clock_, pool);
    net::Io why = net::Io::done;
    const auto length = intake.head(clock_.now() + kPatienceMs, why);
    if (!length) return;
    const net::Head head = net::read_query_head(intake.view().substr(0, *length));
    const std::string dispatcher = caller(std::string(head.find("Host").value_or("")));
    if (dispatcher.empty()) return;
    if (!write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    States told;
    double quiet = 0;
    // The watch of one that is gone ends with the next line that cannot be written.
    for (;; ::poll(nullptr, 0, kLookMs)) {
      const States states = this->states();
      if (states != told) {
        if (!write_chunk(socket, list(dispatcher, states))) return;
        for (const auto& [worker, drains] : states)
          if (const auto was = told.find(worker); was == told.end() || was->second != drains)
            record_.add(line_of(Told{dispatcher, worker, now(), drains}));
        told = states;
        quiet = clock_.now();
      } else if (clock_.now() - quiet > kQuietMs) {
        if (!write_chunk(socket, "\n")) return;
        quiet = clock_.now();
      }
    }
  }

  core::Clock clock_;
  const Plan plan_;
  Lines record_;
  Acceptor acceptor_;  // last
};

}  // namespace

void run_registry(const std::string& plan, const std::string& record) {
  Registry registry(read_plan(plan), record);
  for (;;) ::poll(nullptr, 0, 1'000);
}

}  // namespace woadtide::lab::cluster
