// The second address, where operators call: a line in, an answer out, a link for each call. Apart from client
// links, with threads and descriptors of its own, so that it answers whatever clients do.
#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>

#include "core/log.hpp"
#include "net/socket.hpp"
#include "net/thread.hpp"

namespace woadtide::net {

class Management {
 public:
  static constexpr std::size_t kMostCallers = 12;  // descriptors: one for each, and two
  // Gives the answer to `call` with its argument, if it has one: whole lines.
  using Answer = std::function<std::string(std::string_view call, std::string_view argument)>;

  Management(Socket listener, const core::Clock& clock, Answer answer);
  ~Management();
  Management(const Management&) = delete;
  Management& operator=(const Management&) = delete;

 private:
  struct Caller {
    Socket socket;                                  // its thread uses it; closed under the mutex
    bool busy = false, shed = false, over = false;  // busy: with a whole line and no answer yet
    Thread thread;                                  // last: it uses all the others
  };

  void run();
  void accept_one();
  void reap();
  void make_room();
  void serve(Caller& caller);
  bool read_line(Caller& caller, std::string& line);
  void set_busy(Caller& caller, bool busy);
  std::string answer_line(std::string_view line) const;

  const core::Clock& clock_;
  const Answer answer_;
  Socket listener_;
  Fd wake_;
  std::mutex mutex_;
  std::list<Caller> callers_;  // oldest first
  core::Seldom crowded_;
  Thread thread_;  // last: it uses all the others
};

}  // namespace woadtide::net
