// TCP relays for all links between the processes of a run, on loopback and in one thread, with faults for
// each route. The relays forward bytes and know no protocol.
#pragma once

#include <atomic>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "core/clock.hpp"
#include "lab/cluster/schedule.hpp"
#include "net/socket.hpp"
#include "park/thread.hpp"

namespace woadtide::lab::cluster {

// Forwards the links of all routes. Thread-safe.
class Relays {
 public:
  Relays();
  ~Relays();
  Relays(const Relays&) = delete;
  Relays& operator=(const Relays&) = delete;

  // Adds a route: `from` reaches `to`, which listens at `target`, at the returned address. Each pair may be
  // added once.
  std::string add_route(const std::string& from, const std::string& to, const std::string& target);
  // Applies a fault to open and new links of the route until the next call; nullopt: none. Throws
  // std::out_of_range for an unknown route.
  void set_fault(const std::string& from, const std::string& to, std::optional<FaultKind> fault);

 private:
  struct Chunk {
    double due_ms = 0;
    std::string data;
  };
  struct Direction {
    std::deque<Chunk> chunks;
    std::size_t held_bytes = 0;
    bool end_received = false, end_forwarded = false;
  };
  struct Route;
  struct Connection {
    net::Socket ends[2];
    Direction directions[2];  // 0: from the connecting side
    bool connected = false;
  };
  struct Route {
    net::Socket listener;
    net::Address target;
    std::optional<FaultKind> fault;
    std::list<Connection> connections;
    bool needs_service = true;  // data is ready or held back, or the fault has changed
  };

  void run();
  void accept_connections(Route& route);
  bool service_connection(Route& route, Connection& connection);
  bool forward(const Route& route, Connection& connection, int direction);

  core::Clock clock_;
  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, Route> routes_;
  std::atomic<bool> stopping_{false};
  park::Thread thread_;  // declared last: it uses the other members
};

}  // namespace woadtide::lab::cluster
