// Answers the controller's calls in place of any number of supervisors, on one loopback address and one
// thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "net/socket.hpp"
#include "park/thread.hpp"

namespace woadtide::lab::scale {

// Answers every call with the same status line, one call at a time.
class FakeSupervisors {
 public:
  FakeSupervisors();
  ~FakeSupervisors();
  FakeSupervisors(const FakeSupervisors&) = delete;
  FakeSupervisors& operator=(const FakeSupervisors&) = delete;

  // host:port of the listening socket.
  std::string address() const;
  // How many calls have been answered.
  std::uint64_t calls() const { return calls_; }
  // Length of one answer, including its newline.
  std::size_t status_bytes() const { return status_.size(); }

 private:
  void run();
  void answer_call();

  core::Clock clock_;
  net::Socket listener_;
  const std::string status_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> calls_{0};
  park::Thread thread_;  // last, because it uses all members above
};

}  // namespace woadtide::lab::scale
