// A Unix socket by which whoever supervises this process finds it again: each caller of the same user is told
// one line, and is passed the socket where clients connect. The link stays, and ends with the process however
// that ends. Knows neither what the line says nor what the caller does with it.
#pragma once

#include <list>
#include <mutex>
#include <string>

#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

class Tether : private park::Guest {
 public:
  static constexpr std::size_t kMostCallers = 4;
  // `line`: without its end. Throws std::system_error where it cannot listen.
  Tether(park::Park& park, const std::string& path, std::string line, Socket passed);
  ~Tether() override;
  Tether(const Tether&) = delete;
  Tether& operator=(const Tether&) = delete;

  // From here on nothing is passed: new callers are sent away, links stay. Where this process was the last
  // that held the passed socket, nobody listens at it any more.
  void stop_passing();

 private:
  void ready(park::Signs signs) override;
  void late() override { ready({}); }

  const core::Clock clock_;
  core::Seldom no_accept_;
  park::Park& park_;
  const std::string line_;
  std::mutex mutex_;
  Socket passed_;
  Socket listener_;
  std::list<Socket> callers_;  // the oldest gives way
  park::Park::Token token_;
};

// The caller's side: what the process behind `path` says of itself.
struct Tethered {
  Socket link;      // readable when the process has ended
  Socket listener;  // where clients connect
  std::string line;
  int pid = 0;  // by the kernel's word
};
// Without a link: nobody is there, or it is another user's, or it said nothing whole within `wait_ms`.
Tethered reach(const std::string& path, double wait_ms);

}  // namespace woadtide::net
