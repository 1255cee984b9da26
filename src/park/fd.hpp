// Owner of a file descriptor. Only the owner closes it; other threads may call shutdown() on a socket to wake
// the thread that owns it.
#pragma once

#include <utility>

namespace woadtide::park {

// Owns one file descriptor, or none (-1), and closes it in the destructor. Move-only.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd();
  // Returns the descriptor, still owned by this object; -1 where there is none.
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace woadtide::park
