// Notices when a peer closes its side of a link whose thread waits for something else: one descriptor and one
// thread for all links, where a wake-up of its own for each would halve the room for links.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "net/socket.hpp"
#include "net/thread.hpp"

namespace woadtide::net {

class Lookout {
 public:
  Lookout();
  ~Lookout();
  Lookout(const Lookout&) = delete;
  Lookout& operator=(const Lookout&) = delete;

  // As long as it lives, `gone` is called once, on the lookout's thread, when the peer has closed. It must
  // not block. After the destructor it is not called any more.
  class Watch {
   public:
    Watch(Lookout& lookout, int fd, std::function<void()> gone);
    ~Watch();
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

   private:
    Lookout& lookout_;
    const int fd_;
    std::uint64_t token_;
  };

 private:
  void run();

  Fd epoll_, wake_;
  std::mutex mutex_;
  std::uint64_t next_token_ = 1;  // 0 is the wake-up's
  std::map<std::uint64_t, std::function<void()>> watched_;
  Thread thread_;  // last: it uses all the others
};

}  // namespace woadtide::net
