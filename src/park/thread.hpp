// A thread with a small stack that is joined when its handle is destroyed.
#pragma once

#include <pthread.h>

#include <functional>
#include <string>

namespace woadtide::park {

// Handle of a running thread, or of none. Move-only; assigning to a handle joins its former thread.
class Thread {
 public:
  // Memory is scarce, and dozens of threads may run at once. Large data lies in the buffer pool; the deepest
  // stack is that of the JSON parser, which does not recurse.
  static constexpr std::size_t kStackBytes = 128 * 1024;

  Thread() = default;
  // Starts a thread that runs `body` and logs an exception that leaves it. `name` is cut to 15 bytes for the
  // kernel. Throws std::system_error where the system cannot create a thread.
  Thread(const std::string& name, std::function<void()> body);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  ~Thread() { join(); }

  // Waits for the end of the thread. Does nothing where there is none.
  void join();
  // True on the thread of this handle.
  bool is_current() const { return joinable_ && pthread_equal(handle_, pthread_self()); }

 private:
  pthread_t handle_{};
  bool joinable_ = false;
};

}  // namespace woadtide::park
