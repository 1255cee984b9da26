// All links between the processes of a run, led through one thread on loopback, with faults by pair. It knows
// bytes and no protocol.
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

class Relays {
 public:
  Relays();
  ~Relays();
  Relays(const Relays&) = delete;
  Relays& operator=(const Relays&) = delete;

  // From here on `from` reaches `to`, which listens at `target`, at the address that comes back. Both ends of
  // a pair are named once.
  std::string add(const std::string& from, const std::string& to, const std::string& target);
  // What befalls the pair's links, open and new, until the next call; nullopt: nothing. Throws
  // std::out_of_range where nobody named the pair.
  void set(const std::string& from, const std::string& to, std::optional<Kind> fault);

 private:
  struct Held {
    double due = 0;
    std::string bytes;
  };
  struct Way {
    std::deque<Held> held;
    std::size_t bytes = 0;
    bool ended = false, told_end = false;
  };
  struct Pair;
  struct Pipe {
    net::Socket ends[2];
    Way ways[2];  // 0: from the one who connected
    bool up = false;
  };
  struct Pair {
    net::Socket listener;
    net::Address target;
    std::optional<Kind> fault;
    std::list<Pipe> pipes;
    bool look = true;  // something is ready, held back, or another fault holds
  };

  void run();
  void accept_at(Pair& pair);
  bool go_on(Pair& pair, Pipe& pipe);
  bool pass(const Pair& pair, Pipe& pipe, int way);

  core::Clock clock_;
  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, Pair> pairs_;
  std::atomic<bool> ending_{false};
  park::Thread thread_;  // last
};

}  // namespace woadtide::lab::cluster
