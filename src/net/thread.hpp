// A thread with a small stack, joined when its handle goes.
#pragma once

#include <pthread.h>

#include <functional>
#include <string>

namespace woadtide::net {

class Thread {
 public:
  // Hundreds of links have a thread each, and memory is scarce. All bulk lies in the buffer pool; the deepest
  // user is the JSON parser, which does not recurse.
  static constexpr std::size_t kStackBytes = 128 * 1024;

  Thread() = default;
  // Throws std::system_error when the system gives no more threads.
  Thread(const std::string& name, std::function<void()> body);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  ~Thread() { join(); }

  void join();

 private:
  pthread_t handle_{};
  bool runs_ = false;
};

}  // namespace woadtide::net
